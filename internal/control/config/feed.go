package config

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/peer/fleet"
)

const (
	// statementReuseAge is the age up to which a statement answers a relay of
	// another zone without a new census.
	statementReuseAge = 100 * time.Millisecond
	// alignMargin is added to the time of the parent's next exchange. Exchanging
	// just after the parent keeps ages from adding up along the tree.
	alignMargin = 30 * time.Millisecond
	// startRounds is the number of exchange rounds after which an instance without
	// an instance list stops waiting for one before it becomes ready.
	startRounds = 3
	// maxSeeds bounds the addresses remembered while there is no instance list.
	maxSeeds = 8
	// maxPushAttempts bounds the attempts to bring one instance up to date.
	maxPushAttempts = 8
	// pushTimeout bounds one push; the next exchange delivers what it missed.
	pushTimeout = time.Second
)

var errNotListed = errors.New("instance is not listed")

// server implements the Feed service for other instances.
type server struct{ config *Config }

// Exchange compares two tables and returns what the caller lacks.
func (s *server) Exchange(ctx context.Context, in *FeedExchange) (*FeedState, error) {
	c := s.config
	c.seams.Directory.Report(in.Instance, true, false)
	c.addSeed(in.Peer)
	if in.Relay && in.Outage {
		c.mu.Lock()
		held := c.statements[c.settings.Zone]
		c.mu.Unlock()
		if c.timers.Since(held.at) > statementReuseAge {
			c.census(ctx)
		}
	}
	roll := c.seams.Directory.List()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordContact(in.Instance, in.Zone)
	c.peerSequences[in.Instance] = in.Sequence
	now := c.timers.Now()
	out := &FeedState{
		Instance: c.settings.ID, Zone: c.settings.Zone, Sequence: c.state.table.Sequence(),
		Ready: c.Ready(), ListAgeUs: -1, NextUs: max(0, c.nextExchangeAt.Sub(now).Microseconds()),
	}
	out.Revision = c.state.tableRevision
	if out.Ready {
		ownHash := c.rowHashAt(in.Sequence)
		if out.Whole = in.Last != 0 && ownHash != 0 && in.Last != ownHash; out.Whole {
			out.Rows = feedRows(c.state.table.Rows())
		} else {
			out.Rows = feedRows(c.delta(in.Sequence))
		}
		out.AgeUs = c.proofAge()
	}
	for zone, held := range c.statements {
		if age := now.Sub(held.at); age <= c.freshnessBound {
			out.Zones = append(out.Zones, &FeedStatement{Zone: zone, AgeUs: age.Microseconds(), Sequence: held.sequence})
		}
	}
	if !roll.RequestedAt.IsZero() {
		out.ListAgeUs = now.Sub(roll.RequestedAt).Microseconds()
		if roll.Digest != in.List {
			out.HasList = true
			out.Instances = feedInstances(roll.Instances)
		}
	}
	return out, nil
}

// addSeed records the address of a caller while there is no instance list.
func (c *Config) addSeed(address string) {
	if address == "" || len(c.seams.Directory.Listed().IDs()) > 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.seeds) < maxSeeds && !slices.Contains(c.seeds, address) {
		c.seeds = append(c.seeds, address)
	}
}

// Push applies newly accepted rows and forwards them.
func (s *server) Push(_ context.Context, in *FeedPush) (*FeedAck, error) {
	c := s.config
	c.seams.Directory.Report(in.Instance, true, false)
	from, _ := c.seams.Directory.Listed().Instance(in.Instance)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordContact(from.ID, from.Zone)
	c.peerSequences[in.Instance] = in.Sequence
	// Rows that follow a sequence this instance has not reached would leave a
	// gap; the answer tells the sender where to start. Rows of another history
	// are refused; the next exchange replaces the table.
	ownHash := c.rowHashAt(in.After)
	diverged := in.Last != 0 && ownHash != 0 && in.Last != ownHash
	if !diverged && in.After <= c.state.table.Sequence() && c.applyRows(in.Sequence, tableRows(in.Rows)) {
		c.recordTableRevision(in.Revision)
		c.pushAll(in.Instance)
	}
	return &FeedAck{Sequence: c.state.table.Sequence()}, nil
}

// Census answers for this instance and those below it in the tree.
func (s *server) Census(ctx context.Context, in *FeedCensus) (*FeedContact, error) {
	c := s.config
	c.seams.Directory.Report(in.Instance, true, false)
	at := int(in.Position)
	if at < 0 || at >= len(in.Order) || in.Order[at] != c.settings.ID {
		return nil, twirp.InvalidArgumentError("position", "is not this instance's")
	}
	from, _ := c.seams.Directory.Listed().Instance(in.Instance)
	c.mu.Lock()
	c.recordContact(from.ID, from.Zone)
	c.mu.Unlock()
	return c.censusSubtree(ctx, in.Order, at), nil
}

