// Package leader elects one process at a time to hold a role. One record of the
// store names the holder and its epoch, which increases with each holder.
//
// # Usage
//
//	c := leader.New(store, leader.Options{Self: "worker-1", Term: 3 * time.Second}, timers, log)
//	c.Run(ctx, func(ctx context.Context, tenure *leader.Tenure) {
//		if tenure.Held() {
//			held, cancel := tenure.Context(ctx)
//			order(held, tenure.Epoch)
//			cancel()
//		}
//	})
//
// # Safety
//
// The holder counts its term from before it sent the renewal, on a clock that
// also counts the time in which the machine is suspended. A successor takes the
// role only by replacing a revision that it has seen unchanged for the term
// plus a margin. The term of a frozen holder has therefore expired before its
// successor's term can begin.
//
// A process that held the role acts again only two terms after its last act, once
// another one has held the role meanwhile, however the tenures ended: the record names
// the holders before the present one, and each of them waits until it has seen others
// hold the role for two terms. A holder that has held the role for two terms names them
// no more, and may release it.
//
// A tenure that is not renewed in time lapses: the role is not held, but the
// tenure has not ended. It resumes if the store shows that no other process has
// taken the role meanwhile.
package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
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
	// tenure.
	renewalsPerTerm = 3
	// margin is added to the term by a successor and subtracted by the holder.
	margin = 100 * time.Millisecond
	// pollPeriod is how often a process that does not hold the role reads its
	// record, besides the moment at which the holder's term ends.
	pollPeriod = 600 * time.Millisecond
	// releaseAfterTerms is the number of terms after which a holder may release
	// the role before its term ends, and after which a former holder may take it
	// again. It keeps two holders from alternating quickly.
	releaseAfterTerms = 2
	// readyTimeout is how long a process that is not ready waits before it takes a
	// free role, and readyPoll the pause between two checks.
	readyTimeout = time.Second
	readyPoll    = 20 * time.Millisecond
	// heldPoll is how often the context of a tenure compares the uptime, since
	// timers stand still while the machine is suspended.
	heldPoll = 50 * time.Millisecond
)

// Options configure a candidate. Self names the machine: a process that
// restarts on it takes the role again without waiting. Term is how long the
// role is held without a renewal. Ready reports whether the process could do the
// work of the role at once; it may be nil. A process that is not ready waits for a
// while before it takes a free role, so that one that is ready can take it first.
type Options struct {
	Self  string
	Term  time.Duration
	Ready func() bool
}

// leaseRecord is the value of the record. Former are the processes that may have held
// the role less than two terms before the holder took it. Earlier releases of the
// program drop it.
type leaseRecord struct {
	Holder   string   `json:"holder"`
	Epoch    uint64   `json:"epoch"`
	Count    uint64   `json:"count"`
	Released bool     `json:"free"`
	Former   []string `json:"former,omitempty"`
}

// ErrNotHeld is the cause with which the context of a tenure ends.
var ErrNotHeld = errors.New("the role is no longer held")

// Tenure is one period in which this process holds the role under one epoch.
type Tenure struct {
	Epoch  uint64
	began  time.Duration // uptime at which the role was taken
	former []string      // the holders before it, as in the record
	until  atomic.Int64  // uptime in nanoseconds at which the term ends
	timers *clock.Service
}

// Held reports whether the role is held now. Callers check it right before
// each step that only the holder may take.
func (t *Tenure) Held() bool { return t.timers.Uptime() < time.Duration(t.until.Load()) }

