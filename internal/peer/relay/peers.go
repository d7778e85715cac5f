package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

const (
	// peerMargin is added to the time that a call may take at the peer, for the
	// exchange with the peer.
	peerMargin = 200 * time.Millisecond
	// peerCooldown is how long no peer is asked after no peer could make a call.
	// It limits the number of calls while the store is down.
	peerCooldown = 600 * time.Millisecond
	// maxOtherZonePeers and maxSameZonePeers limit the peers in other availability
	// zones and in this one that are asked for one call.
	maxOtherZonePeers = 2
	maxSameZonePeers  = 1
	// maxProbedPeers is the number of peers in other zones that are asked at once
	// when the direct path is lost. Several are needed to tell a zone that is cut off
	// from a partition that some of them share.
	maxProbedPeers = 4
	// maxAlertedPeers is the number of peers in this zone that are told of the loss
	// of the direct path. Each of them tells as many in turn.
	maxAlertedPeers = 3
)

// Peer is another process. OtherZone reports that it is in another availability
// zone.
type Peer struct {
	Address   string
	OtherZone bool
}

var errNoPeer = NewError(false, errors.New("no peer reaches the store"))

// errPeerNoStore is the cause of a failed call that reached a peer but not the
// store.
var errPeerNoStore = errors.New("the peer does not reach the store either")

// callThroughPeers makes the call through a peer. Once a peer in another
// availability zone reports that it does not reach the store, no more are asked.
func (r *Route) callThroughPeers(ctx context.Context, call Call) (Reply, error) {
	call.DirectOnly = true
	r.mu.Lock()
	coolingDown := r.timers.Now().Before(r.peerCooldownUntil)
	r.mu.Unlock()
	if coolingDown {
		return Reply{}, errNoPeer
	}
	sent, otherZoneAsked, otherZoneReached := false, false, false
	for _, peer := range r.candidates() {
		records.NoteAttempt(ctx, peer.Address)
		reply, err := r.askPeer(ctx, peer.Address, call, call.Wait+DirectTimeout)
		if err == nil {
			r.recordPeerUsed(peer.Address)
			return reply, nil
		}
		sent = sent || mayHaveSent(err)
		otherZoneAsked = otherZoneAsked || peer.OtherZone
		if errors.Is(err, errPeerNoStore) && peer.OtherZone {
			otherZoneReached = true
			break
		}
	}
	if ctx.Err() == nil {
		r.recordPeersFailed(otherZoneAsked && !otherZoneReached)
	}
	return Reply{}, NewError(sent, errNoPeer)
}

// recordPeersFailed records that no peer could make a call, and starts the
// cooldown. isolated reports that no peer in another zone was reached either.
func (r *Route) recordPeersFailed(isolated bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastPeer = ""
	r.peerCooldownUntil = r.timers.Now().Add(peerCooldown)
	r.peersTried = true
	if r.peerUsed {
		// The store serves others, so that another peer can make the calls.
		r.peerUsed = false
		go r.probePeers()
	}
	if r.lostSince.IsZero() || r.isolated == isolated {
		return
	}
	r.setIsolated(isolated)
	r.log.WithField("isolated", isolated).Warn("no peer reaches the store")
}

func (r *Route) recordPeerUsed(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.peerUsed {
		r.peerUsed = true
		if !r.lostSince.IsZero() {
			r.ProbeNow() // the store answers others
		}
		r.log.WithField(logs.Peer, address).Info("store reached through a peer")
	}
	r.lastPeer, r.peersTried, r.peerCooldownUntil = address, true, time.Time{}
	r.setIsolated(false)
}

// probePeers asks several peers at once whether they reach the store, right after
// the direct path is lost. The first calls then need not try one after the other.
// Peers in this zone check their own direct path when they are asked, so that a
// zone that is cut off notices it as a whole.
func (r *Route) probePeers() {
	var otherZone, sameZone []Peer
	for _, peer := range r.seams.Peers() {
		if peer.OtherZone {
			otherZone = append(otherZone, peer)
		} else {
			sameZone = append(sameZone, peer)
		}
	}
	call := r.seams.Probe
	call.DirectOnly = true
	for _, peer := range randomPeers(sameZone, maxAlertedPeers) {
		go func() { _, _ = r.askPeer(context.Background(), peer.Address, call, probeTimeout) }()
	}
	otherZone = randomPeers(otherZone, maxProbedPeers)
	results := make(chan error, len(otherZone))
	for _, peer := range otherZone {
		go func() {
			_, err := r.askPeer(context.Background(), peer.Address, call, probeTimeout)
			if err == nil {
				r.recordPeerUsed(peer.Address)
			}
			results <- err
		}()
	}
	reached := false
	for range otherZone {
		err := <-results
		reached = reached || err == nil || errors.Is(err, errPeerNoStore)
	}
	if !reached && len(otherZone) > 0 {
		r.recordPeersFailed(true)
	}
}

// CallForPeer makes a call for a peer on this process's own connection. It fails
// at once while that is known not to reach the store.
func (r *Route) CallForPeer(ctx context.Context, call Call) (Reply, error) {
	if _, lost := r.directState(); lost {
		return Reply{}, errNoPeer
	}
	reply, err := r.seams.Direct(ctx, call)
	if err != nil || reply.refused() {
		go r.checkDirect(context.Background())
	}
	return reply, err
}

// candidates returns the peers to ask: the one that last made a call, then random
// ones in other availability zones, then random ones in this zone.
func (r *Route) candidates() []Peer {
	r.mu.Lock()
	lastPeer := r.lastPeer
	r.mu.Unlock()
	var preferred, otherZone, sameZone []Peer
	for _, peer := range r.seams.Peers() {
		switch {
		case peer.Address == lastPeer:
			preferred = append(preferred, peer)
		case peer.OtherZone:
			otherZone = append(otherZone, peer)
		default:
			sameZone = append(sameZone, peer)
		}
	}
	return append(preferred, append(randomPeers(otherZone, maxOtherZonePeers), randomPeers(sameZone, maxSameZonePeers)...)...)
}

// randomPeers returns at most count peers, chosen at random.
func randomPeers(peers []Peer, count int) []Peer {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}

// askPeer makes the call through a peer, which may take limit for it.
func (r *Route) askPeer(ctx context.Context, address string, call Call, limit time.Duration) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, limit+peerMargin)
	defer cancel()
	reply, err := r.seams.Ask(ctx, address, call, limit)
	if err == nil && reply.refused() {
		return reply, NewError(false, errPeerNoStore)
	}
	return reply, err
}
