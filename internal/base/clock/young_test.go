package clock

import (
	"testing"
	"time"
)

// Guards against a process that follows a wrong time of day since it started shortly
// before the clock of the machine went wrong.
func TestYoungProcessFollowsNoShortStep(t *testing.T) {
	const wrong, known, lasts = 15 * time.Minute, 5 * time.Second, 20 * time.Second
	timers, driver := NewDriven(time.Unix(1000, 0))
	steady := timers.WithoutSteps()
	driver.Advance(known)
	steady.Now()
	driver.SetBy(wrong)
	for passed := time.Duration(0); passed < lasts; passed += time.Second {
		if ahead := timers.Now().Sub(steady.Now()); ahead != wrong {
			t.Fatalf("the wrong time of day is followed %v after the step, which lasts for %v", passed, lasts)
		}
		driver.Advance(time.Second)
	}
}
