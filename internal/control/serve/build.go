package serve

import (
	"context"
	"net/http"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/billing/usage"
	"github.com/wigeonpin/wigeonpin/internal/control/broadcast"
	"github.com/wigeonpin/wigeonpin/internal/control/config"
	"github.com/wigeonpin/wigeonpin/internal/control/lease"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
	"github.com/wigeonpin/wigeonpin/internal/fleet/order"
	"github.com/wigeonpin/wigeonpin/internal/fleet/quota"
	"github.com/wigeonpin/wigeonpin/internal/fleet/ratelimit"
	"github.com/wigeonpin/wigeonpin/internal/fleet/rollout"
	"github.com/wigeonpin/wigeonpin/internal/peer/capacity"
	"github.com/wigeonpin/wigeonpin/internal/peer/conn"
	"github.com/wigeonpin/wigeonpin/internal/peer/engine"
	"github.com/wigeonpin/wigeonpin/internal/peer/fleet"
	"github.com/wigeonpin/wigeonpin/internal/peer/objects"
	"github.com/wigeonpin/wigeonpin/internal/peer/scorer"
	"github.com/wigeonpin/wigeonpin/internal/peer/service"
	"github.com/wigeonpin/wigeonpin/internal/peer/weights"
	"github.com/wigeonpin/wigeonpin/internal/traffic/archive"
	"github.com/wigeonpin/wigeonpin/internal/traffic/breaker"
	"github.com/wigeonpin/wigeonpin/internal/traffic/dispatch"
	"github.com/wigeonpin/wigeonpin/internal/traffic/entry"
	"github.com/wigeonpin/wigeonpin/internal/traffic/idempotency"
	"github.com/wigeonpin/wigeonpin/internal/traffic/queue"
	"github.com/wigeonpin/wigeonpin/internal/traffic/suspect"
	"github.com/wigeonpin/wigeonpin/internal/training/step"
	"github.com/wigeonpin/wigeonpin/internal/training/version"
)

// instance holds the components of one instance.
type instance struct {
	settings setting.Settings
	timers   *clock.Service
	meters   *meter.Set
	log      *logrus.Entry

	peers    *http.Client
	store    *objects.Client
	capacity *capacity.Client
	weights  *weights.Client
	scorer   *scorer.Client
	engines  *engine.Client
	services *service.Client

	directory   *member.Directory
	config      *config.Config
	broadcaster *broadcast.Broadcaster
	leases      *lease.Manager
	roster      *roster.Roster

	pool     *quota.Pool
	limiter  *ratelimit.Limiter
	suspects *suspect.Suspects
	breaker  *breaker.Breaker
	archives []*archive.Archive // of suspects and breaker
	orders   *order.Scaler
	rollout  *rollout.Rollout
	counters *workCounters

	queue       *queue.Queue
	dispatcher  *dispatch.Dispatcher
	idempotency *idempotency.Records
	entry       *entry.Entry

	steps    *step.Steps
	versions *version.Versions
	usage    *usage.Log

	weightLeases sync.Map // name of the lease for a trainer's weights to *lease.Lease
	drain        chan struct{}
	drainOnce    sync.Once
}

// build creates the components in the order of their dependencies. It does not
// start them.
func build(settings setting.Settings, timers *clock.Service, meters *meter.Set, log *logrus.Entry) (*instance, error) {
	i := &instance{
		settings: settings, timers: timers, meters: meters, log: log, counters: newWorkCounters(),
		peers: fleet.NewClient(settings, meters), drain: make(chan struct{}),
		store:    objects.New(settings.Platform, timers),
		engines:  engine.New(settings, timers),
		services: service.New(settings),
		capacity: capacity.New(settings.Capacity, &http.Client{Transport: conn.CheckResponses(conn.Transport(settings))}),
		weights:  weights.New(settings.Weights, &http.Client{Transport: conn.CheckResponses(conn.Transport(settings))}),
		scorer:   scorer.New(settings.Scorer, &http.Client{Transport: conn.CheckResponses(conn.Transport(settings))}),
	}
	i.buildControl()
	i.buildFleet()
	i.buildTraffic()
	return i, i.buildBilling()
}

