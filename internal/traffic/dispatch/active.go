package dispatch

import "sync"

// activeAttempts tracks the generation attempts that run on each endpoint.
type activeAttempts struct {
	mu        sync.Mutex
	endpoints map[string]map[*activeAttempt]struct{}
}

type activeAttempt struct {
	digest  string
	suspect bool
	// reported is set once the attempt was included in a crash report, so that one
	// crash counts only once for it.
	reported bool
}

func newActiveAttempts() *activeAttempts {
	return &activeAttempts{endpoints: map[string]map[*activeAttempt]struct{}{}}
}

func (a *activeAttempts) start(endpoint string, attempt *activeAttempt) (end func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.endpoints[endpoint] == nil {
		a.endpoints[endpoint] = map[*activeAttempt]struct{}{}
	}
	a.endpoints[endpoint][attempt] = struct{}{}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.endpoints[endpoint], attempt)
		if len(a.endpoints[endpoint]) == 0 {
			delete(a.endpoints, endpoint)
		}
	}
}

// suspects returns the number of attempts on the endpoint whose requests are
// suspects.
func (a *activeAttempts) suspects(endpoint string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for attempt := range a.endpoints[endpoint] {
		if attempt.suspect {
			count++
		}
	}
	return count
}

// markReported marks all attempts on the endpoint as reported. It returns the
// content digests of those that were not reported before.
func (a *activeAttempts) markReported(endpoint string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var digests []string
	for attempt := range a.endpoints[endpoint] {
		if !attempt.reported {
			attempt.reported = true
			digests = append(digests, attempt.digest)
		}
	}
	return digests
}
