package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/alexflint/go-arg"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/config"
	"github.com/wigeonpin/wigeonpin/internal/control/operator"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
)

// fakeInstance serves the operator API from a table in memory. While uncertain is
// set, the next edit takes effect but reports an uncertain outcome.
type fakeInstance struct {
	current   *table.Table
	accepted  map[string]config.EditResult
	uncertain bool
}

func (s *fakeInstance) edit(_ context.Context, id string, row table.Row) (config.EditResult, error) {
	if accepted, ok := s.accepted[id]; ok {
		return accepted, nil
	}
	if stored := s.current.RowOrTombstone(row.Table, row.Name); stored.Revision != row.Revision {
		return config.EditResult{Row: stored}, code.New(code.EditConflict, "lost")
	}
	row.Revision = s.current.Sequence() + 1
	next, err := s.current.With(row)
	if err != nil {
		return config.EditResult{}, err
	}
	s.current = next
	s.accepted[id] = config.EditResult{Sequence: row.Revision, Row: row, Pushed: true}
	if s.uncertain {
		s.uncertain = false
		return config.EditResult{}, code.New(code.EditUncertain, "unknown")
	}
	return s.accepted[id], nil
}

// execute runs one command line and returns its standard output.
func execute(t *testing.T, line string) (string, error) {
	t.Helper()
	var args commands
	parser, err := arg.NewParser(arg.Config{Program: "wigeonpin"}, &args)
	if err != nil {
		t.Fatal(err)
	}
	if err := parser.Parse(strings.Fields(line)); err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout := os.Stdout
	os.Stdout = writer
	err = args.chosen().run(t.Context())
	os.Stdout = stdout
	_ = writer.Close()
	printed, _ := io.ReadAll(reader)
	return string(printed), err
}

// Guards against a key that is stored in clear text or does not match its digest,
// an edit that takes effect twice when it is sent again after an uncertain
// outcome, and a conflicting edit that is reported as a success.
func TestCommands(t *testing.T) {
	sum := sha256.Sum256([]byte("operator-key"))
	s := &fakeInstance{current: table.New(), accepted: map[string]config.EditResult{}}
	server := httptest.NewServer(operator.New(hex.EncodeToString(sum[:]), operator.Seams{
		Table: func() *table.Table { return s.current }, Edit: s.edit,
		Status: func() any { return map[string]bool{"ready": true} }, Drain: func() {},
	}, logs.Discard()))
	defer server.Close()
	t.Setenv("WIGEONPIN_OPERATOR", server.Listener.Addr().String())
	t.Setenv("WIGEONPIN_OPERATOR_KEY", "operator-key")
	run := func(line string) string {
		t.Helper()
		printed, err := execute(t, line)
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		return printed
	}
	run("account set acme --weight 2")
	run("account set acme --queue 7")
	if a, _ := s.current.Account("acme"); a.Weight != 2 || a.MaxWaiting != 7 {
		t.Errorf("account is %+v, want weight 2 and queue 7", a)
	}
	key := strings.TrimSpace(run("key add acme"))
	parts := strings.Split(key, "_")
	if len(parts) != 3 || parts[0] != "wp" {
		t.Fatalf("key %q does not have the form wp_ID_SECRET", key)
	}
	stored, _ := s.current.Key(parts[1])
	digest := sha256.Sum256([]byte(key))
	if stored.Digest != hex.EncodeToString(digest[:]) || stored.Account != "acme" {
		t.Errorf("stored key is %+v", stored)
	}
	if rows := fmt.Sprint(s.current.Rows()); strings.Contains(rows, parts[2]) {
		t.Error("the table holds the key's secret")
	}
	s.uncertain = true
	before := s.current.Sequence()
	run("key withdraw " + parts[1])
	if k, _ := s.current.Key(parts[1]); !k.Withdrawn || s.current.Sequence() != before+1 {
		t.Errorf("after the withdrawal the key is %+v at sequence %d", k, s.current.Sequence())
	}
	if printed := run("key list"); strings.Contains(printed, stored.Digest) || !strings.Contains(printed, "withdrawn") {
		t.Errorf("key list shows %q", printed)
	}
	run("model set tagger --kind service")
	run("route set tag --model tagger --open=true")
	run("trainer set t1 --account acme --model m --max-age 2")
	run("zone out zone-a")
	if r, _ := s.current.Route("tag"); !r.Open || !s.current.ZoneOut("zone-a") || s.current.Trainers()["t1"].MaxAge != 2 {
		t.Error("route, zone or trainer was not set")
	}
	run("route remove tag")
	if printed := run("row list"); strings.Contains(printed, "route/tag") || !strings.Contains(printed, "zone/zone-a") {
		t.Errorf("row list shows %q", printed)
	}
	if _, err := execute(t, `row put account acme {"weight":3} --revision 1`); !errors.Is(err, errConflict) || !strings.Contains(err.Error(), "revision 2") {
		t.Errorf("conflicting edit ended with error %v", err)
	}
	if _, err := execute(t, "account set bad --weight -1"); err == nil || !strings.Contains(err.Error(), "weight") {
		t.Errorf("edit with an invalid weight ended with error %v", err)
	}
	if _, err := execute(t, "account remove nobody"); err == nil {
		t.Error("removal of a missing account succeeded")
	}
}
