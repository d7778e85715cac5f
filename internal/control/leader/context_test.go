package leader

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
)

// Guards against calls of a holder that go on after its tenure has lapsed, also when
// the machine was suspended, and against calls that end although the tenure was
// renewed.
func TestContextFollowsTheTenure(t *testing.T) {
	var uptime atomic.Int64
	uptime.Store(int64(time.Hour))
	timers := clock.NewSystem().WithUptime(func() time.Duration { return time.Duration(uptime.Load()) })
	c := New(ledger.New().Store(), Options{Self: "a", Term: term}, timers, logs.Discard())
	tenure, err := c.campaign(t.Context())
	if err != nil || tenure == nil {
		t.Fatalf("campaign = %v, %v", tenure, err)
	}
	ctx, cancel := tenure.Context(t.Context())
	defer cancel()
	uptime.Add(int64(term / 2))
	if !c.renew(t.Context(), tenure, leaseRecord{Holder: "a", Epoch: tenure.Epoch, Count: 1}) {
		t.Fatal("the renewal ended the tenure")
	}
	uptime.Add(int64(term / 2))
	time.Sleep(3 * heldPoll)
	if !tenure.Held() || ctx.Err() != nil {
		t.Fatalf("held %v, context %v, want a context that goes on while the renewed tenure is held", tenure.Held(), ctx.Err())
	}
	uptime.Add(int64(term / 2)) // the machine was suspended
	select {
	case <-ctx.Done():
	case <-time.After(20 * time.Second):
		t.Fatal("the context goes on after the tenure has lapsed")
	}
	if !errors.Is(context.Cause(ctx), ErrNotHeld) {
		t.Errorf("cause %v, want %v", context.Cause(ctx), ErrNotHeld)
	}
}
