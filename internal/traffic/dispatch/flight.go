package dispatch

import "sync"

// flights tracks the generation attempts that run on each endpoint.
type flights struct {
	mu        sync.Mutex
	endpoints map[string]map[*flight]struct{}
}

type flight struct {
	digest  string
	suspect bool
	// reported is set once the attempt was included in a crash report, so that one
	// crash counts only once for it.
	reported bool
}

func newFlights() *flights { return &flights{endpoints: map[string]map[*flight]struct{}{}} }

func (f *flights) start(endpoint string, one *flight) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.endpoints[endpoint] == nil {
		f.endpoints[endpoint] = map[*flight]struct{}{}
	}
	f.endpoints[endpoint][one] = struct{}{}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.endpoints[endpoint], one)
		if len(f.endpoints[endpoint]) == 0 {
			delete(f.endpoints, endpoint)
		}
	}
}

// suspects returns the number of attempts on the endpoint whose requests are
// suspects.
func (f *flights) suspects(endpoint string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for one := range f.endpoints[endpoint] {
		if one.suspect {
			count++
		}
	}
	return count
}

// crashed returns the content digests of the attempts on the endpoint that were
// not reported before, and marks them as reported.
func (f *flights) crashed(endpoint string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var digests []string
	for one := range f.endpoints[endpoint] {
		if !one.reported {
			one.reported = true
			digests = append(digests, one.digest)
		}
	}
	return digests
}
