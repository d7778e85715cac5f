package batch

import (
	"context"
	"errors"
	"testing"

	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
)

// Guards against calls to the store for an end marker that is known to be stored:
// trainers end a batch several times, at several processes, and each time cost a write
// and a read. An outcome that is not known must still be read back, and a refused
// marker must not count as stored.
func TestCallsOfAnEndMarker(t *testing.T) {
	ctx := context.Background()
	l := ledger.New()
	first, second := NewStore(l.Store(), 1<<20), NewStore(l.Store(), 1<<20)
	l.SetFault(ledger.Refuse)
	if err := first.End(ctx, "b1"); !errors.Is(err, records.ErrRefused) {
		t.Fatalf("error %v, want a refusal", err)
	}
	l.SetFault(ledger.None)
	for _, step := range []struct {
		name         string
		store        *Store
		fault        ledger.Fault
		id           string
		writes, gets int
	}{
		{"first end after a refusal", first, ledger.None, "b1", 1, 0},
		{"again by the same process", first, ledger.None, "b1", 0, 0},
		{"again by another process", second, ledger.None, "b1", 1, 0},
		{"and by it again", second, ledger.None, "b1", 0, 0},
		{"lost answer", first, ledger.LoseResponse, "b2", 1, 1},
		{"again after the lost answer", first, ledger.None, "b2", 0, 0},
	} {
		writes, gets := l.Calls("write"), l.Calls("get")
		l.SetFault(step.fault)
		if err := step.store.End(ctx, step.id); err != nil {
			t.Fatalf("%s: %v", step.name, err)
		}
		if w, g := l.Calls("write")-writes, l.Calls("get")-gets; w != step.writes || g != step.gets {
			t.Errorf("%s: %d writes and %d reads, want %d and %d", step.name, w, g, step.writes, step.gets)
		}
	}
}
