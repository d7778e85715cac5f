package forward

import (
	"context"
	"errors"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
)

// errAttemptTimeout ends an attempt that leaves too little time for another one.
var errAttemptTimeout = errors.New("the attempt took its share of the time")

// attempt is one attempt at an endpoint. Its limit holds until the answer is
// handed on: from then on the caller gets it, and no other attempt follows.
type attempt struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

func newAttempt(parent context.Context, limit time.Duration) *attempt {
	ctx, cancel := context.WithCancelCause(parent)
	return &attempt{ctx: ctx, cancel: cancel, timer: time.AfterFunc(limit, func() { cancel(errAttemptTimeout) })}
}

// clearLimit ends the limit of the attempt.
func (a *attempt) clearLimit() { a.timer.Stop() }

// release releases what the attempt holds.
func (a *attempt) release() {
	a.timer.Stop()
	a.cancel(context.Canceled)
}

// outcome tells how an answer that was handed on ended.
func (a *attempt) outcome(complete bool) replica.Outcome {
	switch {
	case complete:
		return replica.Answered
	case a.ctx.Err() != nil && !errors.Is(context.Cause(a.ctx), ErrStalled):
		return replica.Abandoned
	}
	return replica.Failed
}
