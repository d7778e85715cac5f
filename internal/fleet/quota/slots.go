package quota

import (
	"sync"
	"time"
)

const (
	// wantedPeriod is how long an instance outside the cell keeps requesting
	// slots of an endpoint after its last call of RequestSlots.
	wantedPeriod = 3 * time.Second
	// coldFactor is the multiple of the warm baseline above which the time to
	// the first token is a degradation, which returns the endpoint to the start
	// of the ramp.
	coldFactor = 4
	// minColdLatency is the time to the first token up to which nothing is a
	// degradation. It keeps the scheduling noise of a fast endpoint from
	// counting as one.
	minColdLatency = 100 * time.Millisecond
	// baselineWeight is the weight of a new value in the warm baseline, a
	// moving average.
	baselineWeight = 0.1
	// minBaselineSamples is the number of answers after which the baseline is
	// used.
	minBaselineSamples = 8
)

// Outcome is how the work on a slot ended.
type Outcome struct {
	// FirstToken is the time to the first token or byte, 0 when none came.
	FirstToken time.Duration
	Took       time.Duration
	// Failed is set when the endpoint failed. A request that its caller
	// cancelled is no failure, and it is a success only if FirstToken or Took
	// is set.
	Failed bool
	Cost   int64
}

// Slot is the right to run one request on an endpoint.
type Slot struct {
	pool       *Pool
	slots      *endpointSlots
	account    string
	cost       int64
	rampPeriod rampPeriod
	once       sync.Once
}

// rampPeriod identifies a period between two degradations of an endpoint at one
// home instance.
type rampPeriod struct {
	home        string
	incarnation uint64
	epoch       uint32
}

// endpointSlots holds this instance's grant and running work on one endpoint.
// Its lock is held for a few instructions only. Besides the notifier's, it is
// the only lock of this package that requests take.
type endpointSlots struct {
	endpoint, model string

	mu               sync.Mutex
	running          int
	runningByAccount map[string]int
	costByAccount    map[string]int64
	allotment        int
	grantEnd         time.Time // when the allotment expires
	wantedUntil      time.Time
	// ramp is the last known value of the ramp, as of rampAt.
	ramp   int
	rampAt time.Time
	// successes and cold are the outcomes within rampPeriod.
	rampPeriod rampPeriod
	successes  uint64
	cold       bool
	// baseline is the average time to the first token, over samples answers.
	baseline float64
	samples  int
}

func (e *endpointSlots) free(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.freeLocked(now)
}

func (e *endpointSlots) freeLocked(now time.Time) int {
	if e.cold || !now.Before(e.grantEnd) {
		return 0
	}
	return max(e.allotment-e.running, 0)
}

func (e *endpointSlots) take(p *Pool, account string) (*Slot, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	// The time is read under the lock: a goroutine that waited for the lock
	// must not start work after the grant has ended.
	if e.freeLocked(p.timers.Now()) == 0 {
		return nil, false
	}
	e.running++
	e.runningByAccount[account]++
	e.costByAccount[account]++
	return &Slot{pool: p, slots: e, account: account, cost: 1, rampPeriod: e.rampPeriod}, true
}

func (e *endpointSlots) setWanted(until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.wantedUntil = until
}

// Charge sets the running cost of the slot's work, which is 1 until then.
func (s *Slot) Charge(cost int64) {
	s.slots.mu.Lock()
	defer s.slots.mu.Unlock()
	s.slots.costByAccount[s.account] += cost - s.cost
	s.cost = cost
}

// Release gives the slot back. Calls after the first one have no effect.
func (s *Slot) Release(outcome Outcome) {
	s.once.Do(func() {
		s.slots.release(s, outcome)
		s.pool.notifier.notify()
	})
}

func (e *endpointSlots) release(s *Slot, outcome Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if e.runningByAccount[s.account]--; e.runningByAccount[s.account] == 0 {
		delete(e.runningByAccount, s.account)
	}
	if e.costByAccount[s.account] -= s.cost; e.runningByAccount[s.account] == 0 {
		delete(e.costByAccount, s.account)
	}
	// Work that started before the last degradation does not show the
	// endpoint's state since then. Counting it would return the endpoint to the
	// start of the ramp again and again.
	if s.rampPeriod != e.rampPeriod || e.cold {
		return
	}
	if outcome.Failed || e.degraded(outcome.FirstToken) {
		e.cold, e.ramp, e.rampAt = true, 1, s.pool.timers.Now()
		return
	}
	if outcome.FirstToken <= 0 && outcome.Took <= 0 {
		return
	}
	e.successes++
	if outcome.FirstToken > 0 {
		e.updateBaseline(outcome.FirstToken)
	}
}

func (e *endpointSlots) degraded(first time.Duration) bool {
	return e.samples >= minBaselineSamples && first > minColdLatency && float64(first) > coldFactor*e.baseline
}

func (e *endpointSlots) updateBaseline(first time.Duration) {
	if e.samples++; e.samples == 1 {
		e.baseline = float64(first)
		return
	}
	e.baseline += baselineWeight * (float64(first) - e.baseline)
}

// slotState is the part of endpointSlots that a report on the endpoint needs.
type slotState struct {
	running, held, ramp int
	rampAge             time.Duration
	rampPeriod          rampPeriod
	successes           uint64
	cold, wanted        bool
}

func (e *endpointSlots) state(now time.Time) slotState {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := slotState{running: e.running, ramp: e.ramp, rampPeriod: e.rampPeriod, successes: e.successes, cold: e.cold, wanted: now.Before(e.wantedUntil)}
	s.rampAge = now.Sub(e.rampAt)
	if now.Before(e.grantEnd) {
		s.held = e.allotment
	}
	return s
}

// dropGrant ends the grant of an earlier home instance.
func (e *endpointSlots) dropGrant() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.allotment, e.grantEnd = 0, time.Time{}
}

// grant applies a new allotment and reports whether more slots are free than
// before.
func (e *endpointSlots) grant(allotment, ramp int, period rampPeriod, now, until time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.freeLocked(now)
	e.allotment, e.grantEnd = allotment, until
	if period != e.rampPeriod {
		e.rampPeriod, e.successes, e.cold = period, 0, false
	}
	if ramp > 0 && !e.cold {
		e.ramp, e.rampAt = ramp, now
	}
	return e.freeLocked(now) > before
}
