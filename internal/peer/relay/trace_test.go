package relay

import (
	"context"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

// Guards against a read whose evidence is given the wrong path, or the age of an attempt
// that failed before the one that was answered.
func TestTraceNotesTheAnsweredAttempt(t *testing.T) {
	for _, c := range []struct {
		name, own string
		attempts  int
	}{
		{"direct", "ok", 1},
		{"through a peer", "unsent", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			peer := servePeer(t, newFakeStore("ok"), true)
			route := newTestRoute(newFakeStore(c.own), peer)
			calls := 0
			ctx, trace := records.WithTrace(context.Background(), func() time.Duration {
				calls++
				return time.Duration(calls-1) * time.Second
			})
			if _, err := route.Call(ctx, Call{}); err != nil {
				t.Fatal(err)
			}
			want := records.PathDirect
			if c.attempts > 1 {
				want = peer.Address
			}
			if began, path := trace.Last(); path != want || began != time.Duration(c.attempts)*time.Second {
				t.Errorf("began %v on path %s, want attempt %d on %s", began, path, c.attempts, want)
			}
		})
	}
}
