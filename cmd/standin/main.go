// Command standin runs one stand-in: a simulation of an external system, such as
// the platform, a model engine or a trainer, for tests and demonstrations.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

type arguments struct {
	Platform    *platformCommand    `arg:"subcommand:platform" help:"object API, instance list, endpoint orders, usage intake"`
	Engine      *engineCommand      `arg:"subcommand:engine" help:"model engine"`
	Service     *serviceCommand     `arg:"subcommand:service" help:"plain service"`
	Weightstore *weightstoreCommand `arg:"subcommand:weightstore" help:"weight store"`
	Scorer      *scorerCommand      `arg:"subcommand:scorer" help:"scoring service"`
	Trainer     *trainerCommand     `arg:"subcommand:trainer" help:"trainer that pulls steps and checks samples"`
	Cut         *cutCommand         `arg:"subcommand:cut" help:"TCP relay that drops, delays or holds"`
}

type command interface {
	run(ctx context.Context) error
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	chosen, ok := parser.Subcommand().(command)
	if !ok {
		parser.Fail("a command is missing")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := chosen.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