func (i *instance) buildControl() {
	i.directory = member.NewDirectory(i.settings, i.timers, member.Seams{
		Fetch: i.store.Instances, Ping: i.ping, Refused: fleet.IsConnRefused,
	}, i.log)
	i.config = config.New(i.settings, i.timers, config.Seams{
		Store: config.StoreOf(i.store), Peers: i.peers, Directory: i.directory, Meters: i.meters,
	}, i.log)
	broadcastOptions := broadcast.Options{Self: i.settings.ID, Period: setting.Milliseconds(i.settings.ExchangeMS)}
	i.broadcaster = broadcast.New(broadcastOptions, i.timers, broadcast.Seams{
		Neighbours: i.directory.Neighbours, Report: i.directory.Report, Peers: i.peers,
	}, i.log)
	i.leases = lease.New(i.settings, i.timers, lease.Seams{
		Get: i.store.Get, Put: i.store.Put, Eligible: i.eligible,
	}, i.log)
	i.roster = roster.New(i.settings, i.timers, roster.Seams{
		Relay: i.directory.Relay, Watch: i.capacity.Watch, FetchFromPeer: i.fetchEndpoints, Load: i.fetchLoad, IsHome: i.isHome,
		ZoneOut: i.zoneOut, TableChanged: i.config.Changed,
	}, i.log)
}

func (i *instance) buildFleet() {
	enter, leave := suspect.Calls(i.peers)
	i.suspects = suspect.New(i.settings, i.timers, suspect.Seams{
		Post: i.broadcaster.Publish, Subscribe: i.broadcaster.Subscribe, View: i.directory.View, Enter: enter, Leave: leave,
	}, i.log)
	i.breaker = breaker.New(breaker.Seams{Post: i.broadcaster.Publish, Subscribe: i.broadcaster.Subscribe}, i.timers, i.log)
	i.archives = []*archive.Archive{i.suspects.Archive(objectRecords(i.store)), i.breaker.Archive(objectRecords(i.store))}
	i.pool = quota.New(i.settings, i.timers, quota.Seams{
		Listed: i.directory.Listed, ListAge: i.listAge, Alive: i.directory.View, Dead: i.isDead, CallDone: i.reportOutcome,
		Endpoints: i.roster.Endpoints, Learn: i.roster.MergeLoad, Probe: i.roster.RequestProbe, SlotLimit: i.slots, Queued: i.backlogs,
		Call: quota.Call(i.peers),
	}, i.log)
	ask, claim := ratelimit.Calls(i.peers)
	i.limiter = ratelimit.New(ratelimit.Options{Self: i.settings.ID}, ratelimit.Seams{
		Members: i.limitMembers, Ask: ask, Claim: claim, Refused: ratelimit.GrantsNone,
		Post: i.broadcaster.Publish, Subscribe: i.broadcaster.Subscribe, Meters: i.meters,
	}, i.timers, i.log)
	i.limiter.OnRoom(func() { i.queue.Recheck() })
	i.orders = order.New(i.settings, i.timers, order.Seams{
		Hold: i.holdOrders, Members: i.zoneMembers, Demand: i.demand, Collect: order.Collect(i.peers),
		Endpoints: i.roster.Endpoints, Refresh: i.roster.Refresh, Table: i.config.Table, Order: i.capacity.SendOrder,
	}, i.log)
	i.rollout = rollout.New(i.settings, i.timers, rollout.Seams{
		Hold: i.holdWeights, View: i.directory.View, Table: i.config.Table, Endpoints: i.roster.Endpoints,
		Version:     func(trainer string) (int, bool) { return i.versions.Version(trainer) },
		Changed:     func() <-chan struct{} { return i.versions.Changed() },
		Refresh:     func(ctx context.Context) error { return i.versions.Refresh(ctx) },
		CheckStored: i.weights.CheckStored, Load: i.orderLoad, Switch: i.orderSwitch, Status: i.engineStatus, RateLimited: weights.RateLimited,
	}, i.log)
}

