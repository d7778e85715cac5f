// Package expiry removes the records of batches that nobody may ask for any
// more. Nothing expires in the store by itself.
//
// A batch goes some time after it was accepted, once it has ended: first its
// own record, so that readers find none, then its pages and further items. Its
// ending stays as long again, so that a batch that is sent again does not run.
//
// # Usage
//
//	e := expiry.New(shelf, kept, timers, log)
//	e.Accepted(id, at)
//	e.Ended(id)
//	e.Run(ctx, turn.Held) // in the process that holds the role
package expiry

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

const (
	// Margin is added to the time for which results must be kept: clocks of
	// processes differ, and callers may read late.
	Margin = 5 * time.Minute
	// period is how often due batches are looked for.
	period = 10 * time.Second
)

// state is what is known of one batch.
type state struct {
	accepted time.Time
	ended    bool
	// removed is when the batch's record was seen to be gone; zero while it is
	// there.
	removed time.Time
}

// Expiry knows when batches may go. Every worker keeps it, so that the next
// holder of the role goes on.
type Expiry struct {
	shelf  *batch.Shelf
	kept   time.Duration
	timers *clock.Service
	log    *logrus.Entry

	mu      sync.Mutex
	batches map[string]state
}

// New returns an Expiry that keeps results for the given time and Margin.
func New(shelf *batch.Shelf, kept time.Duration, timers *clock.Service, log *logrus.Entry) *Expiry {
	return &Expiry{shelf: shelf, kept: kept + Margin, timers: timers, log: log, batches: map[string]state{}}
}

// Accepted notes a batch and when it was accepted.
func (e *Expiry) Accepted(id string, at time.Time) {
	e.change(id, func(s *state) { s.accepted, s.removed = at, time.Time{} })
}

// Ended notes the end of a batch, whose own record may be gone already.
func (e *Expiry) Ended(id string) {
	e.change(id, func(s *state) {
		s.ended = true
		if s.accepted.IsZero() && s.removed.IsZero() {
			s.removed = e.timers.Now()
		}
	})
}

// Removed notes that a batch's record is gone.
func (e *Expiry) Removed(id string) {
	e.change(id, func(s *state) { s.accepted, s.removed = time.Time{}, e.timers.Now() })
}

// Forgotten notes that the ending of a batch is gone.
func (e *Expiry) Forgotten(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.batches, id)
}

func (e *Expiry) change(id string, apply func(*state)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.batches[id]
	apply(&s)
	e.batches[id] = s
}

// Run removes what is due while the role is held, until ctx ends.
func (e *Expiry) Run(ctx context.Context, held func() bool) {
	for e.timers.Sleep(ctx, period) == nil {
		for _, id := range e.due(func(s state) bool { return !s.accepted.IsZero() && e.past(s.accepted) }) {
			e.attempt(ctx, held, id, e.shelf.Remove)
		}
		for _, id := range e.due(func(s state) bool { return !s.removed.IsZero() && e.past(s.removed) }) {
			e.attempt(ctx, held, id, e.shelf.Forget)
		}
	}
}

func (e *Expiry) past(at time.Time) bool { return e.timers.Since(at) > e.kept }

// due returns the ended batches for which the condition holds.
func (e *Expiry) due(holds func(state) bool) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ids []string
	for id, s := range e.batches {
		if s.ended && holds(s) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (e *Expiry) attempt(ctx context.Context, held func() bool, id string, remove func(context.Context, string) error) {
	if ctx.Err() != nil || !held() {
		return
	}
	if err := remove(ctx, id); err != nil {
		e.log.WithFields(logrus.Fields{"batch": id, logs.Cause: err.Error()}).Warn("old records not removed")
	}
}
