package batch

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
)

// newStoredBatch returns a store with an accepted batch of three items and two pages
// with its results.
func newStoredBatch(t *testing.T, l *ledger.Ledger) (*Store, []Page) {
	t.Helper()
	store := NewStore(l.Store(), 1<<20)
	if err := store.Accept(context.Background(), newBatch("acme")); err != nil {
		t.Fatal(err)
	}
	pages := []Page{
		{Start: 0, Results: []Result{{ID: "i2"}}},
		{Start: 1, Results: []Result{{ID: "i1"}, {ID: "i3"}}},
	}
	for number, page := range pages {
		if err := store.Append(context.Background(), "b1", number, page); err != nil {
			t.Fatal(err)
		}
	}
	return store, pages
}

// acceptWithPage accepts a batch of three items and writes a page with one result.
func acceptWithPage(t *testing.T, store *Store) {
	t.Helper()
	if err := store.Accept(context.Background(), newBatch("acme")); err != nil {
		t.Fatal(err)
	}
	if err := store.Append(context.Background(), "b1", 0, Page{Results: []Result{{ID: "i1"}}}); err != nil {
		t.Fatal(err)
	}
}

// Guards against results that were read at one process and are missing at another,
// since the worker that answers does not know a page of the store: a former holder of
// the role wrote it after this worker had read the pages.
func TestWorkerDoesNotKnowAllPages(t *testing.T) {
	for known := range 2 {
		t.Run(fmt.Sprintf("knows %d of 2", known), func(t *testing.T) {
			store, pages := newStoredBatch(t, ledger.New())
			reader := newReader(store, func(_ context.Context, _ string, from int, _ time.Duration) Update {
				return Update{Worker: "w", Active: true, Pages: pages[min(from, known):known]}
			})
			for after, want := range []string{"i2", "i1", "i3"} {
				results, _, err := reader.Results(context.Background(), "b1", after, 0)
				if err != nil || len(results) == 0 || results[0].ID != want {
					t.Errorf("position %d: results %+v, error %v; want %s first", after, results, err, want)
				}
			}
		})
	}
}

// Guards against an answer without results that only a worker has confirmed. While
// the store cannot be read, the position may have been read elsewhere.
func TestEmptyAnswerNeedsTheStore(t *testing.T) {
	l := ledger.New()
	store, _ := newStoredBatch(t, l)
	reader := newReader(store, func(context.Context, string, int, time.Duration) Update {
		return Update{Worker: "w", Active: true}
	})
	if _, err := reader.Batch(context.Background(), "b1"); err != nil {
		t.Fatal(err)
	}
	l.SetFault(ledger.Refuse)
	if results, _, err := reader.Results(context.Background(), "b1", 0, 0); !errors.Is(err, records.ErrRefused) {
		t.Errorf("results %+v, error %v; want records.ErrRefused", results, err)
	}
}

// Guards against an answer without results that is as old as a stale copy of the
// store: the page was written while the caller waited.
func TestPollEndsWithAnExactRead(t *testing.T) {
	recordStore := ledger.New().Store()
	recordStore.GetStale = func(ctx context.Context, _, _ string) (records.Record, error) {
		written := NewStore(recordStore, 1<<20)
		if err := written.Append(ctx, "b1", 0, Page{Results: []Result{{ID: "i1"}}}); err != nil && !errors.Is(err, records.ErrConflict) {
			t.Error(err)
		}
		return records.Record{}, records.ErrMissing
	}
	store := NewStore(recordStore, 1<<20)
	if err := store.Accept(context.Background(), newBatch("acme")); err != nil {
		t.Fatal(err)
	}
	results, _, err := newReader(store, noWorker).Results(context.Background(), "b1", 0, pollInterval+pollInterval/2)
	if err != nil || len(results) != 1 {
		t.Errorf("results %+v, error %v; want the page that was written during the wait", results, err)
	}
}

