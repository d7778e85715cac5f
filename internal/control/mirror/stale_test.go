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

// Guards against a process that resumes after a pause and relies on what it
// knew before: it must notice the pause from its clock, before any answer
// comes. A store that is known to be unavailable does not count as a pause.
func TestStale(t *testing.T) {
	const wait = time.Second
	watchResults := make(chan error)
	var now atomic.Int64
	store := records.Store{
		List: func(context.Context, string, string) (records.Page, error) { return records.Page{Revision: 1}, nil },
		Watch: func(ctx context.Context, _ string, after uint64, _ time.Duration) (records.Changes, error) {
			select {
			case err := <-watchResults:
				return records.Changes{Revision: after}, err
			case <-ctx.Done():
				return records.Changes{}, ctx.Err()
			}
		},
	}
	timers := clock.NewSystem().WithUptime(func() time.Duration { return time.Duration(now.Load()) })
	m := New(store, "things", Options{Wait: wait, Apply: func(records.Record) {}}, timers, logs.Discard())
	if m.Stale() {
		t.Error("stale before the first list")
	}
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan struct{})
	go func() { defer close(finished); m.Run(ctx) }()
	defer func() { cancel(); <-finished }()
	watchResults <- nil
	expect := func(when string, want bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); m.Stale() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: stale %v, want %v", when, !want, want)
			}
		}
	}
	expect("after the list", false)
	now.Add(int64(callAttempts*wait + callOverhead))
	expect("while the calls may still be in progress", false)
	now.Add(int64(time.Second))
	expect("after a pause", true)
	watchResults <- nil
	expect("after an answer", false)
	now.Add(int64(time.Minute))
	expect("after another pause", true)
	watchResults <- records.ErrRefused
	expect("while the store is unavailable", false)
}

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
	timers := clock.NewSystem().WithUptime(func() time.Duration { return time.Duration(now.Load()) })
	m := New(store, "things", Options{Wait: wait, Apply: func(records.Record) {}}, timers, logs.Discard())
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
