package main

import (
	"context"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/standin/host"
	"github.com/wigeonpin/wigeonpin/internal/standin/platform"
)

type platformCommand struct {
	Listen     string  `arg:"--listen,required" help:"address of the interfaces and switches"`
	Control    string  `arg:"--control" help:"second address of the switches"`
	Pool       string  `arg:"--pool" help:"JSON file with the endpoint processes"`
	Views      string  `arg:"--views" help:"JSON file with further addresses at which the lists show other addresses"`
	LagMS      int     `arg:"--lag-ms" default:"2000" help:"lag of the instance list"`
	Reads      float64 `arg:"--reads" default:"2000" help:"reads per second, 0 is no limit"`
	Writes     float64 `arg:"--writes" default:"400" help:"writes per second, 0 is no limit"`
	StartMS    int     `arg:"--start-ms" default:"2000" help:"time from an order until the endpoint is live"`
	LeaveMS    int     `arg:"--leave-ms" default:"10000" help:"time from leaving until the endpoint is off"`
	CheckFence bool    `arg:"--check-fence" help:"refuse orders and reports with an older fencing token"`
}

func (c *platformCommand) run(ctx context.Context) error {
	options := platform.Options{
		Lag: milliseconds(c.LagMS), ReadRate: c.Reads, WriteRate: c.Writes,
		StartDelay: milliseconds(c.StartMS), StopDelay: milliseconds(c.LeaveMS), CheckFence: c.CheckFence,
	}
	var views []platform.View
	if err := readList(c.Pool, &options.Pool); err != nil {
		return err
	}
	if err := readList(c.Views, &views); err != nil {
		return err
	}
	p := platform.New(options)
	go p.Run(ctx)
	for _, v := range views {
		h := host.New(host.Options{Name: "platform", Listen: v.Listen, Handler: p.View(v)})
		if err := h.Start(); err != nil {
			return err
		}
		defer h.Close()
	}
	return host.New(host.Options{Name: "platform", Listen: c.Listen, Control: c.Control, Handler: p.Handler()}).Run(ctx)
}

// readList decodes a JSON file. Without a path the list stays empty.
func readList(path string, into any) error {
	if path == "" {
		return nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read list")
	}
	return eris.Wrapf(codec.Decode(raw, into), "decode list %s", path)
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
