package forward

import (
	"context"
	"errors"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/traffic/queue"
	"github.com/wigeonpin/wigeonpin/internal/traffic/retryafter"
	"github.com/wigeonpin/wigeonpin/internal/traffic/stop"
)

const (
	// waitShare is the part of a route's target latency that a request may spend
	// waiting for an endpoint; the rest is left for its run.
	waitShare = 0.5
	// defaultWait bounds the wait on routes without a latency objective.
	defaultWait = time.Second
	// recheckPeriod is how often the queue is rechecked while requests wait.
	// The end of another request triggers a check as well, but the end of an
	// endpoint's cooldown does not.
	recheckPeriod = 20 * time.Millisecond
	// maxRejections bounds how often one request may be rejected by endpoints
	// without free capacity.
	maxRejections = 3
)

var (
	errNoEndpoint        = errors.New("the service has no endpoint")
	errTooManyRejections = errors.New("too many endpoints rejected the request")
	errAllTried          = errors.New("all endpoints were tried")
	errLate              = errors.New("the request could not end within the planned stop")
	errLimited           = errors.New("the limits of all endpoints are used up")
)

// reservation is a slot at an endpoint, together with the queue turn in which it
// was taken.
type reservation struct {
	*replica.Slot
	turn *queue.Turn
}

// Done releases the slot and lets the next waiting request run.
func (r *reservation) Done(outcome replica.Outcome) {
	r.turn.DoneAfter(func() { r.Slot.Done(outcome) })
}

// reserve waits for a slot at an endpoint that the request was not sent to yet.
// The queue decides the order and is fair between client accounts. A request
// that cannot get a slot in time is refused at once, and so is one that could not
// end any more within a planned stop.
func (f *Forwarder) reserve(ctx context.Context, call Call, p *progress) (*reservation, error) {
	if p.rejections >= maxRejections {
		return nil, errTooManyRejections
	}
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	defer f.seams.Stop.Await(p.work, func() { giveUp(errLate) })()
	until := p.queueDeadline
	if p.runs > 0 {
		until = call.Deadline // it may have run already, so an early refusal does not help the caller
	}
	f.waiting.Add(call.Service, 1)
	defer f.waiting.Add(call.Service, -1)
	var slot *replica.Slot
	held := false
	item := queue.Item{
		Account: call.Account, Model: call.Service, Weight: 1, Cost: f.expectedWork(call),
		Deadline: until, Front: p.runs > 0 || p.rejections > 0, Urgent: call.Urgent,
		Start: func() (bool, error) {
			if !f.seams.Stop.CanEnd(p.work) {
				giveUp(errLate)
				return false, stop.Refusal()
			}
			var found bool
			slot, found = f.seams.Fleet.Pick(replica.Requirements{
				Service: call.Service, Avoid: p.tried, Class: call.Class(),
				Account: call.Account, Waiting: f.waiting.Count(call.Service), Patience: until.Sub(f.timers.Now()),
				Background: f.timers.Now().Before(call.Urgent),
			})
			if found {
				return true, nil
			}
			held = true
			f.startRechecks()
			return false, f.checkWait(call, p, until)
		},
	}
	turn, err := f.queue.Wait(ctx, item)
	if err != nil {
		p.late = context.Cause(ctx) == errLate
		return nil, err
	}
	f.countBackground(call, held)
	return &reservation{Slot: slot, turn: turn}, nil
}

// countBackground counts an attempt of a background call that goes out now. Held reports
// whether it had to wait.
func (f *Forwarder) countBackground(call Call, held bool) {
	switch {
	case call.Urgent.IsZero():
	case !f.timers.Now().Before(call.Urgent):
		f.background.Add("limit", 1)
	case held:
		f.background.Add("waited", 1)
	default:
		f.background.Add("immediate", 1)
	}
}

// checkWait returns an error when waiting until the given time is useless: the service
// has no endpoint, the limits of all endpoints are used up for longer, or the request
// may have run and was sent to every endpoint. A request that was only rejected by full
// endpoints may try all of them again.
func (f *Forwarder) checkWait(call Call, p *progress, until time.Time) error {
	fleet := f.seams.Fleet
	wait, _, limited := fleet.Limited(replica.Requirements{Service: call.Service, Avoid: p.tried})
	if limited && wait > 0 && p.runs == 0 && len(p.tried) > 0 {
		clear(p.tried)
		return nil
	}
	if limited && f.timers.Now().Add(wait).After(until) {
		return code.New(code.EndpointLimited, "%s", errLimited)
	}
	if !fleet.Serves(replica.Requirements{Service: call.Service}) {
		return code.New(code.NoEndpoint, "%s", errNoEndpoint)
	}
	if fleet.Serves(replica.Requirements{Service: call.Service, Avoid: p.tried}) {
		return nil // an endpoint that was not tried is busy
	}
	if p.runs > 0 {
		return code.New(code.NoEndpoint, "%s", errAllTried)
	}
	clear(p.tried)
	return nil
}

// queueDeadline returns the time until which a request may wait for an endpoint.
func queueDeadline(call Call, now time.Time) time.Time {
	if call.Urgent.After(now) {
		now = call.Urgent
	}
	wait := defaultWait
	if call.Route.TargetLatency > 0 {
		wait = time.Duration(waitShare * float64(call.Route.TargetLatency))
	}
	if by := now.Add(wait); by.Before(call.Deadline) {
		return by
	}
	return call.Deadline
}

// startRechecks starts a goroutine, unless it runs already, that rechecks the
// queue every recheckPeriod until no request waits. startRechecks does not block
// and may be called with the queue locked.
func (f *Forwarder) startRechecks() {
	if !f.rechecking.CompareAndSwap(false, true) {
		return
	}
	go func() {
		ticks := f.timers.Subscribe(recheckPeriod)
		defer ticks.Stop()
		for {
			<-ticks.C
			if f.queue.Recheck() > 0 {
				continue
			}
			f.rechecking.Store(false)
			// A request may have begun to wait before the flag was cleared.
			if f.queue.Recheck() == 0 || !f.rechecking.CompareAndSwap(false, true) {
				return
			}
		}
	}()
}

// limitedFor returns the Retry-After delay for a caller if all endpoints of the service
// are limited and have no permits for this process now, or 0.
func (f *Forwarder) limitedFor(service string) time.Duration {
	wait, rate, limited := f.seams.Fleet.Limited(replica.Requirements{Service: service})
	if !limited {
		return 0
	}
	return max(wait, f.schedule(service).Next(f.timers.Now(), rate))
}

// retryAfter returns the Retry-After delay for a refused caller. The delays of
// one service are spread over time.
func (f *Forwarder) retryAfter(service string) time.Duration {
	return f.schedule(service).Next(f.timers.Now(), f.queue.Rate(service))
}

func (f *Forwarder) schedule(service string) *retryafter.Schedule {
	f.mu.Lock()
	defer f.mu.Unlock()
	schedule, known := f.schedules[service]
	if !known {
		schedule = retryafter.New()
		f.schedules[service] = schedule
	}
	return schedule
}
