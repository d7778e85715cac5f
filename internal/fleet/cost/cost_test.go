package cost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// Guards against a few requests with unusual times that decide about a class.
func TestAverageIsRobust(t *testing.T) {
	var a Average
	for range 20 {
		a = a.With(25, workWeight)
	}
	a = a.With(2000, workWeight).With(0.01, workWeight).With(2000, workWeight)
	if a.Value() < 22 || a.Value() > 29 {
		t.Errorf("average %v after outliers, want about 25", a.Value())
	}
	for _, sample := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		if a.With(sample, workWeight) != a {
			t.Errorf("sample %v counts", sample)
		}
	}
	first := Average{}.With(2000, workWeight)
	for range 10 {
		first = first.With(25, workWeight)
	}
	if first.Value() > 60 {
		t.Errorf("average %v ten samples after a first outlier, want below 60", first.Value())
	}
}

// Guards against work that differs although nothing was learned, and against classes of
// different work that count alike.
func TestModel(t *testing.T) {
	var m Model
	if m.Relative("a") != 1 || m.Work("a") != 0 {
		t.Errorf("nothing learned: %v, %v", m.Relative("a"), m.Work("a"))
	}
	for range 300 {
		m.Observe(Class{Name: "user"}, 25*time.Millisecond, 1)
		m.Observe(Class{Name: "score"}, 200*time.Millisecond, 2.5)
		m.Observe(Class{Name: "user", Remote: true}, 31*time.Millisecond, 1)
	}
	if ratio := m.Relative("score") / m.Relative("user"); ratio < 3 || ratio > 3.4 {
		t.Errorf("scoring is %v times the work of a user's request, want 3.2", ratio)
	}
	if work := m.Work("user").Round(time.Millisecond); work != 25*time.Millisecond {
		t.Errorf("work %v, want 25ms", work)
	}
	if ratio, known := m.Ratio(Class{Name: "user", Remote: true}, 31*time.Millisecond); !known || ratio < 0.95 || ratio > 1.05 {
		t.Errorf("the distance counts as slowness: ratio %v, %v", ratio, known)
	}
	for i := range 2 * maxClasses {
		m.Observe(Class{Name: fmt.Sprint(i)}, time.Second, 1)
	}
	if len(m.classes) > maxClasses {
		t.Errorf("%d classes are kept", len(m.classes))
	}
}

// Guards against reports that are trusted when they are old, absurd or wrong, against
// slow endpoints that stay slow in the estimate, and against equal endpoints that differ.
func TestSpeed(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	usual := Speed{}
	for range 50 {
		usual = usual.WithReport(1, start)
	}
	timed := func(s Speed, ratio float64, count int) Speed {
		for range count {
			s = s.WithTime(ratio, start)
		}
		return s
	}
	// A false report: the endpoint says that it is four times as fast, and takes 1.6 times as long.
	liar := Speed{}
	for range 30 {
		liar = liar.WithReport(0.25, start).WithTime(1.6, start)
	}
	// The reports are relative to the endpoint's own usual speed.
	own := Speed{}
	for range 30 {
		own = own.WithReport(1, start).WithTime(1.6, start)
	}
	cases := []struct {
		name      string
		speed     Speed
		ms        int
		low, high float64
	}{
		{"nothing known", Speed{}, 0, 1, 1},
		{"slow now", usual.WithReport(2.5, start), 0, 2.5, 2.5},
		{"slow 100 ms ago", usual.WithReport(2.5, start), 100, 1.7, 1.9},
		{"slow 400 ms ago", usual.WithReport(2.5, start), 400, 1, 1.25},
		{"slow long ago", usual.WithReport(2.5, start), 5000, 1, 1},
		{"report from the future", usual.WithReport(2.5, at(200)), 100, 2.5, 2.5},
		{"absurdly slow", Speed{}.WithReport(1e7, start), 0, maxPace, maxPace},
		{"absurdly fast", Speed{}.WithReport(1e-7, start), 0, minPace, minPace},
		{"pace 0", Speed{}.WithReport(0, start), 0, 1, 1},
		{"negative pace", Speed{}.WithReport(-1, start), 0, 1, 1},
		{"no number", Speed{}.WithReport(math.NaN(), start), 0, 1, 1},
		{"measured slow", timed(Speed{}, 1.6, 5), 0, 1.55, 1.65},
		{"measured fast", timed(Speed{}, 0.6, 5), 0, 0.55, 0.65},
		{"measured slow once", timed(Speed{}, 9, 1), 0, 1, 1},
		{"measured slow for half the time", timed(Speed{}, 1.6, 5), 1500, 1.25, 1.35},
		{"measured slow long ago", timed(Speed{}, 1.6, 5), 3000, 1, 1},
		{"usual variation", timed(Speed{}, 1.2, 9), 0, 1, 1},
		{"usual variation below", timed(Speed{}, 0.85, 9), 0, 1, 1},
		{"false report", liar, 0, 1.3, 1.7},
		{"report relative to its own usual speed", own, 0, 1.55, 1.65},
	}
	for _, c := range cases {
		if pace := c.speed.Pace(at(c.ms)); pace < c.low || pace > c.high {
			t.Errorf("%s: pace %.3f, want %v to %v", c.name, pace, c.low, c.high)
		}
	}
}

