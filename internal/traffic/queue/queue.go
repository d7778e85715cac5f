// Package queue decides which waiting request runs next: one queue per client
// account and model, and the account with the lowest running share relative to
// its weight goes first. A request that cannot be served in time is refused at
// once.
//
// # Usage
//
//	waiting := queue.New(timers, meters, queue.Seams{Running: pool.Running, Changed: pool.Changed})
//	go waiting.Run(ctx)
//	turn, err := waiting.Wait(ctx, queue.Item{Account: "acme", Model: "tagger", Weight: 2, Cost: 300,
//		Deadline: deadline, Check: checkKey, Start: takeSlot})
//	defer turn.Done()
//
// Start is called with the queue locked: it must not block or call the queue.
package queue

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
)

const (
	// How often waiting requests are looked at without another occasion. It
	// bounds how long a request that became hopeless waits for its refusal.
	sweepPeriod = 200 * time.Millisecond
	// The bounds of the time to come back.
	shortestReturn = 100 * time.Millisecond
	longestReturn  = 30 * time.Second
	// A request is refused when no slot became free for this long and nothing
	// of its model runs here. It covers a change of an endpoint's home, which
	// takes a term of the shares (1.5 s), twice over.
	stallLimit = 4 * time.Second
	// The weight of a new observation in the average time per cost unit.
	smoothing = 0.2
)

// Seams are the functions that the queue needs.
type Seams struct {
	// Running returns the account's running cost on other instances.
	Running func(account string) int64
	// Changed returns a channel that is closed when slots may have become free.
	Changed func() <-chan struct{}
}

// Item is a request that wants to run.
type Item struct {
	Account  string
	Model    string
	Weight   float64
	Cost     int64
	Deadline time.Time
	// Limit is the highest number of requests of the account that wait; 0 is
	// no limit. Running is the highest number that run here; 0 is no limit.
	Limit   int
	Running int
	// Front puts the request before the others of its account, for work that
	// has already run in part.
	Front bool
	// Check is called right before the request is started; its error refuses
	// the request.
	Check func() error
	// Start tries to occupy a slot. False lets the request wait, an error
	// refuses it.
	Start func() (bool, error)
}

// Queue holds the waiting requests of one instance.
type Queue struct {
	timers *clock.Service
	seams  Seams
	waited *meter.Histogram
	refuse *meter.Counter

	mu       sync.Mutex
	models   map[string]*model
	accounts map[string]*account
}

// account is the running work of one client account over all models.
type account struct {
	cost    int64
	running int
}

// model is the waiting and running work of one model.
type model struct {
	flows   map[string]*flow
	running int
	// ended is when a request of the model last ended.
	ended time.Time
	// perCost is the average time in seconds that one unit of cost holds a slot.
	perCost float64
	// virtual is the virtual start time of the request that was started last.
	virtual float64
}

// flow is the queue of one account for one model.
type flow struct {
	account string
	weight  float64
	waiting []*waiter
	cost    int64
	// finish is the virtual time at which the account's last started request
	// would end; it breaks ties between accounts with equal running shares.
	finish float64
}

type waiter struct {
	item    Item
	since   time.Time
	decided chan struct{}
	turn    *Turn
	err     error
}

// Turn is the permission to run. It must be ended with Done.
type Turn struct {
	queue *Queue
	item  Item
	start time.Time
	// Waited is how long the request waited.
	Waited time.Duration
	once   sync.Once
}

// New returns a queue.
func New(timers *clock.Service, meters *meter.Set, seams Seams) *Queue {
	q := &Queue{
		timers: timers, seams: seams,
		waited: meters.Histogram("queue_wait_us"), refuse: meters.Counter("queue_refused"),
		models: map[string]*model{}, accounts: map[string]*account{},
	}
	meters.Gauge("queue_waiting", func() any { return q.Waiting() })
	return q
}

// Run looks at the waiting requests whenever slots may have become free, and
// periodically, until ctx ends.
func (q *Queue) Run(ctx context.Context) error {
	ticks := q.timers.Subscribe(sweepPeriod)
	defer ticks.Stop()
	for {
		changed := q.seams.Changed()
		q.Kick()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticks.C:
		}
	}
}

// Wait returns when the request may run, was refused, or ctx ended. Its errors
// say "not run".
func (q *Queue) Wait(ctx context.Context, item Item) (*Turn, error) {
	w := &waiter{item: item, since: q.timers.Now(), decided: make(chan struct{})}
	if item.Weight <= 0 {
		w.item.Weight = 1
	}
	q.mu.Lock()
	m := q.model(item.Model)
	q.push(m, w)
	q.dispatch(m)
	if !w.settled() {
		q.admit(m, w)
	}
	q.mu.Unlock()
	select {
	case <-w.decided:
	case <-ctx.Done():
		q.abandon(ctx, m, w)
	}
	if w.err != nil {
		q.refuse.Add(item.Account, 1)
		return nil, w.err
	}
	q.waited.Record(item.Account, w.turn.Waited.Microseconds())
	return w.turn, nil
}

