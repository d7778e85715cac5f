package main

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/control/table"
)

// errNoSubcommand makes the program print the command's help and exit with
// status 2.
var errNoSubcommand = errors.New("a subcommand is missing; add --help to see them")

// A key consists of idBytes for its public id and of secretBytes for its secret.
// The 192 bits of the secret cannot be guessed.
const (
	secretBytes = 24
	idBytes     = 6
)

type keyCommand struct {
	Add      *keyAdd      `arg:"subcommand:add" help:"make a key for a client account and show it once"`
	Withdraw *keyWithdraw `arg:"subcommand:withdraw" help:"make a key stop working, within seconds everywhere"`
	List     *keyList     `arg:"subcommand:list" help:"list the keys by their ids"`
}

type keyAdd struct {
	connection
	Account string `arg:"positional,required" help:"name of the client account"`
}

type keyWithdraw struct {
	connection
	ID string `arg:"positional,required" help:"the key's id: the part between wp_ and the next underscore"`
}

type keyList struct{ connection }

func (c *keyCommand) run(ctx context.Context) error {
	switch {
	case c.Add != nil:
		return c.Add.run(ctx)
	case c.Withdraw != nil:
		return c.Withdraw.run(ctx)
	case c.List != nil:
		return c.List.run(ctx)
	}
	return errNoSubcommand
}

// newKey returns a key of the form wp_ID_SECRET, its id and its digest.
func newKey() (key, id, digest string) {
	random := make([]byte, idBytes+secretBytes)
	// Read never returns an error: it ends the process when the system has no
	// randomness.
	_, _ = rand.Read(random)
	id = hex.EncodeToString(random[:idBytes])
	key = "wp_" + id + "_" + hex.EncodeToString(random[idBytes:])
	sum := sha256.Sum256([]byte(key))
	return key, id, hex.EncodeToString(sum[:])
}

func (c *keyAdd) run(ctx context.Context) error {
	key, id, digest := newKey()
	err := c.set(ctx, table.Keys, id, func(value map[string]any) error {
		value["account"], value["digest"], value["withdrawn"] = c.Account, digest, false
		return nil
	})
	if err != nil {
		return err
	}
	fmt.Println(key)
	return nil
}

func (c *keyWithdraw) run(ctx context.Context) error {
	if strings.HasPrefix(c.ID, "wp_") {
		return eris.New("give only the key's id, not the whole key")
	}
	return c.set(ctx, table.Keys, c.ID, func(value map[string]any) error {
		if len(value) == 0 {
			return eris.Errorf("key %q does not exist", c.ID)
		}
		value["withdrawn"] = true
		return nil
	})
}

func (c *keyList) run(ctx context.Context) error {
	t, err := c.table(ctx)
	if err != nil {
		return err
	}
	for _, r := range t.Rows() {
		k, ok := t.Key(r.Name)
		if r.Table != table.Keys || r.Deleted || !ok {
			continue
		}
		state := "valid"
		if k.Withdrawn {
			state = "withdrawn"
		}
		fmt.Printf("%s\taccount %s\t%s\n", k.ID, k.Account, state)
	}
	return nil
}
