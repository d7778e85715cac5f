package share

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
	// callLimit bounds an exchange. It is below the term of a grant, which
	// starts when the report is sent.
	callLimit = 500 * time.Millisecond
	// askEvery is the shortest time between two exchanges on demand with one
	// peer.
	askEvery = 10 * time.Millisecond
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
		if !p.serveKicks(ctx, ticks.C, &calls) {
			return nil
		}
	}
}

// serveKicks asks on demand until the next period begins.
func (p *Pool) serveKicks(ctx context.Context, tick <-chan time.Time, calls *sync.WaitGroup) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-tick:
			return true
		case endpoint := <-p.kicks:
			if id := p.askable(endpoint); id != "" {
				calls.Go(func() { p.Exchange(ctx, id) })
			}
		}
	}
}

// askable returns the endpoint's home instance if it may be asked now.
func (p *Pool) askable(endpoint string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.delegations[endpoint]
	if !ok || s.home == "" {
		return ""
	}
	x, now := p.peer(s.home), p.timers.Now()
	if x.busy || now.Sub(x.asked) < askEvery {
		return ""
	}
	x.asked = now
	return s.home
}

// Exchange sends one report to a peer and takes its answer in. While an
// exchange with the peer is under way, another one does nothing. A report
// whose token was too old for delegations is followed by one with the new
// token, so that one lost exchange does not cost the shares of two periods.
func (p *Pool) Exchange(ctx context.Context, id string) {
	if stale := p.exchange(ctx, id); stale && ctx.Err() == nil {
		p.exchange(ctx, id)
	}
}

func (p *Pool) exchange(ctx context.Context, id string) (stale bool) {
	report, covered, ok := p.prepare(id)
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
		p.seams.Outcome(id, err)
	}
	if p.finish(id, report, covered, answer, sent) {
		p.notice.notify()
	}
	if answer != nil && id != p.self {
		p.learn(covered, answer)
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
		return p.Serve(report)
	}
	p.mu.Lock()
	instance, ok := p.addresses[id]
	p.mu.Unlock()
	if !ok {
		return nil, eris.Errorf("instance %s is not listed", id)
	}
	ctx, cancel := p.timers.WithTimeout(ctx, callLimit)
	defer cancel()
	answer, err := p.seams.Call(ctx, instance, report)
	return answer, eris.Wrapf(err, "exchange with %s", id)
}

// prepare builds the report for a peer. It marks the peer as busy.
func (p *Pool) prepare(id string) (*Report, []*delegation, bool) {
	// The queue may call this pool under its lock, so that it is asked before
	// the pool's own is taken.
	queued := p.seams.Queued()
	p.mu.Lock()
	defer p.mu.Unlock()
	x, now := p.peer(id), p.timers.Now()
	if x.busy {
		return nil, nil, false
	}
	// The age is read before the list, so that the list is at least as new.
	p.confirm(p.seams.ListAge(), now)
	if p.layout == nil || p.layout.listed != p.seams.Listed() {
		p.reconcileLocked(now)
	}
	x.busy, x.sent = true, now
	x.sequence++
	report := &Report{
		Member: p.self, Incarnation: p.incarnation, Sequence: x.sequence, HomeIncarnation: x.incarnation,
		Token: x.token, Leaving: p.leaving,
	}
	var covered []*delegation
	models := map[string]map[string]*Demand{}
	for _, s := range p.delegations {
		if !p.concerns(s, id, now) {
			continue
		}
		covered = append(covered, s)
		p.describe(report, s, id, now)
		models[s.endpoint.Model] = map[string]*Demand{}
	}
	p.describeDemand(report, models, queued)
	return report, covered, true
}

// describe adds one endpoint to a report.
func (p *Pool) describe(report *Report, s *delegation, id string, now time.Time) {
	x := p.peer(id)
	var state holding
	if h, ok := p.hold(s.endpoint.ID); ok {
		if state = h.state(now); state.rampPeriod.home != id && s.home == id && state.held > 0 {
			h.dropGrant()
			state.held = 0
		}
	}
	parts := p.parts(s, id, now)
	if x.token == 0 || now.Sub(x.tokenAt) >= p.term {
		// The home instance does not count a delegation with an old token.
		parts = 0
	}
	if parts > 0 {
		// Without an answer, the home instance may count the delegation until
		// the token is one term old and then for one term; its grants run for
		// one more.
		s.delegate = id
		s.lapse = later(s.lapse, x.tokenAt.Add(p.lapse()))
	}
	report.Endpoints = append(report.Endpoints, s.hash)
	report.Parts = append(report.Parts, parts)
	report.Running = append(report.Running, uint32(state.total))
	report.Held = append(report.Held, uint32(state.held))
	d := &Detail{Index: uint32(len(report.Endpoints) - 1)}
	if state.rampPeriod.home == id && state.rampPeriod.incarnation == x.incarnation {
		d.Epoch, d.Good, d.Cold = state.rampPeriod.epoch, state.good, state.cold
	} else if state.ramp > 0 {
		d.Ramp, d.RampAgeMs = uint32(state.ramp), uint32(state.rampAge.Milliseconds())
	}
	if d.Good > 0 || d.Cold || d.Ramp > 0 {
		report.Details = append(report.Details, d)
	}
}

