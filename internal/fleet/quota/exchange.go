package quota

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
	"github.com/wigeonpin/wigeonpin/internal/peer/fleet"
)

const (
	// callTimeout bounds an exchange. It is below the term of a grant, which
	// starts when the report is sent.
	callTimeout = 500 * time.Millisecond
	// minRequestInterval is the shortest time between two exchanges on demand
	// with one peer.
	minRequestInterval = 10 * time.Millisecond
)

// Run exchanges with the other members until ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	ticks := p.timers.Subscribe(setting.Milliseconds(p.settings.ExchangeMS))
	defer ticks.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		p.reconcile()
		for _, id := range p.targets(p.timers.Now()) {
			calls.Go(func() { p.Exchange(ctx, id) })
		}
		if !p.serveRequests(ctx, ticks.C, &calls) {
			return nil
		}
	}
}

// serveRequests starts the exchanges that are requested on demand until the
// next period begins. It returns false when ctx ends.
func (p *Pool) serveRequests(ctx context.Context, tick <-chan time.Time, calls *sync.WaitGroup) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-tick:
			return true
		case endpoint := <-p.exchangeRequests:
			if id := p.requestTarget(endpoint); id != "" {
				calls.Go(func() { p.Exchange(ctx, id) })
			}
		}
	}
}

// requestTarget returns the endpoint's home instance, or "" if an exchange with
// it is in flight or was requested less than minRequestInterval ago.
func (p *Pool) requestTarget(endpoint string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	d, ok := p.delegations[endpoint]
	if !ok || d.home == "" {
		return ""
	}
	remote, now := p.peer(d.home), p.timers.Now()
	if remote.inFlight || now.Sub(remote.lastRequested) < minRequestInterval {
		return ""
	}
	remote.lastRequested = now
	return d.home
}

// Exchange sends one report to a peer and applies its answer. While an exchange
// with the peer is in flight, another one does nothing. A report whose token
// was too old for delegations is followed by one with the new token, so that
// one lost exchange does not cost the shares of two periods.
func (p *Pool) Exchange(ctx context.Context, id string) {
	if stale := p.exchange(ctx, id); stale && ctx.Err() == nil {
		p.exchange(ctx, id)
	}
}

func (p *Pool) exchange(ctx context.Context, id string) (stale bool) {
	report, covered, ok := p.buildReport(id)
	if !ok {
		return false
	}
	sent := p.timers.Now()
	stale = report.Token == 0 || p.tokenAge(id) >= p.term
	answer, err := p.send(ctx, id, report)
	if err != nil {
		p.log.WithError(err).WithField(logs.Peer, id).Debug("exchange of shares failed")
	}
	if id != p.self {
		p.seams.CallDone(id, err)
	}
	if p.applyAnswer(id, report, covered, answer, sent) {
		p.notifier.notify()
	}
	if answer != nil && id != p.self {
		p.applyLoads(covered, answer)
	}
	return stale && err == nil
}

func (p *Pool) tokenAge(id string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.timers.Since(p.peer(id).tokenAt)
}

func (p *Pool) send(ctx context.Context, id string, report *Report) (*Answer, error) {
	if id == p.self {
		return p.HandleReport(report)
	}
	p.mu.Lock()
	instance, ok := p.addresses[id]
	p.mu.Unlock()
	if !ok {
		return nil, eris.Errorf("instance %s is not listed", id)
	}
	ctx, cancel := p.timers.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := p.seams.Call(ctx, instance, report)
	return answer, eris.Wrapf(err, "exchange with %s", id)
}

