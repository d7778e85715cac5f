package runner

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
	"github.com/wigeonpin/wigeonpin/internal/traffic/breaker"
	"github.com/wigeonpin/wigeonpin/internal/traffic/forward"
	"github.com/wigeonpin/wigeonpin/internal/traffic/headers"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

const (
	host          = "h.example"
	events        = 4
	resultTimeout = 30 * time.Second
)

// endpoints are the ids of the engines, which share one address.
var endpoints = []string{"e1", "e2"}

var names = headers.Names{
	Request: "X-Request", Deadline: "X-Deadline", Endpoint: "X-Endpoint", Account: "X-Account", Stamp: "X-Stamp",
	Rejected: "X-Rejected", Versions: "X-Versions", VersionKey: "versions", Load: "X-Load", Cold: "X-Cold",
}

// harness is a runner with a fake engine and a store in memory.
type harness struct {
	engine  *engine
	ledger  *ledger.Ledger
	store   *batch.Store
	breaker *breaker.Breaker
	meters  *meter.Set
	address string // of the engine
	runner  *Runner
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{
		engine: newEngine(), ledger: ledger.New(), meters: meter.NewSet(),
		breaker: breaker.New(breaker.Seams{}, clock.NewSystem(), logs.Discard()),
	}
	server := httptest.NewServer(h.engine)
	t.Cleanup(server.Close)
	h.store = batch.NewStore(h.ledger.Store(), 1<<20)
	h.address = strings.TrimPrefix(server.URL, "http://")
	h.runner = h.newRunner(t, h.address)
	return h
}

func (h *harness) newRunner(t *testing.T, address string) *Runner {
	timers := clock.NewSystem()
	fleet := replica.NewFleet(timers, replica.Options{Overcommit: 1})
	for _, id := range endpoints {
		fleet.Put(replica.Entry{ID: id, Service: "llm", Slots: 8, Address: address, Models: map[string]int64{"m": 5}})
	}
	fleet.Put(replica.Entry{ID: "s1", Service: "scorer", Slots: 8, Address: address})
	m := manifest.New(1, []manifest.Route{
		{Host: host, Prefix: "/gen/", Kind: manifest.Rollout, Attempts: 2, ItemTimeout: time.Minute, Targets: []manifest.Target{{Service: "llm", Weight: 1}}},
		{Host: host, Prefix: "/score/", Kind: manifest.Idempotent, Attempts: 1, Public: true, Targets: []manifest.Target{{Service: "scorer", Weight: 1}}},
	}, nil, nil, manifest.Limits{})
	pool := exchange.New(exchange.Options{EchoHeader: names.Request})
	r := New(Seams{
		Store: h.store, Fleet: fleet, Pool: pool, Names: names, ValueBytes: 1 << 20,
		Manifest:  func() *manifest.Manifest { return m },
		Forwarder: forward.New(forward.Seams{Fleet: fleet, Pool: pool, Names: names, Breaker: h.breaker}, timers, logs.Discard()),
		Meters:    h.meters,
		Breaker:   h.breaker,
	}, timers, logs.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan struct{})
	go func() { defer close(finished); r.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-finished })
	return r
}

func newBatch(ids ...string) *batch.Batch {
	b := &batch.Batch{ID: "b1", Account: "acme", Host: host, Path: "/gen/batches", Model: "m", MinVersion: 3, Time: time.Now()}
	for _, id := range ids {
		b.Items = append(b.Items, batch.Item{
			ID: id, Path: "/gen/x", Group: id, MaxTokens: 1000,
			Reward: &batch.Reward{ID: id + "-reward", Host: host, Path: "/score/y"},
		})
	}
	return b
}

// keyOf returns the text key of an item of newBatch.
func keyOf(id string) string {
	b := newBatch(id)
	return b.TextKey(&b.Items[0])
}

// taskOf returns the task of an item of newBatch.
func (r *Runner) taskOf(id string) *task { return r.findTask(keyOf(id)) }

