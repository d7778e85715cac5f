package mirror

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

// Guards against a process that resumes after a pause and counts an answer which the
// store gave before the pause as a fresh one. The answer to a watch that began before
// the pause says nothing of what has changed during it.
func TestAnswerFromBeforeAPauseIsStale(t *testing.T) {
	const wait = time.Second
	var now atomic.Int64
	began, answer := make(chan struct{}), make(chan struct{})
	store := records.Store{
		List: func(context.Context, string, string) (records.Page, error) { return records.Page{Revision: 1}, nil },
		Watch: func(ctx context.Context, _ string, after uint64, _ time.Duration) (records.Changes, error) {
			for _, step := range []chan struct{}{began, answer} {
				select {
				case step <- struct{}{}:
				case <-ctx.Done():
					return records.Changes{}, ctx.Err()
				}
			}
			return records.Changes{Revision: after}, nil
		},
	}
	m := New(store, "things", Options{Wait: wait, Apply: func(records.Record) {}}, clock.NewSystem(), logs.Discard()).
		WithUptime(func() time.Duration { return time.Duration(now.Load()) })
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan struct{})
	go func() { defer close(finished); m.Run(ctx) }()
	defer func() { cancel(); <-finished }()
	<-began
	now.Add(int64(time.Minute)) // the pause, during which the answer arrives
	<-answer
	<-began // the next watch, after the answer was taken
	if !m.Stale() {
		t.Error("not stale after an answer from before the pause")
	}
}
