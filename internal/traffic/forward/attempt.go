package forward

import (
	"context"
	"errors"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
)

// errAttemptTimeout cancels an attempt that would otherwise leave too little
// time for another one.
var errAttemptTimeout = errors.New("the attempt exceeded its time limit")

// attempt is one attempt to get an answer from an endpoint. Its time limit
// applies until the answer is passed to the caller; no other attempt follows
// after that.
type attempt struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

func newAttempt(parent context.Context, limit time.Duration) *attempt {
	ctx, cancel := context.WithCancelCause(parent)
	return &attempt{ctx: ctx, cancel: cancel, timer: time.AfterFunc(limit, func() { cancel(errAttemptTimeout) })}
}

// clearLimit removes the time limit of the attempt.
func (a *attempt) clearLimit() { a.timer.Stop() }

// release stops the timer and cancels the context of the attempt.
func (a *attempt) release() {
	a.timer.Stop()
	a.cancel(context.Canceled)
}

// outcome classifies an answer that was passed to the caller, for the endpoint's
// health record.
func (a *attempt) outcome(complete bool) replica.Outcome {
	switch {
	case complete:
		return replica.Answered
	case a.ctx.Err() != nil && !errors.Is(context.Cause(a.ctx), ErrStalled):
		return replica.Abandoned
	}
	return replica.Failed
}
