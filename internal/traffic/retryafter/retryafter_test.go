package retryafter

import (
	"slices"
	"testing"
	"time"
)

// Guards against a burst of refused callers that retry at the same moment: in
// no period may many more retry than are served.
func TestRetriesAreSpread(t *testing.T) {
	const rate = 100 // requests a second
	s, now := New(), time.Unix(1000, 0)
	var waits []time.Duration
	for range 150 {
		waits = append(waits, s.Next(now, rate))
	}
	slices.Sort(waits)
	if waits[0] < MinWait || waits[len(waits)-1] > MaxWait {
		t.Errorf("retry-after times range from %v to %v, want %v to %v", waits[0], waits[len(waits)-1], MinWait, MaxWait)
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
			t.Errorf("%d of 150 callers retry within %v after %v, want at most %d", count, span, waits[i], most)
		}
	}
}

// Guards against retry-after times that grow without bound under lasting
// overload, or stay long after it has ended.
func TestTimesFollowTheBacklog(t *testing.T) {
	s, now := New(), time.Unix(1000, 0)
	for range 10_000 {
		if wait := s.Next(now, 10); wait > MaxWait || wait < MinWait {
			t.Fatalf("retry-after time %v, want %v to %v", wait, MinWait, MaxWait)
		}
	}
	now = now.Add(MaxWait)
	if wait := s.Next(now, 10); wait > 2*MinWait {
		t.Errorf("retry-after time %v after the backlog is gone, want at most %v", wait, 2*MinWait)
	}
}

// Guards against callers that all retry at the same moment, or immediately,
// while no endpoint serves requests.
func TestRetriesWhileNothingIsServed(t *testing.T) {
	s, seen := New(), map[time.Duration]bool{}
	for range 100 {
		wait := s.Next(time.Unix(1000, 0), 0)
		if wait < idleWait/2 || wait > 2*idleWait {
			t.Fatalf("retry-after time %v, want %v to %v", wait, idleWait/2, 2*idleWait)
		}
		seen[wait] = true
	}
	if len(seen) < 50 {
		t.Errorf("100 callers got %d different retry-after times, want at least 50", len(seen))
	}
}
