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
	// distanceFactor is the ratio between the distances of neighbours: they are
	// 1, 4, 16 and so on positions away in the ring, in both directions. Events
	// reach all processes in few hops and are routed around processes that do
	// not answer.
	distanceFactor = 4
	// minBackoff and maxBackoff bound the backoff of a neighbour that did not
	// answer. It doubles with each consecutive failure.
	minBackoff = 2 * time.Second
	maxBackoff = 5 * time.Minute
)

// Ring selects the processes to which this one forwards events. All processes
// form a ring in the order of their names, so that the neighbour relation is
// symmetric.
type Ring struct {
	members *Members
	timers  *clock.Service

	mu       sync.Mutex
	backoffs map[string]backoff
}

// backoff is the state of a neighbour that did not answer its latest call.
type backoff struct {
	until time.Time
	delay time.Duration // doubled by the next failure
}

// NewRing returns the ring of the listed processes and this one.
func NewRing(m *Members, timers *clock.Service) *Ring {
	return &Ring{members: m, timers: timers, backoffs: map[string]backoff{}}
}

// Neighbours returns the neighbours that are not in backoff.
func (r *Ring) Neighbours() []member.Instance {
	others := r.members.Others()
	slices.SortFunc(others, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	self, _ := slices.BinarySearchFunc(others, r.members.self.Name, func(m Member, name string) int { return strings.Compare(m.Name, name) })
	var neighbours []member.Instance
	for _, distance := range distances(len(others) + 1) {
		// self is the index at which this process would be inserted, so that a
		// distance of 1 is the entry at that index.
		other := others[(self+distance-1)%len(others)]
		if !r.inBackoff(other.Name) {
			neighbours = append(neighbours, member.Instance{ID: other.Name, Zone: other.Zone, Peer: other.Address})
		}
	}
	return neighbours
}

// distances returns the distances of the neighbours in a ring of count
// processes. All are counted in the same direction, also those of neighbours in
// the opposite one.
func distances(count int) []int {
	var all []int
	for distance := 1; 2*distance <= count; distance *= distanceFactor {
		all = append(all, distance)
		if 2*distance != count {
			all = append(all, count-distance)
		}
	}
	return all
}

func (r *Ring) inBackoff(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.timers.Now().Before(r.backoffs[name].until)
}

// Report records whether a neighbour answered a call. A neighbour that did not
// is left out for its backoff time.
func (r *Ring) Report(name string, alive, _ bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if alive {
		delete(r.backoffs, name)
		return
	}
	delay := min(maxBackoff, max(minBackoff, 2*r.backoffs[name].delay))
	r.backoffs[name] = backoff{until: r.timers.Now().Add(delay), delay: delay}
}
