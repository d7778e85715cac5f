package main

import (
	"context"

	"github.com/wigeonpin/wigeonpin/internal/control/table"
)

type trainerCommand struct {
	Set    *trainerSet    `arg:"subcommand:set" help:"add a trainer or change the given fields of one"`
	Remove *removeCommand `arg:"subcommand:remove" help:"remove a trainer"`
	List   *listCommand   `arg:"subcommand:list" help:"list the trainers"`
}

type trainerSet struct {
	connection
	Name    string  `arg:"positional,required" help:"name of the trainer"`
	Account *string `help:"client account whose keys the trainer uses (needed for a new trainer)"`
	Model   *string `help:"engine model that the trainer trains (needed for a new trainer)"`
	MaxAge  *int    `arg:"--max-age" help:"highest age of a sample, in weight versions [default for new trainers: 0]"`
}

func (c *trainerCommand) run(ctx context.Context) error {
	switch {
	case c.Set != nil:
		return c.Set.run(ctx)
	case c.Remove != nil:
		return c.Remove.removeFrom(ctx, table.Trainers)
	case c.List != nil:
		return c.List.list(ctx, table.Trainers)
	}
	return errNoSubcommand
}

func (c *trainerSet) run(ctx context.Context) error {
	return c.set(ctx, table.Trainers, c.Name, func(value map[string]any) error {
		setField(value, "account", c.Account)
		setField(value, "model", c.Model)
		setField(value, "max_age", c.MaxAge)
		return nil
	})
}
