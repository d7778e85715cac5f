package runner

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/traffic/headers"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

type taskState int

const (
	statePending taskState = iota
	stateRunning
	stateScoring
	stateReady  // the result waits for its page
	stateListed // the result is in a page in the store
)

// task is the execution of one item of a batch. Its fields are used only by the
// runner's goroutine, except liveText, lastActivity and lastEvent, which the
// goroutine of the run writes.
type task struct {
	item            *batch.Item
	job             *job
	textKey         string // under which the text is kept beyond a run
	state           taskState
	text            text // without the events of the present run
	givenUp         bool
	notBefore       time.Time            // earliest time of the next run
	engineErrors    int                  // answers with status 500
	brokenRuns      int                  // runs that broke since the text last grew
	brokenOn        map[incarnation]bool // engines on which these runs broke
	scoringErrors   int                  // scoring calls answered with status 500
	scoringFailures int                  // failed scoring calls
	activation      int                  // the runner's activation in which the text got its origin
	listedLate      bool                 // listed after the trainer had all that it waits for
	moves           int                  // runs that were moved to a faster engine
	cancel          context.CancelCauseFunc
	endpoint, zone  string // of the engine of the present run
	runStart        time.Time
	firstRunStart   time.Time
	runs            int
	liveText        atomic.Pointer[text] // with the events of the present run
	lastActivity    atomic.Int64         // start of the stall timeout, as uptime
	lastEvent       atomic.Int64         // latest event of the present run, in Unix nanoseconds; 0 before the first
}

// snapshot returns the text with the events of the present run.
func (t *task) snapshot() text {
	current := t.text
	if live := t.liveText.Load(); live != nil && t.state == stateRunning {
		current = *live
	}
	// The run may still append to the same array.
	current.pieces = slices.Clip(current.pieces)
	return current
}

// tokensPerEvent is the assumed number of tokens per event. It converts the
// number of events of a text to the unit of the estimate.
const tokensPerEvent = 50

// remaining returns the estimated number of tokens still to be generated.
func (t *task) remaining() int64 {
	return t.item.ExpectedTokens - tokensPerEvent*int64(len(t.text.pieces))
}

const (
	// stallTimeout is how long an engine may send no event before the item is
	// moved to another engine. It exceeds the pause during a weight update.
	stallTimeout = 2200 * time.Millisecond
	// firstEventTimeout applies until the first event of a run. It is longer,
	// since the request may wait in the engine's queue.
	firstEventTimeout = 3 * time.Second
	// rejectionRetryDelay and failureRetryDelay are the pauses before an item is
	// sent again after a rejection or a failure. The latter grows with each
	// consecutive failure, up to maxRetryDelay. The former does not grow, since
	// the fleet pauses an engine after each rejection.
	rejectionRetryDelay = 30 * time.Millisecond
	failureRetryDelay   = 150 * time.Millisecond
	maxRetryDelay       = 2 * time.Second
	// suspectThreshold is the number of engines on which runs of an item broke
	// without progress, from which on the item is suspected of crashing engines
	// and no longer runs on the same engine as another suspect. It is still
	// retried, since the engines may have ended by chance. An unreachable engine
	// breaks every run, so each incarnation of an engine counts once.
	suspectThreshold = 4
	// maxSuspectFraction is the fraction of the engines that may run suspects at
	// the same time.
	maxSuspectFraction = 0.25
)

// incarnation identifies one start of an engine.
type incarnation struct {
	endpoint string
	born     int64
}

// The reasons for which a run ends early.
var (
	errRejected      = errors.New("the engine did not run the item")
	errMisplaced     = errors.New("another endpoint has the address")
	errEngineError   = errors.New("the engine answered with status 500")
	errUnprocessable = errors.New("the engine answered with status 422")
	errOldWeights    = errors.New("the engine's weights are older than the batch allows")
	errEventGap      = errors.New("gap in the event ids")
	errNoEvent       = errors.New("the engine's answer ended before the first event")
	errStalled       = errors.New("the engine sent no event in time")
	errFasterEngine  = errors.New("another engine is faster")
	errZoneSilent    = errors.New("all engines of the availability zone are silent")
	errTooLong       = errors.New("the text is longer than the item allows")
	errStatus        = errors.New("unexpected status")
)

