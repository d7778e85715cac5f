// Package stop decides which requests a process still takes in a planned stop, and
// when those that wait are refused, so that each request that was read gets a whole
// answer before the process is killed.
//
// # Usage
//
//	p := stop.New(timers, meters)
//	...
//	p.Begin(7 * time.Second) // at the signal; answers must be ready by then
//
// A request asks before it goes on, and has its wait ended when it can no longer be
// run in time:
//
//	if !p.CanEnd(work) { return stop.Refusal() }
//	done := p.Await(work, giveUp)
//	...
//	done()
//
// Work that is passed on is recorded, and is cancelled at the end of the stop:
//
//	run := p.Start(work)
//	defer run.Finish()
//	ctx, cancel := p.Context(ctx) // context.Cause is ErrEnded at the end
//
// # Decision
//
// Work whose time limit ends before the stop does has an answer by then for certain.
// Other work is judged by how long work of its class took lately.
package stop

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
)

const (
	// retryAfter is the Retry-After delay of refusals. It is short, since another
	// process can take the request at once.
	retryAfter = 200 * time.Millisecond
	// checkInterval is the time between two checks of waiting work.
	checkInterval = 20 * time.Millisecond
	// assumedDuration is what work that may be repeated is taken to last while nothing
	// is known of its class.
	assumedDuration = time.Second
	// CountName is the name of the counter of requests by outcome.
	CountName = "stop_requests"
)

// ErrEnded is the cause with which contexts end at the end of a stop.
var ErrEnded error = code.New(code.Stopped, "the planned stop ended")

// Refusal returns the error for a request that cannot end within a stop and was not
// passed on.
func Refusal() error {
	return code.New(code.Draining, "the process is stopping, and the request could not end in time").
		WithRun(code.NotRun).WithRetryAfter(retryAfter)
}

// Outcome tells what became of a request during a stop.
type Outcome string

// The outcomes.
const (
	Refused  Outcome = "refused"  // answered as not run, since it could not end in time
	Finished Outcome = "finished" // answered
	Cut      Outcome = "cut"      // passed on, and not answered by an endpoint before the end
)

// Work is what the decision needs to know of a request. Durations are remembered by
// Class.
type Work struct {
	Class      string
	Deadline   time.Time
	Repeatable bool // a request that was cut may be sent again
	Open       bool // the caller has a part of the answer, so that a refusal would cut it
}

// Plan is the state of a process's planned stop. It is safe for concurrent use.
type Plan struct {
	timers *clock.Service
	counts *meter.Counter
	ended  context.Context // ends at the end of the stop
	finish context.CancelCauseFunc
	begun  atomic.Bool

	mu        sync.Mutex
	end       time.Time // set once begun
	durations *durations
	waiting   map[*waiting]struct{}
}

type waiting struct {
	work   Work
	giveUp func()
}

// New returns the plan of a process that is not being stopped.
func New(timers *clock.Service, meters *meter.Set) *Plan {
	p := &Plan{
		timers: timers, counts: meters.Counter(CountName), durations: newDurations(timers),
		waiting: map[*waiting]struct{}{},
	}
	p.ended, p.finish = context.WithCancelCause(context.Background())
	return p
}

// Begin begins the stop, which ends after limit. Only the first call has an effect.
func (p *Plan) Begin(limit time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.begun.Load() {
		return
	}
	p.end = p.timers.Now().Add(limit)
	p.begun.Store(true)
	p.refuseLate()
	ticks, end := p.timers.Subscribe(checkInterval), p.timers.After(limit)
	go func() {
		defer ticks.Stop()
		defer end.Stop()
		for {
			select {
			case <-ticks.C:
				p.mu.Lock()
				p.refuseLate()
				p.mu.Unlock()
			case <-end.C:
				p.mu.Lock()
				p.refuseLate()
				p.mu.Unlock()
				p.finish(ErrEnded)
				return
			}
		}
	}()
}

// Begun reports whether the stop has begun.
func (p *Plan) Begun() bool { return p.begun.Load() }

// Left returns the time until the end of the stop. It reports false if the stop has
// not begun.
func (p *Plan) Left() (time.Duration, bool) {
	if !p.begun.Load() {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.end.Sub(p.timers.Now()), true
}

// Ended returns a channel that is closed at the end of the stop.
func (p *Plan) Ended() <-chan struct{} { return p.ended.Done() }

// Context returns a context that also ends at the end of the stop.
func (p *Plan) Context(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	release := context.AfterFunc(p.ended, func() { cancel(ErrEnded) })
	return ctx, func() {
		release()
		cancel(context.Canceled)
	}
}

// CanEnd reports whether work that is passed on now can be expected to end within
// the stop. It is always so before the stop begins.
func (p *Plan) CanEnd(w Work) bool {
	if !p.begun.Load() {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.canEnd(w, p.durations.estimate)
}

// canEnd decides with the given estimates; p.mu is held.
func (p *Plan) canEnd(w Work, estimate func(Work) (time.Duration, bool)) bool {
	now := p.timers.Now()
	switch {
	case !now.Before(p.end):
		return false
	case w.Open || !w.Deadline.After(p.end):
		return true
	}
	expected, known := estimate(w)
	if !known {
		if !w.Repeatable {
			return false
		}
		expected = max(expected, assumedDuration)
	}
	return !now.Add(expected).After(p.end)
}

// Await registers work that waits before it can be passed on. When it can no longer
// end within the stop, giveUp is called, which must not block. It is not called after
// done has returned.
func (p *Plan) Await(w Work, giveUp func()) (done func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := &waiting{work: w, giveUp: giveUp}
	p.waiting[one] = struct{}{}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.waiting, one)
	}
}

// refuseLate gives up the waiting work that can no longer end; p.mu is held.
func (p *Plan) refuseLate() {
	estimate := p.durations.snapshot()
	for one := range p.waiting {
		if !p.canEnd(one.work, estimate) {
			delete(p.waiting, one)
			one.giveUp()
		}
	}
}

// Count counts a request that ended during the stop.
func (p *Plan) Count(o Outcome) {
	if p.begun.Load() {
		p.counts.Add(string(o), 1)
	}
}

// Counts returns the number of requests by outcome.
func (p *Plan) Counts() map[string]int64 { return p.counts.Values() }

// Run is work that was passed on.
type Run struct {
	plan  *Plan
	class string
	began time.Time
}

// Start records that work is passed on.
func (p *Plan) Start(w Work) *Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &Run{plan: p, class: w.Class, began: p.timers.Now()}
	p.durations.start(r)
	return r
}

// Finish records that the work has ended. Only the first call has an effect.
func (r *Run) Finish() {
	r.plan.mu.Lock()
	defer r.plan.mu.Unlock()
	r.plan.durations.finish(r)
}
