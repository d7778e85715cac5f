package runner

import (
	"context"
	"net"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

// stepWorld is a runner with engines that do not answer. Its goroutine does not run, so
// that started items stay as they are.
type stepWorld struct {
	*Runner
	driver *clock.Driver
	route  manifest.Route
}

func newStepWorld(t testing.TB, slots ...int) *stepWorld {
	t.Helper()
	r, _, driver := newDrivenRunner()
	w := &stepWorld{Runner: r, driver: driver, route: manifest.Route{
		Host: host, Prefix: "/gen/", Kind: manifest.Rollout, ItemTimeout: itemTimeout, BatchDeadline: 7500 * time.Millisecond,
		Targets: []manifest.Target{{Service: "llm", Weight: 1}},
	}}
	m := manifest.New(1, []manifest.Route{w.route}, nil, nil, manifest.Limits{})
	r.seams.Manifest = func() *manifest.Manifest { return m }
	r.seams.Pool, r.seams.Names = exchange.New(exchange.Options{EchoHeader: names.Request}), names
	engines, err := net.Listen("tcp", "127.0.0.1:0") // the system accepts connections, and nothing reads them
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = engines.Close() })
	for i, n := range slots {
		r.seams.Fleet.Put(replica.Entry{ID: "e" + strconv.Itoa(i+1), Service: "llm", Slots: n, Address: engines.Addr().String(), Models: map[string]int64{"m": 5}})
	}
	return w
}

// submit adds a batch whose items, one in each group, have the given estimates in events.
func (w *stepWorld) submit(t testing.TB, id string, wanted int, estimates map[string]int) *job {
	t.Helper()
	b := newBatch()
	b.ID, b.WantedGroups, b.Time = id, wanted, w.timers.Now()
	for name, estimate := range estimates {
		b.Items = append(b.Items, batch.Item{ID: name, Path: "/gen/x", Group: name, ExpectedTokens: int64(estimate * tokensPerEvent)})
	}
	slices.SortFunc(b.Items, func(a, b batch.Item) int { return int(a.ExpectedTokens - b.ExpectedTokens) })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	w.active = false
	w.add(ctx, b, true)
	w.active = true
	j := w.findJob(id)
	j.ctx, j.cancel = ctx, cancel
	j.loaded, j.progress, j.schedule.Due = true, w.newProgress(b), w.route.BatchDeadline
	w.order = nil
	return j
}

// running returns the ids of the running items.
func (w *stepWorld) running() []string {
	var ids []string
	for _, j := range w.jobs {
		for _, t := range j.tasks {
			if t.state == stateRunning {
				ids = append(ids, t.item.ID)
			}
		}
	}
	slices.Sort(ids)
	return ids
}

func (w *stepWorld) expectRunning(t *testing.T, what string, want ...string) {
	t.Helper()
	w.schedule()
	if got := w.running(); !slices.Equal(got, want) {
		t.Errorf("%s: %v run, want %v", what, got, want)
	}
}

// Guards against a slot for the longest group, which the trainer does not wait for, while
// needed ones wait; and against needed items of a fresh batch that wait behind the rest
// of an older one.
func TestNeededGroupsStartFirst(t *testing.T) {
	w := newStepWorld(t, 2)
	w.submit(t, "b1", 1, map[string]int{"long": 100, "short": 10})
	w.driver.Advance(time.Second)
	w.submit(t, "b2", 1, map[string]int{"later": 30, "later-long": 90})
	w.expectRunning(t, "two slots", "later", "short")
}

// Guards against slots for a step that is late already, while another one can still be
// in time.
func TestLateStepStartsAfterOneInTime(t *testing.T) {
	w := newStepWorld(t, 1)
	w.submit(t, "b1", 1, map[string]int{"late": 100})
	w.driver.Advance(5 * time.Second)
	w.submit(t, "b2", 1, map[string]int{"fresh": 20})
	w.expectRunning(t, "one slot", "fresh")
}

// Guards against an awaited group that waits as if the step did not need it.
func TestAwaitedGroupStartsFirst(t *testing.T) {
	w := newStepWorld(t, 1)
	earlier := newBatch()
	w.incompleteGroups.Add(newGroupKey(earlier, "long"), struct{}{})
	w.submit(t, "b1", 1, map[string]int{"long": 100, "short": 10})
	w.expectRunning(t, "one slot", "long")
}

// Guards against items that sit without a run although most slots are free, since their
// step does not need them, and against the last slots taken by such items.
func TestItemsThatAreNotNeededUseIdleSlots(t *testing.T) {
	w := newStepWorld(t, 8)
	estimates := map[string]int{"needed": 1}
	for _, name := range []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"} {
		estimates[name] = 50
	}
	j := w.submit(t, "b1", 1, estimates)
	w.schedule()
	if got := w.running(); len(got) != 7 || got[0] != "needed" {
		t.Errorf("%v run, want the needed item and 6 others in 8 slots", got)
	}
	if j.held != 2 || w.counters.held.Value("llm") != 2 {
		t.Errorf("%d items held, counter %d, want 2", j.held, w.counters.held.Value("llm"))
	}
}

// Guards against steps that operators see as in time although they were late.
func TestStepsAreCounted(t *testing.T) {
	for outcome, age := range map[string]time.Duration{"in_time": 8 * time.Second, "late": 8300 * time.Millisecond} {
		w := newStepWorld(t, 1)
		j := w.submit(t, "b1", 1, map[string]int{"a": 1, "b": 2})
		w.driver.Advance(age)
		w.countStep(j)
		j.progress.Finish("a")
		w.countStep(j)
		w.countStep(j)
		if got := w.counters.steps.Values(); len(got) != 1 || got[outcome] != 1 {
			t.Errorf("%v after %v, want 1 %s", got, age, outcome)
		}
	}
}

// newLoadedWorld returns a world of 45 engines with the given batches.
func newLoadedWorld(t testing.TB, batches, items int) *stepWorld {
	w := newStepWorld(t, slices.Repeat([]int{8}, 45)...)
	for n := range batches {
		estimates := map[string]int{}
		for i := range items {
			estimates[strconv.Itoa(n*items+i)] = 5 + i%140
		}
		w.submit(t, "b"+strconv.Itoa(n), items*9/10, estimates)
	}
	return w
}

// BenchmarkOrderOfAllBatches orders 4 batches of 232 items.
func BenchmarkOrderOfAllBatches(b *testing.B) {
	w := newLoadedWorld(b, 4, 232)
	for b.Loop() {
		w.order = nil
		w.refreshOrder()
	}
}
