package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/load/generator"
)

type runCommand struct {
	Plan    string  `arg:"positional,required" help:"JSON file with addresses, accounts and rates"`
	Seed    *uint64 `arg:"--seed" help:"replaces the plan's seed"`
	Seconds float64 `arg:"--seconds" help:"replaces the plan's length"`
	Out     string  `arg:"--out" help:"file for the JSON result; none when empty"`
}

func (c *runCommand) run(ctx context.Context) error {
	plan, err := generator.ReadPlan(c.Plan)
	if err != nil {
		return err
	}
	if c.Seed != nil {
		plan.Seed = *c.Seed
	}
	if c.Seconds > 0 {
		plan.Seconds = c.Seconds
	}
	result, err := generator.Run(ctx, plan)
	if err != nil {
		return eris.Wrap(err, "run")
	}
	result.WriteTable(os.Stdout)
	if c.Out != "" {
		if err := writeJSON(c.Out, result); err != nil {
			return err
		}
	}
	if n := result.Wrong(); n > 0 {
		return eris.Errorf("%d answers were wrong", n)
	}
	return nil
}

func writeJSON(path string, value any) error {
	raw, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode result")
	}
	return eris.Wrap(os.WriteFile(path, append(raw, '\n'), 0o644), "write result")
}
