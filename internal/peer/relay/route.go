// Package relay makes calls to the store, either directly or through another
// process of the system if the store cannot be reached from this one or refuses
// its calls. A relay neither changes a call nor stores anything of it.
//
// A watch is a call on which the store waits for a change (Call.Wait is set). A
// host is a process that makes watches and shared calls for others, equal ones only
// once.
//
// # Usage
//
//	route := relay.NewRoute(relay.Seams{Direct: direct, Ask: relay.NewAsk(), Peers: peers}, timers, log)
//	reply, err := route.Call(ctx, relay.Call{Method: "GET", Path: "/v1/things"})
//	mux.Handle(relay.RelayPathPrefix, relay.NewServer(direct, relay.NewSharedCalls(direct, relay.DirectTimeout, nil).Call))
//
// # Paths
//
// Each attempt is noted in the records.Trace of the call's context, with its path.
//
// # Errors
//
// Errors of Call are *Error. Sent reports that the store may have executed the
// call.
package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

const (
	// DirectTimeout is how long a direct call may take, in addition to its Wait,
	// before it is tried through a peer. A slow store answers within 250 ms.
	DirectTimeout = 450 * time.Millisecond
	// minProbeInterval is the shortest time between probes of the direct path while
	// it is lost; probeTimeout bounds one probe.
	minProbeInterval = 700 * time.Millisecond
	probeTimeout     = 350 * time.Millisecond
	// probersPerInterval is the number of processes that together probe once each
	// in minProbeInterval. In a larger fleet each probes less often, at least once in
	// maxProbeInterval, so that the calls of an outage do not grow with the fleet. The
	// first process that finds the path restored tells the others. With 8 of them, a change
	// of the manifest reached 58 processes up to 2 s later after an outage, beyond the time
	// within which it must apply.
	probersPerInterval = 24
	maxProbeInterval   = 10 * time.Second
	// resumeLimit is how long a watch may have taken until the direct path is restored
	// to ask a host again. Later a silent host would delay it beyond the time that
	// package mirror expects.
	resumeLimit = 600 * time.Millisecond
	// minForcedInterval is the shortest time between two probes that others cause.
	minForcedInterval = 200 * time.Millisecond
)

// Call is one call to the store. Wait is how long the store may wait for a
// change before it answers. DirectOnly prevents a peer from asking others in
// turn. Shared allows the reply to an equal call that others have made recently.
type Call struct {
	Method, Path, Query string
	Body                []byte
	Wait                time.Duration
	DirectOnly          bool
	Shared              bool
}

// Reply is the store's answer.
type Reply struct {
	Status int
	Body   []byte
}

// refused reports whether the store rejected the call without executing it, so
// that it can safely be retried on another path.
func (r Reply) refused() bool {
	return r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests
}

// Error is a call without an answer. Sent reports that the store may have
// executed it.
type Error struct {
	Sent  bool
	cause error
}

