package memory

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against bodies that are truncated, altered or read past their limit.
func TestReadAll(t *testing.T) {
	errRead := errors.New("read error")
	cases := map[string]struct {
		source        io.Reader
		length, limit int64
		want          int
		err           error
	}{
		"announced":             {strings.NewReader(strings.Repeat("x", 9000)), 9000, 10_000, 9000, nil},
		"not announced":         {strings.NewReader(strings.Repeat("x", 9000)), -1, 10_000, 9000, nil},
		"empty":                 {strings.NewReader(""), 0, 10, 0, nil},
		"exactly the limit":     {strings.NewReader(strings.Repeat("x", 5000)), -1, 5000, 5000, nil},
		"announced too large":   {strings.NewReader(""), 11, 10, 0, ErrTooLarge},
		"too large":             {strings.NewReader(strings.Repeat("x", 5001)), -1, 5000, 5001, ErrTooLarge},
		"truncated":             {io.MultiReader(strings.NewReader("xx"), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, 10, 2, io.ErrUnexpectedEOF},
		"longer than announced": {strings.NewReader(strings.Repeat("x", 9)), 3, 10, 9, nil},
		"read error":            {io.MultiReader(strings.NewReader("xx"), iotest.ErrReader(errRead)), -1, 10, 2, errRead},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			share := NewBudget(1 << 20).Share()
			defer share.Release()
			body, err := share.ReadAll(c.source, c.length, c.limit)
			if !errors.Is(err, c.err) || !bytes.Equal(body, bytes.Repeat([]byte("x"), c.want)) {
				t.Errorf("read %d bytes, error %v, want %d bytes, error %v", len(body), err, c.want, c.err)
			}
		})
	}
}

// Guards against bodies that together exceed the budget, and against a budget
// that shrinks because released bytes are not returned to it.
func TestBudgetIsShared(t *testing.T) {
	budget := NewBudget(10_000)
	first, second := budget.Share(), budget.Share().WithFactor(2)
	if !first.Grow(6000) || second.Grow(3000) {
		t.Fatal("6000 bytes must fit into a budget of 10000, another 3000 charged twice must not")
	}
	if _, err := second.ReadAll(strings.NewReader("x"), -1, 100); err != nil {
		t.Errorf("small body within the rest of the budget: %v", err)
	}
	first.Release()
	if !second.Grow(1 << 30) {
		t.Error("a single body larger than the budget was refused")
	}
	if budget.Share().Grow(1) {
		t.Error("another share could grow although the budget is used up")
	}
	second.Release()
	if !budget.Share().Grow(10_000) {
		t.Error("the budget is smaller after its release")
	}
}
