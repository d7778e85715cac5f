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
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
	"github.com/wigeonpin/wigeonpin/internal/traffic/forward"
	"github.com/wigeonpin/wigeonpin/internal/traffic/headers"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

const (
	host          = "h.example"
	events        = 4
	resultTimeout = 30 * time.Second
)

// endpoints are the engines, which share one address.
var endpoints = []string{"e1", "e2"}

var names = headers.Names{
	Request: "X-Request", Deadline: "X-Deadline", Endpoint: "X-Endpoint", Account: "X-Account", Stamp: "X-Stamp",
	Rejected: "X-Rejected", Versions: "X-Versions", VersionKey: "versions", Load: "X-Load", Cold: "X-Cold",
}

// harness is a runner with its surroundings.
type harness struct {
	engine *engine
	ledger *ledger.Ledger
	shelf  *batch.Shelf
	runner *Runner
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{engine: newEngine(), ledger: ledger.New()}
	server := httptest.NewServer(h.engine)
	t.Cleanup(server.Close)
	h.shelf = batch.NewShelf(h.ledger.Store(), 1<<20)
	h.runner = h.newRunner(t, strings.TrimPrefix(server.URL, "http://"))
	return h
}

func (h *harness) newRunner(t *testing.T, address string) *Runner {
	timers := clock.NewSystem()
	fleet := replica.NewFleet(timers, replica.Options{Ceiling: 1})
	for _, id := range endpoints {
		fleet.Put(replica.Entry{ID: id, Service: "llm", Slots: 8, Address: address, Models: map[string]int64{"m": 5}})
	}
	fleet.Put(replica.Entry{ID: "s1", Service: "scorer", Slots: 8, Address: address})
	m := manifest.New(1, []manifest.Route{
		{Host: host, Prefix: "/gen/", Kind: manifest.Rollout, Attempts: 2, Patience: time.Minute, Targets: []manifest.Target{{Service: "llm", Weight: 1}}},
		{Host: host, Prefix: "/score/", Kind: manifest.Idempotent, Attempts: 1, Open: true, Targets: []manifest.Target{{Service: "scorer", Weight: 1}}},
	}, nil, nil, manifest.Limits{})
	pool := exchange.New(exchange.Options{Match: names.Request})
	r := New(Seams{
		Shelf: h.shelf, Fleet: fleet, Pool: pool, Names: names, ValueBytes: 1 << 20,
		Manifest:  func() *manifest.Manifest { return m },
		Forwarder: forward.New(forward.Seams{Fleet: fleet, Pool: pool, Names: names}, timers, logs.Discard()),
	}, timers, logs.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan struct{})
	go func() { defer close(finished); r.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-finished })
	return r
}

func newBatch(ids ...string) *batch.Batch {
	b := &batch.Batch{ID: "b1", Account: "acme", Host: host, Model: "m", Oldest: 3, Time: time.Now()}
	for _, id := range ids {
		b.Items = append(b.Items, batch.Item{
			ID: id, Path: "/gen/x", Group: id, Tokens: 1000,
			Reward: &batch.Reward{ID: id + "-reward", Host: host, Path: "/score/y"},
		})
	}
	return b
}

// results waits until all items of the batch are listed in the store.
func (h *harness) results(t *testing.T, b *batch.Batch) map[string]batch.Result {
	t.Helper()
	for deadline := time.Now().Add(resultTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		pages, err := h.shelf.Pages(context.Background(), b.ID)
		if err != nil {
			continue
		}
		listed := map[string]batch.Result{}
		count := 0
		for _, page := range pages {
			if page.Start != count {
				t.Fatalf("a page starts at %d, want %d", page.Start, count)
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
	t.Fatal("the results did not come")
	return nil
}

func completeText(id string) string {
	var lines []string
	for n := 1; n <= events; n++ {
		lines = append(lines, fmt.Sprintf("%s.%d", id, n))
	}
	return strings.Join(lines, "\n")
}

// Guards the content of results: whole texts with the versions that made them
// and a score, and items given up only for a reason that allows it.
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
				t.Errorf("%s counts as done", item.ID)
			}
		default:
			if !result.Done || result.Output != completeText(item.ID) || result.Score != "stamp-"+item.ID+"-reward" ||
				len(result.Versions) != 1 || result.Versions[0] != 5 {
				t.Errorf("%s: %+v", item.ID, result)
			}
		}
	}
	h.engine.mu.Lock()
	defer h.engine.mu.Unlock()
	if ids := h.engine.lastEventIDs["cut-1"]; len(ids) != 2 || ids[1] != "2" {
		t.Errorf("the cut text was taken up with %q, want after event 2", ids)
	}
	if ids := h.engine.lastEventIDs["stalled-1"]; len(ids) < 2 || ids[1] != "2" {
		t.Errorf("the stalled text was taken up with %q, want after event 2", ids)
	}
	if runs := h.engine.runs["halfscored-1-reward"]; runs != 2 {
		t.Errorf("%d scoring calls, want 2: the first answer broke off", runs)
	}
	if h.engine.runs["failing-1"] != 2 {
		t.Errorf("an item that fails ran %d times, want 2", h.engine.runs["failing-1"])
	}
}

// Two workers that both carry out a batch agree on the positions, since the
// first page under a number counts.
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