// buildReport builds the report for a peer and marks the exchange with it as in
// flight. It returns false if one already is.
func (p *Pool) buildReport(id string) (*Report, []*delegation, bool) {
	// The queue may call this pool while holding its own lock, so it is read
	// before the pool's lock is taken.
	queued := p.seams.Queued()
	p.mu.Lock()
	defer p.mu.Unlock()
	remote, now := p.peer(id), p.timers.Now()
	if remote.inFlight {
		return nil, nil, false
	}
	// The age is read before the list, so that the list is at least as new.
	p.confirmList(p.seams.ListAge(), now)
	if p.layout == nil || p.layout.listed != p.seams.Listed() {
		p.reconcileLocked(now)
	}
	remote.inFlight, remote.lastSent = true, now
	remote.sequence++
	report := &Report{
		Member: p.self, Incarnation: p.incarnation, Sequence: remote.sequence, HomeIncarnation: remote.incarnation,
		Token: remote.token, Leaving: p.leaving,
	}
	var covered []*delegation
	models := map[string]map[string]*Demand{}
	for _, d := range p.delegations {
		if !p.isReportedTo(d, id, now) {
			continue
		}
		covered = append(covered, d)
		p.appendEndpoint(report, d, id, now)
		models[d.endpoint.Model] = map[string]*Demand{}
	}
	p.appendDemand(report, models, queued)
	return report, covered, true
}

// appendEndpoint adds one endpoint to a report.
func (p *Pool) appendEndpoint(report *Report, d *delegation, id string, now time.Time) {
	remote := p.peer(id)
	var state slotState
	if slots, ok := p.endpointSlots(d.endpoint.ID); ok {
		if state = slots.state(now); state.rampPeriod.home != id && d.home == id && state.held > 0 {
			slots.dropGrant()
			state.held = 0
		}
	}
	divisor := p.shareDivisor(d, id, now)
	if remote.token == 0 || now.Sub(remote.tokenAt) >= p.term {
		// The home instance does not count a delegation with an old token.
		divisor = 0
	}
	if divisor > 0 {
		// Even if no answer arrives, the home instance may accept the
		// delegation until the token is one term old and count it for one term.
		// Its grants run for one more term.
		d.delegatedTo = id
		d.expiry = later(d.expiry, remote.tokenAt.Add(p.delegationLifetime()))
	}
	report.Endpoints = append(report.Endpoints, d.hash)
	report.Parts = append(report.Parts, divisor)
	report.Running = append(report.Running, uint32(state.running))
	report.Held = append(report.Held, uint32(state.held))
	detail := &Detail{Index: uint32(len(report.Endpoints) - 1)}
	if state.rampPeriod.home == id && state.rampPeriod.incarnation == remote.incarnation {
		detail.Epoch, detail.Good, detail.Cold = state.rampPeriod.epoch, state.successes, state.cold
	} else if state.ramp > 0 {
		detail.Ramp, detail.RampAgeMs = uint32(state.ramp), uint32(state.rampAge.Milliseconds())
	}
	if detail.Good > 0 || detail.Cold || detail.Ramp > 0 {
		report.Details = append(report.Details, detail)
	}
}

// appendDemand adds the queued and running work for the report's models.
func (p *Pool) appendDemand(report *Report, models map[string]map[string]*Demand, queued []Backlog) {
	add := func(model, account string) *Demand {
		byAccount, ok := models[model]
		if !ok {
			return nil
		}
		d, ok := byAccount[account]
		if !ok {
			d = &Demand{Model: model, Account: account}
			byAccount[account] = d
			report.Demand = append(report.Demand, d)
		}
		return d
	}
	costs := map[string]int64{}
	p.slots.Range(func(_, v any) bool {
		slots := v.(*endpointSlots)
		slots.mu.Lock()
		defer slots.mu.Unlock()
		for account, n := range slots.runningByAccount {
			if d := add(slots.model, account); d != nil {
				d.Running += uint32(n)
			}
		}
		for account, cost := range slots.costByAccount {
			costs[account] += cost
		}
		return true
	})
	for _, q := range queued {
		if d := add(q.Model, q.Account); d != nil {
			d.Queued += uint32(q.Requests)
			if q.Weight != 1 {
				d.Weight = float32(q.Weight)
			}
		}
	}
	for account, cost := range costs {
		report.Costs = append(report.Costs, &Cost{Account: account, Running: cost})
	}
}

