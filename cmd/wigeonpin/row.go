package main

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/control/table"
)

type rowCommand struct {
	Get    *rowGet      `arg:"subcommand:get" help:"show one row as JSON, with its revision"`
	Put    *rowPut      `arg:"subcommand:put" help:"write one row"`
	Remove *rowRemove   `arg:"subcommand:remove" help:"remove one row"`
	List   *listCommand `arg:"subcommand:list" help:"list the rows of all tables"`
}

type rowGet struct {
	connection
	Table string `arg:"positional,required" help:"account, key, trainer, route, model or zone"`
	Name  string `arg:"positional,required" help:"name of the row"`
}

type rowPut struct {
	rowGet
	Value    string  `arg:"positional,required" help:"the row's value as a JSON object"`
	Revision *uint64 `help:"revision that the row must have, 0 for a new row [default: the present one]"`
}

type rowRemove struct{ rowGet }

func (c *rowCommand) run(ctx context.Context) error {
	switch {
	case c.Get != nil:
		return c.Get.run(ctx)
	case c.Put != nil:
		return c.Put.run(ctx)
	case c.Remove != nil:
		return c.Remove.remove(ctx, c.Remove.Table, c.Remove.Name)
	case c.List != nil:
		return c.List.list(ctx, "")
	}
	return errNoSubcommand
}

func (c *rowGet) run(ctx context.Context) error {
	t, err := c.table(ctx)
	if err != nil {
		return err
	}
	row, found := t.Row(c.Table, c.Name)
	if !found {
		return eris.Errorf("row %s/%s does not exist", c.Table, c.Name)
	}
	return printJSON(row)
}

func (c *rowPut) run(ctx context.Context) error {
	row := table.Row{Table: c.Table, Name: c.Name, Value: json.RawMessage(c.Value)}
	if !json.Valid(row.Value) {
		return eris.New("the value is not valid JSON")
	}
	if c.Revision != nil {
		row.Revision = *c.Revision
		return c.edit(ctx, row)
	}
	t, err := c.table(ctx)
	if err != nil {
		return err
	}
	current, _ := t.Row(c.Table, c.Name)
	row.Revision = current.Revision
	return c.edit(ctx, row)
}