// Guards against a worker that does not take over a page which another one
// wrote under the same number: it would try for ever, or list items twice.
func TestPageOfAnotherWorkerStands(t *testing.T) {
	h := newHarness(t)
	b := newBatch("plain-1", "plain-2")
	ctx := context.Background()
	first := batch.Page{Results: []batch.Result{{ID: "plain-1", Done: true, Output: "of the other worker"}}}
	if err := h.shelf.Append(ctx, b.ID, 0, first); err != nil {
		t.Fatal(err)
	}
	h.runner.SetActive(ctx, true)
	h.runner.Add(ctx, b, true) // fresh: the pages are not read
	listed := h.results(t, b)
	if listed["plain-1"].Output != "of the other worker" || listed["plain-2"].Output != completeText("plain-2") {
		t.Errorf("listed %+v", listed)
	}
}

// A page whose answer was lost stands once.
func TestLostAnswerOfAPage(t *testing.T) {
	h := newHarness(t)
	h.ledger.Fail(ledger.LoseWrite)
	b := newBatch("plain-1", "plain-2")
	h.runner.SetActive(context.Background(), true)
	h.runner.Add(context.Background(), b, true)
	if listed := h.results(t, b); len(listed) != 2 {
		t.Errorf("%d items are listed, want 2", len(listed))
	}
}

// An ended batch runs nothing more, also when it comes again.
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

// Parts of texts that different runs made are never joined: the hunt found a
// text that mixed an older copy with a later run (ORDER, cmw-rollout trouble-3,
// seed 423259462139).
func TestCopiesOfDifferentRunsDoNotMix(t *testing.T) {
	r := New(Seams{}, clock.NewSystem(), logs.Discard())
	r.add(context.Background(), newBatch("plain-1"), true)
	newPart := func(origin string, from, to int) *Text {
		p := &Text{Item: "plain-1", Origin: origin, From: int64(from), Last: int64(to), Versions: []int64{5}}
		for n := from + 1; n <= to; n++ {
			p.Pieces = append(p.Pieces, fmt.Sprintf("%s%d", origin, n))
		}
		return p
	}
	steps := []struct {
		part *Text
		kept bool
		want string
	}{
		{newPart("a", 0, 2), true, "a1 a2"},
		{newPart("a", 2, 4), true, "a1 a2 a3 a4"},
		{newPart("b", 3, 6), false, "a1 a2 a3 a4"},
		{newPart("b", 0, 3), true, "b1 b2 b3"},
		{newPart("a", 4, 5), false, "b1 b2 b3"},
		{newPart("b", 5, 6), false, "b1 b2 b3"},
		{newPart("b", 3, 4), true, "b1 b2 b3 b4"},
	}
	for i, s := range steps {
		if kept := r.mergeText(s.part); kept != s.kept {
			t.Errorf("step %d: kept %v, want %v", i, kept, s.kept)
		}
		if got := strings.Join(r.findTask("plain-1").text.pieces, " "); got != s.want {
			t.Errorf("step %d: text %q, want %q", i, got, s.want)
		}
	}
}

// A copy that was made under weights that the batch does not allow is not used.
func TestOldCopyIsNotUsed(t *testing.T) {
	r := New(Seams{}, clock.NewSystem(), logs.Discard())
	r.add(context.Background(), newBatch("plain-1"), true)
	r.mergeText(&Text{Item: "plain-1", Origin: "a", Pieces: []string{"x"}, Last: 1, Versions: []int64{2}})
	if pieces := r.findTask("plain-1").text.pieces; len(pieces) != 0 {
		t.Errorf("the copy was kept: %q", pieces)
	}
}

// A worker that becomes active goes on with the text that it was sent.
func TestStandbyGoesOn(t *testing.T) {
	h := newHarness(t)
	ctx := context.Background()
	b := newBatch("plain-1")
	h.runner.Add(ctx, b, true)
	h.runner.post(ctx, func(context.Context) {
		h.runner.mergeText(&Text{
			Item: "plain-1", Origin: "a", Pieces: []string{"plain-1.1", "plain-1.2"}, Last: 2, Versions: []int64{4},
		})
	})
	h.runner.SetActive(ctx, true)
	result := h.results(t, b)["plain-1"]
	if result.Output != completeText("plain-1") || fmt.Sprint(result.Versions) != "[4 5]" {
		t.Errorf("result %+v", result)
	}
}

// The runner gives up on a silent engine before the kernel does, so that it
// resets the connection. What the kernel gave up was delivered after a zone cut
// and ran 3.7 s after the end of its batch (UNASKED, tsetseg-pin trouble-2).
func TestRunnerGivesUpBeforeTheKernel(t *testing.T) {
	for name, limit := range map[string]time.Duration{"stall": stallTimeout, "first event": firstEventTimeout} {
		if limit+tickInterval >= exchange.SilenceLimit {
			t.Errorf("the limit for %s is %v, the kernel's %v", name, limit, exchange.SilenceLimit)
		}
	}
}

// Guards against running work that is given up, or started again elsewhere,
// because its engine was only slow to report: the entry lapses while events
// still come.
func TestRunGoesOnWhileItsEntryIsGone(t *testing.T) {
	h := newHarness(t)
	h.engine.halfway, h.engine.release = make(chan struct{}), make(chan struct{})
	b := newBatch("held-1")
	h.runner.SetActive(context.Background(), true)
	h.runner.Add(context.Background(), b, true)
	<-h.engine.halfway
	for _, id := range endpoints {
		h.runner.seams.Fleet.Remove(id, time.Time{})
	}
	time.Sleep(2 * tickInterval) // the runner looks at its runs meanwhile
	close(h.engine.release)
	result := h.results(t, b)["held-1"]
	if !result.Done || result.Output != completeText("held-1") {
		t.Errorf("result %+v", result)
	}
	h.engine.mu.Lock()
	defer h.engine.mu.Unlock()
	if h.engine.runs["held-1"] != 1 {
		t.Errorf("%d runs, want the one that was under way", h.engine.runs["held-1"])
	}
}
