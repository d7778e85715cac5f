// Package forward sends a caller's request to endpoints: it selects them, makes
// up to the number of attempts that the route allows, and returns the first
// usable answer.
//
// # Usage
//
//	f := forward.New(forward.Seams{Fleet: fleet, Pool: pool, Names: names}, timers, log)
//	answer, err := f.Send(ctx, forward.Call{Route: route, Service: "catalog", ...})
//	defer answer.Close()
//
// # Errors
//
// Errors are *code.Error. Run is NotRun only when no endpoint can have started
// the request.
package forward

import (
	"context"
	"errors"
	"fmt"
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
	"github.com/wigeonpin/wigeonpin/internal/fleet/ratelimit"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/traffic/breaker"
	"github.com/wigeonpin/wigeonpin/internal/traffic/headers"
	"github.com/wigeonpin/wigeonpin/internal/traffic/memory"
	"github.com/wigeonpin/wigeonpin/internal/traffic/queue"
	"github.com/wigeonpin/wigeonpin/internal/traffic/retryafter"
	"github.com/wigeonpin/wigeonpin/internal/traffic/share"
	"github.com/wigeonpin/wigeonpin/internal/traffic/stop"
)

const (
	// MaxBufferedAnswer is the size in bytes up to which an answer is buffered
	// completely before it is passed on, so that a truncated one can be retried
	// at another endpoint.
	MaxBufferedAnswer = 1 << 20
	// attemptShare is the part of the remaining time that one attempt may take
	// while further attempts are allowed. minAttemptTime is its lower bound.
	attemptShare   = 0.4
	minAttemptTime = 350 * time.Millisecond
	// answerReserve is subtracted from the deadline that is sent to the endpoint,
	// to leave time for delivering the answer to the caller.
	answerReserve = 15 * time.Millisecond
)

// CountBackground names the counter of the attempts of background calls by what let
// them go: headroom at once, headroom after a wait, or the end of the time that they may
// wait.
const CountBackground = "background_calls"

// Call is one request of a caller. Request is the message for the endpoint,
// without the header fields that are set for each attempt.
type Call struct {
	ID, Account string
	Route       manifest.Route
	Service     string
	Request     exchange.Request
	Deadline    time.Time
	Open        bool // the caller has a part of the answer
	// Urgent is set for background calls: until then the call is sent only to an
	// endpoint with headroom for interactive calls. An attempt gets at most the time
	// from Urgent to Deadline, however early it begins.
	Urgent time.Time

	// MaxHold bounds the time between two trials of a content that is held back since it
	// crashed endpoints; 0 means no bound.
	MaxHold time.Duration

	digest func() string // the result of ContentDigest, computed once
}

// Class returns the class of the calls whose work is alike: those of the same service
// and route.
func (c Call) Class() string { return c.Service + " " + c.Route.Host + c.Route.Prefix }

// Work returns what decides whether the call can still end in a planned stop.
func (c Call) Work() stop.Work {
	return stop.Work{
		Class: c.Class(), Deadline: c.Deadline, Repeatable: c.Route.Repeatable(), Open: c.Open,
	}
}

// Answer is an endpoint's answer. Body holds its first part, or all of it when
// Rest is nil. Reading Rest fails when the answer is truncated.
type Answer struct {
	Status       int
	Header       http.Header
	Body         []byte
	Rest         io.Reader
	Endpoint     replica.Entry
	ServerErrors int // answers with status 500 that the call got, including this one
	Attempts     int // endpoints that may have run the request
	close        func()
	cancel       context.CancelCauseFunc
}

// ErrStalled is the cause with which Abort cancels an answer.
var ErrStalled = errors.New("the endpoint stalled during its answer")

// Close releases the memory of the answer. If Rest is set, it also ends the
// exchange and releases the slot at the endpoint.
func (a *Answer) Close() {
	a.close()
}

// Abort makes the pending read of Rest fail with ErrStalled and records a failure
// of the endpoint. It may be called concurrently with a read of Rest.
func (a *Answer) Abort() {
	a.cancel(ErrStalled)
}

