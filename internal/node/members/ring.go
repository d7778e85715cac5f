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
	// spanFactor is the ratio between the distances of neighbours: they are 1, 4,
	// 16 and so on positions away in the ring, in both directions. Events reach
	// all processes in few hops and are routed around processes that do not
	// answer.
	spanFactor = 4
	// firstShun and lastShun bound the backoff of a neighbour that did not
	// answer. It doubles with each consecutive failure.
	firstShun = 2 * time.Second
	lastShun  = 5 * time.Minute
)

// Circle selects the processes to which this one forwards events. All processes
// form a ring in the order of their names, so that the neighbour relation is
// symmetric.
type Circle struct {
	members *Members
	timers  *clock.Service

	mu      sync.Mutex
	shunned map[string]shun
}

// shun is the backoff of a neighbour that did not answer.
type shun struct {
	till time.Time
	last time.Duration
}

// NewCircle returns the ring of the listed processes and this one.
func NewCircle(m *Members, timers *clock.Service) *Circle {
	return &Circle{members: m, timers: timers, shunned: map[string]shun{}}
}

// Neighbours returns the neighbours that are not in backoff.
func (c *Circle) Neighbours() []member.Instance {
	others := c.members.All()
	slices.SortFunc(others, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	self, _ := slices.BinarySearchFunc(others, c.members.self.Name, func(m Member, name string) int { return strings.Compare(m.Name, name) })
	var near []member.Instance
	for _, place := range spans(len(others) + 1) {
		// self is the index at which this process would be inserted, so that a
		// distance of 1 is the entry at that index.
		other := others[(self+place-1)%len(others)]
		if !c.isShunned(other.Name) {
			near = append(near, member.Instance{ID: other.Name, Zone: other.Zone, Peer: other.Address})
		}
	}
	return near
}

// spans returns the distances of the neighbours in a ring of count processes.
// All are counted in the same direction, also those of neighbours in the other
// one.
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

// Report records whether a neighbour answered a call. A neighbour that did not
// is left out for its backoff time.
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
