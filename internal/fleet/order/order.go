// Package order scales the endpoints of an availability zone with its demand. The
// instance of the zone that holds the lease sends orders for endpoints to the
// platform. Each order states the desired endpoints of the whole zone, so an
// order whose answer was lost can be sent again.
//
// # Usage
//
//	scaler := order.New(settings, timers, seams, log)
//	go scaler.Run(ctx)
//
// All instances mount Server, which returns the instance's demand.
package order

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
	"github.com/wigeonpin/wigeonpin/internal/peer/capacity"
	"github.com/wigeonpin/wigeonpin/internal/peer/fleet"
)

const (
	callTimeout = 2 * time.Second
	// demandMaxAge is how long the last demand of an instance that does not answer
	// is used.
	demandMaxAge = 30 * time.Second
	// repeatInterval is the number of decisions after which an unchanged order is
	// sent again, in case the platform lost it.
	repeatInterval = 12
	// startupTime is the time that a new endpoint takes until it serves.
	startupTime = 30 * time.Second
)

// Lease is the part of a lease that a Scaler uses. Held returns the fencing token,
// and whether this instance holds the lease. Client makes calls only while the
// lease is held.
type Lease struct {
	Held   func() (fence uint64, ok bool)
	Client *http.Client
}

// Seams are the functions that a Scaler depends on.
type Seams struct {
	// Hold campaigns for a lease until ctx ends.
	Hold func(ctx context.Context, name string) Lease
	// Members returns the instances of this zone, this one included.
	Members func() []member.Instance
	// Demand returns the demand of this instance.
	Demand func() []*Demand
	// Collect asks another instance for its demand.
	Collect   func(ctx context.Context, peer member.Instance) ([]*Demand, error)
	Endpoints func() *roster.Snapshot
	// Refresh reads the endpoints from the platform.
	Refresh func(ctx context.Context) error
	Table   func() *table.Table
	// Order sends an order with the lease's client.
	Order func(ctx context.Context, guarded *http.Client, zone string, order capacity.Order) error
}

// Scaler decides on the endpoints of one zone and orders them from the platform.
type Scaler struct {
	settings setting.Settings
	timers   *clock.Service
	seams    Seams
	log      *logrus.Entry

	plans     map[string]*plan
	demands   map[string]instanceDemand
	lastCheap map[string]string // models of the cheap endpoints at the last decision, by endpoint ID
	fence     uint64
	lastOrder []capacity.ModelTarget
	confirmed bool
	rounds    int
}

type instanceDemand struct {
	at      time.Time
	demands []*Demand
}

// New returns the Scaler for the zone of this instance.
func New(settings setting.Settings, timers *clock.Service, seams Seams, log *logrus.Entry) *Scaler {
	return &Scaler{settings: settings, timers: timers, seams: seams, log: log}
}

// Run campaigns for the zone's lease and sends orders while it is held, until ctx
// ends.
func (o *Scaler) Run(ctx context.Context) error {
	lease := o.seams.Hold(ctx, "orders-"+o.settings.Zone)
	ticks := o.timers.Subscribe(setting.Milliseconds(o.settings.OrderMS))
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
			o.round(ctx, lease)
		}
	}
}

// round makes one decision. It sends the order unless the platform has confirmed
// the same order; a confirmed order is repeated in every repeatInterval-th round.
func (o *Scaler) round(ctx context.Context, lease Lease) {
	fence, held := lease.Held()
	if !held {
		o.fence = 0
		return
	}
	if fence != o.fence {
		// An order states the whole zone. This instance's copy may lack endpoints that
		// another holder has ordered.
		if err := o.refresh(ctx); err != nil {
			o.log.WithError(err).WithField(logs.Fence, fence).Warn("no order before the endpoints are read")
			return
		}
		// The orders of another holder are known only from the endpoints, so the
		// state of earlier decisions is dropped.
		o.fence, o.lastOrder, o.confirmed, o.rounds = fence, nil, false, 0
		o.plans, o.demands, o.lastCheap = map[string]*plan{}, map[string]instanceDemand{}, map[string]string{}
	}
	current := o.seams.Table()
	if current.ZoneOut(o.settings.Zone) {
		// The zone has no demand now, but must keep its endpoints for its return to
		// service.
		return
	}
	needs, partial := o.collect(ctx)
	models := o.decide(current, needs, partial)
	o.rounds++
	if o.confirmed && slices.Equal(models, o.lastOrder) && o.rounds%repeatInterval != 0 {
		return
	}
	o.lastOrder, o.confirmed = models, false
	ctx, cancel := o.timers.WithTimeout(ctx, callTimeout)
	defer cancel()
	order := capacity.Order{Fence: fence, Holder: o.settings.ID, Models: models}
	if err := o.seams.Order(ctx, lease.Client, o.settings.Zone, order); err != nil {
		o.log.WithError(err).WithField(logs.Fence, fence).Warn("order not confirmed by the platform, will be sent again")
		return
	}
	o.confirmed = true
}

