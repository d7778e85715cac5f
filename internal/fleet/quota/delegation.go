package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
)

// delegation is this instance's view of one endpoint: the members that own
// shares, the home instance, and the delegation to it.
type delegation struct {
	id       string
	endpoint roster.Endpoint
	hash     uint64
	cell     []string
	// inCell is set while this instance belongs to the endpoint's cell and so
	// owns a share. It has done so since inCellSince.
	inCell      bool
	inCellSince time.Time
	home        string
	// departed holds the former members of the cell that may still delegate,
	// with the time from which they no longer can.
	departed map[string]time.Time
	// delegatedTo is the instance that the share was last delegated to. Until
	// expiry, that delegation or a grant based on it may be in force.
	delegatedTo string
	expiry      time.Time
	// formerHomes holds the earlier home instances that still charge this
	// instance for running work.
	formerHomes map[string]bool
	usable      bool
}

// idlePeerTerms is the interval, in terms, of the exchanges with a member of
// the cell that is the home instance of no endpoint.
const idlePeerTerms = 2

// peer is the state of the exchange with another instance.
type peer struct {
	sequence      uint64
	incarnation   uint64
	token         uint64
	tokenAt       time.Time
	inFlight      bool
	lastSent      time.Time
	lastRequested time.Time
}

func (p *Pool) peer(id string) *peer {
	remote, ok := p.peers[id]
	if !ok {
		remote = &peer{}
		p.peers[id] = remote
	}
	return remote
}

// reconcile brings the delegations and ledgers up to date with the lists of
// instances and endpoints, and requests the load reports that are needed.
func (p *Pool) reconcile() {
	p.mu.Lock()
	now := p.timers.Now()
	p.reconcileLocked(now)
	p.publishCosts(now)
	probes := p.pendingProbes
	p.pendingProbes = nil
	p.mu.Unlock()
	for _, id := range probes {
		p.seams.Probe(id)
	}
}

func (p *Pool) reconcileLocked(now time.Time) {
	listed, alive, snapshot := p.seams.Listed(), p.seams.Alive(), p.seams.Endpoints()
	before := p.layout
	if before == nil || before.listed != listed {
		p.layout = newCellLayout(listed, p.settings.CellSize)
		p.updateOwnCell(now)
		p.updateAddresses(listed)
	}
	if before == p.layout && alive == p.alive && snapshot.EqualExceptLoads(p.snapshot) {
		// With the same lists, only the departed members of the own cell can
		// change. The fleet's other endpoints stay as they are.
		for _, d := range p.cellDelegations {
			p.updateHome(d, alive, now)
		}
		p.sweepLedgers(now)
		return
	}
	p.alive, p.snapshot, p.cellDelegations = alive, snapshot, nil
	for _, e := range snapshot.All() {
		d, known := p.delegations[e.ID]
		if !known {
			d = p.newDelegation(e, now)
		}
		restarted := known && (d.endpoint.Address != e.Address || !d.usable && snapshot.Usable(e.ID))
		d.endpoint, d.usable = e, snapshot.Usable(e.ID)
		if restarted {
			p.resetRamp(e.ID)
		}
		if before != p.layout {
			p.updateCell(d, now)
		}
		p.updateHome(d, alive, now)
		if d.inCell {
			p.cellDelegations = append(p.cellDelegations, d)
		}
	}
	p.sweepDelegations(snapshot, now)
	p.sweepLedgers(now)
}

// ownCell is the cell of this instance: its index among the zone's cells, its
// members, and those that have left it.
type ownCell struct {
	index, count int
	cell         []string
	since        time.Time
	departed     map[string]time.Time
}

// updateOwnCell applies a new list of instances to this instance's own cell, so
// that an endpoint that is new here starts with the right members.
func (p *Pool) updateOwnCell(now time.Time) {
	cells := p.layout.zone(p.zone).cells
	index := slices.IndexFunc(cells, func(cell []string) bool { return slices.Contains(cell, p.self) })
	if index < 0 {
		p.ownCell = ownCell{index: -1}
		return
	}
	next := ownCell{index: index, count: len(cells), cell: cells[index], since: now, departed: map[string]time.Time{}}
	if next.index == p.ownCell.index && next.count == p.ownCell.count {
		next.since, next.departed = p.ownCell.since, p.ownCell.departed
		p.recordDeparted(next.departed, p.ownCell.cell, next.cell, now)
	}
	p.ownCell = next
}

