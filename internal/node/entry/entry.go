// Package entry is the process that callers connect to. It keeps nothing that
// must last: what it knows it follows in the store, and what it accepts it
// writes there.
//
// # Usage
//
//	e := entry.New(profile, parts, timers, log)
//	err := e.Run(ctx) // until ctx ends, then a planned stop
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
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
	"github.com/wigeonpin/wigeonpin/internal/training/runner"
)

const (
	// coldShare is the part of what a cold endpoint bears that all entry
	// processes send together; the worker has most of the rest.
	coldShare = 0.4
	// unknownEntries is how many entry processes are assumed while their list is
	// not known.
	unknownEntries = 100
	// ceiling is the multiple of an endpoint's slots up to which one process
	// sends to it.
	ceiling = 1.5
	// idleLimit exceeds the longest idle time of callers' connections.
	idleLimit = 90 * time.Second
	// headTime bounds the time in which the head of a readiness check must
	// arrive.
	headTime = 10 * time.Second
	// stopMargin is kept between the end of a planned stop and the kill.
	stopMargin = 1200 * time.Millisecond
	// leaveTime is how long the load balancer may take to notice that the
	// process is not ready.
	leaveTime = 3 * time.Second
	// requestShare, answerShare and callerShare are the parts of the memory
	// limit that bodies of requests, answers that are read whole and the
	// connections of callers may take. The rest is for the process itself.
	requestShare = 0.15
	answerShare  = 0.15
	callerShare  = 0.2
	// callerBytes is the memory of one open connection: buffers and a goroutine.
	callerBytes = 24 << 10
	// defaultMemory stands in for an unknown memory limit, in bytes.
	defaultMemory = 512 << 20
	// callerDescriptors is the part of the file descriptors that connections of
	// callers may take. Those to endpoints and peers need the rest.
	callerDescriptors = 0.5
)

// Parts are what an entry process gets from the platform's adapter.
type Parts struct {
	Store   records.Store
	Formats view.Formats
	Names   headers.Names
	Calls   front.API
	Meters  *meter.Set
	Workers func() []string // addresses of the workers
	// Entries returns the number of entry processes, this one included, or 0
	// while it is not known.
	Entries func() int
	// Isolated tells that neither the store nor another availability zone is
	// reached. Callers are then better served by other zones.
	Isolated func() bool
	// Lost tells that the direct way to the store is known to be lost.
	Lost func() bool
	// Breaker holds back contents that end endpoints, in the whole fleet.
	Breaker *breaker.Breaker
}

// Entry is an entry process.
type Entry struct {
	profile profile.Profile
	front   *front.Front
	callers *callers.Server
	view    *view.View
	counter *window.Counter
	timers  *clock.Service
	log     *logrus.Entry
}

// New wires the parts of an entry process.
func New(p profile.Profile, parts Parts, timers *clock.Service, log *logrus.Entry) *Entry {
	store := parts.Store
	opened := parts.Meters.Counter("connections_opened")
	pool := exchange.New(exchange.Options{
		EchoHeader: parts.Names.Request, OnConnect: func(address string) { opened.Add(address, 1) },
	})
	fleet := replica.NewFleet(timers, replica.Options{Zone: p.Zone, ColdShare: coldPart(parts.Entries), Overcommit: ceiling, Shared: true})
	v := view.New(store, parts.Formats, p, fleet, timers, log)
	counter := window.NewCounter(store, p.Name, p.Window, timers, log)
	shelf := batch.NewStore(store, p.ValueBytes)
	memoryLimit := float64(cmp.Or(p.MemoryBytes, defaultMemory))
	forwarder := forward.New(forward.Seams{
		Fleet: fleet, Pool: pool, Names: parts.Names, OnStart: counter.Add,
		Memory: memory.NewBudget(int64(answerShare * memoryLimit)), Meters: parts.Meters, Breaker: parts.Breaker,
	}, timers, log)
	f := front.New(front.Seams{
		Manifest: v.Manifest, Ready: func() bool { return v.Known() && !parts.Isolated() }, Stale: func() bool { return v.Stale() && !parts.Lost() }, Forwarder: forwarder, Shelf: shelf,
		Reader: batch.NewReader(shelf, runner.NewFinder(parts.Workers), runner.NewFollower(parts.Workers), timers), Names: parts.Names, API: parts.Calls, Meters: parts.Meters,
		Memory: memory.NewBudget(int64(requestShare * memoryLimit)),
	}, timers, log)
	server := callers.New(f, callers.Options{MaxConnections: mostCallers(p), IdleTimeout: idleLimit}, timers, log)
	return &Entry{profile: p, front: f, callers: server, view: v, counter: counter, timers: timers, log: log}
}

// coldPart returns this process's part of what a cold endpoint bears.
func coldPart(entries func() int) func() float64 {
	return func() float64 { return coldShare / float64(cmp.Or(entries(), unknownEntries)) }
}

// mostCallers returns the number of connections of callers that the process's
// memory and descriptors allow, 0 when neither limit is known.
func mostCallers(p profile.Profile) int {
	most := int(callerShare * float64(p.MemoryBytes) / callerBytes)
	if descriptors := int(callerDescriptors * float64(p.Descriptors)); descriptors > 0 && (most == 0 || descriptors < most) {
		most = descriptors
	}
	return most
}

// Run serves until ctx ends, and then finishes what has begun within the
// profile's grace.
func (e *Entry) Run(ctx context.Context) error {
	lasting, finish := context.WithCancel(context.WithoutCancel(ctx))
	defer finish()
	go e.view.Run(lasting)
	counted := make(chan struct{})
	go func() { defer close(counted); e.counter.Run(lasting) }()
	checks := &http.Server{Handler: e.front.Readiness(), ReadHeaderTimeout: headTime}
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
	finish()
	<-counted
	return nil
}

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

// stop makes the process unready, serves on while the load balancer notices,
// and then ends the connections of callers as their requests are answered.
func (e *Entry) stop() {
	e.front.Stop()
	e.log.Info("stopping")
	ctx, cancel := e.timers.WithTimeout(context.Background(), e.profile.Grace-stopMargin)
	defer cancel()
	_ = e.timers.Sleep(ctx, min(leaveTime, e.profile.Grace/2))
	if err := e.callers.Drain(ctx); err != nil {
		e.log.WithField(logs.Cause, err.Error()).Warn("requests cut by the end of the grace time")
	}
	_ = e.callers.Close() // the process ends
}
