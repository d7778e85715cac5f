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
	// relayCensusAge is the age up to which a statement answers a relay of
	// another zone without a new census.
	relayCensusAge = 100 * time.Millisecond
	// alignMargin is added to the time of the parent's next exchange. An
	// exchange just after the parent's keeps ages from adding up along the tree.
	alignMargin = 30 * time.Millisecond
	// startTurns is the number of exchange turns after which an instance without
	// an instance list stops waiting for one before it becomes ready.
	startTurns = 3
	// maxSeeds bounds the addresses remembered while there is no instance list.
	maxSeeds = 8
	// pushRounds bounds the attempts to close a gap at one instance.
	pushRounds = 8
	// pushTimeout bounds one push; the next exchange repairs what it missed.
	pushTimeout = time.Second
)

var errNotListed = errors.New("instance is not listed")

// server answers the calls of other instances.
type server struct{ config *Config }

// Exchange compares two tables and returns what the caller lacks.
func (s *server) Exchange(ctx context.Context, in *FeedExchange) (*FeedState, error) {
	c := s.config
	c.seams.Directory.Report(in.Instance, true, false)
	c.heard(in.Peer)
	if in.Relay && in.Outage {
		c.mu.Lock()
		held := c.statements[c.settings.Zone]
		c.mu.Unlock()
		if c.timers.Since(held.at) > relayCensusAge {
			c.census(ctx)
		}
	}
	roll := c.seams.Directory.Roll()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inContact(in.Instance, in.Zone)
	c.known[in.Instance] = in.Sequence
	now := c.timers.Now()
	out := &FeedState{
		Instance: c.settings.ID, Zone: c.settings.Zone, Sequence: c.state.table.Sequence(),
		Ready: c.Ready(), ListAgeUs: -1, NextUs: max(0, c.nextAt.Sub(now).Microseconds()),
	}
	out.Revision = c.state.at
	if out.Ready {
		own := c.lastAt(in.Sequence)
		if out.Whole = in.Last != 0 && own != 0 && in.Last != own; out.Whole {
			out.Rows = feedRows(c.state.table.Rows())
		} else {
			out.Rows = feedRows(c.delta(in.Sequence))
		}
		out.AgeUs = c.age()
	}
	for zone, held := range c.statements {
		if age := now.Sub(held.at); age <= c.bound {
			out.Zones = append(out.Zones, &FeedStatement{Zone: zone, AgeUs: age.Microseconds(), Sequence: held.sequence})
		}
	}
	if !roll.At.IsZero() {
		out.ListAgeUs = now.Sub(roll.At).Microseconds()
		if roll.Digest != in.List {
			out.HasList = true
			out.Instances = feedInstances(roll.Instances)
		}
	}
	return out, nil
}

// heard remembers the address of a caller while there is no instance list.
func (c *Config) heard(address string) {
	if address == "" || len(c.seams.Directory.Listed().IDs()) > 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.seeds) < maxSeeds && !slices.Contains(c.seeds, address) {
		c.seeds = append(c.seeds, address)
	}
}

// Push takes over newly accepted rows and passes them on.
func (s *server) Push(_ context.Context, in *FeedPush) (*FeedAck, error) {
	c := s.config
	c.seams.Directory.Report(in.Instance, true, false)
	from, _ := c.seams.Directory.Listed().Instance(in.Instance)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inContact(from.ID, from.Zone)
	c.known[in.Instance] = in.Sequence
	// Rows that follow a sequence this instance has not reached leave a gap; the
	// answer tells the sender where to start.
	// Rows that follow another history are refused; the next exchange replaces
	// the table.
	own := c.lastAt(in.After)
	foreign := in.Last != 0 && own != 0 && in.Last != own
	if !foreign && in.After <= c.state.table.Sequence() && c.adopt(in.Sequence, tableRows(in.Rows)) {
		c.located(in.Revision)
		c.pushAll(in.Instance)
	}
	return &FeedAck{Sequence: c.state.table.Sequence()}, nil
}

