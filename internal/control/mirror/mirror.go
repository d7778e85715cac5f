// Package mirror follows one kind of record in the store. It lists the kind
// once, watches it from there, and lists it again when the history is gone. A
// record never steps back to an earlier revision within one process.
//
// # Usage
//
//	m := mirror.New(store, "routes", mirror.Options{Wait: 3 * time.Second, Apply: apply}, timers, log)
//	go m.Run(ctx)
//	if m.Synced() { ... }
package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

// The pauses after a failed call, which double from the first to the last.
const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
)

const (
	// callAttempts is how often a watch may wait its time before it has failed:
	// through another process, and then directly.
	callAttempts = 2
	// callOverhead covers what the calls take besides.
	callOverhead = 1500 * time.Millisecond
)

// waitFraction is the part of the time in which a change must take effect that one
// watch may wait. A store that drops its history may leave a waiting watch
// without the change.
const waitFraction = 0.55

// WaitFor returns how long a watch may wait when changes must take effect
// within the given time.
func WaitFor(bound time.Duration) time.Duration {
	return time.Duration(waitFraction * float64(bound))
}

// Options configure a mirror. Wait is how long one watch may wait. Rest is the
// period at which watches begin, so that changes that come in quick succession
// arrive together; it is aligned to the wall clock, so that processes watch from
// the same revision and can share their watches. Apply gets each new version of
// a record, in order of revisions for each name, from a single goroutine.
type Options struct {
	Wait  time.Duration
	Rest  time.Duration
	Apply func(record records.Record)
}

// Mirror is a followed kind.
type Mirror struct {
	kind    string
	store   records.Store
	options Options
	timers  *clock.Service
	log     *logrus.Entry

	uptime func() time.Duration

	revisions   map[string]uint64 // revisions by name; owned by Run
	synced      atomic.Bool
	unavailable atomic.Bool  // the latest call failed
	lastAnswer  atomic.Int64 // uptime in nanoseconds at the latest answer
	recoveredAt atomic.Int64 // Unix nanoseconds at which the store came back
}

// New returns a mirror that Run fills.
func New(store records.Store, kind string, options Options, timers *clock.Service, log *logrus.Entry) *Mirror {
	return &Mirror{
		kind: kind, store: store, options: options, timers: timers,
		log: log.WithField("kind", kind), revisions: map[string]uint64{}, uptime: clock.Uptime,
	}
}

// WithUptime sets the clock that tells how old the latest answer is. It must be
// called before Run.
func (m *Mirror) WithUptime(uptime func() time.Duration) *Mirror {
	m.uptime = uptime
	return m
}

// Stale reports whether no answer came for longer than the calls may take,
// and none has failed: the process did not run meanwhile, and does not know yet
// what has changed.
func (m *Mirror) Stale() bool {
	if m.unavailable.Load() || !m.synced.Load() {
		return false
	}
	return m.uptime()-time.Duration(m.lastAnswer.Load()) > callAttempts*m.options.Wait+m.options.Rest+callOverhead
}

// Synced reports whether the kind was listed completely.
func (m *Mirror) Synced() bool { return m.synced.Load() }

// Regained returns when the store answered again after an interruption; the
// zero Unix time when there was none.
func (m *Mirror) Regained() time.Time { return time.Unix(0, m.recoveredAt.Load()) }

// Run follows the kind until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	backoff := initialBackoff
	var revision uint64
	for ctx.Err() == nil {
		next, err := m.fetch(ctx, revision)
		if err == nil {
			m.lastAnswer.Store(int64(m.uptime()))
			if m.unavailable.Swap(false) {
				m.recoveredAt.Store(m.timers.Now().UnixNano())
				m.log.WithField("revision", next).Info("store regained")
			}
			revision, backoff = next, initialBackoff
			if rest := m.options.Rest; rest > 0 {
				_ = m.timers.Sleep(ctx, rest-time.Duration(m.timers.Now().UnixNano())%rest)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, records.ErrHistory) {
			revision = 0
			continue
		}
		if !m.unavailable.Swap(true) {
			m.log.WithField(logs.Cause, err.Error()).Warn("store lost")
		}
		_ = m.timers.Sleep(ctx, backoff/2+rand.N(backoff/2+1))
		backoff = min(2*backoff, maxBackoff)
	}
}

// fetch makes one call: a listing when there is no revision to go on from,
// otherwise a watch.
func (m *Mirror) fetch(ctx context.Context, revision uint64) (uint64, error) {
	if revision == 0 {
		return m.list(ctx)
	}
	changes, err := m.store.Watch(ctx, m.kind, revision, m.options.Wait)
	if err != nil {
		return 0, err
	}
	for _, r := range changes.Records {
		m.apply(r)
	}
	return max(revision, changes.Revision), nil
}

func (m *Mirror) list(ctx context.Context) (uint64, error) {
	page, err := m.store.ListAll(ctx, m.kind)
	if err != nil {
		return 0, err
	}
	listed := make(map[string]bool, len(page.Records))
	for _, r := range page.Records {
		listed[r.Name] = true
		m.apply(r)
	}
	for name, revision := range m.revisions {
		if !listed[name] && revision <= page.Revision {
			m.apply(records.Record{Kind: m.kind, Name: name, Revision: page.Revision, Gone: true})
		}
	}
	m.synced.Store(true)
	return page.Revision, nil
}

// apply passes a record on unless a newer version of it was seen.
func (m *Mirror) apply(r records.Record) {
	if r.Name == "" {
		m.log.Warn("record without a name passed over")
		return
	}
	last, known := m.revisions[r.Name]
	if known && (r.Revision < last || r.Revision == last && !r.Gone) && r.Revision != 0 {
		return
	}
	if r.Gone {
		delete(m.revisions, r.Name)
	} else {
		m.revisions[r.Name] = r.Revision
	}
	m.options.Apply(r)
}
