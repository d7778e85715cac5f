package batch

import (
	"context"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

// The sources of a Proof that rests on what never changes: the items of a batch, all of
// whose results lie before the position, and the client account of a batch.
const (
	ProofOfItems   = "items"
	ProofOfAccount = "account"
)

// Proof is the exact read of the store that an answer "there is nothing" rests on. The
// answer holds for the time at which the read began: what was written later may be known
// elsewhere. Whoever passes the answer on checks Reader.Holds right before. Began
// is the uptime at which the read began, and Path the way that it took (records.Trace).
// Source is the worker that was asked before, or PagesOfStore. Known is the number of
// results that were known before the position.
type Proof struct {
	Began  time.Duration
	Path   string
	Source string
	Known  int
}

// Lasting reports whether the proof rests on what never changes, and has no age.
func (p Proof) Lasting() bool { return p.Source == ProofOfItems || p.Source == ProofOfAccount }

// WithSource returns a copy with the source and the number of results known.
func (p Proof) WithSource(source string, known int) Proof {
	p.Source, p.Known = source, known
	return p
}

// MissingError is the error of a batch that the store does not have. It wraps
// records.ErrMissing.
type MissingError struct{ Proof Proof }

// Error returns the text of records.ErrMissing.
func (e *MissingError) Error() string { return records.ErrMissing.Error() }

// Unwrap returns records.ErrMissing.
func (e *MissingError) Unwrap() error { return records.ErrMissing }

// prove makes a read of the store and returns what its answer proves.
func (r *Reader) prove(ctx context.Context, read func(ctx context.Context) error) (Proof, error) {
	ctx, trace := records.WithTrace(ctx, r.timers.Uptime)
	err := read(ctx)
	began, path := trace.Last()
	return Proof{Began: began, Path: path, Source: PagesOfStore}, err
}

// Age returns the time since the read of the proof began, including suspensions of the
// machine.
func (r *Reader) Age(p Proof) time.Duration { return r.timers.Uptime() - p.Began }

// Holds reports whether an answer that is written now may rest on the proof: what it
// lacks was not there a short time ago.
func (r *Reader) Holds(p Proof) bool {
	return p.Lasting() || r.Age(p) <= time.Duration(proofShare*float64(r.seams.Settle))
}

// Left returns how long an answer that rests on the proof may still be on its way. It is
// 0 for an answer that may take any time.
func (r *Reader) Left(p Proof) time.Duration {
	if p.Lasting() {
		return 0
	}
	return max(r.seams.Settle-r.Age(p), time.Millisecond)
}
