package runner

import (
	"context"
	"encoding/json"
	"errors"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
	"github.com/wigeonpin/wigeonpin/internal/training/listing"
)

// job is the execution of a batch.
type job struct {
	batch        *batch.Batch
	knownSince   time.Duration   // uptime at which this process learned of the batch
	ctx          context.Context // of its runs; nil while the runner is inactive
	cancel       context.CancelFunc
	loaded       bool    // the pages in the store have been read, or none are expected
	tasks        []*task // longest estimate first
	byID         map[string]*task
	byTextKey    map[string]*task
	pages        int               // number of known pages
	listed       int               // number of results in these pages
	ready        []batch.Result    // waiting for the next page
	readySince   time.Time         // when the oldest of the ready results became ready
	readyBytes   int               // size of the ready results
	progress     *listing.Progress // of the results that are ready or listed
	schedule     listing.Schedule
	writing      bool              // a page is being written
	retryAt      time.Time         // earliest time of the next write after a failed one
	preferred    map[string]string // endpoint of the latest run, by group
	pageAdded    chan struct{}     // closed when another page is known, then replaced
	encodedPages [][]byte          // the pages as JSON
}

func (r *Runner) add(ctx context.Context, b *batch.Batch, fresh bool) {
	if r.ended[b.ID] || r.findJob(b.ID) != nil {
		return
	}
	j := &job{
		batch: b, knownSince: r.timers.Uptime(), byID: map[string]*task{}, byTextKey: map[string]*task{},
		preferred: map[string]string{}, pageAdded: make(chan struct{}),
	}
	expected := int64(0)
	for i := range b.Items {
		t := &task{item: &b.Items[i], job: j, textKey: b.TextKey(&b.Items[i])}
		expected += max(1, t.item.ExpectedTokens)
		t.text = r.texts.take(t.textKey, b.MinVersion)
		j.tasks = append(j.tasks, t)
		j.byID[t.item.ID] = t
		j.byTextKey[t.textKey] = t
	}
	if r.seams.OnBatch != nil {
		r.seams.OnBatch(b.Model, expected)
	}
	// The longest items decide when a batch is complete, so they are started
	// first. If there are more items than slots, the short ones fill the gaps.
	sort.SliceStable(j.tasks, func(a, b int) bool { return j.tasks[a].remaining() > j.tasks[b].remaining() })
	at := len(r.jobs)
	for at > 0 && r.jobs[at-1].batch.Time.After(b.Time) {
		at--
	}
	r.jobs = append(r.jobs[:at], append([]*job{j}, r.jobs[at:]...)...)
	if r.active {
		r.load(ctx, j, fresh)
	}
}

// groupKey identifies a group beyond its batch. Accounts choose the names of groups.
type groupKey struct {
	owner        batch.Owner
	model, group string
}

func newGroupKey(b *batch.Batch, group string) groupKey {
	return groupKey{owner: b.Owner(), model: b.Model, group: group}
}

// newProgress returns the progress of a batch with no results. The trainer waits
// for the groups that were incomplete in an earlier batch in any case.
func (r *Runner) newProgress(b *batch.Batch) *listing.Progress {
	items, awaited := map[string]int{}, map[string]bool{}
	for _, item := range b.Items {
		items[item.Group]++
		if r.incompleteGroups.Contains(newGroupKey(b, item.Group)) {
			awaited[item.Group] = true
		}
	}
	return listing.NewProgress(b.WantedGroups, items, awaited)
}

// load reads the pages of a batch and then starts its execution. A fresh batch is
// expected to have no pages: it starts at once, and its pages are read meanwhile.
func (r *Runner) load(ctx context.Context, j *job, fresh bool) {
	j.ctx, j.cancel = context.WithCancel(ctx)
	j.progress, j.schedule = r.newProgress(j.batch), listing.Schedule{Accepted: j.batch.Time}
	if route, found := r.batchRoute(j.batch, j.batch.Path); found {
		j.schedule.Due = route.BatchDeadline
	}
	if fresh {
		r.pagesLoaded(j, nil)
	}
	jobCtx := j.ctx
	go func() {
		pages := r.readPages(jobCtx, j.batch.ID, fresh)
		r.post(jobCtx, func(context.Context) {
			switch {
			case jobCtx.Err() != nil:
			case !fresh:
				r.pagesLoaded(j, pages)
			case len(pages) > 0:
				r.log.WithFields(logrus.Fields{"batch": j.batch.ID, "pages": len(pages)}).Info("batch had result pages when it became known")
				r.adopt(j, 0, pages)
			}
		})
	}()
}

// readPages returns the pages of a batch. It retries until the store answers or ctx
// ends.
func (r *Runner) readPages(ctx context.Context, id string, fresh bool) []batch.Page {
	for {
		pages, err := r.tryReadPages(ctx, id, fresh)
		if err == nil || ctx.Err() != nil {
			return pages
		}
		r.log.WithFields(logrus.Fields{"batch": id, logs.Cause: err.Error()}).Warn("result pages not read, retrying")
		_ = r.timers.Sleep(ctx, pageRetryDelay)
	}
}

