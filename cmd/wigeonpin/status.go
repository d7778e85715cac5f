package main

import (
	"context"
	"encoding/json"
	"net/http"
)

type statusCommand struct{ connection }

func (c *statusCommand) run(ctx context.Context) error {
	answer, err := call[json.RawMessage](ctx, c.connection, http.MethodGet, "/v1/status", nil)
	if err != nil {
		_, err = decodeError(err)
		return err
	}
	return printJSON(answer)
}
