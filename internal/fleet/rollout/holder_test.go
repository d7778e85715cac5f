package rollout

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
)

// TestNewHolderReadsTheStoredVersion guards against weights that step back: a new
// holder of the lease missed the last announcement and would order the version
// before it from engines that its predecessor has brought further.
func TestNewHolderReadsTheStoredVersion(t *testing.T) {
	defer goleak.VerifyNone(t)
	const missed, stored = 4, 5
	f := newFixture(8)
	f.loadTime = 0
	for _, x := range f.engines {
		x.status.Active = stored
	}
	f.driver.Advance(time.Second) // fills the rate limit of the weight store
	var known, reads atomic.Int64
	known.Store(missed)
	seams := f.rollout.seams
	seams.View = func() *member.View { return member.NewView([]member.Instance{{ID: "a", Zone: "z"}}) }
	seams.Hold = func(context.Context, string) Lease {
		return Lease{Held: func() (uint64, bool) { return 7, true }}
	}
	seams.Version = func(string) (int, bool) { return int(known.Load()), true }
	seams.Changed = func() <-chan struct{} { return nil }
	seams.Refresh = func(context.Context) error {
		if reads.Add(1) == 1 {
			return errors.New("the store does not answer")
		}
		known.Store(stored)
		return nil
	}
	settings := setting.Defaults()
	settings.ID, settings.ExchangeMS = "a", 50
	rollout := New(settings, clock.NewSystem(), seams, logs.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = rollout.Run(ctx) })
	defer running.Wait()
	defer cancel()
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(10 * time.Millisecond) {
		if p := rollout.Progress()["t"]; p.Engines == 8 && p.Switched == 8 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("progress %+v, want 8 engines that have the version", rollout.Progress()["t"])
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, x := range f.engines {
		if x.version != 0 || x.status.Active != stored {
			t.Errorf("engine %s was ordered to load version %d and runs %d, want no order and version %d", id, x.version, x.status.Active, stored)
		}
	}
}
