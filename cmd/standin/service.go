package main

import (
	"context"
	"os"

	"github.com/wigeonpin/wigeonpin/internal/standin/host"
	"github.com/wigeonpin/wigeonpin/internal/standin/service"
)

type serviceCommand struct {
	Listen  string `arg:"--listen,required" help:"address of the interface and switches"`
	Control string `arg:"--control" help:"second address of the switches, reachable while the service is down"`
	Slots   int    `arg:"--slots" default:"16" help:"calls that run at the same time"`
	WorkMS  int    `arg:"--work-ms" default:"20" help:"time that a call runs"`
}

func (c *serviceCommand) run(ctx context.Context) error {
	s := service.New(service.Options{Slots: c.Slots, CallTime: milliseconds(c.WorkMS)})
	h := host.New(host.Options{
		Name: "service", Listen: c.Listen, Control: c.Control, Handler: s.Handler(), HandlerCrash: true,
	})
	s.Down, s.Exit = h.Down, os.Exit
	return h.Run(ctx)
}
