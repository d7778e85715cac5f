package batch

import (
	"context"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
)

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
	if err := store.Accept(ctx, newBatch("acme")); err != nil {
		t.Fatal(err)
	}
	if err := store.Append(ctx, "b1", 0, Page{Results: []Result{{ID: "i1"}}}); err != nil {
		t.Fatal(err)
	}
	for name, follow := range map[string]FollowFunc{"worker": knowsNothing, "no worker": noWorker} {
		results, err := newReader(store, follow).Results(ctx, "b1", 0, 0)
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
				results, err := newReader(store, follow).Results(context.Background(), "b1", after, 0)
				if err != nil || len(results) == 0 || results[0].ID != want {
					t.Errorf("position %d: results %+v, error %v; want %s first", after, results, err, want)
				}
			}
		})
	}
}
