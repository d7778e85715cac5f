package runner

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

// knownTimeout bounds how long a worker may take to show a page that the store has. It
// is shorter than the time for which the worker holds results of its own.
const knownTimeout = 15 * time.Second

// Guards against a batch that counts as one without pages because a worker has just
// learned of it. Its watch may lag, and the former holder of the role may have written
// pages already: the worker then showed none and ran their items again.
func TestPagesOfABatchThatBecomesKnownLate(t *testing.T) {
	h := newHarness(t)
	h.engine.halfway, h.engine.release = make(chan struct{}), make(chan struct{})
	h.setBatchDeadline(time.Minute) // the worker holds its own results meanwhile
	release := sync.OnceFunc(func() { close(h.engine.release) })
	defer release()
	ctx, cancel := context.WithTimeout(context.Background(), knownTimeout)
	defer cancel()
	b := newBatch("listed-1", "held-1")
	listed := batch.Result{ID: "listed-1", Done: true, Output: "text of the former holder", Versions: []int64{5}}
	if err := h.store.Append(ctx, b.ID, 0, batch.Page{Results: []batch.Result{listed}}); err != nil {
		t.Fatal(err)
	}
	h.runner.SetActive(ctx, true)
	h.runner.Add(ctx, b, true)
	handler := &peerHandler{runner: h.runner, ctx: ctx}
	for {
		reply, err := handler.Pages(ctx, &PagesRequest{Batch: b.ID, Wait: time.Second.Milliseconds()})
		if err != nil {
			t.Fatalf("the worker does not show the page that the store has: %v", err)
		}
		if len(reply.GetPages()) > 0 {
			break
		}
	}
	release()
	if results := h.results(t, b); results["listed-1"].Output != listed.Output {
		t.Errorf("the result of the former holder is now %+v", results["listed-1"])
	}
}

// newReader returns the reader of an entry process that asks the harness's runner, which
// holds the role.
func (h *harness) newReader(t *testing.T) *batch.Reader {
	t.Helper()
	mux := http.NewServeMux()
	h.runner.Mount(t.Context(), mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return newReader(h.store, func() []string { return []string{strings.TrimPrefix(server.URL, "http://")} })
}

// newReader returns the reader of an entry process that asks the workers at the
// addresses.
func newReader(store *batch.Store, peers func() []string) *batch.Reader {
	workers := NewWorkers(peers)
	seams := batch.ReaderSeams{Store: store, Find: workers.Find, Follow: workers.Follow, Retention: time.Hour}
	return batch.NewReader(seams, clock.NewSystem(), logs.Discard())
}

// await executes the condition in the runner's goroutine until it holds.
func (h *harness) await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(resultTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		held := make(chan bool)
		h.runner.post(t.Context(), func(context.Context) { held <- condition() })
		if <-held {
			return
		}
	}
	t.Fatalf("not within %v: %s", resultTimeout, what)
}

func checkReadable(t *testing.T, reader *batch.Reader, want string) {
	t.Helper()
	results, _, err := reader.Results(t.Context(), "b1", 0, 0)
	if err != nil || len(results) != 1 || results[0].ID != want {
		t.Errorf("results %+v, error %v; want the result of %s, which the store has", results, err, want)
	}
}

// Guards against results that are missing (LOST) after the store has applied a page
// write of the former holder only after the new holder had read the pages: a write
// whose answer is lost is sent again through a peer 0.45 s later, and a store may apply
// it seconds later. The batch then ends before the new holder meets the page itself.
func TestPageAppliedAfterTheTakeoverIsReadable(t *testing.T) {
	h := newHarness(t)
	h.engine.halfway, h.engine.release = make(chan struct{}), make(chan struct{})
	defer close(h.engine.release)
	ctx := t.Context()
	b := newBatch("held-1")
	if err := h.store.Accept(ctx, b); err != nil {
		t.Fatal(err)
	}
	h.runner.Add(ctx, b, false)
	h.runner.SetActive(ctx, true)
	<-h.engine.halfway // the pages have been read
	late := batch.Page{Results: []batch.Result{{ID: "held-1", Done: true, Output: "of the former holder"}}}
	if err := h.store.Append(ctx, b.ID, 0, late); err != nil {
		t.Fatal(err)
	}
	reader := h.newReader(t)
	t.Run("running batch", func(t *testing.T) { checkReadable(t, reader, "held-1") })
	h.runner.End(ctx, b.ID)
	h.await(t, "the batch ends", func() bool { return h.runner.findJob(b.ID) == nil })
	t.Run("ended batch", func(t *testing.T) { checkReadable(t, h.newReader(t), "held-1") })
}

// Guards against results that are missing (LOST) although the store has them, since the
// batch ended while the outcome of the holder's own page write was unknown.
func TestPageOfUnknownOutcomeIsReadableAfterTheEnd(t *testing.T) {
	h := newHarness(t)
	ctx := t.Context()
	store := h.ledger.Store()
	var unanswered atomic.Pointer[records.Record]
	late := store
	late.Create = func(ctx context.Context, r records.Record) (records.Record, error) {
		if r.Kind != batch.KindPages {
			return store.Create(ctx, r)
		}
		unanswered.CompareAndSwap(nil, &r)
		return r, records.ErrUnknownOutcome
	}
	h.store = batch.NewStore(late, 1<<20)
	h.runner.post(ctx, func(context.Context) { h.runner.seams.Store = h.store })
	b := newBatch("plain-1")
	if err := h.store.Accept(ctx, b); err != nil {
		t.Fatal(err)
	}
	h.runner.SetActive(ctx, true)
	h.runner.Add(ctx, b, true)
	h.await(t, "the batch ends after a page write of unknown outcome", func() bool {
		j := h.runner.findJob(b.ID)
		if j == nil || j.writing || j.retryAt.IsZero() {
			return false
		}
		h.runner.end(b.ID)
		return true
	})
	if _, err := store.Create(ctx, *unanswered.Load()); err != nil {
		t.Fatal(err)
	}
	checkReadable(t, h.newReader(t), "plain-1")
}
