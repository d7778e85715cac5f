package batch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
)

// newStoreWith returns a store with a batch and its pages.
func newStoreWith(t *testing.T, b *Batch, pages []Page) *Store {
	t.Helper()
	store := NewStore(ledger.New().Store(), 1<<20)
	if err := store.Accept(context.Background(), b); err != nil {
		t.Fatal(err)
	}
	for number, page := range pages {
		if err := store.Append(context.Background(), b.ID, number, page); err != nil {
			t.Fatal(err)
		}
	}
	return store
}

// Guards against a process that refuses all reads of a batch for good, since it once took
// a wrong page from a worker: it does not read the pages of the store anew.
func TestReaderRecoversFromAWrongPage(t *testing.T) {
	ctx, b := context.Background(), newBatch("acme")
	store := newStoreWith(t, b, []Page{
		{Start: 0, Results: []Result{{ID: b.Items[0].ID}, {ID: b.Items[1].ID}}},
		{Start: 2, Results: []Result{{ID: b.Items[2].ID}}},
	})
	wrong := []Page{{Start: 0, Results: []Result{{ID: b.Items[0].ID}}}}
	reader := newReader(store, func(context.Context, string, int, time.Duration) Update {
		told := wrong
		wrong = nil
		return Update{Worker: "w", Active: len(told) > 0, Pages: told}
	})
	if results, _, err := reader.Results(ctx, b.ID, 0, 0); err != nil || len(results) != 1 {
		t.Fatalf("results %+v, error %v", results, err)
	}
	for attempt := range 3 {
		if results, _, err := reader.Results(ctx, b.ID, 1, 0); err != nil || len(results) == 0 {
			t.Errorf("read %d: results %+v, error %v; want those of the store", attempt, results, err)
		}
	}
}

// Guards against an empty answer at a position that was read, when a page is misplaced in
// the store itself: reading the batch once more does not help then.
func TestMisplacedPageOfTheStoreIsNoEmptyAnswer(t *testing.T) {
	ctx, b := context.Background(), newBatch("acme")
	store := newStoreWith(t, b, []Page{
		{Start: 0, Results: []Result{{ID: b.Items[0].ID}}},
		{Start: 2, Results: []Result{{ID: b.Items[2].ID}}},
	})
	reader := newReader(store, noWorker)
	for attempt := range 3 {
		if results, _, err := reader.Results(ctx, b.ID, 0, 0); err != nil || len(results) != 1 {
			t.Errorf("read %d of position 0: results %+v, error %v", attempt, results, err)
		}
		if results, _, err := reader.Results(ctx, b.ID, 1, 0); !errors.Is(err, errPageOrder) {
			t.Errorf("read %d of position 1: results %+v, error %v; want %v", attempt, results, err, errPageOrder)
		}
	}
}
