package priority

import (
	"math/rand/v2"
	"testing"
	"time"
)

func always(slots int) func(int) int { return func(int) int { return slots } }

// halfLost loses half of the slots for 20 s in the middle.
func halfLost(slots int) func(int) int {
	return func(tick int) int {
		if tick >= 500 && tick < 900 {
			return slots / 2
		}
		return slots
	}
}

// Guards against an order that makes more steps late than the former one, the oldest
// batch first and the longest hint first in it, under the loads that it is for. The
// groups that a step leaves come again in the next one.
func TestMoreStepsAreInTime(t *testing.T) {
	for _, c := range []struct {
		name string
		load scenario
		gain float64 // the least difference of the shares in time
	}{
		{"long tail, weak hints", scenario{4, 9, 16, always(150), "weak"}, 0.2},
		{"long tail, small groups", scenario{4, 26, 8, always(180), "right"}, 0.2},
		{"half of the engines lost", scenario{2, 26, 8, halfLost(200), "weak"}, 0},
		{"no hints", scenario{2, 9, 16, always(90), "none"}, -0.02},
		{"enough slots", scenario{2, 9, 16, always(150), "weak"}, -0.01},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			former, present := playScenario(c.load, true), playScenario(c.load, false)
			t.Logf("in time: %.3f of %d steps formerly, %.3f of %d now", former.share, former.steps, present.share, present.steps)
			if present.share < former.share+c.gain {
				t.Errorf("%.3f of the steps are in time, %.3f with the former order, want a gain of %.2f", present.share, former.share, c.gain)
			}
		})
	}
}

// Guards against late steps that wait until their items are given up, after 30 s, as
// there are too few slots for the steps that can be in time.
func TestNoStepWaitsForItsTimeLimit(t *testing.T) {
	const limit = 25 * time.Second
	if r := playScenario(scenario{4, 9, 16, always(120), "weak"}, false); r.longest > limit {
		t.Errorf("a step took %v, want at most %v", r.longest, limit)
	} else {
		t.Logf("in time: %.3f of %d steps, the longest took %v", r.share, r.steps, r.longest)
	}
}

