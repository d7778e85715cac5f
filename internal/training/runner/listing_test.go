package runner

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

// Guards against a page just before the one that completes a step, which makes the
// trainer wait, and against results that are held although they complete it.
func TestResultsAreHeldUntilTheyCompleteTheStep(t *testing.T) {
	h := newHarness(t)
	h.engine.halfway, h.engine.release = make(chan struct{}), make(chan struct{})
	h.setBatchDeadline(time.Minute)
	ctx := context.Background()
	b := newBatch("plain-1", "held-1", "plain-2")
	b.WantedGroups = 2
	b.Items[0].Group, b.Items[1].Group = "g1", "g1"
	b.Items[2].Group = "g2"
	h.runner.SetActive(ctx, true)
	h.runner.Add(ctx, b, true)
	<-h.engine.halfway
	time.Sleep(2 * tickInterval)
	if pages, err := h.store.Pages(ctx, b.ID); err != nil || len(pages) != 0 {
		t.Errorf("%d pages, error %v, want none before the step is complete", len(pages), err)
	}
	close(h.engine.release)
	h.results(t, b)
}

// setBatchDeadline makes batches due this long after their acceptance.
func (h *harness) setBatchDeadline(deadline time.Duration) {
	due := manifest.New(1, []manifest.Route{{
		Host: host, Prefix: "/gen/", Kind: manifest.Rollout, Attempts: 2, ItemTimeout: time.Minute,
		BatchDeadline: deadline, Targets: []manifest.Target{{Service: "llm", Weight: 1}},
	}, {
		Host: host, Prefix: "/score/", Kind: manifest.Idempotent, Attempts: 1, Public: true,
		Targets: []manifest.Target{{Service: "scorer", Weight: 1}},
	}}, nil, nil, manifest.Limits{})
	h.runner.seams.Manifest = func() *manifest.Manifest { return due }
}

// Guards against texts that are generated again although they are complete: a group
// that was listed after the trainer had all that it waits for comes again in a later
// batch.
func TestTextsOfLateGroupsAreKept(t *testing.T) {
	r := New(Seams{}, clock.NewSystem(), logs.Discard())
	ctx := context.Background()
	b := newBatch("early-1", "late-1")
	b.WantedGroups = 1
	r.add(ctx, b, true)
	j := r.findJob(b.ID)
	j.progress = r.newProgress(b)
	for _, id := range []string{"early-1", "late-1"} {
		j.byID[id].text = text{origin: "a", pieces: []string{"x"}, last: 1, versions: []int64{5}, complete: true}
		r.merge(j, j.pages, batch.Page{Start: j.listed, Results: []batch.Result{{ID: id, Done: true}}})
		j.schedule = j.schedule.WithPage(time.Now(), j.progress.Complete())
	}
	r.cacheTexts(j)
	r.drop(j)
	later := newBatch("early-1", "late-1")
	later.ID = "b2"
	r.add(ctx, later, true)
	if kept := len(r.taskOf("late-1").text.pieces); kept != 1 {
		t.Errorf("%d events of the late group are kept, want 1", kept)
	}
	if kept := len(r.taskOf("early-1").text.pieces); kept != 0 {
		t.Errorf("%d events are kept of a group that the trainer has read", kept)
	}
	progress := r.newProgress(later)
	progress.Finish("early-1")
	if progress.Complete() {
		t.Error("the step counts as complete without the group that came again")
	}
}

// Guards against runs that wait, one by one, for the stall timeout on engines of a
// zone that is out of reach, and that are then started on other engines there.
func TestRunsLeaveASilentZone(t *testing.T) {
	r := New(Seams{Fleet: replica.NewFleet(clock.NewSystem(), replica.Options{Overcommit: 1})}, clock.NewSystem(), logs.Discard())
	b := newBatch("near-1", "far-1", "far-2", "far-3")
	r.add(context.Background(), b, true)
	cancelled := map[string]error{}
	heard := map[string]time.Duration{"near-1": 0, "far-1": time.Second, "far-2": time.Second}
	run := func(now time.Time) {
		for _, tk := range r.findJob(b.ID).tasks {
			tk.state, tk.zone, tk.endpoint = stateRunning, "far", tk.item.ID
			if tk.item.ID == "near-1" {
				tk.zone = "near"
			}
			if ago, streams := heard[tk.item.ID]; streams {
				tk.lastEvent.Store(now.Add(-ago).UnixNano())
			}
			tk.cancel = func(cause error) { cancelled[tk.item.ID] = cause }
		}
		r.leaveSilentZones(now)
	}
	now := time.Now()
	run(now)
	if len(cancelled) != 0 {
		t.Errorf("%d runs were moved after one check", len(cancelled))
	}
	run(now.Add(tickInterval))
	for _, id := range []string{"far-1", "far-2", "far-3"} {
		if !errors.Is(cancelled[id], errZoneSilent) {
			t.Errorf("%s ended with %v, want %v", id, cancelled[id], errZoneSilent)
		}
	}
	if cancelled["near-1"] != nil || !r.seams.Fleet.ZoneAvoided("far") || r.seams.Fleet.ZoneAvoided("near") {
		t.Error("the wrong zone is avoided")
	}
}