// applyAnswer applies a peer's answer and marks the exchange as ended; a nil
// answer only does the latter. It reports whether slots have become free.
func (p *Pool) applyAnswer(id string, report *Report, covered []*delegation, answer *Answer, sent time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	remote, now := p.peer(id), p.timers.Now()
	remote.inFlight = false
	if answer == nil {
		return false
	}
	remote.incarnation, remote.token, remote.tokenAt = answer.Incarnation, answer.Token, now
	freed := false
	for i, d := range covered {
		if report.Running[i] == 0 {
			delete(d.formerHomes, id)
		}
		if report.Parts[i] > 0 {
			// The answer proves that this report and no later one is counted.
			d.expiry = now.Add(2 * p.term)
		}
		if d.home == id && i < len(answer.Allotments) && p.applyGrant(d, id, i, answer, now, sent) {
			freed = true
		}
	}
	return freed
}

// applyLoads passes on the load reports of an answer.
func (p *Pool) applyLoads(covered []*delegation, answer *Answer) {
	now := p.timers.Now()
	for _, l := range answer.Loads {
		if int(l.Index) < len(covered) {
			p.seams.Learn(covered[l.Index].id, roster.Load{
				Running: int(l.Running), Waiting: int(l.Waiting), Limit: int(l.Limit), Version: int(l.Version),
				At: now.Add(-time.Duration(l.AgeMs) * time.Millisecond),
			})
		}
	}
}

