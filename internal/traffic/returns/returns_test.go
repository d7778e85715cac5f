package returns

import (
	"slices"
	"testing"
	"time"
)

// Guards against a burst of refused callers that come back at one moment: at
// no time may many more return than are served.
func TestReturnsAreSpread(t *testing.T) {
	const rate = 100 // requests a second
	s, now := New(), time.Unix(1000, 0)
	var waits []time.Duration
	for range 150 {
		waits = append(waits, s.Next(now, rate))
	}
	slices.Sort(waits)
	if waits[0] < Shortest || waits[len(waits)-1] > Longest {
		t.Errorf("times from %v to %v", waits[0], waits[len(waits)-1])
	}
	const span = 200 * time.Millisecond
	for i := range waits {
		count := 0
		for _, w := range waits[i:] {
			if w < waits[i]+span {
				count++
			}
		}
		if most := int(2 * rate * span.Seconds()); count > most {
			t.Errorf("%d of 150 return within %v of %v, want at most %d", count, span, waits[i], most)
		}
	}
}

// Guards against times that grow without end under lasting overload, and that
// stay long once it is over.
func TestTimesFollowTheBacklog(t *testing.T) {
	s, now := New(), time.Unix(1000, 0)
	for range 10_000 {
		if wait := s.Next(now, 10); wait > Longest || wait < Shortest {
			t.Fatalf("told to wait %v", wait)
		}
	}
	now = now.Add(Longest)
	if wait := s.Next(now, 10); wait > 2*Shortest {
		t.Errorf("told to wait %v after the backlog is gone", wait)
	}
}

// Guards against callers that are all sent back at one moment, or at once,
// while no endpoint serves.
func TestReturnsWhileNothingIsServed(t *testing.T) {
	s, told := New(), map[time.Duration]bool{}
	for range 100 {
		wait := s.Next(time.Unix(1000, 0), 0)
		if wait < idleWait/2 || wait > 2*idleWait {
			t.Fatalf("told to wait %v", wait)
		}
		told[wait] = true
	}
	if len(told) < 50 {
		t.Errorf("100 callers were told %d different times", len(told))
	}
}
