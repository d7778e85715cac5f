package replica

import (
	"math"
	"time"
)

const (
	// reservedShare is the part of an endpoint's slots that background requests leave
	// free, so that an interactive request finds a slot before the next report.
	reservedShare = 0.25
	// unreportedShare is the part of the slots that the background requests of this
	// process may use at an endpoint without a recent report, for example after a
	// restart.
	unreportedShare = 0.5
	// scarceMaxAge is the age up to which a report without headroom restricts background
	// requests. From loadMaxAge on one of them at a time is sent, whose answer brings a new
	// report. A pause that grows with each such report was worse in bursts that are longer
	// than a background request may wait.
	scarceMaxAge = 2 * time.Second
)

// occupancy is what this process knows of the use of an endpoint's slots. Sent is the
// number of its requests that were sent since the latest report, and age the report's age.
type occupancy struct {
	slots, inFlight, sent int
	reported              bool
	load                  Load
	age                   time.Duration
}

// headroom reports whether the endpoint can take one more background request without
// delaying interactive ones.
func (o occupancy) headroom() bool {
	if !o.reported || o.age >= scarceMaxAge {
		return o.inFlight < max(1, int(unreportedShare*float64(o.slots)))
	}
	reserved := min(o.slots-1, int(math.Ceil(reservedShare*float64(o.slots))))
	busy := max(o.inFlight, o.load.Running+o.sent)
	free := o.load.Waiting == 0 && busy < max(1, o.slots-reserved)
	return free || (o.age >= loadMaxAge && o.inFlight == 0)
}

// headroom reports whether the endpoint takes a background request now. Endpoints that
// failed recently do not: the request is not urgent enough to try them.
func (s *endpointState) headroom(now time.Time) bool {
	if now.Before(s.backoffUntil) {
		return false
	}
	return occupancy{
		slots: s.Slots, inFlight: s.inFlight, sent: s.sentSinceReport,
		reported: !s.loadAt.IsZero(), load: s.load, age: now.Sub(s.loadAt),
	}.headroom()
}
