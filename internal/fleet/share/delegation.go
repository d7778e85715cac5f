package share

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
)

// delegation is this instance's view of one endpoint: the members that own shares,
// the home instance and the delegation.
type delegation struct {
	id       string
	endpoint roster.Endpoint
	hash     uint64
	cell     []string
	// inCell: this instance owns a share since the given time.
	inCell bool
	since  time.Time
	home   string
	// retained are former members of the cell that may still delegate, with
	// the time at which they cannot any more.
	retained map[string]time.Time
	// delegate is the instance that the share was last delegated to. Until
	// lapse, that delegation or a grant based on it may be in force.
	delegate string
	lapse    time.Time
	// former are earlier home instances that still charge running work.
	former map[string]bool
	usable bool
}

// quietTerms is the period, in terms, of the exchange with a member of the cell
// that is home instance of no endpoint.
const quietTerms = 2

// peer is what this instance knows of its exchange with another one.
type peer struct {
	sequence    uint64
	incarnation uint64
	token       uint64
	tokenAt     time.Time
	busy        bool
	sent        time.Time
	asked       time.Time
}

func (p *Pool) peer(id string) *peer {
	x, ok := p.peers[id]
	if !ok {
		x = &peer{}
		p.peers[id] = x
	}
	return x
}

// reconcile follows the lists of instances and endpoints.
func (p *Pool) reconcile() {
	p.mu.Lock()
	now := p.timers.Now()
	p.reconcileLocked(now)
	p.addCosts(now)
	probes := p.probes
	p.probes = nil
	p.mu.Unlock()
	for _, id := range probes {
		p.seams.Probe(id)
	}
}

func (p *Pool) reconcileLocked(now time.Time) {
	listed, alive, snapshot := p.seams.Listed(), p.seams.Alive(), p.seams.Endpoints()
	before := p.layout
	if before == nil || before.listed != listed {
		p.layout = newLayout(listed, p.settings.CellSize)
		p.followCell(now)
		p.remember(listed)
	}
	if before == p.layout && alive == p.alive && snapshot.SameList(p.snapshot) {
		// Only the members that left the own cell need a look. The fleet's
		// other endpoints stay as they are.
		for _, s := range p.ours {
			p.follow(s, alive, now)
		}
		p.sweepLedgers(now)
		return
	}
	p.alive, p.snapshot, p.ours = alive, snapshot, nil
	for _, e := range snapshot.All() {
		s, known := p.delegations[e.ID]
		if !known {
			s = p.newDelegation(e, now)
		}
		restarted := known && (s.endpoint.Address != e.Address || !s.usable && snapshot.Usable(e.ID))
		s.endpoint, s.usable = e, snapshot.Usable(e.ID)
		if restarted {
			p.coldStart(e.ID)
		}
		if before != p.layout {
			p.recell(s, now)
		}
		p.follow(s, alive, now)
		if s.inCell {
			p.ours = append(p.ours, s)
		}
	}
	p.sweep(snapshot, now)
	p.sweepLedgers(now)
}

// ownCell is the cell of this instance: its place among the zone's cells, and who
// has been in it.
type ownCell struct {
	place, count int
	cell         []string
	since        time.Time
	retained     map[string]time.Time
}

// followCell follows this instance's own cell, so that an endpoint that is new here
// starts with the right members.
func (p *Pool) followCell(now time.Time) {
	cells := p.layout.zone(p.zone).cells
	place := slices.IndexFunc(cells, func(cell []string) bool { return slices.Contains(cell, p.self) })
	if place < 0 {
		p.ownCell = ownCell{place: -1}
		return
	}
	next := ownCell{place: place, count: len(cells), cell: cells[place], since: now, retained: map[string]time.Time{}}
	if next.place == p.ownCell.place && next.count == p.ownCell.count {
		next.since, next.retained = p.ownCell.since, p.ownCell.retained
		p.retain(next.retained, p.ownCell.cell, next.cell, now)
	}
	p.ownCell = next
}

// retain notes the members that are no longer in the cell. Such a member
// learns within the bound of the list's age that it has left, or is fenced;
// after that its delegations lapse.
func (p *Pool) retain(retained map[string]time.Time, before, after []string, now time.Time) {
	for _, id := range before {
		if id != p.self && !slices.Contains(after, id) {
			retained[id] = now.Add(p.settling())
		}
	}
	for _, id := range after {
		delete(retained, id)
	}
	maps.DeleteFunc(retained, func(_ string, until time.Time) bool { return !now.Before(until) })
}

func (p *Pool) newDelegation(e roster.Endpoint, now time.Time) *delegation {
	s := &delegation{id: e.ID, endpoint: e, hash: hashOf(e.ID), since: now, retained: map[string]time.Time{}, former: map[string]bool{}}
	s.cell = p.layout.cell(e.Zone, e.ID)
	if e.Zone == p.zone && slices.Contains(s.cell, p.self) {
		s.inCell, s.since, s.retained = true, p.ownCell.since, maps.Clone(p.ownCell.retained)
	}
	p.delegations[e.ID] = s
	p.byHash[s.hash] = e.ID
	return s
}

// recell follows a new list of instances.
func (p *Pool) recell(s *delegation, now time.Time) {
	cell := p.layout.cell(s.endpoint.Zone, s.endpoint.ID)
	if slices.Equal(cell, s.cell) {
		return
	}
	inCell := slices.Contains(cell, p.self)
	if inCell && !s.inCell {
		s.since = now
	}
	p.retain(s.retained, s.cell, cell, now)
	s.cell, s.inCell = cell, inCell
}

