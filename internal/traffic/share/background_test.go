package share

import (
	"testing"
	"time"
)

// Guards against scoring calls that wait until their item is late, and against waits
// that ignore how long such a call takes at the moment.
func TestLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name   string
		due    time.Time
		usual  time.Duration
		spread float64
		want   time.Duration
	}{
		{"no due time", time.Time{}, 80 * time.Millisecond, 0, 0},
		{"overdue", now.Add(-time.Second), 80 * time.Millisecond, 0, 0},
		{"due within the usual time", now.Add(200 * time.Millisecond), 80 * time.Millisecond, 0, 0},
		{"due later", now.Add(4240 * time.Millisecond), 80 * time.Millisecond, 0, 2 * time.Second},
		{"spread", now.Add(4240 * time.Millisecond), 80 * time.Millisecond, 1, time.Second},
		{"spread out of its range", now.Add(4240 * time.Millisecond), 80 * time.Millisecond, 7, time.Second},
		{"slow calls", now.Add(4 * time.Second), time.Second, 0, 500 * time.Millisecond},
		{"unknown time", now.Add(4300 * time.Millisecond), 0, 0, 2 * time.Second},
		{"due much later", now.Add(time.Minute), 80 * time.Millisecond, 0, 2 * time.Second},
	}
	for _, c := range cases {
		if got := Limit(now, c.due, c.usual, c.spread).Sub(now); got != c.want {
			t.Errorf("%s: may wait %v, want %v", c.name, got, c.want)
		}
	}
	for spread := 0.0; spread <= 1; spread += 0.1 {
		due := now.Add(7 * time.Second)
		if left := due.Sub(Limit(now, due, time.Second, spread)); left < leadRuns*time.Second {
			t.Errorf("spread %.1f leaves %v for a call that takes 1 s", spread, left)
		}
	}
}
