package forward

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
)

// limitedEndpoint names a limit in each answer, unless it is empty, and answers with the
// given status. With status 0 it breaks the requests off from the second one on.
type limitedEndpoint struct {
	limit    string
	status   int
	received atomic.Int64
	// rejections is the number of requests that are rejected as not run.
	rejections atomic.Int64
}

func (l *limitedEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := l.received.Add(1)
	w.Header().Set(names.Request, r.Header.Get(names.Request))
	if l.rejections.Add(-1) >= 0 {
		w.Header().Set(names.Rejected, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(names.Stamp, "proof")
	if l.limit != "" {
		w.Header().Set("X-Limit", l.limit)
	}
	if l.status == 0 && n > 1 {
		panic(http.ErrAbortHandler)
	}
	if l.status != 0 {
		w.WriteHeader(l.status)
	}
	_, _ = fmt.Fprint(w, "whole")
}

func newLimitedForwarder(t *testing.T, endpoints ...*limitedEndpoint) *Forwarder {
	t.Helper()
	timers := clock.NewSystem()
	fleet := replica.NewFleet(timers, replica.Options{Overcommit: 1})
	for i, e := range endpoints {
		fleet.Put(replica.Entry{
			ID: fmt.Sprint("e", i), Service: "svc", Slots: 100, Address: strings.TrimPrefix(newServer(t, e), "http://"),
		})
	}
	limitNames := names
	limitNames.Limit = "X-Limit"
	return New(Seams{Fleet: fleet, Pool: exchange.New(exchange.Options{EchoHeader: names.Request}), Names: limitNames}, timers, logs.Discard())
}

// sendAll sends calls one after the other and returns the errors of those that failed.
func sendAll(f *Forwarder, count int, route manifest.Route) []error {
	var failed []error
	for range count {
		c := call(route)
		c.Deadline = time.Now().Add(3 * testTimeout)
		answer, err := f.Send(context.Background(), c)
		if err != nil {
			failed = append(failed, err)
			continue
		}
		answer.Close()
	}
	return failed
}

// Guards against requests that wait for a limited endpoint although their turn cannot
// come in time, and against return times at which they would be refused again.
func TestLimitedRequestsAreRefusedWithTheirTurn(t *testing.T) {
	const limit, aim = 0.5, 200 * time.Millisecond
	e := &limitedEndpoint{limit: fmt.Sprint(limit), status: http.StatusOK}
	f := newLimitedForwarder(t, e)
	route := manifest.Route{Kind: manifest.AtMostOnce, Attempts: 1, TargetLatency: aim}
	if failed := sendAll(f, 2, route); len(failed) > 0 {
		t.Fatalf("the first request and the one for the first permit: %v", failed)
	}
	refusals := sendAll(f, 3, route)
	if len(refusals) != 3 {
		t.Fatalf("%d of 3 requests were refused, want all", len(refusals))
	}
	for _, err := range refusals {
		refusal := code.Of(err)
		if refusal.Code != code.EndpointLimited || refusal.Run != code.NotRun || refusal.RetryAfter < time.Second || refusal.RetryAfter > 30*time.Second {
			t.Errorf("%v (run %q, retry after %v), want %v with the time of the next permit", err, refusal.Run, refusal.RetryAfter, code.EndpointLimited)
		}
	}
	time.Sleep(code.Of(refusals[0]).RetryAfter)
	if failed := sendAll(f, 1, route); len(failed) > 0 {
		t.Errorf("refused again at the time that it was told: %v", failed)
	}
}

// Guards against limited endpoints that stop a service while others have room, and
// against a limit that is kept for the first attempts of requests only.
func TestLimitedEndpointsGetNoMore(t *testing.T) {
	const requests = 60
	route := manifest.Route{Kind: manifest.Idempotent, Attempts: 3, TargetLatency: time.Minute}
	for name, status := range map[string]int{"answers": http.StatusOK, "failures": http.StatusInternalServerError, "broken requests": 0} {
		t.Run(name, func(t *testing.T) {
			limited, free := &limitedEndpoint{limit: "0.1", status: status}, &limitedEndpoint{status: http.StatusOK}
			f := newLimitedForwarder(t, limited, free)
			var wg sync.WaitGroup
			var failed atomic.Int64
			for range 4 {
				wg.Go(func() {
					for _, err := range sendAll(f, requests/4, route) {
						t.Log(err)
						failed.Add(1)
					}
				})
			}
			wg.Wait()
			if failed.Load() > 0 {
				t.Errorf("%d of %d requests failed, want none", failed.Load(), requests)
			}
			// At most four requests are under way when the limit becomes known; one permit
			// follows at once, and one each 10 s.
			if got := limited.received.Load(); got > 4+1+3 {
				t.Errorf("the limited endpoint got %d requests, want at most 8", got)
			}
		})
	}
}

// useFirstPermit sends requests until the endpoint has had one before its limit was known
// and one for the first permit.
func useFirstPermit(t *testing.T, f *Forwarder, e *limitedEndpoint, route manifest.Route) {
	t.Helper()
	for range 1000 {
		if e.received.Load() >= 2 {
			return
		}
		if failed := sendAll(f, 1, route); len(failed) > 0 {
			t.Fatal(failed[0])
		}
	}
	t.Fatalf("the limited endpoint got %d of 1000 requests, want 2", e.received.Load())
}

// Guards against an idle limited endpoint that gets nothing while another one is idle
// too, so that the end of its limit stays unknown.
func TestIdleLimitedEndpointIsUsed(t *testing.T) {
	limited, free := &limitedEndpoint{limit: "0.01", status: http.StatusOK}, &limitedEndpoint{status: http.StatusOK}
	useFirstPermit(t, newLimitedForwarder(t, limited, free), limited, manifest.Route{Kind: manifest.AtMostOnce, Attempts: 3, TargetLatency: time.Minute})
}

// Guards against a request that is refused since the only endpoint without a limit was
// full for a moment, while the limit of the other one is used up.
func TestRejectedRequestsTryAnEndpointAgain(t *testing.T) {
	limited, free := &limitedEndpoint{limit: "0.01", status: http.StatusOK}, &limitedEndpoint{status: http.StatusOK}
	f := newLimitedForwarder(t, limited, free)
	route := manifest.Route{Kind: manifest.AtMostOnce, Attempts: 3, TargetLatency: time.Minute}
	useFirstPermit(t, f, limited, route)
	free.rejections.Store(1)
	if failed := sendAll(f, 1, route); len(failed) > 0 {
		t.Errorf("a request that was rejected once: %v", failed[0])
	}
}

// Guards against values of the limit that stop an endpoint, or that end a limit.
func TestInvalidLimitsAreIgnored(t *testing.T) {
	for _, value := range []string{"-1", "NaN", "many", "1e308"} {
		e := &limitedEndpoint{limit: value, status: http.StatusOK}
		f := newLimitedForwarder(t, e)
		route := manifest.Route{Kind: manifest.AtMostOnce, Attempts: 1, TargetLatency: 200 * time.Millisecond}
		if failed := sendAll(f, 20, route); len(failed) > 0 {
			t.Errorf("limit %q: %d of 20 requests failed: %v", value, len(failed), failed[0])
		}
	}
}
