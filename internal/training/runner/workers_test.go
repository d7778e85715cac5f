package runner

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

// followWait is the wait of a long poll, and followTimeout the time that an entry
// process has for all calls of a request (storeTimeout in package front).
const (
	followWait    = time.Second
	followTimeout = 2500 * time.Millisecond
)

// fakeWorker serves Pages: it holds the role or does not, and answers no call while it
// is paused.
type fakeWorker struct {
	Progress
	active, paused atomic.Bool
}

func (w *fakeWorker) Pages(ctx context.Context, request *PagesRequest) (*PagesReply, error) {
	if w.paused.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !w.active.Load() {
		return &PagesReply{}, nil
	}
	select {
	case <-time.After(time.Duration(request.GetWait()) * time.Millisecond):
	case <-ctx.Done():
	}
	return &PagesReply{Active: true}, nil
}

// newFakeWorkers returns a worker that holds the role and another one, with their
// addresses in this order.
func newFakeWorkers(t *testing.T) (holder, other *fakeWorker, addresses []string) {
	t.Helper()
	holder, other = &fakeWorker{}, &fakeWorker{}
	holder.active.Store(true)
	for _, w := range []*fakeWorker{holder, other} {
		mux := http.NewServeMux()
		mux.Handle(ProgressPathPrefix, NewProgressServer(w))
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	return holder, other, addresses
}

// Guards against reads that are refused during a takeover although the new holder
// answers: the paused one is asked twice, as the last that was active and as one of
// the workers, and takes all the time of the request.
func TestPausedHolderIsAskedOnce(t *testing.T) {
	holder, other, addresses := newFakeWorkers(t)
	follow := NewWorkers(func() []string { return addresses }).Follow
	if update := follow(context.Background(), "b1", 0, 0); update.Worker != addresses[0] {
		t.Fatalf("update %+v, want one of the holder", update)
	}
	holder.paused.Store(true)
	other.active.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), followTimeout)
	defer cancel()
	if update := follow(ctx, "b1", 0, followWait); !update.Active || update.Worker != addresses[1] {
		t.Errorf("update %+v, want one of the new holder", update)
	}
}

// Guards against a long poll that takes its wait once for a paused holder and once
// more for the new one. Too little time is left for the read of the store that must
// confirm an answer without results, so that the call is refused.
func TestWorkersShareTheWait(t *testing.T) {
	holder, other, addresses := newFakeWorkers(t)
	holder.paused.Store(true)
	other.active.Store(true)
	follow := NewWorkers(func() []string { return addresses }).Follow
	start := time.Now()
	update := follow(context.Background(), "b1", 0, followWait)
	if took := time.Since(start); !update.Active || took > followWait+2*peerCallTimeout {
		t.Errorf("update %+v after %v, want an active one within %v", update, took, followWait+2*peerCallTimeout)
	}
}

// Guards against reads of all batches that go to the store, since the holder of the
// role was asked for one batch that it no longer keeps.
func TestUnknownBatchDoesNotPauseCallsForOthers(t *testing.T) {
	h := newHarness(t)
	ctx := context.Background()
	mux := http.NewServeMux()
	h.runner.Mount(ctx, mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	follow := NewWorkers(func() []string { return []string{strings.TrimPrefix(server.URL, "http://")} }).Follow
	b := newBatch("plain-1")
	h.runner.SetActive(ctx, true)
	h.runner.Add(ctx, b, true)
	h.results(t, b)
	if update := follow(ctx, b.ID, 0, followWait); !update.Active || len(update.Pages) == 0 {
		t.Fatalf("update %+v, want the pages of the batch", update)
	}
	if update := follow(ctx, "old", 0, 0); update.Active {
		t.Fatalf("update %+v, want none of an unknown batch", update)
	}
	if update := follow(ctx, b.ID, 0, 0); !update.Active {
		t.Errorf("update %+v, want the pages of the batch", update)
	}
}

// Guards against a long poll that is refused during a takeover while the store is slow:
// the calls to the workers leave too little time for the read of the store.
func TestLongPollIsAnsweredWhileTheStoreIsSlow(t *testing.T) {
	const storeDelay = 250 * time.Millisecond
	recordStore := ledger.New().Store()
	get := recordStore.Get
	recordStore.Get = func(ctx context.Context, kind, name string) (records.Record, error) {
		select {
		case <-time.After(storeDelay):
			return get(ctx, kind, name)
		case <-ctx.Done():
			return records.Record{}, ctx.Err()
		}
	}
	store := batch.NewStore(recordStore, 1<<20)
	if err := store.Accept(context.Background(), newBatch("plain-1")); err != nil {
		t.Fatal(err)
	}
	holder, other, addresses := newFakeWorkers(t)
	holder.paused.Store(true)
	other.active.Store(true)
	reader := batch.NewReader(batch.ReaderSeams{
		Store:  store,
		Find:   func(context.Context, string) (*batch.Batch, bool) { return nil, false },
		Follow: NewWorkers(func() []string { return addresses }).Follow,
	}, clock.NewSystem(), logs.Discard())
	if _, err := reader.Batch(context.Background(), "b1"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), followTimeout)
	defer cancel()
	if results, _, err := reader.Results(ctx, "b1", 0, followWait); err != nil || len(results) != 0 {
		t.Errorf("results %+v, error %v; want neither", results, err)
	}
}

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
	results, _, err := reader.Results(ctx, b.ID, 0, 0)
	if ctx.Err() != nil {
		t.Fatalf("no answer within %v", limit)
	}
	if err != nil || len(results) != 1 {
		t.Errorf("results %+v, error %v; want the result that the store has", results, err)
	}
}
