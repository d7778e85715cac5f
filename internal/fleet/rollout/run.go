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
	// watchPeriod is the period in which leases and announcements are checked.
	watchPeriod = 200 * time.Millisecond
	// stepPeriod is the period of the steps of a running roll-out.
	stepPeriod = 50 * time.Millisecond
	// finishedPeriod is the period of the steps once all engines have switched.
	// It is longer because each step examines every engine.
	finishedPeriod = time.Second
	// initialLoadLimit is the number of engines that load at the same time at
	// first. The limit grows with each load that begins and shrinks at a failure
	// or rate limit: with a fixed 8, 1,300 engines of a trainer need 163 rounds,
	// which cannot end within 10 s. Before the first failure it grows by
	// initialIncrease, for engines that answer only when they have loaded: if it
	// doubled, 1,300 of them that load for a second would need 8 s.
	initialLoadLimit = 8
	initialIncrease  = 3
	laterIncrease    = 0.6
	maxLoadLimit     = 2048
	// decreasePeriod is the time in which all failures count as one: engines that
	// began together meet the rate limit together.
	decreasePeriod = 500 * time.Millisecond
	decreaseFactor = 0.8
	// toleratedFailures is the share of the loads in progress that may fail
	// within decreasePeriod because of faulty engines. One faulty engine among the
	// first loads must not slow down the roll-out to the other 1,299.
	toleratedFailures = 0.1
	// rateLimitPause is the pause of an engine that met the rate limit, when the
	// limit names none. It does not grow, since the lower number of loads in
	// progress already reduces the rate.
	rateLimitPause = 200 * time.Millisecond
	// maxParallelCalls bounds the calls in progress when all engines switch.
	maxParallelCalls = 256
	callTimeout      = 2 * time.Second
	// loadTimeout is longer, for engines that answer only when they have loaded.
	loadTimeout = 10 * time.Second
	// stragglerTimeout is how long the other engines wait for the last quarter to
	// load.
	stragglerTimeout = 5 * time.Second
	// recheckPeriod is the period in which a finished engine is asked whether it
	// still has the version.
	recheckPeriod = 5 * time.Minute
)

// phase is the progress of an engine.
type phase int

const (
	idle phase = iota
	loading
	loaded
	switched
)

// engine is the state of one engine in a roll-out.
type engine struct {
	endpoint    roster.Endpoint
	phase       phase
	busy        bool
	statusKnown bool // the engine has answered a status call
	counted     bool // included in run.loads
	nextCallAt  time.Time
	switchedAt  time.Time // when the engine was last known to run the version
	retry       *backoff.ExponentialBackOff
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

	mu             sync.Mutex
	engines        map[string]*engine
	loadLimit      float64 // highest number of loads in progress
	calls          int     // calls in progress
	loads          int     // loads in progress
	decreasedAt    time.Time
	failures       int       // loads that failed since failuresSince
	failuresSince  time.Time // start of the current period of failures
	quorumAt       time.Time // when three quarters of the engines had loaded
	switching      bool      // the engines may switch
	inStore        bool      // the weight store has the version
	nextStoreCheck time.Time
	snapshot       *roster.Snapshot
	finished       bool
	steppedAt      time.Time
	// inherited means that an earlier holder of the lease may have begun this
	// roll-out, so that engines are asked for their status before they are
	// ordered to load.
	inherited bool
}

func (u *run) end() {
	u.cancel()
	u.done.Wait()
}

// drive steps until the lease is lost or the roll-out is replaced. It continues
// after all engines have switched, for engines that start later or restart with
// old weights.
func (u *run) drive() {
	ticks := u.rollout.timers.Subscribe(stepPeriod)
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
	if !u.inStore && !u.checkStore(ctx) {
		return
	}
	now := u.rollout.timers.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.finished && now.Sub(u.steppedAt) < finishedPeriod {
		return
	}
	u.steppedAt = now
	u.updateEngines(now)
	u.evaluateProgress(now)
	for _, e := range u.engines {
		if e.busy || now.Before(e.nextCallAt) {
			continue
		}
		switch e.phase {
		case idle:
			if u.loads < int(u.loadLimit) && u.start(ctx, e, u.load) {
				u.loads++
				e.counted = true
			}
		case loading:
			u.start(ctx, e, u.checkStatus)
		case loaded:
			if u.switching {
				u.start(ctx, e, u.switchVersion)
			}
		case switched:
			u.start(ctx, e, u.checkStatus)
		}
	}
}

func (u *run) checkStore(ctx context.Context) bool {
	if u.rollout.timers.Now().Before(u.nextStoreCheck) {
		return false
	}
	call, cancel := u.rollout.timers.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := u.rollout.seams.CheckStored(call, u.trainer, u.version)
	if err != nil {
		u.log.WithError(err).Warn("check of the weight store for the version failed, will retry")
		u.nextStoreCheck = u.rollout.timers.Now().Add(max(u.rateLimitWait(err), 200*time.Millisecond))
		return false
	}
	u.inStore = true
	return true
}

func (u *run) rateLimitWait(err error) time.Duration {
	wait, _ := u.rollout.seams.RateLimited(err)
	return wait
}

// updateEngines applies a new endpoint list. Engines that are new or have a new
// address begin the roll-out; so do engines that report an older version after
// they had switched.
func (u *run) updateEngines(now time.Time) {
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
				u.loadEnded(known)
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
			load.At.After(known.switchedAt) {
			known.phase, known.nextCallAt = idle, now
		}
	}
	for id, e := range u.engines {
		if !seen[id] {
			u.loadEnded(e)
			delete(u.engines, id)
		}
	}
}

