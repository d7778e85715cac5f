package share

import (
	"sync"
	"time"
)

const (
	// wantedFor is how long an instance outside the cell asks for slots of an
	// endpoint after its last request for one.
	wantedFor = 3 * time.Second
	// coldFactor is the degradation that returns an endpoint to the ramp: a
	// first token that takes this multiple of the warm baseline.
	coldFactor = 4
	// coldLeast keeps the scheduling noise of a fast endpoint from counting as
	// degradation.
	coldLeast = 100 * time.Millisecond
	// baselineWeight is the weight of a new value in the warm baseline.
	baselineWeight = 0.1
	// baselineFrom is the number of answers that a baseline needs.
	baselineFrom = 8
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
	hold       *hold
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

// hold is this instance's part of an endpoint. Its lock is held for a few
// instructions only; it is the only lock that traffic takes here.
type hold struct {
	endpoint, model string

	mu         sync.Mutex
	total      int
	running    map[string]int
	costs      map[string]int64
	allotment  int
	until      time.Time
	wanted     time.Time
	rampPeriod rampPeriod
	ramp       int
	rampAt     time.Time
	good       uint64
	cold       bool
	baseline   float64
	answers    int
}

func (h *hold) free(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.freeLocked(now)
}

func (h *hold) freeLocked(now time.Time) int {
	if h.cold || !now.Before(h.until) {
		return 0
	}
	return max(h.allotment-h.total, 0)
}

func (h *hold) take(p *Pool, account string) (*Slot, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// The time is read under the lock: a goroutine that waited for the lock
	// must not start work after the grant has ended.
	if h.freeLocked(p.timers.Now()) == 0 {
		return nil, false
	}
	h.total++
	h.running[account]++
	h.costs[account]++
	return &Slot{pool: p, hold: h, account: account, cost: 1, rampPeriod: h.rampPeriod}, true
}

func (h *hold) want(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wanted = until
}

// Charge states the running cost of the slot's work; it is 1 before.
func (s *Slot) Charge(cost int64) {
	s.hold.mu.Lock()
	defer s.hold.mu.Unlock()
	s.hold.costs[s.account] += cost - s.cost
	s.cost = cost
}

// Release gives the slot back. Only the first call counts.
func (s *Slot) Release(outcome Outcome) {
	s.once.Do(func() {
		s.hold.release(s, outcome)
		s.pool.notice.notify()
	})
}

func (h *hold) release(s *Slot, outcome Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.total--
	if h.running[s.account]--; h.running[s.account] == 0 {
		delete(h.running, s.account)
	}
	if h.costs[s.account] -= s.cost; h.running[s.account] == 0 {
		delete(h.costs, s.account)
	}
	// Work that started before the last degradation says nothing about the
	// endpoint since: counting it would degrade the endpoint again and again.
	if s.rampPeriod != h.rampPeriod || h.cold {
		return
	}
	if outcome.Failed || h.degraded(outcome.FirstToken) {
		h.cold, h.ramp, h.rampAt = true, 1, s.pool.timers.Now()
		return
	}
	if outcome.FirstToken <= 0 && outcome.Took <= 0 {
		return
	}
	h.good++
	if outcome.FirstToken > 0 {
		h.learn(outcome.FirstToken)
	}
}

func (h *hold) degraded(first time.Duration) bool {
	return h.answers >= baselineFrom && first > coldLeast && float64(first) > coldFactor*h.baseline
}

func (h *hold) learn(first time.Duration) {
	if h.answers++; h.answers == 1 {
		h.baseline = float64(first)
		return
	}
	h.baseline += baselineWeight * (float64(first) - h.baseline)
}

// holding is what a report says about an endpoint.
type holding struct {
	total, held, ramp int
	rampAge           time.Duration
	rampPeriod        rampPeriod
	good              uint64
	cold, wanted      bool
}

func (h *hold) state(now time.Time) holding {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := holding{total: h.total, ramp: h.ramp, rampPeriod: h.rampPeriod, good: h.good, cold: h.cold, wanted: now.Before(h.wanted)}
	s.rampAge = now.Sub(h.rampAt)
	if now.Before(h.until) {
		s.held = h.allotment
	}
	return s
}

// dropGrant ends the grant of an earlier home instance.
func (h *hold) dropGrant() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.allotment, h.until = 0, time.Time{}
}

// grant takes over an allotment and reports whether it frees slots.
func (h *hold) grant(allotment, ramp int, s rampPeriod, now, until time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.freeLocked(now)
	h.allotment, h.until = allotment, until
	if s != h.rampPeriod {
		h.rampPeriod, h.good, h.cold = s, 0, false
	}
	if ramp > 0 && !h.cold {
		h.ramp, h.rampAt = ramp, now
	}
	return h.freeLocked(now) > before
}
