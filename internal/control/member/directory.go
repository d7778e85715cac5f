package member

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
)

const (
	// probesPerPeriod bounds the calls to instances that have stopped
	// answering.
	probesPerPeriod = 4
	// stalePeriods is the age of the list, in exchange periods, after which an
	// instance that is not a relay asks the platform for it.
	stalePeriods = 5
	// silencePeriods is the number of exchange periods after which an instance
	// that does not answer counts as down (2 s with the default period).
	silencePeriods = 2
)

// InstanceList is the platform's instance list, its digest and the local time
// at which it was requested.
type InstanceList struct {
	Instances   []Instance
	Digest      uint64
	RequestedAt time.Time
}

// Seams are the external functions that a directory depends on.
type Seams struct {
	// Fetch asks the platform for the instance list.
	Fetch func(ctx context.Context) ([]Instance, error)
	// Ping calls an instance that has stopped answering.
	Ping func(ctx context.Context, instance Instance) error
	// Refused reports whether an error proves that nothing listens at the
	// address.
	Refused func(err error) bool
}

// Directory holds the platform's instance list, which the relays distribute,
// and tracks which of the instances answer.
type Directory struct {
	self   Instance
	period time.Duration
	timers *clock.Service
	seams  Seams
	log    *logrus.Entry

	// mu guards the fields below. No call is made while it is held.
	mu      sync.Mutex
	list    InstanceList
	failing map[string]failure
	current atomic.Pointer[snapshot]
}

// failure is the state of an instance to which the last call failed. since is
// the time of the first failure in a row.
type failure struct {
	since   time.Time
	refused bool
}

// snapshot holds the views in force. changed is closed when they are replaced.
type snapshot struct {
	live    *View
	listed  *View
	changed chan struct{}
}

// NewDirectory returns a directory that knows only this instance.
func NewDirectory(settings setting.Settings, timers *clock.Service, seams Seams, log *logrus.Entry) *Directory {
	d := &Directory{
		self:   Instance{ID: settings.ID, Zone: settings.Zone, Peer: settings.Peer, State: StateLive},
		period: setting.Milliseconds(settings.ExchangeMS),
		timers: timers, seams: seams, log: log, failing: map[string]failure{},
	}
	d.current.Store(&snapshot{live: NewView([]Instance{d.self}), listed: NewView(nil), changed: make(chan struct{})})
	return d
}

// View returns the live instances: this one, and those that the platform lists
// as live and that are not down.
func (d *Directory) View() *View { return d.current.Load().live }

// Listed returns the instances in the platform's list, whether or not they
// answer. It does not contain this instance until the platform lists it.
func (d *Directory) Listed() *View { return d.current.Load().listed }

// Changed returns a channel that is closed when the live or the listed view
// changes.
func (d *Directory) Changed() <-chan struct{} { return d.current.Load().changed }

// List returns the platform's latest instance list.
func (d *Directory) List() InstanceList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list
}

// Digest returns a digest of a list, independent of its order.
func Digest(list []Instance) uint64 {
	sorted := NewView(list).Instances()
	// Encoding a slice of plain structs cannot fail.
	raw, _ := json.Marshal(sorted)
	return xxhash.Sum64(raw)
}

// UpdateList replaces the list by one that was requested at the given local
// time, unless a later one is known.
func (d *Directory) UpdateList(instances []Instance, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !at.After(d.list.RequestedAt) {
		return
	}
	// This instance runs, so an empty list after one with entries is a fault of
	// the platform.
	if len(instances) == 0 && len(d.list.Instances) > 0 {
		d.log.Warn("the platform returned an empty instance list; keeping the previous list")
		return
	}
	d.list.RequestedAt = at
	if len(instances) > 0 && slices.Equal(instances, d.list.Instances) {
		return
	}
	digest := Digest(instances)
	if digest == d.list.Digest {
		return
	}
	d.list.Digest, d.list.Instances = digest, slices.Clone(instances)
	d.publish()
}