// startRun starts a run of the task on the engine of the slot.
func (r *Runner) startRun(t *task, slot *replica.Slot, host string) {
	jobCtx := t.job.ctx
	ctx, cancel := context.WithCancelCause(jobCtx)
	t.state, t.cancel, t.endpoint, t.zone = stateRunning, cancel, slot.Entry.ID, slot.Entry.Zone
	t.runStart = r.timers.Now()
	r.counters.runs.Add(slot.Entry.Service, 1)
	if t.runs++; t.runs == 1 {
		t.firstRunStart = t.runStart
	}
	t.noteActivity(r.timers, firstEventTimeout-stallTimeout)
	t.lastEvent.Store(0)
	t.job.preferred[t.item.Group] = slot.Entry.ID
	if t.text.origin == "" || t.activation != r.activations {
		t.text.origin, t.activation = rand.Text(), r.activations
	}
	live := t.text // the goroutine of the run must not read the field
	t.liveText.Store(&live)
	request := r.newRequest(t, slot, host)
	go func() {
		generated, version, err := r.generate(ctx, t, live, slot, request)
		if cause := context.Cause(ctx); err != nil && cause != nil {
			err = cause
		}
		slot.Done(runOutcome(ctx, err))
		cancel(nil)
		r.post(jobCtx, func(context.Context) {
			if jobCtx.Err() == nil {
				r.runFinished(t, slot.Entry, generated, version, err)
			}
		})
	}()
}

// noteActivity lets the stall timeout begin after delay.
func (t *task) noteActivity(timers *clock.Service, delay time.Duration) {
	t.lastActivity.Store(int64(timers.Uptime() + delay))
}

// runOutcome returns how the run counts for the engine.
func runOutcome(ctx context.Context, err error) replica.Outcome {
	switch {
	case err == nil, errors.Is(err, errEngineError), errors.Is(err, errUnprocessable), errors.Is(err, errOldWeights):
		return replica.Answered
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled), errors.Is(err, exchange.ErrUnwritable):
		return replica.Abandoned
	case errors.Is(err, errRejected):
		return replica.Rejected
	case errors.Is(err, errMisplaced):
		return replica.Misdirected
	case exchange.ConnectionRefused(err):
		return replica.Unreached
	}
	return replica.Failed
}

// rejectionReason returns the metric label of a run that the engine did not
// start.
func rejectionReason(err error) string {
	switch {
	case errors.Is(err, errRejected):
		return "rejected"
	case errors.Is(err, errMisplaced):
		return "misplaced"
	}
	return "unsent"
}

func (r *Runner) newRequest(t *task, slot *replica.Slot, host string) exchange.Request {
	names := r.seams.Names
	header := http.Header{}
	for name, value := range t.item.Header {
		header.Set(name, value)
	}
	header.Set(names.Request, t.item.ID)
	header.Set(names.Account, t.job.batch.Account)
	header.Set(names.Endpoint, slot.Entry.ID)
	headers.SetMillis(header, names.Deadline, r.timeLeft(t))
	if t.text.last > 0 {
		header.Set("Last-Event-Id", strconv.FormatInt(t.text.last, 10))
	}
	return exchange.Request{Method: http.MethodPost, Host: host, Header: header, Body: t.item.Body}.WithTarget(t.item.Path)
}

// timeLeft returns the time until the item is given up. It counts from when this process
// learned of the batch: the time of day of the acceptance, or that of this process, may
// be wrong, and an item that is given up stays so.
func (r *Runner) timeLeft(t *task) time.Duration {
	patience := 30 * time.Second
	if route, found := r.batchRoute(t.job.batch, t.item.Path); found && route.ItemTimeout > 0 {
		patience = route.ItemTimeout
	}
	return patience - (r.timers.Uptime() - t.job.knownSince)
}

