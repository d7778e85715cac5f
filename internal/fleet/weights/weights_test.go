package weights

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/leader"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
)

// fixture is a planner with engines that have all models at version 1.
type fixture struct {
	planner *Planner
	fleet   *replica.Fleet
}

func newFixture(engines int, models ...string) *fixture {
	return newFixtureWithClock(clock.NewSystem(), engines, models...)
}

func newFixtureWithClock(timers *clock.Service, engines int, models ...string) *fixture {
	f := &fixture{fleet: replica.NewFleet(timers, replica.Options{Overcommit: 1})}
	for i := range engines {
		versions := map[string]int64{}
		for _, model := range models {
			versions[model] = 1
		}
		f.fleet.Put(replica.Entry{
			ID: fmt.Sprintf("e%02d", i), Service: "llm", Zone: fmt.Sprint(i % 3), Slots: 8, Models: versions,
		})
	}
	m := manifest.New(1, nil, []manifest.Service{{Name: "llm", Models: models}}, nil, manifest.Limits{})
	f.planner = New(Seams{Fleet: f.fleet, Manifest: func() *manifest.Manifest { return m }}, timers, logs.Discard())
	return f
}

// TestLoadsAtOnce guards against too many engines that load at a time: the others
// must serve, and loads slow down when more of them run.
func TestLoadsAtOnce(t *testing.T) {
	for engines, want := range map[int]int{1: 1, 9: 2, 12: 2, 44: 9, 48: 10} {
		f := newFixture(engines, "m")
		f.planner.Announce("m", 2)
		if got := len(f.planner.plan()); got != want {
			t.Errorf("%d of %d engines load, want %d", got, engines, want)
		}
		if again := len(f.planner.plan()); again != 0 {
			t.Errorf("%d more of %d engines load at the same time, want none", again, engines)
		}
	}
}

// TestVersionLoadsOnlyOnAssignedEngines guards against loads by engines that are
// assigned to another model: each load has a cost, and a share of the engines is
// enough.
func TestVersionLoadsOnlyOnAssignedEngines(t *testing.T) {
	f := newFixture(9, "a", "b")
	f.planner.Announce("a", 2)
	loaded := map[string]bool{}
	for range 20 {
		for _, s := range f.planner.plan() {
			loaded[s.entry.ID] = true
			f.fleet.RecordVersion(s.entry.ID, s.model, s.version)
			delete(f.planner.loading, s.entry.ID)
		}
	}
	if len(loaded) != 4 && len(loaded) != 5 {
		t.Errorf("%d of 9 engines loaded a version of one of two models, want 4 or 5", len(loaded))
	}
}

// TestEnginesKeepTheirModel guards against engines that change their model, which
// costs loads, when the models of another service are assigned.
func TestEnginesKeepTheirModel(t *testing.T) {
	f := newFixture(0)
	m := manifest.New(1, nil, []manifest.Service{
		{Name: "first", Models: []string{"a", "b"}}, {Name: "second", Models: []string{"c", "d"}},
	}, nil, manifest.Limits{})
	f.planner.seams.Manifest = func() *manifest.Manifest { return m }
	put := func(service, id string, models ...string) {
		f.fleet.Put(replica.Entry{ID: id, Service: service, Zone: "z", Slots: 8, Models: map[string]int64{models[0]: 1, models[1]: 1}})
	}
	for _, id := range []string{"1", "2"} {
		put("first", "f"+id, "a", "b")
		put("second", "s"+id, "c", "d")
	}
	model := func(id string) string {
		f.planner.plan()
		for _, assigned := range f.planner.assignments {
			if model, known := assigned[id]; known {
				return model
			}
		}
		return ""
	}
	before := []string{model("f1"), model("f2"), model("s1"), model("s2")}
	put("first", "f0", "a", "b") // sorted before the others
	put("second", "s0", "c", "d")
	if after := []string{model("f1"), model("f2"), model("s1"), model("s2")}; !slices.Equal(before, after) {
		t.Errorf("the engines were assigned %v, now %v", before, after)
	}
}

// TestEngineFurthestBehindLoadsFirst guards against engines that load in another
// order, so that one of them falls below the oldest version that batches allow.
func TestEngineFurthestBehindLoadsFirst(t *testing.T) {
	f := newFixture(5, "m")
	for i := range 5 {
		f.fleet.RecordVersion(fmt.Sprintf("e%02d", i), "m", int64(5-i))
	}
	f.planner.Announce("m", 6)
	if plan := f.planner.plan(); len(plan) != 1 || plan[0].entry.ID != "e04" {
		t.Errorf("plan %+v, want e04", plan)
	}
}

