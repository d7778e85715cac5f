package clock

import (
	"sync"
	"time"
)

const (
	// maxDeviation is how far the time of day may differ from the time that has
	// passed. It is followed at once, since clocks are adjusted in small steps.
	maxDeviation = 500 * time.Millisecond
	// maxStepDelay is how long at most a larger deviation must last until it is
	// followed. A machine may correct its clock long after the start of a process.
	maxStepDelay = 5 * time.Minute
)

// WithoutSteps returns a copy whose time of day goes on with the uptime while the time of
// day of the machine is set ahead or back. It follows such a step once that has lasted as
// long as the time of day before it was known, or for maxStepDelay. Its time of day is as
// wrong as that of the machine was when WithoutSteps was called.
func (s *Service) WithoutSteps() *Service {
	steady := &steadyTime{source: s, base: s.now(), at: s.uptime(), stableSince: s.uptime()}
	copied := *s
	copied.now = steady.now
	return &copied
}

// steadyTime is a time of day that was read at an uptime, and the deviation of the time
// of day from it.
type steadyTime struct {
	source *Service

	mu          sync.Mutex
	base        time.Time
	at          time.Duration // uptime of base
	stableSince time.Duration // uptime from which on the time of day had no step
	deviation   time.Duration // 0 while the time of day is followed
	since       time.Duration // uptime from which on the deviation has lasted
}

func (s *steadyTime) now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	read, uptime := s.source.now(), s.source.uptime()
	steady := s.base.Add(uptime - s.at)
	// Round removes the monotonic clock readings.
	deviation := read.Round(0).Sub(steady.Round(0))
	if deviation.Abs() <= maxDeviation {
		s.follow(read, uptime)
		return read
	}
	if (deviation - s.deviation).Abs() > maxDeviation {
		s.deviation, s.since = deviation, uptime
	}
	if uptime-s.since < min(s.since-s.stableSince, maxStepDelay) {
		return steady
	}
	s.stableSince = s.since
	s.follow(read, uptime)
	return read
}

func (s *steadyTime) follow(read time.Time, uptime time.Duration) {
	s.base, s.at, s.deviation = read, uptime, 0
}
