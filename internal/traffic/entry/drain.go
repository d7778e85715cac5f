package entry

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
)

// The time to come back after a refusal by a stopping instance; another
// instance can take the request at once.
const drainRetryAfter = 200 * time.Millisecond

// drain is the progress of a planned stop.
type drain struct {
	mu      sync.Mutex
	idle    chan struct{}
	running int
	// unready and closed are the two stages of a planned stop.
	unready bool
	closed  bool
}

// enter counts a request as running, or refuses it.
func (d *drain) enter() (leave func(), err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, code.New(code.Draining, "the instance is stopping").
			WithRun(code.NotRun).WithRetryAfter(drainRetryAfter)
	}
	d.running++
	return d.leave, nil
}

func (d *drain) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
	if d.running == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
}

func (d *drain) isUnready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unready
}

func (d *drain) setUnready() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unready = true
}

// stopAccepting refuses new requests and returns a channel that is closed once none runs.
func (d *drain) stopAccepting() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unready, d.closed = true, true
	idle := make(chan struct{})
	if d.running == 0 {
		close(idle)
		return idle
	}
	d.idle = idle
	return idle
}

// Unready makes the readiness probe fail; requests are still served.
func (e *Entry) Unready() { e.drain.setUnready() }

// Drain stops as planned: it fails the readiness probe, goes on serving until
// the load balancer has noticed, then refuses new requests and waits until the
// running ones have ended. It returns an error when they did not in time.
func (e *Entry) Drain(ctx context.Context) error {
	e.drain.setUnready()
	if err := e.timers.Sleep(ctx, setting.Milliseconds(e.settings.DrainDelayMS)); err != nil {
		return err
	}
	idle := e.drain.stopAccepting()
	limit := e.timers.After(setting.Milliseconds(e.settings.DrainLimitMS))
	defer limit.Stop()
	select {
	case <-idle:
		return nil
	case <-limit.C:
		return code.New(code.Draining, "requests still ran at the end of the drain limit")
	case <-ctx.Done():
		return ctx.Err()
	}
}
