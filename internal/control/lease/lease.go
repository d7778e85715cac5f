// Package lease lets one instance at a time hold a role, by means of an object
// with a fencing token at the platform. The holder gets connections on which no
// data is sent after the lease has ended.
//
// # Usage
//
//	manager := lease.New(settings, timers, lease.Seams{Get: store.Get, Put: store.Put}, log)
//	held := manager.Hold(ctx, "orders-zone-a")
//	if fence, ok := held.Held(); ok {
//		send(held.Client(), order{Fence: fence})
//	}
//
// # Safety
//
// The holder counts its term from before it sent the renewal. A successor waits
// until it has seen the object unchanged for the term plus the drain bound. The
// drain bound is the TCP_USER_TIMEOUT of the holder's connections: data that
// was written just before the end of the term is delivered within it or not at
// all. Receivers that check fencing tokens always refuse an earlier holder.
// For other receivers one window remains: a pause of the process between the
// check before a write and the system call that is longer than the rest of the
// term plus the drain bound.
package lease

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/peer/objects"
)

const (
	kind = "lease"
	// renewalsPerTerm is such that two renewals may fail before the lease ends.
	renewalsPerTerm = 3
)

// Seams are the external functions that a manager depends on.
type Seams struct {
	Get func(ctx context.Context, kind, name string) (objects.Object, bool, error)
	Put func(ctx context.Context, kind, name string, revision uint64, value []byte) (objects.Object, error)
	// Eligible reports whether this instance should campaign for a lease. It
	// keeps the number of instances that read a lease object small. If it is
	// nil, all instances campaign.
	Eligible func(name string) bool
}

// Manager campaigns for leases on behalf of one instance.
type Manager struct {
	self   string
	term   time.Duration
	drain  time.Duration
	timers *clock.Service
	seams  Seams
	log    *logrus.Entry
	tasks  sync.WaitGroup
}

// New returns a manager for the instance that the settings name.
func New(settings setting.Settings, timers *clock.Service, seams Seams, log *logrus.Entry) *Manager {
	return &Manager{
		self: settings.ID, timers: timers, seams: seams, log: log,
		term:  setting.Milliseconds(settings.LeaseMS),
		drain: setting.Milliseconds(settings.LeaseDrainMS),
	}
}

// record is the value of a lease object.
type record struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
	TermMS int64  `json:"term_ms"`
}

// grant is the token of a held lease and the time at which the lease ends,
// which is counted from before the renewal was sent.
type grant struct {
	fence uint64
	until time.Time
}

// Lease is one role that this instance campaigns for or holds.
type Lease struct {
	manager *Manager
	name    string
	grant   atomic.Pointer[grant]
	client  *http.Client
	// afterCheck is a test hook that pauses the holder between the check of the
	// lease and the write.
	afterCheck func()

	// The fields below belong to the campaign's goroutine. object is the lease
	// object as last read or written, record its decoded value, and
	// unchangedSince the time since when its revision has been the same.
	object         objects.Object
	record         record
	observed       bool
	unchangedSince time.Time
	// attemptedFence is the token of this process's latest write, whether or
	// not the write was answered.
	attemptedFence uint64
	// highestFence is the highest token that this process has seen. The object may
	// be back at a lower one after the platform has lost data.
	highestFence uint64
}

// Hold starts a campaign for the lease. When ctx ends, the campaign stops and
// releases the lease.
func (m *Manager) Hold(ctx context.Context, name string) *Lease {
	l := m.newLease(name)
	m.tasks.Go(func() { l.campaign(ctx) })
	return l
}

func (m *Manager) newLease(name string) *Lease {
	l := &Lease{manager: m, name: name, afterCheck: func() {}}
	l.grant.Store(&grant{})
	l.client = l.newClient()
	return l
}

// Wait returns once all campaigns have ended.
func (m *Manager) Wait() { m.tasks.Wait() }

// Held returns the fencing token while the lease is held.
func (l *Lease) Held() (fence uint64, ok bool) {
	h := l.grant.Load()
	return h.fence, l.manager.timers.Now().Before(h.until)
}

// Client returns the client for orders under the lease. Each request opens its
// own connection, which fails once the lease has ended.
func (l *Lease) Client() *http.Client { return l.client }

func (l *Lease) campaign(ctx context.Context) {
	ticks := l.manager.timers.Subscribe(l.manager.term / renewalsPerTerm)
	defer ticks.Stop()
	for {
		if err := l.step(ctx); err != nil && ctx.Err() == nil {
			l.manager.log.WithField("lease", l.name).WithError(err).Debug("lease object cannot be read or written")
		}
		select {
		case <-ctx.Done():
			l.release()
			return
		case <-ticks.C:
		}
	}
}