func (w *waiter) settled() bool {
	select {
	case <-w.decided:
		return true
	default:
		return false
	}
}

func (w *waiter) settle(turn *Turn, err error) {
	w.turn, w.err = turn, err
	close(w.decided)
}

// abandon removes a request whose caller went away. A turn that was granted at
// the same moment stays granted: its slot is already occupied.
func (q *Queue) abandon(ctx context.Context, m *model, w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.settled() {
		return
	}
	m.remove(w)
	w.settle(nil, ended(ctx))
}

func ended(ctx context.Context) error {
	cause := context.Cause(ctx)
	if coded := code.Of(cause); coded.Code != code.Internal {
		return coded.WithRun(code.NotRun)
	}
	if cause == context.DeadlineExceeded {
		return code.New(code.DeadlinePast, "the deadline passed in the queue").WithRun(code.NotRun)
	}
	return code.New(code.CallerGone, "the caller is gone").WithRun(code.NotRun)
}

func (q *Queue) model(name string) *model {
	m, ok := q.models[name]
	if !ok {
		m = &model{flows: map[string]*flow{}}
		q.models[name] = m
	}
	return m
}

func (q *Queue) account(name string) *account {
	a, ok := q.accounts[name]
	if !ok {
		a = &account{}
		q.accounts[name] = a
	}
	return a
}

func (q *Queue) push(m *model, w *waiter) {
	f, ok := m.flows[w.item.Account]
	if !ok {
		f = &flow{account: w.item.Account}
		m.flows[w.item.Account] = f
	}
	if len(f.waiting) == 0 {
		// An account that had nothing waiting gets no credit for that time.
		f.finish = max(f.finish, m.virtual)
	}
	f.weight = w.item.Weight
	if w.item.Front {
		f.waiting = append([]*waiter{w}, f.waiting...)
	} else {
		f.waiting = append(f.waiting, w)
	}
	f.cost += w.item.Cost
}

func (m *model) remove(w *waiter) {
	f := m.flows[w.item.Account]
	for i, other := range f.waiting {
		if other == w {
			f.waiting = append(f.waiting[:i:i], f.waiting[i+1:]...)
			f.cost -= w.item.Cost
			break
		}
	}
}

// admit refuses a request that has to wait when its account's queue is full or
// its expected wait is too long.
func (q *Queue) admit(m *model, w *waiter) {
	f := m.flows[w.item.Account]
	if w.item.Limit > 0 && len(f.waiting) > w.item.Limit {
		m.remove(w)
		w.settle(nil, code.New(code.QueueFull, "the account's queue limit of %d is reached", w.item.Limit).
			WithRun(code.NotRun).WithRetryAfter(clampReturn(m.expect(f, f.cost-w.item.Cost))))
		return
	}
	ahead := f.cost - w.item.Cost
	if w.item.Front {
		ahead = 0
	}
	q.refuseHopeless(m, f, w, ahead)
}

func (q *Queue) refuseHopeless(m *model, f *flow, w *waiter, ahead int64) bool {
	wait := m.expect(f, ahead)
	now := q.timers.Now()
	left := w.item.Deadline.Sub(now)
	if q.stalled(m, w, now) {
		wait, left = longestReturn, 0
	}
	if left > 0 && wait <= left {
		return false
	}
	m.remove(w)
	w.settle(nil, code.New(code.WaitTooLong, "the expected wait of %d ms exceeds the deadline, which is in %d ms",
		wait.Milliseconds(), max(left, 0).Milliseconds()).WithRun(code.NotRun).WithRetryAfter(clampReturn(wait)))
	return true
}

// stalled reports whether nothing of the model has run here for so long that
// no expectation can be given.
func (q *Queue) stalled(m *model, w *waiter, now time.Time) bool {
	return m.running == 0 && now.Sub(w.since) > stallLimit && now.Sub(m.ended) > stallLimit
}

// expect estimates how long a request waits behind the given cost of its own
// account: the slots that run now are shared by weight among the accounts that
// wait, and each unit of cost holds a slot for the average time.
func (m *model) expect(f *flow, ahead int64) time.Duration {
	if m.perCost == 0 || m.running == 0 {
		return 0
	}
	weights := 0.0
	for _, other := range m.flows {
		if len(other.waiting) > 0 {
			weights += other.weight
		}
	}
	share := f.weight / max(weights, f.weight)
	seconds := float64(ahead) * m.perCost / (float64(m.running) * share)
	return time.Duration(min(seconds, 3600) * float64(time.Second))
}

