// Package expiry removes the records of batches whose retention time is over.
// The store itself never expires records.
//
// A batch is removed once it has ended and its retention time is over: first its own
// record, so that readers no longer find it, then its pages and parts. Its end marker is
// kept for another retention time, so that a batch that is submitted again does not run.
//
// The retention time counts from when this process learned of the batch. The time of
// day at which another process accepted it does not count, since either time may be
// wrong. A process that starts keeps all batches for another retention time.
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
	// Margin is added to the retention time, since the time of day of a reader
	// may be wrong and callers may read late.
	Margin = 5 * time.Minute
	// sweepInterval is the pause between two sweeps for due batches.
	sweepInterval = 10 * time.Second
)

// phase is which records of a batch the store has.
type phase int

const (
	phaseUnknown phase = iota
	phaseStored        // the record of the batch and its pages
	phaseRemoved       // the end marker only
)

// batchState holds what decides when the records of a batch are removed.
type batchState struct {
	phase    phase
	since    time.Duration // uptime at which this process learned of the phase
	accepted time.Time     // distinguishes batches with the same id
	ended    bool
}

// stored returns the state after the record of a batch was seen.
func (s batchState) stored(accepted time.Time, now time.Duration) batchState {
	if s.phase == phaseStored && s.accepted.Equal(accepted) {
		return s
	}
	s.phase, s.since, s.accepted = phaseStored, now, accepted
	return s
}

// removed returns the state after the record of a batch was seen to be missing.
func (s batchState) removed(now time.Duration) batchState {
	s.phase, s.since, s.accepted = phaseRemoved, now, time.Time{}
	return s
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

// Accepted records that the store has a batch that was accepted at the given time of
// day.
func (e *Expiry) Accepted(id string, at time.Time) {
	e.update(id, func(s batchState) batchState { return s.stored(at, e.timers.Uptime()) })
}

// Ended records that a batch has ended. Its own record may be removed already:
// then the retention of its end marker begins now.
func (e *Expiry) Ended(id string) {
	e.update(id, func(s batchState) batchState {
		s.ended = true
		if s.phase == phaseUnknown {
			return s.removed(e.timers.Uptime())
		}
		return s
	})
}

// Removed records that the record of a batch was removed from the store.
func (e *Expiry) Removed(id string) {
	e.update(id, func(s batchState) batchState { return s.removed(e.timers.Uptime()) })
}

// EndMarkerRemoved drops the state of a batch whose end marker was removed.
func (e *Expiry) EndMarkerRemoved(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.batches, id)
}

func (e *Expiry) update(id string, apply func(batchState) batchState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batches[id] = apply(e.batches[id])
}

// Run sweeps for due records until ctx ends. It removes them only while held
// reports that this process holds the role.
func (e *Expiry) Run(ctx context.Context, held func() bool) {
	for e.timers.Sleep(ctx, sweepInterval) == nil {
		for _, id := range e.due(phaseStored) {
			e.removeIfHeld(ctx, held, id, e.store.Remove)
		}
		for _, id := range e.due(phaseRemoved) {
			e.removeIfHeld(ctx, held, id, e.store.RemoveEndMarker)
		}
	}
}

// due returns the ids of the ended batches whose retention time in a phase is over.
func (e *Expiry) due(wanted phase) []string {
	now := e.timers.Uptime()
	e.mu.Lock()
	defer e.mu.Unlock()
	var ids []string
	for id, s := range e.batches {
		if s.ended && s.phase == wanted && now-s.since > e.retention {
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
