package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
	"github.com/wigeonpin/wigeonpin/internal/traffic/headers"
	"github.com/wigeonpin/wigeonpin/internal/traffic/stop"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

const (
	// settleTime is how long after an answer no other answer may tell less.
	settleTime = time.Second
	// callerPatience is how long a caller waits for an answer.
	callerPatience = 2500 * time.Millisecond
	// searchSteps is the number of choices of the scheduler in a run, before all faults
	// end.
	searchSteps = 32
	// searchReads is the number of reads in a run, and searchItems that of the items.
	searchReads = 8
	searchItems = 3
	// longRetention and shortRetention are the retention times of results. A worker
	// removes them searchMargin later.
	longRetention  = 20 * time.Second
	shortRetention = time.Second
	searchMargin   = time.Second
	searchEntries  = 3
	searchWorkers  = 2
	maxDeadWorkers = 6
	// formerReserve is the part of a call's time that was not kept for a read of the
	// store (storeReserve in package batch).
	formerReserve = 700 * time.Millisecond
	// healTime is the time between the end of all faults and the last reads.
	healTime = time.Second
	// lastReadStep is the time between two looks at whether a read is answered.
	lastReadStep = 20 * time.Millisecond
)

// The rules.
const (
	toldLess     = "told less"     // a reader is told that there is nothing at a position that was read
	missingBatch = "missing batch" // a reader is told that there is no batch, which was accepted or read
	itemTwice    = "item twice"
	otherResult  = "other result" // readers are told different results of a position
	noProgress   = "progress"     // a read after the end of all faults is not answered in time
)

var searchNames = headers.Names{Request: "X-Request", Deadline: "X-Deadline", Account: "X-Account", Wait: "X-Wait"}

// variant selects a former behaviour that the search is to find.
type variant int

const (
	present variant = iota
	// believesWorkers takes a worker's answer without results for the store's.
	believesWorkers
	// asksDeadWorkers asks all workers in turn before it reads the store.
	asksDeadWorkers
	// keepsOldAnswers passes answers without results or batch on, however old the read
	// of the store is.
	keepsOldAnswers
	// wrongClock lets a worker remove a batch before its retention time is over.
	wrongClock
)

// tape is the list of a run's choices. Choices after its end are 0, the one without a
// fault.
type tape []uint16

// newTape returns the choices of a seed.
func newTape(seed uint64) tape {
	random := rand.New(rand.NewPCG(seed, 0))
	t := make(tape, searchSteps+1)
	for i := range t {
		t[i] = uint16(random.Uint32())
	}
	return t
}

// theme is the first choice of a run. It leaves out some kinds of events, so that a
// short run has enough of the others.
type theme uint16

func (t theme) deadWorkers() int     { return max(0, int(t&15)-(15-maxDeadWorkers)) }
func (t theme) firstOnly() bool      { return t&16 != 0 } // reads are from position 0 on
func (t theme) manyPauses() bool     { return t&32 != 0 }
func (t theme) stableRole() bool     { return t&64 != 0 }
func (t theme) reliable() bool       { return t&128 != 0 } // the store refuses nothing, and nothing is lost
func (t theme) lateSubmission() bool { return t&512 != 0 } // reads may begin before the submission
func (t theme) retention() time.Duration {
	if t&1024 != 0 {
		return shortRetention
	}
	return longRetention
}
func (t theme) shortReads() bool { return t&256 != 0 } // no long polls

// process is an entry process or a worker.
type process struct {
	name         string
	paused, dead bool
	relay        *process // makes calls to the store that fail here
	// Of an entry process:
	reader *batch.Reader
	shelf  *batch.Store
	meters *meter.Set
	stop   *stop.Plan
	// Of a worker:
	runner  *Runner
	handler http.Handler
	held    atomic.Bool
	active  bool
	knows   bool // of the batch
	store   *batch.Store
	ended   bool // knows that the batch has ended
	done    [searchItems]bool
}

// position is what a reader was told of a position first.
type position struct {
	at     time.Time
	result batch.Result
	reader string
}

// failure is a broken rule.
type failure struct {
	rule, text string
}

// world is one run: processes, store and scheduler.
type world struct {
	variant   variant
	choices   tape
	theme     theme
	log       *logrus.Entry
	verbose   bool
	history   []string
	start     time.Time
	ctx       context.Context
	ledger    *ledger.Ledger
	manifest  *manifest.Manifest
	processes map[string]*process
	entries   []*process
	workers   []*process
	addresses []string // of the workers, with dead ones
	written   map[string]time.Time
	flights   []*flight
	late      []*flight
	calls     int
	reads     int
	running   int // requests in progress
	epoch     uint64
	removing  bool // a worker has begun to remove the batch
	submitted bool

	acceptedAt time.Time
	told       map[int]position
	failure    *failure
	wake       chan struct{} // receives a value when a call or an answer has been added

	mu      sync.Mutex // guards the fields below, which all goroutines of a run use
	added   []*flight
	answers []answer
	closed  bool
}

