package main

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/control/broadcast"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/fleet/ratelimit"
	"github.com/wigeonpin/wigeonpin/internal/node/members"
	"github.com/wigeonpin/wigeonpin/internal/node/profile"
	"github.com/wigeonpin/wigeonpin/internal/node/view"
	"github.com/wigeonpin/wigeonpin/internal/peer/conn"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/peer/relay"
	"github.com/wigeonpin/wigeonpin/internal/traffic/breaker"
	"github.com/wigeonpin/wigeonpin/internal/traffic/forward"
	"github.com/wigeonpin/wigeonpin/internal/traffic/front"
	"github.com/wigeonpin/wigeonpin/internal/traffic/headers"
	"github.com/wigeonpin/wigeonpin/internal/traffic/share"
	"github.com/wigeonpin/wigeonpin/internal/traffic/stop"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
	"github.com/wigeonpin/wigeonpin/internal/training/runner"
	"github.com/wigeonpin/wigeonpin/platform"
)

const (
	// memoryLimitFraction is the fraction of the process's memory limit that is
	// set as Go's soft memory limit. Close to it the garbage collector runs more
	// often.
	memoryLimitFraction = 0.7
	// storeCalls names the counter of calls to the store.
	storeCalls = "store_calls"
	// storeStrays names the counter of calls to the store that got the answer to another one.
	storeStrays = "store_strays"
	// summaryPeriod is how often the counters are logged. Successful requests
	// appear only in these counters, so that log volume does not grow with load.
	summaryPeriod = 10 * time.Second
	// metricsPort and metricsPath must match deploy/system.toml.
	metricsPort = "9464"
	metricsPath = "/metrics"
	// readHeaderTimeout is the time in which the header of a request from a peer
	// or a metrics reader must arrive.
	readHeaderTimeout = 5 * time.Second
	// broadcastPeriod is how often an event is sent again to processes that have
	// not acknowledged it. broadcastDialTimeout bounds a connection attempt to
	// such a process, and broadcastIdleConns the idle connections to each.
	broadcastPeriod      = time.Second
	broadcastDialTimeout = 300 * time.Millisecond
	broadcastIdleConns   = 1
	// permitDialTimeout bounds a connection attempt to the process that grants the
	// permits of an endpoint, and permitIdleConns the idle connections to each.
	permitDialTimeout = 150 * time.Millisecond
	permitIdleConns   = 2
	// startWait bounds how long the first lists and watches of a process wait until the
	// hosts of shared calls are known, and startPoll is the pause between two looks.
	startWait = 300 * time.Millisecond
	startPoll = 2 * time.Millisecond
	// restorationTopic is the topic of events that tell that the store answers
	// again. restorationTTL is how long such an event is passed on, and the shortest
	// time between two of them.
	restorationTopic = "restored"
	restorationTTL   = 2 * time.Second
)

// summaryCounters are the counters in the log line "summary". Counters without
// values are left out.
var summaryCounters = []string{
	storeCalls, storeStrays, "requests_served", "requests_failed", "connections_opened", "endpoint_breaks", "endpoint_refusals", "requests_held", stop.CountName,
	batch.CountEmpty, batch.CountMissed, batch.CountMisplaced,
	forward.CountBackground, headers.CountInvalidLoads, share.CountDigests, ratelimit.CountSends, ratelimit.CountAsks,
	runner.CountRuns, runner.CountRejections, runner.CountBreaks, runner.CountScoreFailures,
}

// node holds what entry and worker processes have in common: settings, log,
// counters, the client of the store, and the connections to peers.
type node struct {
	source      *profile.Source
	log         *logrus.Entry
	timers      *clock.Service
	meters      *meter.Set
	store       records.Store
	peers       *members.Members
	broadcaster *broadcast.Broadcaster
	breaker     *breaker.Breaker
	limiter     *ratelimit.Limiter
	mux         *http.ServeMux // serves calls from peers
	// isolated reports whether neither the store nor a process in another
	// availability zone can be reached. directLost reports whether the direct path
	// to the store is known to be lost; a peer may still reach the store.
	isolated, directLost func() bool
	outage               front.Outage
}

// The roles of processes on the platform.
const (
	roleEntry  = "entry"
	roleWorker = "worker"
)

// startNode loads the settings, starts the background work that every process
// needs, and connects to the store and the peers.
func startNode(ctx context.Context, role string) (*node, error) {
	source, err := profile.NewSource(platform.LoadProfile)
	if err != nil {
		return nil, err
	}
	p := source.Current()
	if p.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(p.MemoryBytes)))
	}
	log, err := logs.New(logs.NewBounded(os.Stdout), "info", p.Name, p.Zone)
	if err != nil {
		return nil, err
	}
	n := &node{source: source, log: log, timers: clock.NewSystem(), meters: meter.NewSet()}
	n.meters.Publish("wigeonpin")
	log.WithFields(logrus.Fields{"role": role, "store": p.Store}).Info("started")
	go source.Follow(ctx, n.timers, log)
	go n.logSummaries(ctx)
	go n.serveMetrics(p.IP)
	return n, n.connect(ctx, role)
}

