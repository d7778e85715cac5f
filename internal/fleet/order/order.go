// Package order turns the demand of an availability zone into orders for
// endpoints. One instance of the zone holds the lease for it. Each order states
// the whole zone, so that an order whose answer was lost is sent again.
//
// # Usage
//
//	orders := order.New(settings, timers, seams, log)
//	go orders.Run(ctx)
//
// All instances mount Server, which answers with the instance's demand.
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
	callLimit = 2 * time.Second
	// demandAge is how long the demand of a silent instance still counts.
	demandAge = 30 * time.Second
	// repeatEvery is the number of decisions after which an unchanged order is
	// sent again, in case the platform lost it.
	repeatEvery = 12
	// coldStart is the time that a new endpoint takes until it serves.
	coldStart = 30 * time.Second
)

// Lease is the part of a lease that orders need.
type Lease struct {
	Held   func() (fence uint64, ok bool)
	Client *http.Client
}

// Seams are the functions that Orders needs.
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
	Table     func() *table.Table
	// Order sends an order over the lease's guarded client.
	Order func(ctx context.Context, guarded *http.Client, zone string, order capacity.Order) error
}

// Orders orders the endpoints of one zone.
type Orders struct {
	settings setting.Settings
	timers   *clock.Service
	seams    Seams
	log      *logrus.Entry

	plans   map[string]*plan
	known   map[string]collected
	cheap   map[string]string // live cheap endpoints by id: their model
	fence   uint64
	last    []capacity.Model
	settled bool
	rounds  int
}

type collected struct {
	at      time.Time
	demands []*Demand
}

// New returns the orders of the instance's zone.
func New(settings setting.Settings, timers *clock.Service, seams Seams, log *logrus.Entry) *Orders {
	return &Orders{settings: settings, timers: timers, seams: seams, log: log}
}

// Run campaigns for the zone's lease and orders while it is held.
func (o *Orders) Run(ctx context.Context) error {
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

// round makes one decision and sends it if it differs from the last one that
// the platform confirmed.
func (o *Orders) round(ctx context.Context, lease Lease) {
	fence, held := lease.Held()
	if !held {
		o.fence = 0
		return
	}
	if fence != o.fence {
		// What another holder ordered since is seen only in the endpoints.
		o.fence, o.last, o.settled, o.rounds = fence, nil, false, 0
		o.plans, o.known, o.cheap = map[string]*plan{}, map[string]collected{}, map[string]string{}
	}
	current := o.seams.Table()
	if current.ZoneOut(o.settings.Zone) {
		// The zone has no demand now and shall find its endpoints on return.
		return
	}
	needs, partial := o.collect(ctx)
	models := o.decide(current, needs, partial)
	o.rounds++
	if o.settled && slices.Equal(models, o.last) && o.rounds%repeatEvery != 0 {
		return
	}
	o.last, o.settled = models, false
	ctx, cancel := o.timers.WithTimeout(ctx, callLimit)
	defer cancel()
	sent := capacity.Order{Fence: fence, Holder: o.settings.ID, Models: models}
	if err := o.seams.Order(ctx, lease.Client, o.settings.Zone, sent); err != nil {
		o.log.WithError(err).WithField(logs.Fence, fence).Warn("order not confirmed, it is sent again")
		return
	}
	o.settled = true
}

// decide plans all models of the table in order of their names.
func (o *Orders) decide(current *table.Table, needs map[string]need, partial bool) []capacity.Model {
	have := o.count()
	models := make([]capacity.Model, 0, len(current.Models()))
	for name, row := range current.Models() {
		p, ok := o.plans[name]
		if !ok {
			p = &plan{}
			o.plans[name] = p
		}
		models = append(models, p.decide(inputs{
			now: o.timers.Now(), row: row, need: needs[name], have: have[name], lead: coldStart, partial: partial,
		}))
	}
	models = append(models, unlisted(current, have)...)
	slices.SortFunc(models, func(a, b capacity.Model) int { return cmp.Compare(a.Model, b.Model) })
	return models
}

// unlisted orders what there is of models without a row. An order states the
// whole zone, so a model that it leaves out would be turned off, and a row may
// be missing only because the table is new or not yet known.
func unlisted(current *table.Table, have map[string]present) []capacity.Model {
	var models []capacity.Model
	for name, c := range have {
		if _, ok := current.Model(name); !ok {
			models = append(models, capacity.Model{Model: name, Standard: c.standard, Cheap: c.cheap})
		}
	}
	return models
}

// count counts the zone's endpoints, and the cheap ones that left since the
// last decision although they were ordered.
func (o *Orders) count() map[string]present {
	out, cheap := map[string]present{}, map[string]string{}
	for _, e := range o.seams.Endpoints().All() {
		if e.Zone != o.settings.Zone || e.State == roster.StateLeaving {
			continue
		}
		c := out[e.Model]
		if e.Class == roster.ClassCheap {
			c.cheap++
			cheap[e.ID] = e.Model
		} else {
			c.standard++
		}
		out[e.Model] = c
	}
	left := map[string]int{}
	for id, model := range o.cheap {
		if _, ok := cheap[id]; !ok {
			left[model]++
		}
	}
	for model, n := range left {
		c := out[model]
		// Endpoints that left because fewer were ordered were not reclaimed.
		if p, ok := o.plans[model]; ok {
			c.reclaimed = max(min(n, p.cheap-c.cheap), 0)
		}
		out[model] = c
	}
	o.cheap = cheap
	return out
}

// collect adds up the demand of the zone's instances. A silent instance counts
// with its last answer; while one is missing, no order shrinks.
func (o *Orders) collect(ctx context.Context) (map[string]need, bool) {
	ctx, cancel := o.timers.WithTimeout(ctx, callLimit)
	defer cancel()
	now, members := o.timers.Now(), o.seams.Members()
	var mu sync.Mutex
	var group errgroup.Group
	answered := 0
	for _, m := range members {
		group.Go(func() error {
			demands, err := o.ask(ctx, m)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				o.log.WithError(err).WithField(logs.Peer, m.ID).Debug("no demand from an instance")
				return nil
			}
			answered++
			o.known[m.ID] = collected{now, demands}
			return nil
		})
	}
	_ = group.Wait()
	needs := map[string]need{}
	for id, c := range o.known {
		if now.Sub(c.at) > demandAge {
			delete(o.known, id)
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

func (o *Orders) ask(ctx context.Context, m member.Instance) ([]*Demand, error) {
	if m.ID == o.settings.ID {
		return o.seams.Demand(), nil
	}
	return o.seams.Collect(ctx, m)
}

// Server returns the twirp server that answers with this instance's demand.
func (o *Orders) Server() http.Handler { return NewDemandsServer(server{o}) }

type server struct{ orders *Orders }

// Collect returns the demand of this instance.
func (s server) Collect(context.Context, *CollectRequest) (*CollectAnswer, error) {
	return &CollectAnswer{Models: s.orders.seams.Demand()}, nil
}

// Collect returns the seam of the same name, which asks over client.
func Collect(client *http.Client) func(context.Context, member.Instance) ([]*Demand, error) {
	return func(ctx context.Context, peer member.Instance) ([]*Demand, error) {
		answer, err := NewDemandsProtobufClient(fleet.URL(peer.Peer), client).Collect(ctx, &CollectRequest{})
		if err != nil {
			return nil, err
		}
		return answer.Models, nil
	}
}
