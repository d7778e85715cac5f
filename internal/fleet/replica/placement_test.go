package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
)

// placementFixture is a fleet of a process among many, on a simulated clock.
type placementFixture struct {
	*Fleet
	driver *clock.Driver
}

func newPlacementFixture(zones ...string) placementFixture {
	timers, driver := clock.NewDriven(time.Unix(1000, 0))
	f := NewFleet(timers, Options{Zone: "a", Overcommit: 1.5, Shared: true})
	for i, zone := range zones {
		f.Put(Entry{ID: fmt.Sprint("e", i), Service: "svc", Zone: zone, Slots: 6})
	}
	return placementFixture{f, driver}
}

// report records a load report of an endpoint.
func (f placementFixture) report(id string, load Load) {
	(&Slot{Entry: Entry{ID: id}, fleet: f.Fleet}).Report(load)
}

// shares returns the part of the requests that each endpoint gets if they end at once.
func (f placementFixture) shares(t *testing.T, class string) map[string]float64 {
	const count = 2000
	out := map[string]float64{}
	for range count {
		slot, found := f.Pick(Requirements{Service: "svc", Class: class})
		if !found {
			t.Fatal("no endpoint")
		}
		out[slot.Entry.ID] += 1.0 / count
		slot.Done(Abandoned)
	}
	return out
}

// serve runs count requests one after another, each at the pace of its endpoint.
func (f placementFixture) serve(t *testing.T, count int, class string, work time.Duration, pace func(id string) float64) {
	for range count {
		slot, found := f.Pick(Requirements{Service: "svc", Class: class})
		if !found {
			t.Fatal("no endpoint")
		}
		f.driver.Advance(time.Duration(float64(work) * pace(slot.Entry.ID)))
		slot.Done(Answered)
	}
}

// previousScore is the score of the release before the cost model.
func previousScore(s *endpointState, zone string, now time.Time) float64 {
	busy := s.inFlight
	if now.Sub(s.loadAt) < loadMaxAge {
		busy = max(busy, s.load.Running+s.load.Waiting)
	}
	score := float64(busy) / float64(max(1, s.Slots))
	if s.Zone != zone {
		score += zonePenalty
	}
	return score
}

// TestEqualEndpointsAsBefore guards against other decisions than those of the previous
// release where no endpoint reports a pace and all are equally fast, both with
// nothing learned and after requests of equal times.
func TestEqualEndpointsAsBefore(t *testing.T) {
	for _, class := range []string{"", "svc /"} {
		random := rand.New(rand.NewPCG(1, 2))
		f := newPlacementFixture("a", "a", "a", "b", "b", "c", "c")
		equal := func(string) float64 { return 0.9 + 0.2*random.Float64() }
		f.serve(t, 100, class, 20*time.Millisecond, equal)
		var open []*Slot
		for step := range 5000 {
			id := fmt.Sprint("e", random.IntN(7))
			switch random.IntN(4) {
			case 0:
				f.report(id, Load{Running: random.IntN(7), Waiting: random.IntN(2), Slots: 6})
			case 1:
				if len(open) > 0 {
					open[0].Done(Abandoned) // its time here would not be that of its work
					open = open[1:]
				}
				f.driver.Advance(time.Duration(random.IntN(20)) * time.Millisecond)
			default:
				now, best := f.timers.Now(), 100.0
				for _, s := range f.states {
					if f.hasRoom(s, now) {
						best = min(best, previousScore(s, "a", now))
					}
				}
				scores := map[string]float64{}
				for id, s := range f.states {
					scores[id] = previousScore(s, "a", now)
				}
				slot, found := f.Pick(Requirements{Service: "svc", Class: class})
				if found != (best < 100) {
					t.Fatalf("step %d: endpoint found: %v", step, found)
				}
				if !found {
					continue
				}
				if scores[slot.Entry.ID] > best+1e-9 {
					t.Fatalf("step %d: %s with %.3f is picked, the best has %.3f", step, slot.Entry.ID, scores[slot.Entry.ID], best)
				}
				open = append(open, slot)
			}
		}
		if len(f.Paces()) > 0 || (len(f.Works()) > 0) != (class != "") {
			t.Errorf("class %q: learned %v, %v", class, f.Paces(), f.Works())
		}
	}
	f := newPlacementFixture("a", "a", "b")
	f.serve(t, 300, "svc /", 20*time.Millisecond, func(string) float64 { return 0.9 + 0.2*rand.Float64() })
	if paces := f.Paces(); len(paces) > 0 {
		t.Errorf("equal endpoints have the paces %v", paces)
	}
}

// TestReportedPace guards against requests to endpoints that report that they are slow
// now, and against slow endpoints that get no requests once the report is old.
func TestReportedPace(t *testing.T) {
	f := newPlacementFixture("a", "a", "a", "a")
	for i, pace := range []float64{0.6, 1, 1, 2.5} {
		f.report(fmt.Sprint("e", i), Load{Slots: 6, Pace: pace})
	}
	got := f.shares(t, "")
	if got["e3"] > 0.05 || got["e0"] < 0.4 || got["e0"] > 0.75 {
		t.Errorf("shares %v", got)
	}
	if paces := f.Paces(); paces["e3"] != 250 || paces["e0"] != 60 || len(paces) != 2 {
		t.Errorf("paces %v", paces)
	}
	f.driver.Advance(4 * time.Second)
	if got := f.shares(t, ""); got["e3"] < 0.1 {
		t.Errorf("shares %v 4 s after the reports", got)
	}
}