// connect creates the store client and the event broadcaster, and starts the
// server that relays peers' store calls and receives their events.
func (n *node) connect(ctx context.Context, role string) error {
	p := n.source.Current()
	listener, err := p.Listen()
	if err != nil {
		return err
	}
	calls, strays := n.meters.Counter(storeCalls), n.meters.Counter(storeStrays)
	pool := exchange.New(exchange.Options{})
	direct := relay.NewSharedCalls(
		platform.Direct(
			n.source.StoreAddress, pool,
			func(call string) { calls.Add(call, 1) }, func(call string) { strays.Add(call, 1) },
		),
		relay.DirectTimeout, nil,
	)
	slack := relay.FollowerSlack
	if role == roleWorker {
		slack = relay.ChainSlack
	}
	restored := make(chan struct{}, 1)
	route := relay.NewRoute(relay.Seams{
		Direct: direct.Call, Ask: relay.NewAsk(), Probe: platform.Probe(),
		OnDirectLost: func() {
			direct.Cancel()
			pool.CloseIdle(n.source.StoreAddress())
		},
		OnDirectRestored: func() { notify(restored) },
		Peers:            n.relayPeers, Hosts: n.watchHosts(role), HostSlack: slack,
	}, n.timers, n.log)
	n.isolated, n.directLost = route.Isolated, route.DirectLost
	n.outage = front.Outage{Isolation: route.Isolation, Restored: route.Restored, LostFor: route.LostFor}
	routed := relay.NewSharedCalls(route.Call, slack+relay.DirectTimeout, platform.Reuse)
	n.store = platform.NewStore(n.awaitHosts(n.watchHosts(role), routed.Call))
	self := members.Member{Name: p.Name, Address: listener.Addr().String(), Zone: p.Zone, Role: role}
	n.peers = members.New(platform.NewStore(routed.Call), self, n.timers, n.log)
	go n.peers.Run(ctx)
	circle := members.NewRing(n.peers, n.timers)
	n.broadcaster = broadcast.New(broadcast.Options{Self: p.Name, Period: broadcastPeriod}, n.timers, broadcast.Seams{
		Neighbours: circle.Neighbours, Report: circle.Report, Peers: conn.NewPeerClient(broadcastDialTimeout, broadcastIdleConns),
	}, n.log)
	go func() { _ = n.broadcaster.Run(ctx) }() // runs until the process ends
	n.breaker = breaker.New(breaker.Seams{Post: n.broadcaster.Publish, Subscribe: n.broadcaster.Subscribe}, n.timers, n.log)
	go n.breaker.Archive(n.store).Run(ctx)
	permitAsk, claim := ratelimit.Calls(conn.NewPeerClient(permitDialTimeout, permitIdleConns))
	n.limiter = ratelimit.New(ratelimit.Options{Self: p.Name}, ratelimit.Seams{
		Members: n.instances, Ask: permitAsk, Claim: claim, Refused: ratelimit.GrantsNone,
		Post: n.broadcaster.Publish, Subscribe: n.broadcaster.Subscribe, Meters: n.meters,
	}, n.timers, n.log)
	go func() { _ = n.limiter.Run(ctx) }() // runs until the process ends
	go n.shareRestoration(ctx, restored, route.ProbeNow)
	n.mux = http.NewServeMux()
	n.mux.Handle(ratelimit.RatesPathPrefix, n.limiter.Server())
	n.mux.Handle(broadcast.NoticesPathPrefix, n.broadcaster.Server())
	n.mux.Handle(relay.RelayPathPrefix, relay.NewServer(route.CallForPeer, sharedCalls(role, route, direct, routed)))
	server := &http.Server{Handler: http.MaxBytesHandler(n.mux, conn.PeerBodyLimit), ReadHeaderTimeout: readHeaderTimeout}
	go func() { n.log.WithField(logs.Cause, server.Serve(listener).Error()).Error("server for peers stopped") }()
	return nil
}

// newShares starts the exchange of what client accounts receive from each process.
func (n *node) newShares(ctx context.Context) *share.Exchange {
	shares := share.NewExchange(n.source.Current().Name, share.Seams{
		Members: func() int { return 1 + len(n.peers.Others()) },
		Post:    n.broadcaster.Publish, Subscribe: n.broadcaster.Subscribe, Meters: n.meters,
	}, n.timers)
	go shares.Run(ctx)
	return shares
}

