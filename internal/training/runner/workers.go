package runner

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/wigeonpin/wigeonpin/internal/peer/conn"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

const (
	// peerCallTimeout bounds a call to a worker, in addition to the time that the
	// call asks the worker to wait.
	peerCallTimeout = 300 * time.Millisecond
	// noWorkerBackoff is how long no worker is called after none was active.
	noWorkerBackoff = 500 * time.Millisecond
	// silentWorkerBackoff is how long a worker that did not answer is asked after the
	// others.
	silentWorkerBackoff = 15 * time.Second
	// maxSilentWorkers is the number of workers without an answer after which a call
	// goes to the store. The list of the workers may contain many that are gone.
	maxSilentWorkers = 2
)

// Workers asks the workers about batches for an entry process. It is safe for
// concurrent use.
type Workers struct {
	peers  func() []string
	client *http.Client

	mu          sync.Mutex
	active      string               // address of the worker that held the role last
	silentUntil map[string]time.Time // by address
	pausedUntil time.Time            // no worker is called before this time
}

// NewWorkers returns a Workers of the processes at the addresses that peers returns,
// those of the own availability zone last.
func NewWorkers(peers func() []string) *Workers {
	return &Workers{
		peers: peers, client: conn.NewPeerClient(dialTimeout, http.DefaultMaxIdleConnsPerHost),
		silentUntil: map[string]time.Time{},
	}
}

// Find asks the nearest worker that answers for a batch, which may lack its items. It
// reports false when that worker does not know the batch.
func (w *Workers) Find(ctx context.Context, id string) (*batch.Batch, bool) {
	address := w.nearest()
	if address == "" {
		return nil, false
	}
	limited, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	reply, err := NewProgressProtobufClient("http://"+address, w.client).Batch(limited, &BatchRequest{Batch: id})
	if err != nil && ctx.Err() == nil {
		w.silent(address)
	}
	body := reply.GetBody()
	if len(body) == 0 {
		body = reply.GetHead()
	}
	if err != nil || len(body) == 0 {
		return nil, false
	}
	var b batch.Batch
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, false
	}
	return &b, true
}

// nearest returns the address of the nearest worker that answered lately, or "".
func (w *Workers) nearest() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, address := range slices.Backward(w.peers()) {
		if !now.Before(w.silentUntil[address]) {
			return address
		}
	}
	return ""
}

// Follow asks one worker after the other for the pages after the known ones, until one
// answers that has the batch and holds the role. They share the wait, so that a worker
// that does not answer leaves less of it to the next one.
func (w *Workers) Follow(ctx context.Context, id string, known int, wait time.Duration) batch.Update {
	deadline := time.Now().Add(wait)
	silent := 0
	for _, address := range w.candidates() {
		if silent >= maxSilentWorkers {
			break
		}
		rest := max(0, time.Until(deadline))
		limited, cancel := context.WithTimeout(ctx, rest+peerCallTimeout)
		reply, err := NewProgressProtobufClient("http://"+address, w.client).Pages(limited, &PagesRequest{
			Batch: id, Known: int64(known), Wait: rest.Milliseconds(),
		})
		cancel()
		switch {
		case err == nil && reply.GetActive():
			w.answered(address)
			pages, decoded := decodePages(reply.GetPages())
			return batch.Update{Worker: address, Active: decoded, Pages: pages}
		case isNotFound(err):
			w.answered(address)
			return batch.Update{}
		case ctx.Err() != nil:
			return batch.Update{}
		case err != nil:
			w.silent(address)
			silent++
		}
	}
	w.pause()
	return batch.Update{}
}

// candidates returns the addresses of the workers in the order in which they are
// asked: the one that held the role last, the others, and those that did not answer
// lately. It returns none for a while after none was active.
func (w *Workers) candidates() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Before(w.pausedUntil) {
		return nil
	}
	addresses := slices.Clone(w.peers())
	rank := func(address string) int {
		switch {
		case now.Before(w.silentUntil[address]):
			return 2
		case address == w.active:
			return 0
		}
		return 1
	}
	slices.SortStableFunc(addresses, func(a, b string) int { return rank(a) - rank(b) })
	return addresses
}

// answered records that the worker at the address holds the role.
func (w *Workers) answered(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active = address
	delete(w.silentUntil, address)
}

// silent records that the worker at the address did not answer in time.
func (w *Workers) silent(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for other, until := range w.silentUntil {
		if now.After(until) {
			delete(w.silentUntil, other)
		}
	}
	w.silentUntil[address] = now.Add(silentWorkerBackoff)
}

// pause keeps workers from being called while none is active.
func (w *Workers) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().After(w.pausedUntil) {
		w.active, w.pausedUntil = "", time.Now().Add(noWorkerBackoff)
	}
}

// isNotFound reports whether a worker holds the role, but does not know the pages of
// the batch.
func isNotFound(err error) bool {
	var failed twirp.Error
	return errors.As(err, &failed) && failed.Code() == twirp.NotFound
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
