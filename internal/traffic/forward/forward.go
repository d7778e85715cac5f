// Package forward sends a caller's request to endpoints: it picks them, spends
// the attempts that the route allows, and returns the first usable answer.
//
// # Usage
//
//	f := forward.New(forward.Seams{Fleet: fleet, Pool: pool, Names: names}, timers, log)
//	answer, err := f.Send(ctx, forward.Call{Route: route, Service: "catalog", ...})
//	defer answer.Close()
//
// # Errors
//
// Errors are *code.Error. Run is NotRun only when no endpoint can have begun
// to work on the request.
package forward

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/traffic/breaker"
	"github.com/wigeonpin/wigeonpin/internal/traffic/headers"
	"github.com/wigeonpin/wigeonpin/internal/traffic/memory"
	"github.com/wigeonpin/wigeonpin/internal/traffic/queue"
	"github.com/wigeonpin/wigeonpin/internal/traffic/returns"
)

const (
	// WholeLimit is the size in bytes up to which an answer is read completely
	// before it is passed on, so that a broken one can be replaced.
	WholeLimit = 1 << 20
	// attemptShare is the part of the remaining time that one attempt may take
	// while others are left, and minAttemptTime its lower bound.
	attemptShare   = 0.4
	minAttemptTime = 350 * time.Millisecond
	// answerReserve is kept back for the way of the answer to the caller.
	answerReserve = 15 * time.Millisecond
)

// Call is one request of a caller. Request is what the endpoint gets, without
// the header fields that are set for each attempt.
type Call struct {
	ID, Account string
	Route       manifest.Route
	Service     string
	Request     exchange.Request
	Deadline    time.Time

	content func() string // Content, computed once
}

// Answer is an endpoint's answer. Body holds its start, or all of it when Rest
// is nil. Reading Rest fails when the endpoint breaks off.
type Answer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Rest     io.Reader
	Endpoint replica.Entry
	Errors   int // answers of 500 that the call got, this one included
	Attempts int // endpoints that may have run the request
	close    func()
	cancel   context.CancelCauseFunc
}

// ErrStalled is the reason for which Break ends an answer.
var ErrStalled = errors.New("the endpoint makes no progress")

// Close ends the exchange behind the answer.
func (a *Answer) Close() {
	a.close()
}

// Break makes the pending read of Rest fail with ErrStalled, and counts the
// endpoint as failed. It may be called while Rest is read.
func (a *Answer) Break() {
	a.cancel(ErrStalled)
}

// Seams are the functions and parts that a forwarder needs.
type Seams struct {
	Fleet *replica.Fleet
	Pool  *exchange.Pool
	Names headers.Names
	// Began is called once for each request that an endpoint may have begun.
	Began func(account string)
	// Memory bounds what the answers that are read whole may hold; nil means no
	// bound.
	Memory *memory.Budget
	// Meters count what waits and what is refused; nil counts nothing.
	Meters *meter.Set
	// Breaker holds back contents that end endpoints; nil holds back none.
	Breaker *breaker.Breaker
}

// Forwarder sends requests to endpoints.
type Forwarder struct {
	seams      Seams
	timers     *clock.Service
	log        *logrus.Entry
	queue      *queue.Queue
	rechecking atomic.Bool // whether startRechecks runs
	breaks     *meter.Counter
	refusals   *meter.Counter
	held       *meter.Counter

	mu         sync.Mutex
	returns    map[string]*returns.Schedule // by service
	unanswered []unansweredRequest
}

// New returns a forwarder.
func New(seams Seams, timers *clock.Service, log *logrus.Entry) *Forwarder {
	if seams.Memory == nil {
		seams.Memory = memory.NewBudget(math.MaxInt64)
	}
	if seams.Meters == nil {
		seams.Meters = meter.NewSet()
	}
	f := &Forwarder{
		seams: seams, timers: timers, log: log, returns: map[string]*returns.Schedule{},
		breaks: seams.Meters.Counter("endpoint_breaks"), refusals: seams.Meters.Counter("endpoint_refusals"),
		held:  seams.Meters.Counter("requests_held"),
		queue: queue.New(timers, seams.Meters, queue.Seams{Running: func(string) int64 { return 0 }}),
	}
	seams.Fleet.OnEnd(f.attributeEnd)
	return f
}

// progress is what the attempts for a call have shown so far.
type progress struct {
	tried       map[string]bool // endpoints that the request was sent to
	runs        int             // attempts that may have run
	errors      int             // answers of 500
	lastFailure *Answer         // the latest failure that an endpoint answered
	reason      string

	rejections    int       // endpoints that turned out to be full
	queueDeadline time.Time // until when it may wait for an endpoint

	breaks        int           // endpoints that broke it off
	breakerChecks int           // times that the breaker was asked
	holdTime      time.Duration // how long the breaker holds it back
}

