package runner

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/traffic/event"
	"github.com/wigeonpin/wigeonpin/internal/traffic/headers"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

type taskState int

const (
	statePending taskState = iota
	stateRunning
	stateScoring
	stateReady // the result waits for its page
	stateListed
)

// task is one item of a batch. Its fields belong to the runner's goroutine,
// except live and heard, which the goroutine of the run writes.
type task struct {
	item      *batch.Item
	job       *job
	state     taskState
	text      text
	gaveUp    bool
	notBefore time.Time
	errors    int           // answers of 500
	breaks    int           // runs in a row that brought no event
	crashed   map[life]bool // where these runs broke
	rewards   int           // answers of 500 to the scoring call
	unscored  int           // scoring calls that failed
	session   int           // activation of the runner in which the text got its origin
	moves     int           // runs that were ended to go on at a faster engine
	cancel    context.CancelCauseFunc
	endpoint  string
	began     time.Time
	first     time.Time // start of the first run
	runs      int
	live      atomic.Pointer[text]
	heard     atomic.Int64 // Unix nanoseconds of the latest sign of the engine
}

// snapshot returns the text as far as it has come.
func (t *task) snapshot() text {
	current := t.text
	if live := t.live.Load(); live != nil && t.state == stateRunning {
		current = *live
	}
	// The run may still append to the same array.
	current.pieces = slices.Clip(current.pieces)
	return current
}

// eventTokens is the assumed number of tokens in an event, which turns the
// events of a text into the unit of the estimate.
const eventTokens = 50

// remaining returns the estimate of the tokens that are still to be made.
func (t *task) remaining() int64 {
	return t.item.Length - eventTokens*int64(len(t.text.pieces))
}

const (
	// stallTime is how long an engine may be silent before the text goes on at
	// another one. It exceeds the pause of a change of weights.
	stallTime = 2200 * time.Millisecond
	// firstEvent allows for the wait in an engine's queue.
	firstEvent = 3 * time.Second
	// shortRetry and longRetry are the pauses before an item is sent again,
	// after a rejection and after a failure. The latter grows with each in a row,
	// up to longestRetry; engines that reject an item rest by themselves.
	shortRetry   = 30 * time.Millisecond
	longRetry    = 150 * time.Millisecond
	longestRetry = 2 * time.Second
	// barrenLives is the number of engines at which runs without any event
	// broke, after which an item runs apart from others in its case. It is owed
	// all the same: engines may have ended by chance. An engine that is not
	// reached breaks each run, so it counts once until it starts anew.
	barrenLives = 4
	// apartShare is the part of the engines that may run such items at a time.
	apartShare = 0.25
)

// life is one start of an engine.
type life struct {
	endpoint string
	born     int64
}

// The ways in which a run ends.
var (
	errRejected = errors.New("the engine did not run the item")
	errMisplace = errors.New("another endpoint has the address")
	errAttempt  = errors.New("the engine answered with status 500")
	errNever    = errors.New("the item can never be done")
	errOld      = errors.New("the engine's weights are older than the batch allows")
	errGap      = errors.New("an event is missing")
	errStalled  = errors.New("the engine is silent")
	errSlow     = errors.New("another engine is faster")
	errTooLong  = errors.New("the text is longer than the item allows")
	errStatus   = errors.New("unexpected status")
)

// start sends a task to an engine.
func (r *Runner) start(t *task, slot *replica.Slot, host string) {
	jobCtx := t.job.ctx
	ctx, cancel := context.WithCancelCause(jobCtx)
	t.state, t.cancel, t.endpoint = stateRunning, cancel, slot.Entry.ID
	t.began = r.timers.Now()
	r.counts.runs.Add(slot.Entry.Service, 1)
	if t.runs++; t.runs == 1 {
		t.first = t.began
	}
	t.heard.Store(t.began.Add(firstEvent - stallTime).UnixNano())
	t.job.near[t.item.Group] = slot.Entry.ID
	if t.text.origin == "" || t.session != r.session {
		t.text.origin, t.session = rand.Text(), r.session
	}
	live := t.text
	t.live.Store(&live)
	request := r.request(t, slot, host)
	go func() {
		made, version, err := r.generate(ctx, t, slot, request)
		if cause := context.Cause(ctx); err != nil && cause != nil {
			err = cause
		}
		slot.Done(outcome(ctx, err))
		cancel(nil)
		r.post(jobCtx, func(context.Context) {
			if jobCtx.Err() == nil {
				r.finished(t, slot.Entry, made, version, err)
			}
		})
	}()
}

