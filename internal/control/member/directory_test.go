package member

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
)

func instancesIn(zone string, n int) []Instance {
	var out []Instance
	for i := range n {
		id := fmt.Sprintf("%s%d", zone, i)
		out = append(out, Instance{ID: id, Zone: zone, Peer: id, State: StateLive})
	}
	return out
}

func newDirectory(self string, timers *clock.Service, seams Seams) *Directory {
	settings := setting.Defaults()
	settings.ID, settings.Zone = self, self[:1]
	return NewDirectory(settings, timers, seams, logs.Discard())
}

// Guards against home instances that are down, against an instance that counts
// as down after a single lost call, and against one that answers again but is
// not taken back into the view.
func TestFailureDetection(t *testing.T) {
	timers, driver := clock.NewDriven(time.Unix(0, 0))
	answers := false
	d := newDirectory("a0", timers, Seams{
		Fetch:   func(context.Context) ([]Instance, error) { return nil, errors.New("outage") },
		Ping:    func(context.Context, Instance) error { return map[bool]error{false: errors.New("silent")}[answers] },
		Refused: func(error) bool { return false },
	})
	list := append(instancesIn("a", 4), Instance{ID: "a9", Zone: "a", State: StateLeaving})
	driver.Advance(time.Second)
	d.UpdateList(list, timers.Now())
	live := func(id string) bool { _, ok := d.View().Instance(id); return ok }
	if !live("a1") || live("a9") {
		t.Fatalf("view is %v, want the live instances only", d.View().IDs())
	}
	changed := d.Changed()
	d.Report("a1", false, false)
	if !live("a1") {
		t.Error("an instance counts as down after one lost call")
	}
	d.Report("a2", false, true)
	if live("a2") {
		t.Error("an instance that refuses connections is still in the view")
	}
	select {
	case <-changed:
	default:
		t.Error("the channel of Changed is not closed although the view changed")
	}
	driver.Advance(2 * time.Second)
	d.Step(t.Context(), 1)
	if live("a1") || !live("a3") {
		t.Errorf("view is %v after 2 s of silence of a1", d.View().IDs())
	}
	answers = true
	d.Step(t.Context(), 2)
	if !live("a1") || !live("a2") {
		t.Errorf("view is %v, want all live instances since all answer again", d.View().IDs())
	}
	d.UpdateList(instancesIn("a", 2), timers.Now().Add(-time.Hour))
	if !live("a3") {
		t.Error("an older list replaced a later one")
	}
	d.UpdateList(nil, timers.Now().Add(time.Second))
	if !live("a3") {
		t.Error("an empty list replaced the instance list")
	}
}

// Guards against instances that cannot be reached along the control trees, and
// against instances with more neighbours than the design allows, when the first
// instances of a tree are down.
func TestTreeConnectsAll(t *testing.T) {
	timers, _ := clock.NewDriven(time.Unix(100, 0))
	var list []Instance
	for _, zone := range []string{"a", "b", "c"} {
		list = append(list, instancesIn(zone, 30)...)
	}
	for down := range 5 {
		downIDs := Rank("a", NewView(list).Zone("a"))[:down]
		nodes := map[string]*Directory{}
		for _, i := range list {
			d := newDirectory(i.ID, timers, Seams{})
			d.UpdateList(list, timers.Now())
			for _, id := range downIDs {
				d.Report(id, false, true)
			}
			nodes[i.ID] = d
		}
		reached := map[string]bool{}
		todo := []string{"b0"}
		for len(todo) > 0 {
			id := todo[0]
			todo = todo[1:]
			if reached[id] || slices.Contains(downIDs, id) {
				continue
			}
			reached[id] = true
			n := nodes[id].Neighbours()
			if len(n) > 1+TreeFanout+2 {
				t.Errorf("%s has %d neighbours", id, len(n))
			}
			for _, i := range n {
				todo = append(todo, i.ID)
			}
		}
		if len(reached) != len(list)-down {
			t.Errorf("with %v down, pushes reach %d instances, want %d", downIDs, len(reached), len(list)-down)
		}
	}
}