// results waits until all items of the batch are listed in the store.
func (h *harness) results(t *testing.T, b *batch.Batch) map[string]batch.Result {
	t.Helper()
	for deadline := time.Now().Add(resultTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		pages, err := h.store.Pages(context.Background(), b.ID)
		if err != nil {
			continue
		}
		listed := map[string]batch.Result{}
		count := 0
		for _, page := range pages {
			if page.Start != count {
				t.Fatalf("a page starts at position %d, want %d", page.Start, count)
			}
			count += len(page.Results)
			for _, result := range page.Results {
				listed[result.ID] = result
			}
		}
		if count > len(b.Items) {
			t.Fatalf("%d results for %d items", count, len(b.Items))
		}
		if count == len(b.Items) {
			return listed
		}
	}
	t.Fatalf("results incomplete after %v", resultTimeout)
	return nil
}

func completeText(id string) string {
	var lines []string
	for n := 1; n <= events; n++ {
		lines = append(lines, fmt.Sprintf("%s.%d", id, n))
	}
	return strings.Join(lines, "\n")
}

// Guards against wrong results: texts that are incomplete or have events twice,
// wrong weight versions, missing scores, and items that are given up though they
// could be completed.
func TestResults(t *testing.T) {
	h := newHarness(t)
	b := newBatch("plain-1", "cut-1", "rejected-1", "old-1", "older-1", "failing-1", "never-1", "unscored-1",
		"endless-1", "stalled-1", "commented-1", "halfscored-1")
	ctx := context.Background()
	h.runner.SetActive(ctx, true)
	h.runner.Add(ctx, b, true)
	listed := h.results(t, b)
	for _, item := range b.Items {
		result := listed[item.ID]
		switch strings.SplitN(item.ID, "-", 2)[0] {
		case "failing", "never", "unscored":
			if result.Done {
				t.Errorf("%s is done, want it given up", item.ID)
			}
		default:
			if !result.Done || result.Output != completeText(item.ID) || result.Score != "stamp-"+item.ID+"-reward" ||
				len(result.Versions) != 1 || result.Versions[0] != 5 {
				t.Errorf("%s: unexpected result %+v", item.ID, result)
			}
		}
	}
	h.engine.mu.Lock()
	defer h.engine.mu.Unlock()
	if ids := h.engine.lastEventIDs["cut-1"]; len(ids) != 2 || ids[1] != "2" {
		t.Errorf("runs of the cut text have Last-Event-Id %q, want two runs, the second with 2", ids)
	}
	if ids := h.engine.lastEventIDs["stalled-1"]; len(ids) < 2 || ids[1] != "2" {
		t.Errorf("runs of the stalled text have Last-Event-Id %q, want the second with 2", ids)
	}
	if runs := h.engine.runs["halfscored-1-reward"]; runs != 2 {
		t.Errorf("%d scoring calls, want 2, since the first answer was cut off", runs)
	}
	if h.engine.runs["failing-1"] != 2 {
		t.Errorf("the failing item ran %d times, want 2", h.engine.runs["failing-1"])
	}
}

// Guards against results with the text of an error, or without their whole text,
// since an engine broke off within the head of its answer, answered with nothing or
// with a page, or wrote an error into the stream. An answer to a scoring call that
// breaks off within its head must not count either.
func TestBrokenAnswersAreNoResults(t *testing.T) {
	h := newHarness(t)
	var ids []string
	for fault := range brokenAnswers {
		ids = append(ids, fault+"-1")
	}
	b := newBatch(ids...)
	ctx := context.Background()
	h.runner.SetActive(ctx, true)
	h.runner.Add(ctx, b, true)
	for id, result := range h.results(t, b) {
		if !result.Done || result.Output != completeText(id) || result.Score != "stamp-"+id+"-reward" {
			t.Errorf("%s: unexpected result %+v", id, result)
		}
	}
	h.engine.mu.Lock()
	defer h.engine.mu.Unlock()
	if ids := h.engine.lastEventIDs["overtaken-1"]; len(ids) != 2 || ids[1] != "2" {
		t.Errorf("runs with Last-Event-Id %q, want two, the second with 2", ids)
	}
}

