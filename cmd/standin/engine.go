package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/standin/engine"
	"github.com/wigeonpin/wigeonpin/internal/standin/host"
)

type engineCommand struct {
	Listen     string  `arg:"--listen,required" help:"address of the interface and switches"`
	Control    string  `arg:"--control" help:"second address of the switches, reachable while the engine is down"`
	Model      string  `arg:"--model" default:"tagger"`
	Slots      int     `arg:"--slots" default:"16" help:"streams that run at the same time"`
	Queue      int     `arg:"--queue" default:"64" help:"requests that may wait for a slot"`
	Rate       float64 `arg:"--rate" default:"200" help:"tokens per second of a stream that runs alone"`
	Total      float64 `arg:"--total" default:"1600" help:"tokens per second of all streams"`
	Prefill    float64 `arg:"--prefill" default:"50000" help:"prompt bytes per second"`
	ChunkMS    int     `arg:"--chunk-ms" default:"50"`
	LoadLagMS  int     `arg:"--load-lag-ms" default:"500" help:"age that a load report reaches"`
	EventLagMS int     `arg:"--event-lag-ms" default:"500" help:"lag of cache events"`
	EventGap   int     `arg:"--event-gap" default:"10" help:"one cache event in this many is lost, 0 loses none"`
	ColdMS     int     `arg:"--cold-ms" default:"0" help:"time that the engine is cold after a start"`
	Version    int     `arg:"--version" default:"1" help:"weight version after a start"`
	Weights    string  `arg:"--weights" help:"address of the weight store"`
	LoadMS     int     `arg:"--load-ms" default:"300" help:"time to load fetched weights"`
	DownMS     int     `arg:"--down-ms" default:"1000" help:"time that the engine is down after it fell over"`
	ExitOnFall bool    `arg:"--exit-on-fall" help:"end the process when the engine falls over"`
	CheckFence bool    `arg:"--check-fence" help:"refuse version changes with an older fencing token"`
	Seed       uint64  `arg:"--seed" default:"1"`
}

func (c *engineCommand) run(ctx context.Context) error {
	options := engine.Options{
		Model: c.Model, Slots: c.Slots, Queue: c.Queue, StreamRate: c.Rate, TotalRate: c.Total, PrefillRate: c.Prefill,
		ChunkInterval: milliseconds(c.ChunkMS), LoadLag: milliseconds(c.LoadLagMS), EventLag: milliseconds(c.EventLagMS),
		EventGap: c.EventGap, CacheBlocks: engine.Defaults().CacheBlocks, ColdTime: milliseconds(c.ColdMS),
		Version: c.Version, WeightStore: c.Weights, LoadTime: milliseconds(c.LoadMS), CheckFence: c.CheckFence, Seed: c.Seed,
	}
	e := engine.New(options)
	h := host.New(host.Options{
		Name: "engine", Listen: c.Listen, Control: c.Control, Handler: e.Handler(), OnDown: e.Reset, OnUp: e.Restart,
	})
	e.OnCrash = func() {
		fmt.Println("the engine crashed: too much load while cold, or a poisonous prompt")
		if c.ExitOnFall {
			os.Exit(3)
		}
		h.Down(max(milliseconds(c.DownMS), time.Millisecond))
	}
	return h.Run(ctx)
}
