package runner

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
	"github.com/wigeonpin/wigeonpin/internal/training/listing"
)

// job is the execution of a batch. Its items get tasks as far as there is room in memory;
// the others wait in the store.
type job struct {
	batch        *batch.Batch        // without items
	next         batch.Cursor        // the first item that has not got a task
	reading      bool                // items are being read
	readAt       time.Time           // earliest time of the next read of items
	cost         int64               // room that the job takes, in bytes
	listedBefore map[uint64]struct{} // hashes of the ids of listed items that have not got a task
	knownSince   time.Duration       // uptime at which this process learned of the batch
	ctx          context.Context     // of its runs; nil while the runner is inactive
	cancel       context.CancelFunc
	loaded       bool    // the pages in the store have been read, or none are expected
	tasks        []*task // longest estimate first; those of listed items may be gone
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
	encodedPages []*encodedPage    // the pages as JSON
}

func (r *Runner) add(ctx context.Context, b *batch.Batch, fresh bool) {
	if r.ended[b.ID] || r.findJob(b.ID) != nil {
		return
	}
	head := b.Head()
	head.Count = max(b.Count, len(b.Items))
	j := &job{
		batch: head, knownSince: r.timers.Uptime(), byID: map[string]*task{}, byTextKey: map[string]*task{},
		preferred: map[string]string{}, pageAdded: make(chan struct{}),
	}
	at := len(r.jobs)
	for at > 0 && r.jobs[at-1].batch.Time.After(b.Time) {
		at--
	}
	r.jobs = slices.Insert(r.jobs, at, j)
	j.next = batch.Cursor{Record: 1}
	if taken := r.takeItems(j, b.Items); taken < len(b.Items) {
		j.next = batch.Cursor{Index: taken}
		r.log.WithFields(logrus.Fields{
			"batch": b.ID, logs.Account: b.Account, "items": b.Count, "loaded": taken, "room": r.room.used,
		}).Info("items of a batch wait for room in memory")
	}
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

// newProgress returns the progress of a batch with no results, of the items that the batch
// holds. The trainer waits for the groups that were incomplete in an earlier batch in any
// case.
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
	for _, t := range j.tasks {
		j.progress.Expect(t.item.Group, r.incompleteGroups.Contains(newGroupKey(j.batch, t.item.Group)))
	}
	if route, found := r.batchRoute(j.batch, j.batch.Path); found {
		j.schedule.Due = route.BatchDeadline
	}
	if fresh {
		r.pagesLoaded(j)
	}
	jobCtx := j.ctx
	go func() {
		if fresh && !r.hasPages(jobCtx, j.batch.ID) {
			return
		}
		count := r.readPages(jobCtx, j)
		r.post(jobCtx, func(context.Context) {
			switch {
			case jobCtx.Err() != nil:
			case !fresh:
				r.pagesLoaded(j)
			default:
				r.log.WithFields(logrus.Fields{"batch": j.batch.ID, "pages": count}).Info("batch had result pages when it became known")
				r.dropIfComplete(j)
			}
		})
	}()
}

// hasPages reports whether the store has pages of a batch. It looks for the first page
// alone, since a list also takes pages of other batches.
func (r *Runner) hasPages(ctx context.Context, id string) bool {
	for {
		_, err := r.seams.Store.Page(ctx, id, 0)
		if err == nil || errors.Is(err, records.ErrMissing) || ctx.Err() != nil {
			return err == nil
		}
		r.pagesNotRead(ctx, id, err)
	}
}

// pagesNotRead logs that pages could not be read, and waits for the next attempt.
func (r *Runner) pagesNotRead(ctx context.Context, id string, cause error) {
	if ctx.Err() != nil {
		return
	}
	r.log.WithFields(logrus.Fields{"batch": id, logs.Cause: cause.Error()}).Warn("result pages not read, retrying")
	_ = r.timers.Sleep(ctx, pageRetryDelay)
}

