package share

import (
	"math"
	"slices"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
)

// turnTerms is how many terms a member keeps a slot that rounding gave it.
// Between two members the slot stays unused for up to one exchange period.
const turnTerms = 6

// ledger is a home instance's account of one endpoint.
type ledger struct {
	since   time.Time
	settled bool
	// explained: a load report has shown that the endpoint runs nothing but
	// what the members have reported.
	explained bool
	// shared is when a share arrived that may have been delegated elsewhere.
	shared  time.Time
	ramp    ramp
	entries map[string]*entry
	turn    int
	turned  time.Time
}

// entry is what a member owns and uses of an endpoint.
type entry struct {
	parts      uint32
	partsUntil time.Time
	running    int
	held       int
	granted    int
	heard      time.Time
	epoch      uint32
	good       uint64
	// least is the smallest running work reported since the load report at
	// leastAt was asked for.
	least   int
	leastAt time.Time
	loadAt  time.Time
}

// own takes a delegation of 1/parts. When the share may have been delegated to
// another home instance in the meantime, the endpoint's work has to be
// explained again.
func (p *Pool) own(l *ledger, e *entry, parts uint32, now time.Time) {
	if e.partsUntil.IsZero() || now.Sub(e.partsUntil) >= p.lapse() {
		l.explained, l.shared = false, now
	}
	e.parts, e.partsUntil = parts, now.Add(p.term)
}

// charge is the most that the member may run, as far as this ledger knows.
func (e *entry) charge() int { return max(e.running, e.held, e.granted) }

// reporter is what a home instance knows of a member over all endpoints.
type reporter struct {
	incarnation uint64
	previous    uint64
	sequence    uint64
	heard       time.Time
	costs       map[string]int64
	demands     map[string][]demand
	entries     map[string]bool
}

func (p *Pool) ledger(endpoint string, now time.Time) *ledger {
	l, ok := p.ledgers[endpoint]
	if !ok {
		l = &ledger{since: now, entries: map[string]*entry{}, turned: now, ramp: ramp{epoch: 1}}
		p.ledgers[endpoint] = l
	}
	return l
}

// coldStart returns an endpoint that came back to the foot of the ramp.
func (p *Pool) coldStart(endpoint string) {
	if l, ok := p.ledgers[endpoint]; ok {
		l.ramp.drop()
	}
}

// expire drops entries that charge and own nothing any more.
func (p *Pool) expire(s *delegation, l *ledger, now time.Time) {
	for id, e := range l.entries {
		_, listed := p.layout.listed.Instance(id)
		dead := id != p.self && p.seams.Dead(id)
		if dead {
			e.running, e.held, e.granted = 0, 0, 0
		} else if !listed && now.Sub(e.heard) > p.settling() {
			p.chargeDeparted(s, l, e, now)
		}
		if e.charge() == 0 && !now.Before(e.partsUntil) && (dead || now.Sub(e.heard) > p.settling()) {
			delete(l.entries, id)
			if m, ok := p.members[id]; ok {
				delete(m.entries, s.endpoint.ID)
			}
		}
	}
}

// chargeDeparted lowers the charge of a member that left the list in silence. Its grants
// have ended, so it runs at most what the endpoint reports beyond the work of
// the others; and no request outlives the highest deadline.
func (p *Pool) chargeDeparted(s *delegation, l *ledger, gone *entry, now time.Time) {
	most := gone.charge()
	load, ok := p.seams.Endpoints().Load(s.endpoint.ID)
	if ok && load.At.Sub(gone.heard) > p.settling() {
		others := 0
		for _, e := range l.entries {
			if e != gone && e.leastAt.Equal(load.At) {
				others += e.least
			}
		}
		most = min(most, max(load.Running-others, 0))
	}
	if now.Sub(gone.heard) > setting.Milliseconds(p.settings.DeadlineMaxMS)+p.settling() {
		most = 0
	}
	gone.running, gone.held, gone.granted = most, 0, 0
}