func (p *Pool) applyGrant(d *delegation, id string, i int, answer *Answer, now, sent time.Time) bool {
	allotment := int(answer.Allotments[i])
	slots, ok := p.endpointSlots(d.endpoint.ID)
	if allotment == 0 && !ok {
		return false
	}
	if !ok {
		slots = p.addEndpointSlots(d.endpoint)
	}
	period := rampPeriod{home: id, incarnation: answer.Incarnation, epoch: answer.Epochs[i]}
	return slots.grant(max(allotment-1, 0), int(answer.Ramps[i]), period, now, sent.Add(p.term))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Call returns a function for Seams.Call that sends reports over client.
func Call(client *http.Client) func(context.Context, member.Instance, *Report) (*Answer, error) {
	return func(ctx context.Context, peer member.Instance, report *Report) (*Answer, error) {
		return NewSharesProtobufClient(fleet.URL(peer.Peer), client).Exchange(ctx, report)
	}
}

// Server returns the twirp handler that serves the exchange.
func (p *Pool) Server() http.Handler { return NewSharesServer(server{p}) }

type server struct{ pool *Pool }

// Exchange serves a report of a member.
func (s server) Exchange(_ context.Context, report *Report) (*Answer, error) {
	return s.pool.HandleReport(report)
}

// HandleReport applies a member's report to the ledgers and answers with grants.
func (p *Pool) HandleReport(report *Report) (*Answer, error) {
	n := len(report.Endpoints)
	if report.Member == "" || len(report.Parts) != n || len(report.Running) != n || len(report.Held) != n {
		return nil, code.New(code.BadRequest, "the report's lists differ in length")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.layout == nil {
		return nil, code.New(code.NotReady, "the instance has no list of instances yet")
	}
	now := p.timers.Now()
	m, err := p.admitReport(report, now)
	if err != nil {
		return nil, err
	}
	answer := &Answer{
		Incarnation: p.incarnation, Token: uint64(now.Sub(p.started)) + 1,
		Allotments: make([]uint32, n), Ramps: make([]uint32, n), Epochs: make([]uint32, n),
	}
	fresh := report.HomeIncarnation == p.incarnation && report.Token > 0 &&
		now.Sub(p.started)+1-time.Duration(report.Token) < p.term
	details := make([]*Detail, n)
	for _, detail := range report.Details {
		if int(detail.Index) < n {
			details[detail.Index] = detail
		}
	}
	for i, hash := range report.Endpoints {
		id, ok := p.byHash[hash]
		if !ok {
			continue
		}
		p.serveEndpoint(m, report, i, id, details[i], fresh, answer, now)
	}
	return answer, nil
}

// admitReport updates and returns the member's state. It rejects reports that
// arrive out of order or from an earlier process of the member.
func (p *Pool) admitReport(report *Report, now time.Time) (*memberState, error) {
	m, ok := p.members[report.Member]
	switch {
	case !ok:
		m = &memberState{endpoints: map[string]bool{}}
		p.members[report.Member] = m
	case m.previous == report.Incarnation:
		return nil, code.New(code.BadRequest, "a report of an earlier process of %s", report.Member)
	case m.incarnation == report.Incarnation:
		if report.Sequence <= m.sequence {
			return nil, code.New(code.BadRequest, "report %d of %s came after report %d", report.Sequence, report.Member, m.sequence)
		}
	default:
		// The member's process was replaced: the work of the earlier one has
		// ended with its connections.
		for id := range m.endpoints {
			if l, ok := p.ledgers[id]; ok {
				delete(l.entries, report.Member)
			}
		}
		m.endpoints, m.previous = map[string]bool{}, m.incarnation
	}
	m.incarnation, m.sequence, m.lastReport = report.Incarnation, report.Sequence, now
	m.costs = map[string]int64{}
	for _, c := range report.Costs {
		m.costs[c.Account] += c.Running
	}
	m.demands = map[string][]demand{}
	for _, d := range report.Demand {
		m.demands[d.Model] = append(m.demands[d.Model], demand{
			account: d.Account, member: report.Member, requests: int(d.Queued) + int(d.Running), weight: weightOf(d),
		})
	}
	return m, nil
}

func weightOf(d *Demand) float64 {
	if d.Weight == 0 {
		return 1
	}
	return float64(d.Weight)
}

func (p *Pool) serveEndpoint(m *memberState, report *Report, i int, id string, detail *Detail, fresh bool, answer *Answer, now time.Time) {
	d := p.delegations[id]
	uses := report.Parts[i] > 0 || report.Running[i] > 0 || report.Held[i] > 0
	if _, ok := p.ledgers[id]; !ok && d.home != p.self && !uses {
		return
	}
	l := p.ledger(id, now)
	e, ok := l.entries[report.Member]
	if !ok {
		e = &entry{}
		l.entries[report.Member] = e
		m.endpoints[id] = true
	}
	load, loaded := p.seams.Endpoints().Load(id)
	e.observeRunning(int(report.Running[i]), load)
	e.running, e.held, e.granted, e.lastReport = int(report.Running[i]), int(report.Held[i]), 0, now
	if report.Parts[i] > 0 && fresh {
		p.acceptDelegation(l, e, report.Parts[i], now)
	} else if report.Leaving {
		e.divisor, e.shareUntil = 0, now
	}
	p.updateRamp(d, l, e, detail, load, report.HomeIncarnation == p.incarnation)
	slots, granting := p.allot(d, l, report.Member, now)
	if granting {
		answer.Allotments[i] = uint32(slots) + 1
		e.granted = slots
	}
	answer.Ramps[i], answer.Epochs[i] = uint32(l.ramp.value), l.ramp.epoch
	if loaded && !e.sentLoadAt.Equal(load.At) {
		e.sentLoadAt = load.At
		answer.Loads = append(answer.Loads, &Load{
			Index: uint32(i), Running: uint32(load.Running), Waiting: uint32(load.Waiting), Limit: uint32(load.Limit),
			Version: uint32(load.Version), AgeMs: uint32(now.Sub(load.At).Milliseconds()),
		})
	}
}

// updateRamp applies the successes and degradations that the member reports to
// the ramp; current is whether they belong to this run of the home instance.
func (p *Pool) updateRamp(d *delegation, l *ledger, e *entry, detail *Detail, load roster.Load, current bool) {
	limit := p.seams.SlotLimit(d.endpoint.Model)
	if load.Limit > 0 {
		limit = min(limit, load.Limit)
	}
	l.ramp.setLimit(limit)
	if detail == nil {
		return
	}
	if !l.ready && detail.Ramp > 0 && time.Duration(detail.RampAgeMs)*time.Millisecond <= p.term {
		l.ramp.inherit(int(detail.Ramp))
	}
	if !current || detail.Epoch != l.ramp.epoch {
		return
	}
	if detail.Cold {
		l.ramp.reset()
		return
	}
	if e.epoch != detail.Epoch {
		e.epoch, e.successes = detail.Epoch, 0
	}
	if detail.Good > e.successes {
		l.ramp.addSuccesses(detail.Good - e.successes)
		e.successes = detail.Good
	}
}
