package share

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonpin/wigeonpin/internal/control/member"
)

// Guards against a combined load above an endpoint's limit (invariant 10) while
// instances join and die, lists go out of date, instances lose contact with
// each other in one direction or both, and messages are lost or come late.
func TestSumOfRunningWorkStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]int{1, 3, 8, 16}).Draw(t, "limit")
		w := newWorld(2, limit)
		w.size = rapid.SampledFrom([]int{2, 4, 8}).Draw(t, "cell")
		w.mute = func() bool { return rapid.IntRange(0, 9).Draw(t, "lost") == 0 }
		next := 0
		join := func() {
			next++
			w.join(fmt.Sprintf("i-%d", next))
		}
		for range rapid.IntRange(1, 4).Draw(t, "instances") {
			join()
		}
		outside := w.joinZone("far", "zone-b")
		outside.pool.reconcile()
		// The property holds from a state in which shares have been delegated
		// and the ramp has been climbed; without one, little would be tested.
		for range 30 {
			w.period()
			for _, id := range w.ids() {
				w.load(w.nodes[id], 20)
				w.freeAll(w.nodes[id])
			}
		}
		one := func(label string) *node {
			return w.nodes[rapid.SampledFrom(w.ids()).Draw(t, label)]
		}
		frozen := map[string]bool{}
		busy := func(t *rapid.T) {
			w.driver.Advance(time.Duration(rapid.IntRange(3, 12).Draw(t, "step")) * 100 * time.Millisecond)
			for _, id := range rapid.Permutation(w.ids()).Draw(t, "order") {
				n, luck := w.nodes[id], rapid.IntRange(0, 63).Draw(t, "luck")
				if !frozen[id] && luck&3 != 0 {
					w.sync(n)
				}
				if luck&4 != 0 {
					n.poll(w)
				}
				for range luck >> 3 {
					w.finish(n, Outcome{FirstToken: 50 * time.Millisecond})
				}
				if luck&15 != 9 {
					n.pool.Ask("e-0")
					w.exchange(n)
				}
				w.load(n, 1+luck%20)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"busy 1": busy, "busy 2": busy, "busy 3": busy, "busy 4": busy, "busy 5": busy, "busy 6": busy,
			"period": func(*rapid.T) { w.period() },
			"work":   func(*rapid.T) { w.load(one("who"), 20) },
			"freeze": func(*rapid.T) { frozen[one("who").id] = true },
			"split": func(t *rapid.T) {
				sides := rapid.Uint16().Draw(t, "sides")
				for i, from := range w.ids() {
					for j, to := range w.ids() {
						if sides>>i&1 != sides>>j&1 {
							w.cut[[2]string{from, to}] = true
						}
					}
				}
			},
			"late": func(t *rapid.T) {
				if len(w.late) > 0 {
					at := rapid.IntRange(0, len(w.late)-1).Draw(t, "which")
					w.late[at]()
					w.late = slices.Delete(w.late, at, at+1)
				}
			},
			"join": func(*rapid.T) {
				if len(w.nodes) < 8 {
					join()
				}
			},
			"die": func(*rapid.T) {
				if n := one("who"); n != outside && len(w.nodes) > 2 {
					w.die(n.id)
				}
			},
			"unlist": func(*rapid.T) {
				w.listed = w.listed.Without(one("who").id)
			},
			"list again": func(*rapid.T) {
				n := one("who")
				if _, ok := w.listed.Instance(n.id); !ok {
					w.listed = w.listed.With(member.Instance{ID: n.id, Zone: n.pool.zone, State: member.StateLive})
				}
			},
			"cut": func(t *rapid.T) {
				from, to := one("from"), one("to")
				w.cut[[2]string{from.id, to.id}] = true
				if rapid.Bool().Draw(t, "both") {
					w.cut[[2]string{to.id, from.id}] = true
				}
			},
			"heal": func(*rapid.T) {
				clear(w.cut)
				clear(frozen)
			},
			"": func(t *rapid.T) {
				if w.exceeded != "" {
					t.Fatal(w.exceeded)
				}
			},
		})
	})
}

// load takes as many slots as the instance gets, with a queue of more.
func (w *world) load(n *node, queued int) {
	n.queued = []Queued{{Model: "tagger", Account: n.id, Requests: queued, Weight: 1}}
	for id := range w.backs {
		for w.take(n, id, n.id) {
		}
	}
}
