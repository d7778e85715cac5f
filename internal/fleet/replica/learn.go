package replica

import (
	"time"

	"github.com/wigeonpin/wigeonpin/internal/fleet/cost"
)

// model returns the cost model of a service.
func (f *Fleet) model(service string) *cost.Model {
	m, known := f.models[service]
	if !known {
		m = &cost.Model{}
		f.models[service] = m
	}
	return m
}

// learn records the time of an answered request. Times that say nothing about the usual
// speed of an endpoint are left out: those of requests that may have waited there, and
// those of cold endpoints.
func (f *Fleet) learn(s *Slot, st *endpointState, now time.Time) {
	waited := st.inFlight > max(1, st.Slots) || now.Sub(st.loadAt) < loadMaxAge && st.load.Waiting > 0
	if s.class == "" || s.untimed || waited || now.Before(st.coldUntil) {
		return
	}
	m, took := f.model(st.Service), f.timers.Uptime()-s.sentAt
	class := cost.Class{Name: s.class, Remote: f.remote(st)}
	if ratio, known := m.Ratio(class, took); known {
		st.speed = st.speed.WithTime(ratio, now)
	}
	m.Observe(class, took, st.speed.Reported(now))
}

// IgnoreTime records that the time until Done says nothing about the endpoint.
func (s *Slot) IgnoreTime() {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.untimed = true
}

// Work returns the expected time of a request of the class on an endpoint of usual speed,
// or 0 when it is unknown.
func (f *Fleet) Work(service, class string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.model(service).Work(class)
}

// Works returns the expected time of a request in microseconds by class.
func (f *Fleet) Works() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]int64{}
	for _, m := range f.models {
		for class, work := range m.Works() {
			out[class] = work.Microseconds()
		}
	}
	return out
}

// Paces returns the pace in percent of each endpoint that is not as fast as usual.
func (f *Fleet) Paces() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]int{}
	for id, s := range f.states {
		if percent := int(100*s.speed.Pace(f.timers.Now()) + 0.5); percent != 100 {
			out[id] = percent
		}
	}
	return out
}