// Report records the outcome of a call to an instance. Refused means that
// nothing listens at its address, which proves that the process has ended.
func (d *Directory) Report(id string, alive, refused bool) {
	if id == "" || id == d.self.ID {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	previous, failing := d.failing[id]
	switch {
	case alive && failing:
		delete(d.failing, id)
	case alive:
		return
	case !failing:
		d.failing[id] = failure{since: d.timers.Now(), refused: refused}
	case refused != previous.refused:
		d.failing[id] = failure{since: previous.since, refused: refused}
	}
	d.publish()
}

// Silence returns the time since the first of the calls to an instance that
// have failed in a row, or 0 if the last call succeeded or there was none.
// Refused is set when the address of the instance refused the last call.
func (d *Directory) Silence(id string) (silence time.Duration, refused bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, failing := d.failing[id]
	if !failing {
		return 0, false
	}
	return max(d.timers.Since(f.since), 1), f.refused
}

// Down reports whether an instance counts as down: it refused the last call or
// has been silent for two exchange periods.
func (d *Directory) Down(id string) bool {
	silence, refused := d.Silence(id)
	return refused || silence >= silencePeriods*d.period
}

// publish recomputes the views and replaces the snapshot if they differ. The
// caller holds mu.
func (d *Directory) publish() {
	listed := NewView(d.list.Instances)
	live := []Instance{d.self}
	for _, i := range d.list.Instances {
		f, failing := d.failing[i.ID]
		down := failing && (f.refused || d.timers.Since(f.since) >= silencePeriods*d.period)
		if i.ID != d.self.ID && i.State == StateLive && !down {
			live = append(live, i)
		}
	}
	old := d.current.Load()
	next := &snapshot{live: NewView(live), listed: listed, changed: old.changed}
	if old.live.Equal(next.live) && old.listed.Equal(next.listed) {
		return
	}
	next.changed = make(chan struct{})
	d.current.Store(next)
	close(old.changed)
}

// Position returns this instance's position in the control tree of its zone
// among the listed instances that answer, or -1 when it is not listed.
func (d *Directory) Position() int {
	return slices.Index(d.TreeOrder(), d.self.ID)
}

// TreeOrder returns the ids of the zone's control tree by position, without the
// instances that are down. The first two are the relays.
func (d *Directory) TreeOrder() []string {
	tree := d.Listed().Tree(d.self.Zone)
	return slices.DeleteFunc(tree, d.Down)
}

// Relay reports whether this instance is a relay. An instance without a list
// acts as a relay, since it knows no instance from which it could get the list.
func (d *Directory) Relay() bool {
	at := d.Position()
	return at == 0 || at == 1 || len(d.Listed().IDs()) == 0
}

// Parents returns the instances to exchange with, in order of preference: the
// ancestors in the tree, then the other relays of the zone.
func (d *Directory) Parents() []Instance {
	listed := d.Listed()
	order := d.TreeOrder()
	at := slices.Index(order, d.self.ID)
	var ids []string
	for i := at; i > 0; {
		i = Parent(i)
		ids = append(ids, order[i])
	}
	for i := 0; i < min(2, len(order)); i++ {
		if i != at && !slices.Contains(ids, order[i]) {
			ids = append(ids, order[i])
		}
	}
	if at == 0 {
		ids = nil
	}
	return selectInstances(listed, ids)
}

// Children returns the children of this instance in the tree.
func (d *Directory) Children() []Instance {
	order := d.TreeOrder()
	return selectInstances(d.Listed(), ChildrenOf(order, slices.Index(order, d.self.ID)))
}

// ChildrenOf returns the children of position at in a tree's order.
func ChildrenOf(order []string, at int) []string {
	if at < 0 {
		return nil
	}
	from := min(TreeFanout*at+1, len(order))
	return order[from:min(from+TreeFanout, len(order))]
}

// RemoteRelays returns one relay of each other availability zone. The first
// relay of this zone uses the first relays of the others and the second relay
// the second ones, which distributes the calls. Instances that are down are
// skipped.
func (d *Directory) RemoteRelays() []Instance {
	listed := d.Listed()
	var out []Instance
	for _, zone := range listed.Zones() {
		if zone == d.self.Zone {
			continue
		}
		order := slices.DeleteFunc(listed.Tree(zone), d.Down)
		if len(order) == 0 {
			continue
		}
		at := 0
		if d.Position() == 1 && len(order) > 1 {
			at = 1
		}
		out = append(out, selectInstances(listed, order[at:at+1])...)
	}
	return out
}

// Neighbours returns the children and the parent of this instance in the
// control tree, and for a relay also the relays of the other zones.
func (d *Directory) Neighbours() []Instance {
	out := d.Children()
	if parents := d.Parents(); len(parents) > 0 {
		out = append(out, parents[0])
	}
	if d.Relay() {
		out = append(out, d.RemoteRelays()...)
	}
	return out
}

// selectInstances returns the instances with the given ids that are in the
// view.
func selectInstances(v *View, ids []string) []Instance {
	out := make([]Instance, 0, len(ids))
	for _, id := range ids {
		if i, ok := v.Instance(id); ok {
			out = append(out, i)
		}
	}
	return out
}

// Run fetches the list while this instance is a relay, and calls instances that
// have stopped answering until they answer again. It returns when ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	ticks := d.timers.Subscribe(d.period)
	defer ticks.Stop()
	for period := 0; ; period++ {
		d.Step(ctx, period)
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
		}
	}
}

