package ratelimit

import (
	"slices"
	"time"
)

const (
	// burstTime is the time whose permits a token bucket may hold at most, and
	// coldBurstTime that while the endpoint is cold. They bound what an endpoint gets at
	// once after a pause.
	burstTime     = time.Second
	coldBurstTime = 500 * time.Millisecond
	// batchTime is the time whose permits one ask may get at once.
	batchTime = 50 * time.Millisecond
	// tokenSlack is more than sums of parts of a token lose by rounding.
	tokenSlack = 1e-6
)

// bucket is a token bucket from which this process grants the permits of an endpoint,
// with a queue of asks that is fair between client accounts.
type bucket struct {
	tokens     float64
	rate       float64 // permits per second that this process grants
	burst      time.Duration
	share      float64 // part of the endpoint's rate that this process grants
	refilledAt time.Duration
	usedAt     time.Duration // latest ask
	flows      []*flow       // accounts with waiting asks, the next one first
	pumping    bool          // whether a goroutine grants permits to the waiting asks
}

// flow holds the waiting asks of one client account.
type flow struct {
	account string
	waiting []*waiter
}

// waiter is an ask that waits for a permit. granted is closed once it has one.
type waiter struct {
	granted chan struct{}
}

// refill adds the tokens since the last refill, and sets the rate and the burst time
// from now on.
func (b *bucket) refill(now time.Duration, share, rate float64, burst time.Duration) {
	b.tokens = min(b.capacity(), b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.share, b.rate, b.burst, b.refilledAt = share, share*rate, burst, now
}

// whole returns the number of tokens that can be given out.
func (b *bucket) whole() int { return int(b.tokens + tokenSlack) }

func (b *bucket) capacity() float64 { return max(1, b.rate*b.burst.Seconds()) }

// take removes up to count tokens, if no ask waits for one, and returns their number.
func (b *bucket) take(count int) int {
	if len(b.flows) > 0 || b.rate == 0 {
		return 0
	}
	taken := min(count, b.whole(), max(1, int(b.rate*batchTime.Seconds())))
	b.tokens -= float64(taken)
	return taken
}

// wait estimates how long a new ask of an account waits for a permit.
func (b *bucket) wait(account string) time.Duration {
	total, own := 0, 0
	for _, f := range b.flows {
		total += len(f.waiting)
		if f.account == account {
			own = len(f.waiting)
		}
	}
	ahead := min(total, (own+1)*len(b.flows))
	return b.timeFor(float64(ahead) + 1)
}

// timeFor returns the time until the bucket has given out a number of tokens.
func (b *bucket) timeFor(tokens float64) time.Duration {
	if b.rate == 0 {
		return unreachableRetry
	}
	return time.Duration(max(0, tokens-b.tokens) / b.rate * float64(time.Second))
}

func (b *bucket) enqueue(account string) *waiter {
	w := &waiter{granted: make(chan struct{})}
	for _, f := range b.flows {
		if f.account == account {
			f.waiting = append(f.waiting, w)
			return w
		}
	}
	b.flows = append(b.flows, &flow{account: account, waiting: []*waiter{w}})
	return w
}

// remove drops a waiter and reports whether it was still waiting.
func (b *bucket) remove(w *waiter) bool {
	for i, f := range b.flows {
		at := slices.Index(f.waiting, w)
		if at < 0 {
			continue
		}
		if f.waiting = slices.Delete(f.waiting, at, at+1); len(f.waiting) == 0 {
			b.flows = slices.Delete(b.flows, i, i+1)
		}
		return true
	}
	return false
}

// grantNext grants a permit to the next waiter. The accounts take turns.
func (b *bucket) grantNext() {
	f := b.flows[0]
	b.flows = b.flows[1:]
	close(f.waiting[0].granted)
	if f.waiting = f.waiting[1:]; len(f.waiting) > 0 {
		b.flows = append(b.flows, f)
	}
}
