package batch

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
)

func newBatch(account string) *Batch {
	return &Batch{ID: "b1", Account: account, Items: []Item{{ID: "i1"}, {ID: "i2"}, {ID: "i3"}}}
}

// A batch is accepted once, whatever happens to the answers, and a refusal is
// told only when the batch was not stored.
func TestAccept(t *testing.T) {
	cases := []struct {
		name   string
		fault  ledger.Fault
		before *Batch
		want   error
		stored bool
	}{
		{"new", ledger.None, nil, nil, true},
		{"again", ledger.None, newBatch("acme"), nil, true},
		{"of another account", ledger.None, newBatch("other"), ErrOther, true},
		{"answer lost", ledger.LoseWrite, nil, nil, true},
		{"swallowed", ledger.Swallow, nil, records.ErrUnsure, false},
		{"refused", ledger.Refuse, nil, records.ErrRefused, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := ledger.New()
			store := NewShelf(l.Store(), 1<<20)
			if c.before != nil {
				if err := store.Accept(context.Background(), c.before); err != nil {
					t.Fatal(err)
				}
			}
			l.Fail(c.fault)
			err := store.Accept(context.Background(), newBatch("acme"))
			if !errors.Is(err, c.want) || (c.want == nil && err != nil) {
				t.Errorf("error %v, want %v", err, c.want)
			}
			l.Fail(ledger.None)
			if _, err := store.Read(context.Background(), "b1"); (err == nil) != c.stored {
				t.Errorf("stored %v, want %v", err == nil, c.stored)
			}
		})
	}
}

// The end of a batch may be told any number of times.
func TestEndTwice(t *testing.T) {
	store := NewShelf(ledger.New().Store(), 1<<20)
	for range 2 {
		if err := store.End(context.Background(), "b1"); err != nil {
			t.Fatal(err)
		}
	}
}

// Only the first page under a number counts, so that a position never changes.
func TestPageIsWrittenOnce(t *testing.T) {
	store := NewShelf(ledger.New().Store(), 1<<20)
	first := Page{Results: []Result{{ID: "i1", Output: "x"}}}
	if err := store.Append(context.Background(), "b1", 0, first); err != nil {
		t.Fatal(err)
	}
	other := Page{Results: []Result{{ID: "i2"}}}
	if err := store.Append(context.Background(), "b1", 0, other); !errors.Is(err, records.ErrConflict) {
		t.Fatalf("error %v, want a conflict", err)
	}
	page, err := store.Page(context.Background(), "b1", 0)
	if err != nil || page.Results[0].ID != "i1" {
		t.Errorf("page %+v, %v", page, err)
	}
}

func noWorker(context.Context, string, int, time.Duration) ([]Page, bool) { return nil, false }

func notFound(context.Context, string) (*Batch, bool) { return nil, false }

// Results are read from any position, by the worker's word or from the store,
// and a position shows the same result whichever way was taken.
func TestReaderPositions(t *testing.T) {
	l := ledger.New()
	store := NewShelf(l.Store(), 1<<20)
	ctx := context.Background()
	if err := store.Accept(ctx, newBatch("acme")); err != nil {
		t.Fatal(err)
	}
	pages := []Page{
		{Start: 0, Results: []Result{{ID: "i2"}}},
		{Start: 1, Results: []Result{{ID: "i1"}, {ID: "i3"}}},
	}
	for number, page := range pages {
		if err := store.Append(ctx, "b1", number, page); err != nil {
			t.Fatal(err)
		}
	}
	worker := func(_ context.Context, _ string, known int, _ time.Duration) ([]Page, bool) {
		return pages[known:], true
	}
	for name, follow := range map[string]Follow{"store": noWorker, "worker": worker} {
		t.Run(name, func(t *testing.T) {
			reader := NewReader(store, notFound, follow, clock.NewSystem())
			for after, want := range []string{"i2", "i1", "i3"} {
				results, err := reader.Results(ctx, "b1", after, 0)
				if err != nil || len(results) == 0 || results[0].ID != want {
					t.Errorf("position %d: %+v, %v, want %s", after, results, err, want)
				}
			}
			if results, err := reader.Results(ctx, "b1", 3, 0); err != nil || len(results) != 0 {
				t.Errorf("past the end: %+v, %v", results, err)
			}
		})
	}
}

