package runner

import (
	"context"
	"sync"
	"testing"
	"time"

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
