package forward

import (
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
	// attributionWindow is how long after a request broke off, or stayed without an answer,
	// the end of its endpoint counts against it.
	attributionWindow = 10 * time.Second
	// maxUnanswered bounds how many such requests are remembered.
	maxUnanswered = 1024
)

var errTruncated = errors.New("the answer ended early")

// Content returns the digest of what a request asks for and for whom.
func (c Call) Content() string {
	r := c.Request
	return breaker.Digest(r.Body, c.Account, r.Method, r.Host, r.Path, r.Query)
}

// recordBreak notes that an endpoint broke off a request that it may have begun.
func (f *Forwarder) recordBreak(ctx context.Context, call Call, e replica.Entry, cause error) {
	f.breaks.Add(call.Service, 1)
	refused := f.seams.Pool.Refused(ctx, e.Address)
	if refused {
		f.refusals.Add(call.Service, 1)
		if f.seams.Breaker != nil {
			f.seams.Breaker.Unreached(call.content(), breaker.Life{Endpoint: e.ID, Born: e.Born})
		}
	}
	f.trackUnanswered(call, e)
	f.log.WithFields(logrus.Fields{
		logs.Request: call.ID, logs.Account: call.Account, logs.Content: call.content(), "service": call.Service,
		logs.Endpoint: e.ID, "born": e.Born, "refused": refused, logs.Cause: cause.Error(),
	}).Info("endpoint broke off a request")
}

// unansweredRequest is a request without an answer, whose endpoint may turn out to have
// ended.
type unansweredRequest struct {
	content  string
	endpoint replica.Entry
	until    time.Time
}

// trackUnanswered remembers a request without an answer until it is known whether its
// endpoint ended.
func (f *Forwarder) trackUnanswered(call Call, e replica.Entry) {
	if f.seams.Breaker == nil {
		return
	}
	content := call.content()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timers.Now()
	f.unanswered = slices.DeleteFunc(f.unanswered, func(u unansweredRequest) bool { return now.After(u.until) })
	if len(f.unanswered) < maxUnanswered {
		f.unanswered = append(f.unanswered, unansweredRequest{content, e, now.Add(attributionWindow)})
	}
}

// attributeEnd counts a life of an endpoint that is over against the requests that
// it left without an answer.
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
		f.seams.Breaker.Ended(u.content, breaker.Life{Endpoint: e.ID, Born: e.Born})
		f.log.WithFields(logrus.Fields{
			logs.Content: u.content, "service": e.Service, logs.Endpoint: e.ID, "born": e.Born,
		}).Info("endpoint ended after a request without an answer")
	}
}

// admit reports whether the request may be sent, or sent again after an
// endpoint broke it off. A send that an endpoint rejected needs no new consent.
func (f *Forwarder) admit(call Call, p *progress) bool {
	b := f.seams.Breaker
	if b == nil || b.Idle() || p.breakerChecks > p.breaks {
		return true
	}
	p.breakerChecks = p.breaks + 1
	p.holdTime = b.Admit(call.content())
	if p.holdTime > 0 {
		p.reason = "held back"
		f.held.Add(call.Service, 1)
	}
	return p.holdTime == 0
}

// answered notes that an endpoint answered the request.
func (f *Forwarder) answered(call Call) {
	if b := f.seams.Breaker; b != nil && !b.Idle() {
		b.Answered(call.content())
	}
}
