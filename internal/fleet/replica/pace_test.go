package replica

import (
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
)

// newPaceFleet returns a fleet with three engines, and a slot at each of them.
func newPaceFleet(t *testing.T) (*Fleet, *clock.Driver, map[string]*Slot) {
	t.Helper()
	timers, driver := clock.NewDriven(time.Unix(1000, 0))
	f := NewFleet(timers, Options{Overcommit: 1})
	slots := map[string]*Slot{}
	for _, id := range []string{"e1", "e2", "e3"} {
		f.Put(Entry{ID: id, Service: "llm", Slots: 4, Models: map[string]int64{"m": 5}})
		slot, found := f.Pick(Requirements{Service: "llm", Preferred: id})
		if !found || slot.Entry.ID != id {
			t.Fatalf("no slot at %s", id)
		}
		slots[id] = slot
	}
	return f, driver, slots
}

// Guards against one slow engine, or an old measurement, that makes all texts look late.
func TestUsualEventTime(t *testing.T) {
	f, driver, slots := newPaceFleet(t)
	if got := f.UsualEventTime("llm"); got != 0 {
		t.Errorf("%v without a measurement, want 0", got)
	}
	slots["e1"].RecordEventTime(50 * time.Millisecond)
	slots["e2"].RecordEventTime(52 * time.Millisecond)
	slots["e3"].RecordEventTime(175 * time.Millisecond)
	if got := f.UsualEventTime("llm"); got != 52*time.Millisecond {
		t.Errorf("%v, want the median of 52ms", got)
	}
	driver.Advance(eventTimeMaxAge + time.Millisecond)
	if got := f.UsualEventTime("llm"); got != 0 {
		t.Errorf("%v from old measurements, want 0", got)
	}
}

// Guards against slots that count as free although other processes use them.
func TestOccupancy(t *testing.T) {
	f, driver, slots := newPaceFleet(t)
	slots["e1"].Report(Load{Running: 3, Waiting: 9, Slots: 4})
	want := Requirements{Service: "llm", Model: "m", Version: 5}
	if busy, total := f.Occupancy(want); busy != 6 || total != 12 {
		t.Errorf("%d of %d slots busy, want 6 of 12", busy, total)
	}
	driver.Advance(loadMaxAge)
	f.SetLoading("e3", "m")
	if busy, total := f.Occupancy(want); busy != 2 || total != 8 {
		t.Errorf("%d of %d slots busy with an old report and an engine that loads, want 2 of 8", busy, total)
	}
}

// Guards against moves to endpoints that are slow, full or failing, and against an
// engine that counts as silent while it loads weights.
func TestCompare(t *testing.T) {
	const usual = 60 * time.Millisecond
	want := Requirements{Service: "llm", Model: "m", Version: 5}
	f, _, slots := newPaceFleet(t)
	if c := f.Compare("e1", want, usual); c != (Comparison{There: usual}) {
		t.Errorf("%+v without measurements, want the usual time elsewhere", c)
	}
	slots["e1"].RecordEventTime(175 * time.Millisecond)
	slots["e2"].RecordEventTime(50 * time.Millisecond)
	slots["e3"].RecordEventTime(90 * time.Millisecond)
	if c := f.Compare("e1", want, usual); c.Here != 175*time.Millisecond || c.There != 50*time.Millisecond || c.Loading {
		t.Errorf("%+v, want 175ms here and 50ms there", c)
	}
	slots["e2"].Done(Failed)
	f.SetLoading("e1", "m")
	if c := f.Compare("e1", want, usual); c.There != 90*time.Millisecond || !c.Loading {
		t.Errorf("%+v after a failure, want 90ms there and loading", c)
	}
	f.SetLoading("e3", "m")
	if c := f.Compare("e1", want, usual); c.There != 0 {
		t.Errorf("%+v, want no other endpoint", c)
	}
}
