package forward

import (
	"context"
	"errors"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
)

// errSlowTry ends an attempt that leaves too little time for another one.
var errSlowTry = errors.New("the attempt took its share of the time")

// try is one attempt at an endpoint. Its limit holds until the answer is
// handed on: from then on the caller gets it, and no other attempt follows.
type try struct {
	ctx   context.Context
	stop  context.CancelCauseFunc
	limit *time.Timer
}

func newTry(parent context.Context, limit time.Duration) *try {
	ctx, stop := context.WithCancelCause(parent)
	return &try{ctx: ctx, stop: stop, limit: time.AfterFunc(limit, func() { stop(errSlowTry) })}
}

// lift ends the limit of the attempt.
func (t *try) lift() { t.limit.Stop() }

// end releases what the attempt holds.
func (t *try) end() {
	t.limit.Stop()
	t.stop(context.Canceled)
}

// outcome tells how an answer that was handed on ended.
func (t *try) outcome(whole bool) replica.Outcome {
	switch {
	case whole:
		return replica.Answered
	case t.ctx.Err() != nil && !errors.Is(context.Cause(t.ctx), ErrStalled):
		return replica.Abandoned
	}
	return replica.Failed
}
