package main

import (
	"context"

	"github.com/wigeonpin/wigeonpin/internal/standin/host"
	"github.com/wigeonpin/wigeonpin/internal/standin/scorer"
)

type scorerCommand struct {
	Listen string `arg:"--listen,required" help:"address of the interface and switches"`
	WorkMS int    `arg:"--work-ms" default:"5" help:"time that a call runs"`
}

func (c *scorerCommand) run(ctx context.Context) error {
	s := scorer.New(milliseconds(c.WorkMS))
	return host.New(host.Options{Name: "scorer", Listen: c.Listen, Handler: s.Handler()}).Run(ctx)
}
