package runner

import (
	"cmp"
	"context"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
)

const itemTimeout = time.Minute

// newDrivenRunner returns an active runner without engines, whose items are given up
// after itemTimeout. Its goroutine does not run.
func newDrivenRunner() (*Runner, *clock.Service, *clock.Driver) {
	timers, driver := clock.NewDriven(time.Unix(100000, 0))
	route := manifest.Route{Host: host, Prefix: "/gen/", Kind: manifest.Rollout, ItemTimeout: itemTimeout}
	m := manifest.New(1, []manifest.Route{route}, nil, nil, manifest.Limits{})
	r := New(Seams{
		Fleet: replica.NewFleet(timers, replica.Options{Overcommit: 1}), Manifest: func() *manifest.Manifest { return m },
	}, timers, logs.Discard())
	r.active = true
	return r, timers, driver
}

// addLoaded adds a batch with one item that was accepted at the given time of day.
func addLoaded(r *Runner, accepted time.Time) *task {
	b := newBatch("plain-1")
	b.Time = accepted
	r.active = false
	r.add(context.Background(), b, true)
	r.active = true
	j := r.findJob(b.ID)
	j.loaded, j.progress = true, r.newProgress(b)
	return j.tasks[0]
}

// Guards against live items that are listed as given up (MIXED): the time of day of the
// holder, or of the process that accepted the batch, was wrong for a while.
func TestWrongTimeOfDayGivesUpNoItem(t *testing.T) {
	const step = 3 * time.Minute
	for name, offset := range map[string]time.Duration{"ahead": step, "behind": -step, "right": 0} {
		t.Run("holder "+name, func(t *testing.T) {
			r, timers, driver := newDrivenRunner()
			item := addLoaded(r, timers.Now())
			driver.Advance(itemTimeout / 2)
			driver.SetBy(offset)
			expectGivenUp(t, r, driver, item, itemTimeout/2)
		})
		t.Run("writer "+name, func(t *testing.T) {
			r, timers, driver := newDrivenRunner()
			item := addLoaded(r, timers.Now().Add(offset))
			expectGivenUp(t, r, driver, item, itemTimeout)
		})
	}
}

// expectGivenUp fails the test unless the item is given up after the given time, and not
// before.
func expectGivenUp(t *testing.T, r *Runner, driver *clock.Driver, item *task, after time.Duration) {
	t.Helper()
	r.checkTasks()
	driver.Advance(after - tickInterval)
	r.checkTasks()
	if item.givenUp {
		t.Error("the item is given up before its time is over")
	}
	driver.Advance(tickInterval)
	r.checkTasks()
	if !item.givenUp {
		t.Error("the item is not given up after its time is over")
	}
}

// Guards against runs that all count as stalled since the time of day was set ahead, and
// against a stalled run that is not moved since it was set back.
func TestWrongTimeOfDayStallsNoRun(t *testing.T) {
	for _, offset := range []time.Duration{10 * time.Minute, -10 * time.Minute} {
		r, timers, driver := newDrivenRunner()
		item := addLoaded(r, timers.Now())
		var cause error
		begin(r, item, func(err error) { cause = cmp.Or(cause, err) })
		driver.SetBy(offset)
		r.checkTasks()
		if cause != nil {
			t.Errorf("set by %v: the run was ended at once: %v", offset, cause)
		}
		driver.Advance(stallTimeout + tickInterval)
		r.checkTasks()
		if cause == nil {
			t.Errorf("set by %v: the stalled run was not ended", offset)
		}
	}
}

// begin marks the item as running since now.
func begin(r *Runner, item *task, cancel context.CancelCauseFunc) {
	item.state, item.cancel, item.runStart = stateRunning, cancel, r.timers.Now()
	item.noteActivity(r.timers, 0)
}
