package relay

import (
	"context"
	"strconv"
	"sync"
	"time"
)

// Shared makes equal watches once for all callers that wait for them at the
// same time. Other calls are made one by one.
type Shared struct {
	direct Direct
	slack  time.Duration

	mu      sync.Mutex
	flights map[string]*flight
}

// flight is a watch under way.
type flight struct {
	cancel   context.CancelFunc
	finished chan struct{}
	reply    Reply
	err      error
}

// NewShared returns a Shared that makes its calls by direct. A watch may take
// slack longer than the store waits.
func NewShared(direct Direct, slack time.Duration) *Shared {
	return &Shared{direct: direct, slack: slack, flights: map[string]*flight{}}
}

// Call makes the call or joins an equal watch. A caller that joins late waits
// the shorter.
func (s *Shared) Call(ctx context.Context, call Call) (Reply, error) {
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

// join returns the flight of an equal watch, which is started when there is
// none. It outlives the caller that started it.
func (s *Shared) join(ctx context.Context, call Call) *flight {
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

// Drop ends the watches under way, so that those who wait for them look for
// another way.
func (s *Shared) Drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.flights {
		f.cancel()
	}
}
