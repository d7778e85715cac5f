package main

import "context"

// listCommand shows the rows of one table.
type listCommand struct{ connection }

// removeCommand removes one row.
type removeCommand struct {
	connection
	Name string `arg:"positional,required" help:"name of the row"`
}

func (c *removeCommand) removeFrom(ctx context.Context, tableName string) error {
	return c.remove(ctx, tableName, c.Name)
}
