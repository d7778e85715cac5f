package ratelimit

import (
	"context"
	"time"
)

const (
	// confirmedShare is the part of an endpoint's rate that the first process of the
	// order grants once the next ones have confirmed that they grant nothing, and
	// unconfirmedShare the part until then.
	confirmedShare   = 1.0
	unconfirmedShare = 0.5
	// confirmations is the number of processes that have to confirm it.
	confirmations = 3
)

// takeoverShares are the parts that a process further down the order grants, by the
// number of silent processes before it. They may still grant to others, but the first one
// is not confirmed then: at worst 0.5 + 0.5 + 0.25 of the rate are granted at a time.
var takeoverShares = []float64{1: 0.5, 2: 0.25}

// shareLogInterval is the time between two log lines about this process's share.
const shareLogInterval = time.Second

// share returns the part of the endpoint's rate that this process grants now.
func (l *Limiter) share(r *record, now time.Duration) float64 {
	order, before := l.grantors(r), 0 // before counts the silent processes
	at := 0
	for ; at < len(order) && order[at].ID != l.options.Self; at++ {
		switch l.reach(order[at].ID, now) {
		case reachable:
			return 0
		case silent:
			before++
		case ended:
		}
	}
	if at == len(order) || now < l.claims[r.endpoint.ID].until {
		return 0
	}
	switch {
	case before >= len(takeoverShares):
		return 0
	case before > 0:
		return takeoverShares[before]
	case l.isConfirmed(r, now):
		return confirmedShare
	}
	return unconfirmedShare
}

// isConfirmed reports whether the next processes of the order grant nothing.
func (l *Limiter) isConfirmed(r *record, now time.Duration) bool {
	for _, m := range l.successors(r, now) {
		if at, known := r.confirmed[m.ID]; !known || now-at >= claimTime {
			return false
		}
	}
	return true
}

// refill updates the token bucket of the endpoint and returns this process's share.
func (l *Limiter) refill(r *record, now time.Duration) float64 {
	share := l.share(r, now)
	if share > 0 {
		if now-r.bucket.usedAt > claimPeriod {
			wake(l.claimNow)
		}
		r.bucket.usedAt = now
	}
	r.bucket.refill(now, share, r.rate(now), r.burst(now))
	if share > 0 && share != r.loggedShare && now-r.shareLogAt > shareLogInterval {
		r.loggedShare, r.shareLogAt = share, now
		l.logLimit(r).WithField("rate", r.rate(now)).Info("granting permits of an endpoint")
	}
	return share
}

// grantHere grants permits of the endpoint from this process's token bucket. It waits
// for the first one for up to a.wait. It returns false if this process grants none.
func (l *Limiter) grantHere(ctx context.Context, e Endpoint, a ask) (reply *AskReply, grants bool) {
	l.mu.Lock()
	r, now := l.record(e), l.timers.Uptime()
	if r.rate(now) == 0 {
		defer l.mu.Unlock()
		return l.reply(r, a.count, 0), true
	}
	if l.refill(r, now) == 0 {
		defer l.mu.Unlock()
		return nil, false
	}
	if taken := r.bucket.take(a.count); taken > 0 || a.count == 0 {
		defer l.mu.Unlock()
		return l.reply(r, taken, 0), true
	}
	if wait := r.bucket.wait(a.account); wait > a.wait {
		defer l.mu.Unlock()
		return l.reply(r, 0, wait), true
	}
	w := r.bucket.enqueue(a.account)
	if !r.bucket.pumping {
		r.bucket.pumping = true
		go l.pump(r)
	}
	l.mu.Unlock()
	granted := l.await(ctx, r, w, a.wait)
	l.mu.Lock()
	defer l.mu.Unlock()
	if granted {
		return l.reply(r, 1, 0), true
	}
	return l.reply(r, 0, r.bucket.wait(a.account)), true
}

// await waits for a permit and reports whether there is one.
func (l *Limiter) await(ctx context.Context, r *record, w *waiter, wait time.Duration) bool {
	timer := l.timers.After(wait)
	defer timer.Stop()
	select {
	case <-w.granted:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !r.bucket.remove(w)
}

// reply returns the answer to an ask.
func (l *Limiter) reply(r *record, granted int, retry time.Duration) *AskReply {
	return &AskReply{
		Granted: int32(granted), RetryMs: int64((retry + time.Millisecond - 1) / time.Millisecond),
		Limit: r.limit.rate, Share: r.bucket.share, Processes: int32(len(l.grantors(r))), Grantor: l.options.Self,
	}
}

// pumpInterval is the longest time after which pump looks at the rate again.
const pumpInterval = 100 * time.Millisecond

// pump grants permits to the waiting asks of an endpoint until none waits.
func (l *Limiter) pump(r *record) {
	for {
		delay, more := l.grantWaiting(r)
		if !more {
			return
		}
		_ = l.timers.Sleep(context.Background(), delay) // fails only if the context ends
	}
}

// grantWaiting grants what the token bucket holds, and returns the time until the next
// permit. It reports whether asks are still waiting.
func (l *Limiter) grantWaiting(r *record) (delay time.Duration, more bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timers.Uptime()
	l.refill(r, now)
	free := r.rate(now) == 0 // the limit has ended
	for len(r.bucket.flows) > 0 && (free || r.bucket.whole() > 0 && r.bucket.rate > 0) {
		r.bucket.grantNext()
		if !free {
			r.bucket.tokens--
		}
	}
	if len(r.bucket.flows) == 0 {
		r.bucket.pumping = false
		return 0, false
	}
	return min(pumpInterval, max(time.Millisecond, r.bucket.timeFor(1))), true
}

// wake sends to a channel with a buffer of one, unless it is full.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
