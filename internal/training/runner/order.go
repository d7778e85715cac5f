package runner

import (
	"time"

	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
	"github.com/wigeonpin/wigeonpin/internal/training/priority"
)

const (
	// orderInterval is how long an order of starts is used. It takes some 0.4 ms to
	// compute for 900 items, and items of a batch need not be ordered anew for each
	// slot that becomes free.
	orderInterval = 50 * time.Millisecond
	// usualEventTime is assumed until event times were measured.
	usualEventTime = 50 * time.Millisecond
	// startTime is the time from the start of a run to its first event.
	startTime = 150 * time.Millisecond
	// stepGrace is how long after the due time a trainer counts a step as in time.
	// finishTime is the part of it for the scoring call, the page and the trainer's read.
	stepGrace  = 700 * time.Millisecond
	finishTime = 400 * time.Millisecond
	// spareLimit is the share of busy slots up to which items start that their step does
	// not need. It exceeds a half, so that no item waits while most slots are free.
	spareLimit = 0.875
)

// lengthKey identifies the texts of which the lengths are learned together.
type lengthKey struct{ host, path, model string }

// lengthsOf returns what is known of the lengths of the texts of such batches.
func (r *Runner) lengthsOf(b *batch.Batch) *priority.Lengths {
	key := lengthKey{b.Host, b.Path, b.Model}
	lengths, known := r.lengths.Get(key)
	if !known {
		lengths = priority.NewLengths()
		r.lengths.Add(key, lengths)
	}
	return lengths
}

// refreshOrder orders the unfinished items of all batches by what each step needs and
// when it is due, unless an order is fresh.
func (r *Runner) refreshOrder() {
	uptime := r.timers.Uptime()
	if r.order != nil && uptime-r.orderedAt < orderInterval {
		return
	}
	r.orderedAt = uptime
	var steps []priority.Step
	var jobs []*job
	for _, j := range r.jobs {
		if j.loaded {
			jobs, steps = append(jobs, j), append(steps, r.stepOf(j))
		}
	}
	places := priority.Order(steps)
	r.order = make([]*task, 0, len(places))
	for _, p := range places {
		t := jobs[p.Step].tasks[p.Item]
		t.class, t.slack = p.Class, p.Slack
		r.order = append(r.order, t)
	}
}

// stepOf returns what the order of starts depends on.
func (r *Runner) stepOf(j *job) priority.Step {
	s := priority.Step{
		Due: r.untilDue(j), Wanted: j.progress.Wanted(),
		Awaited: make([]bool, len(j.groups)), Items: make([]priority.Item, len(j.tasks)),
	}
	for i, group := range j.groups {
		s.Awaited[i] = j.progress.Awaits(group)
	}
	lengths, eventTime := r.lengthsOf(j.batch), r.eventTimeOf(j)
	for i, t := range j.tasks {
		s.Items[i] = priority.Item{Group: t.group, State: t.progressState()}
		if s.Items[i].State == priority.Waiting || s.Items[i].State == priority.Running {
			s.Items[i].Left = t.timeNeeded(lengths, eventTime)
		}
	}
	return s
}

// untilDue returns the time until the texts of a batch have to be complete. Like the
// time limit of an item, it counts from when this process learned of the batch. Where
// batches have no due time, it is the time limit of their items.
func (r *Runner) untilDue(j *job) time.Duration {
	due := defaultPatience
	if route, found := r.batchRoute(j.batch, j.batch.Path); found && route.ItemTimeout > 0 {
		due = route.ItemTimeout
	}
	if j.schedule.Due > 0 {
		due = j.schedule.Due + stepGrace - finishTime
	}
	return due - (r.timers.Uptime() - j.knownSince)
}

// eventTimeOf returns the usual time for one event at the engines of a batch.
func (r *Runner) eventTimeOf(j *job) time.Duration {
	if route, found := r.batchRoute(j.batch, j.batch.Path); found {
		if measured := r.seams.Fleet.UsualEventTime(route.SelectService(0)); measured > 0 {
			return measured
		}
	}
	return usualEventTime
}

// progressState returns how far the task is. A complete text whose scoring call failed
// has its place in the order as well.
func (t *task) progressState() priority.State {
	switch {
	case t.givenUp:
		return priority.Lost
	case t.state == statePending:
		return priority.Waiting
	case t.state == stateRunning, t.state == stateScoring:
		return priority.Running
	}
	return priority.Finished
}

// timeNeeded returns the time until the text is complete on an engine that takes
// eventTime for an event.
func (t *task) timeNeeded(lengths *priority.Lengths, eventTime time.Duration) time.Duration {
	current := t.snapshot()
	if current.complete || t.state == stateScoring {
		return 0
	}
	left := time.Duration(lengths.Remaining(t.item.ExpectedTokens, len(current.pieces)) * float64(eventTime))
	if t.state == statePending {
		left += startTime
	}
	return left
}

// spareRoom returns the number of items of a batch that may start now although their
// step does not need them.
func (r *Runner) spareRoom(j *job) int {
	route, found := r.batchRoute(j.batch, j.batch.Path)
	if !found {
		return 0
	}
	busy, slots := r.seams.Fleet.Occupancy(replica.Requirements{
		Service: route.SelectService(0), Model: j.batch.Model, Version: j.batch.MinVersion,
	})
	return max(0, int(spareLimit*float64(slots))-busy)
}

// countStep counts the step of a batch once its results are complete and a page was
// written.
func (r *Runner) countStep(j *job) {
	if j.counted || j.schedule.Due <= 0 || !j.progress.Complete() {
		return
	}
	j.counted = true
	outcome := "in_time"
	if r.timers.Uptime()-j.knownSince > j.schedule.Due+stepGrace {
		outcome = "late"
	}
	r.counters.steps.Add(outcome, 1)
}
