package serve

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/lease"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
	"github.com/wigeonpin/wigeonpin/internal/fleet/order"
	"github.com/wigeonpin/wigeonpin/internal/fleet/quota"
	"github.com/wigeonpin/wigeonpin/internal/fleet/rollout"
	"github.com/wigeonpin/wigeonpin/internal/peer/engine"
	"github.com/wigeonpin/wigeonpin/internal/traffic/dispatch"
)

const (
	cacheReadTimeout = time.Second
	// cachePeriod is the time between two reads of an engine's cache events.
	cachePeriod  = 2 * time.Second
	defaultSlots = 1
)

// workCounters counts the slots in use and the cost of completed work, by model.
type workCounters struct {
	mu      sync.Mutex
	running map[string]int64
	served  map[string]int64
}

func newWorkCounters() *workCounters {
	return &workCounters{running: map[string]int64{}, served: map[string]int64{}}
}

func (w *workCounters) add(model string, running, served int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[model] += running
	w.served[model] += served
}

func (i *instance) fetchLoad(ctx context.Context, e roster.Endpoint) (roster.Load, error) {
	requestedAt := i.timers.Now()
	report, err := i.engines.LoadReport(ctx, e.Address)
	if err != nil {
		return roster.Load{}, err
	}
	return roster.Load{
		Running: report.Running, Waiting: report.Waiting, Limit: report.Limit, Version: report.Version, At: requestedAt,
	}, nil
}

// slots returns the maximum number of requests on one endpoint of the model. A
// model without a row gets a single slot.
func (i *instance) slots(model string) int {
	if row, ok := i.config.Table().Model(model); ok {
		return row.Slots
	}
	return defaultSlots
}

func (i *instance) backlogs() []quota.Backlog {
	var out []quota.Backlog
	for _, w := range i.queue.Backlogs() {
		out = append(out, quota.Backlog{Model: w.Model, Account: w.Account, Requests: w.Requests, Weight: w.Weight})
	}
	return out
}

func (i *instance) zoneMembers() []member.Instance {
	view := i.directory.View()
	var out []member.Instance
	for _, id := range view.Zone(i.settings.Zone) {
		if m, ok := view.Instance(id); ok {
			out = append(out, m)
		}
	}
	return out
}

// limitMembers returns the instances that send requests to endpoints, or nil while this
// one is not listed.
func (i *instance) limitMembers() []member.Instance {
	listed := i.directory.Listed()
	if _, found := listed.Instance(i.settings.ID); !found {
		return nil
	}
	return listed.Instances()
}

// demand returns this instance's part of the zone's demand. The work of a plain
// service that must not run on cheap endpoints, because requests of its routes
// must not be repeated, counts as fixed to standard endpoints.
func (i *instance) demand() []*order.Demand {
	byModel := map[string]*order.Demand{}
	for name := range i.config.Table().Models() {
		byModel[name] = &order.Demand{Model: name}
	}
	i.counters.mu.Lock()
	for name, d := range byModel {
		d.Running, d.Served = i.counters.running[name], i.counters.served[name]
	}
	i.counters.mu.Unlock()
	for _, w := range i.queue.Backlogs() {
		if d, ok := byModel[w.Model]; ok {
			d.Queued += int64(w.Requests)
			d.QueuedCost += w.Cost
		}
	}
	out := make([]*order.Demand, 0, len(byModel))
	for name, d := range byModel {
		if i.standardOnly(name) {
			d.Fixed = d.GetRunning() + d.GetQueued()
		}
		out = append(out, d)
	}
	return out
}

func (i *instance) standardOnly(model string) bool {
	row, ok := i.config.Table().Model(model)
	return ok && row.Kind == roster.KindService && !row.Cheap
}

// runOrders orders endpoints. Without a capacity interface in the settings, or
// under the plain policy, it returns at once.
func (i *instance) runOrders(ctx context.Context) error {
	if i.settings.Capacity == "" || i.settings.Policy == setting.PolicyPlain {
		return nil
	}
	return i.orders.Run(ctx)
}

func (i *instance) holdOrders(ctx context.Context, name string) order.Lease {
	held := i.leases.Hold(ctx, name)
	return order.Lease{Held: held.Held, Client: held.Client()}
}

