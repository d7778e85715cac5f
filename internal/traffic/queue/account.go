package queue

import (
	"math"
	"time"
)

const (
	// memory is the time constant with which received work is forgotten. Work that an
	// account received beyond others counts like a slot that it occupies for this time.
	memory = 500 * time.Millisecond
	// minForgetAt is the number of accounts up to which idle ones are kept.
	minForgetAt = 64
	// minReceived is the received work, in seconds, below which an idle account counts as
	// one that is not known.
	minReceived = 1e-4
)

// account holds the running requests of one client account over all models, their cost,
// and the work that the account received lately: the seconds for which its requests
// occupied slots, each forgotten with the time constant memory.
type account struct {
	cost     int64
	running  int
	received float64
	at       time.Time // up to which received is counted
}

// advance counts the work that the running requests received up to now.
func (a *account) advance(now time.Time) {
	elapsed := now.Sub(a.at)
	if elapsed <= 0 {
		return
	}
	a.at = now
	if a.running == 0 && a.received == 0 {
		return
	}
	kept := math.Exp(-elapsed.Seconds() / memory.Seconds())
	a.received = a.received*kept + float64(a.running)*memory.Seconds()*(1-kept)
}

// correct replaces the time for which a request occupied its slot by the time for which
// one of its cost usually does: what an account receives is work, and a slow endpoint does
// not do more of it. Of a long request only the part that is not forgotten is replaced.
func (a *account) correct(held, expected time.Duration) {
	if expected <= 0 || held <= 0 {
		return
	}
	remembered := min(1, memory.Seconds()/held.Seconds())
	a.received = max(0, a.received+(expected-held).Seconds()*remembered)
}

// slots returns the work that the account receives, in slots that it occupies all the time:
// the mean of the running requests and of the work received lately.
func (a *account) slots() float64 {
	return (float64(a.running) + a.received/memory.Seconds()) / 2
}

// forgetIdle removes accounts that received nothing lately once there are many.
func (q *Queue) forgetIdle() {
	if len(q.accounts) < max(minForgetAt, q.forgetAt) {
		return
	}
	now := q.timers.Now()
	for name, a := range q.accounts {
		if a.advance(now); a.running == 0 && a.received < minReceived {
			delete(q.accounts, name)
		}
	}
	q.forgetAt = 2 * len(q.accounts)
}

// Received returns the work that each account receives here, in slots that it occupies all
// the time, and whether a request had to wait since the last call.
func (q *Queue) Received() (slots map[string]float64, waited bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	waited, q.waited = q.waited, false
	if !waited {
		return nil, false
	}
	now := q.timers.Now()
	slots = make(map[string]float64, len(q.accounts))
	for name, a := range q.accounts {
		a.advance(now)
		slots[name] = a.slots()
	}
	return slots, true
}
