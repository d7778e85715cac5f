package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
)

var errLimited = errors.New("429")

// fakeEngine simulates an engine whose loads take simulated time and can fail.
type fakeEngine struct {
	status       Status
	loadedAt     time.Time
	version      int
	failLoads    int
	failSwitches int
	switched     time.Time
	fence        uint64
}

// fixture simulates the engines of a trainer and a weight store with a rate
// limit.
type fixture struct {
	driver      *clock.Driver
	timers      *clock.Service
	rollout     *Rollout
	mu          sync.Mutex
	engines     map[string]*fakeEngine
	loadTime    time.Duration
	rate        float64 // loads per second that the store allows
	tokens      float64
	filled      time.Time
	rateLimited int
	failFirst   int // number of first loads that fail
	calls       int
	held        bool
	missing     bool
	roster      *roster.Roster
}

func newFixture(engines int) *fixture {
	timers, driver := clock.NewDriven(time.Unix(1000, 0))
	f := &fixture{
		driver: driver, timers: timers, engines: map[string]*fakeEngine{}, loadTime: time.Second,
		rate: 1e9, tokens: 100, filled: timers.Now(), held: true,
	}
	r := roster.New(setting.Settings{}, timers, roster.Seams{ZoneOut: func(string) bool { return false }}, logs.Discard())
	page := roster.Page{Revision: 1, Full: true}
	for i := range engines {
		id := fmt.Sprintf("e-%04d", i)
		f.engines[id] = &fakeEngine{status: Status{Active: 1}}
		page.Endpoints = append(page.Endpoints, roster.Endpoint{ID: id, Kind: roster.KindEngine, Model: "m", State: roster.StateLive})
	}
	r.Merge(page)
	f.roster = r
	trainer := json.RawMessage(`{"account":"acme","model":"m"}`)
	rows := table.Load(1, []table.Row{{Table: table.Trainers, Name: "t", Revision: 1, Value: trainer}})
	f.rollout = New(setting.Defaults(), timers, Seams{
		View:      func() *member.View { return member.NewView(nil) },
		Table:     func() *table.Table { return rows },
		Endpoints: r.Endpoints,
		CheckStored: func(context.Context, string, int) error {
			if f.missing {
				return errLimited
			}
			return nil
		},
		Refresh: func(context.Context) error { return nil },
		Load:    f.load, Switch: f.change, Status: f.ask,
		RateLimited: func(err error) (time.Duration, bool) { return 0, errors.Is(err, errLimited) },
	}, logs.Discard())
	return f
}

func (f *fixture) load(_ context.Context, e roster.Endpoint, _ string, version int, fence uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	now, x := f.timers.Now(), f.engines[e.ID]
	f.tokens = min(f.tokens+now.Sub(f.filled).Seconds()*f.rate, max(f.rate/10, 1))
	f.filled = now
	if f.tokens < 1 {
		f.rateLimited++
		return errLimited
	}
	f.tokens--
	if f.failFirst > 0 {
		f.failFirst--
		return errors.New("load failed")
	}
	if x.failLoads > 0 {
		x.failLoads--
		return errors.New("load failed")
	}
	x.version, x.fence, x.loadedAt, x.status.Loading = version, fence, now.Add(f.loadTime), version
	return nil
}

func (f *fixture) ask(_ context.Context, e roster.Endpoint) (Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	x := f.engines[e.ID]
	if x.status.Loading != 0 && !f.timers.Now().Before(x.loadedAt) {
		x.status.Loaded, x.status.Loading = []int{x.version}, 0
	}
	return x.status, nil
}

func (f *fixture) change(_ context.Context, e roster.Endpoint, _ string, version int, _ uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	x := f.engines[e.ID]
	if x.failSwitches > 0 {
		x.failSwitches--
		x.status.Loaded = nil // The engine has lost the loaded weights.
		return errors.New("switch failed")
	}
	x.status.Active, x.switched = version, f.timers.Now()
	return nil
}

func (f *fixture) begin(version int) *run {
	lease := Lease{Held: func() (uint64, bool) { return 7, f.held }}
	ctx, cancel := context.WithCancel(context.Background())
	u := f.rollout.prepare("t", "m", version, 7, lease, false)
	u.cancel = cancel
	u.context = ctx
	return u
}

// advance runs the roll-out for a simulated time, at its own period.
func (f *fixture) advance(u *run, total time.Duration) {
	for range total / stepPeriod {
		u.stepIfHeld(u.context)
		for u.inProgress() > 0 {
			runtime.Gosched()
		}
		f.driver.Advance(stepPeriod)
	}
}

func (u *run) inProgress() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.calls
}

// counts returns how many engines run the version, and when the first and the
// last of them switched.
func (f *fixture) counts(version int) (count int, first, last time.Duration) {
	first = time.Hour
	for _, x := range f.engines {
		if x.status.Active == version {
			count++
			at := x.switched.Sub(time.Unix(1000, 0))
			first, last = min(first, at), max(last, at)
		}
	}
	return count, first, last
}

// TestAllEnginesSwitchWithin10Seconds guards against a roll-out that takes longer
// than 10 s or misses engines when the weight store limits the rate and some
// loads and switches fail, and against engines that switch one by one while the
// others still load.
func TestAllEnginesSwitchWithin10Seconds(t *testing.T) {
	f := newFixture(1300)
	f.rate = 300
	for i, id := range []string{"e-0000", "e-0100", "e-0200", "e-0300", "e-1299"} {
		f.engines[id].failLoads, f.engines[id].failSwitches = i%3, 1
	}
	u := f.begin(2)
	defer u.end()
	f.advance(u, 10*time.Second)
	count, first, last := f.counts(2)
	t.Logf("%d engines switched between %v and %v, %d loads met the rate limit, %d calls", count, first, last, f.rateLimited, f.calls)
	if count != 1300 {
		t.Fatalf("%d of 1300 engines switched within 10 s", count)
	}
	if f.rateLimited > 2*1300 {
		t.Fatalf("%d loads met the rate limit of the store, want at most two for each engine", f.rateLimited)
	}
	if early := 1300.0 / 300 * 0.75; first.Seconds() < early {
		t.Fatalf("an engine switched after %v, before three quarters can have loaded", first)
	}
}

