package entry

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/traffic/stop"
)

// drainRetryAfter is the retry delay that a stopping instance names in refusals.
// It is short since another instance can take the request at once.
const drainRetryAfter = 200 * time.Millisecond

// lastAnswersTime is how long a drain waits after its limit for the answers to the
// requests that it ended.
const lastAnswersTime = time.Second

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

// checkEnd returns a refusal if work cannot end within a planned stop any more.
func (e *Entry) checkEnd(work stop.Work) error {
	if e.plan.CanEnd(work) {
		return nil
	}
	return stop.Refusal()
}

// outcome returns what became of a request whose handler has answered it.
func outcome(ctx context.Context) stop.Outcome {
	if context.Cause(ctx) == stop.ErrEnded {
		return stop.Cut
	}
	return stop.Finished
}

// stopError returns the error with which a request is answered, and counts it. If the
// end of a planned stop ended the request, the error says so.
func (e *Entry) stopError(ctx context.Context, err error) error {
	coded := code.Of(err)
	ended := context.Cause(ctx) == stop.ErrEnded && coded.Run != code.Ran
	switch {
	case ended && coded.Run == code.NotRun:
		coded = code.Of(stop.Refusal())
	case ended, coded.Code == code.Draining && coded.Run != code.NotRun:
		coded = code.Of(stop.ErrEnded).WithRun(code.MaybeRun)
	}
	switch coded.Code {
	case code.Draining:
		e.plan.Count(stop.Refused)
	case code.Stopped:
		e.plan.Count(stop.Cut)
	default:
		e.plan.Count(stop.Finished)
	}
	return coded
}

// SetUnready makes the readiness probe fail. Requests are still served.
func (e *Entry) SetUnready() { e.drain.markUnready() }

// Drain performs a planned stop. It fails the readiness probe, keeps serving
// during the drain delay so that load balancers notice, then refuses new
// requests and waits for the running ones. Requests that cannot end by the drain
// limit are refused from the start, and those that still run then are answered so. It
// returns an error if some remain after that, or when ctx ends.
func (e *Entry) Drain(ctx context.Context) error {
	e.drain.markUnready()
	e.plan.Begin(setting.Milliseconds(e.settings.DrainDelayMS + e.settings.DrainLimitMS))
	defer func() { e.log.WithField("requests", e.plan.Counts()).Info("drain ended") }()
	if err := e.timers.Sleep(ctx, setting.Milliseconds(e.settings.DrainDelayMS)); err != nil {
		return err
	}
	idle := e.drain.stopAccepting()
	limit := e.timers.After(setting.Milliseconds(e.settings.DrainLimitMS) + lastAnswersTime)
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
