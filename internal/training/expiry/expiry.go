// Package expiry removes the records of batches whose retention time is over.
// The store itself never expires records.
//
// A batch is removed once it has ended and its retention time, counted from its
// acceptance, is over: first its own record, so that readers no longer find it,
// then its pages and parts. Its end marker is kept for another retention time,
// so that a batch that is submitted again does not run.
//
// # Usage
//
//	e := expiry.New(store, retention, timers, log)
//	e.Accepted(id, at)
//	e.Ended(id)
//	e.Run(ctx, turn.Held) // removes records while this process holds the role
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
	// Margin is added to the retention time, since the clocks of processes
	// differ and callers may read late.
	Margin = 5 * time.Minute
	// sweepInterval is the pause between two sweeps for due batches.
	sweepInterval = 10 * time.Second
)

// batchState holds what decides when the records of a batch are removed.
type batchState struct {
	accepted time.Time // zero while unknown, and once the record is removed
	ended    bool
	removed  time.Time // when the removal of the record was seen; zero before
}

// Expiry decides when the records of batches are removed. Every worker keeps
// it up to date, so that the next holder of the role can continue at once.
type Expiry struct {
	store     *batch.Store
	retention time.Duration
	timers    *clock.Service
	log       *logrus.Entry

	mu      sync.Mutex
	batches map[string]batchState
}

// New returns an Expiry that keeps results for the retention time plus Margin.
func New(store *batch.Store, retention time.Duration, timers *clock.Service, log *logrus.Entry) *Expiry {
	return &Expiry{
		store: store, retention: retention + Margin, timers: timers, log: log,
		batches: map[string]batchState{},
	}
}

// Accepted records when a batch was accepted.
func (e *Expiry) Accepted(id string, at time.Time) {
	e.update(id, func(s *batchState) { s.accepted, s.removed = at, time.Time{} })
}

// Ended records that a batch has ended. Its own record may be removed already:
// then the retention of its end marker begins now.
func (e *Expiry) Ended(id string) {
	e.update(id, func(s *batchState) {
		s.ended = true
		if s.accepted.IsZero() && s.removed.IsZero() {
			s.removed = e.timers.Now()
		}
	})
}

// Removed records that the record of a batch was removed from the store.
func (e *Expiry) Removed(id string) {
	e.update(id, func(s *batchState) { s.accepted, s.removed = time.Time{}, e.timers.Now() })
}

// EndMarkerRemoved drops the state of a batch whose end marker was removed.
func (e *Expiry) EndMarkerRemoved(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.batches, id)
}

func (e *Expiry) update(id string, apply func(*batchState)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.batches[id]
	apply(&s)
	e.batches[id] = s
}

// Run sweeps for due records until ctx ends. It removes them only while held
// reports that this process holds the role.
func (e *Expiry) Run(ctx context.Context, held func() bool) {
	for e.timers.Sleep(ctx, sweepInterval) == nil {
		for _, id := range e.due(func(s batchState) bool { return !s.accepted.IsZero() && e.overdue(s.accepted) }) {
			e.removeIfHeld(ctx, held, id, e.store.Remove)
		}
		for _, id := range e.due(func(s batchState) bool { return !s.removed.IsZero() && e.overdue(s.removed) }) {
			e.removeIfHeld(ctx, held, id, e.store.RemoveEndMarker)
		}
	}
}

func (e *Expiry) overdue(since time.Time) bool { return e.timers.Since(since) > e.retention }

// due returns the ids of the ended batches that match.
func (e *Expiry) due(match func(batchState) bool) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ids []string
	for id, s := range e.batches {
		if s.ended && match(s) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (e *Expiry) removeIfHeld(ctx context.Context, held func() bool, id string, remove func(context.Context, string) error) {
	if ctx.Err() != nil || !held() {
		return
	}
	if err := remove(ctx, id); err != nil {
		e.log.WithFields(logrus.Fields{"batch": id, logs.Cause: err.Error()}).Warn("old records not removed")
	}
}
