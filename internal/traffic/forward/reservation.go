package forward

import (
	"context"
	"errors"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/traffic/queue"
	"github.com/wigeonpin/wigeonpin/internal/traffic/returns"
)

const (
	// waitShare is the part of a route's aim that a request may wait for an
	// endpoint; the rest is for its run.
	waitShare = 0.5
	// defaultWait bounds the wait on routes without an aim.
	defaultWait = time.Second
	// recheckPeriod is how often requests that wait look for an endpoint whose rest
	// is over, beside those that look when another request ends.
	recheckPeriod = 20 * time.Millisecond
	// maxRejections bounds how often one request is sent to endpoints that turn
	// out to be full.
	maxRejections = 3
)

var (
	errNoEndpoint        = errors.New("the service has no endpoint")
	errTooManyRejections = errors.New("too many endpoints were full")
	errAllTried          = errors.New("all endpoints were tried")
)

// reservation is a slot at an endpoint with the turn in which it was taken.
type reservation struct {
	*replica.Slot
	turn *queue.Turn
}

// Done gives the slot back, so that the next request can take it.
func (r *reservation) Done(outcome replica.Outcome) {
	r.Slot.Done(outcome)
	r.turn.Done()
}

// reserve waits for a slot at an endpoint that the request was not sent to yet.
// The order is that of the queue: fair between client accounts. A request that
// cannot be placed in time is refused at once.
func (f *Forwarder) reserve(ctx context.Context, call Call, p *progress) (*reservation, error) {
	if p.rejections >= maxRejections {
		return nil, errTooManyRejections
	}
	until := p.queueDeadline
	if p.runs > 0 {
		until = call.Deadline // it has run, so that a refusal would not help its caller
	}
	var slot *replica.Slot
	item := queue.Item{
		Account: call.Account, Model: call.Service, Weight: 1, Cost: 1,
		Deadline: until, Front: p.runs > 0 || p.rejections > 0,
		Start: func() (bool, error) {
			var found bool
			slot, found = f.seams.Fleet.Pick(replica.Want{Service: call.Service, Avoid: p.tried})
			if found {
				return true, nil
			}
			f.startRechecks()
			return false, f.checkWait(call, p)
		},
	}
	turn, err := f.queue.Wait(ctx, item)
	if err != nil {
		return nil, err
	}
	return &reservation{Slot: slot, turn: turn}, nil
}

// checkWait returns an error when waiting brings no endpoint: there is none, or
// the request may have run at all. One that only full endpoints rejected may
// try them again.
func (f *Forwarder) checkWait(call Call, p *progress) error {
	fleet := f.seams.Fleet
	if !fleet.Serves(replica.Want{Service: call.Service}) {
		return code.New(code.NoEndpoint, "%s", errNoEndpoint)
	}
	if fleet.Serves(replica.Want{Service: call.Service, Avoid: p.tried}) {
		return nil // one that was not tried is busy
	}
	if p.runs > 0 {
		return code.New(code.NoEndpoint, "%s", errAllTried)
	}
	clear(p.tried)
	return nil
}

// queueDeadline returns until when a request may wait for an endpoint.
func queueDeadline(call Call, now time.Time) time.Time {
	wait := defaultWait
	if call.Route.Aim > 0 {
		wait = time.Duration(waitShare * float64(call.Route.Aim))
	}
	if by := now.Add(wait); by.Before(call.Deadline) {
		return by
	}
	return call.Deadline
}

// startRechecks lets the requests that wait look for an endpoint, as long as any
// waits. It returns at once and can be called with the queue locked.
func (f *Forwarder) startRechecks() {
	if !f.rechecking.CompareAndSwap(false, true) {
		return
	}
	go func() {
		ticks := f.timers.Subscribe(recheckPeriod)
		defer ticks.Stop()
		for {
			<-ticks.C
			if f.queue.Kick() > 0 {
				continue
			}
			f.rechecking.Store(false)
			// A request may have begun to wait before kicking was cleared.
			if f.queue.Kick() == 0 || !f.rechecking.CompareAndSwap(false, true) {
				return
			}
		}
	}()
}

// retryAfter returns what a refused caller is told to wait.
func (f *Forwarder) retryAfter(service string) time.Duration {
	f.mu.Lock()
	schedule, known := f.returns[service]
	if !known {
		schedule = returns.New()
		f.returns[service] = schedule
	}
	f.mu.Unlock()
	return schedule.Next(f.timers.Now(), f.queue.Rate(service))
}