// tryReadPages reads the pages of a batch once. For a fresh batch it looks for the
// first page before it lists any, since a list also takes pages of other batches.
func (r *Runner) tryReadPages(ctx context.Context, id string, fresh bool) ([]batch.Page, error) {
	if fresh {
		_, err := r.seams.Store.Page(ctx, id, 0)
		if errors.Is(err, records.ErrMissing) {
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return r.seams.Store.Pages(ctx, id)
}

// pagesLoaded starts the execution of a batch whose pages have been read.
func (r *Runner) pagesLoaded(j *job, pages []batch.Page) {
	j.loaded = true
	for number, page := range pages {
		j.merge(number, page)
	}
	b := j.batch
	r.log.WithFields(logrus.Fields{
		"batch": b.ID, "items": len(b.Items), "pages": j.pages, "listed": j.listed, logs.Step: b.Step, logs.Fence: r.seams.Role().Epoch,
		logs.Model: b.Model, "oldest": b.MinVersion, "age_ms": r.timers.Since(b.Time).Milliseconds(),
	}).Info("batch started")
	r.dropIfComplete(j)
}

// adopt adds pages that are in the store, the first of which has the given number.
func (r *Runner) adopt(j *job, first int, pages []batch.Page) {
	for i, page := range pages {
		j.merge(first+i, page)
	}
	r.dropIfComplete(j)
}

// dropIfComplete ends the execution of a batch whose results are all listed.
func (r *Runner) dropIfComplete(j *job) {
	if j.listed < len(j.tasks) {
		return
	}
	r.log.WithFields(logrus.Fields{
		"batch": j.batch.ID, "age_ms": r.timers.Since(j.batch.Time).Milliseconds(),
	}).Info("batch complete")
	r.cacheTexts(j)
	r.drop(j)
}

// suspend stops the execution of a batch and keeps its texts.
func (r *Runner) suspend(j *job) {
	for _, t := range j.tasks {
		t.text = t.snapshot()
		t.state, t.cancel, t.notBefore = statePending, nil, time.Time{}
	}
	j.cancel()
	j.ctx, j.loaded, j.writing = nil, false, false
	j.pages, j.listed, j.encodedPages = 0, 0, nil
	j.ready, j.readyBytes = nil, 0
}

// addReady adds the result of an item to those that wait for the next page.
func (j *job) addReady(t *task, result batch.Result, now time.Time) {
	if len(j.ready) == 0 {
		j.readySince = now
	}
	t.state = stateReady
	j.ready = append(j.ready, result)
	j.readyBytes += resultSize(result)
	if result.Done {
		j.progress.Finish(t.item.Group)
	}
}

func (r *Runner) findJob(id string) *job {
	for _, j := range r.jobs {
		if j.batch.ID == id {
			return j
		}
	}
	return nil
}

// readableJob returns a job whose pages were read from the store: one that is being
// executed or was completed recently. It returns nil if there is none.
func (r *Runner) readableJob(id string) *job {
	if !r.active {
		return nil
	}
	if j := r.findJob(id); j != nil {
		if j.loaded {
			return j
		}
		return nil
	}
	j, _ := r.doneJobs.Get(id)
	return j
}

func (r *Runner) end(id string) {
	r.ended[id] = true
	j := r.findJob(id)
	if j == nil {
		return
	}
	if r.active {
		r.log.WithFields(logrus.Fields{
			"batch": id, "listed": j.listed, "items": len(j.tasks),
			"age_ms": r.timers.Since(j.batch.Time).Milliseconds(),
		}).Info("batch ended")
	}
	r.cacheTexts(j)
	r.drop(j)
}

// drop stops the execution of a batch and removes it from the open ones. Its
// pages stay readable for a while unless another one is being written.
func (r *Runner) drop(j *job) {
	close(j.pageAdded)
	j.pageAdded = make(chan struct{})
	if j.cancel != nil {
		j.cancel()
	}
	for _, t := range j.tasks {
		delete(r.copied, t.textKey)
	}
	if j.loaded && !j.writing {
		j.tasks, j.byID, j.byTextKey = nil, nil, nil
		r.doneJobs.Add(j.batch.ID, j)
	}
	for i, other := range r.jobs {
		if other == j {
			r.jobs = append(r.jobs[:i], r.jobs[i+1:]...)
			return
		}
	}
}

// cacheTexts caches the texts of groups that the trainer may not have read, since
// their items may be submitted again in a later batch. It also remembers these
// groups.
func (r *Runner) cacheTexts(j *job) {
	complete := map[string]bool{}
	for _, t := range j.tasks {
		if _, seen := complete[t.item.Group]; !seen {
			complete[t.item.Group] = true
		}
		if t.state != stateListed || t.listedLate {
			complete[t.item.Group] = false
		}
	}
	for group, isComplete := range complete {
		if !isComplete {
			r.incompleteGroups.Add(newGroupKey(j.batch, group), struct{}{})
		}
	}
	for _, t := range j.tasks {
		if !complete[t.item.Group] && !t.givenUp {
			r.texts.put(t.textKey, t.snapshot())
		}
	}
}

// merge adds a page that is in the store under the given number, unless it is known:
// its items are listed, and their results are no longer ready.
func (j *job) merge(number int, page batch.Page) {
	if number != j.pages {
		return
	}
	for _, result := range page.Results {
		t, known := j.byID[result.ID]
		if !known || t.state == stateListed {
			continue
		}
		if t.state != stateReady && result.Done {
			j.progress.Finish(t.item.Group)
		}
		t.state, t.listedLate = stateListed, j.schedule.Complete
		if t.cancel != nil {
			t.cancel(nil)
		}
	}
	j.listed = page.Start + len(page.Results)
	j.pages++
	if encoded, err := json.Marshal(page); err == nil {
		j.encodedPages = append(j.encodedPages, encoded)
	}
	close(j.pageAdded)
	j.pageAdded = make(chan struct{})
	kept := j.ready[:0]
	j.readyBytes = 0
	for _, result := range j.ready {
		if j.byID[result.ID].state != stateListed {
			kept = append(kept, result)
			j.readyBytes += resultSize(result)
		}
	}
	j.ready = kept
}
