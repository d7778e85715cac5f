package clock

import (
	"testing"
	"time"
)

// Guards against a time of day that jumps with that of the machine for a while, and
// against one that is never corrected.
func TestStepsAreFollowedOnlyIfTheyLast(t *testing.T) {
	start := time.Unix(1000, 0)
	timers, driver := NewDriven(start)
	steady := timers.WithoutSteps()
	passed, offset := time.Duration(0), time.Duration(0)
	steps := []struct {
		name          string
		set, advance  time.Duration
		wantDeviation time.Duration // from the time that has passed since start
	}{
		{"no step", 0, time.Hour, 0},
		{"ahead", 15 * time.Minute, 20 * time.Second, 0},
		{"right again", -15 * time.Minute, time.Hour, 0},
		{"behind", -10 * time.Minute, stepFollowDelay - time.Second, 0},
		{"another step", 20 * time.Minute, stepFollowDelay - time.Second, 0},
		{"lasting step", 0, time.Second, 10 * time.Minute},
		{"small step", 300 * time.Millisecond, 0, 10*time.Minute + 300*time.Millisecond},
	}
	for _, s := range steps {
		driver.SetBy(s.set)
		offset += s.set
		steady.Now() // sees the step
		driver.Advance(s.advance)
		passed += s.advance
		if got := steady.Now().Sub(start.Add(passed)); got != s.wantDeviation {
			t.Errorf("%s: the time of day deviates by %v, want %v; that of the machine by %v", s.name, got, s.wantDeviation, offset)
		}
	}
}

// Guards against a duration that is wrong since the time of day was set meanwhile.
func TestSystemTimeWithoutStepsKeepsMonotonicReadings(t *testing.T) {
	timers := NewSystem().WithoutSteps()
	start := timers.Now()
	if start == start.Round(0) {
		t.Error("the time has no monotonic clock reading")
	}
	if passed := timers.Since(start); passed < 0 || passed > time.Minute {
		t.Errorf("%v passed between two calls", passed)
	}
}
