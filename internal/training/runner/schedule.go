package runner

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/reach"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/traffic/forward"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
	"github.com/wigeonpin/wigeonpin/internal/training/listing"
)

const (
	// scoringTimeout bounds one scoring call including all its attempts.
	scoringTimeout = 4 * time.Second
	// maxPageFraction is the fraction of the largest record that the results of a
	// page may take. The rest is reserved for the encoding.
	maxPageFraction = 0.6
	// fullPageFraction is the fraction of a page from which on ready results are
	// listed. The rest is for the results that become ready meanwhile.
	fullPageFraction = 0.7
	// maxMoves bounds how often an item is moved to a faster engine.
	maxMoves = 3
)

// moveRules define when a run is moved to a faster engine: after the given time
// on an engine that is slower by at least the given ratio.
var moveRules = []struct {
	after time.Duration
	ratio float64
}{
	{300 * time.Millisecond, 1.8},
	{1500 * time.Millisecond, 1.2},
}

// schedule starts pending items on engines, the oldest batch first. An item that
// gets no slot holds back the later items of its own batch only. A suspected
// item holds back none.
func (r *Runner) schedule() {
	now := r.timers.Now()
	for _, j := range r.jobs {
		if !j.loaded {
			continue
		}
		for _, t := range j.tasks {
			if t.state != statePending || now.Before(t.notBefore) {
				continue
			}
			if t.text.complete {
				r.startScoring(t)
				continue
			}
			if !r.tryStart(t) && !t.suspected() {
				break
			}
		}
	}
}

// tryStart starts a run of the item and reports whether there was a free slot.
func (r *Runner) tryStart(t *task) bool {
	route, found := r.route(t.job.batch.Host, t.item.Path)
	if !found {
		return false
	}
	if route.SingleVersion && len(t.text.pieces) > 0 {
		t.text = text{}
	}
	want := replica.Requirements{
		Service: route.SelectService(rand.Float64()), Model: t.job.batch.Model, Version: t.job.batch.MinVersion,
		Preferred: t.job.preferred[t.item.Group],
	}
	slot, found := r.pickSlot(t, want)
	if !found {
		return false
	}
	r.startRun(t, slot, t.job.batch.Host)
	return true
}

// pickSlot takes a slot for the item. Engines on which the item broke are used
// only if no other has a free slot. A suspected item never gets an engine that
// runs another suspect.
func (r *Runner) pickSlot(t *task, want replica.Requirements) (*replica.Slot, bool) {
	if len(t.brokenOn) == 0 {
		return r.seams.Fleet.Pick(want)
	}
	var suspectEngines map[string]bool
	if t.suspected() {
		suspectEngines = r.enginesRunningSuspects()
		if len(suspectEngines) >= max(1, int(maxSuspectFraction*float64(len(r.seams.Fleet.Entries(want.Service))))) {
			return nil, false
		}
	}
	want.Avoid = map[string]bool{}
	maps.Copy(want.Avoid, suspectEngines)
	for at := range t.brokenOn {
		want.Avoid[at.endpoint] = true
	}
	if slot, found := r.seams.Fleet.Pick(want); found {
		return slot, true
	}
	want.Avoid = suspectEngines
	return r.seams.Fleet.Pick(want)
}

// enginesRunningSuspects returns the ids of the engines that run a suspected
// item.
func (r *Runner) enginesRunningSuspects() map[string]bool {
	at := map[string]bool{}
	for _, j := range r.jobs {
		for _, t := range j.tasks {
			if t.state == stateRunning && t.suspected() {
				at[t.endpoint] = true
			}
		}
	}
	return at
}

// shouldMove reports whether the item should be moved to a faster engine.
func (r *Runner) shouldMove(t *task, now time.Time) bool {
	if t.moves >= maxMoves {
		return false
	}
	route, found := r.route(t.job.batch.Host, t.item.Path)
	if !found || route.SingleVersion {
		return false
	}
	want := replica.Requirements{Service: route.SelectService(0), Model: t.job.batch.Model, Version: t.job.batch.MinVersion}
	slowness := 0.0
	for _, rule := range moveRules {
		if now.Sub(t.runStart) < rule.after {
			break
		}
		if slowness == 0 {
			slowness = r.seams.Fleet.Slowness(t.endpoint, want)
		}
		if slowness >= rule.ratio {
			return true
		}
	}
	return false
}

