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
	if ended {
		f.ends.Add(call.Service, 1)
	}
	f.log.WithFields(logrus.Fields{
		logs.Request: call.ID, logs.Account: call.Account, logs.Content: call.Content(), "service": call.Service,
		logs.Endpoint: e.ID, "born": e.Born, "ended": ended, logs.Cause: cause.Error(),
	}).Info("endpoint broke off a request")
}
