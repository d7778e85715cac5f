package batch

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
)

func newBatch(account string) *Batch {
	return &Batch{ID: "b1", Account: account, Items: []Item{{ID: "i1"}, {ID: "i2"}, {ID: "i3"}}}
}

// Guards against a batch that is accepted twice when an answer of the store is
// lost, and against a refusal of a batch that was stored.
func TestAccept(t *testing.T) {
	errOther := errors.New("a batch of another account")
	cases := []struct {
		name   string
		fault  ledger.Fault
		before *Batch
		want   error
		stored bool
	}{
		{"new", ledger.None, nil, nil, true},
		{"again", ledger.None, newBatch("acme"), nil, true},
		{"of another account", ledger.None, newBatch("other"), errOther, true},
		{"of no account", ledger.None, newBatch(""), errOther, true},
		{"answer lost", ledger.LoseResponse, nil, nil, true},
		{"swallowed", ledger.DropWrite, nil, records.ErrUnknownOutcome, false},
		{"refused", ledger.Refuse, nil, records.ErrRefused, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := ledger.New()
			store := NewStore(l.Store(), 1<<20)
			if c.before != nil {
				if err := store.Accept(context.Background(), c.before); err != nil {
					t.Fatal(err)
				}
			}
			l.SetFault(c.fault)
			err := store.Accept(context.Background(), newBatch("acme"))
			var other *OtherAccountError
			if errors.As(err, &other) {
				err = errOther
				if other.Stored.Account != c.before.Account {
					t.Errorf("the error has a batch of %q, want %q", other.Stored.Account, c.before.Account)
				}
			}
			if !errors.Is(err, c.want) || (c.want == nil && err != nil) {
				t.Errorf("error %v, want %v", err, c.want)
			}
			l.SetFault(ledger.None)
			if _, err := store.ReadHead(context.Background(), "b1"); (err == nil) != c.stored {
				t.Errorf("stored %v, want %v", err == nil, c.stored)
			}
		})
	}
}

// Guards against a batch that its own account cannot read, and against one that another
// account can.
func TestOpenTo(t *testing.T) {
	cases := []struct {
		owner, caller string
		want          bool
	}{
		{"acme", "acme", true},
		{"acme", "blue", false},
		{"acme", "", false},
		{"", "acme", true},
		{"", "", true},
	}
	for _, c := range cases {
		if got := newBatch(c.owner).OpenTo(c.caller); got != c.want {
			t.Errorf("batch of %q, caller %q: open %v, want %v", c.owner, c.caller, got, c.want)
		}
	}
}

