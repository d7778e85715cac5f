package dispatch

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
	"github.com/wigeonpin/wigeonpin/internal/peer/service"
	"github.com/wigeonpin/wigeonpin/internal/traffic/breaker"
	"github.com/wigeonpin/wigeonpin/internal/traffic/queue"
)

// crashCheckTimeout is the timeout of the check whether a service has crashed.
const crashCheckTimeout = 200 * time.Millisecond

// headerDeadline is the header field with the milliseconds that remain until the
// call's deadline.
const headerDeadline = "Wigeonpin-Deadline-Ms"

// serviceCost is the expected cost of a service call in milliseconds on its
// endpoint, used until the actual duration is known.
const serviceCost = 50

// forwarding is the state of one service call across its attempts.
type forwarding struct {
	d      *Dispatcher
	call   ServiceCall
	failed []string
	sent   bool

	content       func() string // the content digest, computed once
	interruptions int           // attempts that the service broke off
	askedAfter    int           // interruptions when the breaker was last asked, plus one; 0 if never
}

// Forward runs a call on a plain service. A call that is not repeatable is
// retried only when it is certain that nothing of it was sent before.
func (d *Dispatcher) Forward(ctx context.Context, call ServiceCall) (*Answer, error) {
	ctx, cancel := d.timers.WithTimeout(ctx, call.Deadline.Sub(d.timers.Now()))
	f := &forwarding{d: d, call: call, content: sync.OnceValue(func() string {
		return breaker.Digest(call.Body, call.Account, call.Model, call.Method, call.Path, call.RawQuery)
	})}
	answer, err := f.run(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	if answer.Rest == nil {
		cancel()
		return answer, nil
	}
	return answer.OnClose(cancel), nil
}

func (f *forwarding) run(ctx context.Context) (*Answer, error) {
	interval := newInterval()
	for {
		if err := f.admit(); err != nil {
			return nil, err
		}
		turn, chosen, err := f.acquire(ctx)
		if err != nil {
			return nil, code.Of(err).WithRun(f.runState())
		}
		answer, err := f.attempt(ctx, turn, chosen)
		if err == nil {
			return answer, nil
		}
		if final := f.retryOrFail(ctx, chosen, err); final != nil {
			return nil, final
		}
		if f.d.timers.Sleep(ctx, interval.NextBackOff()) != nil {
			return nil, contextError(ctx, f.runState())
		}
	}
}

// admit returns an error when the call's content crashed services and is held
// back. It asks the breaker before the first attempt and after each attempt that
// a service broke off.
func (f *forwarding) admit() error {
	if f.d.seams.Breaker.Empty() || f.askedAfter > f.interruptions {
		return nil
	}
	f.askedAfter = f.interruptions + 1
	wait := f.d.seams.Breaker.Admit(f.content(), breaker.NoLimit)
	if wait == 0 {
		return nil
	}
	if f.sent {
		return code.New(code.EndpointFailed, "services ended while they ran the call").WithRun(code.MaybeRun)
	}
	return code.New(code.ContentHeld, "calls with this content ended services").WithRun(code.NotRun).WithRetryAfter(wait)
}

// handleInterruption checks whether the service that broke the call off has
// crashed, and if so reports that to the breaker.
func (f *forwarding) handleInterruption(e roster.Endpoint) {
	f.interruptions++
	ctx, cancel := f.d.timers.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	if f.d.engines.Dead(ctx, e.Address) {
		f.d.seams.Breaker.RecordCrash(f.content(), breaker.Incarnation{Endpoint: e.ID, Born: int64(e.Revision)})
	}
}

func (f *forwarding) runState() code.Run {
	if f.sent {
		return code.MaybeRun
	}
	return code.NotRun
}

func (f *forwarding) acquire(ctx context.Context) (*queue.Turn, pickResult, error) {
	var chosen pickResult
	account, _ := f.d.seams.Table().Account(f.call.Account)
	n := requirements{account: f.call.Account, model: f.call.Model, allowCheap: f.call.Repeatable, failed: f.failed, deadline: f.call.Deadline}
	f.d.waiting.Add(n.model, 1)
	defer f.d.waiting.Add(n.model, -1)
	turn, err := f.d.seams.Wait(ctx, queue.Item{
		Account: f.call.Account, Model: f.call.Model, Weight: account.Weight,
		MaxWaiting: account.MaxWaiting, MaxRunning: account.MaxRunning,
		Cost: serviceCost, Deadline: f.call.Deadline, Front: len(f.failed) > 0, Check: attemptCheck(f.call.Check, f.sent),
		Start: func() (ok bool, err error) {
			chosen, ok, err = f.d.pick(n)
			return ok, err
		},
	})
	return turn, chosen, err
}

// attempt sends the call to one endpoint. The slot and the turn are held until
// the answer is complete or closed.
func (f *forwarding) attempt(ctx context.Context, turn *queue.Turn, chosen pickResult) (*Answer, error) {
	began := f.d.timers.Now()
	end := func(failed bool) time.Duration {
		took := f.d.timers.Since(began)
		turn.DoneAfter(func() {
			chosen.slot.Release(Outcome{FirstToken: took, Took: took, Failed: failed, Cost: max(took.Milliseconds(), 1)})
		})
		return took
	}
	answer, err := f.send(ctx, chosen)
	if err != nil {
		end(ctx.Err() == nil)
		return nil, err
	}
	f.d.budgets.success(f.call.Account, chosen.endpoint.ID)
	if !f.d.seams.Breaker.Empty() {
		f.d.seams.Breaker.RecordAnswer(f.content())
	}
	f.d.counts.served.Add(f.call.Account, 1)
	now := f.d.timers.Now()
	f.d.speeds.observe(chosen.endpoint, f.call, answer, now.Sub(began), now)
	if answer.Rest == nil {
		f.record(ctx, end(false))
		return answer, nil
	}
	return answer.OnClose(func() { f.record(ctx, end(false)) }), nil
}

func (f *forwarding) send(ctx context.Context, chosen pickResult) (*Answer, error) {
	header := http.Header(f.call.Header).Clone()
	if header == nil {
		header = http.Header{}
	}
	remaining := f.call.Deadline.Sub(f.d.timers.Now())
	header.Set(headerDeadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	request := service.Request{
		ID: f.call.Request, Method: f.call.Method, Path: f.call.Path, RawQuery: f.call.RawQuery,
		Header: header, Body: f.call.Body,
	}
	sentAt := f.d.timers.Uptime()
	send := f.sendOnce
	if f.call.Repeatable {
		send = f.hedged
	}
	answer, err := send(ctx, chosen, request)
	if err == nil {
		f.d.observeLimit(chosen.endpoint, answer.Header, sentAt)
	}
	return answer, err
}

func (f *forwarding) sendOnce(ctx context.Context, chosen pickResult, request service.Request) (*Answer, error) {
	return f.d.services.SendOnce(ctx, chosen.endpoint.Address, request)
}

func (f *forwarding) record(ctx context.Context, took time.Duration) {
	usage := Usage{Account: f.call.Account, Class: f.call.Class, Requests: 1, Cost: max(took.Milliseconds(), 1)}
	if err := f.d.seams.Record(context.WithoutCancel(ctx), usage); err != nil {
		f.d.log.WithField(logs.Account, f.call.Account).WithError(err).Error("usage record not written")
	}
}

// retryOrFail returns the call's final error after a failed attempt, or nil when
// another attempt may follow, for which it spends retry budget.
func (f *forwarding) retryOrFail(ctx context.Context, chosen pickResult, err error) error {
	failure := code.Of(err)
	id := chosen.endpoint.ID
	if failure.Run != code.NotRun {
		f.sent = true
	}
	if failure.Code == code.BadRequest {
		return failure.WithRun(f.runState())
	}
	if ctx.Err() != nil {
		return contextError(ctx, f.runState())
	}
	f.d.counts.failed.Add(id, 1)
	f.d.log.WithField(logs.Endpoint, id).WithField(logs.Request, f.call.Request).WithError(err).Warn("attempt failed")
	if failure.Run == code.NotRun {
		f.d.seams.Failed(id, err)
	} else {
		f.handleInterruption(chosen.endpoint)
	}
	if f.sent && !f.call.Repeatable {
		return failure.WithRun(code.MaybeRun)
	}
	if !f.d.budgets.spend(f.call.Account, id) {
		return code.New(code.RetryBudget, "an endpoint failed and the retry budget is used up").
			WithRun(f.runState()).WithRetryAfter(endpointRetryAfter)
	}
	f.failed = append(f.failed, id)
	f.d.counts.retried.Add(f.call.Account, 1)
	return nil
}
