package replica

import "time"

const (
	// maxWaitingShare is the number of requests in an endpoint's own queue, as a
	// share of its slots, up to which processes send more. It is high enough to
	// keep the slots busy and low enough that requests do not wait long.
	maxWaitingShare = 0.5
	// answerIncrease is added to a limit, and loadDecrease (endpoint loaded) and
	// rejectionDecrease (request rejected) are the shares removed from it, over
	// as many answers as the limit allows requests at a time.
	answerIncrease    = 0.5
	loadDecrease      = 0.35
	rejectionDecrease = 0.5
	// increasePerSecond is added to each limit per second in addition, so that a
	// small limit does not depend on its own rare answers to grow.
	// maxIncreaseTime bounds the time that counts between two answers.
	increasePerSecond = 0.1
	maxIncreaseTime   = time.Second
	// initialLimit is the limit for an endpoint that has not answered yet.
	initialLimit = 2
	// minLimit is low enough for hundreds of processes that share an endpoint,
	// and above zero so that each of them still sends requests.
	minLimit = 0.02
)

// concurrencyLimiter limits the requests that this process runs at an endpoint
// at a time. Many processes send to the same endpoint without coordination. Each
// adapts its limit to the queue length that the endpoint reports, so that
// together they fill the slots but not the endpoint's queue. With a limit below
// one, each request is followed by a pause. The zero value sets no limit; it is
// used for endpoints that do not report their load.
type concurrencyLimiter struct {
	limit     float64
	loadKnown bool // the endpoint has reported its load
	updatedAt time.Time
}

// observeLoad adapts the limit to the load that an endpoint reported with an
// answer.
func (c *concurrencyLimiter) observeLoad(load Load, maxLimit float64, now time.Time) {
	if c.limit == 0 {
		c.limit = maxLimit
	}
	if !c.loadKnown {
		c.loadKnown, c.updatedAt = true, now
	}
	switch {
	case float64(load.Waiting) > maxWaitingShare*float64(load.Slots):
		c.decrease(loadDecrease)
	case load.Waiting == 0:
		c.limit += answerIncrease / max(1, c.limit)
	}
	c.limit = min(maxLimit, c.limit+increasePerSecond*min(maxIncreaseTime, now.Sub(c.updatedAt)).Seconds())
	c.updatedAt = now
}

// observeAnswer removes the limit of an endpoint that answers without reporting
// its load.
func (c *concurrencyLimiter) observeAnswer() {
	if !c.loadKnown {
		c.limit = 0
	}
}

// observeRejection lowers the limit after an endpoint rejected a request because
// it was full.
func (c *concurrencyLimiter) observeRejection() {
	if c.limit > 0 {
		c.decrease(rejectionDecrease)
	}
}

func (c *concurrencyLimiter) decrease(share float64) {
	c.limit = max(minLimit, c.limit*(1-share/max(1, c.limit)))
}

// allows reports whether one more request may be sent beside those in flight.
func (c *concurrencyLimiter) allows(inFlight int) bool {
	return c.limit == 0 || inFlight == 0 || inFlight < int(c.limit)
}

// pauseAfter returns the pause that follows a request of the given duration.
func (c *concurrencyLimiter) pauseAfter(took time.Duration) time.Duration {
	if c.limit == 0 || c.limit >= 1 {
		return 0
	}
	return time.Duration(float64(took) * (1/c.limit - 1))
}