// A reader that cannot be sure says so instead of claiming that a batch or a
// result does not exist.
func TestReaderIsNotSure(t *testing.T) {
	l := ledger.New()
	store := NewShelf(l.Store(), 1<<20)
	ctx := context.Background()
	if err := store.Accept(ctx, newBatch("acme")); err != nil {
		t.Fatal(err)
	}
	known := NewReader(store, notFound, noWorker, clock.NewSystem())
	if _, err := known.Batch(ctx, "b1"); err != nil {
		t.Fatal(err)
	}
	if _, err := known.Batch(ctx, "b2"); !errors.Is(err, records.ErrMissing) {
		t.Errorf("error %v, want missing", err)
	}
	l.Fail(ledger.Refuse)
	if _, err := NewReader(store, notFound, noWorker, clock.NewSystem()).Batch(ctx, "b1"); errors.Is(err, records.ErrMissing) || err == nil {
		t.Errorf("error %v for a batch that cannot be looked up", err)
	}
	if _, err := known.Results(ctx, "b1", 0, 0); err == nil {
		t.Error("an empty answer though the store is away")
	}
}

// A batch that is larger than one record is stored in parts and read whole. Its
// head comes last, so that a batch whose parts failed was not accepted.
func TestLargeBatch(t *testing.T) {
	large := &Batch{ID: "b1", Account: "acme"}
	for i := range 50 {
		large.Items = append(large.Items, Item{ID: fmt.Sprint(i), Body: make([]byte, 300)})
	}
	const valueBytes = 4096
	l := ledger.New()
	store := NewShelf(l.Store(), valueBytes)
	ctx := context.Background()
	l.Fail(ledger.Swallow)
	if err := store.Accept(ctx, large); !errors.Is(err, records.ErrRefused) {
		t.Errorf("error %v for a lost part, want a refusal", err)
	}
	if _, err := store.Read(ctx, "b1"); !errors.Is(err, records.ErrMissing) {
		t.Errorf("error %v, want a missing batch", err)
	}
	if err := store.Accept(ctx, large); err != nil {
		t.Fatal(err)
	}
	read, err := store.Read(ctx, "b1")
	if err != nil || len(read.Items) != len(large.Items) || read.Items[49].ID != "49" {
		t.Fatalf("read %d items, %v", len(read.Items), err)
	}
	page, err := l.Store().List(ctx, KindParts, "")
	if err != nil || len(page.Records) < 3 {
		t.Errorf("%d parts, %v", len(page.Records), err)
	}
	for _, r := range page.Records {
		if len(r.Body) > valueBytes {
			t.Errorf("part %s has %d bytes", r.Name, len(r.Body))
		}
	}
}

// Guards against pages of a batch whose id begins with another one's and a dot:
// they have the same prefix in the store.
func TestPagesOfSimilarIDs(t *testing.T) {
	s := NewShelf(ledger.New().Store(), 1<<20)
	ctx := context.Background()
	for _, id := range []string{"b", "b.1"} {
		if err := s.Append(ctx, id, 0, Page{Results: []Result{{ID: "item of " + id}}}); err != nil {
			t.Fatal(err)
		}
	}
	pages, err := s.Pages(ctx, "b")
	if err != nil || len(pages) != 1 || pages[0].Results[0].ID != "item of b" {
		t.Errorf("pages %+v, error %v; want the page of b alone", pages, err)
	}
}

// Guards against a promise that a batch does not run, or that its end does not
// hold, when the store carried the write out, its answer was lost, and the
// store then refuses to be read.
func TestLostAnswerThenRefusedRead(t *testing.T) {
	recordStore := ledger.New().Store()
	create := recordStore.Create
	recordStore.Create = func(ctx context.Context, r records.Record) (records.Record, error) {
		_, err := create(ctx, r)
		return r, errors.Join(records.ErrUnsure, err)
	}
	recordStore.Get = func(context.Context, string, string) (records.Record, error) {
		return records.Record{}, records.ErrRefused
	}
	s := NewShelf(recordStore, 1<<20)
	for what, err := range map[string]error{
		"accept": s.Accept(context.Background(), &Batch{ID: "b", Account: "acme"}),
		"end":    s.End(context.Background(), "b"),
	} {
		if !errors.Is(err, records.ErrUnsure) || errors.Is(err, records.ErrRefused) {
			t.Errorf("%s: error %v, want one that admits the write", what, err)
		}
	}
}