// budget is the number of slots that the shares delegated to this instance
// amount to.
func (l *ledger) budget(now time.Time) int {
	const slack = 1e-9 // Sums of fractions such as 7 times 1/7 fall short of 1.
	sum := 0.0
	for _, e := range l.entries {
		if e.parts > 0 && now.Before(e.partsUntil) {
			sum += 1 / float64(e.parts)
		}
	}
	sum = min(sum, 1)
	slots := int(math.Floor(float64(l.ramp.value)*sum + slack))
	// At most one home instance holds more than half of the shares, so it may
	// use the one slot of an endpoint at the foot of the ramp; otherwise one
	// silent member would close such an endpoint.
	if slots == 0 && sum > 0.5+slack && l.ramp.value > 0 {
		return 1
	}
	return slots
}

// settle decides whether this instance knows enough of the endpoint's running
// work to grant slots.
func (p *Pool) settle(s *delegation, l *ledger, now time.Time) bool {
	if l.settled {
		return true
	}
	missing := false
	for _, id := range s.cell {
		if _, heard := l.entries[id]; !heard && !p.seams.Dead(id) {
			missing = true
		}
	}
	if missing && now.Sub(l.since) < p.term {
		return false
	}
	l.settled = true
	l.ramp.start()
	return true
}

// unknown is the work on the endpoint that no member accounts for: it started
// under an earlier home instance, on a member that has not reported here. A
// share arrives only after all grants based on its earlier delegation have
// ended, so from then on such work can only shrink, and one load report that
// shows none settles it. The result is -1 while no load report says.
func (p *Pool) unknown(s *delegation, l *ledger) int {
	if l.explained || s.endpoint.Kind != roster.KindEngine {
		return 0
	}
	load, ok := p.seams.Endpoints().Load(s.endpoint.ID)
	if !ok || load.At.Before(l.shared) {
		p.probes = append(p.probes, s.endpoint.ID)
		return -1
	}
	known := 0
	for _, e := range l.entries {
		if e.leastAt.Equal(load.At) {
			known += e.least
		}
	}
	if load.Running <= known {
		l.explained = true
		return 0
	}
	p.probes = append(p.probes, s.endpoint.ID)
	return max(load.Running-known, 0)
}

// observe keeps the smallest work that the member reported around the current
// load report. The work may end between the report of the load and that of
// the member, and the smaller figure never hides work that is unknown.
func (e *entry) observe(running int, load roster.Load) {
	if !e.leastAt.Equal(load.At) {
		e.least, e.leastAt = min(e.running, running), load.At
	}
	e.least = min(e.least, running)
}

// allot decides how many slots the member may run on the endpoint from now.
func (p *Pool) allot(s *delegation, l *ledger, id string, now time.Time) (int, bool) {
	if !s.usable || !p.settle(s, l, now) {
		return 0, false
	}
	// A grant runs for one term: the work of earlier home instances must be
	// known, or be over.
	unknown := p.unknown(s, l)
	if unknown < 0 {
		return 0, false
	}
	if now.Sub(l.turned) >= turnTerms*p.term {
		l.turn, l.turned = l.turn+1, now
	}
	budget := l.budget(now)
	headroom := budget - unknown
	for other, e := range l.entries {
		if other != id {
			headroom -= e.charge()
		}
	}
	wanted := p.wanted(s, l, id, budget-unknown)
	return max(min(wanted, headroom), 0), true
}

// wanted is the member's fair part of the budget. Half of what nobody asks for
// is spread over the cell, so that a request finds a slot without asking; the
// other half stays for members that do ask.
func (p *Pool) wanted(s *delegation, l *ledger, id string, budget int) int {
	if budget <= 0 {
		return 0
	}
	var demands []demand
	sum, members := 0, 0
	for other := range l.entries {
		if m, ok := p.members[other]; ok {
			demands = append(demands, m.demands[s.endpoint.Model]...)
		}
		if slices.Contains(s.cell, other) {
			members++
		}
	}
	for _, d := range demands {
		sum += d.requests
	}
	part := divide(budget, demands, l.turn)[id]
	if idle := budget - sum; idle > 0 && slices.Contains(s.cell, id) {
		part += (idle + 2*members - 1) / (2 * members)
	}
	return part
}
