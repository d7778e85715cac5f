// Package leader elects one process at a time to hold a role. One record of the
// store names the holder and its epoch, which increases with each holder.
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
// the role only by replacing a revision that it has seen unchanged for the
// term plus a margin. The term of a frozen holder has therefore expired before
// its successor's term can begin. A holder does not release the role early after
// a short turn, so that two holders cannot alternate faster than every two terms.
//
// A turn that is not renewed in time lapses: the role is not held, but the turn
// has not ended. It resumes if the store shows that no other process has taken
// the role meanwhile.
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
	// renewalsPerTerm is such that one renewal may fail without a lapse of the
	// turn.
	renewalsPerTerm = 3
	// margin is added to the term by a successor and subtracted by the holder.
	margin = 100 * time.Millisecond
	// pollPeriod is how often a process that does not hold the role reads its
	// record.
	pollPeriod = 600 * time.Millisecond
	// releaseAfterTerms is the number of terms after which a holder may release
	// the role before its term ends. It keeps two holders from alternating quickly.
	releaseAfterTerms = 2
)

// Options configure a candidate. Self names the machine: a process that restarts
// on it takes the role again without waiting. Term is how long the role is held
// without a renewal.
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

// Tenure is one period in which this process holds the role under one epoch.
type Tenure struct {
	Epoch  uint64
	until  atomic.Int64 // uptime in nanoseconds at which the term ends
	uptime func() time.Duration
}

// Held reports whether the role is held now. Callers check it right before
// each step that only the holder may take.
func (t *Tenure) Held() bool { return t.uptime() < time.Duration(t.until.Load()) }

// Candidate campaigns for the role and renews it while it is held.
type Candidate struct {
	store   records.Store
	options Options
	timers  *clock.Service
	log     *logrus.Entry
	uptime  func() time.Duration

	lastRecord     records.Record // as last read or written
	unchangedSince time.Duration  // uptime from which its revision counts as unchanged
}

// New returns a candidate.
func New(store records.Store, options Options, timers *clock.Service, log *logrus.Entry) *Candidate {
	return &Candidate{store: store, options: options, timers: timers, log: log, uptime: clock.Uptime}
}

// WithUptime returns a copy that reads the uptime from the given clock.
func (l *Candidate) WithUptime(uptime func() time.Duration) *Candidate {
	c := *l
	c.uptime = uptime
	return &c
}

// Run campaigns until ctx ends and calls lead for each turn. The context that is
// passed to lead ends with the turn, and Run waits until lead has returned.
func (l *Candidate) Run(ctx context.Context, lead func(ctx context.Context, turn *Tenure)) {
	for ctx.Err() == nil {
		turn, err := l.campaign(ctx)
		if err != nil {
			l.log.WithField(logs.Cause, err.Error()).Debug("attempt to take the role failed")
		}
		if turn == nil {
			_ = l.timers.Sleep(ctx, pollPeriod)
			continue
		}
		l.log.WithField(logs.Fence, turn.Epoch).Info("role taken")
		l.hold(ctx, turn, lead)
	}
}

// campaign reads the record and takes the role when it is free. It returns nil
// when another process holds the role. While the holder's term cannot have
// expired, a stale read is enough and cheaper.
func (l *Candidate) campaign(ctx context.Context) (*Tenure, error) {
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

// create takes the role when it has no record yet.
func (l *Candidate) create(ctx context.Context) (*Tenure, error) {
	r := records.Record{Kind: kind, Name: name}
	return l.write(ctx, r, leaseRecord{Holder: l.options.Self, Epoch: 1}, l.store.Create)
}

// write saves the record of the new holder and returns its turn, whose term is
// counted from before the call.
func (l *Candidate) write(ctx context.Context, r records.Record, next leaseRecord, save func(context.Context, records.Record) (records.Record, error)) (*Tenure, error) {
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
	turn := &Tenure{Epoch: next.Epoch, uptime: l.uptime}
	turn.until.Store(int64(start + l.options.Term - margin))
	return turn, nil
}

// hold runs lead and renews the turn until another process has the role or ctx
// ends.
func (l *Candidate) hold(ctx context.Context, turn *Tenure, lead func(context.Context, *Tenure)) {
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

// renew extends the turn. It returns false when the turn has ended because
// another process has the role. A renewal that merely fails does not end the turn.
func (l *Candidate) renew(ctx context.Context, turn *Tenure, held leaseRecord) bool {
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
	l.log.WithField(logs.Cause, err.Error()).Warn("renewal of the role failed")
	if !errors.Is(err, records.ErrConflict) && !errors.Is(err, records.ErrUnsure) {
		return true
	}
	return l.reread(ctx, held)
}

// reread reports whether the record still names this turn, after a renewal that
// met a conflict or whose outcome is unknown.
func (l *Candidate) reread(ctx context.Context, held leaseRecord) bool {
	r, err := l.store.Get(ctx, kind, name)
	if err != nil {
		return true // Held returns false once the term has expired
	}
	var current leaseRecord
	if json.Unmarshal(r.Body, &current) != nil || current.Holder != held.Holder || current.Epoch != held.Epoch {
		return false
	}
	l.lastRecord, l.unchangedSince = r, l.uptime()
	return true
}

// release marks the role as free, so that a successor can take it at once.
func (l *Candidate) release(held leaseRecord) {
	held.Released = true
	body, err := json.Marshal(held)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := l.store.Put(ctx, l.lastRecord.WithBody(body)); err != nil {
		l.log.WithField(logs.Cause, err.Error()).Warn("release of the role failed")
	}
}
