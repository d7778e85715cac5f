// Package entry implements the process that callers connect to. It keeps no
// durable state of its own: it follows its configuration and the endpoints in
// the store, and writes accepted batches and usage counts there.
//
// # Usage
//
//	e := entry.New(profile, deps, timers, log)
//	err := e.Run(ctx) // until ctx ends, then shuts down gracefully
package entry

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/billing/window"
	"github.com/wigeonpin/wigeonpin/internal/fleet/ratelimit"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/node/profile"
	"github.com/wigeonpin/wigeonpin/internal/node/view"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/traffic/breaker"
	"github.com/wigeonpin/wigeonpin/internal/traffic/callers"
	"github.com/wigeonpin/wigeonpin/internal/traffic/forward"
	"github.com/wigeonpin/wigeonpin/internal/traffic/front"
	"github.com/wigeonpin/wigeonpin/internal/traffic/headers"
	"github.com/wigeonpin/wigeonpin/internal/traffic/memory"
	"github.com/wigeonpin/wigeonpin/internal/traffic/share"
	"github.com/wigeonpin/wigeonpin/internal/traffic/stop"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
	"github.com/wigeonpin/wigeonpin/internal/training/runner"
)

const (
	// overcommit is the limit of requests in flight from one process to an
	// endpoint, as a multiple of the endpoint's slots.
	overcommit = 1.5
	// idleTimeout is how long a connection of a caller may be idle. It exceeds
	// the longest time for which callers keep one idle.
	idleTimeout = 90 * time.Second
	// headerTimeout bounds the time to read the header of a readiness check.
	headerTimeout = 10 * time.Second
	// stopMargin is the time left from the end of the work in a planned stop to
	// SIGKILL, for the last answers and the last counts of usage. It is a share of the
	// grace period, at most maxStopMargin.
	stopMargin    = 1.0 / 7
	maxStopMargin = 1100 * time.Millisecond
	// answerShare is the part of this time after which the connections are closed.
	answerShare = 0.25
	// unreadyTime is how long the process serves on while it is not ready, so
	// that the load balancer can notice.
	unreadyTime = 3 * time.Second
	// requestShare, responseShare, connectionShare and batchShare are the shares of
	// the memory limit for request bodies, buffered responses, the connections of
	// callers, and batches and results that callers read. The rest is for the process
	// itself.
	requestShare    = 0.15
	responseShare   = 0.15
	connectionShare = 0.2
	batchShare      = 0.2
	// connectionBytes is the memory that one open connection takes: buffers and
	// a goroutine.
	connectionBytes = 24 << 10
	// defaultMemory is the memory limit in bytes that is assumed when none is
	// known.
	defaultMemory = 512 << 20
	// descriptorShare is the share of the file descriptors for connections of
	// callers. Connections to endpoints and peers need the rest.
	descriptorShare = 0.5
)

// Dependencies connect an entry process to the platform and to the other
// processes.
type Dependencies struct {
	Store   records.Store
	Formats view.Formats
	Names   headers.Names
	API     front.API
	Meters  *meter.Set
	Workers func() []string // addresses of the workers
	// Limiter shares the request rates of limited and cold endpoints.
	Limiter *ratelimit.Limiter
	// Isolated reports whether neither the store nor another availability zone
	// can be reached. The process is then not ready, since other zones serve
	// callers better.
	Isolated func() bool
	// Outage tells what is known of the path to the store.
	Outage front.Outage
	// StoreDisconnected reports whether the direct connection to the store is
	// known to be down.
	StoreDisconnected func() bool
	// Shares tells what client accounts receive from other entry processes.
	Shares *share.Exchange
	// Breaker holds back requests whose content crashes endpoints. Its state is
	// shared by all entry processes.
	Breaker *breaker.Breaker
}

// Entry is an entry process.
type Entry struct {
	profile profile.Profile
	front   *front.Front
	callers *callers.Server
	view    *view.View
	counter *window.Counter
	plan    *stop.Plan
	timers  *clock.Service
	log     *logrus.Entry
}

