package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/standin/trainer"
)

type trainerCommand struct {
	Addresses  []string `arg:"positional,required" help:"addresses of the instances for callers"`
	Trainer    string   `arg:"--trainer" default:"t1"`
	Key        string   `arg:"--key,env:WIGEONPIN_KEY" help:"key of the trainer's client account"`
	Weights    string   `arg:"--weights" help:"address of the weight store"`
	Steps      int      `arg:"--steps" default:"0" help:"steps until the end, 0 is no bound"`
	LimitMS    int      `arg:"--limit-ms" default:"20000" help:"time until the end, 0 is no bound"`
	GraceMS    int      `arg:"--grace-ms" default:"30000" help:"time after the limit in which open steps may be finished"`
	Groups     int      `arg:"--groups" default:"8"`
	GroupSize  int      `arg:"--group-size" default:"4"`
	Tokens     int      `arg:"--tokens" default:"60" help:"usual length of a sample"`
	Tail       int      `arg:"--tail" default:"10" help:"one group in this many is 6 times as long, 0 is none"`
	TrainMS    int      `arg:"--train-ms" default:"500" help:"time of training on one step"`
	Ahead      int      `arg:"--ahead" default:"1" help:"steps pulled while training on an earlier one"`
	Version    int      `arg:"--version" default:"1" help:"first weight version"`
	Change     int      `arg:"--change" default:"4" help:"steps until a new version, 0 is never"`
	MaxAge     int      `arg:"--max-age" default:"2" help:"bound in the trainer's row"`
	WaitMS     int      `arg:"--wait-ms" default:"2000" help:"wait of one pull"`
	DeadlineMS int      `arg:"--deadline-ms" default:"30000" help:"time for a whole step"`
	Seed       uint64   `arg:"--seed" default:"1"`
	Out        string   `arg:"--out" help:"file for the JSON summary; standard output when empty"`
}

func (c *trainerCommand) run(ctx context.Context) error {
	t := trainer.New(trainer.Options{
		Addresses: c.Addresses, Trainer: c.Trainer, Key: c.Key, WeightStore: c.Weights,
		Steps: c.Steps, MaxDuration: milliseconds(c.LimitMS), Grace: milliseconds(c.GraceMS), Groups: c.Groups, GroupSize: c.GroupSize,
		MeanTokens: max(c.Tokens, 1), TailEvery: c.Tail, TrainTime: milliseconds(c.TrainMS), PrefetchSteps: max(c.Ahead, 0),
		Version: c.Version, StepsPerVersion: c.Change, MaxAge: c.MaxAge,
		PullWait: milliseconds(c.WaitMS), StepTimeout: milliseconds(c.DeadlineMS), Seed: c.Seed,
	})
	summary, runErr := t.Run(ctx)
	raw, err := json.MarshalIndent(summary, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode summary")
	}
	if c.Out == "" {
		fmt.Println(string(raw))
	} else if err := os.WriteFile(c.Out, append(raw, '\n'), 0o644); err != nil {
		return eris.Wrap(err, "write summary")
	}
	if runErr != nil {
		return runErr
	}
	if n := summary.Violations(); n > 0 {
		return eris.Errorf("%d samples were duplicate, missing, wrong, unlabelled or too old", n)
	}
	return nil
}
