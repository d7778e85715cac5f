package replica

import (
	"slices"
	"time"
)

// UsualEventTime returns the median of the event times that were measured lately at the
// endpoints of a service, or 0 when there are none.
func (f *Fleet) UsualEventTime(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timers.Now()
	var times []time.Duration
	for _, s := range f.states {
		if s.Service == service && f.paceKnown(s, now) && f.usable(s) {
			times = append(times, s.eventTime)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}

func (f *Fleet) paceKnown(s *endpointState, now time.Time) bool {
	return s.eventTime > 0 && now.Sub(s.eventTimeAt) <= eventTimeMaxAge
}

// Occupancy returns the requests at the endpoints that match the request, those of
// other processes included where a fresh load report tells of them, and their slots.
func (f *Fleet) Occupancy(want Requirements) (busy, slots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timers.Now()
	for _, s := range f.states {
		if !f.matches(s, want) {
			continue
		}
		used := s.inFlight
		if now.Sub(s.loadAt) < loadMaxAge {
			used = max(used, s.load.Running+s.load.Waiting)
		}
		busy += min(used, s.Slots)
		slots += s.Slots
	}
	return busy, slots
}

// Comparison tells what a request at an endpoint would gain elsewhere. Here is the event
// time of the endpoint, 0 when it was not measured lately. There is that of the fastest
// other endpoint with room: the usual one when none of them was measured, and 0 when none
// has room. Loading means that the endpoint changes weights.
type Comparison struct {
	Here, There time.Duration
	Loading     bool
}

// Compare compares the named endpoint with the others that the request could go to now.
// usual is the event time of endpoints that were not measured.
func (f *Fleet) Compare(id string, want Requirements, usual time.Duration) Comparison {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timers.Now()
	var c Comparison
	if s, known := f.states[id]; known {
		c.Loading = s.loading != ""
		if f.paceKnown(s, now) {
			c.Here = s.eventTime
		}
	}
	room := false
	for _, s := range f.states {
		if s.ID == id || now.Before(s.backoffUntil) || !f.matches(s, want) || !f.takesNow(s, now) {
			continue
		}
		room = true
		if f.paceKnown(s, now) && (c.There == 0 || s.eventTime < c.There) {
			c.There = s.eventTime
		}
	}
	if room && c.There == 0 {
		c.There = usual
	}
	return c
}
