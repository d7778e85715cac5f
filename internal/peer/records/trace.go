package records

import (
	"context"
	"sync"
	"time"
)

// PathDirect is the path of a call that was made on this process's own connection.
// Other paths are the addresses of the processes that made the call.
const PathDirect = "direct"

// Trace notes how one read of the store was made: on which path its last attempt went,
// and when that attempt began. The answer of the store can be no older than that. It is
// safe for concurrent use.
type Trace struct {
	uptime func() time.Duration

	mu    sync.Mutex
	began time.Duration
	path  string
}

type traceKey struct{}

// WithTrace returns a context for one read of the store, and the trace of the read. The
// read counts as begun now, until an attempt is noted.
func WithTrace(ctx context.Context, uptime func() time.Duration) (context.Context, *Trace) {
	t := &Trace{uptime: uptime, began: uptime(), path: PathDirect}
	return context.WithValue(ctx, traceKey{}, t), t
}

// NoteAttempt notes that an attempt begins on a path, if the context has a trace.
func NoteAttempt(ctx context.Context, path string) {
	t, found := ctx.Value(traceKey{}).(*Trace)
	if !found {
		return
	}
	began := t.uptime()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.began, t.path = began, path
}

// Last returns when the last attempt began, as uptime, and its path.
func (t *Trace) Last() (began time.Duration, path string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.began, t.path
}
