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
			reply.Active, pageAdded = true, j.pageAdded
			if known := int(request.GetKnown()); known < len(j.encodedPages) {
				reply.Pages = j.encodedPages[max(0, known):]
			}
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

// Batch returns a batch that is being executed here or was completed recently.
// The reply is empty for any other batch.
func (h *peerHandler) Batch(ctx context.Context, request *BatchRequest) (*BatchReply, error) {
	reply := &BatchReply{}
	var known *batch.Batch
	err := h.do(ctx, func() {
		if j := h.runner.findJob(request.GetBatch()); j != nil {
			known = j.batch
		} else if j, found := h.runner.doneJobs.Get(request.GetBatch()); found {
			known = j.batch
		}
	})
	if err != nil || known == nil {
		return reply, err
	}
	reply.Body, err = json.Marshal(known)
	return reply, err
}
