// Package queue implements weighted fair queueing of requests. There is one
// queue per client account and model; the account that receives the least work
// relative to its weight goes first. A request that is not
// expected to start before its deadline is refused at once.
//
// # Usage
//
//	waiting := queue.New(timers, meters, queue.Seams{RemoteCost: pool.RemoteCost, Changed: pool.Changed})
//	go waiting.Run(ctx)
//	turn, err := waiting.Wait(ctx, queue.Item{Account: "acme", Model: "tagger", Weight: 2, Cost: 300,
//		Deadline: deadline, Check: checkKey, Start: takeSlot})
//	defer turn.Done()
//
// Start is called with the queue locked: it must not block or call the queue.
package queue

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
)

const (
	// sweepPeriod is how often the queue is checked when no slot is reported
	// free. It bounds how late a request is refused whose expected wait has grown
	// beyond its deadline.
	sweepPeriod = 200 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry-after time.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// stallLimit is the wait after which a request is refused if no request of its
	// model runs here and none has ended here for as long. It covers two changes of
	// an endpoint's home instance, each of which takes one term of the slot shares
	// (1.5 s).
	stallLimit = 4 * time.Second
	// smoothing is the weight of a new observation in the moving average of the
	// time per unit of cost.
	smoothing = 0.2
)

// Seams are the functions that the queue needs.
type Seams struct {
	// RemoteCost returns the cost of the account's requests that run on other
	// instances; nil means none.
	RemoteCost func(account string) int64
	// RemoteSlots returns the work that the account receives from other instances, in
	// slots that it occupies there all the time; nil means none.
	RemoteSlots func(account string) float64
	// Changed returns a channel that is closed when slots may have become free.
	Changed func() <-chan struct{}
}

// Item is a request to be queued.
type Item struct {
	Account string
	Model   string
	Weight  float64
	// Cost is the expected work of the request. The unit is the same for all requests
	// of a model.
	Cost     int64
	Deadline time.Time
	// MaxWaiting limits the waiting requests of the account, MaxRunning its requests
	// that run on this instance; 0 means no limit.
	MaxWaiting int
	MaxRunning int
	// Front queues the request before the others of its account. It is meant for
	// requests that have already run in part.
	Front bool
	// Urgent is set for background requests, which must not share an account and model
	// with others: one that waits at the head of its flow delays those behind it. Until
	// then the request may wait for headroom, and is not refused for its expected wait. The background requests of
	// an account start in the order of it.
	Urgent time.Time
	// Check is called right before the request is started. If it returns an
	// error, the request is refused with it.
	Check func() error
	// Start tries to acquire a slot. The request goes on waiting when it returns
	// false, and is refused when it returns an error.
	Start func() (bool, error)
}

// Queue holds the waiting requests of one instance.
type Queue struct {
	timers   *clock.Service
	seams    Seams
	waitTime *meter.Histogram
	refused  *meter.Counter

	mu       sync.Mutex
	models   map[string]*model
	accounts map[string]*account
	// forgetAt is the number of accounts from which on idle ones are forgotten.
	forgetAt   int
	waited     bool        // a request had to wait since the last call of Received
	candidates []candidate // used by dispatch, kept to save memory allocations
}

// model holds the queues and the statistics of one model.
type model struct {
	flows   map[string]*flow
	running int
	// lastEnded is when a request of the model last ended.
	lastEnded time.Time
	// secondsPerCost is the moving average of the time for which one unit of cost
	// occupies a slot.
	secondsPerCost float64
	// meanCost is the moving average of the cost of a request.
	meanCost float64
	// virtualTime is the highest received cost of an account whose request was started,
	// when it was started. Accounts that wait have received about as much.
	virtualTime float64
}

// flow is the queue of one account for one model.
type flow struct {
	account string
	weight  float64
	waiting []*waiter
	cost    int64
	running int
	// received is the cost of the ended requests, relative to the weight. It is at least
	// the virtual time of the model when the account begins to wait: an account gains no
	// credit for the time in which it had nothing queued.
	received float64
}