// follow chooses the home instance and drops members that cannot delegate.
func (p *Pool) follow(s *delegation, alive *member.View, now time.Time) {
	for id, until := range s.retained {
		if p.seams.Dead(id) {
			until = earlier(until, now.Add(p.lapse()))
			s.retained[id] = until
		}
		if !now.Before(until) {
			delete(s.retained, id)
		}
	}
	next := home(s.endpoint.ID, s.cell, alive)
	if next == s.home {
		return
	}
	if s.home != "" {
		s.former[s.home] = true
	}
	s.home = next
	delete(s.former, next)
}

// sweep drops what belongs to endpoints and instances that are gone.
func (p *Pool) sweep(snapshot *roster.Snapshot, now time.Time) {
	for id, s := range p.delegations {
		if _, ok := snapshot.Get(id); !ok && !now.Before(s.lapse) {
			delete(p.delegations, id)
			delete(p.byHash, s.hash)
			delete(p.ledgers, id)
			p.holds.Delete(id)
		}
	}
}

// sweepLedgers drops entries and ledgers that are not needed any more.
func (p *Pool) sweepLedgers(now time.Time) {
	for id, m := range p.members {
		maps.DeleteFunc(m.entries, func(endpoint string, _ bool) bool { return p.ledgers[endpoint] == nil })
		if _, ok := p.layout.listed.Instance(id); !ok && now.Sub(m.heard) > p.settling() && len(m.entries) == 0 {
			delete(p.members, id)
		}
	}
	for id, l := range p.ledgers {
		s, ok := p.delegations[id]
		if !ok {
			continue
		}
		p.expire(s, l, now)
		if s.home != p.self && len(l.entries) == 0 {
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

// parts returns n where this instance may delegate 1/n of the endpoint to the
// peer now, or 0.
func (p *Pool) parts(s *delegation, id string, now time.Time) uint32 {
	if !s.inCell || p.leaving || s.home != id {
		return 0
	}
	if !p.settled(s, now) || p.fenced {
		return 0
	}
	if s.delegate != id && s.delegate != "" {
		if p.seams.Dead(s.delegate) {
			// A dead home instance grants nothing more.
			s.lapse = earlier(s.lapse, now.Add(p.term))
		}
		if now.Before(s.lapse) {
			return 0
		}
	}
	return uint32(len(s.cell) + len(s.retained))
}

// settled reports whether a joining member may delegate. By then every other
// member knows that it joined or is fenced, and the larger shares that they
// delegated before have lapsed; so have those of members that left the list
// before this one came and that it does not know.
func (p *Pool) settled(s *delegation, now time.Time) bool {
	return now.Sub(s.since) >= p.settling()
}

// confirm notes up to which time this instance knew the list. Beyond the bound
// it is fenced: it may have left the list, or another may have joined, without
// its knowledge. Afterwards it joins anew, since the others may have stopped
// counting it, even if it finds itself on the list again.
func (p *Pool) confirm(age time.Duration, now time.Time) {
	bound := p.bound()
	p.fenced = age > bound
	at := now.Add(-age)
	if !p.confirmed.IsZero() && at.Sub(p.confirmed) > bound {
		p.ownCell.since = now
		for _, s := range p.delegations {
			if s.inCell {
				s.since = now
			}
		}
	}
	p.confirmed = later(p.confirmed, at)
}

// targets returns the instances to exchange with in a period: the home
// instances of the cell's endpoints and of others that this instance uses, and
// now and then the other members of the cell, for the running cost.
func (p *Pool) targets(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for _, id := range p.ownCell.cell {
		if now.Sub(p.peer(id).sent) >= quietTerms*p.term {
			ids = append(ids, id)
		}
	}
	for _, s := range p.delegations {
		if p.concerns(s, s.home, now) {
			ids = append(ids, s.home)
		}
		for id := range s.former {
			ids = append(ids, id)
		}
	}
	ids = append(ids, p.silent(now)...)
	slices.Sort(ids)
	return slices.DeleteFunc(slices.Compact(ids), func(id string) bool { return id == "" })
}

// silent returns the members that still have a charge here and have not
// reported for a term. The call to them proves whether they are dead.
func (p *Pool) silent(now time.Time) []string {
	var ids []string
	for id, m := range p.members {
		if now.Sub(m.heard) < p.term || p.seams.Dead(id) {
			continue
		}
		for endpoint := range m.entries {
			if l, ok := p.ledgers[endpoint]; ok && l.entries[id] != nil && l.entries[id].charge() > 0 {
				ids = append(ids, id)
				break
			}
		}
	}
	return ids
}

// remember keeps the addresses of instances that left the list while they are
// still charged.
func (p *Pool) remember(listed *member.View) {
	for id := range p.addresses {
		if _, ok := p.members[id]; !ok {
			delete(p.addresses, id)
		}
	}
	for _, i := range listed.Instances() {
		p.addresses[i.ID] = i
	}
}

// concerns reports whether a report to the peer says something of an endpoint.
func (p *Pool) concerns(s *delegation, id string, now time.Time) bool {
	if s.former[id] {
		return true
	}
	if s.home != id {
		return false
	}
	if s.inCell {
		return true
	}
	h, ok := p.hold(s.endpoint.ID)
	if !ok {
		return false
	}
	state := h.state(now)
	return state.wanted || state.total > 0 || state.held > 0
}
