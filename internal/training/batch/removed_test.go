package batch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
)

// Guards against an answer without results for a batch whose records were removed: a
// reader that knows the batch, but not all of its pages, finds none in the store. The
// position was read before, and other processes answer that there is no such batch.
func TestRemovedBatchHasNoEmptyAnswer(t *testing.T) {
	for name, follow := range map[string]FollowFunc{"worker": knowsNothing, "no worker": noWorker} {
		t.Run(name, func(t *testing.T) {
			store, _ := newStoredBatch(t, ledger.New())
			ctx := context.Background()
			reader := newReader(store, follow)
			if _, err := reader.Batch(ctx, "b1"); err != nil {
				t.Fatal(err)
			}
			if results, _, err := newReader(store, follow).Results(ctx, "b1", 0, 0); err != nil || len(results) == 0 {
				t.Fatalf("results %+v, error %v", results, err)
			}
			if err := store.Remove(ctx, "b1"); err != nil {
				t.Fatal(err)
			}
			if results, _, err := reader.Results(ctx, "b1", 0, 0); err == nil {
				t.Errorf("results %+v without an error, want records.ErrMissing", results)
			}
		})
	}
}

// Guards against a call that is refused although its results are known: the read of
// the store fails at a page after them.
func TestKnownResultsOutliveAFailedRead(t *testing.T) {
	recordStore := ledger.New().Store()
	get := recordStore.Get
	recordStore.Get = func(ctx context.Context, kind, name string) (records.Record, error) {
		if kind == KindPages && name == PageName("b1", 1) {
			return records.Record{}, records.ErrUnknownOutcome
		}
		return get(ctx, kind, name)
	}
	store := NewStore(recordStore, 1<<20)
	ctx := context.Background()
	acceptWithPage(t, store)
	for name, follow := range map[string]FollowFunc{"worker": knowsNothing, "no worker": noWorker} {
		results, _, err := newReader(store, follow).Results(ctx, "b1", 0, 0)
		if err != nil || len(results) != 1 {
			t.Errorf("%s: results %+v, error %v; want the page that was read", name, results, err)
		}
	}
}

// Guards against results at wrong positions: a page that does not begin where the
// known results end is added to them.
func TestPageThatStartsElsewhereIsRefused(t *testing.T) {
	store, _ := newStoredBatch(t, ledger.New())
	ctx := context.Background()
	reader := newReader(store, func(context.Context, string, int, time.Duration) Update {
		return Update{Worker: "w", Active: true, Pages: []Page{{Start: 1, Results: []Result{{ID: "i1"}, {ID: "i3"}}}}}
	})
	results, _, err := reader.Results(ctx, "b1", 0, 0)
	if err == nil && (len(results) == 0 || results[0].ID != "i2") {
		t.Errorf("results %+v; want i2 first, or an error", results)
	}
}

// Guards against a reader that goes on with a batch which was removed after its
// retention time, while another client account has submitted one with the same id: that
// account gets 404 here, and 202 and results elsewhere.
func TestReaderNoticesANewBatchWithTheSameID(t *testing.T) {
	store, _ := newStoredBatch(t, ledger.New())
	ctx := context.Background()
	reader := newReader(store, noWorker)
	if _, _, err := reader.Results(ctx, "b1", 0, 0); err != nil {
		t.Fatal(err)
	}
	for _, change := range []func() error{
		func() error { return store.Remove(ctx, "b1") },
		func() error { return store.RemoveEndMarker(ctx, "b1") },
		func() error { return store.Accept(ctx, newBatch("globex")) },
	} {
		if err := change(); err != nil {
			t.Fatal(err)
		}
	}
	b, err := reader.Batch(ctx, "b1")
	if err != nil || b.Account != "globex" {
		t.Errorf("batch %+v, error %v; want the batch of globex", b, err)
	}
	if results, _, err := reader.Results(ctx, "b1", 0, 0); err != nil || len(results) != 0 {
		t.Errorf("results %+v, error %v; want none of the new batch", results, err)
	}
}

// Guards against 404 for a batch that takes the place of a removed one with the same id
// during a read: it was accepted, so that no answer may deny it.
func TestBatchReplacedDuringAReadIsNotMissing(t *testing.T) {
	recordStore := ledger.New().Store()
	whole := NewStore(recordStore, 1<<20)
	ctx := context.Background()
	reading := recordStore
	reading.Get = func(ctx context.Context, kind, name string) (records.Record, error) {
		record, err := recordStore.Get(ctx, kind, name)
		if kind == KindPages {
			replaced := newBatch("acme")
			replaced.Time = time.Now()
			if err := errors.Join(whole.Remove(ctx, "b1"), whole.Accept(ctx, replaced)); err != nil {
				t.Error(err)
			}
		}
		return record, err
	}
	if err := whole.Accept(ctx, newBatch("acme")); err != nil {
		t.Fatal(err)
	}
	results, _, err := newReader(NewStore(reading, 1<<20), noWorker).Results(ctx, "b1", 0, 0)
	if err == nil || errors.Is(err, records.ErrMissing) {
		t.Errorf("results %+v, error %v; want an error other than records.ErrMissing", results, err)
	}
}
