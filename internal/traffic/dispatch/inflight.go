package dispatch

import (
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/control/roster"
)

// inflight counts this instance's running requests by endpoint. Load reports
// are seconds old, so what has been started or has ended here since a report is
// added to it; otherwise all requests go to the endpoint that was the least
// loaded at its last report.
type inflight struct {
	mu        sync.Mutex
	endpoints map[string]*started
}

type started struct {
	running int
	// atReport is the count when the report at the given time was first used.
	atReport int
	report   time.Time
}

func newInflight() *inflight { return &inflight{endpoints: map[string]*started{}} }

func (f *inflight) get(endpoint string) *started {
	s, ok := f.endpoints[endpoint]
	if !ok {
		s = &started{}
		f.endpoints[endpoint] = s
	}
	return s
}

// track counts a request until its slot is released.
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

// load estimates the endpoint's present load relative to its limit.
func (f *inflight) load(endpoint string, report roster.Load) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.get(endpoint)
	if !s.report.Equal(report.At) {
		s.report, s.atReport = report.At, s.running
	}
	now := max(report.Running+report.Waiting+s.running-s.atReport, s.running)
	return float64(now) / float64(report.Limit)
}
