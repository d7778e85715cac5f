// Package leader lets one process at a time hold a role. The holder and its
// epoch stand in one record of the store; the epoch rises with each holder.
//
// # Usage
//
//	l := leader.New(store, leader.Options{Self: "worker-1", Term: 3 * time.Second}, timers, log)
//	l.Run(ctx, func(ctx context.Context, turn *leader.Turn) {
//		if turn.Held() { order(turn.Epoch) }
//	})
//
// # Safety
//
// The holder counts its term from before it sent the renewal, on a clock that
// also counts the time in which the machine is suspended. A successor takes
// the role only by replacing the revision that it has seen unchanged for the
// term and a margin, so that a holder that was frozen finds its term over
// before another one can begin. A holder never gives the role up early after
// a short turn, so that two holders take turns in no less than two terms.
//
// A turn that is not renewed in time is not held, but it is not over either: it
// goes on when the store shows that nobody else has taken the role meanwhile.
package leader

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

const (
	kind = "leases"
	name = "worker"
	// renewalsPerTerm is the number of renewalsPerTerm in a term; one may fail.
	renewalsPerTerm = 3
	// margin is added to the term by a successor and taken off by the holder.
	margin = 100 * time.Millisecond
	// pollPeriod is how often a process that does not hold the role reads it.
	pollPeriod = 600 * time.Millisecond
	// releaseAfterTerms is the number of terms after which a holder may give the role up
	// before its term ends.
	releaseAfterTerms = 2
)

// Options configure a candidate. Self names the machine.
type Options struct {
	Self string
	Term time.Duration
}

type leaseRecord struct {
	Holder   string `json:"holder"`
	Epoch    uint64 `json:"epoch"`
	Count    uint64 `json:"count"`
	Released bool   `json:"free"`
}

// Turn is one time of holding the role.
type Turn struct {
	Epoch  uint64
	until  atomic.Int64 // nanoseconds on the uptime clock
	uptime func() time.Duration
}

// Held reports whether the role is held now. Callers check it right before
// each step that only the holder may take.
func (t *Turn) Held() bool { return t.uptime() < time.Duration(t.until.Load()) }

// Leader campaigns for the role.
type Leader struct {
	store   records.Store
	options Options
	timers  *clock.Service
	log     *logrus.Entry
	uptime  func() time.Duration

	lastRecord     records.Record // the record that was read last
	unchangedSince time.Duration  // when seen was first read with its revision
}

// New returns a candidate.
func New(store records.Store, options Options, timers *clock.Service, log *logrus.Entry) *Leader {
	return &Leader{store: store, options: options, timers: timers, log: log, uptime: clock.Uptime}
}

// WithUptime returns a copy that reads the time from the given clock.
func (l *Leader) WithUptime(uptime func() time.Duration) *Leader {
	c := *l
	c.uptime = uptime
	return &c
}

// Run campaigns until ctx ends and calls lead for each turn. The context that
// lead gets ends with the turn.
func (l *Leader) Run(ctx context.Context, lead func(ctx context.Context, turn *Turn)) {
	for ctx.Err() == nil {
		turn, err := l.campaign(ctx)
		if err != nil {
			l.log.WithField(logs.Cause, err.Error()).Debug("campaign failed")
		}
		if turn == nil {
			_ = l.timers.Sleep(ctx, pollPeriod)
			continue
		}
		l.log.WithField(logs.Fence, turn.Epoch).Info("role taken")
		l.hold(ctx, turn, lead)
	}
}

