package relay

import (
	"context"
	"strconv"
	"sync"
	"time"
)

// SharedWatches merges concurrent equal watches into one call to the store,
// whose reply all their callers get. Other calls are made separately.
type SharedWatches struct {
	direct CallFunc
	slack  time.Duration

	mu      sync.Mutex
	flights map[string]*flight
}

// flight is a watch in progress.
type flight struct {
	cancel   context.CancelFunc
	finished chan struct{}
	reply    Reply
	err      error
}

// NewSharedWatches returns a SharedWatches that makes its calls with direct. The
// timeout of a watch is its Wait and slack.
func NewSharedWatches(direct CallFunc, slack time.Duration) *SharedWatches {
	return &SharedWatches{direct: direct, slack: slack, flights: map[string]*flight{}}
}

// Call makes the call or joins an equal watch in progress. A caller that joins
// late gets the reply after less than its own Wait.
func (s *SharedWatches) Call(ctx context.Context, call Call) (Reply, error) {
	if call.Wait <= 0 {
		return s.direct(ctx, call)
	}
	f := s.join(ctx, call)
	select {
	case <-f.finished:
		return f.reply, f.err
	case <-ctx.Done():
		return Reply{}, NewError(true, ctx.Err())
	}
}

// join returns the flight of an equal watch, or starts one. A flight continues
// after the caller that started it has gone.
func (s *SharedWatches) join(ctx context.Context, call Call) *flight {
	key := call.Path + "?" + call.Query + "#" + strconv.FormatInt(int64(call.Wait/time.Millisecond), 10)
	s.mu.Lock()
	defer s.mu.Unlock()
	if f, found := s.flights[key]; found {
		return f
	}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), call.Wait+s.slack)
	f := &flight{cancel: cancel, finished: make(chan struct{})}
	s.flights[key] = f
	go func() {
		defer cancel()
		f.reply, f.err = s.direct(limited, call)
		s.mu.Lock()
		delete(s.flights, key)
		s.mu.Unlock()
		close(f.finished)
	}()
	return f
}

// Cancel ends the watches in progress, so that their callers fall back to
// another path.
func (s *SharedWatches) Cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.flights {
		f.cancel()
	}
}
