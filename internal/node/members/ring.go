package members

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
)

const (
	// spanFactor is the ratio between the distances of neighbours: they stand 1,
	// 4, 16 and so on places away in the circle, to both sides. News reaches all
	// in few steps, and goes round processes that do not answer.
	spanFactor = 4
	// firstShun and lastShun bound how long a neighbour that did not answer is
	// passed over; the time doubles with each failure in a row.
	firstShun = 2 * time.Second
	lastShun  = 5 * time.Minute
)

// Circle selects the processes to which this one passes events on. All
// processes stand in a circle in the order of their names, so that two of them
// are neighbours to each other or not at all.
type Circle struct {
	members *Members
	timers  *clock.Service

	mu      sync.Mutex
	shunned map[string]shun
}

// shun is until when a process is passed over.
type shun struct {
	till time.Time
	last time.Duration
}

// NewCircle returns the circle of the processes.
func NewCircle(m *Members, timers *clock.Service) *Circle {
	return &Circle{members: m, timers: timers, shunned: map[string]shun{}}
}

// Neighbours returns the neighbours that did not fail lately.
func (c *Circle) Neighbours() []member.Instance {
	others := c.members.All()
	slices.SortFunc(others, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	self, _ := slices.BinarySearchFunc(others, c.members.self.Name, func(m Member, name string) int { return strings.Compare(m.Name, name) })
	var near []member.Instance
	for _, place := range spans(len(others) + 1) {
		// Counted from this process, which is not in the list.
		other := others[(self+place-1)%len(others)]
		if !c.isShunned(other.Name) {
			near = append(near, member.Instance{ID: other.Name, Zone: other.Zone, Peer: other.Address})
		}
	}
	return near
}

// spans returns the distances of the neighbours in a circle of count places, in
// one direction.
func spans(count int) []int {
	var places []int
	for span := 1; 2*span <= count; span *= spanFactor {
		places = append(places, span)
		if 2*span != count {
			places = append(places, count-span)
		}
	}
	return places
}

func (c *Circle) isShunned(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.timers.Now().Before(c.shunned[name].till)
}

// Report notes whether a neighbour took a call.
func (c *Circle) Report(name string, alive, _ bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if alive {
		delete(c.shunned, name)
		return
	}
	last := min(lastShun, max(firstShun, 2*c.shunned[name].last))
	c.shunned[name] = shun{till: c.timers.Now().Add(last), last: last}
}
