// Package listing decides when the ready results of a batch are listed, that is,
// written as a page that the trainer can read. It does no input or output.
//
// # Load pattern
//
// A trainer waits for a number of complete groups. It reads in long polls and
// pauses after each answer. A step takes as long as its longest texts, and most
// results are ready long before. If they are listed as they come, the trainer
// pauses when the last wanted group is complete, and learns of it only with its
// next read. Results are therefore held until they complete what the trainer
// waits for, so that it is in a long poll then. They are listed earlier when a
// page is nearly full, when the batch is due, or when the oldest of them has waited
// for half of the time until the batch is due. They are not listed shortly before it
// is due: the longest texts often end then, and a trainer takes results for longer
// than its pause.
//
// # Usage
//
//	progress := listing.NewProgress(wanted, groups, awaited)
//	progress.Finish(group)
//	schedule := listing.Schedule{Accepted: accepted, Due: route.BatchDeadline}
//	if !now.Before(schedule.Next(listing.Ready{Since: since, Complete: progress.Complete()})) {
//		schedule = schedule.WithPage(now, progress.Complete())
//	}
package listing

import "time"

const (
	// Interval is the minimum time between two pages of a batch.
	Interval = 350 * time.Millisecond
	// holdFraction is the fraction of the time until a batch is due for which a
	// result may be held.
	holdFraction = 0.5
	// defaultHold is how long a result may be held when the batch has no due time.
	defaultHold = time.Second
)

// Schedule holds the times of a batch: when it was accepted, after which time its
// results are due (0 if they have no due time), and when its latest page was
// written (zero if none was). Complete means that the pages have all that the
// trainer waits for.
type Schedule struct {
	Accepted time.Time
	Due      time.Duration
	LastPage time.Time
	Complete bool
}

// Ready describes the results that are ready and not listed. Since is when the
// oldest of them became ready. Complete means that they complete what the trainer
// waits for. Full means that they nearly fill a page.
type Ready struct {
	Since    time.Time
	Complete bool
	Full     bool
}

// WithPage returns a copy of the schedule after a page was written. complete means
// that the pages have all that the trainer waits for.
func (s Schedule) WithPage(at time.Time, complete bool) Schedule {
	s.LastPage, s.Complete = at, complete
	return s
}

// Next returns the time from which on the results are to be listed.
func (s Schedule) Next(ready Ready) time.Time {
	if ready.Full || (ready.Complete && !s.Complete) {
		return ready.Since
	}
	earliest := s.LastPage.Add(Interval)
	if ready.Complete {
		return later(earliest, ready.Since)
	}
	if s.Due <= 0 {
		return later(earliest, ready.Since.Add(defaultHold))
	}
	held := ready.Since.Add(time.Duration(holdFraction * float64(s.Due)))
	if due := s.Accepted.Add(s.Due); due.Before(held) {
		held = due
	}
	return later(earliest, held)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
