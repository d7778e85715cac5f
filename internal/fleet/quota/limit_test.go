package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonpin/wigeonpin/internal/control/member"
)

// Guards against a combined load above an endpoint's limit (invariant 10) while
// instances join and die, lists go out of date, network links fail in one or
// both directions, and messages are lost or delayed.
func TestSumOfRunningWorkStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]int{1, 3, 8, 16}).Draw(t, "limit")
		c := newCluster(2, limit)
		c.cellSize = rapid.SampledFrom([]int{2, 4, 8}).Draw(t, "cell")
		c.dropAnswer = func() bool { return rapid.IntRange(0, 9).Draw(t, "lost") == 0 }
		next := 0
		join := func() {
			next++
			c.join(fmt.Sprintf("i-%d", next))
		}
		for range rapid.IntRange(1, 4).Draw(t, "instances") {
			join()
		}
		outside := c.joinZone("far", "zone-b")
		outside.pool.reconcile()
		// The schedule starts when shares have been delegated and the ramp has
		// reached the limit. Otherwise it would test little.
		for range 30 {
			c.runPeriod()
			for _, id := range c.ids() {
				c.acquireAll(c.nodes[id], 20)
				c.finishAll(c.nodes[id])
			}
		}
		randomNode := func(label string) *node {
			return c.nodes[rapid.SampledFrom(c.ids()).Draw(t, label)]
		}
		frozen := map[string]bool{}
		busy := func(t *rapid.T) {
			c.driver.Advance(time.Duration(rapid.IntRange(3, 12).Draw(t, "step")) * 100 * time.Millisecond)
			for _, id := range rapid.Permutation(c.ids()).Draw(t, "order") {
				n, bits := c.nodes[id], rapid.IntRange(0, 63).Draw(t, "luck")
				if !frozen[id] && bits&3 != 0 {
					c.syncList(n)
				}
				if bits&4 != 0 {
					n.poll(c)
				}
				for range bits >> 3 {
					c.finish(n, Outcome{FirstToken: 50 * time.Millisecond})
				}
				if bits&15 != 9 {
					n.pool.RequestSlots("e-0")
					c.exchange(n)
				}
				c.acquireAll(n, 1+bits%20)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"busy 1": busy, "busy 2": busy, "busy 3": busy, "busy 4": busy, "busy 5": busy, "busy 6": busy,
			"period": func(*rapid.T) { c.runPeriod() },
			"work":   func(*rapid.T) { c.acquireAll(randomNode("who"), 20) },
			"freeze": func(*rapid.T) { frozen[randomNode("who").id] = true },
			"split": func(t *rapid.T) {
				sides := rapid.Uint16().Draw(t, "sides")
				for i, from := range c.ids() {
					for j, to := range c.ids() {
						if sides>>i&1 != sides>>j&1 {
							c.cutLinks[[2]string{from, to}] = true
						}
					}
				}
			},
			"late": func(t *rapid.T) {
				if len(c.delayed) > 0 {
					at := rapid.IntRange(0, len(c.delayed)-1).Draw(t, "which")
					c.delayed[at]()
					c.delayed = slices.Delete(c.delayed, at, at+1)
				}
			},
			"join": func(*rapid.T) {
				if len(c.nodes) < 8 {
					join()
				}
			},
			"die": func(*rapid.T) {
				if n := randomNode("who"); n != outside && len(c.nodes) > 2 {
					c.kill(n.id)
				}
			},
			"unlist": func(*rapid.T) {
				c.listed = c.listed.Without(randomNode("who").id)
			},
			"list again": func(*rapid.T) {
				n := randomNode("who")
				if _, ok := c.listed.Instance(n.id); !ok {
					c.listed = c.listed.With(member.Instance{ID: n.id, Zone: n.pool.zone, State: member.StateLive})
				}
			},
			"cut": func(t *rapid.T) {
				from, to := randomNode("from"), randomNode("to")
				c.cutLinks[[2]string{from.id, to.id}] = true
				if rapid.Bool().Draw(t, "both") {
					c.cutLinks[[2]string{to.id, from.id}] = true
				}
			},
			"heal": func(*rapid.T) {
				clear(c.cutLinks)
				clear(frozen)
			},
			"": func(t *rapid.T) {
				if c.violation != "" {
					t.Fatal(c.violation)
				}
			},
		})
	})
}

// acquireAll takes slots for the instance until it gets no more, with queued
// requests left over.
func (c *cluster) acquireAll(n *node, queued int) {
	n.queued = []Backlog{{Model: "tagger", Account: n.id, Requests: queued, Weight: 1}}
	for id := range c.endpoints {
		for c.take(n, id, n.id) {
		}
	}
}
