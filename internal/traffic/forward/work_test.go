package forward

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
)

// Guards against a request that counts as no work while nothing is known of its route.
func TestExpectedWork(t *testing.T) {
	f, _ := newBlockingForwarder(t, 1)
	call := request("", "acme", testTimeout)
	for _, c := range []struct{ known, want time.Duration }{{0, defaultWork}, {400 * time.Millisecond, 400 * time.Millisecond}, {1, time.Microsecond}} {
		f.work = func(string, string) time.Duration { return c.known }
		if got := f.expectedWork(call); got != c.want.Microseconds() {
			t.Errorf("expected work %d us with %v known, want %v", got, c.known, c.want)
		}
	}
}

// Guards against an account whose requests are ten times as long and which therefore gets
// ten times the work of an account with as many requests. The clock stands still, since
// received work is forgotten with time.
func TestOrderFollowsWork(t *testing.T) {
	timers, _ := clock.NewDriven(time.Now())
	f, b := newBlockingForwarderWithClock(t, 1, timers)
	heavy, light := request("", "heavy", testTimeout), request("", "light", testTimeout)
	heavy.Route.Prefix, light.Route.Prefix = "/heavy", "/light"
	f.work = func(_, class string) time.Duration {
		if class == heavy.Class() {
			return 400 * time.Millisecond
		}
		return 40 * time.Millisecond
	}
	var calls sync.WaitGroup
	send := func(id string, c Call) {
		sent := request(id, c.Account, 2*testTimeout)
		sent.Route.Prefix = c.Route.Prefix
		calls.Go(func() {
			answer, err := f.Send(context.Background(), sent)
			if err != nil {
				t.Errorf("%s: %v", id, err)
				return
			}
			answer.Close()
		})
	}
	send("first", request("", "first", testTimeout))
	<-b.began
	const each = 12
	for i := range each {
		send(fmt.Sprint("heavy-", i), heavy)
		send(fmt.Sprint("light-", i), light)
	}
	for f.queue.Recheck() < 2*each {
		time.Sleep(time.Millisecond)
	}
	counts := map[string]int{}
	for range each {
		b.end <- struct{}{}
		account, _, _ := strings.Cut(<-b.began, "-")
		counts[account]++
	}
	if counts["heavy"] < 1 || counts["heavy"] > 2 {
		t.Errorf("the first %d requests are %v, want one or two of the account with long ones", each, counts)
	}
	go func() {
		for range b.began {
		}
	}()
	close(b.end)
	calls.Wait()
	close(b.began)
}