type waiter struct {
	item  Item
	since time.Time
	done  chan struct{}
	turn  *Turn
	err   error
}

// Turn is the permission to run a request. Done must be called when the request
// has ended.
type Turn struct {
	queue *Queue
	flow  *flow
	item  Item
	start time.Time
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
	once   sync.Once
}

// New returns an empty queue.
func New(timers *clock.Service, meters *meter.Set, seams Seams) *Queue {
	if seams.RemoteCost == nil {
		seams.RemoteCost = func(string) int64 { return 0 }
	}
	if seams.RemoteSlots == nil {
		seams.RemoteSlots = func(string) float64 { return 0 }
	}
	q := &Queue{
		timers: timers, seams: seams,
		waitTime: meters.Histogram("queue_wait_us"), refused: meters.Counter("queue_refused"),
		models: map[string]*model{}, accounts: map[string]*account{},
	}
	meters.Gauge("queue_waiting", func() any { return q.Waiting() })
	return q
}

// Run starts and refuses waiting requests whenever slots may have become free,
// and periodically, until ctx is done.
func (q *Queue) Run(ctx context.Context) error {
	ticks := q.timers.Subscribe(sweepPeriod)
	defer ticks.Stop()
	for {
		changed := q.seams.Changed()
		q.Recheck()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticks.C:
		}
	}
}

// Wait queues a request and returns when it may run, is refused, or ctx is done.
// Its errors state that the request has not run (code.NotRun).
func (q *Queue) Wait(ctx context.Context, item Item) (*Turn, error) {
	w := &waiter{item: item, since: q.timers.Now(), done: make(chan struct{})}
	if item.Weight <= 0 {
		w.item.Weight = 1
	}
	q.mu.Lock()
	m := q.model(item.Model)
	q.push(m, w)
	q.dispatch(m)
	if !w.resolved() {
		q.waited = true
		q.admit(m, w)
	}
	q.mu.Unlock()
	select {
	case <-w.done:
	case <-ctx.Done():
		q.abandon(ctx, m, w)
	}
	if w.err != nil {
		q.refused.Add(item.Account, 1)
		return nil, w.err
	}
	q.waitTime.Record(item.Account, w.turn.Waited.Microseconds())
	return w.turn, nil
}

func (w *waiter) resolved() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

func (w *waiter) resolve(turn *Turn, err error) {
	w.turn, w.err = turn, err
	close(w.done)
}

// abandon removes a request whose context is done. A turn that was granted
// concurrently remains valid, since its slot is already occupied.
func (q *Queue) abandon(ctx context.Context, m *model, w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.resolved() {
		return
	}
	m.remove(w)
	w.resolve(nil, contextError(ctx))
}

func contextError(ctx context.Context) error {
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
		q.forgetIdle()
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
		f.received = max(f.received, m.virtualTime)
	}
	f.weight = w.item.Weight
	if w.item.Front {
		f.waiting = slices.Insert(f.waiting, 0, w)
	} else {
		f.waiting = slices.Insert(f.waiting, f.position(w), w)
	}
	f.cost += w.item.Cost
}

