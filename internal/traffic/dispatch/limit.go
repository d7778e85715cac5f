package dispatch

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
	"github.com/wigeonpin/wigeonpin/internal/fleet/ratelimit"
	"github.com/wigeonpin/wigeonpin/internal/traffic/headers"
)

// limitNames names the header field with the limit of an endpoint.
var limitNames = headers.Names{Limit: codec.HeaderLimit}

// runOf identifies an endpoint for the limiter. The list of endpoints tells no start
// times, so that a limit outlives a restart until the first answer.
func runOf(e roster.Endpoint) ratelimit.Endpoint {
	return ratelimit.Endpoint{ID: e.ID, Zone: e.Zone}
}

// acquireFirst acquires a slot on the first of the ranked endpoints that has one and
// needs no permit, or for which this instance has a permit. It asks for permits of the
// limited endpoints before that one.
func (d *Dispatcher) acquireFirst(n requirements, ranked []roster.Endpoint) (pickResult, bool) {
	for {
		limited, open := d.splitLimited(ranked)
		need := ratelimit.Need{
			Account: n.account, Waiting: d.waiting.Count(n.model), Patience: n.deadline.Sub(d.timers.Now()), Alternative: len(open) > 0,
		}
		verdict := ratelimit.Proceed
		if len(limited) > 0 {
			verdict = d.seams.Limiter.Request(limited, need)
		}
		if verdict == ratelimit.Hold {
			return pickResult{}, false
		}
		if verdict == ratelimit.Proceed {
			return d.acquireAny(n, open)
		}
	}
}

// splitLimited returns the endpoints that need a permit which this instance does not
// have, up to the first one that can be sent to, and all that can be sent to.
func (d *Dispatcher) splitLimited(ranked []roster.Endpoint) (limited []ratelimit.Endpoint, open []roster.Endpoint) {
	for _, e := range ranked {
		switch {
		case d.seams.Limiter.State(runOf(e), ratelimit.Cold{}) != ratelimit.Withheld:
			open = append(open, e)
		case len(open) == 0:
			limited = append(limited, runOf(e))
		}
	}
	return limited, open
}

func (d *Dispatcher) acquireAny(n requirements, endpoints []roster.Endpoint) (pickResult, bool) {
	for _, e := range endpoints {
		slot, ok := d.seams.Acquire(e.ID, n.account)
		if !ok {
			continue
		}
		if !d.seams.Limiter.Take(runOf(e)) {
			slot.Release(Outcome{})
			continue
		}
		return pickResult{e, d.inflight.track(e.ID, slot)}, true
	}
	return pickResult{}, false
}

// checkLimits returns an error if all endpoints that may run the request are limited
// and none is expected to have a permit before its deadline.
func (d *Dispatcher) checkLimits(n requirements, eligible []roster.Endpoint) error {
	soonest := time.Duration(-1)
	for _, e := range eligible {
		if d.seams.Limiter.State(runOf(e), ratelimit.Cold{}) != ratelimit.Withheld {
			return nil
		}
		if wait, _ := d.seams.Limiter.Wait(runOf(e)); soonest < 0 || wait < soonest {
			soonest = wait
		}
	}
	if !d.timers.Now().Add(soonest).After(n.deadline) {
		return nil
	}
	return code.New(code.EndpointLimited, "the limits of all endpoints of %q are used up", n.model).
		WithRun(code.NotRun).WithRetryAfter(soonest)
}

// takeAgain reports whether the endpoint may get another request in the same slot.
func (d *Dispatcher) takeAgain(e roster.Endpoint) bool { return d.seams.Limiter.Take(runOf(e)) }

// observeLimit records what the header of an endpoint's answer tells of its limit.
// sentAt is the uptime at which the request was sent.
func (d *Dispatcher) observeLimit(e roster.Endpoint, header http.Header, sentAt time.Duration) {
	rate, limited, err := limitNames.ReadLimit(header)
	if err != nil {
		d.log.WithFields(logrus.Fields{logs.Endpoint: e.ID, logs.Cause: err.Error()}).Warn("rate limit of an endpoint ignored")
		return
	}
	d.seams.Limiter.Observe(runOf(e), ratelimit.Observation{Rate: rate, Limited: limited, SentAt: sentAt})
}
