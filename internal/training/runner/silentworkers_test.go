package runner

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

// Guards against batches that can't be read (LOST) since the records of replaced
// workers stay in the list of processes: for a batch that no worker has in memory, each
// of their addresses is tried in turn before the store is read, and callers wait for
// 1.5 s. The limit here is twice that, and a fourth of what the calls in turn take.
func TestReadDoesNotWaitForEachSilentWorker(t *testing.T) {
	const silentWorkers, limit = 40, 3 * time.Second
	var addresses []string
	for range silentWorkers {
		listener, err := net.Listen("tcp", "127.0.0.1:0") // accepts no connection
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		addresses = append(addresses, listener.Addr().String())
	}
	peers := func() []string { return append([]string(nil), addresses...) }
	store := batch.NewStore(ledger.New().Store(), 1<<20)
	b := newBatch("plain-1")
	if err := store.Accept(t.Context(), b); err != nil {
		t.Fatal(err)
	}
	page := batch.Page{Results: []batch.Result{{ID: "plain-1", Done: true, Output: "x"}}}
	if err := store.Append(t.Context(), b.ID, 0, page); err != nil {
		t.Fatal(err)
	}
	reader := newReader(store, peers)
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	results, err := reader.Results(ctx, b.ID, 0, 0)
	if ctx.Err() != nil {
		t.Fatalf("no answer within %v", limit)
	}
	if err != nil || len(results) != 1 {
		t.Errorf("results %+v, error %v; want the result that the store has", results, err)
	}
}