// stepOf returns a step whose groups have one item each, with the given seconds left.
func stepOf(due float64, wanted int, awaited []bool, left ...float64) Step {
	s := Step{Due: seconds(due), Wanted: wanted, Awaited: make([]bool, len(left))}
	copy(s.Awaited, awaited)
	for g, l := range left {
		s.Items = append(s.Items, Item{Group: g, Left: seconds(l)})
	}
	return s
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Guards against items that start before ones that a step needs more urgently.
func TestOrder(t *testing.T) {
	lost := stepOf(8, 1, nil, 1, 2)
	lost.Items[0].State = Lost
	for _, c := range []struct {
		name  string
		steps []Step
		want  [][2]int
	}{
		{"the longest first", []Step{stepOf(8, 0, nil, 1, 3, 2)}, [][2]int{{0, 1}, {0, 2}, {0, 0}}},
		{"equal ones as submitted", []Step{stepOf(8, 0, nil, 2, 2, 2)}, [][2]int{{0, 0}, {0, 1}, {0, 2}}},
		{"the longest group is not needed", []Step{stepOf(8, 2, nil, 1, 7, 2)}, [][2]int{{0, 2}, {0, 0}, {0, 1}}},
		{"an awaited group is needed", []Step{stepOf(8, 2, []bool{false, true, false}, 1, 7, 2)}, [][2]int{{0, 1}, {0, 0}, {0, 2}}},
		{"more awaited groups than wanted", []Step{stepOf(8, 1, []bool{true, true, false}, 3, 7, 1)}, [][2]int{{0, 1}, {0, 0}, {0, 2}}},
		{"another group replaces a lost one", []Step{lost}, [][2]int{{0, 1}}},
		{"less slack in a later step", []Step{stepOf(6, 0, nil, 1), stepOf(8, 0, nil, 7)}, [][2]int{{1, 0}, {0, 0}}},
		{"a late step after one in time", []Step{stepOf(1, 0, nil, 5), stepOf(8, 0, nil, 2)}, [][2]int{{1, 0}, {0, 0}}},
		{"a step that is overdue for long", []Step{stepOf(-5, 1, nil, 3, 4), stepOf(8, 0, nil, 2)}, [][2]int{{0, 0}, {1, 0}, {0, 1}}},
		{"a late step before groups not needed", []Step{stepOf(-1, 0, nil, 5), stepOf(8, 1, nil, 2, 3)}, [][2]int{{1, 0}, {0, 0}, {1, 1}}},
	} {
		places := Order(c.steps)
		if len(places) != len(c.want) {
			t.Errorf("%s: %d places, want %d", c.name, len(places), len(c.want))
			continue
		}
		for i, p := range places {
			if p.Step != c.want[i][0] || p.Item != c.want[i][1] {
				t.Errorf("%s: place %d has item %d of step %d, want item %d of step %d", c.name, i, p.Item, p.Step, c.want[i][1], c.want[i][0])
			}
		}
	}
}

// Guards against a late step that gets no slot while fresh steps always need them, and
// against one that takes them all.
func TestLateStepHasAShare(t *testing.T) {
	late, fresh := stepOf(-1, 0, nil, 3, 2, 1), stepOf(8, 0, nil, make([]float64, 20)...)
	for i := range 16 {
		fresh.Items[i].State = Running
	}
	places := Order([]Step{late, fresh})
	for i, p := range places[:3] {
		if isLate := p.Class == Late; isLate != (i < 2) {
			t.Errorf("place %d has an item of class %v, want 2 late ones first", i, p.Class)
		}
	}
}

// Guards against estimates that ignore what is known of the lengths.
func TestRemaining(t *testing.T) {
	l := NewLengths()
	if short, long := l.Remaining(10*tokensPerEvent, 0), l.Remaining(100*tokensPerEvent, 0); short >= long {
		t.Errorf("%.0f and %.0f events, want more for the longer hint", short, long)
	}
	if l.Remaining(0, 0) != l.Remaining(0, 0) || l.Remaining(0, 0) < 10 {
		t.Errorf("%.0f events without a hint, want the usual length", l.Remaining(0, 0))
	}
	if left := l.Remaining(20*tokensPerEvent, 100); left < 10 {
		t.Errorf("%.1f further events of a text that has outlived its estimate, want at least 10", left)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for range 2 * sampleSize {
		events := 40 + random.IntN(20)
		l.Observe(int64(80*events), events) // an event has 80 tokens here
	}
	if left := l.Remaining(80*50, 0); left < 40 || left > 60 {
		t.Errorf("%.1f events, want about 50 as the texts had that ended", left)
	}
	if left := l.Remaining(0, 45); left < 2 || left > 15 {
		t.Errorf("%.1f further events after 45, want about 7 as the longer texts had", left)
	}
}

// Guards against long texts that stay on an engine on which they are late, and against
// moves that nothing needs.
func TestMove(t *testing.T) {
	urgent := Run{
		Class: InTime, Slack: seconds(0.2), Left: 60, Ran: seconds(2), Silent: seconds(0.05), Started: true,
		Here: seconds(0.05), There: seconds(0.05), OthersStream: true,
	}
	for name, c := range map[string]struct {
		change func(*Run)
		want   Reason
	}{
		"usual":              {func(*Run) {}, Stay},
		"slow":               {func(r *Run) { r.Here = seconds(0.175) }, Slow},
		"slow with slack":    {func(r *Run) { r.Here, r.Slack = seconds(0.175), seconds(8) }, Stay},
		"slow, not needed":   {func(r *Run) { r.Here, r.Class = seconds(0.175), Spare }, Stay},
		"slow, nearly ready": {func(r *Run) { r.Here, r.Left = seconds(0.175), 3 }, Stay},
		"slow, just begun":   {func(r *Run) { r.Here, r.Ran = seconds(0.175), seconds(0.1) }, Stay},
		"slow, late":         {func(r *Run) { r.Here, r.Class, r.Slack = seconds(0.175), Late, -seconds(2) }, Slow},
		"silent":             {func(r *Run) { r.Silent = seconds(0.7) }, Silent},
		"silent a moment":    {func(r *Run) { r.Silent = seconds(0.4) }, Stay},
		"silent, slow model": {func(r *Run) { r.Silent, r.There = seconds(0.7), seconds(0.1) }, Stay},
		"silent with slack":  {func(r *Run) { r.Silent, r.Slack = seconds(0.7), seconds(5) }, Stay},
		"silent, all are":    {func(r *Run) { r.Silent, r.OthersStream = seconds(1.5), false }, Stay},
		"silent, loading":    {func(r *Run) { r.Silent, r.Loading = seconds(0.9), true }, Stay},
		"no first event":     {func(r *Run) { r.Silent, r.Started = seconds(0.9), false }, Stay},
		"long no event":      {func(r *Run) { r.Silent, r.Started = seconds(1.3), false }, Silent},
		"no other has room":  {func(r *Run) { r.Silent, r.There = seconds(1.5), 0 }, Stay},
	} {
		r := urgent
		c.change(&r)
		if got := Move(r); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

// BenchmarkOrder orders 4 batches of 232 items, with their estimates.
func BenchmarkOrder(b *testing.B) {
	w := &world{scenario: scenario{groups: 29, groupSize: 8}, random: rand.New(rand.NewPCG(1, 1)), lengths: NewLengths()}
	w.batches, w.carried, w.last = make([][]*worldBatch, 4), make([][][]*worldItem, 4), make([]int, 4)
	for t := range 4 {
		w.submit(t, t*20)
	}
	b.ResetTimer()
	for range b.N {
		w.reorder(100)
	}
}