func feedInstances(list []member.Instance) []*FeedInstance {
	out := make([]*FeedInstance, 0, len(list))
	for _, i := range list {
		out = append(out, &FeedInstance{Id: i.ID, Zone: i.Zone, Peer: i.Peer, State: i.State})
	}
	return out
}

func memberInstances(list []*FeedInstance) []member.Instance {
	out := make([]member.Instance, 0, len(list))
	for _, i := range list {
		out = append(out, member.Instance{ID: i.Id, Zone: i.Zone, Peer: i.Peer, State: i.State})
	}
	return out
}

// exchange compares tables with another instance and applies the rows that this
// one lacks. It returns the time until the other instance's own next exchange.
func (c *Config) exchange(ctx context.Context, peer member.Instance) (time.Duration, error) {
	ctx, cancel := c.timers.WithTimeout(ctx, c.period)
	defer cancel()
	roll := c.seams.Directory.List()
	c.mu.Lock()
	in := &FeedExchange{
		Instance: c.settings.ID, Zone: c.settings.Zone, Sequence: c.state.table.Sequence(),
		List: roll.Digest, Outage: c.platformUnreachable(), Peer: c.settings.Peer,
		Last: c.state.lastHash,
	}
	c.mu.Unlock()
	in.Relay = peer.Zone != "" && peer.Zone != c.settings.Zone
	c.exchanges.Add("exchange", 1)
	sent := c.timers.Now()
	out, err := NewFeedProtobufClient(fleet.URL(peer.Peer), c.seams.Peers).Exchange(ctx, in)
	c.reportCall(peer.ID, err)
	if err != nil {
		return 0, err
	}
	c.applyState(sent, roll, out)
	if peer.ID == "" {
		peer.ID, peer.Zone = out.Instance, out.Zone
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if out.Sequence < c.state.table.Sequence() {
		c.startPush(peer)
	}
	return microseconds(out.NextUs), nil
}

// Ping exchanges with an instance. The directory uses it to find out whether one
// that stopped answering is back.
func (c *Config) Ping(ctx context.Context, instance member.Instance) error {
	_, err := c.exchange(ctx, instance)
	return err
}

// applyState applies the answer to an exchange sent at the given time. All ages
// count from then, so that a delayed answer can only make them larger.
func (c *Config) applyState(sent time.Time, roll member.InstanceList, out *FeedState) {
	if out.HasList {
		c.seams.Directory.UpdateList(memberInstances(out.Instances), sent.Add(-microseconds(out.ListAgeUs)))
	} else if out.ListAgeUs >= 0 {
		c.seams.Directory.UpdateList(roll.Instances, sent.Add(-microseconds(out.ListAgeUs)))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordContact(out.Instance, out.Zone)
	c.peerSequences[out.Instance] = out.Sequence
	for _, z := range out.Zones {
		c.recordStatement(z.Zone, statement{at: sent.Add(-microseconds(z.AgeUs)), sequence: z.Sequence})
	}
	if out.Ready {
		c.state.hasTable = true
		apply := c.applyRows
		if out.Whole {
			apply = c.replaceTable
		}
		if apply(out.Sequence, tableRows(out.Rows)) {
			c.recordTableRevision(out.Revision)
			c.pushAll(out.Instance)
		}
		c.recordAck(out.Sequence)
		if out.AgeUs != nil && out.Sequence <= c.state.table.Sequence() {
			c.recordProof(sent.Add(-microseconds(*out.AgeUs)))
		}
	}
	c.updateCompleteAsOf()
}

// pushAll pushes the table's latest rows to all neighbours but one. mu is held.
func (c *Config) pushAll(except string) {
	for _, i := range c.seams.Directory.Neighbours() {
		if i.ID != except {
			c.startPush(i)
		}
	}
}

// startPush starts to bring an instance up to date, unless a push to it is already
// running. mu is held.
func (c *Config) startPush(peer member.Instance) {
	if c.pushing[peer.ID] || peer.ID == c.settings.ID {
		return
	}
	c.pushing[peer.ID] = true
	c.spawn(func(ctx context.Context) { c.push(ctx, peer) })
}

func (c *Config) push(ctx context.Context, peer member.Instance) {
	client := NewFeedProtobufClient(fleet.URL(peer.Peer), c.seams.Peers)
	for attempt := 0; ; attempt++ {
		c.mu.Lock()
		own := c.state.table.Sequence()
		after, known := c.peerSequences[peer.ID]
		if !known && own > 0 {
			after = own - 1
		}
		if after >= own || attempt == maxPushAttempts {
			delete(c.pushing, peer.ID)
			c.mu.Unlock()
			return
		}
		in := &FeedPush{Instance: c.settings.ID, After: after, Sequence: own, Rows: feedRows(c.delta(after)), Last: c.rowHashAt(after), Revision: c.state.tableRevision}
		c.mu.Unlock()
		ack, err := c.pushOnce(ctx, client, in)
		c.reportCall(peer.ID, err)
		c.mu.Lock()
		if err != nil {
			delete(c.pushing, peer.ID)
			c.mu.Unlock()
			c.log.WithField(logs.Peer, peer.ID).WithError(err).Debug("push failed")
			return
		}
		c.recordContact(peer.ID, peer.Zone)
		c.peerSequences[peer.ID] = ack.Sequence
		c.recordAck(ack.Sequence)
		c.mu.Unlock()
	}
}

func (c *Config) pushOnce(ctx context.Context, client Feed, in *FeedPush) (*FeedAck, error) {
	ctx, cancel := c.timers.WithTimeout(ctx, pushTimeout)
	defer cancel()
	c.exchanges.Add("push", 1)
	return client.Push(ctx, in)
}

// recordAck records that another instance holds the table up to a sequence.
// mu is held.
func (c *Config) recordAck(sequence uint64) {
	if sequence > c.ackedSequence {
		c.ackedSequence = sequence
		close(c.ackChanged)
		c.ackChanged = make(chan struct{})
	}
}

// exchangeLoop exchanges with the parent once in each period, shortly after
// the parent's own exchange, and with relays of the other zones.
func (c *Config) exchangeLoop(ctx context.Context) {
	for {
		wait := c.exchangeRound(ctx)
		c.mu.Lock()
		c.nextExchangeAt = c.timers.Now().Add(wait)
		c.mu.Unlock()
		if c.timers.Sleep(ctx, wait) != nil {
			return
		}
	}
}

// exchangeRound runs the exchanges of one period and returns the time until the
// next round.
func (c *Config) exchangeRound(ctx context.Context) time.Duration {
	d := c.seams.Directory
	if len(d.Listed().IDs()) == 0 {
		c.mu.Lock()
		seeds := append(slices.Clone(c.settings.Seeds), c.seeds...)
		c.mu.Unlock()
		for _, address := range seeds {
			if _, err := c.exchange(ctx, member.Instance{Peer: address}); err != nil {
				c.log.WithField(logs.Peer, address).WithError(err).Debug("seed does not answer")
			}
		}
	}
	c.census(ctx)
	if d.Relay() {
		var group sync.WaitGroup
		for _, i := range d.RemoteRelays() {
			group.Go(func() { _, _ = c.exchange(ctx, i) })
		}
		group.Wait()
	}
	c.exchangeWithSilentChildren(ctx)
	wait := c.period
	for _, i := range d.Parents() {
		if next, err := c.exchange(ctx, i); err == nil {
			wait = min(max(next+alignMargin, c.period/2), c.period*3/2)
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchangeRounds++
	// After a start the instance list may not have arrived yet. A few rounds
	// without one mean that there is no other instance to ask.
	c.state.triedPeers = c.state.triedPeers || c.exchangeRounds >= startRounds || !d.List().RequestedAt.IsZero()
	c.pruneUnlisted()
	c.updateCompleteAsOf()
	c.publish()
	return wait
}

// exchangeWithSilentChildren exchanges with the children that have not been in
// contact for some time. It detects those that are gone, and gives those without
// an instance list an address to ask.
func (c *Config) exchangeWithSilentChildren(ctx context.Context) {
	var group sync.WaitGroup
	for _, i := range c.seams.Directory.Children() {
		c.mu.Lock()
		silent := c.timers.Since(c.lastContacts[i.ID]) > contactPeriods*c.period
		c.mu.Unlock()
		if silent {
			group.Go(func() { _, _ = c.exchange(ctx, i) })
		}
	}
	group.Wait()
}

// pruneUnlisted deletes the records of instances that are no longer listed. mu is
// held.
func (c *Config) pruneUnlisted() {
	listed := c.seams.Directory.Listed()
	gone := func(id string) bool { _, ok := listed.Instance(id); return !ok }
	maps.DeleteFunc(c.peerSequences, func(id string, _ uint64) bool { return gone(id) })
	maps.DeleteFunc(c.lastContacts, func(id string, _ time.Time) bool { return gone(id) })
}
