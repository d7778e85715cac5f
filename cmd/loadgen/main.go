// Command loadgen sends open-loop load to instances and measures the answers. It
// also compares the usage that instances reported with what callers were served,
// and the figures of two builds or settings with each other.
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
	Run     *runCommand     `arg:"subcommand:run" help:"send a plan's load and measure the answers"`
	Summary *summaryCommand `arg:"subcommand:summary" help:"compare what was served with what was reported"`
	Compare *compareCommand `arg:"subcommand:compare" help:"compare the figures of two builds or settings in pairs"`
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
		fmt.Fprintln(os.Stderr, "loadgen:", err)
		os.Exit(1)
	}
}