// Guards against an error when the end marker of a batch is written again.
func TestEndTwice(t *testing.T) {
	store := NewStore(ledger.New().Store(), 1<<20)
	for range 2 {
		if err := store.End(context.Background(), "b1"); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a second page under the same number, which would change the
// positions of results that callers have read.
func TestPageIsWrittenOnce(t *testing.T) {
	store := NewStore(ledger.New().Store(), 1<<20)
	first := Page{Results: []Result{{ID: "i1", Output: "x"}}}
	if err := store.Append(context.Background(), "b1", 0, first); err != nil {
		t.Fatal(err)
	}
	other := Page{Results: []Result{{ID: "i2"}}}
	if err := store.Append(context.Background(), "b1", 0, other); !errors.Is(err, records.ErrConflict) {
		t.Fatalf("error %v, want records.ErrConflict", err)
	}
	page, err := store.Page(context.Background(), "b1", 0)
	if err != nil || page.Results[0].ID != "i1" {
		t.Errorf("page %+v, error %v; want the first page", page, err)
	}
}

func noWorker(context.Context, string, int, time.Duration) Update { return Update{} }

// newReader returns a reader whose workers know no batch.
func newReader(store *Store, follow FollowFunc) *Reader {
	return NewReader(ReaderSeams{Store: store, Find: notFound, Follow: follow}, clock.NewSystem(), logs.Discard())
}

func notFound(context.Context, string) (*Batch, bool) { return nil, false }

// Guards against a position that shows different results depending on whether
// the page came from the worker or from the store.
func TestReaderPositions(t *testing.T) {
	ctx := context.Background()
	store, pages := newStoredBatch(t, ledger.New())
	worker := func(_ context.Context, _ string, known int, _ time.Duration) Update {
		return Update{Active: true, Pages: pages[known:]}
	}
	for name, follow := range map[string]FollowFunc{"store": noWorker, "worker": worker} {
		t.Run(name, func(t *testing.T) {
			reader := newReader(store, follow)
			for after, want := range []string{"i2", "i1", "i3"} {
				results, _, err := reader.Results(ctx, "b1", after, 0)
				if err != nil || len(results) == 0 || results[0].ID != want {
					t.Errorf("position %d: results %+v, error %v; want %s first", after, results, err, want)
				}
			}
			if results, _, err := reader.Results(ctx, "b1", 3, 0); err != nil || len(results) != 0 {
				t.Errorf("past the end: results %+v, error %v; want neither", results, err)
			}
		})
	}
}

// Guards against a reader that reports a missing batch or an empty list of
// results when the store cannot be read. It must return an error instead.
func TestReaderReportsUnreadableStore(t *testing.T) {
	l := ledger.New()
	store := NewStore(l.Store(), 1<<20)
	ctx := context.Background()
	if err := store.Accept(ctx, newBatch("acme")); err != nil {
		t.Fatal(err)
	}
	known := newReader(store, noWorker)
	if _, err := known.Batch(ctx, "b1"); err != nil {
		t.Fatal(err)
	}
	if _, err := known.Batch(ctx, "b2"); !errors.Is(err, records.ErrMissing) {
		t.Errorf("error %v, want records.ErrMissing", err)
	}
	l.SetFault(ledger.Refuse)
	if _, err := newReader(store, noWorker).Batch(ctx, "b1"); errors.Is(err, records.ErrMissing) || err == nil {
		t.Errorf("error %v for a batch that cannot be read, want one other than records.ErrMissing", err)
	}
	if _, _, err := known.Results(ctx, "b1", 0, 0); err == nil {
		t.Error("no error though the store cannot be read")
	}
}

// Guards against a batch that is larger than one record and is read without the
// items of its parts, or is accepted though the write of a part failed. The
// record of the batch is written after the parts.
func TestLargeBatch(t *testing.T) {
	large := &Batch{ID: "b1", Account: "acme"}
	for i := range 50 {
		large.Items = append(large.Items, Item{ID: fmt.Sprint(i), Body: make([]byte, 300)})
	}
	const valueBytes = 4096
	l := ledger.New()
	store := NewStore(l.Store(), valueBytes)
	ctx := context.Background()
	l.SetFault(ledger.DropWrite)
	if err := store.Accept(ctx, large); !errors.Is(err, records.ErrRefused) {
		t.Errorf("error %v for a lost part, want records.ErrRefused", err)
	}
	if _, err := store.ReadHead(ctx, "b1"); !errors.Is(err, records.ErrMissing) {
		t.Errorf("error %v after a lost part, want records.ErrMissing", err)
	}
	if err := store.Accept(ctx, large); err != nil {
		t.Fatal(err)
	}
	for _, limit := range []int64{1, 1000, 1 << 20} {
		items := readInPieces(t, store, "b1", limit)
		if !reflect.DeepEqual(items, large.Items) {
			t.Fatalf("read %d items in pieces of %d bytes, want those that were accepted", len(items), limit)
		}
	}
	page, err := l.Store().List(ctx, KindParts, "")
	if err != nil || len(page.Records) < 3 {
		t.Errorf("%d parts, error %v; want at least 3 parts", len(page.Records), err)
	}
	for _, r := range page.Records {
		if len(r.Body) > valueBytes {
			t.Errorf("part %s has %d bytes, want at most %d", r.Name, len(r.Body), valueBytes)
		}
	}
}

// readInPieces returns all items of a batch, read in pieces of at most limit bytes.
func readInPieces(t *testing.T, store *Store, id string, limit int64) []Item {
	t.Helper()
	b, err := store.Read(t.Context(), id, limit)
	if err != nil {
		t.Fatal(err)
	}
	var all []Item
	for at := (Cursor{}); !b.AtEnd(at); {
		items, next, err := store.ReadItems(t.Context(), b, at, limit, (*Item).MemorySize)
		if err != nil {
			t.Fatal(err)
		}
		var size int64
		for i := range items {
			size += items[i].MemorySize()
		}
		if size > limit && len(items) > 1 {
			t.Fatalf("a piece of %d items takes %d bytes, want at most %d", len(items), size, limit)
		}
		all, at = append(all, items...), next
	}
	if len(all) != b.Count {
		t.Errorf("%d items, want %d", len(all), b.Count)
	}
	return all
}

// Guards against pages of another batch whose id begins with this id and a dot:
// their names have the same prefix in the store.
func TestPagesOfSimilarIDs(t *testing.T) {
	s := NewStore(ledger.New().Store(), 1<<20)
	ctx := context.Background()
	for _, id := range []string{"b", "b.1"} {
		if err := s.Append(ctx, id, 0, Page{Results: []Result{{ID: "item of " + id}}}); err != nil {
			t.Fatal(err)
		}
	}
	pages, err := s.Pages(ctx, "b")
	if err != nil || len(pages) != 1 || pages[0].Results[0].ID != "item of b" {
		t.Errorf("pages %+v, error %v; want only the page of b", pages, err)
	}
}

// Guards against a refusal of a batch or of its end that was in fact stored: the
// store carries out the write, its answer is lost, and the store then refuses
// the read that would show it.
func TestLostAnswerThenRefusedRead(t *testing.T) {
	recordStore := ledger.New().Store()
	create := recordStore.Create
	recordStore.Create = func(ctx context.Context, r records.Record) (records.Record, error) {
		_, err := create(ctx, r)
		return r, errors.Join(records.ErrUnknownOutcome, err)
	}
	recordStore.Get = func(context.Context, string, string) (records.Record, error) {
		return records.Record{}, records.ErrRefused
	}
	s := NewStore(recordStore, 1<<20)
	for what, err := range map[string]error{
		"accept": s.Accept(context.Background(), &Batch{ID: "b", Account: "acme"}),
		"end":    s.End(context.Background(), "b"),
	} {
		if !errors.Is(err, records.ErrUnknownOutcome) || errors.Is(err, records.ErrRefused) {
			t.Errorf("%s: error %v, want records.ErrUnknownOutcome without records.ErrRefused", what, err)
		}
	}
}

// Guards against accepted items that can never be sent as requests: a line feed in a path
// held the slots of all engines (second review), and a header field or an id that differs
// from what was submitted makes each answer one to another request.
func TestItemsThatCannotBeSent(t *testing.T) {
	for name, item := range map[string]Item{
		"line feed in the path":    {ID: "i", Path: "/a\n"},
		"space in the path":        {ID: "i", Path: "/a b"},
		"control character in id":  {ID: "i\x00", Path: "/a"},
		"name of a header field":   {ID: "i", Path: "/a", Header: map[string]string{"a b": "c"}},
		"value of a header field":  {ID: "i", Path: "/a", Header: map[string]string{"a": "b\r\nc: d"}},
		"path of the scoring call": {ID: "i", Path: "/a", Reward: &Reward{ID: "r", Host: "h", Path: "/\x7f"}},
		"host of the scoring call": {ID: "i", Path: "/a", Reward: &Reward{ID: "r", Host: "h\n", Path: "/"}},
	} {
		if err := item.Check(); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	sound := Item{ID: "i-1", Path: "/ä/1?x=%20", Header: map[string]string{"Model": "m 1", "Token-Count": "1,2"}, Reward: &Reward{ID: "r", Host: "h:80", Path: "/s"}}
	if err := sound.Check(); err != nil {
		t.Errorf("a sound item: %v", err)
	}
}

// Guards against a batch that is accepted with items of another submission: its id has a
// part that was left when that submission was refused.
func TestPartsOfAnotherSubmission(t *testing.T) {
	large := func(first string) *Batch {
		b := &Batch{ID: "b1", Account: "acme"}
		for i := range 50 {
			b.Items = append(b.Items, Item{ID: fmt.Sprint(first, i), Body: make([]byte, 300)})
		}
		return b
	}
	l := ledger.New()
	recordStore := l.Store()
	create, writes := recordStore.Create, 0
	recordStore.Create = func(ctx context.Context, r records.Record) (records.Record, error) {
		if writes++; writes == 3 {
			return r, records.ErrRefused
		}
		return create(ctx, r)
	}
	store := NewStore(recordStore, 4096)
	if err := store.Accept(t.Context(), large("a")); !errors.Is(err, records.ErrRefused) {
		t.Fatalf("error %v, want records.ErrRefused", err)
	}
	if err := store.Accept(t.Context(), large("b")); !errors.Is(err, records.ErrRefused) {
		t.Errorf("error %v for other items, want records.ErrRefused", err)
	}
	if err := store.Accept(t.Context(), large("a")); err != nil {
		t.Fatal(err)
	}
	if items := readInPieces(t, store, "b1", 1000); !reflect.DeepEqual(items, large("a").Items) {
		t.Errorf("%d items are stored, want those that were accepted", len(items))
	}
}
