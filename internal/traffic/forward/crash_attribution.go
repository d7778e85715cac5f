package forward

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/traffic/breaker"
)

const (
	// attributionWindow is how long after a request failed without an answer the
	// end of its endpoint counts against the content of the request.
	attributionWindow = 10 * time.Second
	// maxUnanswered bounds the number of unanswered requests that are remembered.
	maxUnanswered = 1024
)

var errTruncated = errors.New("the answer ended early")

// ContentDigest returns the digest that identifies the content of a request and
// the client account that sent it. It does not depend on the request's ID, so that
// it stays the same when the caller sends the request again.
func (c Call) ContentDigest() string {
	r := c.Request
	return breaker.Digest(r.Body, c.Account, r.Method, r.Host, r.Path, r.Query)
}

// recordBreak records that an endpoint broke off a request that it may have
// started. If the endpoint now refuses connections, its process has probably
// ended, and the circuit breaker counts this against the content.
func (f *Forwarder) recordBreak(ctx context.Context, call Call, e replica.Entry, cause error) {
	f.breaks.Add(call.Service, 1)
	refused := f.seams.Pool.RefusesConnections(ctx, e.Address)
	if refused {
		f.refusals.Add(call.Service, 1)
		if f.seams.Breaker != nil {
			f.seams.Breaker.RecordUnreachable(call.digest(), breaker.Incarnation{Endpoint: e.ID, Born: e.Born})
		}
	}
	f.trackUnanswered(call, e)
	f.log.WithFields(logrus.Fields{
		logs.Request: call.ID, logs.Account: call.Account, logs.Content: call.digest(), "service": call.Service,
		logs.Endpoint: e.ID, "born": e.Born, "refused": refused, logs.Cause: cause.Error(),
	}).Info("endpoint broke off a request")
}

// refusesConnections reports whether an endpoint that is in the list refuses connections
// from this process.
func (f *Forwarder) refusesConnections(incarnation breaker.Incarnation) bool {
	e, found := f.seams.Fleet.Entry(incarnation.Endpoint)
	return found && e.Born == incarnation.Born && f.seams.Pool.RefusesConnections(context.Background(), e.Address)
}

// unansweredRequest is a request that got no answer, possibly because its
// endpoint crashed.
type unansweredRequest struct {
	content  string
	endpoint replica.Entry
	until    time.Time // end of the attribution window
}

// trackUnanswered remembers a request without an answer for attributionWindow,
// in case its endpoint turns out to have crashed.
func (f *Forwarder) trackUnanswered(call Call, e replica.Entry) {
	if f.seams.Breaker == nil {
		return
	}
	content := call.digest()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timers.Now()
	f.unanswered = slices.DeleteFunc(f.unanswered, func(u unansweredRequest) bool { return now.After(u.until) })
	if len(f.unanswered) < maxUnanswered {
		f.unanswered = append(f.unanswered, unansweredRequest{content, e, now.Add(attributionWindow)})
	}
}

// attributeEnd reports the end of an endpoint process to the circuit breaker for
// each request that the process left without an answer.
func (f *Forwarder) attributeEnd(e replica.Entry) {
	f.mu.Lock()
	now := f.timers.Now()
	var found []unansweredRequest
	f.unanswered = slices.DeleteFunc(f.unanswered, func(u unansweredRequest) bool {
		same := u.endpoint.ID == e.ID && u.endpoint.Born == e.Born
		if same && !now.After(u.until) {
			found = append(found, u)
		}
		return same
	})
	f.mu.Unlock()
	for _, u := range found {
		f.seams.Breaker.RecordCrash(u.content, breaker.Incarnation{Endpoint: e.ID, Born: e.Born})
		f.log.WithFields(logrus.Fields{
			logs.Content: u.content, "service": e.Service, logs.Endpoint: e.ID, "born": e.Born,
		}).Info("endpoint ended after a request without an answer")
	}
}

// admit reports whether the circuit breaker lets the request be sent, or sent
// again after an endpoint broke it off. A retry after a rejection is not checked
// again, since the rejecting endpoint did not start the request.
func (f *Forwarder) admit(call Call, p *progress) bool {
	b := f.seams.Breaker
	if b == nil || b.Empty() || p.breakerChecks > p.breaks {
		return true
	}
	p.breakerChecks = p.breaks + 1
	p.holdTime = b.Admit(call.digest(), cmp.Or(call.MaxHold, breaker.NoLimit))
	if p.holdTime > 0 {
		p.reason = "held back"
		f.held.Add(call.Service, 1)
	}
	return p.holdTime == 0
}

// recordAnswer reports to the circuit breaker that an endpoint answered the
// request, so that earlier crashes no longer count against its content.
func (f *Forwarder) recordAnswer(call Call) {
	if b := f.seams.Breaker; b != nil && !b.Empty() {
		b.RecordAnswer(call.digest())
	}
}
