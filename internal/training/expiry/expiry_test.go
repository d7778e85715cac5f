package expiry

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

const kept = 2 * time.Minute

// fixture is a store with two batches whose ids share a beginning.
type fixture struct {
	t      *testing.T
	store  records.Store
	driver *clock.Driver
	expiry *Expiry
	held   bool
}

func newFixture(t *testing.T) *fixture {
	timers, driver := clock.NewDriven(time.Unix(1000, 0))
	f := &fixture{t: t, store: ledger.New().Store(), driver: driver, held: true}
	shelf := batch.NewShelf(f.store, 200) // small, so that each batch has further items
	f.expiry = New(shelf, kept, timers, logs.Discard())
	ctx := context.Background()
	for _, id := range []string{"b", "b.1"} {
		var items []batch.Item
		for _, item := range []string{"i1", "i2", "i3"} {
			items = append(items, batch.Item{ID: id + item, Path: "/a/long/enough/path/" + item, Body: make([]byte, 100)})
		}
		for _, err := range []error{
			shelf.Accept(ctx, &batch.Batch{ID: id, Account: "acme", Time: timers.Now(), Items: items}),
			shelf.Append(ctx, id, 0, batch.Page{Results: []batch.Result{{ID: id + "i1"}}}),
		} {
			if err != nil {
				t.Fatal(err)
			}
		}
		f.expiry.Accepted(id, timers.Now())
	}
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() { defer close(ended); f.expiry.Run(ctx, func() bool { return f.held }) }()
	t.Cleanup(func() { cancel(); <-ended })
	return f
}

// names returns the records that are there, by kind and name.
func (f *fixture) names() []string {
	var all []string
	for _, kind := range []string{batch.KindBatches, batch.KindEndings, batch.KindPages, batch.KindParts} {
		page, err := f.store.List(context.Background(), kind, "")
		if err != nil {
			f.t.Fatal(err)
		}
		for _, r := range page.Records {
			all = append(all, kind+"/"+r.Name)
		}
	}
	return all
}

// pass lets time go by in steps until the records are as wanted, or for long
// enough that they could have become so.
func (f *fixture) pass(total time.Duration, want []string) {
	f.t.Helper()
	var got []string
	for passed := time.Duration(0); passed < total; passed += period {
		for f.driver.Waiting() == 0 {
			time.Sleep(time.Millisecond)
		}
		f.driver.Advance(period)
	}
	for f.driver.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	if got = f.names(); !slices.Equal(got, want) {
		f.t.Fatalf("after %v there are %v, want %v", total, got, want)
	}
}

func (f *fixture) end(id string) {
	if err := batch.NewShelf(f.store, 200).End(context.Background(), id); err != nil {
		f.t.Fatal(err)
	}
	f.expiry.Ended(id)
}

// Guards against records that stay for ever, results that go while callers may
// read them, open batches that go, and records of another batch.
func TestRecordsGoInTime(t *testing.T) {
	f := newFixture(t)
	all := f.names()
	f.pass(3*(kept+Margin), all) // both are open
	f.end("b")
	other := []string{"batches/b.1", "endings/b", "pages/b.1.000000", "parts/b.1.000000", "parts/b.1.000001"}
	f.pass(2*period, other)
	f.expiry.Removed("b") // as the watch tells
	f.pass(kept+Margin-2*period, other)
	f.pass(4*period, slices.DeleteFunc(slices.Clone(other), func(name string) bool { return name == "endings/b" }))
}

// Guards against results that go too early, and removal without the role.
func TestRecordsStay(t *testing.T) {
	f := newFixture(t)
	f.end("b")
	all := f.names()
	f.pass(kept+Margin-2*period, all)
	f.held = false
	f.pass(10*period, all)
}

// Guards against endings that stay when a worker starts after the batch went.
func TestEndingWithoutBatch(t *testing.T) {
	f := newFixture(t)
	f.end("old")
	with := f.names()
	f.pass(kept+Margin-2*period, with)
	f.pass(4*period, slices.DeleteFunc(slices.Clone(with), func(name string) bool { return name == "endings/old" }))
}

// Guards against pages and items that stay for good when the process that
// removes a batch ends in the midst of it.
func TestRemovalCutShort(t *testing.T) {
	f := newFixture(t)
	f.end("b")
	if err := f.store.Delete(context.Background(), batch.KindBatches, "b"); err != nil {
		t.Fatal(err)
	}
	f.expiry.Removed("b") // as the watch tells the next holder
	f.pass(kept+Margin+4*period, []string{"batches/b.1", "pages/b.1.000000", "parts/b.1.000000", "parts/b.1.000001"})
}
