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
	// watchGrace is how long the watch for batches may take to return a batch that
	// another process knows.
	watchGrace = 100 * time.Millisecond
	// batchWait is how long a call about an unknown batch waits for it, and
	// batchPoll the pause between two checks.
	batchWait = 250 * time.Millisecond
	batchPoll = 30 * time.Millisecond
	// noWorkerBackoff is how long no worker is called after none was active.
	noWorkerBackoff = 500 * time.Millisecond
)

// Pages returns the pages of a batch that the caller does not know. Only the
// worker that holds the role can tell that there are no others.
func (h *peerHandler) Pages(ctx context.Context, request *PagesRequest) (*PagesReply, error) {
	wait := min(time.Duration(request.GetWait())*time.Millisecond, maxPageWait)
	timer := h.runner.timers.After(wait)
	defer timer.Stop()
	if err := h.awaitBatch(ctx, request.GetBatch()); err != nil {
		return nil, err
	}
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
			reply.Active = h.held()
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// awaitBatch waits for a batch that the active worker does not know yet, or whose
// pages it is reading, at most for batchWait.
func (h *peerHandler) awaitBatch(ctx context.Context, id string) error {
	for start := h.runner.timers.Now(); h.runner.timers.Since(start) < batchWait; {
		wait := false
		err := h.do(ctx, func() {
			j := h.runner.findJob(id)
			wait = h.runner.active && (!h.runner.knows(id) || j != nil && !j.loaded)
			h.runner.fetchIfUnknown(h.ctx, id)
		})
		if err != nil || !wait {
			return err
		}
		if err := h.runner.timers.Sleep(ctx, batchPoll); err != nil {
			return err
		}
	}
	return nil
}

// fetchIfUnknown reads a batch that is unknown here although a caller waits for its
// results. It leaves the watch for batches some time to return it first.
func (r *Runner) fetchIfUnknown(ctx context.Context, id string) {
	if !r.active || r.seams.Fetch == nil || r.fetching[id] || r.knows(id) {
		return
	}
	r.fetching[id] = true
	go func() {
		if r.timers.Sleep(ctx, watchGrace) != nil {
			return
		}
		unknown := make(chan bool, 1)
		r.post(ctx, func(context.Context) { unknown <- !r.knows(id) })
		select {
		case fetch := <-unknown:
			if fetch {
				r.log.WithField("batch", id).Info("batch read that the watch did not return")
				r.seams.Fetch(ctx, id)
			}
		case <-ctx.Done():
		}
		r.post(ctx, func(context.Context) { delete(r.fetching, id) })
	}()
}

// knows reports whether the batch is open here, ended, or was completed recently.
func (r *Runner) knows(id string) bool {
	return r.ended[id] || r.findJob(id) != nil || r.doneJobs.Contains(id)
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

// Follower asks the worker that executes batches about their results.
type Follower struct {
	peers       func() []string
	client      *http.Client
	active      atomic.Pointer[string] // address of the worker that was active last
	pausedUntil atomic.Int64           // Unix nanoseconds until which no worker is called
}

// NewFollower returns a follower. peers returns the addresses of the workers.
func NewFollower(peers func() []string) *Follower {
	return &Follower{peers: peers, client: conn.NewPeerClient(dialTimeout, http.DefaultMaxIdleConnsPerHost)}
}

// addresses returns the addresses of the workers, that of the active one first.
func (f *Follower) addresses() []string {
	addresses := f.peers()
	if last := f.active.Load(); last != nil {
		addresses = append([]string{*last}, addresses...)
	}
	return addresses
}

// Pages returns the pages of a batch after the known ones. It reports false when
// no active worker answers.
func (f *Follower) Pages(ctx context.Context, id string, known int, wait time.Duration) ([]batch.Page, bool) {
	if time.Now().UnixNano() < f.pausedUntil.Load() {
		return nil, false
	}
	for _, address := range f.addresses() {
		reply, err := f.ask(ctx, address, id, known, wait)
		if err == nil && reply.GetActive() {
			f.active.Store(&address)
			return decodePages(reply.GetPages())
		}
		if ctx.Err() != nil {
			return nil, false
		}
	}
	f.active.Store(nil)
	f.pausedUntil.Store(time.Now().Add(noWorkerBackoff).UnixNano())
	return nil, false
}

// Announce tells the active worker of a batch that was accepted, since its own
// watch may be late. An active worker reads a batch that it is asked for and does
// not know.
func (f *Follower) Announce(ctx context.Context, id string) {
	for _, address := range f.addresses() {
		reply, err := f.ask(ctx, address, id, 0, 0)
		if err == nil && reply.GetActive() {
			f.active.Store(&address)
			return
		}
	}
}

func (f *Follower) ask(ctx context.Context, address, id string, known int, wait time.Duration) (*PagesReply, error) {
	limited, cancel := context.WithTimeout(ctx, wait+peerCallTimeout)
	defer cancel()
	return NewProgressProtobufClient("http://"+address, f.client).Pages(limited, &PagesRequest{
		Batch: id, Known: int64(known), Wait: wait.Milliseconds(),
	})
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