// readPages reads the pages of a batch and merges them, as many at a time as one list of
// the store holds, and returns their number. It retries until the store answers or ctx
// ends.
func (r *Runner) readPages(ctx context.Context, j *job) (count int) {
	for after, more := "", true; more && ctx.Err() == nil; {
		read, next, err := r.mergePages(ctx, j, after, count)
		if err != nil {
			r.pagesNotRead(ctx, j.batch.ID, err)
			continue
		}
		count += read
		after, more = next, next != ""
	}
	return count
}

// mergePages reads one list of pages and merges them, the first under the given number. It
// returns their number and the value of after for the next list.
func (r *Runner) mergePages(ctx context.Context, j *job, after string, first int) (count int, next string, err error) {
	if err := r.pageReads.Acquire(ctx, 1); err != nil {
		return 0, "", err
	}
	defer r.pageReads.Release(1)
	pages, next, err := r.seams.Store.PagesAfter(ctx, j.batch.ID, after)
	if err != nil {
		return 0, "", err
	}
	r.do(ctx, func(context.Context) {
		if ctx.Err() != nil {
			return
		}
		for i, page := range pages {
			r.merge(j, first+i, page)
		}
	})
	return len(pages), next, nil
}

// pagesLoaded starts the execution of a batch whose pages have been read.
func (r *Runner) pagesLoaded(j *job) {
	j.loaded = true
	b := j.batch
	r.log.WithFields(logrus.Fields{
		"batch": b.ID, "items": b.Count, "pages": j.pages, "listed": j.listed, logs.Step: b.Step, logs.Fence: r.seams.Role().Epoch,
		logs.Model: b.Model, "oldest": b.MinVersion, "age_ms": r.timers.Since(b.Time).Milliseconds(),
	}).Info("batch started")
	r.dropIfComplete(j)
}

// dropIfComplete ends the execution of a batch whose results are all listed.
func (r *Runner) dropIfComplete(j *job) {
	if j.listed < j.batch.Count {
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
		r.keepText(t)
	}
	j.cancel()
	r.pages.dropAll(j)
	r.forgetListed(j)
	j.ctx, j.loaded, j.writing, j.progress = nil, false, false, nil
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
			"batch": id, "listed": j.listed, "items": j.batch.Count,
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
		r.removeTask(t)
	}
	r.forgetListed(j)
	j.tasks = nil
	if j.loaded && !j.writing {
		r.doneJobs.Add(j.batch.ID, j)
	} else {
		r.pages.dropAll(j)
	}
	if i := slices.Index(r.jobs, j); i >= 0 {
		r.jobs = slices.Delete(r.jobs, i, i+1)
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
func (r *Runner) merge(j *job, number int, page batch.Page) {
	if number != j.pages {
		return
	}
	for _, result := range page.Results {
		t, known := j.byID[result.ID]
		if !known {
			r.noteListed(j, result.ID)
			continue
		}
		if t.state != stateListed {
			r.markListed(t, result)
		}
	}
	j.listed = page.Start + len(page.Results)
	j.pages++
	encoded, err := json.Marshal(page)
	if err != nil {
		encoded = nil // callers read it in the store
	}
	j.encodedPages = append(j.encodedPages, r.pages.add(encoded))
	close(j.pageAdded)
	j.pageAdded = make(chan struct{})
	kept := j.ready[:0]
	j.readyBytes = 0
	for _, result := range j.ready {
		if t, known := j.byID[result.ID]; known && t.state != stateListed {
			kept = append(kept, result)
			j.readyBytes += resultSize(result)
		}
	}
	clear(j.ready[len(kept):])
	j.ready = kept
}

// markListed records that the result of an item is in a page.
func (r *Runner) markListed(t *task, result batch.Result) {
	j := t.job
	if t.state != stateReady && result.Done {
		j.progress.Finish(t.item.Group)
	}
	t.state, t.listedLate = stateListed, j.schedule.Complete
	if t.cancel != nil {
		t.cancel(nil)
	}
	r.keepText(t)
}

// keepText counts the text of an item as one that is kept in case that it is needed again.
func (r *Runner) keepText(t *task) {
	if len(t.text.pieces) > 0 {
		r.keptTexts.keep(t)
	}
}
