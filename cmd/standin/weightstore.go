package main

import (
	"context"

	"github.com/wigeonpin/wigeonpin/internal/standin/host"
	"github.com/wigeonpin/wigeonpin/internal/standin/weightstore"
)

type weightstoreCommand struct {
	Listen string  `arg:"--listen,required" help:"address of the interface and switches"`
	Rate   float64 `arg:"--rate" default:"20" help:"gets per second, 0 is no limit"`
	Burst  int     `arg:"--burst" default:"8" help:"gets that may come at once"`
	Bytes  int     `arg:"--bytes" default:"65536" help:"size of a version"`
}

func (c *weightstoreCommand) run(ctx context.Context) error {
	s := weightstore.New(weightstore.Options{Rate: c.Rate, Burst: c.Burst, Bytes: c.Bytes})
	return host.New(host.Options{Name: "weightstore", Listen: c.Listen, Handler: s.Handler()}).Run(ctx)
}