func (w *world) notef(format string, values ...any) {
	if w.verbose && w.failure == nil {
		line := fmt.Sprintf(format, values...)
		w.history = append(w.history, fmt.Sprintf("%3d. %6.3f s  %s", len(w.history)+1, time.Since(w.start).Seconds(), line))
	}
}

// fail records the first broken rule.
func (w *world) fail(rule, format string, values ...any) {
	if w.failure == nil {
		text := fmt.Sprintf(format, values...)
		w.notef("BROKEN (%s): %s", rule, text)
		w.failure = &failure{rule, text}
	}
}

// play executes one run in a bubble of package synctest.
func (w *world) play() {
	ctx, cancel := context.WithCancel(context.Background())
	w.ctx, w.start = ctx, time.Now()
	w.ledger, w.processes, w.written, w.told = ledger.New(), map[string]*process{}, map[string]time.Time{}, map[int]position{}
	w.wake = make(chan struct{}, 1)
	w.log = logs.Discard()
	w.log.Logger.SetLevel(logrus.PanicLevel)
	w.build()
	if !w.theme.lateSubmission() {
		w.submit(w.entries[0])
	}
	w.takeRole(w.workers[0])
	w.settle()
	for i := 1; i <= searchSteps && w.failure == nil; i++ {
		w.step(w.choice(i))
	}
	if w.failure == nil {
		w.heal()
	}
	cancel()
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	for len(w.flights) > 0 {
		w.end(w.flights[0], context.Canceled)
	}
	synctest.Wait()
}

func (w *world) choice(i int) uint16 {
	if i < len(w.choices) {
		return w.choices[i]
	}
	return 0
}

// build creates all processes.
func (w *world) build() {
	w.manifest = manifest.New(1, []manifest.Route{
		{Host: host, Prefix: "/gen/", Kind: manifest.Rollout, Attempts: 1, ItemTimeout: time.Hour, Targets: []manifest.Target{{Service: "llm", Weight: 1}}},
	}, nil, []manifest.Account{{Name: "acme", Keys: []string{"k1"}}}, manifest.Limits{})
	w.theme = theme(w.choice(0))
	for i := range w.theme.deadWorkers() {
		w.newProcess("dead"+strconv.Itoa(i+1), &w.workers).dead = true
	}
	w.workers = nil
	for i := range searchWorkers {
		w.startWorker(w.newProcess("worker"+strconv.Itoa(i+1), &w.workers))
	}
	for name := range w.processes {
		w.addresses = append(w.addresses, name)
	}
	slices.Sort(w.addresses)
	for i := range searchEntries {
		w.startEntry(w.newProcess("entry"+strconv.Itoa(i+1), &w.entries))
	}
	for i, p := range w.entries {
		p.relay = w.entries[(i+1)%len(w.entries)]
	}
	for _, p := range w.workers {
		p.relay = w.entries[0]
	}
}

func (w *world) newProcess(name string, list *[]*process) *process {
	p := &process{name: name}
	w.processes[name] = p
	*list = append(*list, p)
	return p
}

func (w *world) startWorker(p *process) {
	timers := w.timers()
	p.store = batch.NewStore(w.store(p), 1<<20)
	p.runner = New(Seams{
		Store: p.store, Fleet: replica.NewFleet(timers, replica.Options{Overcommit: 1}),
		Names: searchNames, ValueBytes: 1 << 20, Manifest: func() *manifest.Manifest { return w.manifest },
		Role: func() Role { return Role{Epoch: 1, Held: p.held.Load()} },
	}, timers, w.log)
	mux := http.NewServeMux()
	p.runner.Mount(w.ctx, mux)
	p.handler = mux
	go p.runner.Run(w.ctx)
}

// timers returns the clock of the processes, whose uptime follows the time of the bubble.
func (w *world) timers() *clock.Service {
	return clock.NewSystem().WithUptime(func() time.Duration { return time.Since(w.start) })
}