// notify sends to a channel with a buffer of one, unless it is full.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// shareRestoration tells the other processes when the direct path to the store
// works again, so that each of them can probe its own path rarely. It calls probe
// when another process tells so.
func (n *node) shareRestoration(ctx context.Context, restored <-chan struct{}, probe func()) {
	heard := make(chan struct{}, 1)
	n.broadcaster.Subscribe(restorationTopic, func(string, []byte) {
		notify(heard)
		probe()
	})
	var last time.Time // of the latest event
	for {
		select {
		case <-ctx.Done():
			return
		case <-heard:
			last = n.timers.Now()
		case <-restored:
			if n.timers.Since(last) > restorationTTL {
				n.broadcaster.Publish(restorationTopic, n.source.Current().Name, nil, restorationTTL)
			}
		}
	}
}

// sharedCalls returns the function that makes watches and shared calls for peers. A
// worker may forward watches to another process; an entry process makes them only on
// its own connection to the store. Shared calls are not forwarded, so that the ages of
// their replies do not add up.
func sharedCalls(role string, route *relay.Route, direct, routed *relay.SharedCalls) relay.CallFunc {
	watches := direct.Call
	if role == roleWorker {
		watches = routed.Call
	}
	reads := relay.NewSharedCalls(route.CallForPeer, relay.DirectTimeout, platform.Reuse)
	return func(ctx context.Context, call relay.Call) (relay.Reply, error) {
		if call.Wait > 0 {
			return watches(ctx, call)
		}
		return reads.Call(ctx, call)
	}
}

// awaitHosts returns a function that makes calls, and lets the first lists wait until
// the other processes are known, and the first watches until one of them is a host, but
// no longer than startWait after the start. Otherwise each process that starts makes them
// itself, while the list of processes is on its way.
func (n *node) awaitHosts(hosts func() []string, call relay.CallFunc) relay.CallFunc {
	deadline := n.timers.Uptime() + startWait
	return func(ctx context.Context, c relay.Call) (relay.Reply, error) {
		for c.Wait > 0 || c.Shared {
			known := n.peers.Synced() && (c.Shared || len(hosts()) > 0)
			if known || n.timers.Uptime() >= deadline || n.timers.Sleep(ctx, startPoll) != nil {
				break
			}
		}
		return call(ctx, c)
	}
}

// watchHosts returns the function that lists the processes that make shared
// watches for this one, the preferred one first. An entry process asks the
// workers, those of its own availability zone first. A worker asks only workers
// whose names come before its own, the first by name first. A watch therefore
// cannot loop between workers whose lists differ.
func (n *node) watchHosts(role string) func() []string {
	if role == roleWorker {
		return func() []string { return n.peers.AddressesBefore(roleWorker) }
	}
	return func() []string {
		addresses := n.peers.Addresses(roleWorker) // other availability zones first
		slices.Reverse(addresses)
		return addresses
	}
}

// relayPeers returns the processes that can relay calls to the store.
func (n *node) relayPeers() []relay.Peer {
	zone := n.source.Current().Zone
	var peers []relay.Peer
	for _, other := range n.peers.Others() {
		peers = append(peers, relay.Peer{Address: other.Address, OtherZone: other.Zone != zone})
	}
	return peers
}

// instances returns the processes of the system, this one included, or nil while
// they are not known.
func (n *node) instances() []member.Instance {
	if !n.peers.Synced() {
		return nil
	}
	p := n.source.Current()
	list := []member.Instance{{ID: p.Name, Zone: p.Zone}}
	for _, other := range n.peers.Others() {
		list = append(list, member.Instance{ID: other.Name, Zone: other.Zone, Peer: other.Address})
	}
	return list
}

// serveMetrics serves the counters and histograms as JSON. When the port is in
// use, the process continues without a metrics server.
func (n *node) serveMetrics(ip string) {
	mux := http.NewServeMux()
	mux.Handle(metricsPath, expvar.Handler())
	server := &http.Server{Addr: net.JoinHostPort(ip, metricsPort), Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	n.log.WithField(logs.Cause, server.ListenAndServe().Error()).Warn("metrics not served")
}

// logStopped logs the end of the process with its number of store calls.
func (n *node) logStopped() {
	n.log.WithField("calls", n.meters.Counter(storeCalls).Values()).Info("stopped")
}

// logSummaries logs the counters until ctx ends.
func (n *node) logSummaries(ctx context.Context) {
	ticks := n.timers.Subscribe(summaryPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			fields := logrus.Fields{}
			for _, name := range summaryCounters {
				if values := n.meters.Counter(name).Values(); len(values) > 0 {
					fields[name] = values
				}
			}
			n.log.WithFields(fields).Info("summary")
		}
	}
}

// formats returns the kinds and names under which the store holds the manifest,
// the endpoints and the zones out of service, and the functions that decode them.
func formats() view.Formats {
	return view.Formats{
		ManifestKind: platform.KindConfig, ManifestName: platform.NameConfig,
		EndpointKind: platform.KindServers, ZoneKind: platform.KindEvacuations,
		Manifest: platform.DecodeManifest, Endpoint: platform.DecodeEndpoint,
	}
}
