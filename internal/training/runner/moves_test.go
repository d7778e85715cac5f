package runner

import (
	"errors"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
)

// moveWorld runs the item "a" of a batch on the first engine and "b" on the second one.
// Each engine has room for more.
type moveWorld struct {
	*stepWorld
	job    *job
	slots  map[string]*replica.Slot
	causes map[string]error // why runs were cancelled, by item
}

func newMoveWorld(t *testing.T, estimates map[string]int, wanted int) *moveWorld {
	t.Helper()
	w := &moveWorld{stepWorld: newStepWorld(t, 4, 4), slots: map[string]*replica.Slot{}, causes: map[string]error{}}
	w.job = w.submit(t, "b1", wanted, estimates)
	for i, id := range []string{"a", "b"} {
		tk := w.job.byID[id]
		slot, found := w.seams.Fleet.Pick(replica.Requirements{Service: "llm", Preferred: endpoints[i]})
		if !found || slot.Entry.ID != endpoints[i] {
			t.Fatal("no slot")
		}
		w.slots[id] = slot
		begin(w.Runner, tk, func(cause error) {
			if w.causes[id] == nil {
				w.causes[id] = cause
			}
		})
		tk.endpoint = slot.Entry.ID
	}
	return w
}

// play lets time pass. Each named item has an event every eventTime of its engine.
func (w *moveWorld) play(total time.Duration, eventTimes map[string]time.Duration) {
	for passed := time.Duration(0); passed < total; passed += 50 * time.Millisecond {
		w.driver.Advance(50 * time.Millisecond)
		for id, eventTime := range eventTimes {
			tk := w.job.byID[id]
			tk.noteActivity(w.timers, 0)
			tk.lastEvent.Store(w.timers.Now().UnixNano())
			w.slots[id].RecordEventTime(eventTime)
		}
		if passed%tickInterval == 0 {
			w.checkTasks()
		}
	}
}

const usual, slow = 50 * time.Millisecond, 175 * time.Millisecond

// Guards against a needed text that waits for the stall timeout on a silent engine, and
// against a move from an engine that pauses to change its weights.
func TestNeededTextLeavesASilentEngine(t *testing.T) {
	both := map[string]time.Duration{"a": usual, "b": usual}
	for name, c := range map[string]struct {
		estimate int
		loading  bool
		others   map[string]time.Duration
		want     error
	}{
		"no slack":       {120, false, map[string]time.Duration{"b": usual}, errSilentEngine},
		"slack":          {20, false, map[string]time.Duration{"b": usual}, nil},
		"loading":        {120, true, map[string]time.Duration{"b": usual}, nil},
		"all are silent": {120, false, nil, nil},
	} {
		w := newMoveWorld(t, map[string]int{"a": c.estimate, "b": 20}, 0)
		w.play(200*time.Millisecond, both)
		if c.loading {
			w.seams.Fleet.SetLoading("e1", "m")
		}
		w.play(time.Second, c.others)
		if !errors.Is(w.causes["a"], c.want) || w.causes["b"] != nil {
			t.Errorf("%s: cancelled with %v and %v, want %v for the silent one", name, w.causes["a"], w.causes["b"], c.want)
		}
	}
}

// Guards against moves that no step needs, each of which costs a prefill, and against a
// needed long text that stays on a slow engine.
func TestOnlyUrgentTextsLeaveASlowEngine(t *testing.T) {
	for name, c := range map[string]struct {
		estimate, wanted int
		want             error
	}{
		"no slack":   {120, 0, errFasterEngine},
		"slack":      {20, 0, nil},
		"not needed": {120, 1, nil},
	} {
		w := newMoveWorld(t, map[string]int{"a": c.estimate, "b": 10}, c.wanted)
		w.play(time.Second, map[string]time.Duration{"a": slow, "b": usual})
		if !errors.Is(w.causes["a"], c.want) || w.causes["b"] != nil {
			t.Errorf("%s: cancelled with %v and %v, want %v for the slow one", name, w.causes["a"], w.causes["b"], c.want)
		}
	}
}

// Guards against moves of more texts than other engines have room for: they would go
// back to the engine that they left.
func TestMovesAreBoundedByFreeSlots(t *testing.T) {
	w := newMoveWorld(t, map[string]int{"a": 120, "b": 110}, 0)
	for range 5 {
		if _, found := w.seams.Fleet.Pick(replica.Requirements{Service: "llm", Preferred: "e1"}); !found {
			t.Fatal("no slot")
		}
	}
	tk := w.job.byID["b"]
	tk.endpoint = "e1" // both on the slow engine, and one slot is free
	w.slots["b"].RecordEventTime(usual)
	w.play(450*time.Millisecond, map[string]time.Duration{"a": slow})
	w.moveRuns(w.timers.Now())
	if !errors.Is(w.causes["a"], errFasterEngine) || w.causes["b"] != nil {
		t.Errorf("cancelled with %v and %v, want only the text with the least slack moved", w.causes["a"], w.causes["b"])
	}
}

// BenchmarkMoves decides about the moves of 360 running items, with a due time and with
// the former rules, which hold for batches without one.
func BenchmarkMoves(b *testing.B) {
	for name, due := range map[string]time.Duration{"due": 7500 * time.Millisecond, "no due time": 0} {
		b.Run(name, func(b *testing.B) {
			w := newLoadedWorld(b, 2, 180)
			n := 0
			for _, j := range w.jobs {
				j.schedule.Due = due
				for _, tk := range j.tasks {
					begin(w.Runner, tk, func(error) {})
					slot, _ := w.seams.Fleet.Pick(replica.Requirements{Service: "llm", Preferred: tk.endpoint})
					tk.endpoint = slot.Entry.ID
					if n++; n%4 == 0 {
						slot.RecordEventTime(usual)
					}
				}
			}
			w.driver.Advance(time.Second)
			w.order = nil
			w.refreshOrder()
			for b.Loop() {
				w.moveRuns(w.timers.Now())
			}
		})
	}
}
