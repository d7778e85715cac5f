package config

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
	"github.com/wigeonpin/wigeonpin/internal/peer/objects"
)

func (f *testFleet) head() head {
	var h head
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	if err := json.Unmarshal(f.platform.objects[objectKind+"/"+headName].Value, &h); err != nil {
		f.t.Fatal(err)
	}
	return h
}

// Guards against lost updates: many operators at several instances change the
// same two rows, each from the revision that it has seen, while answers of the
// platform are lost. Every accepted edit must build on the one before.
func TestRacingEditsBuildOnEachOther(t *testing.T) {
	f := newFleet(t)
	for i := range 4 {
		f.start(fmt.Sprintf("i%d", i), fmt.Sprintf("zone-%d", i%2))
	}
	for range 3 {
		f.step()
	}
	f.platform.loseAnswers = 5
	const operators, rounds = 8, 5
	f.runWithClock(func() {
		var group sync.WaitGroup
		for o := range operators {
			group.Go(func() { f.increment(fmt.Sprintf("o%d", o), f.nodes[f.order[o%4]], fmt.Sprintf("row-%d", o%2), rounds) })
		}
		group.Wait()
	})
	f.step()
	for _, n := range f.nodes {
		for r := range 2 {
			a, _ := n.Table().Account(fmt.Sprintf("row-%d", r))
			if want := operators * rounds / 2; a.MaxWaiting != want {
				t.Errorf("%s counts %d accepted edits of row %d, want %d", n.id, a.MaxWaiting, r, want)
			}
		}
	}
	if h := f.head(); h.Sequence != operators*rounds {
		t.Errorf("head has sequence %d, want %d", h.Sequence, operators*rounds)
	}
}

// increment adds 1 to a row's queue limit a number of times, starting again
// from the winning row after each lost race.
func (f *testFleet) increment(operator string, n *node, name string, rounds int) {
	seen := table.Row{Table: table.Accounts, Name: name}
	for i := 0; i < rounds; {
		var value struct {
			Queue int `json:"queue"`
		}
		if len(seen.Value) > 0 && json.Unmarshal(seen.Value, &value) != nil {
			f.t.Error("row cannot be decoded")
			return
		}
		row := seen
		row.Value = rawJSON(fmt.Sprintf(`{"queue":%d}`, value.Queue+1))
		accepted, err := n.Edit(context.Background(), fmt.Sprintf("%s-%d-%d", operator, i, seen.Revision), row)
		switch {
		case err == nil:
			seen = accepted.Row
			i++
		case code.Is(err, code.EditConflict):
			seen = accepted.Row
		case !code.Is(err, code.EditUncertain) && !code.Is(err, code.PlatformUnavailable):
			f.t.Errorf("%s: %v", operator, err)
			return
		}
	}
}

// Guards against reporting "not run" for an edit that was accepted. It comes about
// when the answer is lost and the edit's id has left the head before the instance
// reads the head again.
func TestEditThatLeftTheHeadIsUncertain(t *testing.T) {
	f := newFleet(t)
	n := f.start("i0", "zone-a")
	f.step()
	f.step()
	f.platform.loseAnswers = 1
	f.platform.onLostAnswer = func() {
		row := table.Row{Table: table.Accounts, Name: "acme", Revision: 500, Value: rawJSON("{}")}
		h, _ := json.Marshal(head{Sequence: 500, Base: 499, Changes: []change{{Sequence: 500, EditID: "other", Row: row}}})
		p, _ := json.Marshal(page{Sequence: 499, Pages: 1})
		f.platform.revision++
		for name, value := range map[string][]byte{headName: h, pageName(499, 0): p} {
			f.platform.objects[objectKind+"/"+name] = objects.Object{Kind: objectKind, Name: name, Revision: f.platform.revision, Value: value}
		}
	}
	f.runWithClock(func() {
		_, err := n.Edit(context.Background(), "e1", table.Row{Table: table.Accounts, Name: "acme", Value: rawJSON("{}")})
		if !code.Is(err, code.EditUncertain) || code.Of(err).Run != code.MaybeRun {
			t.Errorf("the edit ended with %v, want an uncertain outcome", err)
		}
	})
}