// setLastFailure replaces the failure that is returned when no endpoint does better.
func (p *progress) setLastFailure(answer *Answer) {
	if p.lastFailure != nil {
		p.lastFailure.Close()
	}
	p.lastFailure = answer
}

// Send tries endpoints until one gives an answer that is final.
func (f *Forwarder) Send(ctx context.Context, call Call) (*Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	call.content = sync.OnceValue(call.Content)
	answer, err := f.send(ctx, call)
	if err != nil {
		cancel()
		return nil, err
	}
	closeAnswer := answer.close
	answer.close = sync.OnceFunc(func() {
		closeAnswer()
		cancel()
	})
	return answer, nil
}

func (f *Forwarder) send(ctx context.Context, call Call) (*Answer, error) {
	p := &progress{tried: map[string]bool{}, queueDeadline: queueDeadline(call, f.timers.Now())}
	for ctx.Err() == nil && f.admit(call, p) {
		slot, err := f.reserve(ctx, call, p)
		if err != nil {
			p.reason = err.Error()
			break
		}
		answer, verdict := f.attempt(ctx, call, slot, p)
		if verdict == final {
			p.setLastFailure(nil)
			return answer, nil
		}
		if verdict == noRetry || p.runs >= call.Route.Attempts {
			break
		}
	}
	if p.lastFailure != nil {
		return p.lastFailure, nil
	}
	return nil, f.failure(ctx, call, p)
}

type verdict int

const (
	final   verdict = iota // the answer goes to the caller
	retry                  // another endpoint may be tried
	noRetry                // the request must not be sent again
)

// attempt sends the request to one endpoint.
func (f *Forwarder) attempt(ctx context.Context, call Call, slot *reservation, p *progress) (*Answer, verdict) {
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	limit := left
	if call.Route.Repeatable() && call.Route.Kind == manifest.Idempotent && p.runs+1 < call.Route.Attempts {
		limit = min(left, max(minAttemptTime, time.Duration(attemptShare*float64(left))))
	}
	attempt := newAttempt(ctx, limit)
	request := call.Request
	request.Header = call.Request.Header.Clone()
	names := f.seams.Names
	request.Header.Set(names.Endpoint, slot.Entry.ID)
	headers.SetMillis(request.Header, names.Deadline, left-answerReserve)
	p.tried[slot.Entry.ID] = true
	answer, err := f.seams.Pool.Do(attempt.ctx, slot.Entry.Address, request)
	if err != nil {
		timedOut := errors.Is(err, errAttemptTimeout)
		attempt.release()
		return nil, f.handleError(ctx, call, slot, p, err, timedOut)
	}
	return f.handleAnswer(ctx, call, slot, p, answer, attempt)
}

// handleError judges an attempt that brought no answer. timedOut tells that this side
// ended it.
func (f *Forwarder) handleError(ctx context.Context, call Call, slot *reservation, p *progress, err error, timedOut bool) verdict {
	switch {
	case ctx.Err() != nil:
		slot.Done(replica.Abandoned)
	case exchange.Unreached(err):
		slot.Done(replica.Unreached)
		f.seams.Pool.Forget(slot.Entry.Address)
	default:
		slot.Done(replica.Failed)
		f.seams.Pool.Forget(slot.Entry.Address)
	}
	p.reason = err.Error()
	if exchange.NotSent(err) {
		return retry
	}
	f.began(call, p)
	if ctx.Err() == nil && !timedOut {
		p.breaks++
		f.recordBreak(ctx, call, slot.Entry, err)
	} else {
		f.trackUnanswered(call, slot.Entry)
	}
	return f.retryVerdict(call)
}

func (f *Forwarder) began(call Call, p *progress) {
	if p.runs == 0 && f.seams.Began != nil && call.Account != "" {
		f.seams.Began(call.Account)
	}
	p.runs++
}

