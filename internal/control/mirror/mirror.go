// Package mirror follows one kind of record in the store. It lists the kind
// once, watches it from the revision of the list, and lists it again when the
// store no longer has the history since then. Within one process, a record
// never returns to an earlier revision.
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

// The backoff after a failed call doubles with each further failure.
const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
)

const (
	// callAttempts is how often the wait of a watch may elapse before the watch
	// has failed: once for the call through another process and once for the
	// direct call.
	callAttempts = 2
	// callOverhead covers the time that the calls take besides the wait.
	callOverhead = 1500 * time.Millisecond
)

// errLateList means that a list is older than the changes that are known already.
var errLateList = errors.New("the list is older than an earlier answer")

// waitFraction is the fraction of the time within which a change must take
// effect that one watch may wait. A store that drops its history may leave a
// waiting watch without a change, so that only the next watch returns it.
const waitFraction = 0.55

// WaitFor returns how long a watch may wait when changes must take effect
// within bound.
func WaitFor(bound time.Duration) time.Duration {
	return time.Duration(waitFraction * float64(bound))
}

// Options configure a mirror. Wait is how long one watch may wait. Rest is the
// period at which watches begin, so that changes in quick succession arrive
// together. It is aligned to the wall clock, so that processes watch from the
// same revision and can share their watches. Apply is called with each new
// version of a record, in order of revisions for each name, from a single
// goroutine.
type Options struct {
	Wait          time.Duration
	WatchInterval time.Duration
	Apply         func(record records.Record)
}

// Mirror follows one kind of record and tracks whether the store answers.
type Mirror struct {
	kind    string
	store   records.Store
	options Options
	timers  *clock.Service
	log     *logrus.Entry

	exactList   bool              // the next list must not be shared; used by Run only
	revisions   map[string]uint64 // latest revision by name; used by Run only
	horizon     uint64            // revision up to which changes are known; used by Run only
	synced      atomic.Bool
	unavailable atomic.Bool  // the latest call failed
	lastAnswer  atomic.Int64 // uptime in nanoseconds at the latest answer
	recoveredAt atomic.Int64 // Unix time in nanoseconds at which the store answered again
}

// New returns a mirror, which is empty until Run is called.
func New(store records.Store, kind string, options Options, timers *clock.Service, log *logrus.Entry) *Mirror {
	return &Mirror{
		kind: kind, store: store, options: options, timers: timers,
		log: log.WithField("kind", kind), revisions: map[string]uint64{},
	}
}

// Stale reports whether the latest answer is older than the calls may take
// although no call has failed. This means that the process was paused and does
// not know yet what has changed meanwhile.
func (m *Mirror) Stale() bool {
	if m.unavailable.Load() || !m.synced.Load() {
		return false
	}
	return m.timers.Uptime()-time.Duration(m.lastAnswer.Load()) > callAttempts*m.options.Wait+m.options.WatchInterval+callOverhead
}

// Synced reports whether the kind has been listed completely at least once.
func (m *Mirror) Synced() bool { return m.synced.Load() }

// RecoveredAt returns when the store answered again after the latest
// interruption, or the zero Unix time if there was none.
func (m *Mirror) RecoveredAt() time.Time { return time.Unix(0, m.recoveredAt.Load()) }

// Run follows the kind until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	backoff := initialBackoff
	var revision uint64
	listed := false // the latest answer was that to a list
	for ctx.Err() == nil {
		began := m.timers.Uptime()
		next, err := m.fetch(ctx, revision)
		if err == nil {
			m.lastAnswer.Store(int64(m.answerTime(began, revision)))
			if m.unavailable.Swap(false) {
				m.recoveredAt.Store(m.timers.Now().UnixNano())
				m.log.WithField("revision", next).Info("store regained")
			}
			listed = revision == 0
			if !listed {
				backoff = initialBackoff
			}
			revision = next
			if rest := m.options.WatchInterval; rest > 0 {
				_ = m.timers.Sleep(ctx, rest-time.Duration(m.timers.Now().UnixNano())%rest)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, records.ErrCompacted) {
			// A shared list may be older than the history. A second loss in a row comes
			// from the list, so that the next one is exact.
			if listed {
				m.exactList = true
				_ = m.timers.Sleep(ctx, backoff/2+rand.N(backoff/2+1))
				backoff = min(2*backoff, maxBackoff)
			}
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

// answerTime returns the latest uptime at which the store can have given the answer to
// a call that began at the given uptime. A process that was paused during the call takes
// the answer long after that.
func (m *Mirror) answerTime(began time.Duration, revision uint64) time.Duration {
	if revision == 0 {
		return began - records.MaxSharedAge
	}
	return min(m.timers.Uptime(), began+m.options.Wait)
}

// fetch makes one call, a listing if revision is 0 and otherwise a watch, and
// returns the revision for the next call.
func (m *Mirror) fetch(ctx context.Context, revision uint64) (uint64, error) {
	if revision == 0 {
		return m.list(ctx)
	}
	changes, err := m.store.Watch(ctx, m.kind, revision, m.options.Wait)
	if err != nil {
		return 0, err
	}
	for _, r := range changes.Records {
		// A late copy of an earlier answer may hold a record that was removed since.
		// The event of a removal may name an earlier revision.
		if r.Deleted || r.Revision == 0 || r.Revision > revision {
			m.apply(r)
		}
	}
	m.horizon = max(revision, changes.Revision)
	return m.horizon, nil
}

// list applies all records of the kind, page by page. Records that are not listed any more
// are applied as removed, unless their revision is later than that of the list.
func (m *Mirror) list(ctx context.Context) (uint64, error) {
	store := m.store.Shared()
	if m.exactList {
		store = m.store
	}
	revision, listed, err := m.applyList(ctx, store)
	if errors.Is(err, errLateList) {
		revision, listed, err = m.applyList(ctx, m.store)
	}
	if err != nil {
		return 0, err
	}
	m.exactList = false
	m.horizon = revision
	for name, known := range m.revisions {
		if !listed[name] && known <= revision {
			m.apply(records.Record{Kind: m.kind, Name: name, Revision: revision, Deleted: true})
		}
	}
	m.synced.Store(true)
	return revision, nil
}

// applyList applies the records of a list and returns its revision and the names of the
// records. It returns errLateList, and applies none, if the list is older than what is known.
func (m *Mirror) applyList(ctx context.Context, store records.Store) (revision uint64, listed map[string]bool, err error) {
	listed = map[string]bool{}
	first := true
	err = store.EachPage(ctx, m.kind, func(page records.Page) error {
		if first && page.Revision < m.horizon {
			return errLateList
		}
		if first {
			revision, first = page.Revision, false
		}
		for _, r := range page.Records {
			listed[r.Name] = true
			m.apply(r)
		}
		return nil
	})
	return revision, listed, err
}

// apply calls Options.Apply unless the same or a newer version of the record
// has been applied. A removal is also applied at the revision of the latest
// version, and a record with revision 0 always.
func (m *Mirror) apply(r records.Record) {
	if r.Name == "" {
		m.log.Warn("ignored a record without a name")
		return
	}
	last, known := m.revisions[r.Name]
	if known && (r.Revision < last || r.Revision == last && !r.Deleted) && r.Revision != 0 {
		return
	}
	if r.Deleted {
		delete(m.revisions, r.Name)
	} else {
		m.revisions[r.Name] = r.Revision
	}
	m.options.Apply(r)
}
