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
	silentWorkerBackoff = 3 * time.Second
)

// follower asks the worker that executes a batch for its pages.
type follower struct {
	peers  func() []string
	client *http.Client

	mu          sync.Mutex
	active      string               // address of the worker that held the role last
	silentUntil map[string]time.Time // by address
	pausedUntil time.Time            // no worker is called before this time
}

// NewFollower returns a function that asks the worker that executes a batch for
// the pages after the known ones.
func NewFollower(peers func() []string) batch.FollowFunc {
	f := &follower{
		peers: peers, client: conn.NewPeerClient(dialTimeout, http.DefaultMaxIdleConnsPerHost),
		silentUntil: map[string]time.Time{},
	}
	return f.follow
}

// follow asks one worker after the other until one answers that has the batch and
// holds the role. They share the wait, so that a worker that does not answer leaves
// less of it to the next one.
func (f *follower) follow(ctx context.Context, id string, known int, wait time.Duration) batch.Update {
	deadline := time.Now().Add(wait)
	for _, address := range f.candidates() {
		rest := max(0, time.Until(deadline))
		limited, cancel := context.WithTimeout(ctx, rest+peerCallTimeout)
		reply, err := NewProgressProtobufClient("http://"+address, f.client).Pages(limited, &PagesRequest{
			Batch: id, Known: int64(known), Wait: rest.Milliseconds(),
		})
		timedOut := limited.Err() != nil
		cancel()
		switch {
		case err == nil && reply.GetActive():
			f.answered(address)
			pages, decoded := decodePages(reply.GetPages())
			return batch.Update{Worker: address, Active: decoded, Pages: pages}
		case isNotFound(err):
			f.answered(address)
			return batch.Update{}
		case timedOut:
			f.silent(address)
		}
		if ctx.Err() != nil {
			return batch.Update{}
		}
	}
	f.pause()
	return batch.Update{}
}

// candidates returns the addresses of the workers in the order in which they are
// asked: the one that held the role last, the others, and those that did not answer
// lately. It returns none for a while after none was active.
func (f *follower) candidates() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Before(f.pausedUntil) {
		return nil
	}
	addresses := slices.Clone(f.peers())
	rank := func(address string) int {
		switch {
		case now.Before(f.silentUntil[address]):
			return 2
		case address == f.active:
			return 0
		}
		return 1
	}
	slices.SortStableFunc(addresses, func(a, b string) int { return rank(a) - rank(b) })
	return addresses
}

// answered records that the worker at the address holds the role.
func (f *follower) answered(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = address
	delete(f.silentUntil, address)
}

// silent records that the worker at the address did not answer in time.
func (f *follower) silent(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for other, until := range f.silentUntil {
		if now.After(until) {
			delete(f.silentUntil, other)
		}
	}
	f.silentUntil[address] = now.Add(silentWorkerBackoff)
}

// pause keeps workers from being called while none is active.
func (f *follower) pause() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Now().After(f.pausedUntil) {
		f.active, f.pausedUntil = "", time.Now().Add(noWorkerBackoff)
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
