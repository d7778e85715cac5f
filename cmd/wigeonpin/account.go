package main

import (
	"context"

	"github.com/wigeonpin/wigeonpin/internal/control/table"
)

type accountCommand struct {
	Set    *accountSet    `arg:"subcommand:set" help:"add a client account or change the given fields of one"`
	Remove *removeCommand `arg:"subcommand:remove" help:"remove a client account that has no keys and no trainers"`
	List   *listCommand   `arg:"subcommand:list" help:"list the client accounts"`
}

type accountSet struct {
	connection
	Name    string   `arg:"positional,required" help:"name of the client account"`
	Weight  *float64 `help:"share relative to other accounts [default for new accounts: 1]"`
	Queue   *int     `help:"highest number of requests waiting on one instance [default for new accounts: 1000]"`
	Running *int     `help:"highest number of requests running on one instance, 0 for no limit [default for new accounts: 0]"`
}

func (c *accountCommand) run(ctx context.Context) error {
	switch {
	case c.Set != nil:
		return c.Set.run(ctx)
	case c.Remove != nil:
		return c.Remove.removeFrom(ctx, table.Accounts)
	case c.List != nil:
		return c.List.list(ctx, table.Accounts)
	}
	return errNoSubcommand
}

func (c *accountSet) run(ctx context.Context) error {
	return c.set(ctx, table.Accounts, c.Name, func(value map[string]any) error {
		setField(value, "weight", c.Weight)
		setField(value, "queue", c.Queue)
		setField(value, "running", c.Running)
		return nil
	})
}
