package config

import (
	"testing"
	"time"
)

// Guards against a zone that states that it accepts no edits while one of its
// members, here each in turn, still reaches the platform.
func TestStatementNeedsEveryMemberUnreachable(t *testing.T) {
	for _, reaching := range []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7"} {
		f := newFleet(t)
		for _, id := range []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7"} {
			f.start(id, "a")
		}
		for range 3 {
			f.step()
		}
		for id := range f.nodes {
			f.setCut(id, "platform", id != reaching)
		}
		for range 6 {
			f.step()
			for id, n := range f.nodes {
				if ok, _ := n.Fresh(); !ok {
					t.Errorf("%s is not fresh although %s reaches the platform", id, reaching)
				}
				if s, ok := n.statements["a"]; ok {
					t.Errorf("%s holds a statement of zone a, %v old, although %s reaches the platform", id, f.timers.Since(s.at), reaching)
				}
			}
		}
	}
}

// Guards against ages that add up along the tree: in a zone with four levels
// all instances must stay fresh, with and without the platform.
func TestDeepTreeStaysFresh(t *testing.T) {
	f := newFleet(t)
	for i := range 60 {
		f.start(string(rune('A'+i%26))+string(rune('a'+i/26)), "z")
	}
	for range 4 {
		f.step()
	}
	check := func(when string) {
		for range 8 {
			f.step()
			for id, n := range f.nodes {
				if age := f.timers.Since(n.CompleteAsOf()); age > 2500*time.Millisecond {
					t.Errorf("%s: the table of %s is %v old", when, id, age)
				}
			}
		}
	}
	check("with the platform")
	f.platform.outage = true
	for range 3 {
		f.step()
	}
	check("without the platform")
}

// Guards against exchanges that are not aligned with the parent's, which would
// add up to a whole period of age at each level of the tree.
func TestExchangeFollowsTheParents(t *testing.T) {
	f := newFleet(t)
	for _, id := range []string{"a1", "a2", "a3"} {
		f.start(id, "a")
	}
	f.step()
	f.step()
	order := f.treeOrder()
	parent, child := f.nodes[order[0]], f.nodes[order[2]]
	for _, next := range []time.Duration{600 * time.Millisecond, 900 * time.Millisecond} {
		parent.mu.Lock()
		parent.nextExchangeAt = f.timers.Now().Add(next)
		parent.mu.Unlock()
		if got := child.exchangeRound(t.Context()); got != next+alignMargin {
			t.Errorf("parent exchanges in %v, child in %v, want %v", next, got, next+alignMargin)
		}
	}
}
