package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
	"github.com/wigeonpin/wigeonpin/internal/peer/conn"
)

const (
	callTimeout = 10 * time.Second
	// maxEditAttempts bounds how often an edit with an uncertain outcome is sent.
	// All attempts carry the same edit id, so the edit takes effect at most once.
	maxEditAttempts = 5
)

// errConflict means that another edit of the same row was accepted first.
var errConflict = errors.New("another edit of the row was accepted first")

// connection holds the address of the instance that a command talks to.
type connection struct {
	Operator string `arg:"--operator,env:WIGEONPIN_OPERATOR" placeholder:"IP:PORT" help:"operator address of an instance"`
}

type tableAnswer struct {
	Sequence uint64      `json:"sequence"`
	Rows     []table.Row `json:"rows"`
}

type editRequest struct {
	EditID string    `json:"edit_id"`
	Row    table.Row `json:"row"`
}

type editAnswer struct {
	Sequence uint64    `json:"sequence"`
	Row      table.Row `json:"row"`
	Pushed   bool      `json:"pushed"`
}

type errorAnswer struct {
	Name         string    `json:"name"`
	Message      string    `json:"message"`
	Run          string    `json:"run"`
	RetryAfterMS int64     `json:"retry_after_ms"`
	Row          table.Row `json:"row"`
}

// call sends a request with the operator key to the instance and decodes its
// answer.
func call[Answer any](ctx context.Context, c connection, method, path string, body any) (Answer, error) {
	var zero Answer
	key := os.Getenv("WIGEONPIN_OPERATOR_KEY")
	if c.Operator == "" || key == "" {
		return zero, eris.New("set --operator (or WIGEONPIN_OPERATOR) and the variable WIGEONPIN_OPERATOR_KEY")
	}
	header := http.Header{"Authorization": {"Bearer " + key}}
	client := &http.Client{Timeout: callTimeout, Transport: conn.CheckResponses(&http.Transport{})}
	return codec.Call[Answer](ctx, client, method, "http://"+c.Operator+path, header, body)
}

// decodeError returns the instance's error answer and a short error made of it.
// Any other error is returned as it is.
func decodeError(err error) (errorAnswer, error) {
	var status *codec.StatusError
	var answer errorAnswer
	if !errors.As(err, &status) || json.Unmarshal(status.Body, &answer) != nil {
		return answer, err
	}
	return answer, eris.Errorf("%s: %s", answer.Name, answer.Message)
}

// table reads all rows from the instance.
func (c connection) table(ctx context.Context) (*table.Table, error) {
	answer, err := call[tableAnswer](ctx, c, http.MethodGet, "/v1/table", nil)
	if err != nil {
		_, err = decodeError(err)
		return nil, err
	}
	return table.Load(answer.Sequence, answer.Rows), nil
}

// edit commits a row. After an uncertain outcome it sends the edit again with the
// same id, which cannot take effect twice.
func (c connection) edit(ctx context.Context, row table.Row) error {
	request := editRequest{EditID: ulid.Make().String(), Row: row}
	for attempt := 1; ; attempt++ {
		answer, err := call[editAnswer](ctx, c, http.MethodPost, "/v1/edits", request)
		if err == nil {
			if !answer.Pushed {
				fmt.Fprintln(os.Stderr, "accepted; no other instance has acknowledged it yet")
			}
			return nil
		}
		failure, shortErr := decodeError(err)
		if codec.StatusOf(err) == http.StatusConflict {
			return fmt.Errorf("%w: row %s/%s now has revision %d and value %s",
				errConflict, failure.Row.Table, failure.Row.Name, failure.Row.Revision, failure.Row.Value)
		}
		// Without an answer, or after a server error, the edit may have been accepted.
		uncertain := codec.StatusOf(err) == 0 || codec.StatusOf(err) >= http.StatusInternalServerError
		if !uncertain || attempt == maxEditAttempts || ctx.Err() != nil {
			return shortErr
		}
		time.Sleep(max(time.Second, time.Duration(failure.RetryAfterMS)*time.Millisecond))
	}
}

// set edits the value of a row: change modifies the current value, which is an
// empty map for a new row.
func (c connection) set(ctx context.Context, tableName, name string, change func(current map[string]any) error) error {
	t, err := c.table(ctx)
	if err != nil {
		return err
	}
	row, found := t.Row(tableName, name)
	value := map[string]any{}
	if found {
		if err := json.Unmarshal(row.Value, &value); err != nil {
			return eris.Wrapf(err, "row %s/%s", tableName, name)
		}
	}
	if err := change(value); err != nil {
		return err
	}
	raw, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode row value")
	}
	return c.edit(ctx, table.Row{Table: tableName, Name: name, Revision: row.Revision, Value: raw})
}

// remove marks an existing row as deleted.
func (c connection) remove(ctx context.Context, tableName, name string) error {
	t, err := c.table(ctx)
	if err != nil {
		return err
	}
	row, found := t.Row(tableName, name)
	if !found {
		return eris.Errorf("row %s/%s does not exist", tableName, name)
	}
	return c.edit(ctx, table.Row{Table: tableName, Name: name, Revision: row.Revision, Deleted: true})
}

// list prints all rows of one table, or of all tables when name is empty.
func (c connection) list(ctx context.Context, name string) error {
	t, err := c.table(ctx)
	if err != nil {
		return err
	}
	for _, r := range t.Rows() {
		if !r.Deleted && (name == "" || r.Table == name) {
			fmt.Printf("%s/%s\trevision %d\t%s\n", r.Table, r.Name, r.Revision, r.Value)
		}
	}
	return nil
}

// setField sets a field of a row's value. A nil pointer, for a flag that was not
// given, leaves the field unchanged.
func setField[V any](value map[string]any, field string, given *V) {
	if given != nil {
		value[field] = *given
	}
}

// printJSON prints a value as indented JSON.
func printJSON(value any) error {
	raw, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode output")
	}
	fmt.Println(string(raw))
	return nil
}