// streamingEngines returns the engines from which streams of items have begun.
func (r *Runner) streamingEngines() []reach.Streaming {
	byID := map[string]reach.Streaming{}
	for _, j := range r.jobs {
		for _, t := range j.tasks {
			last := t.lastEvent.Load()
			if t.state != stateRunning || last == 0 {
				continue
			}
			if s := byID[t.endpoint]; s.Heard.UnixNano() < last || s.Endpoint == "" {
				byID[t.endpoint] = reach.Streaming{Endpoint: t.endpoint, Zone: t.zone, Heard: time.Unix(0, last)}
			}
		}
	}
	return slices.Collect(maps.Values(byID))
}

// leaveSilentZones cancels the runs in availability zones that are out of reach
// and keeps other work away from there.
func (r *Runner) leaveSilentZones(now time.Time) {
	for _, zone := range r.reach.Check(now, r.streamingEngines()) {
		r.seams.Fleet.AvoidZone(zone)
		cancelled := 0
		for _, j := range r.jobs {
			for _, t := range j.tasks {
				if t.state == stateRunning && t.zone == zone {
					t.cancel(errZoneSilent)
					cancelled++
				}
			}
		}
		r.log.WithFields(logrus.Fields{logs.Zone: zone, "runs": cancelled}).Warn("availability zone is silent")
	}
}

// checkTasks cancels runs that are stalled or should be moved, and gives up
// items whose time is over.
func (r *Runner) checkTasks() {
	now := r.timers.Now()
	r.leaveSilentZones(now)
	for _, j := range r.jobs {
		if !j.loaded {
			continue
		}
		for _, t := range j.tasks {
			if t.state == stateRunning && now.UnixNano()-t.lastActivity.Load() > int64(stallTimeout) {
				t.cancel(errStalled)
			}
			if t.state == stateRunning && r.shouldMove(t, now) {
				t.cancel(errFasterEngine)
			}
			if (t.state == statePending || t.state == stateRunning) && r.timeLeft(t) <= 0 {
				if t.cancel != nil {
					t.cancel(nil)
				}
				r.giveUp(t, "time limit exceeded")
			}
		}
	}
}

// startScoring starts the scoring call for a complete text. A text that mixes
// weight versions is discarded instead if the route wants a single one.
func (r *Runner) startScoring(t *task) {
	if route, found := r.route(t.job.batch.Host, t.item.Path); found && route.SingleVersion && len(t.text.versions) > 1 {
		t.text = text{}
		return
	}
	t.state = stateScoring
	result := batch.Result{
		ID: t.item.ID, Done: true,
		Output: strings.Join(t.text.pieces, "\n"), Versions: t.text.versions,
	}
	if t.item.Reward == nil {
		r.completeItem(t, result)
		return
	}
	jobCtx := t.job.ctx
	go func() {
		answer, err := r.callScorer(jobCtx, t.item.Reward)
		r.post(jobCtx, func(context.Context) {
			if jobCtx.Err() == nil {
				r.scoringFinished(t, result, answer, err)
			}
		})
	}()
}

// lateResultAge is the age from which on a result is logged individually.
// Earlier results appear only in the summary of their batch.
const lateResultAge = 5 * time.Second

// completeItem makes the result of an item ready to be written.
func (r *Runner) completeItem(t *task, result batch.Result) {
	if age := r.timers.Since(t.job.batch.Time); age > lateResultAge {
		r.log.WithFields(logrus.Fields{
			logs.Request: t.item.ID, "batch": t.job.batch.ID, "age_ms": age.Milliseconds(),
			"events": len(t.text.pieces), "runs": t.runs, "moves": t.moves, "group": t.item.Group,
			"waited_ms": t.firstRunStart.Sub(t.job.batch.Time).Milliseconds(), logs.Endpoint: t.endpoint,
			"run_ms": r.timers.Since(t.runStart).Milliseconds(), "expected": t.item.ExpectedTokens,
		}).Info("late result")
	}
	t.job.addReady(t, result, r.timers.Now())
}

// callScorer makes the scoring call and returns its answer.
func (r *Runner) callScorer(ctx context.Context, reward *batch.Reward) (*forward.Answer, error) {
	path, query, _ := strings.Cut(reward.Path, "?")
	route, found := r.route(reward.Host, path)
	if !found {
		return nil, errors.New("no route for the scoring call")
	}
	names := r.seams.Names
	answer, err := r.seams.Forwarder.Send(ctx, forward.Call{
		ID: reward.ID, Route: asIdempotent(route), Service: route.SelectService(rand.Float64()),
		Deadline: r.timers.Now().Add(scoringTimeout),
		Request: exchange.Request{
			Method: http.MethodPost, Path: path, Query: query, Host: reward.Host, Body: reward.Body,
			Header: http.Header{http.CanonicalHeaderKey(names.Request): {reward.ID}},
		},
	})
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	if answer.Rest != nil {
		answer.Abort()
		return nil, errLongScoringAnswer
	}
	return answer, nil
}