// TestSilentEnginesHoldBackNoLoads guards against loads on engines that a zone
// partition has made unreachable and that keep all others from loading: on kolil-hq
// scale-2 no engine in reach got new weights for 5 s.
func TestSilentEnginesHoldBackNoLoads(t *testing.T) {
	f := newFixture(9, "m")
	f.planner.Announce("m", 2)
	first := f.planner.plan()
	if len(first) != 2 {
		t.Fatalf("%d engines load, want 2", len(first))
	}
	f.planner.recordAnswer(first[0].entry.ID, false)
	if next := f.planner.plan(); len(next) != 1 {
		t.Errorf("%d more engines load while one is silent, want 1", len(next))
	}
	f.planner.recordAnswer(first[0].entry.ID, true)
	if next := f.planner.plan(); len(next) != 0 {
		t.Errorf("%d more engines load although all answer, want none", len(next))
	}
}

// TestNoLoadsInSilentZones guards against orders to engines of a zone that is out of
// reach, and against loads there that hold back others.
func TestNoLoadsInSilentZones(t *testing.T) {
	f := newFixture(9, "m")
	f.planner.Announce("m", 2)
	f.fleet.AvoidZone("0")
	for range 9 {
		for _, s := range f.planner.plan() {
			if s.entry.Zone == "0" {
				t.Errorf("%s loads although its zone is silent", s.entry.ID)
			}
			f.fleet.RecordVersion(s.entry.ID, s.model, s.version)
			delete(f.planner.loading, s.entry.ID)
		}
	}
	if loaded := countVersion(f.fleet, "m", 2); loaded != 6 {
		t.Errorf("%d engines loaded the version, want the 6 of the other zones", loaded)
	}
}

func countVersion(fleet *replica.Fleet, model string, version int64) int {
	count := 0
	for _, e := range fleet.Entries("llm") {
		if e.Models[model] == version {
			count++
		}
	}
	return count
}

// TestStreamEndsTheLoad guards against engines that stay out of use until their
// report, which lags, shows a version that their streams already have.
func TestStreamEndsTheLoad(t *testing.T) {
	f := newFixture(1, "m")
	ordered := make(chan struct{})
	f.planner.seams.Report = func(context.Context, replica.Entry) (Report, error) {
		return Report{Versions: map[string]int64{"m": 1}, Busy: false}, nil
	}
	f.planner.seams.Send = func(context.Context, replica.Entry, Order) (Verdict, error) {
		close(ordered)
		return Accepted, nil
	}
	go func() {
		<-ordered
		f.fleet.RecordVersion("e00", "m", 2)
	}()
	withTurn(t, func(turn *leader.Tenure) {
		entry := f.fleet.Entries("llm")[0]
		if err := f.planner.runLoad(context.Background(), turn, loadTask{entry: entry, model: "m", version: 2}); err != nil {
			t.Errorf("error %v although a stream has the version", err)
		}
	})
}

// TestEnginesFollowDemand guards against an equal number of engines for trainers of
// unequal demand, and against engines that change their model because others vanish
// for a moment, one after the other.
func TestEnginesFollowDemand(t *testing.T) {
	timers, driver := clock.NewDriven(time.Unix(1000, 0))
	f := newFixtureWithClock(timers, 12, "a", "b")
	counts := func() string {
		f.planner.plan()
		count := map[string]int{}
		for _, model := range f.planner.assignments["llm"] {
			count[model]++
		}
		return fmt.Sprintf("%d %d", count["a"], count["b"])
	}
	expect := func(when, want string) {
		t.Helper()
		if got := counts(); got != want {
			t.Errorf("%s: engines of the two models %s, want %s", when, got, want)
		}
	}
	expect("no work yet", "6 6")
	f.planner.seams.Demand.Add("a", 3000)
	f.planner.seams.Demand.Add("b", 1000)
	expect("work for both", "6 6")
	for range 5 {
		driver.Advance(reassignmentDelay)
		counts()
	}
	expect("the imbalance has lasted", "8 4")
	before := maps.Clone(f.planner.assignments["llm"])
	for _, id := range []string{"e00", "e01", "e02", "e03"} {
		f.fleet.Remove(id, time.Time{})
		counts()
		driver.Advance(200 * time.Millisecond)
	}
	for id, model := range f.planner.assignments["llm"] {
		if before[id] != model {
			t.Errorf("%s changes from model %s to %s while others vanish", id, before[id], model)
		}
	}
}

