package members

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
)

// newTestRing returns the ring of one of count processes, given by its index.
func newTestRing(self, count int) (*Ring, *clock.Driver) {
	timers, driver := clock.NewDriven(time.Unix(1000, 0))
	name := func(i int) string { return fmt.Sprintf("n%03d", i) }
	m := &Members{self: Member{Name: name(self)}, others: map[string]Member{}}
	for i := range count {
		if i != self {
			m.others[name(i)] = Member{Name: name(i), Address: name(i) + ":1"}
		}
	}
	return NewRing(m, timers), driver
}

// Guards against processes that events do not reach, also when a tenth of the
// ring does not answer, and against a number of neighbours that grows linearly
// with the number of processes.
func TestEventsReachAllProcesses(t *testing.T) {
	for _, count := range []int{1, 2, 3, 4, 5, 9, 32, 95, 360} {
		neighbours := map[string][]member.Instance{}
		for i := range count {
			c, _ := newTestRing(i, count)
			neighbours[c.members.self.Name] = c.Neighbours()
			if len(neighbours[c.members.self.Name]) > 10 {
				t.Errorf("%d of %d processes are neighbours, want at most 10", len(neighbours[c.members.self.Name]), count)
			}
		}
		for id, list := range neighbours {
			for _, other := range list {
				if !containsID(neighbours[other.ID], id) {
					t.Errorf("ring of %d processes: %s forwards events to %s, but not the reverse", count, id, other.ID)
				}
			}
		}
		// A tenth of the processes, adjacent in the ring, does not answer.
		dead := map[string]bool{}
		for i := range count / 10 {
			dead[fmt.Sprintf("n%03d", count/2+i)] = true
		}
		if got := reached(neighbours, dead); got != count-len(dead) {
			t.Errorf("events reach %d of %d live processes", got, count-len(dead))
		}
	}
}

func containsID(list []member.Instance, id string) bool {
	for _, one := range list {
		if one.ID == id {
			return true
		}
	}
	return false
}

// reached returns the number of processes that an event of the first one
// reaches.
func reached(neighbours map[string][]member.Instance, dead map[string]bool) int {
	seen, open := map[string]bool{"n000": true}, []string{"n000"}
	for len(open) > 0 {
		id := open[0]
		open = open[1:]
		for _, next := range neighbours[id] {
			if !seen[next.ID] && !dead[next.ID] {
				seen[next.ID] = true
				open = append(open, next.ID)
			}
		}
	}
	return len(seen)
}

// Guards against repeated calls to terminated processes, whose records stay in
// the store, and against a neighbour that is left out permanently after one
// failure.
func TestUnresponsiveNeighbourBacksOff(t *testing.T) {
	c, driver := newTestRing(0, 2)
	c.Report("n001", false, false)
	if len(c.Neighbours()) != 0 {
		t.Error("a neighbour that did not answer is listed without a backoff")
	}
	driver.Advance(minBackoff)
	if len(c.Neighbours()) != 1 {
		t.Error("a neighbour is still left out after its backoff")
	}
	c.Report("n001", false, false)
	driver.Advance(minBackoff)
	if len(c.Neighbours()) != 0 {
		t.Error("the backoff does not grow with the second failure in a row")
	}
	c.Report("n001", true, false)
	if len(c.Neighbours()) != 1 {
		t.Error("a neighbour that answered is still left out")
	}
}
