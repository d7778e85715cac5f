package replica

import "time"

const (
	// waitingShare is the number of requests in an endpoint's own queue, as a
	// share of its slots, up to which processes send more: enough to keep the
	// slots busy, too few to wait long behind.
	waitingShare = 0.5
	// growth is what a window grows by, and shrinkage and backoff the parts that
	// it loses, in the time in which it is used once.
	growth    = 0.5
	shrinkage = 0.35
	backoff   = 0.5
	// drift is what each window grows by in a second besides, so that a small one
	// does not wait for its own rare answers to grow; driftTime bounds the time
	// for which it counts.
	drift     = 0.1
	driftTime = time.Second
	// firstWindow is the window for an endpoint of which nothing is known.
	firstWindow = 2
	// smallestWindow lets a process in hundreds go on asking.
	smallestWindow = 0.02
)

// window is the number of requests that this process has at an endpoint at a
// time. Many processes send to one endpoint and know nothing of each other: each
// follows what the endpoint tells of the requests that wait there, so that
// together they fill the slots and not the endpoint's queue. A window below one
// is one request with a pause after it. The zero window bounds nothing; it is
// for endpoints that tell no load.
type window struct {
	size  float64
	told  bool // the endpoint has told its load
	since time.Time
}

// report adapts the window to the load that an endpoint told with an answer.
func (w *window) report(load Load, most float64, now time.Time) {
	if w.size == 0 {
		w.size = most
	}
	if !w.told {
		w.told, w.since = true, now
	}
	switch {
	case float64(load.Waiting) > waitingShare*float64(load.Slots):
		w.shrink(shrinkage)
	case load.Waiting == 0:
		w.size += growth / max(1, w.size)
	}
	w.size = min(most, w.size+drift*min(driftTime, now.Sub(w.since)).Seconds())
	w.since = now
}

// answered ends the bound for an endpoint that answers and tells no load.
func (w *window) answered() {
	if !w.told {
		w.size = 0
	}
}

// rejected adapts the window to an answer that says that the endpoint is full.
func (w *window) rejected() {
	if w.size > 0 {
		w.shrink(backoff)
	}
}

func (w *window) shrink(part float64) {
	w.size = max(smallestWindow, w.size*(1-part/max(1, w.size)))
}

// allows reports whether one more request fits beside those that were sent.
func (w *window) allows(sent int) bool {
	return w.size == 0 || sent == 0 || sent < int(w.size)
}

// rest returns the pause after a request that took so long.
func (w *window) rest(took time.Duration) time.Duration {
	if w.size == 0 || w.size >= 1 {
		return 0
	}
	return time.Duration(float64(took) * (1/w.size - 1))
}