func (o *Scaler) refresh(ctx context.Context) error {
	ctx, cancel := o.timers.WithTimeout(ctx, callTimeout)
	defer cancel()
	return o.seams.Refresh(ctx)
}

// decide returns the desired endpoints of all models, sorted by model name.
func (o *Scaler) decide(current *table.Table, needs map[string]need, partial bool) []capacity.ModelTarget {
	existing := o.countEndpoints()
	models := make([]capacity.ModelTarget, 0, len(current.Models()))
	for name, row := range current.Models() {
		p, ok := o.plans[name]
		if !ok {
			p = &plan{}
			o.plans[name] = p
		}
		models = append(models, p.decide(inputs{
			now: o.timers.Now(), row: row, need: needs[name], existing: existing[name], lead: startupTime, partial: partial,
		}))
	}
	models = append(models, keepUnlisted(current, existing)...)
	slices.SortFunc(models, func(a, b capacity.ModelTarget) int { return cmp.Compare(a.Model, b.Model) })
	return models
}

// keepUnlisted orders the existing endpoints of models without a row.
// An order states the whole zone, so the endpoints of a model that it leaves out
// would be stopped, and a row may be missing only because the table is new or not
// yet known.
func keepUnlisted(current *table.Table, existing map[string]endpointCounts) []capacity.ModelTarget {
	var models []capacity.ModelTarget
	for name, c := range existing {
		if _, ok := current.Model(name); !ok {
			models = append(models, capacity.ModelTarget{Model: name, Standard: c.standard, Cheap: c.cheap})
		}
	}
	return models
}

// countEndpoints counts the zone's endpoints by model, and the cheap endpoints
// that are gone since the last decision although they were ordered (reclaimed).
func (o *Scaler) countEndpoints() map[string]endpointCounts {
	counts, cheap := map[string]endpointCounts{}, map[string]string{}
	for _, e := range o.seams.Endpoints().All() {
		if e.Zone != o.settings.Zone || e.State == roster.StateLeaving {
			continue
		}
		c := counts[e.Model]
		if e.Class == roster.ClassCheap {
			c.cheap++
			cheap[e.ID] = e.Model
		} else {
			c.standard++
		}
		counts[e.Model] = c
	}
	gone := map[string]int{}
	for id, model := range o.lastCheap {
		if _, ok := cheap[id]; !ok {
			gone[model]++
		}
	}
	for model, n := range gone {
		c := counts[model]
		// Endpoints that left because fewer were ordered were not reclaimed.
		if p, ok := o.plans[model]; ok {
			c.reclaimed = max(min(n, p.cheap-c.cheap), 0)
		}
		counts[model] = c
	}
	o.lastCheap = cheap
	return counts
}

// collect adds up the demand of the zone's instances. For an instance that does
// not answer, its last answer is used. collect also reports whether any instance
// did not answer; no order shrinks then.
func (o *Scaler) collect(ctx context.Context) (map[string]need, bool) {
	ctx, cancel := o.timers.WithTimeout(ctx, callTimeout)
	defer cancel()
	now, members := o.timers.Now(), o.seams.Members()
	var mu sync.Mutex
	var group errgroup.Group
	answered := 0
	for _, m := range members {
		group.Go(func() error {
			demands, err := o.requestDemand(ctx, m)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				o.log.WithError(err).WithField(logs.Peer, m.ID).Debug("instance did not report its demand")
				return nil
			}
			answered++
			o.demands[m.ID] = instanceDemand{now, demands}
			return nil
		})
	}
	_ = group.Wait()
	needs := map[string]need{}
	for id, c := range o.demands {
		if now.Sub(c.at) > demandMaxAge {
			delete(o.demands, id)
			continue
		}
		for _, d := range c.demands {
			n := needs[d.Model]
			n.running += d.Running
			n.queued += d.Queued
			n.queuedCost += d.QueuedCost
			n.fixed += d.Fixed
			n.served += d.Served
			needs[d.Model] = n
		}
	}
	return needs, answered < len(members)
}

func (o *Scaler) requestDemand(ctx context.Context, m member.Instance) ([]*Demand, error) {
	if m.ID == o.settings.ID {
		return o.seams.Demand(), nil
	}
	return o.seams.Collect(ctx, m)
}

// Server returns the twirp handler that serves this instance's demand.
func (o *Scaler) Server() http.Handler { return NewDemandsServer(server{o}) }

type server struct{ scaler *Scaler }

// Collect returns the demand of this instance.
func (s server) Collect(context.Context, *CollectRequest) (*CollectAnswer, error) {
	return &CollectAnswer{Models: s.scaler.seams.Demand()}, nil
}

// Collect returns a function for Seams.Collect that calls other instances with
// client.
func Collect(client *http.Client) func(context.Context, member.Instance) ([]*Demand, error) {
	return func(ctx context.Context, peer member.Instance) ([]*Demand, error) {
		answer, err := NewDemandsProtobufClient(fleet.URL(peer.Peer), client).Collect(ctx, &CollectRequest{})
		if err != nil {
			return nil, err
		}
		return answer.Models, nil
	}
}