func outcome(ctx context.Context, err error) replica.Outcome {
	switch {
	case err == nil, errors.Is(err, errAttempt), errors.Is(err, errNever), errors.Is(err, errOld):
		return replica.Answered
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled):
		return replica.Abandoned
	case errors.Is(err, errRejected):
		return replica.Rejected
	case errors.Is(err, errMisplace):
		return replica.Misplaced
	case exchange.Unreached(err):
		return replica.Unreached
	}
	return replica.Failed
}

// rejection names the way in which a run ended that never began.
func rejection(err error) string {
	switch {
	case errors.Is(err, errRejected):
		return "rejected"
	case errors.Is(err, errMisplace):
		return "misplaced"
	}
	return "unsent"
}

func (r *Runner) request(t *task, slot *replica.Slot, host string) exchange.Request {
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
	path, query, _ := strings.Cut(t.item.Path, "?")
	return exchange.Request{Method: http.MethodPost, Path: path, Query: query, Host: host, Header: header, Body: t.item.Body}
}

// timeLeft returns how long the item may still take.
func (r *Runner) timeLeft(t *task) time.Duration {
	patience := 30 * time.Second
	if route, found := r.route(t.job.batch.Host, t.item.Path); found && route.Patience > 0 {
		patience = route.Patience
	}
	return t.job.batch.Time.Add(patience).Sub(r.timers.Now())
}

func (r *Runner) route(host, path string) (manifest.Route, bool) {
	m := r.seams.Manifest()
	if m == nil {
		return manifest.Route{}, false
	}
	path, _, _ = strings.Cut(path, "?")
	return m.Route(host, path)
}

// generate reads the item's events from one engine. It returns the text with
// what was read, and the weight version that the engine told last.
func (r *Runner) generate(ctx context.Context, t *task, slot *replica.Slot, request exchange.Request) (text, int64, error) {
	made, oldest := t.text, t.job.batch.Oldest
	answer, err := r.seams.Pool.Do(ctx, slot.Entry.Address, request)
	if err != nil {
		return made, 0, err
	}
	defer answer.Close()
	if answer.Status != http.StatusMisdirectedRequest && r.seams.Names.IsLeaving(answer.Header) && slot.Leave() {
		r.log.WithField(logs.Endpoint, slot.Entry.ID).Info("engine leaves")
	}
	version, _ := r.seams.Names.ReadVersion(answer.Header)
	if err := r.verdict(answer); err != nil {
		return made, version, err
	}
	if version < oldest {
		return made, version, errOld
	}
	reader := event.NewReader(answer, r.seams.Names.VersionKey)
	pace := &pacer{slot: slot}
	for {
		e, err := reader.Next()
		if errors.Is(err, io.EOF) {
			made.complete = true
			return made, version, nil
		}
		if err != nil {
			return made, version, err
		}
		if !e.Progress() {
			continue // a stalled engine may go on sending comments
		}
		if e.Version != 0 {
			version = e.Version
		}
		if made.last > 0 && e.ID != made.last+1 {
			return made, version, fmt.Errorf("%w: event %d after %d", errGap, e.ID, made.last)
		}
		if version < oldest {
			return made, version, errOld
		}
		made = made.with(e.ID, string(e.Data), version)
		if r.tooLong(t.item, made) {
			return text{}, version, errTooLong
		}
		current := made
		t.live.Store(&current)
		pace.event(r.timers.Now())
		t.heard.Store(r.timers.Now().UnixNano())
	}
}

// tooLong reports whether the text cannot be the item's: each event holds a
// token at least, and a result must fit in a record.
func (r *Runner) tooLong(item *batch.Item, made text) bool {
	if item.Tokens > 0 && int64(len(made.pieces)) > item.Tokens {
		return true
	}
	return made.size > r.seams.ValueBytes
}

// paceEvents is how many events are timed together, since several may arrive
// at once.
const paceEvents = 4

// pacer measures the time between events of one run.
type pacer struct {
	slot  *replica.Slot
	start time.Time
	count int
}

func (p *pacer) event(now time.Time) {
	if p.start.IsZero() {
		p.start = now
		return
	}
	if p.count++; p.count == paceEvents {
		p.slot.Paced(now.Sub(p.start) / paceEvents)
		p.start, p.count = now, 0
	}
}

