package main

import (
	"context"

	"github.com/wigeonpin/wigeonpin/internal/control/table"
)

type modelCommand struct {
	Set    *modelSet      `arg:"subcommand:set" help:"add a model or plain service or change the given fields of one"`
	Remove *removeCommand `arg:"subcommand:remove" help:"remove a model or plain service"`
	List   *listCommand   `arg:"subcommand:list" help:"list the models and plain services"`
}

type modelSet struct {
	connection
	Name    string  `arg:"positional,required" help:"name of the model or plain service"`
	Kind    *string `help:"engine or service [default for new rows: engine]"`
	Slots   *int    `help:"highest number of requests that one endpoint runs at a time [default for new rows: 8]"`
	Floor   *int    `help:"lowest number of standard endpoints in each zone [default for new rows: 0]"`
	Ceiling *int    `help:"highest number of endpoints in each zone [default for new rows: 10000]"`
	Cheap   *bool   `help:"whether cheap endpoints are allowed, --cheap=true or --cheap=false"`
}

func (c *modelCommand) run(ctx context.Context) error {
	switch {
	case c.Set != nil:
		return c.Set.run(ctx)
	case c.Remove != nil:
		return c.Remove.removeFrom(ctx, table.Models)
	case c.List != nil:
		return c.List.list(ctx, table.Models)
	}
	return errNoSubcommand
}

func (c *modelSet) run(ctx context.Context) error {
	return c.set(ctx, table.Models, c.Name, func(value map[string]any) error {
		setField(value, "kind", c.Kind)
		setField(value, "slots", c.Slots)
		setField(value, "floor", c.Floor)
		setField(value, "ceiling", c.Ceiling)
		setField(value, "cheap", c.Cheap)
		return nil
	})
}
