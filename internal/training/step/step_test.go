package step

import (
	"testing"
)

// Guards against groups that are lost or delivered twice when pulls go to
// different instances.
func TestPullsAtAllInstancesCompleteTheStep(t *testing.T) {
	w := newWorld(t, 3)
	got := w.pullAll(t, pullOf(1, 20, 4), "i-0", "i-1", "i-2")
	if len(got) != 80 || w.gen.count() != 80 {
		t.Fatalf("%d samples from %d generations, want 80 each", len(got), w.gen.count())
	}
}
