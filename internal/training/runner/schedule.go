package runner

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

// schedule starts pending items on engines, the oldest batch first. An item that
// gets no slot holds back the later items of its own batch only. A suspected
// item holds back none.
func (r *Runner) schedule() {
	now := r.timers.Now()
	if r.crowded() {
		r.scheduleInTurn(now)
		return
	}
	for _, j := range r.jobs {
		if !j.loaded {
			continue
		}
		r.waiting = j.countPending(now)
		for _, t := range j.tasks {
			if !t.startable(now) {
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

// permitPatience is how long an item may wait for a permit of a limited engine before
// others are asked.
const permitPatience = 250 * time.Millisecond

// countPending returns the number of items that may start now.
func (j *job) countPending(now time.Time) int {
	pending := 0
	for _, t := range j.tasks {
		if t.startable(now) {
			pending++
		}
	}
	return pending
}

// tryStart starts a run of the item and reports whether there was a free slot.
func (r *Runner) tryStart(t *task) bool {
	route, found := r.batchRoute(t.job.batch, t.item.Path)
	if !found {
		return false
	}
	if route.SingleVersion && len(t.text.pieces) > 0 {
		t.text = text{}
	}
	want := replica.Requirements{
		Service: route.SelectService(rand.Float64()), Model: t.job.batch.Model, Version: t.job.batch.MinVersion,
		Preferred: t.job.preferred[t.item.Group],
		Account:   t.job.batch.Account, Waiting: r.waiting, Patience: permitPatience,
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
	r.recallCrashes(t)
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

// checkTasks cancels runs that are stalled or should be moved, and gives up
// items whose time is over.
func (r *Runner) checkTasks() {
	now, uptime := r.timers.Now(), r.timers.Uptime()
	r.leaveSilentZones(now)
	for _, j := range r.jobs {
		if !j.loaded {
			continue
		}
		for _, t := range j.tasks {
			if t.state == stateRunning && uptime-time.Duration(t.lastActivity.Load()) > stallTimeout {
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
	stored := r.storable(result)
	t.givenUp = !stored.Done
	t.job.addReady(t, stored, r.timers.Now())
}
