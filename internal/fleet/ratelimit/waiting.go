package ratelimit

import "sync"

// Waiting counts the requests of this process that wait for an endpoint, by service. The
// zero value is ready for use.
type Waiting struct {
	mu     sync.Mutex
	counts map[string]int
}

// Add adds n to the number of waiting requests of a service.
func (w *Waiting) Add(service string, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.counts == nil {
		w.counts = map[string]int{}
	}
	if w.counts[service] += n; w.counts[service] == 0 {
		delete(w.counts, service)
	}
}

// Count returns the number of waiting requests of a service.
func (w *Waiting) Count(service string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts[service]
}
