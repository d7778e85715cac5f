package members

import (
	"context"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
)

// Guards against writes of a record that is stored already or that exists with another
// address: each start of a process cost a refused write and a second one. A record that
// was removed, also while the process starts, must be written again.
func TestWritesOfARecord(t *testing.T) {
	self := Member{Name: "e1", Address: "1", Zone: "a", Role: "entry"}
	moved := self
	moved.Address = "2"
	l := ledger.New()
	for _, step := range []struct {
		name   string
		self   Member
		writes int
	}{
		{"new process", self, 1},
		{"starts again", self, 0},
		{"starts again at another address", moved, 1},
	} {
		before := l.Calls("write")
		ctx, cancel := context.WithCancel(context.Background())
		m := New(l.Store(), step.self, clock.NewSystem(), logs.Discard())
		go m.Run(ctx)
		stored := func() bool {
			m.mu.RLock()
			defer m.mu.RUnlock()
			return m.stored == step.self
		}
		for deadline := time.Now().Add(20 * time.Second); !stored() && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(3 * listPoll)
		if n := l.Calls("write") - before; n != step.writes || !stored() {
			t.Errorf("%s: %d writes, want %d; stored: %v", step.name, n, step.writes, stored())
		}
		if step.writes == 0 {
			if err := l.Store().Delete(ctx, kind, self.Name); err != nil {
				t.Fatal(err)
			}
			before = l.Calls("write")
			for deadline := time.Now().Add(20 * time.Second); l.Calls("write") == before && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			if l.Calls("write") == before {
				t.Error("the record was removed and not written again")
			}
		}
		cancel()
	}
}
