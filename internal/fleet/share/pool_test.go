package share

import (
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
)

// climbed returns a world of three instances and one endpoint whose ramp has
// reached the limit, with no work running.
func climbed(limit int) *world {
	w := newWorld(1, limit)
	for _, id := range []string{"a", "b", "c"} {
		w.join(id)
	}
	for range 60 {
		w.period()
		for _, id := range w.ids() {
			w.load(w.nodes[id], 50)
		}
		for _, id := range w.ids() {
			w.freeAll(w.nodes[id])
		}
	}
	return w
}

// loadAll lets all instances take what they get and returns what runs.
func (w *world) loadAll() int {
	for _, id := range w.ids() {
		w.load(w.nodes[id], 50)
	}
	return w.backs["e-0"].running
}

// Guards against a cold endpoint that gets the combined load of all instances
// at once (invariant 10), and against a ramp that does not end.
func TestColdEndpointUnderFullLoad(t *testing.T) {
	w := newWorld(1, 16)
	for _, id := range []string{"a", "b", "c"} {
		w.join(id)
	}
	highest, doubled := 0, []int{}
	for range 60 {
		w.period()
		if running := w.loadAll(); running > highest {
			highest = running
			doubled = append(doubled, running)
		}
		for _, id := range w.ids() {
			w.freeAll(w.nodes[id])
		}
	}
	if w.exceeded != "" {
		t.Fatal(w.exceeded)
	}
	if highest != 16 || doubled[0] != 1 {
		t.Fatalf("running work rose through %v, want 1 to 16", doubled)
	}
}

// Guards against a warm endpoint that turns cold without notice, as after a
// restart, and keeps its full load; and against the slow answers of work that
// started before, which must not send it back again and again.
func TestWarmEndpointTurnedColdReturnsToTheRamp(t *testing.T) {
	for name, outcome := range map[string]Outcome{
		"slow":  {FirstToken: 2 * time.Second},
		"error": {Failed: true},
	} {
		w := climbed(16)
		// While a slot that rounding left over changes hands, it is unused.
		if running := w.loadAll(); running < 14 {
			t.Fatalf("%s: %d requests run on the warm endpoint, want 14 to 16", name, running)
		}
		epoch := w.epoch()
		for _, id := range w.ids() {
			for len(w.nodes[id].slots) > 1 {
				w.finish(w.nodes[id], outcome)
			}
		}
		// The members report the degradation, then what they still hold of the
		// grants made before, and then get new ones.
		w.period()
		w.period()
		for _, id := range w.ids() {
			w.finish(w.nodes[id], outcome)
		}
		w.period()
		w.period()
		if running := w.loadAll(); running != 1 {
			t.Fatalf("%s: %d requests run on the cold endpoint, want 1", name, running)
		}
		if drops := w.epoch() - epoch; drops != 1 {
			t.Fatalf("%s: the endpoint returned to the ramp %d times, want once", name, drops)
		}
	}
}

func (w *world) epoch() uint32 {
	for _, n := range w.nodes {
		if l, ok := n.pool.ledgers["e-0"]; ok && n.pool.delegations["e-0"].home == n.id {
			return l.ramp.epoch
		}
	}
	return 0
}

// Guards against new work for an endpoint that is leaving, on grants that were
// made while it was live (invariant 15).
func TestLeavingEndpointGetsNothingNew(t *testing.T) {
	w := climbed(16)
	w.backs["e-0"].endpoint.State = roster.StateLeaving
	for _, n := range w.nodes {
		n.current = false
		if n.pool.Free("e-0") != 0 || w.take(n, "e-0", "acme") {
			t.Fatalf("%s starts work on a leaving endpoint", n.id)
		}
	}
}