// Guards against two workers that both execute a batch and disagree on the
// positions of results: only the first page under a number counts.
func TestTwoRunnersAgree(t *testing.T) {
	h := newHarness(t)
	server := httptest.NewServer(h.engine)
	defer server.Close()
	other := h.newRunner(t, strings.TrimPrefix(server.URL, "http://"))
	b := newBatch("plain-1", "plain-2", "plain-3", "cut-1", "rejected-1")
	ctx := context.Background()
	for _, r := range []*Runner{h.runner, other} {
		r.SetActive(ctx, true)
		r.Add(ctx, b, true)
	}
	if listed := h.results(t, b); len(listed) != len(b.Items) {
		t.Errorf("%d different items are listed, want %d", len(listed), len(b.Items))
	}
}

// Guards against a worker that ignores a page which another worker wrote under
// the same number: it would retry for ever, or list items twice.
func TestPageOfAnotherWorkerIsAdopted(t *testing.T) {
	h := newHarness(t)
	b := newBatch("plain-1", "plain-2")
	ctx := context.Background()
	first := batch.Page{Results: []batch.Result{{ID: "plain-1", Done: true, Output: "of the other worker"}}}
	if err := h.store.Append(ctx, b.ID, 0, first); err != nil {
		t.Fatal(err)
	}
	h.runner.SetActive(ctx, true)
	h.runner.Add(ctx, b, true) // a fresh batch, so that its pages are not read
	listed := h.results(t, b)
	if listed["plain-1"].Output != "of the other worker" || listed["plain-2"].Output != completeText("plain-2") {
		t.Errorf("listed %+v", listed)
	}
}

// Guards against a page that is written twice when the answer of the store to
// the first write is lost.
func TestLostAnswerOfAPage(t *testing.T) {
	h := newHarness(t)
	h.ledger.SetFault(ledger.LoseResponse)
	b := newBatch("plain-1", "plain-2")
	h.runner.SetActive(context.Background(), true)
	h.runner.Add(context.Background(), b, true)
	if listed := h.results(t, b); len(listed) != 2 {
		t.Errorf("%d items are listed, want 2", len(listed))
	}
}

// Guards against an ended batch that runs when it is added again.
func TestEndedBatchDoesNotRun(t *testing.T) {
	h := newHarness(t)
	ctx := context.Background()
	h.runner.SetActive(ctx, true)
	h.runner.End(ctx, "b1")
	h.runner.Add(ctx, newBatch("plain-1"), true)
	other := newBatch("plain-2")
	other.ID = "b2"
	h.runner.Add(ctx, other, true)
	h.results(t, other)
	h.engine.mu.Lock()
	defer h.engine.mu.Unlock()
	if h.engine.runs["plain-1"] != 0 {
		t.Error("an item of an ended batch ran")
	}
}

// Guards against joining parts of texts that different runs generated. A fault
// hunt found a text that mixed an older copy with a later run (ORDER,
// cmw-rollout trouble-3, seed 423259462139).
func TestCopiesOfDifferentRunsDoNotMix(t *testing.T) {
	r := New(Seams{}, clock.NewSystem(), logs.Discard())
	r.add(context.Background(), newBatch("plain-1"), true)
	steps := []struct {
		part   *Text
		merged bool
		want   string
	}{
		{newPart(keyOf("plain-1"), "a", 0, 2), true, "a1 a2"},
		{newPart(keyOf("plain-1"), "a", 2, 4), true, "a1 a2 a3 a4"},
		{newPart(keyOf("plain-1"), "b", 3, 6), false, "a1 a2 a3 a4"},
		{newPart(keyOf("plain-1"), "b", 0, 3), true, "b1 b2 b3"},
		{newPart(keyOf("plain-1"), "a", 4, 5), false, "b1 b2 b3"},
		{newPart(keyOf("plain-1"), "b", 5, 6), false, "b1 b2 b3"},
		{newPart(keyOf("plain-1"), "b", 3, 4), true, "b1 b2 b3 b4"},
	}
	for i, s := range steps {
		if merged := r.mergeText(s.part); merged != s.merged {
			t.Errorf("step %d: merged %v, want %v", i, merged, s.merged)
		}
		if got := strings.Join(r.taskOf("plain-1").text.pieces, " "); got != s.want {
			t.Errorf("step %d: text %q, want %q", i, got, s.want)
		}
	}
}

