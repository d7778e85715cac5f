// Package relay carries calls to the store, directly or through another
// process of the system when this one does not reach the store or is turned
// away by it. A relay adds nothing to a call and keeps nothing of it.
//
// # Usage
//
//	route := relay.NewRoute(relay.Seams{Direct: direct, Ask: relay.NewAsk(), Peers: peers}, timers, log)
//	reply, err := route.Call(ctx, relay.Call{Method: "GET", Path: "/v1/things"})
//	mux.Handle(relay.RelayPathPrefix, relay.NewServer(direct))
//
// # Errors
//
// Errors of Call are *Error. Sent tells that the call may have been carried
// out.
package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
)

const (
	// DirectLimit is how long a call that does not wait may take before it is
	// tried through a peer. A slow store answers within a quarter of a second.
	DirectLimit = 450 * time.Millisecond
	// probeInterval is how often the direct way is tried while it is lost, and
	// probeTimeout how long one trial may take.
	probeInterval = 700 * time.Millisecond
	probeTimeout  = 350 * time.Millisecond
)

// Call is one call to the store. Wait is the time that the store may take on
// purpose. Own keeps a peer that is asked from asking others.
type Call struct {
	Method, Path, Query string
	Body                []byte
	Wait                time.Duration
	Own                 bool
}

// Reply is the store's answer.
type Reply struct {
	Status int
	Body   []byte
}

// refused reports whether the store did nothing, so that the call can be made
// again another way.
func (r Reply) refused() bool {
	return r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests
}

// Error is a call that brought no answer.
type Error struct {
	Sent  bool
	cause error
}

// Error returns the text of the cause.
func (e *Error) Error() string { return "store call: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// NewError returns the error of a call that brought no answer.
func NewError(sent bool, cause error) *Error { return &Error{Sent: sent, cause: cause} }

// Direct makes a call on this process's own connection to the store.
type Direct func(ctx context.Context, call Call) (Reply, error)

// Seams are the functions that a route needs. Peers returns the other
// processes. Probe is a cheap call that shows whether the store answers.
type Seams struct {
	Direct Direct
	Probe  Call
	Peers  func() []Peer
	// Hosts returns the addresses of processes that make watches for others, the
	// preferred one first; it may be nil.
	Hosts func() []string
	// HostSlack is added to the time that a host may wait with a shared watch.
	// A process that hosts watches itself needs less than those that it serves.
	HostSlack time.Duration
	// Lost is called when the direct way is found lost; it may be nil.
	Lost func()
	Ask  func(ctx context.Context, address string, call Call, limit time.Duration) (Reply, error)
}

// Route makes calls by the way that works.
type Route struct {
	seams  Seams
	timers *clock.Service
	log    *logrus.Entry

	mu                sync.Mutex
	lostSince         time.Time     // when the direct way failed; zero while it works
	directLost        chan struct{} // closed when the direct way fails
	peerCooldownUntil time.Time     // until when no peer is asked
	lastPeer          string        // the peer that helped last
	peerUsed          bool          // a peer has helped since the direct way was lost
	peersTried        bool          // it is known whether peers reach the store
	isolated          bool          // neither the store nor another zone was reached
	hostBackoffs      map[string]hostBackoff
}

// NewRoute returns a route.
func NewRoute(seams Seams, timers *clock.Service, log *logrus.Entry) *Route {
	return &Route{seams: seams, timers: timers, log: log, directLost: make(chan struct{}), hostBackoffs: map[string]hostBackoff{}}
}

// Call makes the call directly, or through peers while the direct way is lost.
func (r *Route) Call(ctx context.Context, call Call) (Reply, error) {
	if call.Wait > 0 {
		reply, served, failed := r.callHost(ctx, call)
		if served {
			return reply, nil
		}
		if failed {
			r.checkDirect(ctx)
		}
	}
	directLost, lost := r.directState()
	if lost {
		if reply, err := r.callThroughPeers(ctx, call); err == nil {
			return reply, nil
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

// callDirect makes the call on this process's own connection. A watch ends early
// when another call finds the direct way lost.
func (r *Route) callDirect(ctx context.Context, call Call, directLost <-chan struct{}) (Reply, error) {
	limit := call.Wait + DirectLimit
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

// combine returns an error that admits that the call was carried out if either
// way may have done so.
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

// markDirectRestored notes that the direct way works.
func (r *Route) markDirectRestored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lostSince.IsZero() {
		return
	}
	r.log.WithField("lost_ms", r.timers.Since(r.lostSince).Milliseconds()).Info("direct way to the store regained")
	r.lostSince, r.directLost, r.isolated = time.Time{}, make(chan struct{}), false
}

// Lost reports whether the direct way to the store is known to be lost.
func (r *Route) Lost() bool {
	_, lost := r.directState()
	return lost
}

// Isolated reports whether neither the store nor any process in another
// availability zone can be reached. It is assumed from the loss of the direct
// way until a peer has answered.
func (r *Route) Isolated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isolated || !r.lostSince.IsZero() && !r.peersTried
}

// markDirectLost notes that the direct way failed, and starts to try it.
func (r *Route) markDirectLost(reply Reply, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lostSince.IsZero() {
		return
	}
	r.lostSince, r.peerUsed, r.peersTried = r.timers.Now(), false, false
	close(r.directLost)
	entry := r.log.WithField("status", reply.Status)
	if err != nil {
		entry = entry.WithField(logs.Cause, err.Error())
	}
	entry.Warn("direct way to the store lost")
	if r.seams.Lost != nil {
		go r.seams.Lost()
	}
	go r.probeDirect()
}

// probeDirect tries the direct way until it works.
func (r *Route) probeDirect() {
	for {
		_ = r.timers.Sleep(context.Background(), probeInterval)
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
