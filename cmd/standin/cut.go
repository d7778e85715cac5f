package main

import (
	"context"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/standin/cut"
	"github.com/wigeonpin/wigeonpin/internal/standin/host"
)

type cutCommand struct {
	Control string   `arg:"--control,required" help:"address of the switches"`
	Pairs   []string `arg:"positional,required" help:"relayed addresses, each LISTEN=TO"`
}

func (c *cutCommand) run(ctx context.Context) error {
	var pairs []cut.Pair
	for _, text := range c.Pairs {
		listen, to, ok := strings.Cut(text, "=")
		if !ok {
			return eris.Errorf("pair %q must be of the form LISTEN=TO", text)
		}
		pairs = append(pairs, cut.Pair{Listen: listen, Target: to})
	}
	relay := cut.New(pairs)
	if err := relay.Start(); err != nil {
		return err
	}
	defer relay.Close()
	return host.New(host.Options{Name: "cut", Listen: c.Control, Handler: relay.Handler()}).Run(ctx)
}
