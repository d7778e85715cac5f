package dispatch

import (
	"slices"
	"testing"
	"time"
)

// Guards against a suspect that gives up its reservations while another request that
// ran beside it still reports their crash: the second crash then counted as one
// beside other suspects, and the request took down a third engine.
func TestAttemptEndsAfterItsCrashWasReported(t *testing.T) {
	a := newActiveAttempts()
	endSuspect := a.start("e1", &activeAttempt{digest: "suspect", suspect: true})
	endOther := a.start("e1", &activeAttempt{digest: "other"})
	reporting, made := make(chan []string), make(chan struct{})
	go func() {
		a.reportCrash("e1", func(digests []string) {
			reporting <- digests
			<-made
		})
		endOther()
	}()
	digests := <-reporting
	slices.Sort(digests)
	if !slices.Equal(digests, []string{"other", "suspect"}) {
		t.Errorf("reported %q, want both", digests)
	}
	ended := make(chan struct{})
	go func() {
		a.reportCrash("e1", func(digests []string) { t.Errorf("reported again: %q", digests) })
		endSuspect()
		close(ended)
	}()
	select {
	case <-ended:
		t.Error("the suspect ended before its crash was reported")
	case <-time.After(50 * time.Millisecond):
	}
	close(made)
	<-ended
}