func (w *world) startEntry(p *process) {
	p.shelf, p.meters = batch.NewStore(w.store(p), 1<<20), meter.NewSet()
	p.stop = stop.New(w.timers(), p.meters)
	peers := func() []string { return slices.Clone(w.addresses) }
	workers := NewWorkers(peers)
	workers.client = &http.Client{Transport: peerTransport{w, p}}
	seams := batch.ReaderSeams{
		Store: p.shelf, Find: workers.Find, Follow: workers.Follow, Retention: w.theme.retention(),
		Settle: settleTime,
	}
	switch w.variant {
	case present, wrongClock:
	case believesWorkers:
		seams.Follow = believing(workers.Follow)
	case asksDeadWorkers:
		seams.Find, seams.Follow = w.askAll(p)
	case keepsOldAnswers:
		seams.Settle = time.Hour
	}
	p.reader = batch.NewReader(seams, w.timers(), w.log)
}

// believing returns a FollowFunc after which the store's answer is not waited for if the
// worker has no pages.
func believing(follow batch.FollowFunc) batch.FollowFunc {
	return func(ctx context.Context, id string, known int, wait time.Duration) batch.Update {
		update := follow(ctx, id, known, wait)
		if update.Active && len(update.Pages) == 0 {
			requestOf(ctx).believed = true
		}
		return update
	}
}

// askAll returns functions that ask the nearest worker for a batch and each worker of the
// list in turn for its pages, however many do not answer, with all the time of a request.
func (w *world) askAll(p *process) (batch.FindFunc, batch.FollowFunc) {
	one := func(address string) *Workers {
		workers := NewWorkers(func() []string { return []string{address} })
		workers.client = &http.Client{Transport: peerTransport{w, p}}
		return workers
	}
	find := func(ctx context.Context, id string) (*batch.Batch, bool) {
		return one(w.addresses[len(w.addresses)-1]).Find(ctx, id)
	}
	follow := func(ctx context.Context, id string, known int, wait time.Duration) batch.Update {
		end, _ := ctx.Deadline()
		whole, cancel := context.WithDeadline(context.WithoutCancel(ctx), end.Add(formerReserve))
		defer cancel()
		deadline := time.Now().Add(wait)
		for _, address := range w.addresses {
			update := one(address).Follow(whole, id, known, max(0, time.Until(deadline)))
			if update.Active || whole.Err() != nil {
				return update
			}
		}
		return batch.Update{}
	}
	return find, follow
}

// remove makes a worker remove the records of the batch.
func (w *world) remove(p *process) {
	w.notef("%s begins to remove the batch", p.name)
	w.removing = true
	go func() { _ = p.store.Remove(w.ctx, "b1") }() // a failed removal leaves records behind
}

// settle waits until all goroutines are held, and collects their calls.
func (w *world) settle() {
	synctest.Wait()
	w.collect()
}

// advance lets time pass while no call proceeds. Calls whose time ends get no answer.
func (w *world) advance(by time.Duration) {
	for end := time.Now().Add(by); ; {
		w.settle()
		w.expire()
		w.settle()
		if !time.Now().Before(end) {
			return
		}
		w.await(end)
	}
}

// await lets time pass until end, the end of the time of a call, or another event.
func (w *world) await(end time.Time) {
	for _, f := range w.flights {
		if !f.process.paused && !f.deadline.IsZero() && f.deadline.Before(end) {
			end = f.deadline
		}
	}
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.wake:
	}
}

// run lets time pass while each call proceeds at once, if its process and the others on
// its way are not paused.
func (w *world) run(by time.Duration) {
	for end := time.Now().Add(by); ; {
		w.settle()
		w.expire()
		w.settle()
		if f := w.oldest(); f != nil {
			w.proceed(f)
			continue
		}
		if !time.Now().Before(end) {
			return
		}
		w.await(end)
	}
}

// takeRole makes a worker the holder of the role.
func (w *world) takeRole(p *process) {
	for _, other := range w.workers {
		other.held.Store(false)
	}
	w.epoch++
	w.notef("%s takes the worker role with epoch %d", p.name, w.epoch)
	p.held.Store(true)
	p.active = true
	p.runner.SetActive(w.ctx, true)
}

// heal ends all faults and checks that each entry process answers.
func (w *world) heal() {
	w.notef("all faults end")
	for _, p := range w.processes {
		p.paused = false
	}
	for _, f := range w.flights {
		f.unsent = false
	}
	for len(w.late) > 0 {
		w.applyLate(w.late[0])
	}
	w.run(healTime)
	positions := 1
	for at := range w.told {
		positions = max(positions, at+1)
	}
	for _, p := range w.entries {
		for after := range positions {
			w.read(p, after, time.Second, true)
			for end := time.Now().Add(2 * callerPatience); w.running > 0 && time.Now().Before(end); {
				w.run(lastReadStep)
			}
			if w.failure != nil {
				return
			}
		}
	}
}

func (w *world) oldest() *flight {
	for _, f := range w.flights {
		if f.canProceed() {
			return f
		}
	}
	return nil
}
