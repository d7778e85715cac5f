package members

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
)

const awaitTimeout = 20 * time.Second

// await polls the condition until it holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(awaitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", awaitTimeout, what)
		}
	}
}

// Guards against records of replaced processes that stay in the list for ever, so that
// calls go to addresses where nobody answers, and against the removal of a process that
// is silent for a while only, or by a process that does not hold the role.
func TestRecordsOfGoneProcessesAreRemoved(t *testing.T) {
	l := ledger.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, name := range []string{"gone", "silent", "well"} {
		m := Member{Name: name, Address: name, Zone: "a", Role: "worker"}
		if err := New(l.Store(), m, clock.NewSystem(), logs.Discard()).register(ctx); err != nil {
			t.Fatal(err)
		}
	}
	m := New(l.Store(), Member{Name: "holder", Role: "worker"}, clock.NewSystem(), logs.Discard())
	go m.Run(ctx)
	await(t, "the list is known", func() bool { return len(m.Others()) == 3 })
	timers, driver := clock.NewDriven(time.Unix(1000, 0))
	m.timers = timers
	var held, silentAnswers atomic.Bool
	e := NewExpiry(m, func(_ context.Context, address string) bool {
		return address == "well" || address == "silent" && silentAnswers.Load()
	})
	step := func() {
		for _, gone := range e.findGone(ctx) {
			if held.Load() {
				e.remove(ctx, gone)
			}
		}
		driver.Advance(probeInterval)
	}
	for at := time.Duration(0); at < goneAfter; at += probeInterval {
		silentAnswers.Store(at == goneAfter-2*probeInterval)
		step()
	}
	step()
	if len(m.Others()) != 3 {
		t.Errorf("%d others, want 3 while the role is not held", len(m.Others()))
	}
	held.Store(true)
	step()
	await(t, "only the process that is gone is removed", func() bool { return len(m.Others()) == 2 })
	for _, other := range m.Others() {
		if other.Name == "gone" {
			t.Error("the process that is gone is still listed")
		}
	}
}

// Guards against a process that no one knows any more, since its record was removed
// while it was cut off.
func TestRemovedProcessRegistersAgain(t *testing.T) {
	store := ledger.New().Store()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m := New(store, Member{Name: "p", Address: "1", Role: "entry"}, clock.NewSystem(), logs.Discard())
	go m.Run(ctx)
	await(t, "the process is registered", func() bool {
		_, err := store.Get(ctx, kind, "p")
		return err == nil
	})
	if err := store.Delete(ctx, kind, "p"); err != nil {
		t.Fatal(err)
	}
	await(t, "the process is registered again", func() bool {
		_, err := store.Get(ctx, kind, "p")
		return err == nil
	})
}