func newRetry() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.RandomizationFactor = 100*time.Millisecond, 5*time.Second, 0.5
	return b
}

// evaluateProgress lets the engines switch once all have loaded, or
// stragglerTimeout after three quarters have.
func (u *run) evaluateProgress(now time.Time) {
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
	if u.quorumAt.IsZero() && all > 0 && 4*ready >= 3*all {
		u.quorumAt = now
	}
	if !u.switching && all > 0 && (ready == all || !u.quorumAt.IsZero() && now.Sub(u.quorumAt) >= stragglerTimeout) {
		u.switching = true
		u.log.WithField("engines", all).WithField("loaded", ready).Info("engines switch")
	}
	u.rollout.updateProgress(u.trainer, func(p *Progress) {
		p.Engines, p.Loaded, p.Switched = all, ready, done
		if u.switching && p.SwitchDelay == 0 {
			p.SwitchDelay = now.Sub(u.began)
		}
		if done == all && all > 0 && p.TotalTime == 0 {
			p.TotalTime = now.Sub(u.began)
		}
	})
}

// start runs one call to an engine unless maxParallelCalls are in progress.
func (u *run) start(ctx context.Context, e *engine, call func(context.Context, *engine)) bool {
	if u.calls >= maxParallelCalls {
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

// loadEnded removes the engine from the loads in progress.
func (u *run) loadEnded(e *engine) {
	if e.counted {
		e.counted = false
		u.loads--
	}
}

// increaseLoadLimit raises the limit on loads in progress after one that began.
func (u *run) increaseLoadLimit() {
	grow := laterIncrease
	if u.decreasedAt.IsZero() {
		grow = initialIncrease
	}
	u.loadLimit = min(u.loadLimit+grow, maxLoadLimit)
}

// countFailure counts a load that failed without a rate limit. A few failures are
// attributed to the engines; more than that to an overloaded weight store.
func (u *run) countFailure(now time.Time) {
	if now.Sub(u.failuresSince) >= decreasePeriod {
		u.failures, u.failuresSince = 0, now
	}
	u.failures++
	if u.failures > 1 && float64(u.failures) > toleratedFailures*float64(u.loads) {
		u.decreaseLoadLimit(now)
	}
}

// decreaseLoadLimit lowers the limit on loads in progress, at most once within
// decreasePeriod.
func (u *run) decreaseLoadLimit(now time.Time) {
	if now.Sub(u.decreasedAt) >= decreasePeriod {
		u.loadLimit, u.decreasedAt = max(u.loadLimit*decreaseFactor, 1), now
	}
}

func (u *run) load(ctx context.Context, e *engine) {
	limit, cancel := u.rollout.timers.WithTimeout(ctx, loadTimeout)
	defer cancel()
	err := u.rollout.seams.Load(limit, e.endpoint, u.trainer, u.version, u.fence)
	u.mu.Lock()
	if err == nil {
		e.phase = loading
		u.increaseLoadLimit()
	}
	u.mu.Unlock()
	if err != nil {
		u.callFailed(e, err, "load")
		return
	}
	u.checkStatus(ctx, e)
}

// checkStatus asks an engine for its status. An engine that neither has the
// version nor is loading it starts again.
func (u *run) checkStatus(ctx context.Context, e *engine) {
	ctx, cancel := u.rollout.timers.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := u.rollout.seams.Status(ctx, e.endpoint)
	if err != nil {
		u.callFailed(e, err, "status")
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.rollout.timers.Now()
	defer func() { e.statusKnown = true }()
	switch {
	case status.Active == u.version:
		u.markSwitched(e, now)
	case status.has(u.version):
		u.setPhase(e, loaded)
		e.nextCallAt = now
	case status.Loading == u.version:
		e.phase = loading
		e.nextCallAt = now.Add(100*time.Millisecond + rand.N(100*time.Millisecond))
	default:
		if e.counted {
			u.loadEnded(e)
			u.countFailure(now)
		}
		e.phase, e.nextCallAt = idle, now
		if e.statusKnown {
			e.nextCallAt = now.Add(e.retry.NextBackOff())
		}
	}
}

func (u *run) setPhase(e *engine, p phase) {
	if e.counted {
		u.loadEnded(e)
	}
	e.phase = p
	e.retry.Reset()
}

func (u *run) switchVersion(ctx context.Context, e *engine) {
	if _, held := u.lease.Held(); !held {
		return
	}
	ctx, cancel := u.rollout.timers.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := u.rollout.seams.Switch(ctx, e.endpoint, u.trainer, u.version, u.fence); err != nil {
		u.callFailed(e, err, "switch")
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.markSwitched(e, u.rollout.timers.Now())
}

func (u *run) markSwitched(e *engine, now time.Time) {
	u.setPhase(e, switched)
	e.switchedAt, e.nextCallAt = now, now.Add(recheckPeriod+rand.N(recheckPeriod/2))
}

// callFailed delays the engine's next call. After a failed switch the engine is
// asked for its status first, since it may have switched or lost the weights.
func (u *run) callFailed(e *engine, err error, call string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.rollout.timers.Now()
	wait, limited := u.rollout.seams.RateLimited(err)
	if call == "load" {
		u.loadEnded(e)
		if limited {
			u.decreaseLoadLimit(now)
		} else {
			u.countFailure(now)
		}
	}
	if e.phase >= loaded {
		e.phase = loading
	}
	if limited {
		e.nextCallAt = now.Add(max(wait, rateLimitPause) + rand.N(rateLimitPause))
	} else {
		e.nextCallAt = now.Add(e.retry.NextBackOff())
	}
	u.log.WithError(err).WithField("endpoint", e.endpoint.ID).WithField("call", call).Debug("call to engine failed")
}
