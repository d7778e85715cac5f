package weights

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/leader"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
)

// fixture is a planner with engines that hold all models at version 1.
type fixture struct {
	planner *Planner
	fleet   *replica.Fleet
}

func newFixture(engines int, models ...string) *fixture {
	timers := clock.NewSystem()
	f := &fixture{fleet: replica.NewFleet(timers, replica.Options{Ceiling: 1})}
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

// Few engines load at a time, so that the others serve and loads stay fast.
func TestLoadsAtOnce(t *testing.T) {
	for engines, want := range map[int]int{1: 1, 9: 2, 12: 2, 44: 9, 48: 10} {
		f := newFixture(engines, "m")
		f.planner.Name("m", 2)
		if got := len(f.planner.plan()); got != want {
			t.Errorf("%d of %d engines load, want %d", got, engines, want)
		}
		if again := len(f.planner.plan()); again != 0 {
			t.Errorf("%d further engines load beside those of %d", again, engines)
		}
	}
}

// A version is loaded by the engines that follow its model only: each load has
// a price, and a share of the engines is enough.
func TestModelsShareTheEngines(t *testing.T) {
	f := newFixture(9, "a", "b")
	f.planner.Name("a", 2)
	loaded := map[string]bool{}
	for range 20 {
		for _, s := range f.planner.plan() {
			loaded[s.entry.ID] = true
			f.fleet.Learn(s.entry.ID, s.model, s.version)
			delete(f.planner.busy, s.entry.ID)
		}
	}
	if len(loaded) != 4 && len(loaded) != 5 {
		t.Errorf("%d of 9 engines loaded a version of one of two models", len(loaded))
	}
}

// Guards against engines that change their model, which costs loads, when the
// models of another service's engines are shared out.
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
		for _, follows := range f.planner.follows {
			if model, known := follows[id]; known {
				return model
			}
		}
		return ""
	}
	before := []string{model("f1"), model("f2"), model("s1"), model("s2")}
	put("first", "f0", "a", "b") // listed before the others
	put("second", "s0", "c", "d")
	if after := []string{model("f1"), model("f2"), model("s1"), model("s2")}; !slices.Equal(before, after) {
		t.Errorf("the engines followed %v and follow %v", before, after)
	}
}

// The engine that is furthest behind loads first, so that none falls below what
// the batches allow.
func TestOldestFirst(t *testing.T) {
	f := newFixture(5, "m")
	for i := range 5 {
		f.fleet.Learn(fmt.Sprintf("e%02d", i), "m", int64(5-i))
	}
	f.planner.Name("m", 6)
	if plan := f.planner.plan(); len(plan) != 1 || plan[0].entry.ID != "e04" {
		t.Errorf("plan %+v, want e04", plan)
	}
}

// TestOrders guards what an order's answer is taken for. A lost answer is
// settled by the engine's report and not by a second order.
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
		{"has it already", Report{Versions: map[string]int64{"m": 2}}, Accepted, nil, Report{}, 0, 2},
		{"holds", Report{Versions: map[string]int64{"m": 1}}, Holds, nil, Report{Versions: map[string]int64{"m": 2}}, 1, 2},
		{"late copy of another answer", Report{Versions: map[string]int64{"m": 1}}, Holds, nil, Report{Versions: map[string]int64{"m": 1}}, 1, 1},
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
			withTurn(t, func(turn *leader.Turn) {
				entry := f.fleet.Entries("llm")[0]
				_ = f.planner.carryOut(context.Background(), turn, step{entry: entry, model: "m", version: 2})
			})
			if orders != c.orders {
				t.Errorf("%d orders, want %d", orders, c.orders)
			}
			if got := f.fleet.Entries("llm")[0].Models["m"]; got != c.learned {
				t.Errorf("the engine counts as version %d, want %d", got, c.learned)
			}
		})
	}
}

// Nothing is ordered once the role is no longer held.
func TestNoOrderWithoutTheRole(t *testing.T) {
	f := newFixture(1, "m")
	f.planner.seams.Report = func(context.Context, replica.Entry) (Report, error) {
		return Report{Versions: map[string]int64{"m": 1}}, nil
	}
	f.planner.seams.Send = func(context.Context, replica.Entry, Order) (Verdict, error) {
		t.Error("an order was sent")
		return Refused, nil
	}
	var former *leader.Turn
	withTurn(t, func(turn *leader.Turn) { former = turn })
	entry := f.fleet.Entries("llm")[0]
	if err := f.planner.carryOut(context.Background(), former, step{entry: entry, model: "m", version: 2}); !errors.Is(err, errTurnOver) {
		t.Errorf("error %v, want %v", err, errTurnOver)
	}
}

// withTurn calls f while it holds the role.
func withTurn(t *testing.T, f func(turn *leader.Turn)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := leader.New(ledger.New().Store(), leader.Options{Self: "w", Term: time.Hour}, clock.NewSystem(), logs.Discard())
	l.Run(ctx, func(_ context.Context, turn *leader.Turn) { f(turn); cancel() })
}