// describeDemand adds the queued and running work for the report's models.
func (p *Pool) describeDemand(report *Report, models map[string]map[string]*Demand, queued []Queued) {
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
	p.holds.Range(func(_, v any) bool {
		h := v.(*hold)
		h.mu.Lock()
		defer h.mu.Unlock()
		for account, n := range h.running {
			if d := add(h.model, account); d != nil {
				d.Running += uint32(n)
			}
		}
		for account, cost := range h.costs {
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

// finish takes the answer in; without one the peer is only no longer busy. It
// reports whether slots have become free.
func (p *Pool) finish(id string, report *Report, covered []*delegation, answer *Answer, sent time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	x, now := p.peer(id), p.timers.Now()
	x.busy = false
	if answer == nil {
		return false
	}
	x.incarnation, x.token, x.tokenAt = answer.Incarnation, answer.Token, now
	freed := false
	for i, s := range covered {
		if report.Running[i] == 0 {
			delete(s.former, id)
		}
		if report.Parts[i] > 0 {
			// The answer proves that this report and no later one is counted.
			s.lapse = now.Add(2 * p.term)
		}
		if s.home == id && i < len(answer.Allotments) && p.takeGrant(s, id, i, answer, now, sent) {
			freed = true
		}
	}
	return freed
}

// learn passes on the load reports of an answer.
func (p *Pool) learn(covered []*delegation, answer *Answer) {
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

func (p *Pool) takeGrant(s *delegation, id string, i int, answer *Answer, now, sent time.Time) bool {
	allotment := int(answer.Allotments[i])
	h, ok := p.hold(s.endpoint.ID)
	if allotment == 0 && !ok {
		return false
	}
	if !ok {
		h = p.addHold(s.endpoint)
	}
	at := rampPeriod{home: id, incarnation: answer.Incarnation, epoch: answer.Epochs[i]}
	return h.grant(max(allotment-1, 0), int(answer.Ramps[i]), at, now, sent.Add(p.term))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Call returns the seam of the same name, which sends reports over client.
func Call(client *http.Client) func(context.Context, member.Instance, *Report) (*Answer, error) {
	return func(ctx context.Context, peer member.Instance, report *Report) (*Answer, error) {
		return NewSharesProtobufClient(fleet.URL(peer.Peer), client).Exchange(ctx, report)
	}
}

// Server returns the twirp server for the exchange.
func (p *Pool) Server() http.Handler { return NewSharesServer(server{p}) }

type server struct{ pool *Pool }

// Exchange serves a report of a member.
func (s server) Exchange(_ context.Context, report *Report) (*Answer, error) {
	return s.pool.Serve(report)
}

// Serve takes a member's report in and answers with grants.
func (p *Pool) Serve(report *Report) (*Answer, error) {
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
	m, err := p.admit(report, now)
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
	for _, d := range report.Details {
		if int(d.Index) < n {
			details[d.Index] = d
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

// admit finds the member's record and rejects reports that come late.
func (p *Pool) admit(report *Report, now time.Time) (*reporter, error) {
	m, ok := p.members[report.Member]
	switch {
	case !ok:
		m = &reporter{entries: map[string]bool{}}
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
		for id := range m.entries {
			if l, ok := p.ledgers[id]; ok {
				delete(l.entries, report.Member)
			}
		}
		m.entries, m.previous = map[string]bool{}, m.incarnation
	}
	m.incarnation, m.sequence, m.heard = report.Incarnation, report.Sequence, now
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

func (p *Pool) serveEndpoint(m *reporter, report *Report, i int, id string, d *Detail, fresh bool, answer *Answer, now time.Time) {
	s := p.delegations[id]
	uses := report.Parts[i] > 0 || report.Running[i] > 0 || report.Held[i] > 0
	if _, ok := p.ledgers[id]; !ok && s.home != p.self && !uses {
		return
	}
	l := p.ledger(id, now)
	e, ok := l.entries[report.Member]
	if !ok {
		e = &entry{}
		l.entries[report.Member] = e
		m.entries[id] = true
	}
	load, loaded := p.seams.Endpoints().Load(id)
	e.observe(int(report.Running[i]), load)
	e.running, e.held, e.granted, e.heard = int(report.Running[i]), int(report.Held[i]), 0, now
	if report.Parts[i] > 0 && fresh {
		p.own(l, e, report.Parts[i], now)
	} else if report.Leaving {
		e.parts, e.partsUntil = 0, now
	}
	p.climb(s, l, e, d, load, report.HomeIncarnation == p.incarnation)
	slots, granting := p.allot(s, l, report.Member, now)
	if granting {
		answer.Allotments[i] = uint32(slots) + 1
		e.granted = slots
	}
	answer.Ramps[i], answer.Epochs[i] = uint32(l.ramp.value), l.ramp.epoch
	if loaded && !e.loadAt.Equal(load.At) {
		e.loadAt = load.At
		answer.Loads = append(answer.Loads, &Load{
			Index: uint32(i), Running: uint32(load.Running), Waiting: uint32(load.Waiting), Limit: uint32(load.Limit),
			Version: uint32(load.Version), AgeMs: uint32(now.Sub(load.At).Milliseconds()),
		})
	}
}

// climb moves the ramp by what the member reports.
func (p *Pool) climb(s *delegation, l *ledger, e *entry, d *Detail, load roster.Load, same bool) {
	limit := p.seams.Slots(s.endpoint.Model)
	if load.Limit > 0 {
		limit = min(limit, load.Limit)
	}
	l.ramp.bound(limit)
	if d == nil {
		return
	}
	if !l.settled && d.Ramp > 0 && time.Duration(d.RampAgeMs)*time.Millisecond <= p.term {
		l.ramp.hand(int(d.Ramp))
	}
	if !same || d.Epoch != l.ramp.epoch {
		return
	}
	if d.Cold {
		l.ramp.drop()
		return
	}
	if e.epoch != d.Epoch {
		e.epoch, e.good = d.Epoch, 0
	}
	if d.Good > e.good {
		l.ramp.succeed(d.Good - e.good)
		e.good = d.Good
	}
}
