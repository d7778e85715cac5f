package quota

import (
	"math"
	"slices"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
)

// rotationTerms is how many terms a member keeps a slot that it got by
// rounding. When such a slot moves to another member, it stays unused for up to
// one exchange period.
const rotationTerms = 6

// ledger is a home instance's record of one endpoint: its slow start, and the
// share and use of each member.
type ledger struct {
	createdAt time.Time
	// ready is set once slots may be granted; see checkReady.
	ready bool
	// allWorkKnown is set once a load report has shown that the endpoint runs
	// nothing but what the members have reported.
	allWorkKnown bool
	// newShareAt is when the last share arrived that may have been delegated to
	// another home instance before.
	newShareAt time.Time
	ramp       ramp
	entries    map[string]*entry
	rotation   int
	rotatedAt  time.Time
}

// entry records a member's share and use of an endpoint.
type entry struct {
	// divisor is n where the member has delegated 1/n of the endpoint, until
	// shareUntil.
	divisor    uint32
	shareUntil time.Time
	running    int
	held       int
	granted    int
	lastReport time.Time
	epoch      uint32
	successes  uint64
	// minRunning is the smallest running work that the member reported around
	// the load report requested at minRunningLoadAt; see observeRunning.
	minRunning       int
	minRunningLoadAt time.Time
	// sentLoadAt is the time of the last load report sent to the member.
	sentLoadAt time.Time
}

// acceptDelegation records a delegation of 1/divisor. If the share may have
// been delegated to another home instance in the meantime, the endpoint's
// running work has to be accounted for again.
func (p *Pool) acceptDelegation(l *ledger, e *entry, divisor uint32, now time.Time) {
	if e.shareUntil.IsZero() || now.Sub(e.shareUntil) >= p.delegationLifetime() {
		l.allWorkKnown, l.newShareAt = false, now
	}
	e.divisor, e.shareUntil = divisor, now.Add(p.term)
}

// charge returns the highest number of requests that the member may be running,
// as far as this ledger knows.
func (e *entry) charge() int { return max(e.running, e.held, e.granted) }

// memberState is what a home instance knows of a member across all endpoints.
type memberState struct {
	incarnation uint64
	previous    uint64
	sequence    uint64
	lastReport  time.Time
	costs       map[string]int64
	demands     map[string][]demand
	endpoints   map[string]bool
}

func (p *Pool) ledger(endpoint string, now time.Time) *ledger {
	l, ok := p.ledgers[endpoint]
	if !ok {
		l = &ledger{createdAt: now, entries: map[string]*entry{}, rotatedAt: now, ramp: ramp{epoch: 1}}
		p.ledgers[endpoint] = l
	}
	return l
}

// resetRamp restarts the slow start of an endpoint that has come back.
func (p *Pool) resetRamp(endpoint string) {
	if l, ok := p.ledgers[endpoint]; ok {
		l.ramp.reset()
	}
}

// expireEntries lowers the charges of dead and departed members, and deletes
// the entries that have neither a charge nor a share any more.
func (p *Pool) expireEntries(d *delegation, l *ledger, now time.Time) {
	for id, e := range l.entries {
		_, listed := p.layout.listed.Instance(id)
		dead := id != p.self && p.seams.Dead(id)
		if dead {
			e.running, e.held, e.granted = 0, 0, 0
		} else if !listed && now.Sub(e.lastReport) > p.membershipDelay() {
			p.chargeDeparted(d, l, e, now)
		}
		if e.charge() == 0 && !now.Before(e.shareUntil) && (dead || now.Sub(e.lastReport) > p.membershipDelay()) {
			delete(l.entries, id)
			if m, ok := p.members[id]; ok {
				delete(m.endpoints, d.endpoint.ID)
			}
		}
	}
}

// chargeDeparted lowers the charge of a member that left the list and reports
// no more. Its grants have ended, so it runs at most what the endpoint reports
// beyond the work of the others. No request outlives the highest deadline.
func (p *Pool) chargeDeparted(d *delegation, l *ledger, departed *entry, now time.Time) {
	most := departed.charge()
	load, ok := p.seams.Endpoints().Load(d.endpoint.ID)
	if ok && load.At.Sub(departed.lastReport) > p.membershipDelay() {
		others := 0
		for _, e := range l.entries {
			if e != departed && e.minRunningLoadAt.Equal(load.At) {
				others += e.minRunning
			}
		}
		most = min(most, max(load.Running-others, 0))
	}
	if now.Sub(departed.lastReport) > setting.Milliseconds(p.settings.DeadlineMaxMS)+p.membershipDelay() {
		most = 0
	}
	departed.running, departed.held, departed.granted = most, 0, 0
}