func (i *instance) holdWeights(ctx context.Context, name string) rollout.Lease {
	held := i.leases.Hold(ctx, name)
	i.weightLeases.Store(name, held)
	return rollout.Lease{Held: held.Held}
}

func (i *instance) orderLoad(ctx context.Context, e roster.Endpoint, trainer string, version int, fence uint64) error {
	return i.orderVersion(ctx, e, engine.VersionOrder{Action: engine.ActionLoad, Trainer: trainer, Version: version, Fence: fence})
}

func (i *instance) orderSwitch(ctx context.Context, e roster.Endpoint, trainer string, version int, fence uint64) error {
	return i.orderVersion(ctx, e, engine.VersionOrder{Action: engine.ActionSwitch, Trainer: trainer, Version: version, Fence: fence})
}

// orderVersion sends a version order with the client of the trainer's lease,
// whose connections fail once the lease has ended.
func (i *instance) orderVersion(ctx context.Context, e roster.Endpoint, o engine.VersionOrder) error {
	held, ok := i.weightLeases.Load(rollout.LeaseName(o.Trainer))
	if !ok {
		return code.New(code.LeaseLost, "the lease for the weights of trainer %s is not held", o.Trainer)
	}
	o.Holder = i.settings.ID
	return i.engines.SendOrder(ctx, held.(*lease.Lease).Client(), e.Address, o)
}

func (i *instance) engineStatus(ctx context.Context, e roster.Endpoint) (rollout.Status, error) {
	versions, err := i.engines.Versions(ctx, e.Address)
	return rollout.Status{Active: versions.Active, Loaded: versions.Loaded, Loading: versions.Loading}, err
}

// endpoints returns the endpoints that dispatch may choose from: those that are
// live, have not failed and are in a zone in service.
func (i *instance) endpoints(model string) []roster.Endpoint { return i.roster.Endpoints().Live(model) }

func (i *instance) load(id string) (roster.Load, bool) { return i.roster.Endpoints().Load(id) }

func (i *instance) instancesIn(zone string) int { return len(i.directory.View().Zone(zone)) }

func (i *instance) freeSlots(id string) int {
	free := i.pool.Free(id)
	if free == 0 {
		i.pool.RequestSlots(id)
	}
	return free
}

func (i *instance) acquire(id, account string) (dispatch.Slot, bool) {
	slot, ok := i.pool.Take(id, account)
	if !ok {
		i.pool.RequestSlots(id)
		return dispatch.Slot{}, false
	}
	e, _ := i.roster.Endpoints().Get(id)
	i.counters.add(e.Model, 1, 0)
	return dispatch.Slot{Release: func(o dispatch.Outcome) {
		i.counters.add(e.Model, -1, o.Cost)
		slot.Release(quota.Outcome{FirstToken: o.FirstToken, Took: o.Took, Failed: o.Failed, Cost: o.Cost})
	}}, true
}

// runCache periodically reads the cache events of the engines whose home
// instance this is. Events arrive late and with gaps, so that they only
// influence the choice of an engine.
func (i *instance) runCache(ctx context.Context) error {
	ticks := i.timers.Subscribe(cachePeriod)
	defer ticks.Stop()
	positions := map[string]uint64{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
		}
		i.forgetGoneEngines(positions)
		for _, e := range i.roster.Endpoints().All() {
			if e.Kind == roster.KindEngine && e.State == roster.StateLive && i.isHome(e) {
				positions[e.ID] = i.readCache(ctx, e, positions[e.ID])
			}
		}
	}
}

// forgetGoneEngines deletes the read positions and the cached prefixes of
// engines that are gone.
func (i *instance) forgetGoneEngines(positions map[string]uint64) {
	for id := range positions {
		if _, ok := i.roster.Endpoints().Get(id); !ok {
			delete(positions, id)
			i.dispatcher.Forget(id)
		}
	}
}

func (i *instance) readCache(ctx context.Context, e roster.Endpoint, after uint64) uint64 {
	callCtx, cancel := context.WithTimeout(ctx, cacheReadTimeout)
	defer cancel()
	events, err := i.engines.CacheEvents(callCtx, e.Address, after)
	if err != nil {
		return after
	}
	for _, event := range events {
		i.dispatcher.RecordCacheEvent(e.ID, event.Prefix, event.Stored)
		after = max(after, event.Number)
	}
	return after
}
