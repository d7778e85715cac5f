package forward

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/traffic/breaker"
)

// contentBytes is the length of a content's digest, in bytes.
const contentBytes = 16

var errEarlyEnd = errors.New("the answer ended early")

// Content returns the digest of what a request asks for and for whom. Unlike its
// id it stays the same when the caller sends the request again.
func (c Call) Content() string {
	r := c.Request
	h := sha256.New()
	for _, part := range []string{c.Account, r.Method, r.Host, r.Path, r.Query} {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil)[:contentBytes])
}

// brokeOff notes that an endpoint broke off a request that it may have begun.
func (f *Forwarder) brokeOff(ctx context.Context, call Call, e replica.Entry, cause error) {
	f.breaks.Add(call.Service, 1)
	ended := f.seams.Pool.Refused(ctx, e.Address)
	content := call.content()
	if ended {
		f.ends.Add(call.Service, 1)
		if f.seams.Breaker != nil {
			f.seams.Breaker.Ended(content, breaker.Life{Endpoint: e.ID, Born: e.Born})
		}
	}
	f.log.WithFields(logrus.Fields{
		logs.Request: call.ID, logs.Account: call.Account, logs.Content: content, "service": call.Service,
		logs.Endpoint: e.ID, "born": e.Born, "ended": ended, logs.Cause: cause.Error(),
	}).Info("endpoint broke off a request")
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