// Guards against pages of a worker that wait for a slow read of the store by another
// caller of the same batch.
func TestSlowStoreDelaysNoPagesOfTheWorker(t *testing.T) {
	recordStore := ledger.New().Store()
	get := recordStore.Get
	reading, proceed := make(chan struct{}), make(chan struct{})
	recordStore.Get = func(ctx context.Context, kind, name string) (records.Record, error) {
		if kind == KindPages {
			close(reading)
			<-proceed
		}
		return get(ctx, kind, name)
	}
	store := NewStore(recordStore, 1<<20)
	ctx := context.Background()
	if err := store.Accept(ctx, newBatch("acme")); err != nil {
		t.Fatal(err)
	}
	updates := make(chan Update, 2)
	updates <- Update{Worker: "w", Active: true}
	updates <- Update{Worker: "w", Active: true, Pages: []Page{{Results: []Result{{ID: "i1"}}}}}
	reader := newReader(store, func(context.Context, string, int, time.Duration) Update { return <-updates })
	finished := make(chan []Result, 1)
	go func() {
		results, _, _ := reader.Results(ctx, "b1", 0, 0) // an error leaves the results empty
		finished <- results
	}()
	select {
	case <-reading:
	case results := <-finished:
		t.Fatalf("results %+v without a read of the store", results)
	}
	if results, _, err := reader.Results(ctx, "b1", 0, 0); err != nil || len(results) != 1 {
		t.Errorf("results %+v, error %v; want the page of the worker", results, err)
	}
	close(proceed)
	if results := <-finished; len(results) != 1 {
		t.Errorf("the caller that waited for the store got %d results, want 1", len(results))
	}
}

// knowsNothing is a worker that holds the role and knows no page.
func knowsNothing(context.Context, string, int, time.Duration) Update {
	return Update{Worker: "w", Active: true}
}

// Guards against an answer of a worker without results that is confirmed by a copy of
// the store that is out of date.
func TestEmptyAnswerIsConfirmedByAnExactRead(t *testing.T) {
	recordStore := ledger.New().Store()
	recordStore.GetStale = func(context.Context, string, string) (records.Record, error) {
		return records.Record{}, records.ErrMissing
	}
	store := NewStore(recordStore, 1<<20)
	ctx := context.Background()
	acceptWithPage(t, store)
	for name, follow := range map[string]FollowFunc{"worker": knowsNothing, "no worker": noWorker} {
		results, _, err := newReader(store, follow).Results(ctx, "b1", 0, 0)
		if err != nil || len(results) != 1 {
			t.Errorf("%s: results %+v, error %v; want the page of the store", name, results, err)
		}
	}
}

// Guards against a confirmation that ends at the first page which the worker does not
// know: the position that the caller asks for may be on a later one.
func TestConfirmationReadsAllPages(t *testing.T) {
	for name, follow := range map[string]FollowFunc{"worker": knowsNothing, "no worker": noWorker} {
		t.Run(name, func(t *testing.T) {
			store, _ := newStoredBatch(t, ledger.New())
			for after, want := range []string{"i2", "i1", "i3"} {
				results, _, err := newReader(store, follow).Results(context.Background(), "b1", after, 0)
				if err != nil || len(results) == 0 || results[0].ID != want {
					t.Errorf("position %d: results %+v, error %v; want %s first", after, results, err, want)
				}
			}
		})
	}
}

// Guards against batches that can't be read since all of their pages are read from the
// store before the first results are answered. A page of 0.45 MB takes a small process
// 0.15 to 0.27 s, and callers wait for 1.5 s. Here the second page is never answered.
func TestFirstResultsDoNotWaitForAllPages(t *testing.T) {
	l := ledger.New()
	whole := l.Store()
	store := NewStore(whole, 1<<20)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if err := store.Accept(ctx, newBatch("acme")); err != nil {
		t.Fatal(err)
	}
	for number, id := range []string{"i1", "i2"} {
		if err := store.Append(ctx, "b1", number, Page{Start: number, Results: []Result{{ID: id}}}); err != nil {
			t.Fatal(err)
		}
	}
	slow := whole
	slow.Get = func(ctx context.Context, kind, name string) (records.Record, error) {
		if kind == KindPages && name != PageName("b1", 0) {
			<-ctx.Done()
			return records.Record{}, records.ErrUnknownOutcome
		}
		return whole.Get(ctx, kind, name)
	}
	slow.GetStale = slow.Get
	reader := newReader(NewStore(slow, 1<<20), noWorker)
	results, _, err := reader.Results(ctx, "b1", 0, 0)
	if ctx.Err() != nil {
		t.Error("no answer within 3 s, as the second page was waited for")
	}
	if err != nil || len(results) != 1 || results[0].ID != "i1" {
		t.Errorf("results %+v, error %v; want the result of the first page", results, err)
	}
}