// New returns an entry process that Run starts.
func New(p profile.Profile, deps Dependencies, timers *clock.Service, log *logrus.Entry) *Entry {
	store := deps.Store
	connections := deps.Meters.Counter("connections_opened")
	pool := exchange.New(exchange.Options{
		EchoHeader: deps.Names.Request, OnConnect: func(address string) { connections.Add(address, 1) },
	})
	fleet := replica.NewFleet(timers, replica.Options{Zone: p.Zone, Overcommit: overcommit, Shared: true, Limiter: deps.Limiter})
	v := view.New(store, deps.Formats, p, fleet, timers, log)
	counter := window.NewCounter(store, p.Name, p.Window, timers, log)
	plan := stop.New(timers, deps.Meters)
	batches := batch.NewStore(store, p.MaxValueBytes)
	memoryLimit := float64(cmp.Or(p.MemoryBytes, defaultMemory))
	forwarder := forward.New(forward.Seams{
		Fleet: fleet, Pool: pool, Names: deps.Names, OnStart: counter.Add,
		Memory: memory.NewBudget(int64(responseShare * memoryLimit)), Meters: deps.Meters, Breaker: deps.Breaker, Shares: deps.Shares, Stop: plan,
	}, timers, log)
	workers := runner.NewWorkers(deps.Workers)
	reader := batch.NewReader(batch.ReaderSeams{
		Store: batches, Find: workers.Find, Follow: workers.Follow, Meters: deps.Meters,
		Retention: p.ResultRetention, Settle: p.Settle, Memory: int64(batchShare * memoryLimit),
	}, timers, log)
	f := front.New(front.Seams{
		Manifest: v.Manifest, Ready: func() bool { return v.Synced() && !deps.Isolated() }, Outage: deps.Outage,
		Stale: func() bool { return v.Stale() && !deps.StoreDisconnected() }, Forwarder: forwarder, Shelf: batches,
		Reader: reader, Names: deps.Names, API: deps.API, Meters: deps.Meters,
		Memory: memory.NewBudget(int64(requestShare * memoryLimit)), Stop: plan,
		LimitDelivery: callers.LimitDelivery,
	}, timers, log)
	server := callers.New(f, callers.Options{MaxConnections: maxConnections(p), IdleTimeout: idleTimeout}, timers, log)
	return &Entry{profile: p, front: f, callers: server, view: v, counter: counter, plan: plan, timers: timers, log: log}
}

// maxConnections returns the maximum number of connections of callers that the
// memory and descriptor limits allow, or 0 when neither limit is known.
func maxConnections(p profile.Profile) int {
	limit := int(connectionShare * float64(p.MemoryBytes) / connectionBytes)
	if descriptors := int(descriptorShare * float64(p.Descriptors)); descriptors > 0 && (limit == 0 || descriptors < limit) {
		limit = descriptors
	}
	return limit
}

// Run serves callers until ctx ends, and then shuts down gracefully within the
// profile's grace period.
func (e *Entry) Run(ctx context.Context) error {
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	go e.view.Run(serving)
	counterDone := make(chan struct{})
	counting, stopCounting := e.plan.Context(serving) // nothing is passed on after the end of the plan
	defer stopCounting()
	go func() { defer close(counterDone); e.counter.Run(counting) }()
	checks := &http.Server{Handler: e.front.Readiness(), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 2)
	if err := listen(e.callers.Serve, e.profile.Front, failed); err != nil {
		return err
	}
	if err := listen(checks.Serve, e.profile.Readiness, failed); err != nil {
		return err
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	e.stop()
	stopServing()
	<-counterDone
	return nil
}

// listen runs serve in the background on a listener at the address. An error of
// serve goes to failed.
func listen(serve func(net.Listener) error, address string, failed chan<- error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	go func() {
		if err := serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- eris.Wrapf(err, "serve %s", address)
		}
	}()
	return nil
}

// stop makes the process unready, continues to serve what can end in time while the
// load balancer notices, and then drains the connections of callers.
func (e *Entry) stop() {
	e.front.Stop()
	margin := min(maxStopMargin, time.Duration(stopMargin*float64(e.profile.Grace)))
	work := e.profile.Grace - margin
	e.plan.Begin(work)
	e.log.WithField("work_ms", work.Milliseconds()).Info("stopping")
	ctx, cancel := e.timers.WithTimeout(context.Background(), work+time.Duration(answerShare*float64(margin)))
	defer cancel()
	_ = e.timers.Sleep(ctx, min(unreadyTime, e.profile.Grace/2))
	if err := e.callers.Drain(ctx); err != nil {
		e.log.WithField(logs.Cause, err.Error()).Warn("grace period ended; open connections are closed")
	}
	_ = e.callers.Close() // an error does not matter: the process ends
	e.log.WithField("requests", e.plan.Counts()).Info("connections closed")
}