// Error returns the text of the cause.
func (e *Error) Error() string { return "store call: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// NewError returns the error of a call without an answer.
func NewError(sent bool, cause error) *Error { return &Error{Sent: sent, cause: cause} }

// CallFunc makes one call to the store.
type CallFunc func(ctx context.Context, call Call) (Reply, error)

// Seams are the dependencies of a route. Direct makes a call on this process's
// own connection, Ask makes it through the process at an address, and Peers
// returns the other processes. Probe is a cheap call that shows whether the
// store answers.
type Seams struct {
	Direct CallFunc
	Probe  Call
	Peers  func() []Peer
	// Hosts returns the addresses of processes that make watches for others, the
	// preferred one first; it may be nil.
	Hosts func() []string
	// HostSlack is added to the wait of a watch to get its timeout at the host. A
	// process that hosts watches itself must use less than those that it serves.
	HostSlack time.Duration
	// OnDirectLost and OnDirectRestored are called when the direct path is lost and
	// when it works again; they may be nil.
	OnDirectLost, OnDirectRestored func()
	Ask                            func(ctx context.Context, address string, call Call, limit time.Duration) (Reply, error)
}

// Route makes calls to the store on a path that works. It is safe for concurrent
// use.
type Route struct {
	seams  Seams
	timers *clock.Service
	log    *logrus.Entry

	mu                sync.Mutex
	lostSince         time.Time     // when the direct path failed; zero while it works
	directLost        chan struct{} // closed when the direct path fails
	restored          chan struct{} // closed when the direct path works again
	probe             chan struct{} // receives a value when the path is to be probed at once
	peerCooldownUntil time.Time     // no peer is asked before this time
	lastPeer          string        // address of the peer that last made a call
	peerUsed          bool          // a peer has made a call since the direct path was lost
	peersTried        bool          // peers have been asked since the direct path was lost
	isolated          bool          // neither the store nor another zone could be reached
	isolation         chan struct{} // closed while isolated is true
	hostBackoffs      map[string]hostBackoff
	check             *directCheck // the check of the direct path in progress, or nil
}

// NewRoute returns a route.
func NewRoute(seams Seams, timers *clock.Service, log *logrus.Entry) *Route {
	return &Route{seams: seams, timers: timers, log: log, directLost: make(chan struct{}), isolation: make(chan struct{}), probe: make(chan struct{}, 1), hostBackoffs: map[string]hostBackoff{}}
}

// Call makes a call directly, or through peers while the direct path is lost. A
// watch or shared call goes to a host first.
func (r *Route) Call(ctx context.Context, call Call) (Reply, error) {
	began := r.timers.Uptime()
	if call.Wait > 0 || call.Shared {
		reply, served, failed := r.callHost(ctx, call)
		if failed && call.Wait == 0 {
			// All processes that start while a host is gone meet it first.
			reply, served, failed = r.callHost(ctx, call)
		}
		if served {
			return reply, nil
		}
		if failed && call.Wait > 0 {
			r.checkDirect(ctx)
		}
	}
	directLost, lost := r.directState()
	if lost {
		if reply, err := r.callThroughPeers(ctx, call); err == nil {
			return reply, nil
		} else if mayHaveSent(err) {
			return reply, err
		}
		if call.Wait > 0 {
			directLost = r.awaitDirect(ctx)
		}
		if directLost == nil {
			return Reply{}, errDirectLost
		}
		// All processes resume at the same time, so that equal watches are worth sharing.
		if r.timers.Uptime()-began < resumeLimit {
			if reply, served, _ := r.callHost(ctx, call); served {
				return reply, nil
			}
		}
	}
	reply, err := r.callDirect(ctx, call, directLost)
	if err == nil && !reply.refused() {
		r.markDirectRestored()
		return reply, nil
	}
	if ctx.Err() != nil {
		return reply, err
	}
	r.markDirectLost(reply, err)
	peerReply, peerErr := r.callThroughPeers(ctx, call)
	if peerErr == nil {
		return peerReply, nil
	}
	return reply, combine(err, peerErr)
}

// errDirectLost is the error of a call that was not made because no path to the
// store is known to work.
var errDirectLost = NewError(false, errors.New("no path to the store works"))

// Restored returns a channel that is closed once the direct path works again, or nil
// if it is not known to be lost.
func (r *Route) Restored() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lostSince.IsZero() {
		return nil
	}
	return r.restored
}

// LostFor returns how long the direct path has been lost, 0 while it works.
func (r *Route) LostFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lostSince.IsZero() {
		return 0
	}
	return r.timers.Since(r.lostSince)
}

// awaitDirect waits until a probe finds that the direct path works again, at most
// for DirectTimeout, and returns a channel that is closed when it fails; nil if it
// does not work. Watches wait so that they go on as soon as an outage ends. No call
// makes an attempt of its own meanwhile, so that an outage does not multiply them.
func (r *Route) awaitDirect(ctx context.Context) <-chan struct{} {
	r.mu.Lock()
	restored := r.restored
	r.mu.Unlock()
	timer := r.timers.After(DirectTimeout)
	defer timer.Stop()
	select {
	case <-restored:
	case <-timer.C:
	case <-ctx.Done():
	}
	directLost, _ := r.directState()
	return directLost
}

