package dispatch

import (
	"net/http"
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/control/roster"
	"github.com/wigeonpin/wigeonpin/internal/fleet/cost"
)

// speeds learns the work of calls to plain services and the speed of their endpoints from
// the times of answered calls. The times of generated texts depend on their lengths and
// are not used, so that all engines count as equally fast.
type speeds struct {
	mu        sync.Mutex
	zone      string                 // of this instance
	models    map[string]*cost.Model // by service
	endpoints map[string]cost.Speed
}

func newSpeeds(zone string) *speeds {
	return &speeds{zone: zone, models: map[string]*cost.Model{}, endpoints: map[string]cost.Speed{}}
}

// observe records the time of an answered call. Failures say nothing about the speed,
// and neither do answers that are read at the speed of the caller.
func (s *speeds) observe(e roster.Endpoint, call ServiceCall, answer *Answer, took time.Duration, now time.Time) {
	if answer.Rest != nil || answer.Status >= http.StatusBadRequest {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m, known := s.models[call.Model]
	if !known {
		m = &cost.Model{}
		s.models[call.Model] = m
	}
	class := cost.Class{Name: call.Model + " " + call.Method, Remote: e.Zone != s.zone}
	if ratio, known := m.Ratio(class, took); known {
		s.endpoints[e.ID] = s.endpoints[e.ID].WithTime(ratio, now)
	}
	m.Observe(class, took, 1)
}

// pace returns the pace of an endpoint.
func (s *speeds) pace(endpoint string, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints[endpoint].Pace(now)
}

func (s *speeds) forget(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.endpoints, endpoint)
}

// paces returns the pace in percent of each endpoint that is not as fast as usual.
func (s *speeds) paces(now time.Time) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for id, speed := range s.endpoints {
		if percent := int(100*speed.Pace(now) + 0.5); percent != 100 {
			out[id] = percent
		}
	}
	return out
}

// works returns the expected time of a call in microseconds by class.
func (s *speeds) works() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int64{}
	for _, m := range s.models {
		for class, work := range m.Works() {
			out[class] = work.Microseconds()
		}
	}
	return out
}
