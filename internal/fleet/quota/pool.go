// Package quota bounds the combined load of each endpoint. The instances of a
// cell own equal shares of an endpoint's limit and delegate them to the one
// home instance of the endpoint, which grants slots to all instances out of
// the sum. The limit follows a slow-start ramp. No lease and no quorum is
// needed: home instances chosen from diverging views hold shares whose sum is
// at most one.
//
// # Usage
//
//	pool := quota.New(settings, timers, seams, log)
//	go pool.Run(ctx)
//	slot, ok := pool.Take("endpoint-7", "acme")
//	if !ok {
//		pool.RequestSlots("endpoint-7") // and wait for Changed
//	}
//	defer slot.Release(quota.Outcome{FirstToken: first, Took: took})
//
// The rules that keep the running work within the limit:
//
//   - A delegation carries the token of the home instance's previous answer, so
//     that a delegation that arrives late is not counted.
//   - A member delegates to another home instance only once the earlier
//     delegation and all grants based on it have expired.
//   - A member whose list may be out of date delegates nothing.
//   - A member that joins delegates nothing until all others count it.
//   - A member that left the list is counted until it can no longer delegate.
//   - What a member runs, holds or was granted last is charged until it
//     reports again or is proved dead.
package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
)

// Backlog is an account's queued work for a model on this instance.
type Backlog struct {
	Model, Account string
	Requests       int
	Weight         float64
}

// Seams are the functions that a Pool needs.
type Seams struct {
	// Listed returns the platform's list of instances. It determines the cells.
	Listed func() *member.View
	// ListAge returns how long another instance of the zone may have had a
	// newer list of the zone than this one. It is measured from the time at
	// which the call to the platform was sent, also for lists received through
	// other instances. While the platform is down, the age stays low as long as
	// there is evidence that no instance of the zone reaches the platform.
	ListAge func() time.Duration
	// Alive returns the instances that answer. It determines the home
	// instances.
	Alive func() *member.View
	// Dead reports whether the instance's process has provably ended.
	Dead func(id string) bool
	// CallDone is called with the result of each call to a peer; err is nil for
	// success.
	CallDone func(id string, err error)
	// Endpoints returns the current endpoints, Learn stores a load report
	// received from a home instance, and Probe requests a new load report soon.
	Endpoints func() *roster.Snapshot
	Learn     func(endpoint string, load roster.Load)
	Probe     func(endpoint string)
	// SlotLimit returns the highest number of requests that may run on one
	// endpoint of the model at a time.
	SlotLimit func(model string) int
	// Queued returns the queued work of this instance.
	Queued func() []Backlog
	// Call sends a report to another instance.
	Call func(ctx context.Context, peer member.Instance, report *Report) (*Answer, error)
}

// Pool holds the slots of this instance and the ledgers of the endpoints whose
// home instance it is.
type Pool struct {
	settings    setting.Settings
	timers      *clock.Service
	seams       Seams
	log         *logrus.Entry
	self, zone  string
	incarnation uint64
	started     time.Time
	term        time.Duration
	listLag     time.Duration

	slots            sync.Map // endpoint ID to *endpointSlots
	costs            atomic.Pointer[map[string]int64]
	notifier         notifier
	exchangeRequests chan string

	mu      sync.Mutex
	leaving bool
	// fenced is set while this instance may have left the list, or another may
	// have joined, without its knowledge. A fenced instance delegates nothing.
	fenced bool
	// listConfirmedAt is the latest time at which this instance is known to
	// have had the current list.
	listConfirmedAt time.Time
	layout          *cellLayout
	alive           *member.View
	snapshot        *roster.Snapshot
	cellDelegations []*delegation // of the endpoints of the own cell
	pendingProbes   []string
	ownCell         ownCell
	delegations     map[string]*delegation
	peers           map[string]*peer
	ledgers         map[string]*ledger
	members         map[string]*memberState
	byHash          map[uint64]string
	// addresses holds the instances that are listed or still charged.
	addresses map[string]member.Instance
}