// runFinished handles the end of a run: the item is scored, retried or given up.
func (r *Runner) runFinished(t *task, e replica.Entry, generated text, version int64, err error) {
	if t.state != stateRunning {
		return
	}
	now := r.timers.Now()
	if len(generated.pieces) > len(t.text.pieces) {
		r.clearCrashes(t)
	}
	t.text, t.state, t.cancel = generated, statePending, nil
	if version > 0 {
		r.seams.Fleet.RecordVersion(e.ID, t.job.batch.Model, version)
	}
	if err == nil {
		r.startScoring(t)
		return
	}
	switch {
	case errors.Is(err, errFasterEngine):
		t.moves++
		r.logMove(t, e, len(generated.pieces), "run moved to a faster engine")
		return
	case errors.Is(err, errZoneSilent):
		r.logMove(t, e, len(generated.pieces), "run moved out of a silent zone")
		return
	case errors.Is(err, exchange.ErrUnwritable):
		r.giveUp(t, err.Error()) // every attempt would fail
	case errors.Is(err, errRejected), errors.Is(err, errMisplaced), exchange.NotSent(err):
		r.counters.rejections.Add(rejectionReason(err), 1)
		t.notBefore = now.Add(rejectionRetryDelay)
		return
	case errors.Is(err, errOldWeights):
		if !t.text.meetsVersion(t.job.batch.MinVersion) {
			t.text = text{}
		}
	case errors.Is(err, errUnprocessable):
		r.giveUp(t, "status 422")
	case errors.Is(err, errEngineError):
		t.engineErrors++
		t.notBefore = now.Add(failureRetryDelay)
		if route, found := r.batchRoute(t.job.batch, t.item.Path); found && t.engineErrors >= route.Attempts {
			r.giveUp(t, "status 500")
		}
	default:
		r.counters.breaks.Add(e.Service, 1)
		if t.job.preferred[t.item.Group] == e.ID {
			delete(t.job.preferred, t.item.Group) // the engine's prefix cache is lost
		}
		t.recordBrokenRun(incarnation{e.ID, e.Born}, now)
		r.shareCrashes(t)
	}
	r.log.WithFields(logrus.Fields{
		logs.Request: t.item.ID, "batch": t.job.batch.ID, logs.Endpoint: e.ID, logs.Cause: err.Error(),
		"events": len(generated.pieces), "breaks": t.brokenRuns, "crashed": len(t.brokenOn), "errors": t.engineErrors,
		"ran_ms": now.Sub(t.runStart).Milliseconds(),
	}).Info("run ended early")
}

func (r *Runner) logMove(t *task, from replica.Entry, events int, message string) {
	r.log.WithFields(logrus.Fields{
		logs.Request: t.item.ID, "batch": t.job.batch.ID, logs.Endpoint: from.ID, "events": events,
		"ran_ms": r.timers.Since(t.runStart).Milliseconds(),
	}).Info(message)
}

// recordBrokenRun counts a broken run and delays the next one.
func (t *task) recordBrokenRun(at incarnation, now time.Time) {
	if t.brokenOn == nil {
		t.brokenOn = map[incarnation]bool{}
	}
	t.brokenOn[at] = true
	t.brokenRuns++
	pause := retryDelay(t.brokenRuns)
	if t.suspected() {
		pause = maxRetryDelay
	}
	t.notBefore = now.Add(pause)
}

// retryDelay returns the pause after a number of consecutive failures.
func retryDelay(failures int) time.Duration {
	return min(failureRetryDelay*time.Duration(failures), maxRetryDelay)
}

// suspected reports whether the item is suspected of crashing engines. An event
// of its present run clears the suspicion.
func (t *task) suspected() bool {
	return len(t.brokenOn) >= suspectThreshold && len(t.snapshot().pieces) == len(t.text.pieces)
}

// giveUp records an empty result for an item that will not be completed.
func (r *Runner) giveUp(t *task, reason string) {
	r.log.WithFields(logrus.Fields{
		logs.Request: t.item.ID, "batch": t.job.batch.ID, logs.Cause: reason,
	}).Warn("item given up")
	t.givenUp = true
	t.job.addReady(t, batch.Result{ID: t.item.ID}, r.timers.Now())
}
