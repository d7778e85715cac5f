package share

import (
	"sync"
	"time"
)

const (
	// wantedPeriod is how long an instance outside the cell asks for slots of an
	// endpoint after its last request for one.
	wantedPeriod = 3 * time.Second
	// coldFactor is the degradation that returns an endpoint to the ramp: a
	// first token that takes this multiple of the warm baseline.
	coldFactor = 4
	// minColdLatency keeps the scheduling noise of a fast endpoint from counting as
	// degradation.
	minColdLatency = 100 * time.Millisecond
	// baselineWeight is the weight of a new value in the warm baseline.
	baselineWeight = 0.1
	// minBaselineSamples is the number of answers that a baseline needs.
	minBaselineSamples = 8
)

// Outcome is how the work on a slot ended.
type Outcome struct {
	// FirstToken is the time to the first token or byte, 0 when none came.
	FirstToken time.Duration
	Took       time.Duration
	// Failed: the endpoint failed. A caller that gave up is no failure, and no
	// success unless a time is given.
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

// rampPeriod identifies a run of the ramp without degradation.
type rampPeriod struct {
	home        string
	incarnation uint64
	epoch       uint32
}

// endpointSlots is this instance's part of an endpoint. Its lock is held for a few
// instructions only; it is the only lock that traffic takes here.
type endpointSlots struct {
	endpoint, model string

	mu               sync.Mutex
	running          int
	runningByAccount map[string]int
	costByAccount    map[string]int64
	allotment        int
	grantEnd         time.Time
	wantedUntil      time.Time
	rampPeriod       rampPeriod
	ramp             int
	rampAt           time.Time
	successes        uint64
	cold             bool
	baseline         float64
	samples          int
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

// Charge states the running cost of the slot's work; it is 1 before.
func (s *Slot) Charge(cost int64) {
	s.slots.mu.Lock()
	defer s.slots.mu.Unlock()
	s.slots.costByAccount[s.account] += cost - s.cost
	s.cost = cost
}

// Release gives the slot back. Only the first call counts.
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
	// Work that started before the last degradation says nothing about the
	// endpoint since: counting it would degrade the endpoint again and again.
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

// slotState is what a report says about an endpoint.
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

// grant takes over an allotment and reports whether it frees slots.
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
