// Package runner carries out batches: it sends their items to engines, resumes
// texts that broke off, has them scored, and writes the results in pages. One
// goroutine owns the state of all batches; each running item has a goroutine
// that talks to an engine and reports back.
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
	"context"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/traffic/forward"
	"github.com/wigeonpin/wigeonpin/internal/traffic/headers"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

const (
	// tickInterval is how often stalled runs and due retries are looked for.
	tickInterval = 200 * time.Millisecond
	// pageInterval is the least time between two pages of a batch.
	pageInterval = 350 * time.Millisecond
	// pageRetryDelay is the pause after a page that could not be written.
	pageRetryDelay = 400 * time.Millisecond
	// maxCachedTexts bounds how many unfinished texts of ended batches are kept.
	maxCachedTexts = 600
	// maxDoneJobs bounds the batches that are done and whose results callers may
	// still read.
	maxDoneJobs = 20
)

// Seams are the parts that a runner works with.
type Seams struct {
	Shelf      *batch.Shelf
	Fleet      *replica.Fleet
	Pool       *exchange.Pool
	Forwarder  *forward.Forwarder
	Names      headers.Names
	Manifest   func() *manifest.Manifest
	ValueBytes int
	// Meters count runs of items and how they end, by service; nil counts nothing.
	Meters *meter.Set
}

// Runner carries out batches while it is active. It follows them at all times,
// so that it can begin at once.
type Runner struct {
	seams    Seams
	timers   *clock.Service
	log      *logrus.Entry
	calls    chan func(ctx context.Context)
	counters counters

	// The fields below belong to the goroutine of Run.
	active bool
	jobs   []*job // in the order of acceptance
	ended  map[string]bool
	texts  *textCache
	copied map[string]copyState // what the standby has of each item
	// activations counts the times that the runner became active.
	activations int
	doneJobs    *lru.Cache[string, *job]
}

// counters are the runs of items and those that broke off, by service; those that
// never began, by reason; and the scoring calls that failed, by host.
type counters struct {
	runs, rejections, breaks, scoringFailures *meter.Counter
}

// The names of the counters of a worker.
const (
	CountRuns       = "item_runs"
	CountRejections = "item_rejections"
	CountBreaks     = "item_breaks"
	CountScores     = "score_failures"
)

func newCounters(meters *meter.Set) counters {
	return counters{
		runs: meters.Counter(CountRuns), rejections: meters.Counter(CountRejections),
		breaks: meters.Counter(CountBreaks), scoringFailures: meters.Counter(CountScores),
	}
}

// New returns a runner that is not active.
func New(seams Seams, timers *clock.Service, log *logrus.Entry) *Runner {
	doneJobs, err := lru.New[string, *job](maxDoneJobs)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	if seams.Meters == nil {
		seams.Meters = meter.NewSet()
	}
	return &Runner{
		counters: newCounters(seams.Meters),
		doneJobs: doneJobs, seams: seams, timers: timers, log: log, calls: make(chan func(context.Context), 64),
		ended: map[string]bool{}, texts: newTextCache(maxCachedTexts), copied: map[string]copyState{},
	}
}

// Run works until ctx ends.
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
		if r.active {
			r.schedule()
			r.writePages(ctx)
		}
	}
}

// drain handles what else has arrived, so that one pass of scheduling serves
// several reports.
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

func (r *Runner) post(ctx context.Context, f func(ctx context.Context)) {
	select {
	case r.calls <- f:
	case <-ctx.Done():
	}
}

// Add adds a batch, unless it is known or ended. A fresh batch has no results
// in the store.
func (r *Runner) Add(ctx context.Context, b *batch.Batch, fresh bool) {
	r.post(ctx, func(ctx context.Context) { r.add(ctx, b, fresh) })
}

// End stops a batch.
func (r *Runner) End(ctx context.Context, id string) {
	r.post(ctx, func(context.Context) { r.end(id) })
}

// Forget drops what is known of an ended batch whose ending is gone from the
// store.
func (r *Runner) Forget(ctx context.Context, id string) {
	r.post(ctx, func(context.Context) { delete(r.ended, id) })
}

// SetActive starts or stops the work.
func (r *Runner) SetActive(ctx context.Context, active bool) {
	r.post(ctx, func(ctx context.Context) {
		if r.active == active {
			return
		}
		r.active = active
		if active {
			r.activations++
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
	})
}
