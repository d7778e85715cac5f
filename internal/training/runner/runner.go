// Package runner executes batches: it sends their items to engines, resumes
// interrupted texts, has complete texts scored, and writes the results in pages.
// One goroutine owns the state of all batches. Each running item has a goroutine
// that talks to its engine and reports back.
//
// # Usage
//
//	r := runner.New(seams, timers, log)
//	go r.Run(ctx)
//	r.SetActive(ctx, true)
//	r.Add(ctx, b, true)
//	r.End(ctx, id)
package runner

import (
	"cmp"
	"context"
	"hash/maphash"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/reach"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/traffic/breaker"
	"github.com/wigeonpin/wigeonpin/internal/traffic/forward"
	"github.com/wigeonpin/wigeonpin/internal/traffic/headers"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

const (
	// tickInterval is how often stalled runs and due retries are checked.
	tickInterval = 200 * time.Millisecond
	// pageRetryDelay is the pause after pages could not be read or written.
	pageRetryDelay = 400 * time.Millisecond
	// maxCachedTexts bounds the number of cached texts of ended batches.
	maxCachedTexts = 600
	// maxIncompleteGroups bounds the number of groups that are remembered because
	// they were incomplete at the end of their batch.
	maxIncompleteGroups = 4096
	// maxPageReads bounds the lists of pages that are read at a time. Each holds a page
	// of the store.
	maxPageReads = 8
	// maxDoneJobs bounds the number of completed batches whose results callers
	// may still read here.
	maxDoneJobs = 20
)

// Seams holds the dependencies and settings of a runner.
type Seams struct {
	Store      *batch.Store
	Fleet      *replica.Fleet
	Pool       *exchange.Pool
	Forwarder  *forward.Forwarder
	Names      headers.Names
	Manifest   func() *manifest.Manifest
	ValueBytes int
	// Memory is the limit at which the process is killed, in bytes; 0 if it is not known.
	// The memory for batches is a part of it.
	Memory int64
	// Role returns what is known of the worker role; without it, the runner counts as
	// its holder.
	Role func() Role
	// OnBatch is called with the model and the expected tokens of each batch; it may
	// be nil.
	OnBatch func(model string, tokens int64)
	// Breaker keeps which engines crashed under items that are suspected of it, beyond
	// this process; nil if it is not kept.
	Breaker *breaker.Breaker
	// Meters counts the runs of items and how they end, by service. It may be nil.
	Meters *meter.Set
}

// Role is what a worker knows of its worker role: the epoch under which it took the
// role last, and whether its term still runs. The role can be lost while the runner is
// active, as a process that was paused learns of it with its next renewal only.
type Role struct {
	Epoch uint64
	Held  bool
}

// Runner executes batches while it is active. It keeps track of them at all
// times, so that it can start at once when it becomes active.
type Runner struct {
	seams    Seams
	timers   *clock.Service
	log      *logrus.Entry
	calls    chan func(ctx context.Context) // executed by the goroutine of Run
	counters counters
	// copyCounters count copied and recalled texts.
	copyCounters copyCounters
	// invalidLoads records load reports that cannot be parsed.
	invalidLoads *headers.InvalidLoads

	// pageReads limits the lists of pages that are read at a time.
	pageReads *semaphore.Weighted

	// The fields below are used only by the goroutine of Run.
	active bool
	// waiting is the number of items of the batch being scheduled that may start now.
	waiting int
	// recalling is true while texts are fetched after the runner became active. No
	// run starts meanwhile, since a text that runs takes no copy.
	recalling bool
	jobs      []*job // in the order of acceptance
	ended     map[string]bool
	texts     *textCache
	copied    map[string]standbyStates // what the standbys have of each text, by text key
	copies    copyStatus               // of the copies that this worker received
	reach     *reach.Detector
	// activations counts how often the runner became active.
	activations int
	doneJobs    *lru.Cache[string, *job]
	room        *room
	itemReads   int // reads of items in progress
	seed        maphash.Seed
	keptTexts   *keptTexts
	pages       *pageMemory
	// incompleteGroups holds groups that were incomplete at the end of their batch.
	incompleteGroups *lru.Cache[groupKey, struct{}]
}

// counters counts the runs of items and the broken runs by service, the rejected
// runs by reason, and the failed scoring calls by host.
type counters struct {
	runs, rejections, breaks, scoringFailures *meter.Counter
}

// The names of the counters, as they appear in the metrics of a worker.
const (
	CountRuns          = "item_runs"
	CountRejections    = "item_rejections"
	CountBreaks        = "item_breaks"
	CountScoreFailures = "score_failures"
)

func newCounters(meters *meter.Set) counters {
	return counters{
		runs: meters.Counter(CountRuns), rejections: meters.Counter(CountRejections),
		breaks: meters.Counter(CountBreaks), scoringFailures: meters.Counter(CountScoreFailures),
	}
}

// New returns an inactive runner.
func New(seams Seams, timers *clock.Service, log *logrus.Entry) *Runner {
	memory := float64(cmp.Or(seams.Memory, defaultMemory))
	pages := &pageMemory{limit: int64(pagesShare * memory)}
	doneJobs, err := lru.NewWithEvict(maxDoneJobs, func(_ string, j *job) { pages.dropAll(j) })
	if err != nil {
		panic(err) // the size is a positive constant
	}
	incompleteGroups, err := lru.New[groupKey, struct{}](maxIncompleteGroups)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	if seams.Meters == nil {
		seams.Meters = meter.NewSet()
	}
	if seams.Role == nil {
		seams.Role = func() Role { return Role{Held: true} }
	}
	return &Runner{
		counters: newCounters(seams.Meters), copyCounters: newCopyCounters(seams.Meters), invalidLoads: headers.NewInvalidLoads(seams.Meters, timers, log),
		doneJobs: doneJobs, incompleteGroups: incompleteGroups, seams: seams, timers: timers, log: log, calls: make(chan func(context.Context), 64),
		ended: map[string]bool{}, reach: reach.NewDetector(), texts: newTextCache(maxCachedTexts, int64(endedShare*memory)), copied: map[string]standbyStates{},
		pageReads: semaphore.NewWeighted(maxPageReads),
		room:      newRoom(int64(itemsShare * memory)), seed: maphash.MakeSeed(), keptTexts: newKeptTexts(int64(textsShare * memory)), pages: pages,
	}
}

// Run executes posted calls, schedules items and writes pages until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	ticks := r.timers.Subscribe(tickInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-r.calls:
			f(ctx)
			r.drain(ctx)
		case <-r.seams.Fleet.Changed():
		case <-ticks.C:
			if r.active {
				r.checkTasks()
			}
		}
		if r.active && !r.recalling {
			r.schedule()
		}
		if r.active {
			r.writePages(ctx)
		}
		r.loadItems(ctx)
	}
}

