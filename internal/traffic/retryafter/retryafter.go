// Package retryafter computes the retry-after times of refused callers. Callers
// that are refused together would retry together and be refused again, so each
// gets its own time: retries are scheduled at the rate at which requests are
// served, after those that were scheduled before.
//
// # Usage
//
//	schedule := retryafter.New()
//	wait := schedule.Next(now, 120) // 120 requests a second are served
package retryafter

import (
	"math/rand/v2"
	"sync"
	"time"
)

// The bounds of a retry-after time.
const (
	MinWait = 100 * time.Millisecond
	MaxWait = 2 * time.Second
)

// jitter is the random part added to a retry-after time, as a fraction of it.
// Other processes schedule retries without knowing of these.
const jitter = 0.3

// idleWait is the mean retry-after time while nothing is served. Endpoints that
// restart need about that long.
const idleWait = 500 * time.Millisecond

// Schedule assigns the retry-after times of one service. It is safe for
// concurrent use.
type Schedule struct {
	mu   sync.Mutex
	last time.Time // the latest scheduled retry
}

// New returns an empty schedule.
func New() *Schedule { return &Schedule{} }

// Next returns the retry-after time of the next refused caller, when rate
// requests are served a second. At rate 0 nothing is served, and the times are
// drawn around idleWait. Once the schedule reaches MaxWait, further callers get
// random times in the upper half of it.
func (s *Schedule) Next(now time.Time, rate float64) time.Duration {
	if rate <= 0 {
		return idleWait/2 + rand.N(idleWait)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if first := now.Add(MinWait); s.last.Before(first) {
		s.last = first
	} else {
		s.last = s.last.Add(time.Duration(float64(time.Second) / rate))
	}
	wait := s.last.Sub(now)
	if wait > MaxWait {
		s.last = now.Add(MaxWait)
		return MaxWait/2 + rand.N(MaxWait/2)
	}
	return min(MaxWait, wait+time.Duration(jitter*rand.Float64()*float64(wait)))
}
