// Package returns tells refused callers when to come back. Callers that are
// refused together would return together and be refused again; each gets a time
// of its own, at the rate at which requests are served, behind those that were
// told before.
//
// # Usage
//
//	schedule := returns.New()
//	wait := schedule.Next(now, 120) // 120 requests a second are served
package returns

import (
	"math/rand/v2"
	"sync"
	"time"
)

// The bounds of the time that a caller is told to wait.
const (
	Shortest = 100 * time.Millisecond
	Longest  = 2 * time.Second
)

// spread is the part of the time that is drawn by lot, since other processes
// tell times as well and know nothing of these.
const spread = 0.3

// idleWait is the mean time that callers are told to wait while nothing is
// served: endpoints that restart need about that long.
const idleWait = 500 * time.Millisecond

// Schedule gives out the times of one service. It is safe for concurrent use.
type Schedule struct {
	mu   sync.Mutex
	last time.Time // the latest time that was given out
}

// New returns an empty schedule.
func New() *Schedule { return &Schedule{} }

// Next returns how long the next refused caller is to wait, when rate requests
// are served a second; at 0 nothing is served, and callers come back around
// idleWait. Once the schedule
// reaches Longest, further callers share the second half of that time.
func (s *Schedule) Next(now time.Time, rate float64) time.Duration {
	if rate <= 0 {
		return idleWait/2 + rand.N(idleWait)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if first := now.Add(Shortest); s.last.Before(first) {
		s.last = first
	} else {
		s.last = s.last.Add(time.Duration(float64(time.Second) / rate))
	}
	wait := s.last.Sub(now)
	if wait > Longest {
		s.last = now.Add(Longest)
		return Longest/2 + rand.N(Longest/2)
	}
	return min(Longest, wait+time.Duration(spread*rand.Float64()*float64(wait)))
}