// TestFaultyEngineAmongTheFirstLoads guards against one faulty engine among the
// first loads that slows down the roll-out to all others, as if the weight store
// were overloaded: the five engines whose switch fails then had no time left for
// their second load.
func TestFaultyEngineAmongTheFirstLoads(t *testing.T) {
	f := newFixture(1300)
	f.rate, f.failFirst = 300, 1
	for _, id := range []string{"e-0000", "e-0100", "e-0200", "e-0300", "e-1299"} {
		f.engines[id].failSwitches = 1
	}
	u := f.begin(2)
	defer u.end()
	f.advance(u, 10*time.Second)
	if count, first, _ := f.counts(2); count != 1300 {
		t.Fatalf("%d of 1300 engines switched within 10 s, the first after %v", count, first)
	}
}

// TestFailingEngineDoesNotHoldUpTheOthers guards against an engine that cannot
// load and delays all others, and against giving such an engine up.
func TestFailingEngineDoesNotHoldUpTheOthers(t *testing.T) {
	f := newFixture(20)
	f.engines["e-0007"].failLoads = 1 << 30
	u := f.begin(2)
	defer u.end()
	f.advance(u, 10*time.Second)
	if count, _, _ := f.counts(2); count != 19 {
		t.Fatalf("%d engines switched, want the 19 that work", count)
	}
	f.mu.Lock()
	f.engines["e-0007"].failLoads = 0
	f.mu.Unlock()
	f.advance(u, 20*time.Second)
	if count, _, _ := f.counts(2); count != 20 {
		t.Fatal("the engine that works again did not switch")
	}
}

// TestNoCallsWithoutLeaseOrWeights guards against calls to engines without the
// lease, and against engines that are ordered to load a version that the store
// does not have.
func TestNoCallsWithoutLeaseOrWeights(t *testing.T) {
	f := newFixture(20)
	f.missing = true
	u := f.begin(2)
	defer u.end()
	f.advance(u, 5*time.Second)
	if f.calls != 0 {
		t.Fatalf("%d calls for a version that the store does not have", f.calls)
	}
	f.missing = false
	f.advance(u, time.Second)
	f.held = false
	before := f.calls
	f.advance(u, 10*time.Second)
	if count, _, _ := f.counts(2); f.calls != before || count != 0 {
		t.Fatalf("%d calls without the lease", f.calls-before)
	}
}

// BenchmarkRollout measures, by number of engines, the simulated time until all
// engines have switched, and the real time and the calls that a roll-out costs
// the instance.
func BenchmarkRollout(b *testing.B) {
	for _, count := range []int{12, 130, 650, 1300, 6500} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var whole time.Duration
			var calls int
			for b.Loop() {
				f := newFixture(count)
				f.rate = max(float64(count)/4, 20)
				u := f.begin(2)
				f.advance(u, 12*time.Second)
				u.end()
				done, _, last := f.counts(2)
				if done != count {
					b.Fatalf("%d of %d engines switched", done, count)
				}
				whole, calls = last, f.calls
			}
			b.ReportMetric(whole.Seconds(), "driven-s")
			b.ReportMetric(float64(calls)/float64(count), "calls/engine")
		})
	}
}

// TestRunFollowsAnnouncements runs Run itself. It guards against a later version
// that waits for an earlier one, against engines that restart with old weights
// and are not updated, and against leaked goroutines.
func TestRunFollowsAnnouncements(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := newFixture(30)
	f.loadTime = 0
	f.engines["e-0003"].failLoads = 1 << 30 // The first roll-out never completes.
	var version atomic.Int64
	version.Store(2)
	seams := f.rollout.seams
	seams.View = func() *member.View { return member.NewView([]member.Instance{{ID: "a", Zone: "z"}}) }
	seams.Hold = func(context.Context, string) Lease {
		return Lease{Held: func() (uint64, bool) { return 7, true }}
	}
	seams.Version = func(string) (int, bool) { return int(version.Load()), true }
	seams.Changed = func() <-chan struct{} { return nil }
	settings := setting.Defaults()
	settings.ID, settings.ExchangeMS = "a", 50
	rollout := New(settings, clock.NewSystem(), seams, logs.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = rollout.Run(ctx) })
	wait := func(version, engines int) {
		for deadline := time.Now().Add(time.Minute); ; time.Sleep(10 * time.Millisecond) {
			f.mu.Lock()
			count, _, _ := f.counts(version)
			f.mu.Unlock()
			if count == engines {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("%d engines run version %d, want %d", count, version, engines)
			}
		}
	}
	f.mu.Lock()
	f.driver.Advance(time.Second)
	f.mu.Unlock()
	wait(2, 29)
	f.mu.Lock()
	f.engines["e-0003"].failLoads = 0
	f.mu.Unlock()
	version.Store(3)
	wait(3, 30)
	if p := rollout.Progress()["t"]; p.Version != 3 || p.Engines != 30 {
		t.Fatalf("progress %+v, want version 3 of 30 engines", p)
	}
	f.mu.Lock()
	f.engines["e-0005"].status = Status{Active: 1}
	f.mu.Unlock()
	f.roster.MergeLoad("e-0005", roster.Load{Version: 1, At: time.Now()})
	wait(3, 30)
	cancel()
	running.Wait()
}
