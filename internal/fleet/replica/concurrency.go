package replica

import "time"

const (
	// waitingShare is the number of requests in an endpoint's own queue, as a
	// share of its slots, up to which processes send more: enough to keep the
	// slots busy, too few to wait long behind.
	waitingShare = 0.5
	// growth is what a limit grows by, and shrinkage and backoff the parts that
	// it loses, in the time in which it is used once.
	growth    = 0.5
	shrinkage = 0.35
	backoff   = 0.5
	// drift is what each limit grows by in a second besides, so that a small one
	// does not wait for its own rare answers to grow; driftTime bounds the time
	// for which it counts.
	drift     = 0.1
	driftTime = time.Second
	// firstLimit is the limit for an endpoint of which nothing is known.
	firstLimit = 2
	// smallestLimit lets a process in hundreds go on asking.
	smallestLimit = 0.02
)

// concurrency limits the requests that this process has at an endpoint at a
// time. Many processes send to one endpoint and know nothing of each other: each
// follows what the endpoint tells of the requests that wait there, so that
// together they fill the slots and not the endpoint's queue. A limit below one
// is one request with a pause after it. The zero limit bounds nothing; it is for
// endpoints that tell no load.
type concurrency struct {
	limit float64
	told  bool // the endpoint has told its load
	since time.Time
}

// report adapts the limit to the load that an endpoint told with an answer.
func (c *concurrency) report(load Load, most float64, now time.Time) {
	if c.limit == 0 {
		c.limit = most
	}
	if !c.told {
		c.told, c.since = true, now
	}
	switch {
	case float64(load.Waiting) > waitingShare*float64(load.Slots):
		c.shrink(shrinkage)
	case load.Waiting == 0:
		c.limit += growth / max(1, c.limit)
	}
	c.limit = min(most, c.limit+drift*min(driftTime, now.Sub(c.since)).Seconds())
	c.since = now
}

// answered ends the bound for an endpoint that answers and tells no load.
func (c *concurrency) answered() {
	if !c.told {
		c.limit = 0
	}
}

// rejected adapts the limit to an answer that says that the endpoint is full.
func (c *concurrency) rejected() {
	if c.limit > 0 {
		c.shrink(backoff)
	}
}

func (c *concurrency) shrink(part float64) {
	c.limit = max(smallestLimit, c.limit*(1-part/max(1, c.limit)))
}

// allows reports whether one more request fits beside those that were sent.
func (c *concurrency) allows(sent int) bool {
	return c.limit == 0 || sent == 0 || sent < int(c.limit)
}

// rest returns the pause after a request that took so long.
func (c *concurrency) rest(took time.Duration) time.Duration {
	if c.limit == 0 || c.limit >= 1 {
		return 0
	}
	return time.Duration(float64(took) * (1/c.limit - 1))
}
