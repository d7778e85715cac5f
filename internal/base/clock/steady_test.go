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
		{"behind", -10 * time.Minute, maxStepDelay - time.Second, 0},
		{"another step", 20 * time.Minute, maxStepDelay - time.Second, 0},
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

// Guards against a process that starts while the time of day is wrong, and keeps it for
// long after it was corrected.
func TestWrongTimeAtStartIsCorrectedSoon(t *testing.T) {
	const wrong, known = 15 * time.Minute, 10 * time.Second
	timers, driver := NewDriven(time.Unix(1000, 0).Add(wrong))
	steady := timers.WithoutSteps()
	driver.Advance(known)
	steady.Now()
	driver.SetBy(-wrong)
	steady.Now() // sees the step
	driver.Advance(known - time.Second)
	if ahead := steady.Now().Sub(timers.Now()); ahead != wrong {
		t.Errorf("the time of day is ahead by %v, want %v before the new one is known as long as the first one", ahead, wrong)
	}
	driver.Advance(time.Second)
	if got, want := steady.Now(), timers.Now(); !got.Equal(want) {
		t.Errorf("the time of day is %v, want %v", got, want)
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
