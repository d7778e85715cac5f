package version

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
)

// Guards against a version that steps back when the store answers older data or a
// notice comes late, and against a refresh that passes over a failed read.
func TestVersionsNeverStepBack(t *testing.T) {
	var receive func(key string, payload []byte)
	stored, failure, observed := "", error(nil), []int{}
	v := New(clock.NewSystem(), Seams{
		List: func(_ context.Context, after uint64, wait time.Duration) ([]Object, uint64, error) {
			if after != 0 || wait != 0 {
				t.Errorf("List after %d with a wait of %v, want all objects at once", after, wait)
			}
			return []Object{{Name: "t", Revision: 1, Value: []byte(stored)}}, 1, failure
		},
		Post:      func(string, string, []byte, time.Duration) {},
		Subscribe: func(_ string, f func(string, []byte)) { receive = f },
		Observe:   func(_ string, version int) { observed = append(observed, version) },
	}, logs.Discard())
	for _, step := range []struct {
		notice, stored string
		failure        error
		want           int
	}{
		{notice: "4", want: 4},
		{stored: `{"version":5}`, failure: errors.New("the store does not answer"), want: 4},
		{stored: `{"version":5}`, want: 5},
		{stored: `{"version":3}`, want: 5},
		{notice: "4", want: 5},
	} {
		if step.notice != "" {
			receive("t", []byte(step.notice))
		} else {
			stored, failure = step.stored, step.failure
			if err := v.Refresh(t.Context()); !errors.Is(err, step.failure) {
				t.Errorf("Refresh = %v, want %v", err, step.failure)
			}
		}
		if got, known := v.Version("t"); !known || got != step.want {
			t.Errorf("after notice %q and stored %s: version %d, known %v, want %d", step.notice, step.stored, got, known, step.want)
		}
	}
	if len(observed) != 2 {
		t.Errorf("observed versions %v, want 4 and 5", observed)
	}
}
