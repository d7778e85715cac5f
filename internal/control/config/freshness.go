package config

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
	"github.com/wigeonpin/wigeonpin/internal/peer/fleet"
)

// suspectPeriods is the number of exchange periods for which an instance asks
// the platform itself after a census.
const suspectPeriods = 3

// statement says that at a time no instance of a zone that answers another
// reached the platform, and that none had accepted an edit after sequence.
type statement struct {
	at       time.Time
	sequence uint64
}

// refresh recomputes the time up to which the table is complete. mu is held.
func (c *Config) refresh() {
	at := c.state.direct
	if stated, ok := c.stated(); ok && stated.After(at) {
		at = stated
	}
	c.complete.Store(&at)
}

// stated returns the time up to which the table is complete by the statements
// of all zones. A zone that made none may still accept edits. mu is held.
func (c *Config) stated() (time.Time, bool) {
	var least time.Time
	zones := c.zones()
	for _, zone := range zones {
		s, ok := c.statements[zone]
		if !ok || s.sequence > c.state.table.Sequence() {
			return time.Time{}, false
		}
		if least.IsZero() || s.at.Before(least) {
			least = s.at
		}
	}
	return least, len(zones) > 0
}

// zones returns the listed zones that have not been taken out. mu is held.
func (c *Config) zones() []string {
	return slices.DeleteFunc(c.seams.Directory.Listed().Zones(), c.state.table.ZoneOut)
}

// learn records a statement unless a later one is known. mu is held.
func (c *Config) learn(zone string, s statement) {
	if held, ok := c.statements[zone]; !ok || s.at.After(held.at) {
		c.statements[zone] = s
	}
}

// unreachable reports whether the latest call to the platform failed, not long ago.
// mu is held.
func (c *Config) unreachable() bool {
	return c.state.triedPlatform && !c.state.reached && c.timers.Since(c.state.asked) <= suspectPeriods*c.period
}

// census asks all instances of the zone whether they reach the platform, if
// this instance is the root of the zone's tree and does not reach it itself.
// An instance that does not answer makes the statement impossible until it has
// refused a connection or been silent for the freshness bound: until then it
// may accept edits, and afterwards it does not, having no contact either.
func (c *Config) census(ctx context.Context) {
	order := slices.DeleteFunc(c.seams.Directory.Listed().Tree(c.settings.Zone), c.excluded)
	c.mu.Lock()
	unreachable := c.unreachable()
	c.mu.Unlock()
	if !unreachable || len(order) == 0 || order[0] != c.settings.ID {
		return
	}
	c.exchanges.Add("census", 1)
	sent := c.timers.Now()
	contact := c.gather(ctx, order, 0)
	missing := contact.Missing
	for len(missing) > 0 {
		id := missing[0]
		missing = missing[1:]
		at := slices.Index(order, id)
		answer, err := c.ask(ctx, order, at)
		if err != nil {
			if !c.excluded(id) {
				contact.Unreachable = false
			}
			missing = append(missing, member.ChildrenOf(order, at)...)
			continue
		}
		missing = append(missing, answer.Missing...)
		merge(contact, answer)
	}
	c.conclude(ctx, sent, contact)
}

// conclude takes over the result of a census.
func (c *Config) conclude(ctx context.Context, sent time.Time, contact *FeedContact) {
	if contact.Sequence > c.Sequence() {
		if i, ok := c.seams.Directory.Listed().Instance(contact.Holder); ok {
			_, _ = c.exchange(ctx, i)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if contact.Unreachable {
		c.learn(c.settings.Zone, statement{at: sent, sequence: contact.Sequence})
	}
	if contact.AgeUs != nil && contact.Sequence <= c.state.table.Sequence() {
		c.proven(sent.Add(-microseconds(*contact.AgeUs)))
	}
	c.refresh()
}

// excluded reports whether an instance need not answer a census.
func (c *Config) excluded(id string) bool {
	silence, refused := c.seams.Directory.Silent(id)
	return refused || silence >= c.bound
}

// gather returns the contact of this instance and of the instances below it.
func (c *Config) gather(ctx context.Context, order []string, at int) *FeedContact {
	children := member.ChildrenOf(order, at)
	answers := make([]*FeedContact, len(children))
	var group sync.WaitGroup
	for i, id := range children {
		group.Go(func() {
			if answer, err := c.ask(ctx, order, slices.Index(order, id)); err == nil {
				answers[i] = answer
			}
		})
	}
	group.Wait()
	total := c.contact()
	for i, answer := range answers {
		if answer == nil {
			total.Missing = append(total.Missing, children[i])
			continue
		}
		total.Missing = append(total.Missing, answer.Missing...)
		merge(total, answer)
	}
	return total
}

// contact returns the contact of this instance alone.
func (c *Config) contact() *FeedContact {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.suspect = c.timers.Now().Add(suspectPeriods * c.period)
	return &FeedContact{
		Members: 1, Unreachable: c.unreachable(), Sequence: c.state.table.Sequence(), Holder: c.settings.ID, AgeUs: c.age(),
	}
}

// age returns the age of the time up to which the platform or a peer proved
// the table complete. mu is held.
func (c *Config) age() *int64 {
	if c.state.direct.IsZero() {
		return nil
	}
	age := c.timers.Since(c.state.direct).Microseconds()
	return &age
}

func merge(total, answer *FeedContact) {
	total.Members += answer.Members
	total.Unreachable = total.Unreachable && answer.Unreachable
	if answer.Sequence > total.Sequence {
		total.Sequence, total.Holder = answer.Sequence, answer.Holder
	}
	if answer.AgeUs != nil && (total.AgeUs == nil || *answer.AgeUs < *total.AgeUs) {
		total.AgeUs = answer.AgeUs
	}
}

// ask calls the instance at a position of the tree for a census.
func (c *Config) ask(ctx context.Context, order []string, at int) (*FeedContact, error) {
	i, ok := c.seams.Directory.Listed().Instance(order[at])
	if !ok {
		return nil, errNotListed
	}
	ctx, cancel := c.timers.WithTimeout(ctx, c.period/2)
	defer cancel()
	client := NewFeedProtobufClient(fleet.URL(i.Peer), c.seams.Peers)
	answer, err := client.Census(ctx, &FeedCensus{Instance: c.settings.ID, Order: order, Position: int32(at)})
	c.report(i.ID, err)
	if err == nil {
		c.mu.Lock()
		c.inContact(i.ID, i.Zone)
		c.mu.Unlock()
	}
	return answer, err
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func rowOf(r *FeedRow) table.Row {
	return table.Row{Table: r.Table, Name: r.Name, Revision: r.Revision, Value: r.Value, Deleted: r.Deleted}
}

func feedRows(rows []table.Row) []*FeedRow {
	out := make([]*FeedRow, 0, len(rows))
	for _, r := range rows {
		out = append(out, &FeedRow{Table: r.Table, Name: r.Name, Revision: r.Revision, Value: r.Value, Deleted: r.Deleted})
	}
	return out
}

func tableRows(rows []*FeedRow) []table.Row {
	out := make([]table.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, rowOf(r))
	}
	return out
}