// handleAnswer decides whether an answer goes to the caller.
func (f *Forwarder) handleAnswer(ctx context.Context, call Call, slot *reservation, p *progress, answer *exchange.Answer, attempt *attempt) (*Answer, verdict) {
	names := f.seams.Names
	f.observe(slot, answer)
	if answer.Header.Get(names.Rejected) != "" || answer.Status == http.StatusMisdirectedRequest {
		answer.Discard()
		attempt.release()
		p.reason = "rejected"
		p.rejections++
		outcome := replica.Rejected
		if answer.Status == http.StatusMisdirectedRequest {
			outcome = replica.Misplaced
		}
		slot.Done(outcome)
		return nil, retry
	}
	f.began(call, p)
	if answer.Header.Get(names.Stamp) == "" {
		answer.Close()
		attempt.release()
		slot.Done(replica.Failed)
		p.reason = "answer without a stamp"
		return nil, f.retryVerdict(call)
	}
	result, err := f.receive(ctx, call, slot, answer, attempt)
	if err != nil {
		if attempt.ctx.Err() == nil {
			p.breaks++
			f.recordBreak(ctx, call, slot.Entry, err)
		}
		attempt.release()
		slot.Done(replica.Failed)
		p.reason = err.Error()
		return nil, f.retryVerdict(call)
	}
	if result.Status == http.StatusInternalServerError {
		p.errors++
	}
	result.Errors, result.Attempts = p.errors, p.runs
	if result.Status >= 500 && call.Route.Repeatable() && p.runs < call.Route.Attempts {
		p.setLastFailure(result)
		return nil, retry
	}
	return result, final
}

func (f *Forwarder) retryVerdict(call Call) verdict {
	if call.Route.Repeatable() {
		return retry
	}
	return noRetry
}

// observe notes what the endpoint tells of itself. A misplaced request was
// answered by another endpoint.
func (f *Forwarder) observe(slot *reservation, answer *exchange.Answer) {
	if answer.Status == http.StatusMisdirectedRequest {
		return
	}
	h := answer.Header
	if f.seams.Names.IsLeaving(h) && slot.Leave() {
		f.log.WithField(logs.Endpoint, slot.Entry.ID).Info("endpoint leaves")
	}
	if load, found := f.seams.Names.ReadLoad(h); found {
		slot.Report(load)
	}
	if left, found := headers.Millis(h, f.seams.Names.Cold); found && left > 0 {
		slot.Cold(left)
	}
}

// receive reads a plain answer up to WholeLimit, or less while other answers
// hold the memory. The answer of a stream is handed on unread.
func (f *Forwarder) receive(ctx context.Context, call Call, slot *reservation, answer *exchange.Answer, attempt *attempt) (*Answer, error) {
	result := &Answer{Status: answer.Status, Header: answer.Header, Endpoint: slot.Entry, cancel: attempt.cancel}
	share := f.seams.Memory.Share()
	if call.Route.Kind != manifest.Stream || answer.Status >= http.StatusMultipleChoices {
		body, err := share.ReadAll(answer, -1, WholeLimit)
		result.Body = body
		if err == nil {
			answer.Close()
			attempt.release()
			slot.Done(replica.Answered)
			f.answered(call)
			result.close = share.Release
			return result, nil
		}
		if !errors.Is(err, memory.ErrTooLarge) && !errors.Is(err, memory.ErrFull) {
			answer.Close()
			share.Release()
			return nil, errTruncated
		}
	}
	attempt.clearLimit()
	result.Rest = answer
	result.close = func() {
		answer.Close()
		share.Release()
		complete := answer.Whole()
		if !complete && attempt.ctx.Err() == nil && answer.Broken() {
			f.recordBreak(ctx, call, slot.Entry, errTruncated)
		}
		if complete {
			f.answered(call)
		}
		slot.Done(attempt.outcome(complete))
		attempt.release()
	}
	return result, nil
}

// failure is the answer for a request that no endpoint answered.
func (f *Forwarder) failure(ctx context.Context, call Call, p *progress) error {
	f.log.WithFields(logrus.Fields{
		logs.Request: call.ID, logs.Cause: p.reason, "runs": p.runs, "tried": len(p.tried),
		"service": call.Service, "left_ms": time.Until(call.Deadline).Milliseconds(),
	}).Warn("request failed")
	if p.runs == 0 && p.holdTime > 0 {
		return code.New(code.ContentHeld, "requests with this content ended endpoints").WithRun(code.NotRun).WithRetryAfter(p.holdTime)
	}
	if p.runs == 0 {
		return code.New(code.NoEndpoint, "no endpoint can take the request").WithRun(code.NotRun).WithRetryAfter(f.retryAfter(call.Service))
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return code.New(code.DeadlinePast, "the deadline passed").WithRun(code.MaybeRun)
	}
	if !call.Route.Repeatable() {
		return code.New(code.MayHaveRun, "the endpoint did not answer; the request may have run").WithRun(code.MaybeRun)
	}
	return code.New(code.EndpointFailed, "the endpoints failed").WithRun(code.MaybeRun)
}