// TestMeasuredPace guards against endpoints of different speed that are treated alike
// because they report no pace, against fast failures that make an endpoint look fast, and
// against a pace that is kept for an endpoint without requests.
func TestMeasuredPace(t *testing.T) {
	paces := map[string]float64{"e0": 0.6, "e1": 1, "e2": 1.6}
	f := newPlacementFixture("a", "a", "a")
	for range 20 {
		for id, pace := range paces {
			others := map[string]bool{"e0": true, "e1": true, "e2": true}
			delete(others, id)
			slot, found := f.Pick(Requirements{Service: "svc", Class: "svc /", Avoid: others})
			if !found {
				t.Fatal("no endpoint")
			}
			f.driver.Advance(time.Duration(pace * float64(20*time.Millisecond)))
			slot.Done(Answered)
		}
	}
	got := f.Paces()
	if got["e0"] < 50 || got["e0"] > 75 || got["e2"] < 140 || got["e2"] > 180 || got["e1"] != 0 {
		t.Errorf("measured paces %v", got)
	}
	if shares := f.shares(t, "svc /"); shares["e2"] > 0.25 || shares["e0"] < 0.4 {
		t.Errorf("shares %v", shares)
	}
	for range 20 { // answers with an error, after no time
		slot, _ := f.Pick(Requirements{Service: "svc", Class: "svc /"})
		slot.IgnoreTime()
		slot.Done(Answered)
	}
	if after := f.Paces(); after["e0"] != got["e0"] || after["e2"] != got["e2"] {
		t.Errorf("paces %v after ignored times, %v before", after, got)
	}
	f.driver.Advance(4 * time.Second)
	if after := f.Paces(); len(after) > 0 {
		t.Errorf("paces %v after 4 s without requests", after)
	}
}

// TestWaitingIsNotSlowness guards against endpoints that count as slow because requests
// waited there.
func TestWaitingIsNotSlowness(t *testing.T) {
	f := newPlacementFixture("a", "a")
	f.serve(t, 50, "svc /", 20*time.Millisecond, func(string) float64 { return 1 })
	for range 20 {
		slot, _ := f.Pick(Requirements{Service: "svc", Class: "svc /"})
		f.driver.Advance(200 * time.Millisecond)
		slot.Report(Load{Running: 6, Waiting: 1, Slots: 6})
		slot.Done(Answered)
	}
	if paces := f.Paces(); len(paces) > 0 {
		t.Errorf("paces %v", paces)
	}
}

// TestOtherZoneOnlyIfClearlySooner guards against requests to another zone, which are
// billed by their bytes, for a few milliseconds, and against requests that stay at slow
// and busy endpoints of the own zone.
func TestOtherZoneOnlyIfClearlySooner(t *testing.T) {
	f := newPlacementFixture("a", "a", "b", "b")
	report := func(id string, running int, pace float64) {
		f.report(id, Load{Running: running, Slots: 6, Pace: pace})
	}
	for _, c := range []struct {
		name    string
		running int
		pace    float64 // in the own zone
		other   float64
		crosses bool
	}{
		{"faster elsewhere", 0, 1, 0.6, false},
		{"slow, faster elsewhere", 0, 1.6, 1, false},
		{"half full", 3, 1, 1, true}, // equally fast: as in the previous release
		{"half full, faster elsewhere", 3, 1, 0.9, false},
		{"much slower", 0, 2.5, 1, true},
		{"full", 6, 1, 1, true},
		{"slow and busy", 4, 1.6, 1, true},
	} {
		for _, id := range []string{"e0", "e1"} {
			report(id, c.running, c.pace)
		}
		for _, id := range []string{"e2", "e3"} {
			report(id, 0, c.other)
		}
		if got := f.shares(t, ""); (got["e2"]+got["e3"] > 0.5) != c.crosses {
			t.Errorf("%s: shares %v, other zone %v", c.name, got, c.crosses)
		}
	}
}

// TestOutstandingWork guards against requests of a class with much work that count like
// those with little: an endpoint with two of them is busier than one with three others.
func TestOutstandingWork(t *testing.T) {
	f := newPlacementFixture("a", "a")
	for range 100 {
		for class, work := range map[string]time.Duration{"user": 20 * time.Millisecond, "score": 80 * time.Millisecond} {
			f.serve(t, 1, class, work, func(string) float64 { return 1 })
		}
	}
	if f.Work("svc", "score") <= 3*f.Work("svc", "user") {
		t.Fatalf("works %v", f.Works())
	}
	for class, count := range map[string]int{"score": 2, "user": 3} {
		other := map[string]string{"score": "e1", "user": "e0"}[class]
		for range count {
			if _, found := f.Pick(Requirements{Service: "svc", Class: class, Avoid: map[string]bool{other: true}}); !found {
				t.Fatal("no endpoint")
			}
			f.driver.Advance(loadMaxAge)
		}
	}
	for range 10 {
		slot, found := f.Pick(Requirements{Service: "svc", Class: "user"})
		if !found || slot.Entry.ID != "e1" {
			t.Fatalf("found %v: %+v", found, f.Works())
		}
		slot.Done(Abandoned)
	}
}
