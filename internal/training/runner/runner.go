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
	"encoding/json"
	"sort"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
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
	pageRest = 350 * time.Millisecond
	// pageRetry is the pause after a page that could not be written.
	pageRetry = 400 * time.Millisecond
	// keptTexts bounds how many unfinished texts of ended batches are kept.
	keptTexts = 600
	// keptJobs bounds the batches that are done and whose results callers may
	// still read.
	keptJobs = 20
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

// Runner carries out batches while it is active. It follows them at all times,
// so that it can begin at once.
type Runner struct {
	seams  Seams
	timers *clock.Service
	log    *logrus.Entry
	mail   chan func(ctx context.Context)

	// The fields below belong to the goroutine of Run.
	active bool
	jobs   []*job // in the order of acceptance
	ended  map[string]bool
	texts  *textCache
	copied map[string]copied // what the standby has of each item
	// session counts the times that the runner became active.
	session int
	done    *lru.Cache[string, *job]
}

// job is a batch that is not done.
type job struct {
	batch    *batch.Batch
	ctx      context.Context // of its runs; nil while the runner is not active
	cancel   context.CancelFunc
	loaded   bool    // the pages in the store were read
	tasks    []*task // the longest first
	byID     map[string]*task
	pages    int
	listed   int
	ready    []batch.Result
	writing  bool
	nextPage time.Time
	near     map[string]string // endpoint of the latest run, by group
	written  chan struct{}     // closed when another page is known
	content  [][]byte          // the pages as they stand in the store
}

// New returns a runner that is not active.
func New(seams Seams, timers *clock.Service, log *logrus.Entry) *Runner {
	done, err := lru.New[string, *job](keptJobs)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Runner{
		done: done, seams: seams, timers: timers, log: log, mail: make(chan func(context.Context), 64),
		ended: map[string]bool{}, texts: newTextCache(keptTexts), copied: map[string]copied{},
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
			if r.active {
				r.expire()
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

// Add adds a batch, unless it is known or ended. A fresh batch has no results
// in the store.
func (r *Runner) Add(ctx context.Context, b *batch.Batch, fresh bool) {
	r.post(ctx, func(ctx context.Context) { r.add(ctx, b, fresh) })
}

// End stops a batch.
func (r *Runner) End(ctx context.Context, id string) {
	r.post(ctx, func(context.Context) { r.end(id) })
}

// SetActive starts or stops the work.
func (r *Runner) SetActive(ctx context.Context, active bool) {
	r.post(ctx, func(ctx context.Context) {
		if r.active == active {
			return
		}
		r.active = active
		if active {
			r.session++
		}
		r.log.WithFields(logrus.Fields{"active": active, "batches": len(r.jobs)}).Info("runner switched")
		for _, j := range r.jobs {
			if active {
				r.open(ctx, j, false)
			} else {
				r.suspend(j)
			}
		}
		if !active {
			r.done.Purge()
		}
	})
}

func (r *Runner) add(ctx context.Context, b *batch.Batch, fresh bool) {
	if r.ended[b.ID] || r.find(b.ID) != nil {
		return
	}
	j := &job{batch: b, byID: map[string]*task{}, near: map[string]string{}, written: make(chan struct{})}
	for i := range b.Items {
		t := &task{item: &b.Items[i], job: j}
		t.text = r.texts.take(t.item.ID, b.Oldest)
		j.tasks = append(j.tasks, t)
		j.byID[t.item.ID] = t
	}
	// A batch is done when its longest items are, so these are sent first. With
	// more items than places, the short ones fill the gaps.
	sort.SliceStable(j.tasks, func(a, b int) bool { return j.tasks[a].remaining() > j.tasks[b].remaining() })
	at := len(r.jobs)
	for at > 0 && r.jobs[at-1].batch.Time.After(b.Time) {
		at--
	}
	r.jobs = append(r.jobs[:at], append([]*job{j}, r.jobs[at:]...)...)
	if r.active {
		r.open(ctx, j, fresh)
	}
}

// open begins the work on a batch, after its pages were read.
func (r *Runner) open(ctx context.Context, j *job, fresh bool) {
	j.ctx, j.cancel = context.WithCancel(ctx)
	if fresh {
		r.opened(j, nil)
		return
	}
	jobCtx := j.ctx
	go func() {
		pages, err := r.seams.Shelf.Pages(jobCtx, j.batch.ID)
		for err != nil && jobCtx.Err() == nil {
			r.log.WithFields(logrus.Fields{"batch": j.batch.ID, logs.Cause: err.Error()}).Warn("pages not read")
			_ = r.timers.Sleep(jobCtx, pageRetry)
			pages, err = r.seams.Shelf.Pages(jobCtx, j.batch.ID)
		}
		r.post(jobCtx, func(context.Context) {
			if jobCtx.Err() == nil {
				r.opened(j, pages)
			}
		})
	}()
}

func (r *Runner) opened(j *job, pages []batch.Page) {
	j.loaded = true
	for _, page := range pages {
		j.merge(page)
	}
	b := j.batch
	r.log.WithFields(logrus.Fields{
		"batch": b.ID, "items": len(b.Items), "listed": j.listed, logs.Step: b.Step,
		logs.Model: b.Model, "oldest": b.Oldest, "age_ms": r.timers.Since(b.Time).Milliseconds(),
	}).Info("batch started")
	if j.listed >= len(j.tasks) {
		r.drop(j)
	}
}

// suspend ends the work on a batch and keeps its texts.
func (r *Runner) suspend(j *job) {
	for _, t := range j.tasks {
		t.text = t.snapshot()
		t.state, t.cancel, t.notBefore = statePending, nil, time.Time{}
	}
	j.cancel()
	j.ctx, j.loaded, j.writing = nil, false, false
	j.pages, j.listed, j.ready, j.content = 0, 0, nil, nil
}

func (r *Runner) find(id string) *job {
	for _, j := range r.jobs {
		if j.batch.ID == id {
			return j
		}
	}
	return nil
}

// readable returns a batch all of whose pages are known: one that is carried
// out, or one that was done lately.
func (r *Runner) readable(id string) *job {
	if !r.active {
		return nil
	}
	if j := r.find(id); j != nil {
		if j.loaded {
			return j
		}
		return nil
	}
	j, _ := r.done.Get(id)
	return j
}

func (r *Runner) end(id string) {
	r.ended[id] = true
	j := r.find(id)
	if j == nil {
		return
	}
	if r.active {
		r.log.WithFields(logrus.Fields{
			"batch": id, "listed": j.listed, "items": len(j.tasks),
			"age_ms": r.timers.Since(j.batch.Time).Milliseconds(),
		}).Info("batch ended")
	}
	r.keepTexts(j)
	r.drop(j)
}

func (r *Runner) drop(j *job) {
	close(j.written)
	j.written = make(chan struct{})
	if j.cancel != nil {
		j.cancel()
	}
	for _, t := range j.tasks {
		delete(r.copied, t.item.ID)
	}
	if j.loaded && !j.writing {
		j.tasks, j.byID = nil, nil
		r.done.Add(j.batch.ID, j)
	}
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
	if encoded, err := json.Marshal(page); err == nil {
		j.content = append(j.content, encoded)
	}
	close(j.written)
	j.written = make(chan struct{})
	kept := j.ready[:0]
	for _, result := range j.ready {
		if j.byID[result.ID].state != stateListed {
			kept = append(kept, result)
		}
	}
	j.ready = kept
}
