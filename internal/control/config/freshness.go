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

// suspectPeriods is the number of exchange periods for which an instance polls
// the platform itself after a census, and for which a failed call counts.
const suspectPeriods = 3

// statement says that at a time none of a zone's instances that answered could
// reach the platform, and that none had accepted an edit after sequence.
type statement struct {
	at       time.Time
	sequence uint64
}

// updateCompleteAsOf recomputes the time up to which the table is complete. mu is
// held.
func (c *Config) updateCompleteAsOf() {
	at := c.state.provenAt
	if stated, ok := c.completeByStatements(); ok && stated.After(at) {
		at = stated
	}
	c.completeAsOf.Store(&at)
}

// completeByStatements returns the time up to which the statements of all zones
// prove the table complete. A zone without a statement may still accept edits. mu
// is held.
func (c *Config) completeByStatements() (time.Time, bool) {
	var earliest time.Time
	zones := c.zones()
	for _, zone := range zones {
		s, ok := c.statements[zone]
		if !ok || s.sequence > c.state.table.Sequence() {
			return time.Time{}, false
		}
		if earliest.IsZero() || s.at.Before(earliest) {
			earliest = s.at
		}
	}
	return earliest, len(zones) > 0
}

// zones returns the listed zones that operators have not taken out. mu is held.
func (c *Config) zones() []string {
	return slices.DeleteFunc(c.seams.Directory.Listed().Zones(), c.state.table.ZoneOut)
}

// recordStatement records a statement unless a later one is known. mu is held.
func (c *Config) recordStatement(zone string, s statement) {
	if held, ok := c.statements[zone]; !ok || s.at.After(held.at) {
		c.statements[zone] = s
	}
}

// platformUnreachable reports whether the latest call to the platform failed and
// was recent. mu is held.
func (c *Config) platformUnreachable() bool {
	return c.state.triedPlatform && !c.state.lastCallAnswered && c.timers.Since(c.state.lastCallAt) <= suspectPeriods*c.period
}

// census asks all instances of the zone whether they reach the platform, if
// this instance is the root of the zone's tree and does not reach it itself.
// An instance that does not answer prevents the statement until it has refused a
// connection or been silent for the freshness bound. Until then it may accept
// edits; after that it accepts none, since it has no contact either.
func (c *Config) census(ctx context.Context) {
	order := slices.DeleteFunc(c.seams.Directory.Listed().Tree(c.settings.Zone), c.exempt)
	c.mu.Lock()
	unreachable := c.platformUnreachable()
	c.mu.Unlock()
	if !unreachable || len(order) == 0 || order[0] != c.settings.ID {
		return
	}
	c.exchanges.Add("census", 1)
	sent := c.timers.Now()
	contact := c.censusSubtree(ctx, order, 0)
	missing := contact.Missing
	for len(missing) > 0 {
		id := missing[0]
		missing = missing[1:]
		at := slices.Index(order, id)
		answer, err := c.callCensus(ctx, order, at)
		if err != nil {
			if !c.exempt(id) {
				contact.Unreachable = false
			}
			missing = append(missing, member.ChildrenOf(order, at)...)
			continue
		}
		missing = append(missing, answer.Missing...)
		mergeContact(contact, answer)
	}
	c.applyCensus(ctx, sent, contact)
}

// applyCensus records what the answers to a census prove.
func (c *Config) applyCensus(ctx context.Context, sent time.Time, contact *FeedContact) {
	if contact.Sequence > c.Sequence() {
		if i, ok := c.seams.Directory.Listed().Instance(contact.Holder); ok {
			_, _ = c.exchange(ctx, i)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if contact.Unreachable {
		c.recordStatement(c.settings.Zone, statement{at: sent, sequence: contact.Sequence})
	}
	if contact.AgeUs != nil && contact.Sequence <= c.state.table.Sequence() {
		c.recordProof(sent.Add(-microseconds(*contact.AgeUs)))
	}
	c.updateCompleteAsOf()
}

// exempt reports whether a census can be complete without an instance's answer.
func (c *Config) exempt(id string) bool {
	silence, refused := c.seams.Directory.Silence(id)
	return refused || silence >= c.freshnessBound
}

// censusSubtree takes the census of this instance and of the instances below it
// in the tree.
func (c *Config) censusSubtree(ctx context.Context, order []string, at int) *FeedContact {
	children := member.ChildrenOf(order, at)
	answers := make([]*FeedContact, len(children))
	var group sync.WaitGroup
	for i, id := range children {
		group.Go(func() {
			if answer, err := c.callCensus(ctx, order, slices.Index(order, id)); err == nil {
				answers[i] = answer
			}
		})
	}
	group.Wait()
	total := c.ownContact()
	for i, answer := range answers {
		if answer == nil {
			total.Missing = append(total.Missing, children[i])
			continue
		}
		total.Missing = append(total.Missing, answer.Missing...)
		mergeContact(total, answer)
	}
	return total
}

// ownContact returns this instance's own answer to a census. It also makes the
// instance poll the platform itself for suspectPeriods.
func (c *Config) ownContact() *FeedContact {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.suspectUntil = c.timers.Now().Add(suspectPeriods * c.period)
	return &FeedContact{
		Members: 1, Unreachable: c.platformUnreachable(), Sequence: c.state.table.Sequence(), Holder: c.settings.ID, AgeUs: c.proofAge(),
	}
}

// proofAge returns the age of provenAt in microseconds, or nil when there is no
// proof yet. mu is held.
func (c *Config) proofAge() *int64 {
	if c.state.provenAt.IsZero() {
		return nil
	}
	age := c.timers.Since(c.state.provenAt).Microseconds()
	return &age
}

func mergeContact(total, answer *FeedContact) {
	total.Members += answer.Members
	total.Unreachable = total.Unreachable && answer.Unreachable
	if answer.Sequence > total.Sequence {
		total.Sequence, total.Holder = answer.Sequence, answer.Holder
	}
	if answer.AgeUs != nil && (total.AgeUs == nil || *answer.AgeUs < *total.AgeUs) {
		total.AgeUs = answer.AgeUs
	}
}

// callCensus sends the census to the instance at a position of the tree.
func (c *Config) callCensus(ctx context.Context, order []string, at int) (*FeedContact, error) {
	i, ok := c.seams.Directory.Listed().Instance(order[at])
	if !ok {
		return nil, errNotListed
	}
	ctx, cancel := c.timers.WithTimeout(ctx, c.period/2)
	defer cancel()
	client := NewFeedProtobufClient(fleet.URL(i.Peer), c.seams.Peers)
	answer, err := client.Census(ctx, &FeedCensus{Instance: c.settings.ID, Order: order, Position: int32(at)})
	c.reportCall(i.ID, err)
	if err == nil {
		c.mu.Lock()
		c.recordContact(i.ID, i.Zone)
		c.mu.Unlock()
	}
	return answer, err
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func tableRow(r *FeedRow) table.Row {
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
		out = append(out, tableRow(r))
	}
	return out
}
