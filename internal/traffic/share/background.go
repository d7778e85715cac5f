// Package share divides scarce capacity: it bounds how long a call that is not urgent may
// wait for calls that are, and exchanges between processes the work that each client
// account receives. Limit and the rules of the digests are functions of values; Exchange
// does the sending.
//
// # Usage
//
//	urgent := share.Limit(now, due, usual, rand.Float64())
package share

import "time"

const (
	// leadRuns is the time, in usual times of a call, that is kept free before the
	// call's result is due: one run, one repeated run and one to spread over.
	leadRuns = 3
	// waitShare is the part of the remaining time that a background call may wait. The
	// rest is for repeated calls, for listing the result, and for the trainer, whose
	// next steps begin when this one ends.
	waitShare = 0.5
	// maxWaitRuns bounds the wait in usual times of a call: 2 s for a call of 80 ms. A
	// step whose results are due much later still gains from early ones.
	maxWaitRuns = 25
	// defaultUsual is the usual time of a call while it is not known.
	defaultUsual = 100 * time.Millisecond
	// spreadShare is the part of that wait by which the limits of calls differ, so that
	// calls that began together are not sent together when they may wait no longer.
	spreadShare = 0.5
)

// Limit returns the time until which a background call may wait for headroom: later it
// would make the result late that is due at the given time. Usual is the usual time of
// such a call, and spread, from 0 to 1, distributes the limits of calls that begin
// together. A call whose result has no due time, or is due too soon, may not wait.
func Limit(now, due time.Time, usual time.Duration, spread float64) time.Time {
	if due.IsZero() {
		return now
	}
	if usual <= 0 {
		usual = defaultUsual
	}
	spare := due.Sub(now) - leadRuns*usual
	if spare <= 0 {
		return now
	}
	wait := min(waitShare*float64(spare), maxWaitRuns*float64(usual))
	return now.Add(time.Duration(wait * (1 - spreadShare*min(max(spread, 0), 1))))
}
