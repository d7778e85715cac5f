package idempotency

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
)

// Guards against an instance that takes its own calls to silent homes for a pause
// of its process, so that it covers no id any more and refuses calls for the whole
// resend window.
func TestHomesAreObservedWhileOthersAreSilent(t *testing.T) {
	g := newGroup()
	all := []string{"a1", "b1"}
	for _, id := range all {
		g.start(id, viewOf(all))
	}
	g.advance(66 * time.Second)
	r := g.nodes["a1"].records
	if got := g.claim("a1", "x", "d"); got != "claimed" {
		t.Fatalf("claim gave %q", got)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	observed := func() bool {
		r.history.mu.Lock()
		defer r.history.mu.Unlock()
		return r.history.observedAt.Equal(g.timers.Now())
	}
	// A call to b1 waits until the end of the test.
	entered := make(chan struct{}, 1)
	r.seams.Refused = func(error) bool {
		select {
		case entered <- struct{}{}:
		default:
		}
		<-ctx.Done()
		return false
	}
	running.Go(func() { _ = r.Run(ctx) })
	for g.driver.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	for started := false; !started; started = observed() {
		g.driver.Advance(tickPeriod)
		time.Sleep(time.Millisecond)
	}
	g.mu.Lock()
	g.nodes["b1"].fault = "silent"
	g.mu.Unlock()
	running.Go(func() { g.done("a1", "x", code.Ran, "body") })
	<-entered
	for range 20 {
		g.driver.Advance(tickPeriod)
		for end := time.Now().Add(20 * time.Second); !observed(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the homes are not observed while a call to another instance waits")
			}
		}
	}
}
