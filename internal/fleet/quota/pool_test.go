package quota

import (
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
)

// newWarmCluster returns a cluster of three instances and one endpoint whose
// ramp has reached the limit, with no work running.
func newWarmCluster(limit int) *cluster {
	c := newCluster(1, limit)
	for _, id := range []string{"a", "b", "c"} {
		c.join(id)
	}
	for range 60 {
		c.runPeriod()
		for _, id := range c.ids() {
			c.acquireAll(c.nodes[id], 50)
		}
		for _, id := range c.ids() {
			c.finishAll(c.nodes[id])
		}
	}
	return c
}

// saturate lets all instances take slots until they get no more, and returns
// the number of running requests.
func (c *cluster) saturate() int {
	for _, id := range c.ids() {
		c.acquireAll(c.nodes[id], 50)
	}
	return c.endpoints["e-0"].running
}

// Guards against a cold endpoint that gets the combined load of all instances
// at once (invariant 10), and against a ramp that does not reach the limit.
func TestColdEndpointUnderFullLoad(t *testing.T) {
	c := newCluster(1, 16)
	for _, id := range []string{"a", "b", "c"} {
		c.join(id)
	}
	highest, rises := 0, []int{}
	for range 60 {
		c.runPeriod()
		if running := c.saturate(); running > highest {
			highest = running
			rises = append(rises, running)
		}
		for _, id := range c.ids() {
			c.finishAll(c.nodes[id])
		}
	}
	if c.violation != "" {
		t.Fatal(c.violation)
	}
	if highest != 16 || rises[0] != 1 {
		t.Fatalf("running requests rose through %v, want 1 to 16", rises)
	}
}

// Guards against a warm endpoint that turns cold, as after an unnoticed
// restart, and keeps its full load. Also guards against a ramp that is reset
// again and again by the slow answers of work that started before.
func TestWarmEndpointTurnedColdReturnsToTheRamp(t *testing.T) {
	for name, outcome := range map[string]Outcome{
		"slow":  {FirstToken: 2 * time.Second},
		"error": {Failed: true},
	} {
		c := newWarmCluster(16)
		// A slot left over by rounding is unused while it moves to another
		// member.
		if running := c.saturate(); running < 14 {
			t.Fatalf("%s: %d requests run on the warm endpoint, want 14 to 16", name, running)
		}
		epoch := c.epoch()
		for _, id := range c.ids() {
			for len(c.nodes[id].slots) > 1 {
				c.finish(c.nodes[id], outcome)
			}
		}
		// The members first report the degradation, then what they still hold
		// of the earlier grants, and then get new ones.
		c.runPeriod()
		c.runPeriod()
		for _, id := range c.ids() {
			c.finish(c.nodes[id], outcome)
		}
		c.runPeriod()
		c.runPeriod()
		if running := c.saturate(); running != 1 {
			t.Fatalf("%s: %d requests run on the cold endpoint, want 1", name, running)
		}
		if drops := c.epoch() - epoch; drops != 1 {
			t.Fatalf("%s: the endpoint returned to the ramp %d times, want once", name, drops)
		}
	}
}

func (c *cluster) epoch() uint32 {
	for _, n := range c.nodes {
		if l, ok := n.pool.ledgers["e-0"]; ok && n.pool.delegations["e-0"].home == n.id {
			return l.ramp.epoch
		}
	}
	return 0
}

// Guards against new work for an endpoint that is leaving, by grants that were
// made while it was live (invariant 15).
func TestLeavingEndpointGetsNothingNew(t *testing.T) {
	c := newWarmCluster(16)
	c.endpoints["e-0"].endpoint.State = roster.StateLeaving
	for _, n := range c.nodes {
		n.rosterCurrent = false
		if n.pool.Free("e-0") != 0 || c.take(n, "e-0", "acme") {
			t.Fatalf("%s starts work on a leaving endpoint", n.id)
		}
	}
}

