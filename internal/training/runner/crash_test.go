package runner

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/traffic/archive"
	"github.com/wigeonpin/wigeonpin/internal/traffic/breaker"
)

// Guards against an item that is treated as one that crashes engines, and no
// longer started, because the only engines with recent enough weights could not
// be reached for a second.
func TestUnreachedEnginesDoNotEndAnItem(t *testing.T) {
	h := newHarness(t)
	b := newBatch("resets-1")
	h.runner.SetActive(context.Background(), true)
	h.runner.Add(context.Background(), b, true)
	if result := h.results(t, b)["resets-1"]; !result.Done {
		t.Errorf("result %+v, want a completed item", result)
	}
}

// Guards against a valid item that is never started again because several
// engines happened to end while they ran it.
func TestItemIsRetriedAfterCrashes(t *testing.T) {
	endpoints = []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9", "e10"}
	defer func() { endpoints = []string{"e1", "e2"} }()
	h := newHarness(t)
	b := newBatch("unlucky-1")
	h.runner.SetActive(context.Background(), true)
	h.runner.Add(context.Background(), b, true)
	if result := h.results(t, b)["unlucky-1"]; !result.Done {
		t.Errorf("result %+v, want a completed item", result)
	}
}

// Guards against an item that crashes one engine after the other without delay,
// so that other items get no engine: its runs must be delayed, and other items
// must be completed in the meantime.
func TestCrashingItemBacksOff(t *testing.T) {
	endpoints = []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"}
	defer func() { endpoints = []string{"e1", "e2"} }()
	h := newHarness(t)
	b, others := newBatch("crashing-1"), newBatch("plain-1", "plain-2")
	others.ID = "b2"
	h.runner.SetActive(context.Background(), true)
	h.runner.Add(context.Background(), b, true)
	crashes := func() (engines, runs int) {
		h.engine.mu.Lock()
		defer h.engine.mu.Unlock()
		for _, n := range h.engine.crashes {
			runs += n
		}
		return len(h.engine.crashes), runs
	}
	for deadline := time.Now().Add(resultTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if engines, _ := crashes(); engines >= suspectThreshold {
			break
		}
	}
	h.runner.Add(context.Background(), others, true)
	h.results(t, others)
	_, before := crashes()
	const pauses = 2
	time.Sleep(pauses*maxRetryDelay + maxRetryDelay/2)
	if _, runs := crashes(); runs-before < 1 || runs-before > pauses+1 {
		t.Errorf("%d runs in %d retry delays, want one after each", runs-before, pauses)
	}
}

// Guards against an item that crashes engines without delay again, when another worker takes
// the role or all workers were killed.
func TestSuspicionOutlivesTheWorker(t *testing.T) {
	endpoints = []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"}
	defer func() { endpoints = []string{"e1", "e2"} }()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	h := newHarness(t)
	store := h.ledger.Store()
	go h.breaker.Archive(store).Run(ctx)
	b := newBatch("crashing-1")
	h.runner.SetActive(ctx, true)
	h.runner.Add(ctx, b, true)
	stored := func() bool {
		_, err := store.Get(ctx, archive.Kind, breaker.ArchiveName)
		return err == nil
	}
	for !stored() && ctx.Err() == nil {
		h.engine.mu.Lock()
		crashed := slices.Collect(maps.Keys(h.engine.crashes))
		h.engine.mu.Unlock()
		for _, id := range crashed {
			h.runner.seams.Fleet.Remove(id, time.Time{})
		}
		time.Sleep(5 * time.Millisecond)
	}
	h.runner.SetActive(ctx, false)
	h.breaker = breaker.New(breaker.Seams{}, h.runner.timers, logs.Discard())
	go h.breaker.Archive(store).Run(ctx)
	for h.breaker.Empty() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	crashes := func() (runs int) {
		h.engine.mu.Lock()
		defer h.engine.mu.Unlock()
		for _, n := range h.engine.crashes {
			runs += n
		}
		return runs
	}
	before := crashes()
	next := h.newRunner(t, h.address)
	next.SetActive(ctx, true)
	next.Add(ctx, b, true)
	time.Sleep(maxRetryDelay + maxRetryDelay/2)
	if runs := crashes() - before; runs < 1 || runs > 2 {
		t.Errorf("%d runs at the next worker in one and a half retry delays, want 1 or 2", runs)
	}
}

// Guards against scoring calls that are retried at a constant rate while the
// service is down: such retries make up most of its load when it comes back.
func TestScoringRetriesBackOff(t *testing.T) {
	h := newHarness(t)
	b := newBatch("lost-1")
	h.runner.SetActive(context.Background(), true)
	h.runner.Add(context.Background(), b, true)
	if result := h.results(t, b)["lost-1"]; !result.Done {
		t.Errorf("result %+v, want a completed item", result)
	}
	h.engine.mu.Lock()
	defer h.engine.mu.Unlock()
	const most = 7
	if calls := h.engine.runs["lost-1-reward"]; calls > most {
		t.Errorf("%d scoring calls in %v, want at most %d", calls, lostTime, most)
	}
}

// Guards against several suspected items that run on the same engine at a time,
// or that occupy all engines.
func TestSuspectedItemsAreIsolated(t *testing.T) {
	endpoints = []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"}
	defer func() { endpoints = []string{"e1", "e2"} }()
	h := newHarness(t)
	b := newBatch("apart-1", "apart-2", "apart-3", "apart-4", "apart-5", "apart-6")
	h.runner.SetActive(context.Background(), true)
	h.runner.Add(context.Background(), b, true)
	h.results(t, b)
	h.engine.mu.Lock()
	defer h.engine.mu.Unlock()
	if most := int(maxSuspectFraction * float64(len(endpoints))); h.engine.maxSuspectRuns > most || h.engine.sharedEngine {
		t.Errorf("%d suspected items ran at a time, want at most %d; two on the same engine: %v, want false", h.engine.maxSuspectRuns, most, h.engine.sharedEngine)
	}
}