// Step does the work of the exchange period with the given number: it fetches
// the list if necessary, calls failing instances and updates the views.
func (d *Directory) Step(ctx context.Context, period int) {
	// An instance that the relays do not reach fetches the list itself. It does
	// so only once every stalePeriods, since in an outage all instances do.
	stale := period%stalePeriods == 0 && d.timers.Since(d.List().RequestedAt) > stalePeriods*d.period
	if d.Relay() || stale {
		d.fetch(ctx)
	}
	d.probe(ctx, period)
	d.mu.Lock()
	defer d.mu.Unlock()
	// The views change with time only through failing instances, which become
	// down.
	if len(d.failing) > 0 {
		d.publish()
	}
}

func (d *Directory) fetch(ctx context.Context) {
	if d.seams.Fetch == nil {
		return
	}
	at := d.timers.Now()
	list, err := d.seams.Fetch(ctx)
	if err != nil {
		d.log.WithError(err).Debug("instance list is not available")
		return
	}
	d.UpdateList(list, at)
}

// probe calls up to probesPerPeriod failing instances, in turn by period, and
// removes the state of those that the platform no longer lists.
func (d *Directory) probe(ctx context.Context, period int) {
	listed := d.Listed()
	d.mu.Lock()
	var ids []string
	for id := range d.failing {
		if _, ok := listed.Instance(id); !ok {
			delete(d.failing, id)
			continue
		}
		ids = append(ids, id)
	}
	d.mu.Unlock()
	slices.Sort(ids)
	if len(ids) > probesPerPeriod {
		at := period * probesPerPeriod % len(ids)
		ids = append(ids[at:], ids[:at]...)[:probesPerPeriod]
	}
	var group sync.WaitGroup
	for _, i := range selectInstances(listed, ids) {
		if d.seams.Ping == nil {
			break
		}
		group.Go(func() { d.ping(ctx, i) })
	}
	group.Wait()
}

func (d *Directory) ping(ctx context.Context, instance Instance) {
	ctx, cancel := d.timers.WithTimeout(ctx, d.period)
	defer cancel()
	err := d.seams.Ping(ctx, instance)
	d.Report(instance.ID, err == nil, err != nil && d.seams.Refused != nil && d.seams.Refused(err))
	if err != nil {
		d.log.WithField(logs.Peer, instance.ID).WithError(err).Debug("instance does not answer")
	}
}
