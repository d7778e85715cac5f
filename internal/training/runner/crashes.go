package runner

import (
	"context"
	"maps"
	"slices"

	"github.com/wigeonpin/wigeonpin/internal/traffic/breaker"
)

// shareCrashes tells the breaker which engines have ended under a suspected item, so that
// the next holder of the worker role does not begin anew with it. An engine that only broke
// the run off may live; it is looked at again when a further run breaks.
func (r *Runner) shareCrashes(t *task) {
	if r.seams.Breaker == nil || !t.suspected() {
		return
	}
	key, engines := t.textKey, slices.Collect(maps.Keys(t.brokenOn))
	go func() {
		for _, at := range engines {
			if r.hasEnded(at) {
				r.seams.Breaker.RecordCrash(key, breaker.Incarnation{Endpoint: at.endpoint, Born: at.born})
			}
		}
	}()
}

// hasEnded reports whether an engine is not in the list any more, or refuses connections.
func (r *Runner) hasEnded(at incarnation) bool {
	e, found := r.seams.Fleet.Entry(at.endpoint)
	if !found || e.Born != at.born {
		return true
	}
	return r.seams.Pool.RefusesConnections(context.Background(), e.Address)
}

// recallCrashes lets an item that has not broken here count with the engines that ended
// under it before, in the hands of this or another worker.
func (r *Runner) recallCrashes(t *task) {
	b := r.seams.Breaker
	if b == nil || len(t.brokenOn) > 0 || b.Empty() {
		return
	}
	for _, at := range b.Crashes(t.textKey) {
		if t.brokenOn == nil {
			t.brokenOn = map[incarnation]bool{}
		}
		t.brokenOn[incarnation{at.Endpoint, at.Born}] = true
	}
}

// clearCrashes forgets the engines on which an item broke, since its text has grown.
func (r *Runner) clearCrashes(t *task) {
	if len(t.brokenOn) > 0 && r.seams.Breaker != nil && !r.seams.Breaker.Empty() {
		r.seams.Breaker.RecordAnswer(t.textKey)
	}
	t.brokenRuns, t.brokenOn = 0, nil
}