// callDirect makes the call on this process's own connection. A watch is
// cancelled when another call finds that the direct path is lost.
func (r *Route) callDirect(ctx context.Context, call Call, directLost <-chan struct{}) (Reply, error) {
	limit := call.Wait + DirectTimeout
	if len(r.seams.Peers()) == 0 {
		limit *= 2
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if call.Wait > 0 {
		finished := make(chan struct{})
		defer close(finished)
		go func() {
			select {
			case <-directLost:
				cancel()
			case <-finished:
			}
		}()
	}
	records.NoteAttempt(ctx, records.PathDirect)
	return r.seams.Direct(ctx, call)
}

func (r *Route) directState() (directLost <-chan struct{}, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lostSince.IsZero() {
		return nil, true
	}
	return r.directLost, false
}

// combine returns the error of a call that failed on both paths. Its Sent is set
// if the store may have executed the call on either path. The result is nil if
// the store refused the direct call and no peer can have sent it.
func combine(direct, peer error) error {
	if direct == nil {
		var failed *Error
		if errors.As(peer, &failed) && failed.Sent {
			return peer
		}
		return nil
	}
	sent := mayHaveSent(direct) || mayHaveSent(peer)
	return NewError(sent, direct)
}

func mayHaveSent(err error) bool {
	var failed *Error
	return errors.As(err, &failed) && failed.Sent
}

// markDirectRestored records that the direct path works.
func (r *Route) markDirectRestored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lostSince.IsZero() {
		return
	}
	r.log.WithField("lost_ms", r.timers.Since(r.lostSince).Milliseconds()).Info("direct way to the store regained")
	r.lostSince, r.directLost = time.Time{}, make(chan struct{})
	close(r.restored)
	r.setIsolated(false)
	r.resumeHosts()
	if r.seams.OnDirectRestored != nil {
		go r.seams.OnDirectRestored()
	}
}

// setIsolated must be called with mu locked.
func (r *Route) setIsolated(isolated bool) {
	if r.isolated == isolated {
		return
	}
	r.isolated = isolated
	if isolated {
		close(r.isolation)
	} else {
		r.isolation = make(chan struct{})
	}
}

// Isolation returns a channel that is closed once neither the store nor any
// process in another availability zone can be reached. Calls to the store cannot
// succeed then.
func (r *Route) Isolation() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isolation
}

// DirectLost reports whether the direct path to the store is known to be lost.
func (r *Route) DirectLost() bool {
	_, lost := r.directState()
	return lost
}

// Isolated reports whether neither the store nor any process in another
// availability zone can be reached. It is assumed to be so from the loss of the
// direct path until peers have been asked.
func (r *Route) Isolated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isolated || !r.lostSince.IsZero() && !r.peersTried
}

// markDirectLost records that the direct path failed and starts to probe it.
func (r *Route) markDirectLost(reply Reply, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lostSince.IsZero() {
		return
	}
	r.lostSince, r.peerUsed, r.peersTried = r.timers.Now(), false, false
	close(r.directLost)
	r.restored = make(chan struct{})
	entry := r.log.WithField("status", reply.Status)
	if err != nil {
		entry = entry.WithField(logs.Cause, err.Error())
	}
	entry.Warn("direct way to the store lost")
	if r.seams.OnDirectLost != nil {
		go r.seams.OnDirectLost()
	}
	go r.probeDirect()
	go r.probePeers()
}

// probeInterval returns the time between probes of the direct path: the shortest
// one in a small fleet, and in proportion to the number of processes in a larger
// one.
func (r *Route) probeInterval() time.Duration {
	processes := 1 + len(r.seams.Peers())
	interval := min(maxProbeInterval, minProbeInterval*time.Duration(max(probersPerInterval, processes))/probersPerInterval)
	return interval*3/4 + rand.N(interval/2)
}

// ProbeNow makes a process that has lost the direct path probe it at once, since
// another process has found that the store answers.
func (r *Route) ProbeNow() {
	select {
	case r.probe <- struct{}{}:
	default:
	}
}

// probeDirect probes the direct path until it works.
func (r *Route) probeDirect() {
	select {
	case <-r.probe: // from before the loss
	default:
	}
	for {
		r.awaitProbe()
		if _, lost := r.directState(); !lost {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		reply, err := r.seams.Direct(ctx, r.seams.Probe)
		cancel()
		if err == nil && !reply.refused() {
			r.markDirectRestored()
			return
		}
	}
}

// awaitProbe waits until the direct path is to be probed.
func (r *Route) awaitProbe() {
	timer := r.timers.After(r.probeInterval())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.probe:
		_ = r.timers.Sleep(context.Background(), minForcedInterval/2+rand.N(minForcedInterval/2))
	}
}