// budget returns the number of slots that correspond to the shares delegated to
// this instance.
func (l *ledger) budget(now time.Time) int {
	const epsilon = 1e-9 // Sums of fractions such as 7 times 1/7 fall short of 1.
	sum := 0.0
	for _, e := range l.entries {
		if e.divisor > 0 && now.Before(e.shareUntil) {
			sum += 1 / float64(e.divisor)
		}
	}
	sum = min(sum, 1)
	slots := int(math.Floor(float64(l.ramp.value)*sum + epsilon))
	// At most one home instance holds more than half of the shares, so it may
	// use the one slot of an endpoint at the start of the ramp. Otherwise one
	// silent member would leave such an endpoint without any slot.
	if slots == 0 && sum > 0.5+epsilon && l.ramp.value > 0 {
		return 1
	}
	return slots
}

// checkReady reports whether this instance knows enough of the endpoint's
// running work to grant slots: every member of the cell has reported or is
// dead, or one term has passed. When this is first so, it starts the ramp.
func (p *Pool) checkReady(d *delegation, l *ledger, now time.Time) bool {
	if l.ready {
		return true
	}
	missing := false
	for _, id := range d.cell {
		if _, reported := l.entries[id]; !reported && !p.seams.Dead(id) {
			missing = true
		}
	}
	if missing && now.Sub(l.createdAt) < p.term {
		return false
	}
	l.ready = true
	l.ramp.start()
	return true
}

// unknownWork returns the number of requests on the endpoint that no member has
// reported: they started under an earlier home instance, on a member that has
// not reported here. A share arrives only after all grants based on its earlier
// delegation have ended. From then on such work can only shrink, so one load
// report that shows none is enough. The result is -1 while no load report is
// new enough.
func (p *Pool) unknownWork(d *delegation, l *ledger) int {
	if l.allWorkKnown || d.endpoint.Kind != roster.KindEngine {
		return 0
	}
	load, ok := p.seams.Endpoints().Load(d.endpoint.ID)
	if !ok || load.At.Before(l.newShareAt) {
		p.pendingProbes = append(p.pendingProbes, d.endpoint.ID)
		return -1
	}
	known := 0
	for _, e := range l.entries {
		if e.minRunningLoadAt.Equal(load.At) {
			known += e.minRunning
		}
	}
	if load.Running <= known {
		l.allWorkKnown = true
		return 0
	}
	p.pendingProbes = append(p.pendingProbes, d.endpoint.ID)
	return max(load.Running-known, 0)
}

// observeRunning keeps the smallest running work that the member reported
// around the current load report. Work may end between the load report and the
// member's report, and the smaller figure never hides unknown work.
func (e *entry) observeRunning(running int, load roster.Load) {
	if !e.minRunningLoadAt.Equal(load.At) {
		e.minRunning, e.minRunningLoadAt = min(e.running, running), load.At
	}
	e.minRunning = min(e.minRunning, running)
}

// allot returns how many requests the member may run on the endpoint from now
// on. It returns false while this instance may not grant slots of the endpoint.
func (p *Pool) allot(d *delegation, l *ledger, id string, now time.Time) (int, bool) {
	if !d.usable || !p.checkReady(d, l, now) {
		return 0, false
	}
	// A grant runs for one term, so the work that earlier home instances
	// granted must be known or have ended.
	unknown := p.unknownWork(d, l)
	if unknown < 0 {
		return 0, false
	}
	if now.Sub(l.rotatedAt) >= rotationTerms*p.term {
		l.rotation, l.rotatedAt = l.rotation+1, now
	}
	budget := l.budget(now)
	headroom := budget - unknown
	for other, e := range l.entries {
		if other != id {
			headroom -= e.charge()
		}
	}
	share := p.fairShare(d, l, id, budget-unknown)
	return max(min(share, headroom), 0), true
}

// fairShare returns the member's fair part of the budget. Half of the slots
// without demand are spread over the cell, so that a request finds a slot
// without requesting one first. The other half stays for members that do
// request slots.
func (p *Pool) fairShare(d *delegation, l *ledger, id string, budget int) int {
	if budget <= 0 {
		return 0
	}
	var demands []demand
	sum, members := 0, 0
	for other := range l.entries {
		if m, ok := p.members[other]; ok {
			demands = append(demands, m.demands[d.endpoint.Model]...)
		}
		if slices.Contains(d.cell, other) {
			members++
		}
	}
	for _, d := range demands {
		sum += d.requests
	}
	share := divideSlots(budget, demands, l.rotation)[id]
	if idle := budget - sum; idle > 0 && slices.Contains(d.cell, id) {
		share += (idle + 2*members - 1) / (2 * members)
	}
	return share
}