// Seams are the dependencies of a Forwarder.
type Seams struct {
	Fleet *replica.Fleet
	Pool  *exchange.Pool
	Names headers.Names
	// OnStart is called once for each request with a client account that an
	// endpoint may have started.
	OnStart func(account string)
	// Memory bounds the memory for buffered answers; nil means no bound.
	Memory *memory.Budget
	// Meters receives the metrics of the queue, of failed endpoints and of
	// requests held by Breaker; nil discards them.
	Meters *meter.Set
	// Breaker holds back requests whose content crashes endpoints; nil disables
	// the check.
	Breaker *breaker.Breaker
	// Shares tells what client accounts receive from other processes; nil if there are
	// none.
	Shares *share.Exchange
	// Stop is the planned stop of the process; nil if there is none.
	Stop *stop.Plan
}

// Forwarder sends requests to endpoints.
type Forwarder struct {
	seams  Seams
	timers *clock.Service
	log    *logrus.Entry
	queue  *queue.Queue
	// work returns the expected time of a request on an endpoint of usual speed, or 0
	// when it is unknown.
	work       func(service, class string) time.Duration
	waiting    ratelimit.Waiting
	rechecking atomic.Bool // whether the goroutine of startRechecks runs
	breaks     *meter.Counter
	refusals   *meter.Counter
	held       *meter.Counter
	background *meter.Counter
	// invalidLoads records load reports that cannot be parsed.
	invalidLoads *headers.InvalidLoads

	mu         sync.Mutex
	schedules  map[string]*retryafter.Schedule // by service
	unanswered []unansweredRequest
}

// New returns a Forwarder and registers it for the end of endpoints of
// seams.Fleet.
func New(seams Seams, timers *clock.Service, log *logrus.Entry) *Forwarder {
	if seams.Memory == nil {
		seams.Memory = memory.NewBudget(math.MaxInt64)
	}
	if seams.Meters == nil {
		seams.Meters = meter.NewSet()
	}
	if seams.Stop == nil {
		seams.Stop = stop.New(timers, seams.Meters)
	}
	f := &Forwarder{
		seams: seams, timers: timers, log: log, schedules: map[string]*retryafter.Schedule{}, work: seams.Fleet.Work,
		breaks: seams.Meters.Counter("endpoint_breaks"), refusals: seams.Meters.Counter("endpoint_refusals"),
		held:         seams.Meters.Counter("requests_held"),
		background:   seams.Meters.Counter(CountBackground),
		invalidLoads: headers.NewInvalidLoads(seams.Meters, timers, log),
		queue:        queue.New(timers, seams.Meters, queue.Seams{RemoteSlots: seams.Shares.RemoteSlots}),
	}
	seams.Shares.SetSource(f.queue.Received)
	seams.Meters.Gauge("endpoint_paces", func() any { return seams.Fleet.Paces() })
	seams.Meters.Gauge("request_work_us", func() any { return seams.Fleet.Works() })
	seams.Fleet.OnUnexpectedEnd(f.attributeEnd)
	if seams.Breaker != nil {
		seams.Breaker.VerifyBy(f.refusesConnections)
	}
	seams.Fleet.OnRoom(func() { f.queue.Recheck() })
	return f
}

// progress is the state of a call over its attempts.
type progress struct {
	tried       map[string]bool // endpoints that the request was sent to
	runs        int             // attempts in which the request may have run
	errors      int             // answers with status 500
	lastFailure *Answer         // the latest answer with a status of 500 or more
	reason      string

	rejections    int       // endpoints that rejected the request
	queueDeadline time.Time // end of the wait for an endpoint

	breaks        int           // endpoints that broke the request off
	breakerChecks int           // breaks at the latest check by Breaker, plus 1
	holdTime      time.Duration // how long Breaker holds the request back

	work    stop.Work
	running *stop.Run // set once the request was passed on
	late    bool      // no further attempt, since it could not end within a planned stop
}

// start records that the request is passed on.
func (p *progress) start(plan *stop.Plan) {
	if p.running == nil {
		p.running = plan.Start(p.work)
	}
}