// campaign reads the record and takes the role when it is free. While the
// holder's term cannot be over, a cheap look is enough.
func (l *Leader) campaign(ctx context.Context) (*Turn, error) {
	read := l.store.Get
	if l.lastRecord.Revision != 0 && l.uptime()-l.unchangedSince < l.options.Term {
		read = l.store.GetStale
	}
	r, err := read(ctx, kind, name)
	if errors.Is(err, records.ErrMissing) {
		return l.create(ctx)
	}
	if err != nil {
		return nil, err
	}
	now := l.uptime()
	if r.Revision > l.lastRecord.Revision {
		l.lastRecord, l.unchangedSince = r, now
	}
	var held leaseRecord
	if err := json.Unmarshal(l.lastRecord.Body, &held); err != nil {
		return nil, err
	}
	if !held.Released && held.Holder != l.options.Self && now-l.unchangedSince < l.options.Term+margin {
		return nil, nil
	}
	return l.write(ctx, l.lastRecord, leaseRecord{Holder: l.options.Self, Epoch: held.Epoch + 1}, l.store.Put)
}

func (l *Leader) create(ctx context.Context) (*Turn, error) {
	r := records.Record{Kind: kind, Name: name}
	return l.write(ctx, r, leaseRecord{Holder: l.options.Self, Epoch: 1}, l.store.Create)
}

// write stores the holder and returns its turn, counted from before the call.
func (l *Leader) write(ctx context.Context, r records.Record, next leaseRecord, save func(context.Context, records.Record) (records.Record, error)) (*Turn, error) {
	body, err := json.Marshal(next)
	if err != nil {
		return nil, err
	}
	start := l.uptime()
	written, err := save(ctx, r.WithBody(body))
	if err != nil {
		return nil, err
	}
	l.lastRecord, l.unchangedSince = written, start
	turn := &Turn{Epoch: next.Epoch, uptime: l.uptime}
	turn.until.Store(int64(start + l.options.Term - margin))
	return turn, nil
}

// hold renews the turn until another process has the role or ctx ends.
func (l *Leader) hold(ctx context.Context, turn *Turn, lead func(context.Context, *Turn)) {
	began := l.uptime()
	inner, cancel := context.WithCancel(ctx)
	finished := make(chan struct{})
	go func() { defer close(finished); lead(inner, turn) }()
	held := leaseRecord{Holder: l.options.Self, Epoch: turn.Epoch}
	for l.timers.Sleep(ctx, l.options.Term/renewalsPerTerm) == nil {
		held.Count++
		if !l.renew(ctx, turn, held) {
			break
		}
	}
	cancel()
	<-finished
	if l.uptime()-began > releaseAfterTerms*l.options.Term && turn.Held() {
		l.release(held)
	}
	turn.until.Store(0)
	l.log.WithField(logs.Fence, turn.Epoch).Info("role given up")
}

// renew extends the turn and reports whether nobody else has the role.
func (l *Leader) renew(ctx context.Context, turn *Turn, held leaseRecord) bool {
	body, err := json.Marshal(held)
	if err != nil {
		return false
	}
	start := l.uptime()
	written, err := l.store.Put(ctx, l.lastRecord.WithBody(body))
	if err == nil {
		l.lastRecord, l.unchangedSince = written, start
		turn.until.Store(int64(start + l.options.Term - margin))
		return true
	}
	l.log.WithField(logs.Cause, err.Error()).Warn("renewal failed")
	if !errors.Is(err, records.ErrConflict) && !errors.Is(err, records.ErrUnsure) {
		return true
	}
	return l.reread(ctx, held)
}

// reread finds out whether a renewal whose answer is unknown was carried out.
func (l *Leader) reread(ctx context.Context, held leaseRecord) bool {
	r, err := l.store.Get(ctx, kind, name)
	if err != nil {
		return true // the term tells when the turn is not held
	}
	var current leaseRecord
	if json.Unmarshal(r.Body, &current) != nil || current.Holder != held.Holder || current.Epoch != held.Epoch {
		return false
	}
	l.lastRecord, l.unchangedSince = r, l.uptime()
	return true
}

// release lets a successor take the role at once.
func (l *Leader) release(held leaseRecord) {
	held.Released = true
	body, err := json.Marshal(held)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := l.store.Put(ctx, l.lastRecord.WithBody(body)); err != nil {
		l.log.WithField(logs.Cause, err.Error()).Warn("role not freed")
	}
}