// position returns where a request is queued that does not go first.
func (f *flow) position(w *waiter) int {
	at := len(f.waiting)
	for !w.item.Urgent.IsZero() && at > 0 && f.waiting[at-1].item.Urgent.After(w.item.Urgent) && !f.waiting[at-1].item.Front {
		at--
	}
	return at
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

// admit refuses a request that cannot start at once if its account's queue is
// full or its expected wait exceeds its deadline.
func (q *Queue) admit(m *model, w *waiter) {
	f := m.flows[w.item.Account]
	if w.item.MaxWaiting > 0 && len(f.waiting) > w.item.MaxWaiting {
		m.remove(w)
		w.resolve(nil, code.New(code.QueueFull, "the account's queue limit of %d is reached", w.item.MaxWaiting).
			WithRun(code.NotRun).WithRetryAfter(clampRetryAfter(m.estimateWait(f, f.cost-w.item.Cost))))
		return
	}
	ahead := f.cost - w.item.Cost
	if w.item.Front {
		ahead = 0
	}
	q.refuseIfLate(m, f, w, ahead)
}

func (q *Queue) refuseIfLate(m *model, f *flow, w *waiter, ahead int64) bool {
	now := q.timers.Now()
	if now.Before(w.item.Urgent) {
		return false
	}
	wait := m.estimateWait(f, ahead)
	remaining := w.item.Deadline.Sub(now)
	if q.stalled(m, w, now) {
		wait, remaining = maxRetryAfter, 0
	}
	if remaining > 0 && wait <= remaining {
		return false
	}
	m.remove(w)
	w.resolve(nil, code.New(code.WaitTooLong, "the expected wait of %d ms exceeds the deadline, which is in %d ms",
		wait.Milliseconds(), max(remaining, 0).Milliseconds()).WithRun(code.NotRun).WithRetryAfter(clampRetryAfter(wait)))
	return true
}

// stalled reports whether nothing of the model has run here for so long that
// the wait cannot be estimated.
func (q *Queue) stalled(m *model, w *waiter, now time.Time) bool {
	return m.running == 0 && now.Sub(w.since) > stallLimit && now.Sub(w.item.Urgent) > stallLimit && now.Sub(m.lastEnded) > stallLimit
}

// estimateWait estimates how long a request waits behind the given cost of its
// own account. It assumes that the slots in use now are shared by weight among
// the accounts with waiting requests, and that each unit of cost occupies a slot
// for the average time.
func (m *model) estimateWait(f *flow, ahead int64) time.Duration {
	if m.secondsPerCost == 0 || m.running == 0 {
		return 0
	}
	weights := 0.0
	for _, other := range m.flows {
		if len(other.waiting) > 0 {
			weights += other.weight
		}
	}
	share := f.weight / max(weights, f.weight)
	seconds := float64(ahead) * m.secondsPerCost / (float64(m.running) * share)
	return time.Duration(min(seconds, 3600) * float64(time.Second))
}

func clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Rate estimates how many requests of mean cost this instance serves per second for
// a model, with as many running as now. It returns 0 when that is unknown.
func (q *Queue) Rate(name string) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	m, known := q.models[name]
	if !known || m.secondsPerCost == 0 {
		return 0
	}
	return float64(m.running) / (m.secondsPerCost * max(1, m.meanCost))
}

// Recheck starts the requests that can start and refuses those that are no
// longer expected to start before their deadlines. It returns the number of
// requests that remain queued.
func (q *Queue) Recheck() int {
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
			if !q.refuseIfLate(m, f, w, ahead) {
				ahead += w.item.Cost
			}
		}
		if len(f.waiting) == 0 && f.running == 0 && f.received <= m.virtualTime {
			delete(m.flows, name)
		}
	}
}

// candidate is a flow whose first request may start. Slots is what its account occupies
// relative to its weight.
type candidate struct {
	flow  *flow
	slots float64
}

// dispatch starts waiting requests in fair order until none can start.
func (q *Queue) dispatch(m *model) {
	candidates := q.candidates[:0]
	for _, f := range m.flows {
		if len(f.waiting) > 0 {
			candidates = append(candidates, candidate{f, q.slots(f)})
		}
	}
	for len(candidates) > 0 {
		at := m.first(candidates)
		f := candidates[at].flow
		if q.startHead(m, f) && len(f.waiting) > 0 {
			candidates[at].slots = q.slots(f)
			continue
		}
		candidates[at] = candidates[len(candidates)-1]
		candidates = candidates[:len(candidates)-1]
	}
	q.candidates = candidates
}

// first returns the position of the flow with the lowest share.
func (m *model) first(candidates []candidate) int {
	best, lowest := 0, m.share(candidates[0])
	for i, c := range candidates[1:] {
		share := m.share(c)
		if share < lowest || (share == lowest && earlier(c.flow, candidates[best].flow)) {
			best, lowest = i+1, share
		}
	}
	return best
}

