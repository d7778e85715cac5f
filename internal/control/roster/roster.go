package roster

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
)

const (
	// maxWatchWait is the maximum time for which the platform holds a watch open.
	maxWatchWait = 20 * time.Second
	// callTimeout bounds a request for a load report or for a peer's list. A
	// watch may take maxWatchWait longer.
	callTimeout = 2 * time.Second
	// minBackoff and maxBackoff are the minimum and maximum time for which an
	// endpoint counts as failed. The time doubles with each consecutive failure.
	minBackoff = time.Second
	maxBackoff = 30 * time.Second
	// maxConcurrentProbes bounds the concurrent requests for load reports.
	maxConcurrentProbes = 16
	// tombstoneRetention is the time for which pages for peers still contain an
	// endpoint that is gone.
	tombstoneRetention = 10 * time.Minute
	// loadReportPeriods is the number of exchange periods between two load
	// reports of an endpoint that has not failed. With 17 endpoints for each
	// home instance and about 400 bytes for each report, the reports stay below
	// 2 KB/s.
	loadReportPeriods = 5
)

// Page is a part of the platform's endpoint list: the changes after the
// requested revision or, if Full is set, the whole list.
type Page struct {
	Revision  uint64     `json:"revision"`
	Full      bool       `json:"full,omitempty"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Seams are the functions that a Roster needs.
type Seams struct {
	// Relay reports whether this instance watches the platform for its zone.
	Relay func() bool
	// Watch requests the changes after a revision from the platform. It waits
	// for a change for at most wait.
	Watch func(ctx context.Context, after uint64, wait time.Duration) (Page, error)
	// FetchFromPeer requests the changes after a revision from another instance.
	FetchFromPeer func(ctx context.Context, after uint64) (Page, error)
	// Load requests a load report from an endpoint.
	Load func(ctx context.Context, endpoint Endpoint) (Load, error)
	// IsHome reports whether this instance is the endpoint's home instance, which
	// requests its load reports.
	IsHome func(endpoint Endpoint) bool
	// ZoneOut reports whether the operators have taken a zone out of service.
	ZoneOut func(zone string) bool
	// TableChanged returns a channel that is closed when the operators' table
	// changes next.
	TableChanged func() <-chan struct{}
}

// Roster keeps the state of the endpoints and publishes it in snapshots.
type Roster struct {
	settings setting.Settings
	timers   *clock.Service
	seams    Seams
	log      *logrus.Entry
	current  atomic.Pointer[Snapshot]

	mu       sync.Mutex
	revision uint64
	// horizon is the revision up to which tombstones may be missing.
	horizon uint64
	// all contains the tombstones too. goneSince is the time at which each
	// tombstone was received.
	all       map[string]Endpoint
	goneSince map[string]time.Time
	failures  map[string]failure
	loads     map[string]Load
	zonesOut  map[string]bool
	probeNext map[string]bool
	// changed is closed and replaced when a snapshot is published.
	changed chan struct{}
}

// failure is the history of an endpoint that failed recently.
type failure struct {
	lastAt, backoffEnd time.Time
	consecutive        int
	// marked is set while the endpoint counts as failed.
	marked bool
}

// New returns a roster without endpoints.
func New(settings setting.Settings, timers *clock.Service, seams Seams, log *logrus.Entry) *Roster {
	r := &Roster{
		settings: settings, timers: timers, seams: seams, log: log,
		all: map[string]Endpoint{}, goneSince: map[string]time.Time{}, failures: map[string]failure{},
		loads: map[string]Load{}, zonesOut: map[string]bool{}, probeNext: map[string]bool{}, changed: make(chan struct{}),
	}
	r.current.Store(emptySnapshot())
	return r
}

// Endpoints returns the current snapshot.
func (r *Roster) Endpoints() *Snapshot { return r.current.Load() }

// Changed returns a channel that is closed when the next snapshot is published.
func (r *Roster) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Run keeps the list current and requests load reports until ctx ends.
func (r *Roster) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.followList(ctx) })
	group.Go(func() error { return r.probeLoop(ctx) })
	return group.Wait()
}

// followList keeps the list current. A relay watches the platform and asks a
// peer if the platform does not answer. The other instances ask a peer.
func (r *Roster) followList(ctx context.Context) error {
	period := setting.Milliseconds(r.settings.ExchangeMS)
	for ctx.Err() == nil {
		watched := r.seams.Relay() && r.watchOnce(ctx) == nil
		if !watched {
			r.askPeer(ctx)
		}
		if watched {
			continue
		}
		if err := r.timers.Sleep(ctx, period); err != nil {
			return nil
		}
	}
	return nil
}

func (r *Roster) watchOnce(ctx context.Context) error {
	ctx, cancel := r.timers.WithTimeout(ctx, maxWatchWait+callTimeout)
	defer cancel()
	page, err := r.seams.Watch(ctx, r.currentRevision(), maxWatchWait)
	if err != nil {
		r.log.WithError(err).Debug("watch of the endpoint list failed")
		return err
	}
	r.Merge(page)
	return nil
}

// Refresh reads the changes since the last page from the platform.
func (r *Roster) Refresh(ctx context.Context) error {
	page, err := r.seams.Watch(ctx, r.currentRevision(), 0)
	if err == nil {
		r.Merge(page)
	}
	return err
}

func (r *Roster) askPeer(ctx context.Context) {
	ctx, cancel := r.timers.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := r.seams.FetchFromPeer(ctx, r.currentRevision())
	if err != nil {
		r.log.WithError(err).Debug("request for a peer's endpoint list failed")
		return
	}
	r.Merge(page)
}

func (r *Roster) currentRevision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// Since returns the changes after a revision, for a peer. It returns the whole
// list if tombstones after that revision may be missing here, or if this
// instance has not reached the revision itself.
func (r *Roster) Since(after uint64) Page {
	r.mu.Lock()
	defer r.mu.Unlock()
	page := Page{Revision: r.revision, Full: after < r.horizon || after > r.revision}
	for _, e := range r.all {
		if page.Full || e.Revision > after {
			page.Endpoints = append(page.Endpoints, e)
		}
	}
	return page
}

// Merge applies a page to the list. Pages may arrive in any order: it ignores
// an older page, and an entry whose revision is not higher than that of the
// known entry.
func (r *Roster) Merge(page Page) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if page.Revision < r.revision {
		return
	}
	changed := false
	listed := make(map[string]bool, len(page.Endpoints))
	for _, e := range page.Endpoints {
		listed[e.ID] = true
		known, ok := r.all[e.ID]
		if ok && known.Revision >= e.Revision {
			continue
		}
		changed = true
		r.all[e.ID] = e
		if e.State == StateGone {
			r.goneSince[e.ID] = r.timers.Now()
			r.deleteState(e.ID)
		}
	}
	if page.Full {
		// A full page may lack the tombstones of endpoints that went before it,
		// so that peers with an older list need the whole list from here.
		r.horizon = max(r.horizon, page.Revision)
		for id := range r.all {
			if !listed[id] {
				changed = true
				delete(r.all, id)
				r.deleteState(id)
			}
		}
	}
	r.revision = page.Revision
	if changed {
		r.readZones()
		r.publish(true)
	}
}

func (r *Roster) deleteState(id string) {
	delete(r.failures, id)
	delete(r.loads, id)
}

// MarkFailed marks an endpoint as failed because it did not answer, gave an
// invalid answer or crashed. The endpoint gets no new work until the backoff has
// passed and, on its home instance, until it has also answered a request for its
// load.
func (r *Roster) MarkFailed(id string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.all[id]; !ok || e.State == StateGone {
		return
	}
	now := r.timers.Now()
	f := r.failures[id]
	// Requests that ran at the same time fail together. They count as one
	// failure.
	if f.marked && now.Before(f.backoffEnd) {
		return
	}
	f.consecutive++
	f.lastAt, f.backoffEnd, f.marked = now, now.Add(min(minBackoff<<min(f.consecutive-1, 10), maxBackoff)), true
	r.failures[id] = f
	r.log.WithError(err).WithField(logs.Endpoint, id).Warn("endpoint failed")
	r.publish(true)
}

// MergeLoad adds a load report that another instance of the cell received. It
// ignores a report that is not newer than the known one.
func (r *Roster) MergeLoad(id string, load Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.all[id]; !ok || e.State == StateGone || !load.At.After(r.loads[id].At) {
		return
	}
	r.loads[id] = load
	r.publish(false)
}

// RequestProbe makes the next round request a load report from the endpoint, if
// this instance is its home instance.
func (r *Roster) RequestProbe(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probeNext[id] = true
}

// probeLoop requests the load reports of this instance's endpoints in rounds,
// ends expired failure marks and keeps the zones out of service current.
func (r *Roster) probeLoop(ctx context.Context) error {
	ticks := r.timers.Subscribe(setting.Milliseconds(r.settings.ExchangeMS))
	defer ticks.Stop()
	for round := 0; ; round++ {
		changed := r.seams.TableChanged()
		r.refreshZones()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticks.C:
			r.probeDue(ctx, round)
		}
	}
}

// probeDue requests the load reports that are due in this round and publishes
// them in one snapshot. Endpoints without a report are due in every round, and
// failed endpoints in every round after their backoff.
func (r *Roster) probeDue(ctx context.Context, round int) {
	now := r.timers.Now()
	r.mu.Lock()
	probeNext := r.probeNext
	r.probeNext = map[string]bool{}
	r.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(maxConcurrentProbes)
	for position, e := range r.Endpoints().All() {
		f, failed := r.activeFailure(e.ID)
		_, known := r.Endpoints().Load(e.ID)
		due := !known || probeNext[e.ID] || (round+position)%loadReportPeriods == 0
		if failed {
			due = !now.Before(f.backoffEnd)
		}
		if due && e.State != StateStarting && r.seams.IsHome(e) {
			group.Go(func() error { r.probeEndpoint(ctx, e); return nil })
		}
	}
	_ = group.Wait()
	r.expire(now)
}

func (r *Roster) probeEndpoint(ctx context.Context, e Endpoint) {
	ctx, cancel := r.timers.WithTimeout(ctx, callTimeout)
	defer cancel()
	at := r.timers.Now()
	load, err := r.seams.Load(ctx, e)
	if err != nil {
		r.MarkFailed(e.ID, err)
		return
	}
	load.At = at
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.all[e.ID]; !ok {
		return
	}
	r.loads[e.ID] = load
	if f := r.failures[e.ID]; f.marked && at.After(f.lastAt) && !at.Before(f.backoffEnd) {
		f.marked = false
		r.failures[e.ID] = f
	}
}

// expire ends the expired failure marks of endpoints whose home is another
// instance, deletes the failure history of endpoints whose backoff ended more
// than maxBackoff ago, deletes expired tombstones and publishes a snapshot.
func (r *Roster) expire(now time.Time) {
	// IsHome is called without the lock, because it may call other components
	// that call this one.
	isHome := map[string]bool{}
	for id := range r.Endpoints().failedUntil {
		e, ok := r.Endpoints().Get(id)
		isHome[id] = ok && r.seams.IsHome(e)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, f := range r.failures {
		if f.marked && !now.Before(f.backoffEnd) && !isHome[id] {
			f.marked = false
			r.failures[id] = f
		}
		if !f.marked && now.Sub(f.backoffEnd) > maxBackoff {
			delete(r.failures, id)
		}
	}
	for id, at := range r.goneSince {
		if now.Sub(at) > tombstoneRetention {
			r.horizon = max(r.horizon, r.all[id].Revision)
			delete(r.goneSince, id)
			delete(r.all, id)
		}
	}
	r.publish(true)
}

func (r *Roster) activeFailure(id string) (failure, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.failures[id]
	return f, ok && f.marked
}

// refreshZones publishes a snapshot if the zones out of service have changed.
func (r *Roster) refreshZones() {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.zonesOut
	r.readZones()
	if !maps.Equal(before, r.zonesOut) {
		r.publish(true)
	}
}

func (r *Roster) readZones() {
	seen, zonesOut := map[string]bool{}, map[string]bool{}
	for _, e := range r.all {
		if !seen[e.Zone] && r.seams.ZoneOut(e.Zone) {
			zonesOut[e.Zone] = true
		}
		seen[e.Zone] = true
	}
	r.zonesOut = zonesOut
}

// publish replaces the snapshot. It rebuilds the index only if checkIndex is
// set and the list, the zones out of service or the failure marks have changed.
func (r *Roster) publish(checkIndex bool) {
	x := r.current.Load().index
	if checkIndex {
		failedUntil := map[string]time.Time{}
		for id, f := range r.failures {
			if f.marked {
				failedUntil[id] = f.backoffEnd
			}
		}
		if x.revision != r.revision || !maps.Equal(failedUntil, x.failedUntil) || !maps.Equal(r.zonesOut, x.zonesOut) {
			x = buildIndex(r.revision, r.all, failedUntil, r.zonesOut)
		}
	}
	r.current.Store(&Snapshot{index: x, loads: maps.Clone(r.loads)})
	close(r.changed)
	r.changed = make(chan struct{})
}