// verdict translates an answer that is no stream of events.
func (r *Runner) verdict(answer *exchange.Answer) error {
	names := r.seams.Names
	if answer.Status == http.StatusOK && answer.Header.Get(names.Stamp) != "" {
		return nil
	}
	rejected := answer.Header.Get(names.Rejected) != ""
	stamped := answer.Header.Get(names.Stamp) != ""
	status := answer.Status
	answer.Discard()
	switch {
	case status == http.StatusMisdirectedRequest:
		return errMisplace
	case rejected:
		return errRejected
	case stamped && status == http.StatusInternalServerError:
		return errAttempt
	case stamped && status == http.StatusUnprocessableEntity:
		return errNever
	}
	return fmt.Errorf("%w: %d", errStatus, status)
}

// finished takes the end of a run into account.
func (r *Runner) finished(t *task, e replica.Entry, made text, version int64, err error) {
	if t.state != stateRunning {
		return
	}
	now := r.timers.Now()
	if len(made.pieces) > len(t.text.pieces) {
		t.breaks, t.crashed = 0, nil
	}
	t.text, t.state, t.cancel = made, statePending, nil
	if version > 0 {
		r.seams.Fleet.Learn(e.ID, t.job.batch.Model, version)
	}
	if err == nil {
		r.score(t)
		return
	}
	switch {
	case errors.Is(err, errSlow):
		t.moves++
		r.log.WithFields(logrus.Fields{
			logs.Request: t.item.ID, "batch": t.job.batch.ID, logs.Endpoint: e.ID, "events": len(made.pieces),
			"ran_ms": now.Sub(t.began).Milliseconds(),
		}).Info("run moved to a faster engine")
		return
	case errors.Is(err, errRejected), errors.Is(err, errMisplace), exchange.NotSent(err):
		r.counts.rejections.Add(rejection(err), 1)
		t.notBefore = now.Add(shortRetry)
		return
	case errors.Is(err, errOld):
		if !t.text.allows(t.job.batch.Oldest) {
			t.text = text{}
		}
	case errors.Is(err, errNever):
		r.giveUp(t, "status 422")
	case errors.Is(err, errAttempt):
		t.errors++
		t.notBefore = now.Add(longRetry)
		if route, found := r.route(t.job.batch.Host, t.item.Path); found && t.errors >= route.Attempts {
			r.giveUp(t, "status 500")
		}
	default:
		r.counts.breaks.Add(e.Service, 1)
		if t.job.near[t.item.Group] == e.ID {
			delete(t.job.near, t.item.Group) // what the engine had read is lost
		}
		t.broke(life{e.ID, e.Born}, now)
	}
	r.log.WithFields(logrus.Fields{
		logs.Request: t.item.ID, "batch": t.job.batch.ID, logs.Endpoint: e.ID, logs.Cause: err.Error(),
		"events": len(made.pieces), "breaks": t.breaks, "crashed": len(t.crashed), "errors": t.errors,
		"ran_ms": now.Sub(t.began).Milliseconds(),
	}).Info("run ended early")
}

// broke puts the next run off after one that brought nothing.
func (t *task) broke(at life, now time.Time) {
	if t.crashed == nil {
		t.crashed = map[life]bool{}
	}
	t.crashed[at] = true
	t.breaks++
	pause := retryPause(t.breaks)
	if t.suspected() {
		pause = longestRetry
	}
	t.notBefore = now.Add(pause)
}

// retryPause returns the pause after so many failures in a row.
func retryPause(failures int) time.Duration {
	return min(longRetry*time.Duration(failures), longestRetry)
}

// suspected reports whether the item may be one that crashes engines. An event
// of its present run clears it.
func (t *task) suspected() bool {
	return len(t.crashed) >= barrenLives && len(t.snapshot().pieces) == len(t.text.pieces)
}

// giveUp lists an item that will not be completed.
func (r *Runner) giveUp(t *task, reason string) {
	r.log.WithFields(logrus.Fields{
		logs.Request: t.item.ID, "batch": t.job.batch.ID, logs.Cause: reason,
	}).Warn("item given up")
	t.gaveUp = true
	t.state = stateReady
	t.job.ready = append(t.job.ready, batch.Result{ID: t.item.ID})
}