// Census answers for this instance and those below it.
func (s *server) Census(ctx context.Context, in *FeedCensus) (*FeedContact, error) {
	c := s.config
	c.seams.Directory.Report(in.Instance, true, false)
	at := int(in.Position)
	if at < 0 || at >= len(in.Order) || in.Order[at] != c.settings.ID {
		return nil, twirp.InvalidArgumentError("position", "is not this instance's")
	}
	from, _ := c.seams.Directory.Listed().Instance(in.Instance)
	c.mu.Lock()
	c.inContact(from.ID, from.Zone)
	c.mu.Unlock()
	return c.gather(ctx, in.Order, at), nil
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

// exchange compares tables with another instance and takes over what it holds
// beyond the own one.
//
// It returns the time until that instance's own next exchange.
func (c *Config) exchange(ctx context.Context, peer member.Instance) (time.Duration, error) {
	ctx, cancel := c.timers.WithTimeout(ctx, c.period)
	defer cancel()
	roll := c.seams.Directory.Roll()
	c.mu.Lock()
	in := &FeedExchange{
		Instance: c.settings.ID, Zone: c.settings.Zone, Sequence: c.state.table.Sequence(),
		List: roll.Digest, Outage: c.unreachable(), Peer: c.settings.Peer,
		Last: c.state.last,
	}
	c.mu.Unlock()
	in.Relay = peer.Zone != "" && peer.Zone != c.settings.Zone
	c.exchanges.Add("exchange", 1)
	sent := c.timers.Now()
	out, err := NewFeedProtobufClient(fleet.URL(peer.Peer), c.seams.Peers).Exchange(ctx, in)
	c.report(peer.ID, err)
	if err != nil {
		return 0, err
	}
	c.absorbState(sent, roll, out)
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

// Ping exchanges with an instance. Directories use it to find out whether one
// that stopped answering is back.
func (c *Config) Ping(ctx context.Context, instance member.Instance) error {
	_, err := c.exchange(ctx, instance)
	return err
}

// absorbState takes over the answer to an exchange sent at the given time. All
// ages count from then, so that a delay of the answer makes them only larger.
func (c *Config) absorbState(sent time.Time, roll member.Roll, out *FeedState) {
	if out.HasList {
		c.seams.Directory.Learn(memberInstances(out.Instances), sent.Add(-microseconds(out.ListAgeUs)))
	} else if out.ListAgeUs >= 0 {
		c.seams.Directory.Learn(roll.Instances, sent.Add(-microseconds(out.ListAgeUs)))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inContact(out.Instance, out.Zone)
	c.known[out.Instance] = out.Sequence
	for _, z := range out.Zones {
		c.learn(z.Zone, statement{at: sent.Add(-microseconds(z.AgeUs)), sequence: z.Sequence})
	}
	if out.Ready {
		c.state.found = true
		take := c.adopt
		if out.Whole {
			take = c.reload
		}
		if take(out.Sequence, tableRows(out.Rows)) {
			c.located(out.Revision)
			c.pushAll(out.Instance)
		}
		c.acknowledged(out.Sequence)
		if out.AgeUs != nil && out.Sequence <= c.state.table.Sequence() {
			c.proven(sent.Add(-microseconds(*out.AgeUs)))
		}
	}
	c.refresh()
}

// pushAll passes the table's latest rows to all neighbours but one. mu is held.
func (c *Config) pushAll(except string) {
	for _, i := range c.seams.Directory.Neighbours() {
		if i.ID != except {
			c.startPush(i)
		}
	}
}

// startPush brings one instance up to date, unless that is going on. mu is held.
func (c *Config) startPush(peer member.Instance) {
	if c.pushing[peer.ID] || peer.ID == c.settings.ID {
		return
	}
	c.pushing[peer.ID] = true
	c.spawn(func(ctx context.Context) { c.push(ctx, peer) })
}

func (c *Config) push(ctx context.Context, peer member.Instance) {
	client := NewFeedProtobufClient(fleet.URL(peer.Peer), c.seams.Peers)
	for round := 0; ; round++ {
		c.mu.Lock()
		own := c.state.table.Sequence()
		after, told := c.known[peer.ID]
		if !told && own > 0 {
			after = own - 1
		}
		if after >= own || round == pushRounds {
			delete(c.pushing, peer.ID)
			c.mu.Unlock()
			return
		}
		in := &FeedPush{Instance: c.settings.ID, After: after, Sequence: own, Rows: feedRows(c.delta(after)), Last: c.lastAt(after), Revision: c.state.at}
		c.mu.Unlock()
		ack, err := c.pushOnce(ctx, client, in)
		c.report(peer.ID, err)
		c.mu.Lock()
		if err != nil {
			delete(c.pushing, peer.ID)
			c.mu.Unlock()
			c.log.WithField(logs.Peer, peer.ID).WithError(err).Debug("push failed")
			return
		}
		c.inContact(peer.ID, peer.Zone)
		c.known[peer.ID] = ack.Sequence
		c.acknowledged(ack.Sequence)
		c.mu.Unlock()
	}
}

func (c *Config) pushOnce(ctx context.Context, client Feed, in *FeedPush) (*FeedAck, error) {
	ctx, cancel := c.timers.WithTimeout(ctx, pushTimeout)
	defer cancel()
	c.exchanges.Add("push", 1)
	return client.Push(ctx, in)
}

// acknowledged records that another instance holds the table up to a sequence.
// mu is held.
func (c *Config) acknowledged(sequence uint64) {
	if sequence > c.ackedUpTo {
		c.ackedUpTo = sequence
		close(c.acked)
		c.acked = make(chan struct{})
	}
}

// exchangeLoop exchanges with the parent once in each period, shortly after
// the parent's own exchange, and with relays of the other zones.
func (c *Config) exchangeLoop(ctx context.Context) {
	for {
		wait := c.exchangeTurn(ctx)
		c.mu.Lock()
		c.nextAt = c.timers.Now().Add(wait)
		c.mu.Unlock()
		if c.timers.Sleep(ctx, wait) != nil {
			return
		}
	}
}

// exchangeTurn does the exchanges of one period and returns the time until the
// next one.
func (c *Config) exchangeTurn(ctx context.Context) time.Duration {
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
		for _, i := range d.Abroad() {
			group.Go(func() { _, _ = c.exchange(ctx, i) })
		}
		group.Wait()
	}
	c.missChildren(ctx)
	wait := c.period
	for _, i := range d.Parents() {
		if next, err := c.exchange(ctx, i); err == nil {
			wait = min(max(next+alignMargin, c.period/2), c.period*3/2)
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turns++
	// At the start the instance list may still be on its way. A few turns without
	// one mean that there is nobody to ask.
	c.state.triedPeers = c.state.triedPeers || c.turns >= startTurns || !d.Roll().At.IsZero()
	c.forget()
	c.refresh()
	c.publish()
	return wait
}

// missChildren calls the children that have not called for some time. It finds
// out which of them are gone, and tells those that know nobody where to ask.
func (c *Config) missChildren(ctx context.Context) {
	var group sync.WaitGroup
	for _, i := range c.seams.Directory.Children() {
		c.mu.Lock()
		quiet := c.timers.Since(c.contacts[i.ID]) > contactPeriods*c.period
		c.mu.Unlock()
		if quiet {
			group.Go(func() { _, _ = c.exchange(ctx, i) })
		}
	}
	group.Wait()
}

// forget drops what is remembered of instances that are no longer listed.
// mu is held.
func (c *Config) forget() {
	listed := c.seams.Directory.Listed()
	gone := func(id string) bool { _, ok := listed.Instance(id); return !ok }
	maps.DeleteFunc(c.known, func(id string, _ uint64) bool { return gone(id) })
	maps.DeleteFunc(c.contacts, func(id string, _ time.Time) bool { return gone(id) })
}
