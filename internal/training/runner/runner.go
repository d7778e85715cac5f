// Package runner carries out batches: it sends their items to engines, resumes
// texts that broke off, has them scored, and writes the results in pages. One
// goroutine owns the state of all batches; each running item has a goroutine
// that talks to an engine and reports back.
//
// # Usage
//
//	r := runner.New(seams, timers, log)
//	go r.Run(ctx)
//	r.Add(ctx, b, true)
//	r.End(ctx, id)
package runner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/traffic/forward"
	"github.com/wigeonpin/wigeonpin/internal/traffic/headers"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

const (
	// tickPeriod is how often stalled runs and due retries are looked for.
	tickPeriod = 200 * time.Millisecond
	// pageRest is the least time between two pages of a batch.
	pageRest = 250 * time.Millisecond
	// pageRetry is the pause after a page that could not be written.
	pageRetry = 400 * time.Millisecond
	// keptTexts bounds how many unfinished texts of ended batches are kept.
	keptTexts = 600
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
}

// Runner carries out batches.
type Runner struct {
	seams  Seams
	timers *clock.Service
	log    *logrus.Entry
	mail   chan func(ctx context.Context)

	// The fields below belong to the goroutine of Run.
	jobs  []*job // in the order of acceptance
	ended map[string]bool
	texts *textCache
}

// job is a batch that is being carried out.
type job struct {
	batch    *batch.Batch
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    []*task
	byID     map[string]*task
	pages    int
	listed   int
	ready    []batch.Result
	writing  bool
	nextPage time.Time
	near     map[string]string // endpoint of the latest run, by group
}

// New returns a runner.
func New(seams Seams, timers *clock.Service, log *logrus.Entry) *Runner {
	return &Runner{
		seams: seams, timers: timers, log: log, mail: make(chan func(context.Context), 64),
		ended: map[string]bool{}, texts: newTextCache(keptTexts),
	}
}

// Run works until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	ticks := r.timers.Subscribe(tickPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-r.mail:
			f(ctx)
			r.drain(ctx)
		case <-r.seams.Fleet.Changed():
		case <-ticks.C:
			r.expire()
		}
		r.schedule()
		r.writePages(ctx)
	}
}

// drain handles what else has arrived, so that one pass of scheduling serves
// several reports.
func (r *Runner) drain(ctx context.Context) {
	for {
		select {
		case f := <-r.mail:
			f(ctx)
		default:
			return
		}
	}
}

func (r *Runner) post(ctx context.Context, f func(ctx context.Context)) {
	select {
	case r.mail <- f:
	case <-ctx.Done():
	}
}

// Add starts a batch, unless it is known or ended. Results of a batch that is
// not fresh are read first.
func (r *Runner) Add(ctx context.Context, b *batch.Batch, fresh bool) {
	if fresh {
		r.post(ctx, func(ctx context.Context) { r.add(ctx, b, nil) })
		return
	}
	pages, err := r.seams.Shelf.Pages(ctx, b.ID)
	for err != nil && ctx.Err() == nil {
		r.log.WithFields(logrus.Fields{"batch": b.ID, logs.Cause: err.Error()}).Warn("pages not read")
		_ = r.timers.Sleep(ctx, pageRetry)
		pages, err = r.seams.Shelf.Pages(ctx, b.ID)
	}
	r.post(ctx, func(ctx context.Context) { r.add(ctx, b, pages) })
}

// End stops a batch.
func (r *Runner) End(ctx context.Context, id string) {
	r.post(ctx, func(context.Context) { r.end(id) })
}

func (r *Runner) add(ctx context.Context, b *batch.Batch, pages []batch.Page) {
	if r.ended[b.ID] || r.find(b.ID) != nil {
		return
	}
	j := &job{batch: b, byID: map[string]*task{}, near: map[string]string{}}
	j.ctx, j.cancel = context.WithCancel(ctx)
	for i := range b.Items {
		t := &task{item: &b.Items[i], job: j}
		t.text = r.texts.take(t.item.ID, b.Oldest)
		j.tasks = append(j.tasks, t)
		j.byID[t.item.ID] = t
	}
	for _, page := range pages {
		j.merge(page)
	}
	if j.listed >= len(j.tasks) {
		j.cancel()
		return
	}
	at := len(r.jobs)
	for at > 0 && r.jobs[at-1].batch.Time.After(b.Time) {
		at--
	}
	r.jobs = append(r.jobs[:at], append([]*job{j}, r.jobs[at:]...)...)
	r.log.WithFields(logrus.Fields{
		"batch": b.ID, "items": len(b.Items), "listed": j.listed, logs.Step: b.Step,
		logs.Model: b.Model, "oldest": b.Oldest, "age_ms": r.timers.Since(b.Time).Milliseconds(),
	}).Info("batch started")
}

func (r *Runner) find(id string) *job {
	for _, j := range r.jobs {
		if j.batch.ID == id {
			return j
		}
	}
	return nil
}

func (r *Runner) end(id string) {
	r.ended[id] = true
	j := r.find(id)
	if j == nil {
		return
	}
	r.log.WithFields(logrus.Fields{
		"batch": id, "listed": j.listed, "items": len(j.tasks),
		"age_ms": r.timers.Since(j.batch.Time).Milliseconds(),
	}).Info("batch ended")
	r.keepTexts(j)
	r.drop(j)
}

func (r *Runner) drop(j *job) {
	j.cancel()
	for i, other := range r.jobs {
		if other == j {
			r.jobs = append(r.jobs[:i], r.jobs[i+1:]...)
			return
		}
	}
}

// keepTexts keeps the texts of groups that were not complete, since their
// items may come again in a later batch.
func (r *Runner) keepTexts(j *job) {
	whole := map[string]bool{}
	for _, t := range j.tasks {
		if _, seen := whole[t.item.Group]; !seen {
			whole[t.item.Group] = true
		}
		if t.state != stateListed {
			whole[t.item.Group] = false
		}
	}
	for _, t := range j.tasks {
		if !whole[t.item.Group] && !t.gaveUp {
			r.texts.put(t.item.ID, t.snapshot())
		}
	}
}

// merge takes a page that stands in the store into account.
func (j *job) merge(page batch.Page) {
	for _, result := range page.Results {
		t, known := j.byID[result.ID]
		if !known || t.state == stateListed {
			continue
		}
		t.state = stateListed
		if t.cancel != nil {
			t.cancel(nil)
		}
	}
	j.listed = page.Start + len(page.Results)
	j.pages++
	kept := j.ready[:0]
	for _, result := range j.ready {
		if j.byID[result.ID].state != stateListed {
			kept = append(kept, result)
		}
	}
	j.ready = kept
}
