// Package relay carries calls to the store, directly or through another
// process of the system when this one does not reach the store or is turned
// away by it. A relay adds nothing to a call and keeps nothing of it.
//
// # Usage
//
//	route := relay.NewRoute(relay.Seams{Direct: direct, Peers: members.Addresses}, timers, log)
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
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
)

const (
	// directLimit is how long a call that does not wait may take before it is
	// tried through a peer. A slow store answers within a quarter of a second.
	directLimit = 450 * time.Millisecond
	// peerLimit is added to the time that a call may take at the peer.
	peerLimit = 200 * time.Millisecond
	// detour is how long calls go through peers before the direct way is tried
	// again.
	detour = time.Second
	// outage is how long no peer is asked after one did not reach the store
	// either. It keeps the number of calls low while the store is down.
	outage = 600 * time.Millisecond
	// peerTries is the number of peers that are asked for one call.
	peerTries = 2
)

// Call is one call to the store. Wait is the time that the store may take on
// purpose.
type Call struct {
	Method, Path, Query string
	Body                []byte
	Wait                time.Duration
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

// Seams are the functions that a route needs. Peers returns the addresses of
// other processes.
type Seams struct {
	Direct Direct
	Peers  func() []string
	Ask    func(ctx context.Context, address string, call Call, limit time.Duration) (Reply, error)
}

// Route makes calls by the way that works.
type Route struct {
	seams  Seams
	timers *clock.Service
	log    *logrus.Entry

	mu       sync.Mutex
	lost     time.Time // when the direct way last failed
	downTill time.Time // until when no peer is asked
	helper   string    // the peer that helped last
}

// NewRoute returns a route.
func NewRoute(seams Seams, timers *clock.Service, log *logrus.Entry) *Route {
	return &Route{seams: seams, timers: timers, log: log}
}

// Call makes the call directly, or through peers when that fails.
func (r *Route) Call(ctx context.Context, call Call) (Reply, error) {
	if r.detouring() {
		if reply, err := r.throughPeers(ctx, call); err == nil {
			return reply, nil
		}
	}
	limit := call.Wait + directLimit
	if len(r.seams.Peers()) == 0 {
		limit *= 2
	}
	direct, cancel := context.WithTimeout(ctx, limit)
	reply, err := r.seams.Direct(direct, call)
	cancel()
	if err == nil && !reply.refused() {
		r.found()
		return reply, nil
	}
	if ctx.Err() != nil {
		return reply, err
	}
	r.missed(reply, err)
	if call.Wait > 0 && err != nil {
		// The time of a watch is over; the next call takes the other way.
		return reply, err
	}
	helped, peerErr := r.throughPeers(ctx, call)
	if peerErr == nil {
		return helped, nil
	}
	return reply, combine(err, peerErr)
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
	sent := sentBy(direct) || sentBy(peer)
	return NewError(sent, direct)
}

func sentBy(err error) bool {
	var failed *Error
	return errors.As(err, &failed) && failed.Sent
}

func (r *Route) detouring() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lost.IsZero() && r.timers.Since(r.lost) < detour
}

func (r *Route) found() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lost.IsZero() {
		r.log.WithField("lost_ms", r.timers.Since(r.lost).Milliseconds()).Info("direct way to the store regained")
	}
	r.lost = time.Time{}
}

func (r *Route) missed(reply Reply, err error) {
	r.mu.Lock()
	first := r.lost.IsZero()
	r.lost = r.timers.Now()
	r.mu.Unlock()
	if first {
		entry := r.log.WithField("status", reply.Status)
		if err != nil {
			entry = entry.WithField(logs.Cause, err.Error())
		}
		entry.Warn("direct way to the store lost")
	}
}

var errNoPeer = NewError(false, errors.New("no peer reaches the store"))

// throughPeers makes the call through another process.
func (r *Route) throughPeers(ctx context.Context, call Call) (Reply, error) {
	r.mu.Lock()
	down := r.timers.Now().Before(r.downTill)
	r.mu.Unlock()
	if down {
		return Reply{}, errNoPeer
	}
	sent := false
	for _, address := range r.candidates() {
		reply, err := r.ask(ctx, address, call)
		if err == nil {
			r.remember(address)
			return reply, nil
		}
		sent = sent || sentBy(err)
		r.remember("")
		if errors.Is(err, errStore) {
			r.mu.Lock()
			r.downTill = r.timers.Now().Add(outage)
			r.mu.Unlock()
			break
		}
	}
	return Reply{}, NewError(sent, errNoPeer)
}

func (r *Route) remember(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.helper != address && address != "" {
		r.log.WithField(logs.Peer, address).Info("store reached through a peer")
	}
	r.helper = address
}

// candidates returns the peers to ask: the one that helped last, then others
// in random order.
func (r *Route) candidates() []string {
	peers := append([]string(nil), r.seams.Peers()...)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	r.mu.Lock()
	helper := r.helper
	r.mu.Unlock()
	for i, address := range peers {
		if address == helper {
			peers[0], peers[i] = peers[i], peers[0]
		}
	}
	return peers[:min(peerTries, len(peers))]
}

// errStore marks the failure of a call that reached a peer but not the store.
var errStore = errors.New("the peer does not reach the store either")

func (r *Route) ask(ctx context.Context, address string, call Call) (Reply, error) {
	limit := call.Wait + directLimit
	ctx, cancel := context.WithTimeout(ctx, limit+peerLimit)
	defer cancel()
	reply, err := r.seams.Ask(ctx, address, call, limit)
	if err == nil && reply.refused() {
		return reply, NewError(false, errStore)
	}
	return reply, err
}
