package runner

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/peer/conn"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

const (
	// maxPageWait bounds how long a call waits for a page.
	maxPageWait = 2 * time.Second
	// peerCallTimeout bounds a call to a worker, in addition to the time that the
	// call asks the worker to wait.
	peerCallTimeout = 300 * time.Millisecond
	// noWorkerBackoff is how long no worker is called after none was active.
	noWorkerBackoff = 500 * time.Millisecond
)

// Pages returns the pages of a batch that the caller does not know. There may be
// others in the store: a former holder of the role may have written them.
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
		if err != nil || !reply.Active {
			return reply, err
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

// NewFinder returns a function that asks the nearest worker for a batch. It
// reports false when that worker does not know the batch.
func NewFinder(peers func() []string) batch.FindFunc {
	client := conn.NewPeerClient(dialTimeout, http.DefaultMaxIdleConnsPerHost)
	return func(ctx context.Context, id string) (*batch.Batch, bool) {
		addresses := peers()
		if len(addresses) == 0 {
			return nil, false
		}
		limited, cancel := context.WithTimeout(ctx, peerCallTimeout)
		defer cancel()
		nearest := addresses[len(addresses)-1] // those of the own availability zone are last
		reply, err := NewProgressProtobufClient("http://"+nearest, client).Batch(limited, &BatchRequest{Batch: id})
		if err != nil || len(reply.GetBody()) == 0 {
			return nil, false
		}
		var b batch.Batch
		if err := json.Unmarshal(reply.GetBody(), &b); err != nil {
			return nil, false
		}
		return &b, true
	}
}

// NewFollower returns a function that asks the worker that executes a batch for
// the pages after the known ones.
func NewFollower(peers func() []string) batch.FollowFunc {
	client := conn.NewPeerClient(dialTimeout, http.DefaultMaxIdleConnsPerHost)
	var active atomic.Pointer[string]
	var pausedUntil atomic.Int64 // Unix nanoseconds until which no worker is called
	return func(ctx context.Context, id string, known int, wait time.Duration) batch.Update {
		if time.Now().UnixNano() < pausedUntil.Load() {
			return batch.Update{}
		}
		addresses := peers()
		if last := active.Load(); last != nil {
			addresses = append([]string{*last}, addresses...)
		}
		for _, address := range addresses {
			limited, cancel := context.WithTimeout(ctx, wait+peerCallTimeout)
			reply, err := NewProgressProtobufClient("http://"+address, client).Pages(limited, &PagesRequest{
				Batch: id, Known: int64(known), Wait: wait.Milliseconds(),
			})
			cancel()
			if err == nil && reply.GetActive() {
				active.Store(&address)
				pages, decoded := decodePages(reply.GetPages())
				return batch.Update{Worker: address, Active: decoded, Pages: pages}
			}
			if ctx.Err() != nil {
				return batch.Update{}
			}
		}
		active.Store(nil)
		pausedUntil.Store(time.Now().Add(noWorkerBackoff).UnixNano())
		return batch.Update{}
	}
}

func decodePages(encoded [][]byte) ([]batch.Page, bool) {
	pages := make([]batch.Page, len(encoded))
	for i, text := range encoded {
		if err := json.Unmarshal(text, &pages[i]); err != nil {
			return nil, false
		}
	}
	return pages, true
}
