package relay

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
)

const (
	// maxKept is the number of replies that a SharedCalls keeps for reuse. A reply is
	// dropped once a later one is kept and it is too old.
	maxKept = 64
	// maxKeptBytes bounds the size of these replies together. A process that starts lists
	// all pages of a kind within the time for which they may be reused.
	maxKeptBytes = 8 << 20
)

// ReuseFunc returns for how long the reply to a shared call may also be the reply to
// further equal calls, from the beginning of the call on; 0 if it may not.
type ReuseFunc func(call Call, reply Reply) time.Duration

// SharedCalls merges concurrent equal watches and equal calls with Call.Shared into
// one call to the store, whose reply all their callers get. Other calls are made
// separately.
type SharedCalls struct {
	direct CallFunc
	slack  time.Duration
	reuse  ReuseFunc
	uptime func() time.Duration

	mu      sync.Mutex
	flights map[string]*flight
	kept    *simplelru.LRU[string, keptReply]
	size    int // of the kept replies, in bytes
}

// flight is a call in progress.
type flight struct {
	cancel   context.CancelFunc
	finished chan struct{}
	reply    Reply
	err      error
}

// keptReply is a reply that may be reused until an uptime.
type keptReply struct {
	reply Reply
	until time.Duration
}

// NewSharedCalls returns a SharedCalls that makes its calls with direct. The timeout
// of a call is its Wait and slack. reuse may be nil.
func NewSharedCalls(direct CallFunc, slack time.Duration, reuse ReuseFunc) *SharedCalls {
	s := &SharedCalls{direct: direct, slack: slack, reuse: reuse, uptime: clock.Uptime, flights: map[string]*flight{}}
	kept, err := simplelru.NewLRU(maxKept, func(_ string, dropped keptReply) { s.size -= len(dropped.reply.Body) })
	if err != nil {
		panic(err) // the size is a positive constant
	}
	s.kept = kept
	return s
}

// Call makes the call, joins an equal one in progress or reuses its reply. A caller
// that joins a watch late gets the reply after less than its own Wait.
func (s *SharedCalls) Call(ctx context.Context, call Call) (Reply, error) {
	if call.Wait <= 0 && !call.Shared {
		return s.direct(ctx, call)
	}
	f, reply := s.join(ctx, call)
	if f == nil {
		return reply, nil
	}
	select {
	case <-f.finished:
		return f.reply, f.err
	case <-ctx.Done():
		return Reply{}, NewError(true, ctx.Err())
	}
}

// join returns the flight of an equal call, or starts one. It returns no flight if a
// reply is reused. A flight continues after the caller that started it has gone.
func (s *SharedCalls) join(ctx context.Context, call Call) (*flight, Reply) {
	key := call.Method + " " + call.Path + "?" + call.Query + "#" + strconv.FormatInt(int64(call.Wait/time.Millisecond), 10)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.uptime()
	if kept, found := s.kept.Get(key); found {
		if now < kept.until {
			return nil, kept.reply
		}
		s.kept.Remove(key)
	}
	if f, found := s.flights[key]; found {
		return f, Reply{}
	}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), call.Wait+s.slack)
	f := &flight{cancel: cancel, finished: make(chan struct{})}
	s.flights[key] = f
	go func() {
		defer cancel()
		f.reply, f.err = s.direct(limited, call)
		s.finish(key, f, call, now)
	}()
	return f, Reply{}
}

// finish ends a flight, and keeps its reply if that may be reused. A watch has waited
// for what it replies, so that its reply counts from now on.
func (s *SharedCalls) finish(key string, f *flight, call Call, began time.Duration) {
	reusable := time.Duration(0)
	if f.err == nil && s.reuse != nil {
		reusable = s.reuse(call, f.reply)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.flights, key)
	now := s.uptime()
	if call.Wait > 0 {
		began = now
	}
	if reusable > 0 {
		s.dropExpired(now)
		s.keep(key, keptReply{reply: f.reply, until: began + reusable})
	}
	close(f.finished)
}

// keep keeps a reply, and drops the oldest ones that are too many. It must be called with
// mu locked.
func (s *SharedCalls) keep(key string, reply keptReply) {
	s.kept.Remove(key)
	s.kept.Add(key, reply)
	s.size += len(reply.reply.Body)
	for s.size > maxKeptBytes {
		s.kept.RemoveOldest()
	}
}

// dropExpired drops the replies that may not be reused any more: each watch has a key of
// its own, so that nobody asks for them again. It must be called with mu locked.
func (s *SharedCalls) dropExpired(now time.Duration) {
	for _, key := range s.kept.Keys() {
		if kept, found := s.kept.Peek(key); found && now >= kept.until {
			s.kept.Remove(key)
		}
	}
}

// Cancel ends the calls in progress, so that their callers fall back to another path.
func (s *SharedCalls) Cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.flights {
		f.cancel()
	}
}