// Guards against equal endpoints that count as uneven because the work of the requests of
// one class varies, and against a slow endpoint that goes unnoticed because of it.
func TestVaryingWork(t *testing.T) {
	for _, variation := range []float64{0.1, 0.3, 0.6, 1} {
		random := rand.New(rand.NewPCG(1, 2))
		var equal, slow Speed
		uneven, noticed := 0, 0
		const samples = 20_000
		for range samples {
			ratio := math.Exp(variation * random.NormFloat64())
			equal, slow = equal.WithTime(ratio, start), slow.WithTime(4*ratio, start)
			if equal.Pace(start) != 1 {
				uneven++
			}
			if slow.Pace(start) > 1.5 {
				noticed++
			}
		}
		t.Logf("variation %v: uneven in %.3f of the samples, slow in %.3f", variation, float64(uneven)/samples, float64(noticed)/samples)
		if float64(uneven)/samples > 0.05 {
			t.Errorf("variation %v: an equal endpoint counts as uneven in %d of %d samples", variation, uneven, samples)
		}
		if float64(noticed)/samples < 0.7 {
			t.Errorf("variation %v: a slow endpoint is noticed in %d of %d samples", variation, noticed, samples)
		}
	}
}

// Guards against processes with the same favourable report that all choose the same
// endpoint: its part of the requests is bounded by twice its part of the speed.
func TestNoHerd(t *testing.T) {
	for _, processes := range []int{6, 55, 360} {
		for _, endpoints := range []int{2, 3, 5, 16} {
			for _, pace := range []float64{0.6, 1, 1.6} {
				var candidates []Candidate
				speeds := 0.0
				for i := range endpoints {
					q, p := Queue{Ahead: 9, Slots: 6}, 1.0
					if i == 0 {
						q.Ahead, p = 0, pace
					}
					// The processes have just read the first report and no other.
					candidates = append(candidates, Candidate{Finish: Finish(q, 1, p), Pace: p, Reports: i == 0})
					speeds += 1 / p
				}
				const rounds = 200
				random := rand.New(rand.NewPCG(1, 2))
				counts := make([]int, endpoints)
				for range rounds * processes {
					var c Chooser
					counts[c.Choose(candidates, random.Float64)]++
				}
				share, bound := float64(counts[0])/(rounds*float64(processes)), 2/pace/speeds
				if share > bound+0.05 {
					t.Errorf("%d processes, %d endpoints, pace %v: the reported one gets %.2f of the requests, want at most %.2f",
						processes, endpoints, pace, share, bound)
				}
				if share < 1/float64(endpoints) {
					t.Errorf("%d processes, %d endpoints, pace %v: the free one gets only %.2f of the requests", processes, endpoints, pace, share)
				}
			}
		}
	}
}

// Guards against a choice that differs from the lowest load while nothing is known of
// the speed of endpoints.
func TestNothingLearned(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		var candidates []Candidate
		best := 0
		for i := range 1 + random.IntN(16) {
			q := Queue{Ahead: float64(random.IntN(12)), Slots: 6}
			candidates = append(candidates, Candidate{Finish: Finish(q, 1, Speed{}.Pace(start)), Pace: 1})
			if candidates[i].Finish < candidates[best].Finish {
				best = i
			}
		}
		var c Chooser
		if got := c.Choose(candidates, random.Float64); got != best {
			t.Fatalf("candidate %d of %v, want %d", got, candidates, best)
		}
	}
}

// Guards against requests to another zone while the own one has endpoints that are about
// as good.
func TestZoneIsKept(t *testing.T) {
	candidates := []Candidate{
		{Finish: 1, Pace: 1, Reports: true},
		{Finish: 1.5, Pace: 1},
		{Finish: 2.6, Pace: 2.5},
		{Finish: 1.3, Pace: 0.6, Remote: true},
		{Finish: 1.7, Pace: 1, Remote: true},
	}
	var c Chooser
	random := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		if i := c.Choose(candidates, random.Float64); candidates[i].Remote {
			t.Fatalf("candidate %d is chosen", i)
		}
	}
	candidates[3].Finish = 1.2 // ends about as soon
	remote := 0
	for range 1000 {
		if candidates[c.Choose(candidates, random.Float64)].Remote {
			remote++
		}
	}
	if remote == 0 {
		t.Error("an endpoint in another zone that is as good is never chosen")
	}
	if i := c.Choose(nil, random.Float64); i != -1 {
		t.Errorf("candidate %d of none", i)
	}
}
