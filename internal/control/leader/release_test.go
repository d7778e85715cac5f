package leader

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
)

// Guards against a call that is still made under a tenure whose role has been
// released, since a successor takes a released role at once.
func TestTenureEndsBeforeItsRelease(t *testing.T) {
	const short = 300 * time.Millisecond
	var uptime, renewals atomic.Int64
	var released, heldAtRelease atomic.Bool
	var current atomic.Pointer[Tenure]
	store := ledger.New().Store()
	put := store.Put
	store.Put = func(ctx context.Context, r records.Record) (records.Record, error) {
		if bytes.Contains(r.Body, []byte(`"free":true`)) {
			released.Store(true)
			heldAtRelease.Store(current.Load().Held())
		}
		defer renewals.Add(1)
		return put(ctx, r)
	}
	uptime.Store(int64(time.Hour))
	timers := clock.NewSystem().WithUptime(func() time.Duration { return time.Duration(uptime.Load()) })
	c := New(store, Options{Self: "a", Term: short}, timers, logs.Discard())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c.Run(ctx, func(ctx context.Context, tenure *Tenure) {
		current.Store(tenure)
		for range 2*releaseAfterTerms + 2 {
			// The second renewal from now on begins after the uptime has advanced.
			uptime.Add(int64(short / 2))
			for seen := renewals.Load(); renewals.Load() < seen+2; time.Sleep(time.Millisecond) {
				if ctx.Err() != nil {
					return
				}
			}
		}
		cancel()
	})
	if !released.Load() {
		t.Fatal("the role was not released")
	}
	if heldAtRelease.Load() {
		t.Error("the tenure is held while its role is released")
	}
}