// Guards against an edit that is written after its instance has lost contact
// with its zone, which may state meanwhile that it accepts no edits.
func TestContactLostBeforeTheWrite(t *testing.T) {
	f := newFleet(t)
	n := f.start("a1", "a")
	f.start("a2", "a")
	for range 3 {
		f.step()
	}
	f.setCut("a1", "a2", true)
	f.step()
	f.step()
	f.step()
	p := &pendingEdit{id: "e1", row: table.Row{Table: table.Accounts, Name: "acme", Value: rawJSON("{}")}, outcome: make(chan outcome, 1)}
	n.mu.Lock()
	n.pending = append(n.pending, p)
	n.mu.Unlock()
	n.wakeWriter <- struct{}{}
	f.runWithClock(func() {
		if o := <-p.outcome; code.Of(o.err) == nil || code.Of(o.err).Run != code.NotRun {
			t.Errorf("the edit ended with %+v", o)
		}
	})
	if n.Sequence() != 0 {
		t.Error("the edit was written")
	}
}

// Guards against a head that grows without bound, snapshots that are never
// removed, and instances that cannot start from a snapshot of several pages.
func TestCheckpointBoundsTheHead(t *testing.T) {
	f := newFleet(t)
	n := f.start("i0", "zone-a")
	f.step()
	f.step()
	const edits = 2 * checkpointChanges
	pad := strings.Repeat("x", 4000)
	const parallel = 64
	for from := 0; from < edits; from += parallel {
		f.runWithClock(func() {
			var group sync.WaitGroup
			for i := from; i < from+parallel; i++ {
				row := table.Row{Table: table.Routes, Name: fmt.Sprintf("r%d", i), Value: rawJSON(fmt.Sprintf(`{"model":"m","accounts":[%q]}`, pad))}
				group.Go(func() {
					if _, err := n.Edit(context.Background(), fmt.Sprintf("e%d", i), row); err != nil {
						t.Errorf("edit %d: %v", i, err)
					}
				})
			}
			group.Wait()
		})
		f.step()
	}
	f.await("old snapshots are removed", func() bool {
		f.platform.mu.Lock()
		defer f.platform.mu.Unlock()
		first := 0
		for name, o := range f.platform.objects {
			if len(o.Value) > 1<<20 {
				t.Errorf("%s has %d bytes, more than the platform accepts", name, len(o.Value))
			}
			if strings.Count(name, "-") == 1 {
				first++
			}
		}
		return first <= 2
	})
	h := f.head()
	if h.Base < edits-checkpointChanges-maxBatchEdits || len(h.Changes) > checkpointChanges+tailChanges {
		t.Errorf("head has base %d and %d changes after %d edits", h.Base, len(h.Changes), edits)
	}
	f.setCut("zone-a", "zone-b", true) // The late instance can only start from the platform.
	late := f.start("i1", "zone-b")
	f.step()
	f.step()
	if got := len(late.Table().Rows()); got != edits || !late.Ready() {
		t.Errorf("an instance that starts later has %d rows, want %d", got, edits)
	}
}

// Guards against one update of the head for each edit: edits that arrive while
// an update is in progress must go into the next one together.
func TestEditsAreCommittedInGroups(t *testing.T) {
	f := newFleet(t)
	n := f.start("i0", "zone-a")
	f.step()
	f.step()
	before := f.platform.calls
	const edits = 100
	var waiting []*pendingEdit
	n.mu.Lock() // The writer finds all edits at once.
	for i := range edits {
		row := table.Row{Table: table.Accounts, Name: fmt.Sprintf("a%d", i), Value: rawJSON("{}")}
		waiting = append(waiting, &pendingEdit{id: row.Name, row: row, outcome: make(chan outcome, 1)})
	}
	n.pending = append(n.pending, waiting...)
	n.mu.Unlock()
	n.wakeWriter <- struct{}{}
	f.runWithClock(func() {
		for _, p := range waiting {
			if o := <-p.outcome; o.err != nil {
				t.Error(o.err)
			}
		}
	})
	if calls := f.platform.calls - before; calls > 10 {
		t.Errorf("%d edits took %d calls to the platform, want at most 10", edits, calls)
	}
}
