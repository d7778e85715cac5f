package runner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

// maxPageWait bounds how long a call waits for a page.
const maxPageWait = 2 * time.Second

// Pages returns the pages of a batch that the caller does not know. There may be
// others in the store: a former holder of the role may have written them. A worker
// that holds the role and does not know the pages answers with NotFound.
func (h *peerHandler) Pages(ctx context.Context, request *PagesRequest) (*PagesReply, error) {
	wait := min(time.Duration(request.GetWait())*time.Millisecond, maxPageWait)
	timer := h.runner.timers.After(wait)
	defer timer.Stop()
	for {
		var pageAdded <-chan struct{}
		reply := &PagesReply{}
		err := h.do(ctx, func() {
			j := h.runner.readableJob(request.GetBatch())
			if j == nil {
				return
			}
			reply.Pages, reply.Active = j.pagesFrom(max(0, int(request.GetKnown())))
			pageAdded = j.pageAdded
		})
		if err != nil {
			return nil, err
		}
		if !reply.Active && h.runner.seams.Role().Held {
			return nil, twirp.NotFoundError("the pages of the batch are not known")
		}
		if !reply.Active {
			return reply, nil
		}
		if len(reply.Pages) > 0 {
			return reply, nil
		}
		select {
		case <-pageAdded:
		case <-timer.C:
			reply.Active = h.runner.seams.Role().Held
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// maxReplyPages is the size of the pages from which on a reply holds no further one.
const maxReplyPages = 1 << 20

// pagesFrom returns the encoded pages from a number on. It reports false if the first of
// them is not in memory any more.
func (j *job) pagesFrom(number int) (pages [][]byte, known bool) {
	size := 0
	for ; number < len(j.encodedPages) && size < maxReplyPages; number++ {
		body := j.encodedPages[number].body
		if body == nil {
			return pages, len(pages) > 0
		}
		pages = append(pages, body)
		size += len(body)
	}
	return pages, true
}

// Batch returns a batch that is being executed here or was completed recently, without
// its items unless all of them are in memory and small. The reply is empty for any other
// batch.
func (h *peerHandler) Batch(ctx context.Context, request *BatchRequest) (*BatchReply, error) {
	var known *batch.Batch
	err := h.do(ctx, func() {
		if j := h.runner.findJob(request.GetBatch()); j != nil {
			known = j.withItems(maxReplyItems)
		} else if j, found := h.runner.doneJobs.Get(request.GetBatch()); found {
			known = j.batch
		}
	})
	if err != nil || known == nil {
		return &BatchReply{}, err
	}
	encoded, err := json.Marshal(known)
	if err == nil && known.Whole() {
		return &BatchReply{Body: encoded}, nil
	}
	return &BatchReply{Head: encoded}, err
}

// maxReplyItems bounds the cost of the items in a reply.
const maxReplyItems = 1 << 20

// withItems returns the batch with its items, or without them if some are not in memory
// or if they cost more than limit.
func (j *job) withItems(limit int64) *batch.Batch {
	if len(j.tasks) != j.batch.Count || j.cost > limit {
		return j.batch
	}
	whole := j.batch.Head()
	for _, t := range j.tasks {
		whole.Items = append(whole.Items, *t.item)
	}
	return whole
}
