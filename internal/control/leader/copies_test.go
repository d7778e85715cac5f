package leader

import (
	"context"
	"errors"
	"testing"

	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

// repeatsAnswer answers a write with the revision of the write before it.
func repeatsAnswer(_ context.Context, r records.Record) (records.Record, error) { return r, nil }

// Guards against a renewal that counts as done since a second copy of the answer to the
// renewal before came late: the holder acts beyond the term that others see.
func TestLateCopyDoesNotConfirmARenewal(t *testing.T) {
	f := newFixture()
	a := f.candidate("a")
	tenure := f.campaign(t, a)
	end := tenure.until.Load()
	a.store.Put = repeatsAnswer
	f.now += term / 3
	if !a.renew(context.Background(), tenure, leaseRecord{Holder: "a", Epoch: 1, Count: 1}) {
		t.Error("the tenure ended, although the record names its holder")
	}
	if got := tenure.until.Load(); got != end {
		t.Errorf("the tenure was extended by %d ns by a renewal that is not stored", got-end)
	}
}

// Guards against a role that is taken since a second copy of the answer to an earlier
// write came late: two processes would hold it.
func TestLateCopyDoesNotConfirmATakeover(t *testing.T) {
	f := newFixture()
	f.campaign(t, f.candidate("a"))
	b := f.candidate("b")
	b.store.Put = repeatsAnswer
	if _, err := b.campaign(context.Background()); err != nil {
		t.Fatal(err)
	}
	f.now += term + margin
	if tenure, err := b.campaign(context.Background()); tenure != nil || !errors.Is(err, records.ErrUnknownOutcome) {
		t.Errorf("tenure %+v, error %v; want no tenure and an unknown outcome", tenure, err)
	}
}
