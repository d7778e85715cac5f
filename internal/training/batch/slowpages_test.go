package batch

import (
	"context"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
)

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
	results, err := reader.Results(ctx, "b1", 0, 0)
	if ctx.Err() != nil {
		t.Error("no answer within 3 s, as the second page was waited for")
	}
	if err != nil || len(results) != 1 || results[0].ID != "i1" {
		t.Errorf("results %+v, error %v; want the result of the first page", results, err)
	}
}