// TestOrders guards against a wrong interpretation of the answer to an order. After
// a lost answer the engine's report decides whether the version is loaded, and no
// second order is sent.
func TestOrders(t *testing.T) {
	lost := errors.New("no answer")
	cases := []struct {
		name    string
		before  Report
		verdict Verdict
		err     error
		after   Report
		orders  int
		learned int64
	}{
		{"already loaded before the order", Report{Versions: map[string]int64{"m": 2}}, Accepted, nil, Report{}, 0, 2},
		{"already loaded", Report{Versions: map[string]int64{"m": 1}}, AlreadyLoaded, nil, Report{Versions: map[string]int64{"m": 2}}, 1, 2},
		{"late copy of another answer", Report{Versions: map[string]int64{"m": 1}}, AlreadyLoaded, nil, Report{Versions: map[string]int64{"m": 1}}, 1, 1},
		{"refused", Report{Versions: map[string]int64{"m": 1}}, Refused, nil, Report{}, 1, 1},
		{"carried out", Report{Versions: map[string]int64{"m": 1}}, Accepted, nil, Report{Versions: map[string]int64{"m": 2}}, 1, 2},
		{"answer lost, done", Report{Versions: map[string]int64{"m": 1}}, Refused, lost, Report{Versions: map[string]int64{"m": 2}}, 1, 2},
		{"answer lost, not done", Report{Versions: map[string]int64{"m": 1}}, Refused, lost, Report{Versions: map[string]int64{"m": 1}}, 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(1, "m")
			orders, reports := 0, 0
			f.planner.seams.Report = func(context.Context, replica.Entry) (Report, error) {
				reports++
				if reports == 1 {
					return c.before, nil
				}
				return c.after, nil
			}
			f.planner.seams.Send = func(_ context.Context, _ replica.Entry, order Order) (Verdict, error) {
				orders++
				if order.Expected != c.before.Sequence || order.Epoch == 0 {
					t.Errorf("order %+v", order)
				}
				return c.verdict, c.err
			}
			withTurn(t, func(turn *leader.Tenure) {
				entry := f.fleet.Entries("llm")[0]
				_ = f.planner.runLoad(context.Background(), turn, loadTask{entry: entry, model: "m", version: 2})
			})
			if orders != c.orders {
				t.Errorf("%d orders sent, want %d", orders, c.orders)
			}
			if got := f.fleet.Entries("llm")[0].Models["m"]; got != c.learned {
				t.Errorf("version %d recorded for the engine, want %d", got, c.learned)
			}
		})
	}
}

// TestNoOrderWithoutTheRole guards against orders after the role is lost.
func TestNoOrderWithoutTheRole(t *testing.T) {
	f := newFixture(1, "m")
	f.planner.seams.Report = func(context.Context, replica.Entry) (Report, error) {
		return Report{Versions: map[string]int64{"m": 1}}, nil
	}
	f.planner.seams.Send = func(context.Context, replica.Entry, Order) (Verdict, error) {
		t.Error("an order was sent without the role")
		return Refused, nil
	}
	var former *leader.Tenure
	withTurn(t, func(turn *leader.Tenure) { former = turn })
	entry := f.fleet.Entries("llm")[0]
	if err := f.planner.runLoad(context.Background(), former, loadTask{entry: entry, model: "m", version: 2}); !errors.Is(err, leader.ErrNotHeld) {
		t.Errorf("error %v, want %v", err, leader.ErrNotHeld)
	}
}

// TestOrderEndsWithTheTenure guards against an order that reaches its engine after the
// role has passed on, since its connection came late.
func TestOrderEndsWithTheTenure(t *testing.T) {
	f := newFixture(1, "m")
	f.planner.seams.Report = func(context.Context, replica.Entry) (Report, error) {
		return Report{Versions: map[string]int64{"m": 1}}, nil
	}
	f.planner.seams.Send = func(ctx context.Context, _ replica.Entry, _ Order) (Verdict, error) {
		select {
		case <-ctx.Done():
			return Refused, context.Cause(ctx)
		case <-time.After(20 * time.Second):
			t.Error("the order goes on after the tenure has lapsed")
			return Refused, nil
		}
	}
	store := ledger.New().Store()
	store.Put = func(context.Context, records.Record) (records.Record, error) {
		return records.Record{}, records.ErrRefused
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := leader.New(store, leader.Options{Self: "w", Term: 300 * time.Millisecond}, clock.NewSystem(), logs.Discard())
	l.Run(ctx, func(_ context.Context, turn *leader.Tenure) {
		defer cancel()
		task := loadTask{entry: f.fleet.Entries("llm")[0], model: "m", version: 2}
		if err := f.planner.runLoad(context.Background(), turn, task); !errors.Is(err, leader.ErrNotHeld) {
			t.Errorf("error %v, want %v", err, leader.ErrNotHeld)
		}
	})
}

// withTurn calls f with a turn that is held until f returns.
func withTurn(t *testing.T, f func(turn *leader.Tenure)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := leader.New(ledger.New().Store(), leader.Options{Self: "w", Term: time.Hour}, clock.NewSystem(), logs.Discard())
	l.Run(ctx, func(_ context.Context, turn *leader.Tenure) { f(turn); cancel() })
}