// drain executes the calls that are already queued, so that one scheduling pass
// serves several of them.
func (r *Runner) drain(ctx context.Context) {
	for {
		select {
		case f := <-r.calls:
			f(ctx)
		default:
			return
		}
	}
}

// post queues f for the goroutine of Run.
func (r *Runner) post(ctx context.Context, f func(ctx context.Context)) {
	select {
	case r.calls <- f:
	case <-ctx.Done():
	}
}

// do executes f in the goroutine of Run and waits for its end.
func (r *Runner) do(ctx context.Context, f func(ctx context.Context)) {
	finished := make(chan struct{})
	r.post(ctx, func(ctx context.Context) {
		f(ctx)
		close(finished)
	})
	select {
	case <-finished:
	case <-ctx.Done():
	}
}

// Add adds a batch, unless it is known or ended. The batch may lack the items of its parts.
// A fresh batch was accepted lately, so that it is expected to have no pages in the store.
// Add returns once the items that have no room are dropped.
func (r *Runner) Add(ctx context.Context, b *batch.Batch, fresh bool) {
	r.do(ctx, func(ctx context.Context) { r.add(ctx, b, fresh) })
}

// End stops the execution of a batch and keeps it from being added again.
func (r *Runner) End(ctx context.Context, id string) {
	r.post(ctx, func(context.Context) { r.end(id) })
}

// Forget drops the state of an ended batch whose end marker was removed from the
// store. Another client account may submit a batch with the id from then on.
func (r *Runner) Forget(ctx context.Context, id string) {
	r.post(ctx, func(context.Context) {
		delete(r.ended, id)
		r.doneJobs.Remove(id)
	})
}

// SetActive starts or stops the execution of batches.
func (r *Runner) SetActive(ctx context.Context, active bool) {
	r.post(ctx, func(ctx context.Context) { r.setActive(ctx, active) })
}

// Resume starts the execution of batches with the texts that the other workers,
// whose addresses are peers, or the store have. The pages of the batches are read
// at the same time.
func (r *Runner) Resume(ctx context.Context, peers []string) {
	r.post(ctx, func(ctx context.Context) {
		r.recalling = !r.active
		r.setActive(ctx, true)
	})
	r.recall(ctx, peers)
	r.post(ctx, func(context.Context) { r.recalling = false })
}

func (r *Runner) setActive(ctx context.Context, active bool) {
	if r.active == active {
		return
	}
	r.active = active
	if active {
		r.activations++
		r.keptTexts.forgetAll() // the texts of pending items are not to be dropped
	}
	r.log.WithFields(logrus.Fields{"active": active, "batches": len(r.jobs)}).Info("runner switched")
	for _, j := range r.jobs {
		if active {
			r.load(ctx, j, false)
		} else {
			r.suspend(j)
		}
	}
	if !active {
		r.doneJobs.Purge()
	}
}
