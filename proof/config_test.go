package proof

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Guards against an accepted edit that is lost or reverted when the platform
// fails, when an instance restarts meanwhile, or when the platform returns older
// data.
func TestAcceptedEditsStay(t *testing.T) {
	f := startFleet(t, fleetOptions{zones: 3, instancesPerZone: 1, engines: 1})
	key := f.createAccount("acme")
	f.awaitGeneration(f.instances[0], key)
	f.setFault(f.platform, "outage", map[string]any{"on": true})
	f.instances[1].kill()
	f.restart(f.instances[1])
	before := f.state(f.instances[0]).Sequence
	f.awaitSequence(before, f.instances[1])
	f.eventually("the restarted instance serves during the outage", func() bool {
		return f.generate(f.instances[1], key, "outage", 2, 5e9).status == http.StatusOK
	})
	if a, _ := f.tryEdit(f.instances[0], "in-outage", "zone", "zone-x", 0, map[string]any{"state": "in"}); a.status == http.StatusOK {
		t.Error("an edit was accepted during the outage")
	}
	f.setFault(f.platform, "outage", map[string]any{"on": false})
	sequence := f.createRow("zone", "zone-y", map[string]any{"state": "in"})
	f.setFault(f.platform, "rollback", map[string]any{"on": true, "back": 3})
	for range 30 {
		// The rounds span several exchange periods.
		time.Sleep(pollInterval)
		for _, p := range f.instances {
			if got := f.state(p).Sequence; got < sequence {
				t.Fatalf("%s went back from sequence %d to %d", p.name, sequence, got)
			}
		}
	}
	f.setFault(f.platform, "rollback", map[string]any{"on": false})
	f.awaitSequence(f.createRow("zone", "zone-z", map[string]any{"state": "in"}), f.instances...)
	if f.row("zone", "zone-y", f.instances[0]).Value["state"] != "in" {
		t.Error("the accepted row was lost")
	}
}

// Guards against two operators who are both told that their edit of the same row
// was accepted, and against an edit that is applied twice because its answer was
// lost.
func TestRacingOperators(t *testing.T) {
	f := startFleet(t, fleetOptions{zones: 3, instancesPerZone: 1})
	f.createRow("account", "acme", map[string]any{"weight": 1})
	for round := range 10 {
		row := f.row("account", "acme", f.instances[0])
		if round%3 == 0 {
			f.setFault(f.platform, "lose", map[string]any{"count": 1})
		}
		statuses := make([]int, len(f.instances))
		var wg sync.WaitGroup
		for i, p := range f.instances {
			wg.Add(1)
			go func() {
				defer wg.Done()
				id := fmt.Sprintf("race-%d-%d", round, i)
				for range 10 {
					a, _ := f.tryEdit(p, id, "account", "acme", row.Revision, map[string]any{"weight": 2 + i})
					if statuses[i] = a.status; a.status == http.StatusOK || a.status == http.StatusConflict {
						return
					}
				}
			}()
		}
		wg.Wait()
		winners := 0
		winner := 0
		for i, status := range statuses {
			if status == http.StatusOK {
				winners, winner = winners+1, i
			}
		}
		if winners != 1 {
			t.Fatalf("round %d: want exactly one accepted edit, got statuses %v", round, statuses)
		}
		f.awaitSequence(row.Revision+1, f.instances...)
		if weight := f.row("account", "acme", f.instances[0]).Value["weight"]; weight != float64(2+winner) {
			t.Fatalf("round %d: weight is %v, the accepted edit wrote %d", round, weight, 2+winner)
		}
	}
}