// New returns a pool that holds no slot yet.
func New(settings setting.Settings, timers *clock.Service, seams Seams, log *logrus.Entry) *Pool {
	p := &Pool{
		settings: settings, timers: timers, seams: seams, log: log,
		self: settings.ID, zone: settings.Zone, incarnation: rand.Uint64(), started: timers.Now(),
		term: setting.Milliseconds(settings.ShareMS), listLag: setting.Milliseconds(settings.ListLagMS),
		exchangeRequests: make(chan string, 64),
		delegations:      map[string]*delegation{}, peers: map[string]*peer{}, ledgers: map[string]*ledger{},
		members: map[string]*memberState{}, byHash: map[uint64]string{}, addresses: map[string]member.Instance{},
	}
	p.notifier.changed = make(chan struct{})
	p.costs.Store(&map[string]int64{})
	return p
}

// delegationLifetime is the time after which a delegation that is sent now, and
// every grant based on it, has ended: the home instance accepts a token for one
// term, counts the delegation for one term, and its grants run for one term.
func (p *Pool) delegationLifetime() time.Duration { return 3 * p.term }

// maxListAge is the age of the list above which a member is fenced.
func (p *Pool) maxListAge() time.Duration { return min(p.listLag, p.delegationLifetime()) }

// membershipDelay is the time after which a member that left the list owns no
// share any more, and after which one that joined is counted by all. It
// includes maxListAge twice: a member may miss its own absence from the list
// for that long, and another one may miss that it was back on the list in
// between.
func (p *Pool) membershipDelay() time.Duration { return 2*p.maxListAge() + p.delegationLifetime() }

func hashOf(id string) uint64 { return xxhash.Sum64String(id) }

// notifier wakes waiters when slots may have become free.
type notifier struct {
	mu      sync.Mutex
	changed chan struct{}
}

func (n *notifier) wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Changed returns a channel that is closed when slots may have become free.
func (p *Pool) Changed() <-chan struct{} { return p.notifier.wait() }

// Free returns the number of slots that this instance may take now.
func (p *Pool) Free(endpoint string) int {
	slots, ok := p.endpointSlots(endpoint)
	if !ok || !p.seams.Endpoints().Usable(endpoint) {
		return 0
	}
	return slots.free(p.timers.Now())
}

// Take takes a slot without waiting. It fails for an endpoint that is leaving,
// has failed or is in a zone out of service.
func (p *Pool) Take(endpoint, account string) (*Slot, bool) {
	slots, ok := p.endpointSlots(endpoint)
	if !ok || !p.seams.Endpoints().Usable(endpoint) {
		return nil, false
	}
	return slots.take(p, account)
}

// RequestSlots requests slots from the endpoint's home instance soon. It does not wait.
func (p *Pool) RequestSlots(endpoint string) {
	e, ok := p.seams.Endpoints().Get(endpoint)
	if !ok {
		return
	}
	slots, ok := p.endpointSlots(endpoint)
	if !ok {
		slots = p.addEndpointSlots(e)
	}
	slots.setWanted(p.timers.Now().Add(wantedPeriod))
	select {
	case p.exchangeRequests <- endpoint:
	default: // The next periodic exchange requests slots.
	}
}

// RemoteCost returns the running cost of the account on the cell's other members.
// It takes no lock, so that a queue may call it while holding its own.
func (p *Pool) RemoteCost(account string) int64 { return (*p.costs.Load())[account] }

// publishCosts updates the sums that RemoteCost returns. Members that have not
// reported within delegationLifetime are left out.
func (p *Pool) publishCosts(now time.Time) {
	sum := map[string]int64{}
	for id, m := range p.members {
		if id == p.self || now.Sub(m.lastReport) >= p.delegationLifetime() {
			continue
		}
		for account, cost := range m.costs {
			sum[account] += cost
		}
	}
	p.costs.Store(&sum)
}

// IsHome reports whether this instance is the endpoint's home instance, which is
// the one that polls the endpoint for its load.
func (p *Pool) IsHome(endpoint roster.Endpoint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	d, ok := p.delegations[endpoint.ID]
	return ok && d.home == p.self
}

// Leave makes this instance delegate nothing from now on. The home instances
// still grant it slots, so that queued work can run.
func (p *Pool) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
}

func (p *Pool) endpointSlots(endpoint string) (*endpointSlots, bool) {
	v, ok := p.slots.Load(endpoint)
	if !ok {
		return nil, false
	}
	return v.(*endpointSlots), true
}

func (p *Pool) addEndpointSlots(e roster.Endpoint) *endpointSlots {
	v, _ := p.slots.LoadOrStore(e.ID, &endpointSlots{endpoint: e.ID, model: e.Model, runningByAccount: map[string]int{}, costByAccount: map[string]int64{}})
	return v.(*endpointSlots)
}