// Guards against the use of a copy that was generated by weights older than the
// batch allows.
func TestOldCopyIsNotUsed(t *testing.T) {
	r := New(Seams{}, clock.NewSystem(), logs.Discard())
	r.add(context.Background(), newBatch("plain-1"), true)
	r.mergeText(&Text{Item: keyOf("plain-1"), Origin: "a", Pieces: []string{"x"}, Last: 1, Versions: []int64{2}})
	if pieces := r.taskOf("plain-1").text.pieces; len(pieces) != 0 {
		t.Errorf("text %q, want none of the outdated copy", pieces)
	}
}

// Guards against a worker that becomes active and generates a text again instead
// of continuing the copy that it was sent.
func TestStandbyResumesText(t *testing.T) {
	h := newHarness(t)
	ctx := context.Background()
	b := newBatch("plain-1")
	h.runner.Add(ctx, b, true)
	h.runner.post(ctx, func(context.Context) {
		h.runner.mergeText(&Text{
			Item: keyOf("plain-1"), Origin: "a", Pieces: []string{"plain-1.1", "plain-1.2"}, Last: 2, Versions: []int64{4},
		})
	})
	h.runner.SetActive(ctx, true)
	result := h.results(t, b)["plain-1"]
	if result.Output != completeText("plain-1") || fmt.Sprint(result.Versions) != "[4 5]" {
		t.Errorf("result %+v, want the complete text with versions 4 and 5", result)
	}
}

// Guards against time limits of the runner that exceed the kernel's limit for
// unacknowledged data. The runner must give up on a silent engine first, so that
// it resets the connection: a request that the kernel had given up was delivered
// after a zone partition and ran 3.7 s after the end of its batch (UNASKED,
// tsetseg-pin trouble-2).
func TestRunnerGivesUpBeforeTheKernel(t *testing.T) {
	for name, limit := range map[string]time.Duration{"stall": stallTimeout, "first event": firstEventTimeout} {
		if limit+tickInterval >= exchange.TCPUserTimeout {
			t.Errorf("the %s timeout is %v, want less than the kernel's %v", name, limit, exchange.TCPUserTimeout)
		}
	}
}

// Guards against a run that is given up or restarted on another engine because
// the engine reported late: its fleet entry is removed while its events still
// arrive.
func TestRunContinuesWithoutFleetEntry(t *testing.T) {
	h := newHarness(t)
	h.engine.halfway, h.engine.release = make(chan struct{}), make(chan struct{})
	b := newBatch("held-1")
	h.runner.SetActive(context.Background(), true)
	h.runner.Add(context.Background(), b, true)
	<-h.engine.halfway
	for _, id := range endpoints {
		h.runner.seams.Fleet.Remove(id, time.Time{})
	}
	time.Sleep(2 * tickInterval) // the runner checks its runs in the meantime
	close(h.engine.release)
	result := h.results(t, b)["held-1"]
	if !result.Done || result.Output != completeText("held-1") {
		t.Errorf("result %+v, want the complete text", result)
	}
	h.engine.mu.Lock()
	defer h.engine.mu.Unlock()
	if h.engine.runs["held-1"] != 1 {
		t.Errorf("%d runs, want only the first", h.engine.runs["held-1"])
	}
}
