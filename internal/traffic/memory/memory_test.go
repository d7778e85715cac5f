package memory

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against bodies that are cut, changed or read past their limit.
func TestReadAll(t *testing.T) {
	cut := errors.New("cut")
	cases := map[string]struct {
		source        io.Reader
		length, limit int64
		want          int
		err           error
	}{
		"announced":           {strings.NewReader(strings.Repeat("x", 9000)), 9000, 10_000, 9000, nil},
		"not announced":       {strings.NewReader(strings.Repeat("x", 9000)), -1, 10_000, 9000, nil},
		"empty":               {strings.NewReader(""), 0, 10, 0, nil},
		"of the limit":        {strings.NewReader(strings.Repeat("x", 5000)), -1, 5000, 5000, nil},
		"announced too large": {strings.NewReader(""), 11, 10, 0, ErrTooLarge},
		"too large":           {strings.NewReader(strings.Repeat("x", 5001)), -1, 5000, 5001, ErrTooLarge},
		"cut":                 {io.MultiReader(strings.NewReader("xx"), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, 10, 2, io.ErrUnexpectedEOF},
		"longer than said":    {strings.NewReader(strings.Repeat("x", 9)), 3, 10, 9, nil},
		"broken off":          {io.MultiReader(strings.NewReader("xx"), iotest.ErrReader(cut)), -1, 10, 2, cut},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			share := NewBudget(1 << 20).Share()
			defer share.Release()
			body, err := share.ReadAll(c.source, c.length, c.limit)
			if !errors.Is(err, c.err) || !bytes.Equal(body, bytes.Repeat([]byte("x"), c.want)) {
				t.Errorf("%d bytes, %v, want %d, %v", len(body), err, c.want, c.err)
			}
		})
	}
}

// Guards against many bodies that together take more than the budget, and
// against a budget that shrinks with use.
func TestBudgetIsShared(t *testing.T) {
	budget := NewBudget(10_000)
	first, second := budget.Share(), budget.Share().WithFactor(2)
	if !first.Grow(6000) || second.Grow(3000) {
		t.Fatal("the second share must not fit beside the first")
	}
	if _, err := second.ReadAll(strings.NewReader("x"), -1, 100); err != nil {
		t.Errorf("a small body: %v", err)
	}
	first.Release()
	if !second.Grow(1 << 30) {
		t.Error("a single body may take the whole budget")
	}
	if budget.Share().Grow(1) {
		t.Error("nothing is left beside it")
	}
	second.Release()
	if !budget.Share().Grow(10_000) {
		t.Error("the released budget is not whole")
	}
}