// recordDeparted records the members that are no longer in the cell. Such a
// member learns within maxListAge that it has left, or is fenced. After that
// its delegations expire.
func (p *Pool) recordDeparted(departed map[string]time.Time, before, after []string, now time.Time) {
	for _, id := range before {
		if id != p.self && !slices.Contains(after, id) {
			departed[id] = now.Add(p.membershipDelay())
		}
	}
	for _, id := range after {
		delete(departed, id)
	}
	maps.DeleteFunc(departed, func(_ string, until time.Time) bool { return !now.Before(until) })
}

func (p *Pool) newDelegation(e roster.Endpoint, now time.Time) *delegation {
	d := &delegation{id: e.ID, endpoint: e, hash: hashOf(e.ID), inCellSince: now, departed: map[string]time.Time{}, formerHomes: map[string]bool{}}
	d.cell = p.layout.cell(e.Zone, e.ID)
	if e.Zone == p.zone && slices.Contains(d.cell, p.self) {
		d.inCell, d.inCellSince, d.departed = true, p.ownCell.since, maps.Clone(p.ownCell.departed)
	}
	p.delegations[e.ID] = d
	p.byHash[d.hash] = e.ID
	return d
}

// updateCell applies a new list of instances to the endpoint's cell.
func (p *Pool) updateCell(d *delegation, now time.Time) {
	cell := p.layout.cell(d.endpoint.Zone, d.endpoint.ID)
	if slices.Equal(cell, d.cell) {
		return
	}
	inCell := slices.Contains(cell, p.self)
	if inCell && !d.inCell {
		d.inCellSince = now
	}
	p.recordDeparted(d.departed, d.cell, cell, now)
	d.cell, d.inCell = cell, inCell
}

// updateHome chooses the home instance, and removes the departed members that
// can no longer delegate.
func (p *Pool) updateHome(d *delegation, alive *member.View, now time.Time) {
	for id, until := range d.departed {
		if p.seams.Dead(id) {
			until = earlier(until, now.Add(p.delegationLifetime()))
			d.departed[id] = until
		}
		if !now.Before(until) {
			delete(d.departed, id)
		}
	}
	next := homeOf(d.endpoint.ID, d.cell, alive)
	if next == d.home {
		return
	}
	if d.home != "" {
		d.formerHomes[d.home] = true
	}
	d.home = next
	delete(d.formerHomes, next)
}

// sweepDelegations removes the state of endpoints that are no longer in the
// roster, once the delegations of their shares have expired.
func (p *Pool) sweepDelegations(snapshot *roster.Snapshot, now time.Time) {
	for id, d := range p.delegations {
		if _, ok := snapshot.Get(id); !ok && !now.Before(d.expiry) {
			delete(p.delegations, id)
			delete(p.byHash, d.hash)
			delete(p.ledgers, id)
			p.slots.Delete(id)
		}
	}
}