// Context returns a context that ends, with the cause ErrNotHeld, as soon as the
// role is not held. A call that only the holder may make uses it, since a call that
// waits for its connection may otherwise be sent after a successor has begun.
func (t *Tenure) Context(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	go func() {
		for {
			left := time.Duration(t.until.Load()) - t.timers.Uptime()
			if left <= 0 {
				cancel(ErrNotHeld)
				return
			}
			if t.timers.Sleep(ctx, min(left, heldPoll)) != nil {
				return
			}
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}

// Candidate campaigns for the role and renews it while it is held.
type Candidate struct {
	store   records.Store
	options Options
	timers  *clock.Service
	log     *logrus.Entry

	lastRecord     records.Record // as last read or written
	unchangedSince time.Duration  // uptime from which its revision counts as unchanged
	epochSeen      uint64         // epoch of lastRecord
	epochSince     time.Duration  // uptime at which this epoch was read first
	lastHolder     string         // holder of lastRecord
	othersSince    time.Duration  // uptime since which other processes were seen to hold the role
}

// New returns a candidate.
func New(store records.Store, options Options, timers *clock.Service, log *logrus.Entry) *Candidate {
	return &Candidate{store: store, options: options, timers: timers, log: log}
}

// Run campaigns until ctx ends and calls lead for each tenure. The context that
// is passed to lead ends with the tenure, and Run waits until lead has
// returned.
func (c *Candidate) Run(ctx context.Context, lead func(ctx context.Context, tenure *Tenure)) {
	for ctx.Err() == nil {
		tenure, err := c.campaign(ctx)
		if err != nil {
			c.log.WithField(logs.Cause, err.Error()).Debug("attempt to take the role failed")
		}
		if tenure == nil {
			_ = c.timers.Sleep(ctx, c.nextPoll())
			continue
		}
		c.log.WithField(logs.Fence, tenure.Epoch).Info("role taken")
		c.hold(ctx, tenure, lead)
	}
}

// nextPoll returns the time until the next attempt to take the role: the polling
// period, or the rest of the holder's term or of the wait of a former holder if that
// ends earlier.
func (c *Candidate) nextPoll() time.Duration {
	now := c.timers.Uptime()
	rest := c.unchangedSince + c.options.Term + margin - now
	if rest <= 0 {
		rest = c.othersSince + c.formerWait() - now
	}
	if c.lastRecord.Revision == 0 || rest <= 0 {
		return pollPeriod
	}
	return min(rest, pollPeriod)
}

// campaign reads the record and takes the role when it is free. It returns nil
// when another process holds the role. While the holder's term cannot have
// expired, a stale read is enough and cheaper.
func (c *Candidate) campaign(ctx context.Context) (*Tenure, error) {
	read := c.store.Get
	if c.lastRecord.Revision != 0 && c.timers.Uptime()-c.unchangedSince < c.options.Term {
		read = c.store.GetStale
	}
	r, err := read(ctx, kind, name)
	if errors.Is(err, records.ErrMissing) {
		if !c.awaitReady(ctx) {
			return nil, ctx.Err()
		}
		return c.create(ctx)
	}
	if err != nil {
		return nil, err
	}
	now := c.timers.Uptime()
	if r.Revision > c.lastRecord.Revision {
		c.lastRecord, c.unchangedSince = r, now
	}
	var held leaseRecord
	if err := json.Unmarshal(c.lastRecord.Body, &held); err != nil {
		return nil, err
	}
	c.noteEpoch(held, now)
	if c.mustWait(held, now) {
		return nil, nil
	}
	if !c.awaitReady(ctx) {
		return nil, ctx.Err()
	}
	next := leaseRecord{Holder: c.options.Self, Epoch: held.Epoch + 1, Former: c.formerHolders(held)}
	return c.write(ctx, c.lastRecord, next, c.store.Put)
}

// mustWait reports whether the term of the holder may still run, or this process held
// the role too short a time before it.
func (c *Candidate) mustWait(held leaseRecord, now time.Duration) bool {
	if held.Released || held.Holder == c.options.Self {
		return false
	}
	if now-c.unchangedSince < c.options.Term+margin {
		return true
	}
	return slices.Contains(held.Former, c.options.Self) && now-c.othersSince < c.formerWait()
}

// formerWait is the time after which a former holder may take the role again.
func (c *Candidate) formerWait() time.Duration { return releaseAfterTerms*c.options.Term + margin }

// noteEpoch notes since when the record has its epoch, and since when it has named other
// processes.
func (c *Candidate) noteEpoch(held leaseRecord, now time.Duration) {
	if held.Epoch == c.epochSeen {
		return
	}
	if c.epochSeen == 0 || c.lastHolder == c.options.Self {
		c.othersSince = now
	}
	c.epochSeen, c.epochSince, c.lastHolder = held.Epoch, now, held.Holder
}

// formerHolders returns the processes that may have held the role less than two terms
// before a successor of the given holder takes it.
func (c *Candidate) formerHolders(held leaseRecord) []string {
	former := []string{held.Holder}
	if !held.Released && c.timers.Uptime()-c.epochSince < c.formerWait() {
		former = append(former, held.Former...)
	}
	slices.Sort(former)
	return slices.DeleteFunc(slices.Compact(former), func(name string) bool { return name == c.options.Self })
}

// awaitReady waits until the process is ready for the role, at most for
// readyTimeout. It reports false when ctx ends first.
func (c *Candidate) awaitReady(ctx context.Context) bool {
	if c.options.Ready == nil {
		return true
	}
	for start := c.timers.Uptime(); !c.options.Ready() && c.timers.Uptime()-start < readyTimeout; {
		if c.timers.Sleep(ctx, readyPoll) != nil {
			return false
		}
	}
	return true
}

// create takes the role when it has no record yet.
func (c *Candidate) create(ctx context.Context) (*Tenure, error) {
	r := records.Record{Kind: kind, Name: name}
	return c.write(ctx, r, leaseRecord{Holder: c.options.Self, Epoch: 1}, c.store.Create)
}

// saveFunc writes a record on the condition of its revision.
type saveFunc func(context.Context, records.Record) (records.Record, error)

// saveNext saves a record whose body has changed. It returns ErrUnknownOutcome for an
// answer whose revision is not above that of the record: it is a second copy of the
// answer to an earlier write.
func saveNext(ctx context.Context, r records.Record, save saveFunc) (records.Record, error) {
	written, err := save(ctx, r)
	if err == nil && written.Revision <= r.Revision {
		err = fmt.Errorf("%w: revision %d after %d", records.ErrUnknownOutcome, written.Revision, r.Revision)
	}
	return written, err
}

// write saves the record of the new holder and returns its tenure, whose term
// is counted from before the call.
func (c *Candidate) write(ctx context.Context, r records.Record, next leaseRecord, save saveFunc) (*Tenure, error) {
	body, err := json.Marshal(next)
	if err != nil {
		return nil, err
	}
	start := c.timers.Uptime()
	written, err := saveNext(ctx, r.WithBody(body), save)
	if err != nil {
		return nil, err
	}
	c.lastRecord, c.unchangedSince = written, start
	c.noteEpoch(next, start)
	tenure := &Tenure{Epoch: next.Epoch, began: start, former: next.Former, timers: c.timers}
	tenure.until.Store(int64(start + c.options.Term - margin))
	return tenure, nil
}

// hold runs lead and renews the tenure until another process has the role or
// ctx ends.
func (c *Candidate) hold(ctx context.Context, tenure *Tenure, lead func(context.Context, *Tenure)) {
	began := c.timers.Uptime()
	inner, cancel := context.WithCancel(ctx)
	finished := make(chan struct{})
	go func() { defer close(finished); lead(inner, tenure) }()
	held := leaseRecord{Holder: c.options.Self, Epoch: tenure.Epoch, Former: tenure.former}
	for c.timers.Sleep(ctx, c.options.Term/renewalsPerTerm) == nil {
		held.Count++
		if !c.renew(ctx, tenure, held) {
			break
		}
	}
	cancel()
	<-finished
	releasable := c.timers.Uptime()-began > releaseAfterTerms*c.options.Term && tenure.Held()
	tenure.until.Store(0)
	if releasable {
		c.release(held)
	}
	c.log.WithField(logs.Fence, tenure.Epoch).Info("role given up")
}

// renew extends the tenure. It returns false when the tenure has ended because
// another process has the role. A renewal that merely fails does not end the
// tenure.
func (c *Candidate) renew(ctx context.Context, tenure *Tenure, held leaseRecord) bool {
	start := c.timers.Uptime()
	if start-tenure.began >= c.formerWait() {
		held.Former = nil
	}
	body, err := json.Marshal(held)
	if err != nil {
		return false
	}
	written, err := saveNext(ctx, c.lastRecord.WithBody(body), c.store.Put)
	if err == nil {
		c.lastRecord, c.unchangedSince = written, start
		tenure.until.Store(int64(start + c.options.Term - margin))
		return true
	}
	c.log.WithField(logs.Cause, err.Error()).Warn("renewal of the role failed")
	if !errors.Is(err, records.ErrConflict) && !errors.Is(err, records.ErrUnknownOutcome) {
		return true
	}
	return c.reread(ctx, held)
}

// reread reports whether the record still names this tenure, after a renewal
// that met a conflict or whose outcome is unknown.
func (c *Candidate) reread(ctx context.Context, held leaseRecord) bool {
	r, err := c.store.Get(ctx, kind, name)
	if err != nil {
		return true // Held returns false once the term has expired
	}
	var current leaseRecord
	if json.Unmarshal(r.Body, &current) != nil || current.Holder != held.Holder || current.Epoch != held.Epoch {
		return false
	}
	c.lastRecord, c.unchangedSince = r, c.timers.Uptime()
	return true
}

// release marks the role as free, so that a successor can take it at once.
func (c *Candidate) release(held leaseRecord) {
	held.Released = true
	body, err := json.Marshal(held)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := c.store.Put(ctx, c.lastRecord.WithBody(body)); err != nil {
		c.log.WithField(logs.Cause, err.Error()).Warn("release of the role failed")
	}
}
