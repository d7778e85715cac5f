package engine

import "time"

// coldBears is the number of requests that a cold engine bears at first.
const coldBears = 2

// coldSpeed is the share of its full speed that a cold engine starts with.
const coldSpeed = 0.3

// coldness is the state of an engine after its start. It bears twice as much
// after each round of requests that it finished, and is warm once it bears its
// full number of slots or its time has passed.
type coldness struct {
	from, until time.Time
	bears       int
	finished    int
}

func (c *coldness) begin(d time.Duration, running int) {
	c.from = time.Now()
	c.until = c.from.Add(d)
	c.bears = max(coldBears, running)
	c.finished = 0
}

func (c *coldness) is(now time.Time) bool { return now.Before(c.until) }

// finish counts a finished request.
func (c *coldness) finish(slots int) {
	c.finished++
	if c.finished >= c.bears {
		c.finished = 0
		c.bears *= 2
	}
	if c.bears >= slots {
		c.until = c.from
	}
}

func (c *coldness) speed(now time.Time) float64 {
	if !c.is(now) {
		return 1
	}
	share := float64(now.Sub(c.from)) / float64(c.until.Sub(c.from))
	return coldSpeed + (1-coldSpeed)*share
}

// bears returns the number of requests that may be running and waiting
// without harm; the caller holds the lock.
func (e *Engine) bears() int {
	if e.cold.is(time.Now()) {
		return min(e.cold.bears, e.options.Slots)
	}
	return e.options.Slots + e.options.Queue
}