// finish records that the request has ended.
func (p *progress) finish() {
	if p.running != nil {
		p.running.Finish()
	}
}

// setLastFailure replaces the failed answer that is returned when no endpoint
// gives a better one.
func (p *progress) setLastFailure(answer *Answer) {
	if p.lastFailure != nil {
		p.lastFailure.Close()
	}
	p.lastFailure = answer
}

// Send tries endpoints until one gives a final answer, the attempts of the route
// are used up or the deadline passes.
func (f *Forwarder) Send(ctx context.Context, call Call) (*Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	ctx, release := f.seams.Stop.Context(ctx)
	call.digest = sync.OnceValue(call.ContentDigest)
	p := &progress{tried: map[string]bool{}, queueDeadline: queueDeadline(call, f.timers.Now()), work: call.Work()}
	answer, err := f.send(ctx, call, p)
	if err != nil {
		p.finish()
		release()
		cancel()
		return nil, err
	}
	closeAnswer := answer.close
	answer.close = sync.OnceFunc(func() {
		closeAnswer()
		p.finish()
		release()
		cancel()
	})
	return answer, nil
}

func (f *Forwarder) send(ctx context.Context, call Call, p *progress) (*Answer, error) {
	for ctx.Err() == nil && f.admit(call, p) {
		slot, err := f.reserve(ctx, call, p)
		if err != nil {
			p.reason = err.Error()
			break
		}
		p.start(f.seams.Stop)
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
	final   verdict = iota // the answer is passed to the caller
	retry                  // another endpoint may be tried
	noRetry                // the request must not be sent again
)

// attempt sends the request to one endpoint.
func (f *Forwarder) attempt(ctx context.Context, call Call, slot *reservation, p *progress) (*Answer, verdict) {
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	if !call.Urgent.IsZero() {
		left = min(left, call.Deadline.Sub(call.Urgent))
	}
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

// handleError handles an attempt without an answer. timedOut reports whether the
// attempt exceeded its own time limit.
func (f *Forwarder) handleError(ctx context.Context, call Call, slot *reservation, p *progress, err error, timedOut bool) verdict {
	switch {
	case ctx.Err() != nil:
		slot.Done(replica.Abandoned)
	case exchange.ConnectionRefused(err):
		slot.Done(replica.Unreached)
		f.seams.Pool.CloseIdle(slot.Entry.Address)
	default:
		slot.Done(replica.Failed)
		f.seams.Pool.CloseIdle(slot.Entry.Address)
	}
	p.reason = err.Error()
	if exchange.NotSent(err) {
		return retry
	}
	f.recordRun(call, p)
	if ctx.Err() == nil && !timedOut {
		p.breaks++
		f.recordBreak(ctx, call, slot.Entry, err)
	} else {
		f.trackUnanswered(call, slot.Entry)
	}
	return f.retryVerdict(call)
}

func (f *Forwarder) recordRun(call Call, p *progress) {
	if p.runs == 0 && f.seams.OnStart != nil && call.Account != "" {
		f.seams.OnStart(call.Account)
	}
	p.runs++
}

// handleAnswer decides whether an answer is passed to the caller or the request
// is retried.
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
			outcome = replica.Misdirected
		}
		slot.Done(outcome)
		return nil, retry
	}
	f.recordRun(call, p)
	if answer.Header.Get(names.Stamp) == "" {
		answer.Close()
		attempt.release()
		slot.Done(replica.Failed)
		p.reason = "answer without a stamp"
		return nil, f.retryVerdict(call)
	}
	if promisesNotRun(answer.Status) && !call.Route.Repeatable() {
		answer.Discard()
		attempt.release()
		slot.IgnoreTime()
		slot.Done(replica.Answered)
		f.recordAnswer(call)
		p.reason = fmt.Sprintf("status %d without a sign that the request did not run", answer.Status)
		return nil, noRetry
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
	result.ServerErrors, result.Attempts = p.errors, p.runs
	if result.Status >= 500 && call.Route.Repeatable() && p.runs < call.Route.Attempts {
		p.setLastFailure(result)
		return nil, retry
	}
	return result, final
}

