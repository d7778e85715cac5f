package rollout

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/control/roster"
)

const (
	// watchEvery is the period in which leases and new engines are looked at.
	watchEvery = 200 * time.Millisecond
	// stepEvery is the period of the steps of a running roll-out.
	stepEvery = 50 * time.Millisecond
	// finishedEvery is the period once all engines have switched. A step looks
	// at every engine.
	finishedEvery = time.Second
	// loadsAtOnce is the number of engines that load at the same time at first.
	// It grows with each load that begins and shrinks at a failure or rate
	// limit: with a fixed 8, 1,300 engines of a trainer need 163 rounds, which
	// cannot end within 10 s. Before the first failure it grows by growFirst,
	// for engines that answer only when they have loaded: doubling, 1,300 of
	// them that load for a second need 8 s.
	loadsAtOnce = 8
	growFirst   = 3
	growLater   = 0.6
	loadsAtMost = 2048
	// slowEvery is the time in which all failures count as one: engines that
	// began together meet the rate limit together.
	slowEvery  = 500 * time.Millisecond
	slowFactor = 0.8
	// failuresOfEngines is the share of the loads in progress that may fail
	// within slowEvery for reasons of the engines. One faulty engine among the
	// first loads must not narrow the roll-out of the other 1,299.
	failuresOfEngines = 0.1
	// limitedWait is the pause of an engine that met the rate limit, when the
	// limit names none. It does not grow: the fewer loads already slow down.
	limitedWait = 200 * time.Millisecond
	// callsAtOnce bounds the calls in progress when all switch together.
	callsAtOnce = 256
	callLimit   = 2 * time.Second
	// loadLimit is longer, for engines that answer once they have loaded.
	loadLimit = 10 * time.Second
	// laggards is how long the others wait for the last quarter to load.
	laggards = 5 * time.Second
	// recheckEvery is the period in which a finished engine is asked whether it
	// still has the version.
	recheckEvery = 5 * time.Minute
)

// phase is how far an engine is.
type phase int

const (
	idle phase = iota
	loading
	loaded
	switched
)

// engine is the roll-out's state of one engine.
type engine struct {
	endpoint roster.Endpoint
	phase    phase
	busy     bool
	asked    bool
	counted  bool // among the loads in progress
	next     time.Time
	since    time.Time // when the engine was last seen to have switched
	retry    *backoff.ExponentialBackOff
}

// run is the roll-out of one version.
type run struct {
	rollout        *Rollout
	trainer, model string
	version        int
	fence          uint64
	lease          Lease
	began          time.Time
	context        context.Context
	cancel         context.CancelFunc
	done           sync.WaitGroup
	log            *logrus.Entry

	mu       sync.Mutex
	engines  map[string]*engine
	width    float64
	calls    int
	loads    int
	slowed   time.Time
	failures int       // loads that failed since failing
	failing  time.Time // when the failures began to count
	three    time.Time // when three quarters had loaded
	together bool
	stored   bool
	limited  time.Time
	snapshot *roster.Snapshot
	finished bool
	stepped  time.Time
	// inherited: an earlier holder of the lease may have begun this roll-out,
	// so that engines are asked before they are told to load.
	inherited bool
}

func (u *run) end() {
	u.cancel()
	u.done.Wait()
}

// drive steps until the roll-out is replaced. It stays after all engines have
// switched, for engines that start later or come back with old weights.
func (u *run) drive() {
	ticks := u.rollout.timers.Subscribe(stepEvery)
	defer ticks.Stop()
	for u.stepIfHeld(u.context) {
		select {
		case <-u.context.Done():
			return
		case <-ticks.C:
		}
	}
}

func (u *run) stepIfHeld(ctx context.Context) bool {
	_, held := u.lease.Held()
	if held {
		u.step(ctx)
	}
	return held
}

