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
	// maxScarceDoublings bounds how long an endpoint gets no background request after
	// reports without headroom: loadMaxAge after the first one, doubled with each
	// further one in a row. Then one background request at a time finds out whether there
	// is headroom again. A fixed time of loadMaxAge let 18 of 60 requests a second pass
	// to 10 endpoints without headroom.
	maxScarceDoublings = 2
)

// occupancy is what this process knows of the use of an endpoint's slots. Sent is the
// number of its requests that were sent since the latest report, age the report's age,
// and scarce the number of reports in a row without headroom.
type occupancy struct {
	slots, inFlight, sent, scarce int
	reported                      bool
	load                          Load
	age                           time.Duration
}

// headroom reports whether the endpoint can take one more background request without
// delaying interactive ones.
func (o occupancy) headroom() bool {
	switch {
	case o.scarce > 0 && o.age < loadMaxAge<<min(o.scarce-1, maxScarceDoublings):
		return false
	case o.scarce > 0:
		return o.inFlight == 0
	case o.reported && o.age < loadMaxAge:
		return !o.load.scarce(o.slots, max(o.inFlight, o.load.Running+o.load.Waiting+o.sent))
	}
	return o.inFlight < max(1, int(unreportedShare*float64(o.slots)))
}

// scarce reports whether an endpoint with this load and this many requests has no
// headroom.
func (l Load) scarce(slots, requests int) bool {
	reserved := min(slots-1, int(math.Ceil(reservedShare*float64(slots))))
	return l.Waiting > 0 || requests >= max(1, slots-reserved)
}

// observeScarcity counts the reports in a row with waiting requests.
func (s *endpointState) observeScarcity(load Load) {
	if load.Waiting == 0 {
		s.scarceReports = 0
		return
	}
	s.scarceReports++
}

// headroom reports whether the endpoint takes a background request now. Endpoints that
// failed recently do not: the request is not urgent enough to try them.
func (s *endpointState) headroom(now time.Time) bool {
	if now.Before(s.backoffUntil) {
		return false
	}
	return occupancy{
		slots: s.Slots, inFlight: s.inFlight, sent: s.sentSinceReport, scarce: s.scarceReports,
		reported: !s.loadAt.IsZero(), load: s.load, age: now.Sub(s.loadAt),
	}.headroom()
}
