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

const retention = 2 * time.Minute

// fixture is a store with two batches, the id of one being a prefix of the
// other's.
type fixture struct {
	t      *testing.T
	store  records.Store
	timers *clock.Service
	driver *clock.Driver
	expiry *Expiry
	held   bool
}

func newFixture(t *testing.T) *fixture {
	timers, driver := clock.NewDriven(time.Unix(1000, 0))
	f := &fixture{t: t, store: ledger.New().Store(), timers: timers, driver: driver, held: true}
	store := batch.NewStore(f.store, 200) // small records, so that each batch has parts
	f.expiry = New(store, retention, timers, logs.Discard())
	ctx := context.Background()
	for _, id := range []string{"b", "b.1"} {
		var items []batch.Item
		for _, item := range []string{"i1", "i2", "i3"} {
			items = append(items, batch.Item{ID: id + item, Path: "/a/long/enough/path/" + item, Body: make([]byte, 100)})
		}
		for _, err := range []error{
			store.Accept(ctx, &batch.Batch{ID: id, Account: "acme", Time: timers.Now(), Items: items}),
			store.Append(ctx, id, 0, batch.Page{Results: []batch.Result{{ID: id + "i1"}}}),
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

// recordNames returns the records in the store as KIND/NAME.
func (f *fixture) recordNames() []string {
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

// advance moves the clock by the total in steps of a sweep, then compares the
// records in the store with the wanted ones.
func (f *fixture) advance(total time.Duration, want []string) {
	f.t.Helper()
	var got []string
	for passed := time.Duration(0); passed < total; passed += sweepInterval {
		for f.driver.Waiting() == 0 {
			time.Sleep(time.Millisecond)
		}
		f.driver.Advance(sweepInterval)
	}
	for f.driver.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	if got = f.recordNames(); !slices.Equal(got, want) {
		f.t.Fatalf("records in the store after %v: %v, want %v", total, got, want)
	}
}

func (f *fixture) end(id string) {
	if err := batch.NewStore(f.store, 200).End(context.Background(), id); err != nil {
		f.t.Fatal(err)
	}
	f.expiry.Ended(id)
}

// Guards against four faults: records that are never removed, results that are
// removed while callers may still read them, the removal of a batch that has
// not ended, and the removal of another batch's records.
func TestRecordsAreRemovedAfterRetention(t *testing.T) {
	f := newFixture(t)
	all := f.recordNames()
	f.advance(3*(retention+Margin), all) // neither batch has ended
	f.end("b")
	other := []string{"batches/b.1", "endings/b", "pages/b.1.000000", "parts/b.1.000000", "parts/b.1.000001"}
	f.advance(2*sweepInterval, other)
	f.expiry.Removed("b") // reported by the watch on the store
	f.advance(retention+Margin-2*sweepInterval, other)
	f.advance(4*sweepInterval, slices.DeleteFunc(slices.Clone(other), func(name string) bool { return name == "endings/b" }))
}

// Guards against results that are removed before their retention time is over,
// and against removal by a process that does not hold the role.
func TestRecordsAreKeptDuringRetention(t *testing.T) {
	f := newFixture(t)
	f.end("b")
	all := f.recordNames()
	f.advance(retention+Margin-2*sweepInterval, all)
	f.held = false
	f.advance(10*sweepInterval, all)
}

// Guards against end markers that are never removed when a worker starts after
// the batch itself was removed.
func TestEndingWithoutBatch(t *testing.T) {
	f := newFixture(t)
	f.end("old")
	before := f.recordNames()
	f.advance(retention+Margin-2*sweepInterval, before)
	f.advance(4*sweepInterval, slices.DeleteFunc(slices.Clone(before), func(name string) bool { return name == "endings/old" }))
}

// Guards against pages and parts that are never removed when the process that
// removes a batch ends after it has deleted the record of the batch.
func TestInterruptedRemoval(t *testing.T) {
	f := newFixture(t)
	f.end("b")
	if err := f.store.Delete(context.Background(), batch.KindBatches, "b"); err != nil {
		t.Fatal(err)
	}
	f.expiry.Removed("b") // reported by the watch to the next holder of the role
	f.advance(retention+Margin+4*sweepInterval, []string{"batches/b.1", "pages/b.1.000000", "parts/b.1.000000", "parts/b.1.000001"})
}

// Guards against batches that are removed minutes after their acceptance (LOST): the
// time of day of the process that removes them, or of the one that accepted them, was
// wrong for a while.
func TestWrongTimeOfDayRemovesNothing(t *testing.T) {
	const step = 15 * time.Minute
	t.Run("of this process", func(t *testing.T) {
		f := newFixture(t)
		f.end("b")
		all := f.recordNames()
		f.driver.SetBy(step)
		f.advance(2*sweepInterval, all)
		f.driver.SetBy(-step)
		f.advance(2*sweepInterval, all)
	})
	t.Run("of the writer", func(t *testing.T) {
		f := newFixture(t)
		f.end("b")
		f.expiry.Removed("b")
		f.expiry.Accepted("b", f.timers.Now().Add(-step))
		f.advance(2*sweepInterval, f.recordNames())
	})
}

// Guards against records that are never removed since the time of day of the process
// that accepted them was ahead, or since the watch reports them again and again.
func TestWrongTimeOfDayKeepsNothingForever(t *testing.T) {
	f := newFixture(t)
	at := f.timers.Now().Add(24 * time.Hour)
	f.expiry.Removed("b")
	f.expiry.Accepted("b", at)
	f.end("b")
	f.advance(retention+Margin-2*sweepInterval, f.recordNames())
	f.expiry.Accepted("b", at)
	f.advance(4*sweepInterval, []string{"batches/b.1", "endings/b", "pages/b.1.000000", "parts/b.1.000000", "parts/b.1.000001"})
}

// Guards against a batch that is removed before its retention time is over since an
// earlier batch had the same id.
func TestNewBatchWithTheSameIDIsKept(t *testing.T) {
	f := newFixture(t)
	f.end("b")
	all := f.recordNames()
	f.advance(retention+Margin-2*sweepInterval, all)
	f.expiry.Accepted("b", f.timers.Now())
	f.advance(10*sweepInterval, all)
}