func (u *run) step(ctx context.Context) {
	if !u.stored && !u.askStore(ctx) {
		return
	}
	now := u.rollout.timers.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.finished && now.Sub(u.stepped) < finishedEvery {
		return
	}
	u.stepped = now
	u.follow(now)
	u.decide(now)
	for _, e := range u.engines {
		if e.busy || now.Before(e.next) {
			continue
		}
		switch e.phase {
		case idle:
			if u.loads < int(u.width) && u.start(ctx, e, u.load) {
				u.loads++
				e.counted = true
			}
		case loading:
			u.start(ctx, e, u.ask)
		case loaded:
			if u.together {
				u.start(ctx, e, u.change)
			}
		case switched:
			u.start(ctx, e, u.ask)
		}
	}
}

func (u *run) askStore(ctx context.Context) bool {
	if u.rollout.timers.Now().Before(u.limited) {
		return false
	}
	call, cancel := u.rollout.timers.WithTimeout(ctx, callLimit)
	defer cancel()
	err := u.rollout.seams.Stored(call, u.trainer, u.version)
	if err != nil {
		u.log.WithError(err).Warn("the weight store does not give the version yet")
		u.limited = u.rollout.timers.Now().Add(max(u.pause(err), 200*time.Millisecond))
		return false
	}
	u.stored = true
	return true
}

func (u *run) pause(err error) time.Duration {
	wait, _ := u.rollout.seams.Limited(err)
	return wait
}

// follow takes in the endpoint list.
func (u *run) follow(now time.Time) {
	snapshot := u.rollout.seams.Endpoints()
	if snapshot == u.snapshot {
		return
	}
	u.snapshot = snapshot
	seen := map[string]bool{}
	for _, e := range snapshot.All() {
		if e.Kind != roster.KindEngine || e.Model != u.model || e.State == roster.StateStarting {
			continue
		}
		seen[e.ID] = true
		known, ok := u.engines[e.ID]
		if !ok || known.endpoint.Address != e.Address {
			if ok {
				u.ended(known)
			}
			fresh := &engine{endpoint: e, retry: newRetry()}
			if u.inherited {
				fresh.phase = loading
			}
			u.engines[e.ID] = fresh
			continue
		}
		known.endpoint = e
		load, reported := snapshot.Load(e.ID)
		if known.phase == switched && !known.busy && reported && load.Version > 0 && load.Version < u.version &&
			load.At.After(known.since) {
			known.phase, known.next = idle, now
		}
	}
	for id, e := range u.engines {
		if !seen[id] {
			u.ended(e)
			delete(u.engines, id)
		}
	}
}

func newRetry() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.RandomizationFactor = 100*time.Millisecond, 5*time.Second, 0.5
	return b
}

// decide lets the engines switch once all have loaded, or a while after three
// quarters have.
func (u *run) decide(now time.Time) {
	ready, done := 0, 0
	for _, e := range u.engines {
		if e.phase >= loaded {
			ready++
		}
		if e.phase == switched {
			done++
		}
	}
	all := len(u.engines)
	u.finished = done == all
	if u.three.IsZero() && all > 0 && 4*ready >= 3*all {
		u.three = now
	}
	if !u.together && all > 0 && (ready == all || !u.three.IsZero() && now.Sub(u.three) >= laggards) {
		u.together = true
		u.log.WithField("engines", all).WithField("loaded", ready).Info("engines switch")
	}
	u.rollout.note(u.trainer, func(p *Progress) {
		p.Engines, p.Loaded, p.Switched = all, ready, done
		if u.together && p.Together == 0 {
			p.Together = now.Sub(u.began)
		}
		if done == all && all > 0 && p.Whole == 0 {
			p.Whole = now.Sub(u.began)
		}
	})
}

// start runs one call to an engine unless too many are in progress.
func (u *run) start(ctx context.Context, e *engine, call func(context.Context, *engine)) bool {
	if u.calls >= callsAtOnce {
		return false
	}
	u.calls++
	e.busy = true
	u.done.Go(func() {
		call(ctx, e)
		u.mu.Lock()
		defer u.mu.Unlock()
		u.calls--
		e.busy = false
	})
	return true
}