// errLongScoringAnswer is returned for a scoring answer that was not read to its
// end. Its stamp alone does not prove that the scoring was completed.
var errLongScoringAnswer = errors.New("the answer to the scoring call is too long")

// asIdempotent returns the route with the kind Idempotent, since scoring calls
// may be repeated.
func asIdempotent(route manifest.Route) manifest.Route {
	route.Kind = manifest.Idempotent
	return route
}

// scoringFinished handles the end of a scoring call: the item is completed,
// scored again or given up.
func (r *Runner) scoringFinished(t *task, result batch.Result, answer *forward.Answer, err error) {
	if t.state != stateScoring {
		return
	}
	names := r.seams.Names
	if err == nil && answer.Status < 300 {
		result.Score = answer.Header.Get(names.Stamp)
		r.completeItem(t, result)
		return
	}
	t.state = statePending
	t.scoringFailures++
	t.notBefore = r.timers.Now().Add(retryDelay(t.scoringFailures))
	r.counters.scoringFailures.Add(t.item.Reward.Host, 1)
	cause := "unexpected status"
	if err != nil {
		cause = err.Error()
	} else {
		t.scoringErrors += answer.ServerErrors
	}
	r.log.WithFields(logrus.Fields{
		logs.Request: t.item.ID, "batch": t.job.batch.ID, logs.Cause: cause, "errors": t.scoringErrors,
	}).Info("scoring failed")
	if route, found := r.route(t.item.Reward.Host, t.item.Reward.Path); found && t.scoringErrors >= route.Attempts {
		r.giveUp(t, "scoring call answered with status 500")
	}
}

// pageDue reports whether the ready results of a batch are to be listed now.
func (j *job) pageDue(now time.Time, limit int) bool {
	if !j.loaded || j.writing || len(j.ready) == 0 || now.Before(j.retryAt) {
		return false
	}
	ready := listing.Ready{
		Since:    j.readySince,
		Complete: j.progress.Complete() || j.listed+len(j.ready) >= len(j.tasks),
		Full:     float64(j.readyBytes) > fullPageFraction*float64(limit),
	}
	return !now.Before(j.schedule.Next(ready))
}

// writePages starts to write the next page of each batch whose ready results are
// to be listed.
func (r *Runner) writePages(ctx context.Context) {
	now := r.timers.Now()
	limit := int(maxPageFraction * float64(r.seams.ValueBytes))
	for _, j := range r.jobs {
		if !j.pageDue(now, limit) {
			continue
		}
		page := j.nextPage(limit)
		number, jobCtx := j.pages, j.ctx
		j.writing = true
		go func() {
			err := r.seams.Store.Append(ctx, j.batch.ID, number, page)
			if errors.Is(err, records.ErrConflict) || errors.Is(err, records.ErrUnknownOutcome) {
				page, err = r.seams.Store.Page(ctx, j.batch.ID, number)
			}
			r.post(jobCtx, func(context.Context) {
				if jobCtx.Err() == nil {
					r.pageWritten(j, number, page, err)
				}
			})
		}()
	}
}

// nextPage returns a page of ready results of at most limit bytes, but with at
// least one result.
func (j *job) nextPage(limit int) batch.Page {
	size, count := 0, 0
	for _, result := range j.ready {
		size += resultSize(result)
		if count > 0 && size > limit {
			break
		}
		count++
	}
	return batch.Page{Start: j.listed, Results: append([]batch.Result(nil), j.ready[:count]...)}
}

// pageWritten handles the end of a write. The page is the one that the store has
// under the number; another worker may have written it.
func (r *Runner) pageWritten(j *job, number int, page batch.Page, err error) {
	j.writing = false
	if err != nil {
		j.retryAt = r.timers.Now().Add(pageRetryDelay)
		r.log.WithFields(logrus.Fields{"batch": j.batch.ID, "page": number, logs.Cause: err.Error()}).Warn("result page not written, retrying")
		return
	}
	j.merge(page)
	now := r.timers.Now()
	j.readySince = now
	j.schedule = j.schedule.WithPage(now, j.progress.Complete() && len(j.ready) == 0)
	if j.listed >= len(j.tasks) {
		r.log.WithFields(logrus.Fields{
			"batch": j.batch.ID, "age_ms": r.timers.Since(j.batch.Time).Milliseconds(),
		}).Info("batch complete")
		r.cacheTexts(j)
		r.drop(j)
	}
}
