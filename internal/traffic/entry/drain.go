package entry

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
)

// drainRetryAfter is the retry delay that a stopping instance names in refusals.
// It is short since another instance can take the request at once.
const drainRetryAfter = 200 * time.Millisecond

// drain counts the running requests and holds the state of a planned stop.
type drain struct {
	mu      sync.Mutex
	idle    chan struct{} // closed once no request runs; nil unless stopAccepting waits for it
	running int
	// A planned stop first sets unready, which fails the readiness probe, and
	// later closed, which refuses new requests.
	unready bool
	closed  bool
}

// enter counts a request as running, or returns an error once new requests are
// refused. The caller must call leave when the request has ended.
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

func (d *drain) markUnready() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unready = true
}

// stopAccepting refuses new requests from now on. The returned channel is
// closed once no request is running.
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

// SetUnready makes the readiness probe fail. Requests are still served.
func (e *Entry) SetUnready() { e.drain.markUnready() }

// Drain performs a planned stop. It fails the readiness probe, keeps serving
// during the drain delay so that load balancers notice, then refuses new
// requests and waits for the running ones. It returns an error if some still
// run at the end of the drain limit or of ctx.
func (e *Entry) Drain(ctx context.Context) error {
	e.drain.markUnready()
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