// ended notes that an engine no longer loads.
func (u *run) ended(e *engine) {
	if e.counted {
		e.counted = false
		u.loads--
	}
}

// quicken allows more loads at the same time after one that began.
func (u *run) quicken() {
	grow := growLater
	if u.slowed.IsZero() {
		grow = growFirst
	}
	u.width = min(u.width+grow, loadsAtMost)
}

// fail counts a load that failed without a rate limit. A few are faults of the
// engines; more than that are taken for a store that cannot follow.
func (u *run) fail(now time.Time) {
	if now.Sub(u.failing) >= slowEvery {
		u.failures, u.failing = 0, now
	}
	u.failures++
	if u.failures > 1 && float64(u.failures) > failuresOfEngines*float64(u.loads) {
		u.slow(now)
	}
}

// slow lowers the number of loads at the same time.
func (u *run) slow(now time.Time) {
	if now.Sub(u.slowed) >= slowEvery {
		u.width, u.slowed = max(u.width*slowFactor, 1), now
	}
}

func (u *run) load(ctx context.Context, e *engine) {
	limit, cancel := u.rollout.timers.WithTimeout(ctx, loadLimit)
	defer cancel()
	err := u.rollout.seams.Load(limit, e.endpoint, u.trainer, u.version, u.fence)
	u.mu.Lock()
	if err == nil {
		e.phase = loading
		u.quicken()
	}
	u.mu.Unlock()
	if err != nil {
		u.failed(e, err, "load")
		return
	}
	u.ask(ctx, e)
}

// ask asks an engine how far it is. An engine that neither has the version nor
// loads it starts again.
func (u *run) ask(ctx context.Context, e *engine) {
	ctx, cancel := u.rollout.timers.WithTimeout(ctx, callLimit)
	defer cancel()
	status, err := u.rollout.seams.Status(ctx, e.endpoint)
	if err != nil {
		u.failed(e, err, "status")
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.rollout.timers.Now()
	defer func() { e.asked = true }()
	switch {
	case status.Active == u.version:
		u.arrived(e, now)
	case status.has(u.version):
		u.reached(e, loaded)
		e.next = now
	case status.Loading == u.version:
		e.phase = loading
		e.next = now.Add(100*time.Millisecond + rand.N(100*time.Millisecond))
	default:
		if e.counted {
			u.ended(e)
			u.fail(now)
		}
		e.phase, e.next = idle, now
		if e.asked {
			e.next = now.Add(e.retry.NextBackOff())
		}
	}
}

func (u *run) reached(e *engine, p phase) {
	if e.counted {
		u.ended(e)
	}
	e.phase = p
	e.retry.Reset()
}

func (u *run) change(ctx context.Context, e *engine) {
	if _, held := u.lease.Held(); !held {
		return
	}
	ctx, cancel := u.rollout.timers.WithTimeout(ctx, callLimit)
	defer cancel()
	if err := u.rollout.seams.Switch(ctx, e.endpoint, u.trainer, u.version, u.fence); err != nil {
		u.failed(e, err, "switch")
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.arrived(e, u.rollout.timers.Now())
}

func (u *run) arrived(e *engine, now time.Time) {
	u.reached(e, switched)
	e.since, e.next = now, now.Add(recheckEvery+rand.N(recheckEvery/2))
}

// failed puts the engine's next call off. After a failed switch the engine is
// asked first, since the switch may have happened or the weights may be gone.
func (u *run) failed(e *engine, err error, call string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.rollout.timers.Now()
	wait, limited := u.rollout.seams.Limited(err)
	if call == "load" {
		u.ended(e)
		if limited {
			u.slow(now)
		} else {
			u.fail(now)
		}
	}
	if e.phase >= loaded {
		e.phase = loading
	}
	if limited {
		e.next = now.Add(max(wait, limitedWait) + rand.N(limitedWait))
	} else {
		e.next = now.Add(e.retry.NextBackOff())
	}
	u.log.WithError(err).WithField("endpoint", e.endpoint.ID).WithField("call", call).Debug("engine failed")
}
