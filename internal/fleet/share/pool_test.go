package share

import (
	"testing"
	"time"
)

// Guards against a cold endpoint that gets the combined load of all instances
// at once (invariant 10), and against a ramp that never ends.
func TestColdEndpointUnderFullLoad(t *testing.T) {
	w := newWorld(1, 16)
	for _, id := range []string{"a", "b", "c"} {
		n := w.join(id)
		n.queued = []Queued{{Model: "tagger", Account: "acme", Requests: 50, Weight: 1}}
	}
	highest := 0
	for range 60 {
		w.period()
		for _, id := range w.ids() {
			for w.take(w.nodes[id], "e-0", "acme") {
			}
		}
		highest = max(highest, w.backs["e-0"].running)
		for _, id := range w.ids() {
			for len(w.nodes[id].slots) > 0 {
				w.finish(w.nodes[id], Outcome{FirstToken: 50 * time.Millisecond})
			}
		}
	}
	if w.exceeded != "" {
		t.Fatal(w.exceeded)
	}
	if highest != 16 {
		t.Fatalf("at most %d requests ran, want the limit of 16", highest)
	}
}
