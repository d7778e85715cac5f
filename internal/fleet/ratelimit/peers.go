package ratelimit

import (
	"slices"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/control/member"
)

const (
	// goneTime is how long a process that refused a call counts as ended, and
	// silentTime how long one that did not answer is not asked again.
	goneTime   = 500 * time.Millisecond
	silentTime = 2 * time.Second
	// orderTime is how long the order of the processes is kept.
	orderTime = 200 * time.Millisecond
)

// peer is a process that could not be reached. It counts as ended if it refused the
// latest call, and as silent otherwise, until the uptime.
type peer struct {
	ended bool
	until time.Duration
}

// reach is what is known of another process.
type reach int

const (
	reachable reach = iota // or not known
	silent                 // it may run and grant permits
	ended                  // it grants no permits
)

func (l *Limiter) reach(id string, now time.Duration) reach {
	p, known := l.peers[id]
	switch {
	case !known || now >= p.until:
		return reachable
	case p.ended:
		return ended
	}
	return silent
}

// noteCall records the outcome of a call to another process.
func (l *Limiter) noteCall(id string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timers.Uptime()
	switch {
	case err == nil:
		delete(l.peers, id)
	case l.seams.Refused(err):
		l.peers[id] = peer{ended: true, until: now + goneTime}
	default:
		l.peers[id] = peer{until: now + silentTime}
	}
}

// metMember is a process that only other ones have in their lists, until the uptime.
type metMember struct {
	instance member.Instance
	until    time.Duration
}

// members returns the processes that send to endpoints, or nil while they are not known.
func (l *Limiter) members(now time.Duration) []member.Instance {
	all := l.seams.Members()
	if len(all) == 0 || len(l.met) == 0 {
		return all
	}
	all = slices.Clone(all)
	for id, m := range l.met {
		if now < m.until && !slices.ContainsFunc(all, func(other member.Instance) bool { return other.ID == id }) {
			all = append(all, m.instance)
		}
	}
	return all
}

// grantors returns the processes that may grant the permits of an endpoint: those in
// its availability zone, then the others, each in rendezvous order.
func (l *Limiter) grantors(r *record) []member.Instance {
	now := l.timers.Uptime()
	if r.order != nil && now-r.orderAt < orderTime {
		return r.order
	}
	r.order, r.orderAt = nil, now
	byID := map[string]member.Instance{}
	var inZone, others []string
	for _, m := range l.members(now) {
		byID[m.ID] = m
		if m.Zone == r.endpoint.Zone {
			inZone = append(inZone, m.ID)
		} else {
			others = append(others, m.ID)
		}
	}
	for _, id := range append(member.Rank(r.endpoint.ID, inZone), member.Rank(r.endpoint.ID, others)...) {
		r.order = append(r.order, byID[id])
	}
	return r.order
}

// comesBefore reports whether a comes before b in the order of an endpoint. It does not
// depend on the list of members.
func comesBefore(e Endpoint, a, b *Process) bool {
	if (a.GetZone() == e.Zone) != (b.GetZone() == e.Zone) {
		return a.GetZone() == e.Zone
	}
	return member.First(e.ID, []string{a.GetName(), b.GetName()}) == a.GetName()
}