func (i *instance) buildTraffic() {
	seams, queues := i.trafficSeams()
	i.queue = queue.New(i.timers, i.meters, queues)
	i.dispatcher = dispatch.New(i.settings, i.timers, i.meters, i.log, i.engines, i.services, seams)
	i.idempotency = idempotency.New(i.settings, i.timers, i.meters, idempotency.Seams{
		View: i.directory.Listed, Peer: i.idempotencyClient, Refused: fleet.IsConnRefused, Report: i.directory.Report, Current: i.tableFresh,
	})
	i.steps = step.New(i.settings, i.timers, step.Seams{
		View: i.directory.View, Client: i.peers, Generate: i.dispatcher.Generate, Score: i.scorer.Score,
		CheckAllowed: i.checkTrainer, Get: i.getValue, Put: i.putValue, Report: i.directory.Report,
	}, i.meters, i.log)
	i.versions = version.New(i.timers, version.Seams{
		List: i.listVersions, Post: i.broadcaster.Publish, Subscribe: i.broadcaster.Subscribe, Relay: i.directory.Relay, Observe: i.steps.Observe,
	}, i.log)
	i.entry = entry.New(i.settings, i.timers, i.meters, i.log, entry.Seams{
		Table: i.config.Table, Fresh: i.config.Fresh, Changed: i.config.Changed, Ready: i.ready,
		Generate: i.dispatcher.Generate, Forward: i.dispatcher.Forward, Claim: i.idempotency.Claim, Announce: i.announce, Pull: i.pull,
	})
}

// trafficSeams returns the functions that dispatch and queue need under the
// policy of the settings.
func (i *instance) trafficSeams() (dispatch.Seams, queue.Seams) {
	seams := dispatch.Seams{
		Endpoints: i.endpoints, Load: i.load, Instances: i.instancesIn, Failed: i.roster.MarkFailed, FreeSlots: i.freeSlots, Acquire: i.acquire, Wait: i.wait,
		Table: i.config.Table, Admit: i.suspects.Admit, Suspect: i.suspects.IsSuspect, Enter: i.suspects.ReserveEndpoint, Crashed: i.suspects.Crashed,
		Completed: i.suspects.Completed, Record: i.recordUsage,
		Limiter: i.limiter,
		Breaker: i.breaker,
	}
	queues := queue.Seams{RemoteCost: i.pool.RemoteCost, Changed: i.pool.Changed}
	if i.settings.Policy == setting.PolicyPlain {
		p := newPlainPolicy(i)
		seams.Endpoints, seams.FreeSlots, seams.Acquire, seams.Wait = p.endpoints, p.freeSlots, p.acquire, p.wait
		queues = queue.Seams{RemoteCost: func(string) int64 { return 0 }, Changed: p.slotFreed}
	}
	return seams, queues
}

func (i *instance) wait(ctx context.Context, item queue.Item) (*queue.Turn, error) {
	return i.queue.Wait(ctx, item)
}

func (i *instance) buildBilling() error {
	var err error
	i.usage, err = usage.New(i.settings, i.timers, usage.Seams{
		View: i.directory.View, Client: i.peers, Create: i.create, Report: i.directory.Report,
	}, i.meters, i.log)
	return err
}

// components returns the functions that run for the whole life of the instance,
// by component name.
func (i *instance) components() map[string]func(context.Context) error {
	return map[string]func(context.Context) error{
		"directory": i.directory.Run, "config": i.config.Run, "bulletin": i.broadcaster.Run, "roster": i.roster.Run,
		"share": i.pool.Run, "limit": i.limiter.Run, "suspect": i.suspects.Run, "order": i.runOrders, "rollout": i.rollout.Run,
		"queue": i.queue.Run, "once": i.idempotency.Run, "entry": i.entry.Run, "step": i.steps.Run,
		"version": i.versions.Run, "usage": i.usage.Run, "report": i.runReports, "cache": i.runCache, "archive": i.runArchives,
	}
}