// Guards against accounts with long queues that take the whole endpoint
// (max-min fairness over the members), and against slots that no member gets.
func TestGrantsAreFairOverAccountsAndMembers(t *testing.T) {
	c := newWarmCluster(12)
	queues := map[string]int{"a": 100, "b": 2, "c": 30}
	for range 5 {
		for id, queued := range queues {
			c.nodes[id].queued = []Backlog{{Model: "tagger", Account: id, Requests: queued, Weight: 1}}
		}
		c.runPeriod()
		for id := range queues {
			for c.take(c.nodes[id], "e-0", id) {
			}
		}
		if len(c.nodes["a"].slots) == 5 && len(c.nodes["c"].slots) == 5 && len(c.nodes["b"].slots) == 2 {
			return
		}
		for _, n := range c.nodes {
			c.finishAll(n)
		}
	}
	t.Fatal("the slots were not divided 5, 2, 5")
}

// Guards against slots that stay unavailable after the instance that held them
// died, and against an endpoint that gets no more work after its home instance
// died.
func TestDeathOfAnyInstanceGivesItsSlotsBack(t *testing.T) {
	for _, victim := range []string{"a", "b", "c"} {
		c := newWarmCluster(12)
		c.saturate()
		c.kill(victim)
		c.listed = c.listed.Without(victim)
		highest := 0
		for range 15 {
			c.runPeriod()
			for _, id := range c.ids() {
				c.finishAll(c.nodes[id])
			}
			highest = max(highest, c.saturate())
		}
		if highest != 12 {
			t.Fatalf("at most %d requests run after the death of %s, want 12", highest, victim)
		}
		if c.violation != "" {
			t.Fatal(c.violation)
		}
	}
}

// Guards against an instance outside the zone that gets no slots although the
// endpoint has free ones, or whose work is not charged.
func TestOtherZoneGetsFreeSlots(t *testing.T) {
	c := newWarmCluster(12)
	for _, n := range c.nodes {
		n.queued = nil
	}
	far := c.joinZone("far", "zone-b")
	far.queued = []Backlog{{Model: "tagger", Account: "acme", Requests: 50, Weight: 1}}
	for range 3 {
		far.pool.reconcile()
		far.pool.RequestSlots("e-0")
		c.runPeriod()
	}
	c.acquireAll(far, 50)
	if len(far.slots) < 6 {
		t.Fatalf("the other zone got %d of 12 idle slots, want at least half", len(far.slots))
	}
	if running := c.saturate(); running > 12 || c.violation != "" {
		t.Fatalf("%d requests run, limit 12: %s", running, c.violation)
	}
}

// Guards against a new home instance that grants slots which another member
// still uses, by grants of the earlier home instance, which died. The new home
// instance and that member cannot reach each other.
func TestNewHomeChargesWorkOfSilentMember(t *testing.T) {
	c := newCluster(1, 12)
	for _, id := range []string{"a", "b", "c", "d"} {
		c.join(id)
	}
	for range 60 {
		c.runPeriod()
		for _, id := range c.ids() {
			c.acquireAll(c.nodes[id], 50)
			c.finishAll(c.nodes[id])
		}
	}
	first := c.nodes["a"].pool.delegations["e-0"].home
	others := member.Rank("e-0", []string{"a", "b", "c", "d"})
	next, silent := others[1], c.nodes[others[3]]
	for _, n := range c.nodes {
		n.queued = nil
	}
	for range 5 {
		c.runPeriod()
		c.acquireAll(silent, 50)
	}
	held := len(silent.slots)
	if held < 8 || others[0] != first {
		t.Fatalf("the member holds %d of 12 slots, want at least 8; home instance is %s, want %s", held, first, others[0])
	}
	c.kill(first)
	c.cutLinks[[2]string{silent.id, next}], c.cutLinks[[2]string{next, silent.id}] = true, true
	for range 30 {
		c.runPeriod()
		c.saturate()
	}
	if c.violation != "" {
		t.Fatal(c.violation)
	}
	c.finishAll(silent)
	silent.queued, c.nodes[others[2]].queued = nil, nil
	for range 10 {
		c.runPeriod()
		c.acquireAll(c.nodes[next], 50)
	}
	// Two of four shares are delegated to the new home instance, since the list
	// still contains the dead one.
	if got := c.endpoints["e-0"].running; got < 5 || c.violation != "" {
		t.Fatalf("%d requests run after the unreachable member's work ended, want 5 or 6; %s", got, c.violation)
	}
}
