package proof

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// limitRate is the limit that endpoints name, in requests per second. Within
	// limitWindow they may get limitFactor times as many, and limitSlack more, from
	// limitGrace after the first answer with a limit.
	limitRate   = 3.0
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitGrace  = 3 * time.Second
	// limitTime is how long the limits hold, and limitPause how long an instance is
	// paused meanwhile.
	limitTime  = 12 * time.Second
	limitPause = 3 * time.Second
	// limitDeadline is the deadline of calls.
	limitDeadline = 5 * time.Second
)

// startCalls keeps plain calls running on all instances until stop is called. That
// returns how many were served, and how many failed other than by a refusal that says
// "not run".
func (f *fleet) startCalls(key string, concurrency int) (stop func() (served, failed int64)) {
	done := make(chan struct{})
	var served, failed atomic.Int64
	var wg sync.WaitGroup
	for n := range concurrency {
		wg.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-done:
					return
				default:
				}
				a := f.callWithDeadline(f.instances[n%len(f.instances)], key, fmt.Sprintf("/s/look/%d-%d", n, k), limitDeadline)
				switch {
				case a.err == nil && a.status == http.StatusOK:
					served.Add(1)
				case a.run != "not_run":
					f.t.Logf("call through %s: %v", f.instances[n%len(f.instances)].name, a)
					failed.Add(1)
				default:
					time.Sleep(pollInterval)
				}
			}
		})
	}
	return func() (int64, int64) {
		close(done)
		wg.Wait()
		return served.Load(), failed.Load()
	}
}

// callWithDeadline makes a plain call that states a deadline, and waits for its answer for
// longer than that.
func (f *fleet) callWithDeadline(p *process, key, path string, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	header := bearer(key)
	header["Wigeonpin-Deadline-Ms"] = fmt.Sprint(deadline.Milliseconds())
	return f.send(ctx, p.address, http.MethodPost, path, header, map[string]any{})
}

// setLimit lets an endpoint name a limit, or none with rate 0, and returns the times of
// the requests that it got under the previous one.
func (f *fleet) setLimit(p *process, rate float64) []time.Duration {
	f.t.Helper()
	var state struct {
		ArrivalsMS []int64 `json:"arrivals_ms"`
	}
	f.mustSend(p.control, http.MethodPost, "/fake/limit", nil, map[string]any{"rate": rate}, &state)
	var arrivals []time.Duration
	for _, ms := range state.ArrivalsMS {
		arrivals = append(arrivals, time.Duration(ms)*time.Millisecond)
	}
	slices.Sort(arrivals)
	return arrivals
}

// Guards against instances of the stand-alone product that each send an endpoint what it
// takes from all of them, also while one that counts the requests is paused.
func TestLimitedEndpointsGetTheirRateFromAllInstances(t *testing.T) {
	f := startFleet(t, fleetOptions{zones: 2, instancesPerZone: 2, engines: 1, services: 1, engineArgs: []string{"--rate", "100"}})
	key := f.createAccount("acme")
	for _, p := range f.instances {
		f.awaitGeneration(p, key)
	}
	stopGenerations, stopCalls := f.startLoad(key, 16, 10), f.startCalls(key, 16)
	limited := slices.Concat(f.engines, f.services)
	for _, p := range limited {
		f.setLimit(p, limitRate)
	}
	time.Sleep(limitTime / 2)
	f.instances[0].signal(syscall.SIGSTOP)
	time.Sleep(limitPause)
	f.instances[0].signal(syscall.SIGCONT)
	time.Sleep(limitTime/2 - limitPause)
	allowed := int(limitFactor*limitRate*limitWindow.Seconds()) + limitSlack
	for _, p := range limited {
		arrivals := f.setLimit(p, 0)
		most := 0
		for i, first := range arrivals {
			if first < arrivals[0]+limitGrace {
				continue
			}
			end, _ := slices.BinarySearch(arrivals, first+limitWindow)
			most = max(most, end-i)
		}
		t.Logf("%s: %d requests, %d at most in %v, %d allowed; the limit is %.0f", p.name, len(arrivals), most, limitWindow, allowed, limitRate*limitTime.Seconds())
		if most > allowed {
			t.Errorf("%s got %d requests in %v, want at most %d", p.name, most, limitWindow, allowed)
		}
		if len(arrivals) == 0 {
			t.Errorf("%s got no requests", p.name)
		}
	}
	if served, failed := stopGenerations(); served == 0 || failed > 0 {
		t.Errorf("%d generations were served and %d were cut", served, failed)
	}
	if served, failed := stopCalls(); served == 0 || failed > 0 {
		t.Errorf("%d calls were served and %d were cut", served, failed)
	}
}
