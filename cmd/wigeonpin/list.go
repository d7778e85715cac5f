package main

import "context"

// listCommand prints the rows of one table, or of all tables.
type listCommand struct{ connection }

// removeCommand removes one row.
type removeCommand struct {
	connection
	Name string `arg:"positional,required" help:"name of the row"`
}

// removeFrom removes the row from a table.
func (c *removeCommand) removeFrom(ctx context.Context, tableName string) error {
	return c.remove(ctx, tableName, c.Name)
}
