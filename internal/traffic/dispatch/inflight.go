package dispatch

import (
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/control/roster"
)

// reportWeight is the weight of the load report in an endpoint's estimated load.
// Reports are seconds old. When they alone decided, all instances followed the
// same report, and the running requests of an engine oscillated between 0 and 15
// of 16.
const reportWeight = 0.25

// inflight counts this instance's running requests by endpoint. The counts are
// current, unlike load reports. The other instances of the endpoint's zone are
// assumed to run as many.
type inflight struct {
	mu        sync.Mutex
	endpoints map[string]*endpointCount
}

type endpointCount struct {
	running int
	// atReport is the count when the load report of reportTime was first used.
	atReport   int
	reportTime time.Time
}

func newInflight() *inflight { return &inflight{endpoints: map[string]*endpointCount{}} }

func (f *inflight) get(endpoint string) *endpointCount {
	s, ok := f.endpoints[endpoint]
	if !ok {
		s = &endpointCount{}
		f.endpoints[endpoint] = s
	}
	return s
}

// track counts a request as running until its slot is released.
func (f *inflight) track(endpoint string, slot Slot) Slot {
	f.add(endpoint, 1)
	return Slot{Release: func(o Outcome) {
		f.add(endpoint, -1)
		slot.Release(o)
	}}
}

func (f *inflight) add(endpoint string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.get(endpoint).running += n
}

func (f *inflight) forget(endpoint string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.endpoints, endpoint)
}

// running returns the number of this instance's running requests on the endpoint.
func (f *inflight) running(endpoint string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, known := f.endpoints[endpoint]; known {
		return s.running
	}
	return 0
}

// load estimates the endpoint's current load relative to its limit, when the
// given number of instances share the endpoint.
func (f *inflight) load(endpoint string, report roster.Load, instances int) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.get(endpoint)
	if !s.reportTime.Equal(report.At) {
		s.reportTime, s.atReport = report.At, s.running
	}
	reported := max(report.Running+report.Waiting+s.running-s.atReport, s.running)
	estimated := s.running * max(instances, 1)
	return (reportWeight*float64(reported) + (1-reportWeight)*float64(estimated)) / float64(report.Limit)
}
