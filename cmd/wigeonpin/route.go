package main

import (
	"context"

	"github.com/wigeonpin/wigeonpin/internal/control/table"
)

type routeCommand struct {
	Set    *routeSet      `arg:"subcommand:set" help:"add a route to a plain service or change the given fields of one"`
	Remove *removeCommand `arg:"subcommand:remove" help:"remove a route"`
	List   *listCommand   `arg:"subcommand:list" help:"list the routes"`
}

type routeSet struct {
	connection
	Name       string   `arg:"positional,required" help:"name of the route, the part of the path after /s/"`
	Model      *string  `help:"plain service behind the route (needed for a new route)"`
	Open       *bool    `help:"whether the route needs no key, --open=true or --open=false"`
	Repeatable *bool    `help:"whether a call may be sent to the service again after a failure"`
	Accounts   []string `arg:"--accounts" help:"client accounts that may use the route; none given at first means all"`
}

func (c *routeCommand) run(ctx context.Context) error {
	switch {
	case c.Set != nil:
		return c.Set.run(ctx)
	case c.Remove != nil:
		return c.Remove.removeFrom(ctx, table.Routes)
	case c.List != nil:
		return c.List.list(ctx, table.Routes)
	}
	return errNoSubcommand
}

func (c *routeSet) run(ctx context.Context) error {
	return c.set(ctx, table.Routes, c.Name, func(value map[string]any) error {
		setField(value, "model", c.Model)
		setField(value, "open", c.Open)
		setField(value, "repeatable", c.Repeatable)
		if len(c.Accounts) > 0 {
			value["accounts"] = c.Accounts
		}
		return nil
	})
}
