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
	// watchWait is the longest time for which the platform holds a watch.
	watchWait = 20 * time.Second
	// callLimit bounds a load report, and a watch beyond its wait.
	callLimit = 2 * time.Second
	// retryFirst and retryMost bound the time for which an endpoint counts as
	// failed. It doubles with each failure in a row.
	retryFirst = time.Second
	retryMost  = 30 * time.Second
	// probesAtOnce bounds the load reports that are asked for at the same time.
	probesAtOnce = 16
	// tombstoneAge is how long a gone endpoint stays in pages for peers.
	tombstoneAge = 10 * time.Minute
	// loadEvery is the number of exchange periods between two load reports of
	// an endpoint that is in order. At 17 endpoints for one home instance and
	// about 400 bytes each, it keeps the reports below 2 KB/s.
	loadEvery = 5
)

// Page is a part of the platform's endpoint list: what changed after the
// revision that was asked for, or, when Full is set, the whole list.
type Page struct {
	Revision  uint64     `json:"revision"`
	Full      bool       `json:"full,omitempty"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Seams are the functions that a Roster needs.
type Seams struct {
	// Relay reports whether this instance watches the platform for its zone.
	Relay func() bool
	// Watch asks the platform for what changed after a revision and waits
	// for a change at most wait.
	Watch func(ctx context.Context, after uint64, wait time.Duration) (Page, error)
	// Peer asks another instance for what changed after a revision.
	Peer func(ctx context.Context, after uint64) (Page, error)
	// Load asks an endpoint for its load.
	Load func(ctx context.Context, endpoint Endpoint) (Load, error)
	// Mine reports whether this instance asks the endpoint for its load.
	Mine func(endpoint Endpoint) bool
	// ZoneOut reports whether the operators have taken a zone out of service.
	ZoneOut func(zone string) bool
	// TableChanged returns a channel that is closed at the table's next change.
	TableChanged func() <-chan struct{}
}

// Roster keeps the current endpoints.
type Roster struct {
	settings setting.Settings
	timers   *clock.Service
	seams    Seams
	log      *logrus.Entry
	current  atomic.Pointer[Snapshot]

	mu       sync.Mutex
	revision uint64
	// horizon is the revision up to which tombstones have been dropped.
	horizon  uint64
	all      map[string]Endpoint
	gone     map[string]time.Time
	failures map[string]failure
	loads    map[string]Load
	out      map[string]bool
	soon     map[string]bool
	changed  chan struct{}
}

type failure struct {
	at, until time.Time
	inRow     int
	marked    bool
}

// New returns a roster that knows no endpoint yet.
func New(settings setting.Settings, timers *clock.Service, seams Seams, log *logrus.Entry) *Roster {
	r := &Roster{
		settings: settings, timers: timers, seams: seams, log: log,
		all: map[string]Endpoint{}, gone: map[string]time.Time{}, failures: map[string]failure{},
		loads: map[string]Load{}, out: map[string]bool{}, soon: map[string]bool{}, changed: make(chan struct{}),
	}
	r.current.Store(emptySnapshot())
	return r
}

// Endpoints returns the current snapshot.
func (r *Roster) Endpoints() *Snapshot { return r.current.Load() }

// Changed returns a channel that is closed at the next snapshot.
func (r *Roster) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Run follows the list and asks for load reports until ctx ends.
func (r *Roster) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.follow(ctx) })
	group.Go(func() error { return r.probe(ctx) })
	return group.Wait()
}

// follow keeps the list current: a relay from the platform, and from a peer
// when the platform does not answer; the others from a peer.
func (r *Roster) follow(ctx context.Context) error {
	period := setting.Milliseconds(r.settings.ExchangeMS)
	for ctx.Err() == nil {
		watched := r.seams.Relay() && r.watchOnce(ctx) == nil
		if !watched {
			r.peerOnce(ctx)
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
	ctx, cancel := r.timers.WithTimeout(ctx, watchWait+callLimit)
	defer cancel()
	page, err := r.seams.Watch(ctx, r.position(), watchWait)
	if err != nil {
		r.log.WithError(err).Debug("watch of the endpoint list failed")
		return err
	}
	r.Merge(page)
	return nil
}

func (r *Roster) peerOnce(ctx context.Context) {
	ctx, cancel := r.timers.WithTimeout(ctx, callLimit)
	defer cancel()
	page, err := r.seams.Peer(ctx, r.position())
	if err != nil {
		r.log.WithError(err).Debug("endpoint list from a peer failed")
		return
	}
	r.Merge(page)
}

func (r *Roster) position() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// Since returns what changed after a revision, for a peer. It returns the
// whole list when the tombstones no longer reach back that far.
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

// Merge takes a page in. An endpoint's entry with a lower revision than the
// known one is older and is ignored, whatever order the pages come in.
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
			r.gone[e.ID] = r.timers.Now()
			r.forget(e.ID)
		}
	}
	if page.Full {
		// What ended before this page is not known here, so that peers with an
		// older list need the whole one.
		r.horizon = max(r.horizon, page.Revision)
		for id := range r.all {
			if !listed[id] {
				changed = true
				delete(r.all, id)
				r.forget(id)
			}
		}
	}
	r.revision = page.Revision
	if changed {
		r.readZones()
		r.publish(true)
	}
}

func (r *Roster) forget(id string) {
	delete(r.failures, id)
	delete(r.loads, id)
}

// Failed marks an endpoint that did not answer, answered wrongly or died. It
// gets no new work until the mark's time has passed and, on the instance that
// asks for its load, until it has answered.
func (r *Roster) Failed(id string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.all[id]; !ok || e.State == StateGone {
		return
	}
	now := r.timers.Now()
	f := r.failures[id]
	// Requests that ran together fail together: they are one failure.
	if f.marked && now.Before(f.until) {
		return
	}
	f.inRow++
	f.at, f.until, f.marked = now, now.Add(min(retryFirst<<min(f.inRow-1, 10), retryMost)), true
	r.failures[id] = f
	r.log.WithError(err).WithField(logs.Endpoint, id).Warn("endpoint failed")
	r.publish(true)
}

// Learn takes in a load report that another instance of the cell asked for.
func (r *Roster) Learn(id string, load Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.all[id]; !ok || e.State == StateGone || !load.At.After(r.loads[id].At) {
		return
	}
	r.loads[id] = load
	r.publish(false)
}

// Probe asks the endpoint for its load in the next round, if it is this
// instance that asks it.
func (r *Roster) Probe(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.soon[id] = true
}

// probe asks the endpoints of this instance for their load, lifts failure
// marks and follows the zones of the table.
func (r *Roster) probe(ctx context.Context) error {
	ticks := r.timers.Subscribe(setting.Milliseconds(r.settings.ExchangeMS))
	defer ticks.Stop()
	for round := 0; ; round++ {
		changed := r.seams.TableChanged()
		r.refresh()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticks.C:
			r.ask(ctx, round)
		}
	}
}

// ask asks for the loads that are due in this round and publishes them in one
// snapshot. Endpoints without a report and failed ones are asked every round.
func (r *Roster) ask(ctx context.Context, round int) {
	now := r.timers.Now()
	r.mu.Lock()
	soon := r.soon
	r.soon = map[string]bool{}
	r.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(probesAtOnce)
	for place, e := range r.Endpoints().All() {
		f, failed := r.failure(e.ID)
		_, known := r.Endpoints().Load(e.ID)
		due := !known || soon[e.ID] || (round+place)%loadEvery == 0
		if failed {
			due = !now.Before(f.until)
		}
		if due && e.State != StateStarting && r.seams.Mine(e) {
			group.Go(func() error { r.askOne(ctx, e); return nil })
		}
	}
	_ = group.Wait()
	r.lift(now)
}

func (r *Roster) askOne(ctx context.Context, e Endpoint) {
	ctx, cancel := r.timers.WithTimeout(ctx, callLimit)
	defer cancel()
	at := r.timers.Now()
	load, err := r.seams.Load(ctx, e)
	if err != nil {
		r.Failed(e.ID, err)
		return
	}
	load.At = at
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.all[e.ID]; !ok {
		return
	}
	r.loads[e.ID] = load
	if f := r.failures[e.ID]; f.marked && at.After(f.at) && !at.Before(f.until) {
		f.marked = false
		r.failures[e.ID] = f
	}
}

// lift ends the marks whose time has passed on endpoints that this instance
// does not ask, forgets failures in a row after a quiet time, and publishes.
func (r *Roster) lift(now time.Time) {
	// The seam is called without the lock: it may lead to other components
	// that call this one.
	mine := map[string]bool{}
	for id := range r.Endpoints().failed {
		e, ok := r.Endpoints().Get(id)
		mine[id] = ok && r.seams.Mine(e)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, f := range r.failures {
		if f.marked && !now.Before(f.until) && !mine[id] {
			f.marked = false
			r.failures[id] = f
		}
		if !f.marked && now.Sub(f.until) > retryMost {
			delete(r.failures, id)
		}
	}
	for id, at := range r.gone {
		if now.Sub(at) > tombstoneAge {
			r.horizon = max(r.horizon, r.all[id].Revision)
			delete(r.gone, id)
			delete(r.all, id)
		}
	}
	r.publish(true)
}

func (r *Roster) failure(id string) (failure, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.failures[id]
	return f, ok && f.marked
}

// refresh reads which zones are out of service.
func (r *Roster) refresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.out
	r.readZones()
	if !maps.Equal(before, r.out) {
		r.publish(true)
	}
}

func (r *Roster) readZones() {
	seen, out := map[string]bool{}, map[string]bool{}
	for _, e := range r.all {
		if !seen[e.Zone] && r.seams.ZoneOut(e.Zone) {
			out[e.Zone] = true
		}
		seen[e.Zone] = true
	}
	r.out = out
}

// publish replaces the snapshot. The index is rebuilt only when the list, the
// zones or the marks differ from those of the current one.
func (r *Roster) publish(list bool) {
	x := r.current.Load().index
	if list {
		marks := map[string]time.Time{}
		for id, f := range r.failures {
			if f.marked {
				marks[id] = f.until
			}
		}
		if x.revision != r.revision || !maps.Equal(marks, x.failed) || !maps.Equal(r.out, x.out) {
			x = buildIndex(r.revision, r.all, marks, r.out)
		}
	}
	r.current.Store(&Snapshot{index: x, loads: maps.Clone(r.loads)})
	close(r.changed)
	r.changed = make(chan struct{})
}