// share returns the work that an account receives, relative to its weight and in slots
// that it occupies all the time: the slots in use, and what it received lately beyond the
// account that received least. It changes with each start, which raises virtualTime.
func (m *model) share(c candidate) float64 {
	ahead := max(0, c.flow.received-m.virtualTime) * m.secondsPerCost / memory.Seconds()
	return c.slots + ahead
}

// slots returns the slots that the account's requests occupy here and on other instances,
// relative to its weight. It compares slots instead of the cost in flight: each unit of
// cost occupies a slot for about the same time, so equal slots give equal cost per second,
// whereas equal cost in flight would give an account with large requests fewer slots. Peers
// that report running cost are converted to slots by the account's mean cost per request.
func (q *Queue) slots(f *flow) float64 {
	slots, mean := q.seams.RemoteSlots(f.account), float64(max(f.waiting[0].item.Cost, 1))
	if a, known := q.accounts[f.account]; known && a.running > 0 {
		slots += float64(a.running)
		mean = float64(max(a.cost, 1)) / float64(a.running)
	}
	slots += float64(q.seams.RemoteCost(f.account)) / mean
	return slots / f.weight
}

func earlier(a, b *flow) bool {
	return a.received < b.received || (a.received == b.received && a.account < b.account)
}

// startHead starts or refuses the first request of a flow. It returns false when
// the request has to wait longer.
func (q *Queue) startHead(m *model, f *flow) bool {
	w := f.waiting[0]
	a := q.account(f.account)
	if w.item.MaxRunning > 0 && a.running >= w.item.MaxRunning {
		return false
	}
	if w.item.Check != nil {
		if err := w.item.Check(); err != nil {
			m.remove(w)
			w.resolve(nil, code.Of(err).WithRun(code.NotRun))
			return true
		}
	}
	started, err := w.item.Start()
	if err != nil {
		m.remove(w)
		w.resolve(nil, code.Of(err).WithRun(code.NotRun))
		return true
	}
	if !started {
		return false
	}
	m.remove(w)
	now := q.timers.Now()
	a.advance(now)
	a.cost += w.item.Cost
	a.running++
	m.running++
	f.running++
	m.virtualTime = max(m.virtualTime, f.received)
	w.resolve(&Turn{queue: q, flow: f, item: w.item, start: now, Waited: now.Sub(w.since)}, nil)
	return true
}

// Done ends the turn and starts the next requests. The slot must have been
// released before.
func (t *Turn) Done() { t.DoneAfter(func() {}) }

// DoneAfter is Done after a function that releases the slot, which must not block or call
// the queue. It is called with the queue locked: a slot that is released while the queue
// looks for the next request would go to an account that is not the first in order.
func (t *Turn) DoneAfter(release func()) { t.once.Do(func() { t.queue.done(t, release) }) }

func (q *Queue) done(t *Turn, release func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	release()
	m, a := q.model(t.item.Model), q.account(t.item.Account)
	now := q.timers.Now()
	held := now.Sub(t.start)
	a.advance(now)
	a.cost -= t.item.Cost
	a.running--
	m.running--
	m.lastEnded = now
	t.flow.running--
	t.flow.received += float64(t.item.Cost) / t.flow.weight
	a.correct(held, m.expected(t.item.Cost))
	m.observe(held, t.item.Cost)
	q.dispatch(m)
}

func (m *model) observe(held time.Duration, cost int64) {
	perCost := held.Seconds() / float64(max(cost, 1))
	if m.secondsPerCost == 0 {
		m.secondsPerCost, m.meanCost = perCost, float64(cost)
		return
	}
	m.secondsPerCost += smoothing * (perCost - m.secondsPerCost)
	m.meanCost += smoothing * (float64(cost) - m.meanCost)
}

// expected returns the time for which a request of this cost usually occupies a slot, or
// 0 when it is unknown.
func (m *model) expected(cost int64) time.Duration {
	return time.Duration(float64(cost) * m.secondsPerCost * float64(time.Second))
}

// Waiting returns the number of queued requests by account.
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