// sweepLedgers removes the members, entries and ledgers that are no longer
// needed.
func (p *Pool) sweepLedgers(now time.Time) {
	for id, m := range p.members {
		maps.DeleteFunc(m.endpoints, func(endpoint string, _ bool) bool { return p.ledgers[endpoint] == nil })
		if _, ok := p.layout.listed.Instance(id); !ok && now.Sub(m.lastReport) > p.membershipDelay() && len(m.endpoints) == 0 {
			delete(p.members, id)
		}
	}
	for id, l := range p.ledgers {
		d, ok := p.delegations[id]
		if !ok {
			continue
		}
		p.expireEntries(d, l, now)
		if d.home != p.self && len(l.entries) == 0 {
			delete(p.ledgers, id)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// shareDivisor returns n where this instance may delegate 1/n of the endpoint to the
// peer now, or 0.
func (p *Pool) shareDivisor(d *delegation, id string, now time.Time) uint32 {
	if !d.inCell || p.leaving || d.home != id {
		return 0
	}
	if !p.joinComplete(d, now) || p.fenced {
		return 0
	}
	if d.delegatedTo != id && d.delegatedTo != "" {
		if p.seams.Dead(d.delegatedTo) {
			// A dead home instance grants nothing more.
			d.expiry = earlier(d.expiry, now.Add(p.term))
		}
		if now.Before(d.expiry) {
			return 0
		}
	}
	return uint32(len(d.cell) + len(d.departed))
}

// joinComplete reports whether this instance has been in the endpoint's cell
// for long enough to delegate. By then every other member knows that it joined
// or is fenced, and the larger shares that they delegated before have expired.
// So have the delegations of members that left the list before this one joined
// and that it does not know.
func (p *Pool) joinComplete(d *delegation, now time.Time) bool {
	return now.Sub(d.inCellSince) >= p.membershipDelay()
}

// confirmList records up to which time this instance knew the current list.
// Beyond maxListAge it is fenced: it may have left the list, or another may
// have joined, without its knowledge. Afterwards it joins anew, even if it is
// still on the list, since the others may have stopped counting it.
func (p *Pool) confirmList(age time.Duration, now time.Time) {
	maxAge := p.maxListAge()
	p.fenced = age > maxAge
	at := now.Add(-age)
	if !p.listConfirmedAt.IsZero() && at.Sub(p.listConfirmedAt) > maxAge {
		p.ownCell.since = now
		for _, d := range p.delegations {
			if d.inCell {
				d.inCellSince = now
			}
		}
	}
	p.listConfirmedAt = later(p.listConfirmedAt, at)
}

// targets returns the instances to exchange with in a period: the home
// instances of the cell's endpoints and of others that this instance uses,
// earlier home instances that still charge it, the silent members, and less
// often the other members of the cell, for the running cost.
func (p *Pool) targets(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for _, id := range p.ownCell.cell {
		if now.Sub(p.peer(id).lastSent) >= idlePeerTerms*p.term {
			ids = append(ids, id)
		}
	}
	for _, d := range p.delegations {
		if p.isReportedTo(d, d.home, now) {
			ids = append(ids, d.home)
		}
		for id := range d.formerHomes {
			ids = append(ids, id)
		}
	}
	ids = append(ids, p.silentMembers(now)...)
	slices.Sort(ids)
	return slices.DeleteFunc(slices.Compact(ids), func(id string) bool { return id == "" })
}

// silentMembers returns the members that are still charged here and have not
// reported for a term. The call to such a member shows whether it is dead.
func (p *Pool) silentMembers(now time.Time) []string {
	var ids []string
	for id, m := range p.members {
		if now.Sub(m.lastReport) < p.term || p.seams.Dead(id) {
			continue
		}
		for endpoint := range m.endpoints {
			if l, ok := p.ledgers[endpoint]; ok && l.entries[id] != nil && l.entries[id].charge() > 0 {
				ids = append(ids, id)
				break
			}
		}
	}
	return ids
}

// updateAddresses stores the addresses of the listed instances, and keeps those
// of instances that left the list while they are still charged.
func (p *Pool) updateAddresses(listed *member.View) {
	for id := range p.addresses {
		if _, ok := p.members[id]; !ok {
			delete(p.addresses, id)
		}
	}
	for _, i := range listed.Instances() {
		p.addresses[i.ID] = i
	}
}

// isReportedTo reports whether a report to the peer includes the endpoint.
func (p *Pool) isReportedTo(d *delegation, id string, now time.Time) bool {
	if d.formerHomes[id] {
		return true
	}
	if d.home != id {
		return false
	}
	if d.inCell {
		return true
	}
	slots, ok := p.endpointSlots(d.endpoint.ID)
	if !ok {
		return false
	}
	state := slots.state(now)
	return state.wanted || state.running > 0 || state.held > 0
}
