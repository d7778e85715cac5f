package runner

import (
	"context"
	"testing"
	"time"
)

// Guards against an item that is left aside, as if it crashed engines, because
// the only engines with new enough weights were not reached for a second.
func TestUnreachedEnginesDoNotEndAnItem(t *testing.T) {
	w := newWorld(t)
	b := sample("resets-1")
	w.runner.SetActive(context.Background(), true)
	w.runner.Add(context.Background(), b, true)
	if result := w.results(t, b)["resets-1"]; !result.Done {
		t.Errorf("%+v", result)
	}
}

// Guards against a sound item that is never placed again because several engines
// happened to end under it.
func TestItemIsOwedAfterCrashes(t *testing.T) {
	endpoints = []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9", "e10"}
	defer func() { endpoints = []string{"e1", "e2"} }()
	w := newWorld(t)
	b := sample("unlucky-1")
	w.runner.SetActive(context.Background(), true)
	w.runner.Add(context.Background(), b, true)
	if result := w.results(t, b)["unlucky-1"]; !result.Done {
		t.Errorf("%+v", result)
	}
}

// Guards against an item that crashes one engine after the other, as fast as it
// can, and takes the engines from others: its runs are spaced, and others are
// done meanwhile.
func TestCrashingItemIsSpaced(t *testing.T) {
	endpoints = []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"}
	defer func() { endpoints = []string{"e1", "e2"} }()
	w := newWorld(t)
	b, others := sample("crashing-1"), sample("plain-1", "plain-2")
	others.ID = "b2"
	w.runner.SetActive(context.Background(), true)
	w.runner.Add(context.Background(), b, true)
	hits := func() (engines, runs int) {
		w.engine.mu.Lock()
		defer w.engine.mu.Unlock()
		for _, n := range w.engine.crashed {
			runs += n
		}
		return len(w.engine.crashed), runs
	}
	for deadline := time.Now().Add(waiting); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if engines, _ := hits(); engines >= barrenLives {
			break
		}
	}
	w.runner.Add(context.Background(), others, true)
	w.results(t, others)
	_, before := hits()
	const pauses = 2
	time.Sleep(pauses*longestRetry + longestRetry/2)
	if _, runs := hits(); runs-before < 1 || runs-before > pauses+1 {
		t.Errorf("%d runs in %d pauses, want one after each", runs-before, pauses)
	}
}

// Guards against scoring calls that are repeated without growth while the
// service is away, which add up to most of what it gets when it is back.
func TestScoringCallsGrowApart(t *testing.T) {
	w := newWorld(t)
	b := sample("lost-1")
	w.runner.SetActive(context.Background(), true)
	w.runner.Add(context.Background(), b, true)
	if result := w.results(t, b)["lost-1"]; !result.Done {
		t.Errorf("%+v", result)
	}
	w.engine.mu.Lock()
	defer w.engine.mu.Unlock()
	const most = 7
	if calls := w.engine.runs["lost-1-reward"]; calls > most {
		t.Errorf("%d scoring calls in %v, want at most %d", calls, lostTime, most)
	}
}

// Guards against several items that may crash engines which run side by side on
// one engine, or take all engines.
func TestSuspectedItemsRunApart(t *testing.T) {
	endpoints = []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"}
	defer func() { endpoints = []string{"e1", "e2"} }()
	w := newWorld(t)
	b := sample("apart-1", "apart-2", "apart-3", "apart-4", "apart-5", "apart-6")
	w.runner.SetActive(context.Background(), true)
	w.runner.Add(context.Background(), b, true)
	w.results(t, b)
	w.engine.mu.Lock()
	defer w.engine.mu.Unlock()
	if most := int(apartShare * float64(len(endpoints))); w.engine.mostApart > most || w.engine.sharedApart {
		t.Errorf("%d items ran at a time, want at most %d; on one engine: %v", w.engine.mostApart, most, w.engine.sharedApart)
	}
}
