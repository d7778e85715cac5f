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
	// endTime is how long after a request broke off, or stayed without an answer,
	// the end of its endpoint counts against it.
	endTime = 10 * time.Second
	// openEnds bounds how many such requests are remembered.
	openEnds = 1024
)

var errEarlyEnd = errors.New("the answer ended early")

// Content returns the digest of what a request asks for and for whom.
func (c Call) Content() string {
	r := c.Request
	return breaker.Digest(r.Body, c.Account, r.Method, r.Host, r.Path, r.Query)
}

// brokeOff notes that an endpoint broke off a request that it may have begun.
func (f *Forwarder) brokeOff(ctx context.Context, call Call, e replica.Entry, cause error) {
	f.breaks.Add(call.Service, 1)
	refused := f.seams.Pool.Refused(ctx, e.Address)
	if refused {
		f.refusals.Add(call.Service, 1)
		if f.seams.Breaker != nil {
			f.seams.Breaker.Unreached(call.content(), breaker.Life{Endpoint: e.ID, Born: e.Born})
		}
	}
	f.await(call, e)
	f.log.WithFields(logrus.Fields{
		logs.Request: call.ID, logs.Account: call.Account, logs.Content: call.content(), "service": call.Service,
		logs.Endpoint: e.ID, "born": e.Born, "refused": refused, logs.Cause: cause.Error(),
	}).Info("endpoint broke off a request")
}

// openEnd is a request without an answer, whose endpoint may turn out to have
// ended.
type openEnd struct {
	content  string
	endpoint replica.Entry
	until    time.Time
}

// await remembers a request without an answer until it is known whether its
// endpoint ended.
func (f *Forwarder) await(call Call, e replica.Entry) {
	if f.seams.Breaker == nil {
		return
	}
	content := call.content()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timers.Now()
	f.open = slices.DeleteFunc(f.open, func(o openEnd) bool { return now.After(o.until) })
	if len(f.open) < openEnds {
		f.open = append(f.open, openEnd{content, e, now.Add(endTime)})
	}
}

// settle counts a life of an endpoint that is over against the requests that
// it left without an answer.
func (f *Forwarder) settle(e replica.Entry) {
	f.mu.Lock()
	now := f.timers.Now()
	var found []openEnd
	f.open = slices.DeleteFunc(f.open, func(o openEnd) bool {
		same := o.endpoint.ID == e.ID && o.endpoint.Born == e.Born
		if same && !now.After(o.until) {
			found = append(found, o)
		}
		return same
	})
	f.mu.Unlock()
	for _, o := range found {
		f.seams.Breaker.Ended(o.content, breaker.Life{Endpoint: e.ID, Born: e.Born})
		f.log.WithFields(logrus.Fields{
			logs.Content: o.content, "service": e.Service, logs.Endpoint: e.ID, "born": e.Born,
		}).Info("endpoint ended after a request without an answer")
	}
}

// admit reports whether the request may be sent, or sent again after an
// endpoint broke it off. A send that an endpoint rejected needs no new consent.
func (f *Forwarder) admit(call Call, p *progress) bool {
	b := f.seams.Breaker
	if b == nil || b.Idle() || p.admitted > p.breaks {
		return true
	}
	p.admitted = p.breaks + 1
	p.held = b.Admit(call.content())
	if p.held > 0 {
		p.reason = "held back"
		f.held.Add(call.Service, 1)
	}
	return p.held == 0
}

// answered notes that an endpoint answered the request.
func (f *Forwarder) answered(call Call) {
	if b := f.seams.Breaker; b != nil && !b.Idle() {
		b.Answered(call.content())
	}
}
