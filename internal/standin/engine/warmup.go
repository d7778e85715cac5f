package engine

import "time"

// initialCapacity is the number of requests that a cold engine can take at first.
const initialCapacity = 2

// initialSpeed is the fraction of its full speed at which a cold engine starts.
const initialSpeed = 0.3

// warmup is the state of a cold engine. The capacity doubles each time that as
// many requests have finished as it allows. The engine is warm once the capacity
// reaches the number of slots or the time is over.
type warmup struct {
	from, until time.Time
	capacity    int
	finished    int
}

func (w *warmup) begin(d time.Duration, running int) {
	w.from = time.Now()
	w.until = w.from.Add(d)
	w.capacity = max(initialCapacity, running)
	w.finished = 0
}

// active reports whether the engine is still cold.
func (w *warmup) active(now time.Time) bool { return now.Before(w.until) }

// requestDone counts a finished request and raises the capacity when due.
func (w *warmup) requestDone(slots int) {
	w.finished++
	if w.finished >= w.capacity {
		w.finished = 0
		w.capacity *= 2
	}
	if w.capacity >= slots {
		w.until = w.from
	}
}

// speed returns the fraction of the full speed, which rises linearly to 1 while
// the engine is cold.
func (w *warmup) speed(now time.Time) float64 {
	if !w.active(now) {
		return 1
	}
	progress := float64(now.Sub(w.from)) / float64(w.until.Sub(w.from))
	return initialSpeed + (1-initialSpeed)*progress
}

// capacity returns the number of requests that may run and wait at the same time.
// A cold engine crashes at the next one, a warm engine refuses it. The caller
// holds the lock.
func (e *Engine) capacity() int {
	if e.warmup.active(time.Now()) {
		return min(e.warmup.capacity, e.options.Slots)
	}
	return e.options.Slots + e.options.Queue
}