// Guards against accounts with long queues that take the whole endpoint
// (max-min fairness over the members), and against slots that nobody gets.
func TestGrantsAreFairOverAccountsAndMembers(t *testing.T) {
	w := climbed(12)
	queues := map[string]int{"a": 100, "b": 2, "c": 30}
	for range 5 {
		for id, queued := range queues {
			w.nodes[id].queued = []Queued{{Model: "tagger", Account: id, Requests: queued, Weight: 1}}
		}
		w.period()
		for id := range queues {
			for w.take(w.nodes[id], "e-0", id) {
			}
		}
		if len(w.nodes["a"].slots) == 5 && len(w.nodes["c"].slots) == 5 && len(w.nodes["b"].slots) == 2 {
			return
		}
		for _, n := range w.nodes {
			w.freeAll(n)
		}
	}
	t.Fatal("the slots were not divided 5, 2, 5")
}

// Guards against an instance that dies and takes its part of the endpoint with
// it, and against a home instance whose death closes the endpoint.
func TestDeathOfAnyInstanceGivesItsSlotsBack(t *testing.T) {
	for _, victim := range []string{"a", "b", "c"} {
		w := climbed(12)
		w.loadAll()
		w.die(victim)
		w.listed = w.listed.Without(victim)
		highest := 0
		for range 15 {
			w.period()
			for _, id := range w.ids() {
				w.freeAll(w.nodes[id])
			}
			highest = max(highest, w.loadAll())
		}
		if highest != 12 {
			t.Fatalf("at most %d requests run after the death of %s, want 12", highest, victim)
		}
		if w.exceeded != "" {
			t.Fatal(w.exceeded)
		}
	}
}

// Guards against an instance outside the zone that gets no slots although the
// endpoint has free ones, or whose work is not charged.
func TestOtherZoneGetsFreeSlots(t *testing.T) {
	w := climbed(12)
	for _, n := range w.nodes {
		n.queued = nil
	}
	far := w.joinZone("far", "zone-b")
	far.queued = []Queued{{Model: "tagger", Account: "acme", Requests: 50, Weight: 1}}
	for range 3 {
		far.pool.reconcile()
		far.pool.Ask("e-0")
		w.period()
	}
	w.load(far, 50)
	if len(far.slots) < 6 {
		t.Fatalf("the other zone got %d of 12 idle slots, want at least half", len(far.slots))
	}
	if running := w.loadAll(); running > 12 || w.exceeded != "" {
		t.Fatalf("%d requests run, limit 12: %s", running, w.exceeded)
	}
}

// Guards against a new home instance that grants slots which a member that it
// cannot hear still uses, by grants of the earlier home instance that died.
func TestNewHomeChargesWorkOfSilentMember(t *testing.T) {
	w := newWorld(1, 12)
	for _, id := range []string{"a", "b", "c", "d"} {
		w.join(id)
	}
	for range 60 {
		w.period()
		for _, id := range w.ids() {
			w.load(w.nodes[id], 50)
			w.freeAll(w.nodes[id])
		}
	}
	first := w.nodes["a"].pool.delegations["e-0"].home
	others := member.Rank("e-0", []string{"a", "b", "c", "d"})
	next, silent := others[1], w.nodes[others[3]]
	for _, n := range w.nodes {
		n.queued = nil
	}
	for range 5 {
		w.period()
		w.load(silent, 50)
	}
	held := len(silent.slots)
	if held < 8 || others[0] != first {
		t.Fatalf("the member holds %d of 12 slots, want most; home instance %s", held, first)
	}
	w.die(first)
	w.cut[[2]string{silent.id, next}], w.cut[[2]string{next, silent.id}] = true, true
	for range 30 {
		w.period()
		w.loadAll()
	}
	if w.exceeded != "" {
		t.Fatal(w.exceeded)
	}
	w.freeAll(silent)
	silent.queued, w.nodes[others[2]].queued = nil, nil
	for range 10 {
		w.period()
		w.load(w.nodes[next], 50)
	}
	// Two of four shares are delegated to the new home instance; the list still
	// holds the dead one.
	if got := w.backs["e-0"].running; got < 5 || w.exceeded != "" {
		t.Fatalf("%d requests run after the silent work ended, want 6 but for rounding; %s", got, w.exceeded)
	}
}