// promisesNotRun reports whether a status promises the caller that its request has not run.
// An endpoint that ran the request and failed may answer with it all the same; a caller
// whose request may run once would send it again.
func promisesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

func (f *Forwarder) retryVerdict(call Call) verdict {
	if call.Route.Repeatable() {
		return retry
	}
	return noRetry
}

// observe records what the endpoint reports about itself in the header of its
// answer. With status 421 another endpoint answered at the address, so its report
// is ignored.
func (f *Forwarder) observe(slot *reservation, answer *exchange.Answer) {
	if answer.Status == http.StatusMisdirectedRequest {
		return
	}
	h := answer.Header
	if f.seams.Names.IsLeaving(h) && slot.MarkLeaving() {
		f.log.WithField(logs.Endpoint, slot.Entry.ID).Info("endpoint leaves")
	}
	load, found, err := f.seams.Names.ReadLoad(h)
	if err != nil {
		f.invalidLoads.Record(slot.Entry.ID, err)
	}
	if found {
		slot.Report(load)
	}
	if left, found := headers.Millis(h, f.seams.Names.Cold); found && left > 0 {
		slot.MarkCold(left)
	}
	if rate, limited, err := f.seams.Names.ReadLimit(h); err != nil {
		f.log.WithFields(logrus.Fields{logs.Endpoint: slot.Entry.ID, logs.Cause: err.Error()}).Warn("rate limit of an endpoint ignored")
	} else {
		slot.ReportLimit(rate, limited)
	}
}

// receive buffers a plain answer up to MaxBufferedAnswer, or less when the memory
// budget is used up. A successful answer of a stream route is passed on unread.
func (f *Forwarder) receive(ctx context.Context, call Call, slot *reservation, answer *exchange.Answer, attempt *attempt) (*Answer, error) {
	result := &Answer{Status: answer.Status, Header: answer.Header, Endpoint: slot.Entry, cancel: attempt.cancel}
	share := f.seams.Memory.Share()
	if answer.Status >= http.StatusBadRequest {
		slot.IgnoreTime() // an endpoint that fails fast must not count as fast
	}
	if call.Route.Kind != manifest.Stream || answer.Status >= http.StatusMultipleChoices {
		body, err := share.ReadAll(answer, -1, MaxBufferedAnswer)
		result.Body = body
		if err == nil {
			answer.Close()
			attempt.release()
			slot.Done(replica.Answered)
			f.recordAnswer(call)
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
	slot.IgnoreTime() // the caller decides how fast the answer is read
	result.Rest = answer
	result.close = func() {
		answer.Close()
		share.Release()
		complete := answer.Complete()
		if !complete && attempt.ctx.Err() == nil && answer.ReadFailed() {
			f.recordBreak(ctx, call, slot.Entry, errTruncated)
		}
		if complete {
			f.recordAnswer(call)
		}
		slot.Done(attempt.outcome(complete))
		attempt.release()
	}
	return result, nil
}

// failure logs a request that no endpoint answered and returns its error.
func (f *Forwarder) failure(ctx context.Context, call Call, p *progress) error {
	f.log.WithFields(logrus.Fields{
		logs.Request: call.ID, logs.Cause: p.reason, "runs": p.runs, "tried": len(p.tried),
		"service": call.Service, "left_ms": time.Until(call.Deadline).Milliseconds(),
	}).Warn("request failed")
	ended := context.Cause(ctx) == stop.ErrEnded
	if p.runs == 0 && (p.late || ended) {
		return stop.Refusal()
	}
	if ended {
		return code.New(code.Stopped, "the process stopped before an endpoint answered").WithRun(code.MaybeRun)
	}
	if p.runs == 0 && p.holdTime > 0 {
		return code.New(code.ContentHeld, "requests with this content ended endpoints").WithRun(code.NotRun).WithRetryAfter(p.holdTime)
	}
	if wait := f.limitedFor(call.Service); p.runs == 0 && wait > 0 {
		return code.New(code.EndpointLimited, "%s", errLimited).WithRun(code.NotRun).WithRetryAfter(wait)
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
