package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
)

const (
	// peerLimit is added to the time that a call may take at the peer.
	peerLimit = 200 * time.Millisecond
	// outage is how long no peer is asked after one did not reach the store
	// either. It keeps the number of calls low while the store is down.
	outage = 600 * time.Millisecond
	// farTries and nearTries are the numbers of peers in other availability
	// zones and in this one that are asked for one call.
	farTries  = 2
	nearTries = 1
)

// Peer is another process. Far tells that it is in another availability zone.
type Peer struct {
	Address string
	Far     bool
}

var errNoPeer = NewError(false, errors.New("no peer reaches the store"))

// errStore marks the failure of a call that reached a peer but not the store.
var errStore = errors.New("the peer does not reach the store either")

// throughPeers makes the call through another process.
func (r *Route) throughPeers(ctx context.Context, call Call) (Reply, error) {
	call.Own = true
	r.mu.Lock()
	down := r.timers.Now().Before(r.downTill)
	r.mu.Unlock()
	if down {
		return Reply{}, errNoPeer
	}
	sent, asked, reached := false, false, false
	for _, peer := range r.candidates() {
		reply, err := r.ask(ctx, peer.Address, call)
		if err == nil {
			r.remember(peer.Address)
			return reply, nil
		}
		sent = sent || sentBy(err)
		asked = asked || peer.Far
		if errors.Is(err, errStore) && peer.Far {
			reached = true
			break
		}
	}
	if ctx.Err() == nil {
		r.alone(asked && !reached)
	}
	return Reply{}, NewError(sent, errNoPeer)
}

// alone notes that no peer helped, and whether none was reached.
func (r *Route) alone(isolated bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.helper = ""
	r.downTill = r.timers.Now().Add(outage)
	r.settled = true
	if r.lost.IsZero() || r.isolated == isolated {
		return
	}
	r.isolated = isolated
	r.log.WithField("isolated", isolated).Warn("no peer reaches the store")
}

func (r *Route) remember(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.helped {
		r.helped = true
		r.log.WithField(logs.Peer, address).Info("store reached through a peer")
	}
	r.helper, r.isolated, r.settled = address, false, true
}

// candidates returns the peers to ask: the one that helped last, then some of
// other availability zones, then some of this one.
func (r *Route) candidates() []Peer {
	r.mu.Lock()
	helper := r.helper
	r.mu.Unlock()
	var last, far, near []Peer
	for _, peer := range r.seams.Peers() {
		switch {
		case peer.Address == helper:
			last = append(last, peer)
		case peer.Far:
			far = append(far, peer)
		default:
			near = append(near, peer)
		}
	}
	return append(last, append(some(far, farTries), some(near, nearTries)...)...)
}

// some returns count peers at random.
func some(peers []Peer, count int) []Peer {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}

func (r *Route) ask(ctx context.Context, address string, call Call) (Reply, error) {
	limit := call.Wait + DirectLimit
	ctx, cancel := context.WithTimeout(ctx, limit+peerLimit)
	defer cancel()
	reply, err := r.seams.Ask(ctx, address, call, limit)
	if err == nil && reply.refused() {
		return reply, NewError(false, errStore)
	}
	return reply, err
}
