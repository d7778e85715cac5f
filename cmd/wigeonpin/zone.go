package main

import (
	"context"

	"github.com/wigeonpin/wigeonpin/internal/control/table"
)

type zoneCommand struct {
	Out  *zoneSet     `arg:"subcommand:out" help:"take a zone out: no new work on its endpoints, its instances are not ready"`
	In   *zoneSet     `arg:"subcommand:in" help:"put a zone back in service"`
	List *listCommand `arg:"subcommand:list" help:"list the zones that have a row; others are in service"`
}

// zoneSet sets the state of an availability zone.
type zoneSet struct {
	connection
	Name string `arg:"positional,required" help:"name of the availability zone"`
}

func (c *zoneCommand) run(ctx context.Context) error {
	switch {
	case c.Out != nil:
		return c.Out.setState(ctx, "out")
	case c.In != nil:
		return c.In.setState(ctx, "in")
	case c.List != nil:
		return c.List.list(ctx, table.Zones)
	}
	return errNoSubcommand
}

func (c *zoneSet) setState(ctx context.Context, state string) error {
	return c.set(ctx, table.Zones, c.Name, func(value map[string]any) error {
		value["state"] = state
		return nil
	})
}
