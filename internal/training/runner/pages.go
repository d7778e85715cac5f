package runner

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
	"github.com/wigeonpin/wigeonpin/internal/training/listing"
)

// fullPageFraction is the fraction of a page from which on ready results are
// listed. The rest is for the results that become ready meanwhile.
const fullPageFraction = 0.7

// pageDue reports whether the ready results of a batch are to be listed now.
func (j *job) pageDue(now time.Time, limit int) bool {
	if !j.loaded || j.writing || len(j.ready) == 0 || now.Before(j.retryAt) {
		return false
	}
	ready := listing.Ready{
		Since:    j.readySince,
		Complete: j.progress.Complete() || j.listed+len(j.ready) >= j.batch.Count,
		Full:     float64(j.readyBytes) > fullPageFraction*float64(limit),
	}
	return !now.Before(j.schedule.Next(ready))
}

// writePages starts to write the next page of each batch whose ready results are
// to be listed.
func (r *Runner) writePages(ctx context.Context) {
	now := r.timers.Now()
	limit := maxPageBytes(r.seams.ValueBytes)
	for _, j := range r.jobs {
		if !j.pageDue(now, limit) {
			continue
		}
		page := j.nextPage(limit)
		number, jobCtx := j.pages, j.ctx
		j.writing = true
		go func() {
			role := r.seams.Role()
			err := r.seams.Store.Append(ctx, j.batch.ID, number, page)
			entry := r.log.WithFields(logrus.Fields{
				"batch": j.batch.ID, "page": number, "start": page.Start, "results": len(page.Results),
				logs.Fence: role.Epoch, "held": role.Held, "held_after": r.seams.Role().Held,
			})
			if err != nil {
				entry = entry.WithField(logs.Cause, err.Error())
			}
			entry.Info("result page sent to the store")
			if errors.Is(err, records.ErrConflict) || errors.Is(err, records.ErrUnknownOutcome) {
				page, err = r.seams.Store.Page(ctx, j.batch.ID, number)
			}
			r.post(jobCtx, func(context.Context) {
				if jobCtx.Err() == nil {
					r.pageWritten(j, number, page, err)
				}
			})
		}()
	}
}

// nextPage returns a page of ready results of at most limit bytes, but with at
// least one result.
func (j *job) nextPage(limit int) batch.Page {
	size, count := 0, 0
	for _, result := range j.ready {
		size += resultSize(result)
		if count > 0 && size > limit {
			break
		}
		count++
	}
	return batch.Page{Start: j.listed, Results: append([]batch.Result(nil), j.ready[:count]...)}
}

// pageWritten handles the end of a write. The page is the one that the store has
// under the number; another worker may have written it.
func (r *Runner) pageWritten(j *job, number int, page batch.Page, err error) {
	j.writing = false
	if err != nil {
		j.retryAt = r.timers.Now().Add(pageRetryDelay)
		r.log.WithFields(logrus.Fields{"batch": j.batch.ID, "page": number, logs.Cause: err.Error()}).Warn("result page not written, retrying")
		return
	}
	r.merge(j, number, page)
	now := r.timers.Now()
	j.readySince = now
	j.schedule = j.schedule.WithPage(now, j.progress.Complete() && len(j.ready) == 0)
	r.dropIfComplete(j)
}