func clampReturn(wait time.Duration) time.Duration {
	return min(max(wait, shortestReturn), longestReturn)
}

// Rate returns how many requests of a model are served here in a second of the
// present load; 0 when that is not known.
func (q *Queue) Rate(name string) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	m, known := q.models[name]
	if !known || m.perCost == 0 {
		return 0
	}
	return float64(m.running) / m.perCost
}

// Kick starts what can be started and refuses what has become hopeless. It
// returns how many requests go on waiting.
func (q *Queue) Kick() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := 0
	for _, m := range q.models {
		q.dispatch(m)
		q.sweep(m)
		for _, f := range m.flows {
			waiting += len(f.waiting)
		}
	}
	return waiting
}

func (q *Queue) sweep(m *model) {
	for name, f := range m.flows {
		ahead := int64(0)
		for _, w := range append([]*waiter(nil), f.waiting...) {
			if !q.refuseHopeless(m, f, w, ahead) {
				ahead += w.item.Cost
			}
		}
		if len(f.waiting) == 0 && f.finish <= m.virtual {
			delete(m.flows, name)
		}
	}
}

// dispatch starts requests until none can start.
func (q *Queue) dispatch(m *model) {
	blocked := map[string]bool{}
	for {
		f := q.next(m, blocked)
		if f == nil {
			return
		}
		if !q.startHead(m, f) {
			blocked[f.account] = true
		}
	}
}

// next returns the flow with the lowest running share relative to its weight.
func (q *Queue) next(m *model, blocked map[string]bool) *flow {
	var best *flow
	bestShare := math.Inf(1)
	for _, f := range m.flows {
		if len(f.waiting) == 0 || blocked[f.account] {
			continue
		}
		share := q.share(f)
		if best == nil || share < bestShare || (share == bestShare && earlier(f, best)) {
			best, bestShare = f, share
		}
	}
	return best
}

// share is the number of slots that the account holds here and on other
// instances, relative to its weight. Slots and not the cost in them are
// compared: each unit of cost holds a slot for about the same time, so that
// equal slots are equal cost per second, while equal cost in flight would give
// an account with large requests fewer slots. Peers report cost, which the
// account's mean cost of a request turns into slots.
func (q *Queue) share(f *flow) float64 {
	a := q.account(f.account)
	mean := float64(max(f.waiting[0].item.Cost, 1))
	if a.running > 0 {
		mean = float64(max(a.cost, 1)) / float64(a.running)
	}
	return (float64(a.running) + float64(q.seams.Running(f.account))/mean) / f.weight
}

func earlier(a, b *flow) bool {
	return a.finish < b.finish || (a.finish == b.finish && a.account < b.account)
}

// startHead starts the first request of a flow, or refuses it. It returns
// false when the request has to go on waiting.
func (q *Queue) startHead(m *model, f *flow) bool {
	w := f.waiting[0]
	a := q.account(f.account)
	if w.item.Running > 0 && a.running >= w.item.Running {
		return false
	}
	if w.item.Check != nil {
		if err := w.item.Check(); err != nil {
			m.remove(w)
			w.settle(nil, code.Of(err).WithRun(code.NotRun))
			return true
		}
	}
	started, err := w.item.Start()
	if err != nil {
		m.remove(w)
		w.settle(nil, code.Of(err).WithRun(code.NotRun))
		return true
	}
	if !started {
		return false
	}
	m.remove(w)
	a.cost += w.item.Cost
	a.running++
	m.running++
	m.virtual = max(m.virtual, f.finish)
	f.finish += float64(w.item.Cost) / f.weight
	now := q.timers.Now()
	w.settle(&Turn{queue: q, item: w.item, start: now, Waited: now.Sub(w.since)}, nil)
	return true
}

// Done ends the turn. The slot must have been released before.
func (t *Turn) Done() { t.once.Do(func() { t.queue.done(t) }) }

func (q *Queue) done(t *Turn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	m, a := q.model(t.item.Model), q.account(t.item.Account)
	a.cost -= t.item.Cost
	a.running--
	m.running--
	m.ended = q.timers.Now()
	if a.running == 0 {
		delete(q.accounts, t.item.Account)
	}
	m.observe(q.timers.Since(t.start), t.item.Cost)
	q.dispatch(m)
}

func (m *model) observe(held time.Duration, cost int64) {
	perCost := held.Seconds() / float64(max(cost, 1))
	if m.perCost == 0 {
		m.perCost = perCost
		return
	}
	m.perCost += smoothing * (perCost - m.perCost)
}

// Waiting returns the number of waiting requests by account.
func (q *Queue) Waiting() map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := map[string]int{}
	for _, m := range q.models {
		for _, f := range m.flows {
			out[f.account] += len(f.waiting)
		}
	}
	return out
}
