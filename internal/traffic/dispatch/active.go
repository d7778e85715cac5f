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
	// report is set once the attempt was included in a crash report, so that one
	// crash counts only once for it. It is closed when the report was made.
	report chan struct{}
}

func newActiveAttempts() *activeAttempts {
	return &activeAttempts{endpoints: map[string]map[*activeAttempt]struct{}{}}
}

// start adds an attempt. The caller must call end when the attempt has ended and
// before the request gives up its reservations as a suspect: end waits for a crash
// report that includes the attempt, which depends on them.
func (a *activeAttempts) start(endpoint string, attempt *activeAttempt) (end func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.endpoints[endpoint] == nil {
		a.endpoints[endpoint] = map[*activeAttempt]struct{}{}
	}
	a.endpoints[endpoint][attempt] = struct{}{}
	return func() {
		if report := a.remove(endpoint, attempt); report != nil {
			<-report
		}
	}
}

// remove removes an attempt and returns the channel of the crash report that
// includes it, or nil.
func (a *activeAttempts) remove(endpoint string, attempt *activeAttempt) chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.endpoints[endpoint], attempt)
	if len(a.endpoints[endpoint]) == 0 {
		delete(a.endpoints, endpoint)
	}
	return attempt.report
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

// reportCrash passes the content digests of all attempts on the endpoint that were
// not reported before to send.
func (a *activeAttempts) reportCrash(endpoint string, send func(digests []string)) {
	made := make(chan struct{})
	defer close(made)
	if digests := a.markReported(endpoint, made); len(digests) > 0 {
		send(digests)
	}
}

// markReported includes all attempts on the endpoint in a report. It returns the
// content digests of those that are in no earlier one.
func (a *activeAttempts) markReported(endpoint string, made chan struct{}) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var digests []string
	for attempt := range a.endpoints[endpoint] {
		if attempt.report == nil {
			attempt.report = made
			digests = append(digests, attempt.digest)
		}
	}
	return digests
}