// step renews the lease if this instance holds it. Otherwise it reads the
// object and takes the lease once the takeover delay has passed.
func (l *Lease) step(ctx context.Context) error {
	m := l.manager
	// A holder renews on the revision of its last write, without reading first.
	if _, ok := l.Held(); ok && l.observed && l.record.Holder == m.self {
		return l.write(ctx, l.record.Fence)
	}
	if m.seams.Eligible != nil && !m.seams.Eligible(l.name) {
		l.observed, l.unchangedSince = false, time.Time{}
		return nil
	}
	o, _, err := m.seams.Get(ctx, kind, l.name)
	if err != nil {
		return err
	}
	now := m.timers.Now()
	l.observe(o, now)
	if l.ownsObject() {
		return l.write(ctx, l.record.Fence)
	}
	if now.Sub(l.unchangedSince) < l.takeoverDelay() {
		return nil
	}
	return l.write(ctx, l.highestFence+1)
}

// observe records an object that was read at now, unless its revision is known.
func (l *Lease) observe(o objects.Object, now time.Time) {
	if l.observed && o.Revision == l.object.Revision {
		return
	}
	l.object, l.observed, l.unchangedSince, l.record = o, true, now, record{}
	if len(o.Value) > 0 && json.Unmarshal(o.Value, &l.record) != nil {
		l.manager.log.WithField("lease", l.name).Warn("lease object cannot be decoded")
	}
	l.highestFence = max(l.highestFence, l.record.Fence)
}

// ownsObject reports whether the object is this process's latest write and nobody
// took the lease after it. A write by an earlier process with the same instance id
// does not count, since that process may still be running.
func (l *Lease) ownsObject() bool {
	return l.attemptedFence > 0 && l.record.Holder == l.manager.self && l.record.Fence == l.attemptedFence &&
		l.record.Fence >= l.highestFence
}

// takeoverDelay returns how long the object must stay unchanged before this
// instance may take the lease. It uses the holder's own term, which may differ
// from this instance's.
func (l *Lease) takeoverDelay() time.Duration {
	if l.object.Revision == 0 {
		return 0
	}
	return setting.Milliseconds(l.record.TermMS) + l.manager.drain
}

// write renews or takes the lease. If the answer is lost, the lease is not
// extended; the next step learns the outcome.
func (l *Lease) write(ctx context.Context, fence uint64) error {
	m := l.manager
	next := record{Holder: m.self, Fence: fence, TermMS: m.term.Milliseconds()}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	l.attemptedFence = fence
	sent := m.timers.Now()
	o, err := m.seams.Put(ctx, kind, l.name, l.object.Revision, value)
	if current, lost := objects.Conflict(err); lost {
		if l.handleConflict(current); l.ownsObject() {
			// An earlier write took effect although its answer was lost.
			sent = m.timers.Now()
			o, err = m.seams.Put(ctx, kind, l.name, l.object.Revision, value)
		}
		if _, lost := objects.Conflict(err); lost {
			return nil
		}
	}
	if err != nil {
		return err
	}
	l.object, l.observed, l.unchangedSince, l.record = o, true, m.timers.Now(), next
	l.highestFence = max(l.highestFence, fence)
	if held := l.grant.Swap(&grant{fence: fence, until: sent.Add(m.term)}); held.fence != fence {
		m.log.WithField("lease", l.name).WithField(logs.Fence, fence).Info("lease taken")
	}
	return nil
}

// handleConflict records the object that a refused write returned, and drops
// the grant if the object is not this process's own write.
func (l *Lease) handleConflict(current objects.Object) {
	l.observe(current, l.manager.timers.Now())
	if l.ownsObject() {
		return
	}
	if _, ok := l.Held(); ok {
		l.manager.log.WithField("lease", l.name).WithField("holder", l.record.Holder).Warn("lease lost")
	}
	l.grant.Store(&grant{})
}

// release drops the grant and writes an object with a term of 0, so that the
// successor waits only for the drain bound.
func (l *Lease) release() {
	m := l.manager
	held := l.grant.Swap(&grant{})
	if !m.timers.Now().Before(held.until) {
		return
	}
	value, err := json.Marshal(record{Fence: held.fence})
	if err != nil {
		return
	}
	ctx, cancel := m.timers.WithTimeout(context.Background(), m.drain)
	defer cancel()
	if _, err := m.seams.Put(ctx, kind, l.name, l.object.Revision, value); err != nil {
		m.log.WithField("lease", l.name).WithError(err).Debug("lease could not be released; it will expire")
	}
}
