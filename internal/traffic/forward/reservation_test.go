package forward

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/traffic/retryafter"
)

const testTimeout = 20 * time.Second

// blockingEndpoint is an endpoint that reports the start of each request on began
// and answers it when the test sends on end.
type blockingEndpoint struct {
	began chan string // ids
	end   chan struct{}
}

func (b *blockingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.Request)
	w.Header().Set(names.Request, id)
	w.Header().Set(names.Stamp, "proof")
	b.began <- id
	select {
	case <-b.end:
	case <-r.Context().Done():
	}
}

// newBlockingForwarder returns a forwarder with one blockingEndpoint that has the
// given number of slots.
func newBlockingForwarder(t *testing.T, slots int) (*Forwarder, *blockingEndpoint) {
	t.Helper()
	return newBlockingForwarderWithClock(t, slots, clock.NewSystem())
}

func newBlockingForwarderWithClock(t *testing.T, slots int, timers *clock.Service) (*Forwarder, *blockingEndpoint) {
	t.Helper()
	b := &blockingEndpoint{began: make(chan string, 100), end: make(chan struct{})}
	fleet := replica.NewFleet(timers, replica.Options{Overcommit: 1})
	server := newServer(t, b)
	fleet.Put(replica.Entry{ID: "blocking", Service: "svc", Slots: slots, Address: strings.TrimPrefix(server, "http://")})
	seams := Seams{Fleet: fleet, Pool: exchange.New(exchange.Options{EchoHeader: names.Request}), Names: names}
	return New(seams, timers, logs.Discard()), b
}

// request returns a call of an account. It may wait for an endpoint for half of
// the latency objective aim.
func request(id, account string, aim time.Duration) Call {
	c := call(manifest.Route{Kind: manifest.Idempotent, Attempts: 2, TargetLatency: aim})
	c.ID, c.Account, c.Deadline = id, account, time.Now().Add(2*testTimeout)
	c.Request.Header = http.Header{names.Request: {id}}
	return c
}

// Guards against one client account whose many requests delay those of others.
// The load pattern is a burst of one account while all endpoints are busy.
func TestOrderIsFairBetweenAccounts(t *testing.T) {
	f, b := newBlockingForwarder(t, 1)
	var calls sync.WaitGroup
	send := func(id, account string) {
		calls.Go(func() {
			answer, err := f.Send(context.Background(), request(id, account, 2*testTimeout))
			if err != nil {
				t.Errorf("%s: %v", id, err)
				return
			}
			answer.Close()
		})
	}
	waiting := func(want int) {
		t.Helper()
		for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
			count := 0
			for _, n := range f.queue.Waiting() {
				count += n
			}
			if count == want {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%d requests wait, want %d", count, want)
			}
		}
	}
	send("large-0", "large")
	<-b.began
	const burst = 10
	for i := range burst {
		send(fmt.Sprint("large-", i+1), "large")
	}
	waiting(burst)
	send("small", "small")
	waiting(burst + 1)
	for position := 1; ; position++ {
		b.end <- struct{}{}
		if id := <-b.began; id == "small" {
			if position > 2 {
				t.Errorf("the other account's request began as number %d after %d of the burst", position, burst)
			}
			break
		}
	}
	close(b.end)
	calls.Wait()
}

// Guards against requests that are sent to full endpoints or wait until their
// deadline. The load pattern is more requests than get a slot in time. They must
// be refused unsent, with Retry-After delays that differ.
func TestRefusedUnsentWithSpreadRetryAfter(t *testing.T) {
	f, b := newBlockingForwarder(t, 1)
	go func() {
		answer, err := f.Send(context.Background(), request("first", "acme", testTimeout))
		if err != nil {
			t.Errorf("the first request: %v", err)
			return
		}
		answer.Close()
	}()
	<-b.began
	const burst = 8
	var (
		calls  sync.WaitGroup
		mu     sync.Mutex
		delays = map[time.Duration]bool{}
	)
	for i := range burst {
		calls.Go(func() {
			_, err := f.Send(context.Background(), request(fmt.Sprint("refused-", i), "acme", 100*time.Millisecond))
			got := code.Of(err)
			if got.Code != code.NoEndpoint || got.Run != code.NotRun || got.RetryAfter < retryafter.MinWait || got.RetryAfter > retryafter.MaxWait {
				t.Errorf("error %+v", got)
			}
			mu.Lock()
			defer mu.Unlock()
			delays[got.RetryAfter] = true
		})
	}
	calls.Wait()
	close(b.end)
	if len(b.began) != 0 {
		t.Errorf("%d requests were sent to the full endpoint", len(b.began))
	}
	if len(delays) < burst/2 {
		t.Errorf("%d refused callers got %d different Retry-After delays", burst, len(delays))
	}
}

// Guards against a waiting request that does not notice a new endpoint because no
// other request ends in the meantime.
func TestWaitEndsWhenAnEndpointComes(t *testing.T) {
	f, b := newBlockingForwarder(t, 1)
	go func() { _, _ = f.Send(context.Background(), request("first", "acme", testTimeout)) }() // ends with the test
	<-b.began
	answered := make(chan error, 1)
	go func() {
		answer, err := f.Send(context.Background(), request("second", "acme", testTimeout))
		if err == nil {
			answer.Close()
		}
		answered <- err
	}()
	for f.queue.Waiting()["acme"] == 0 {
		time.Sleep(time.Millisecond)
	}
	addEndpoint(t, f.seams.Fleet, "other", &endpoint{mode: "ok"})
	if err := <-answered; err != nil {
		t.Error(err)
	}
	close(b.end)
}

// Guards against giving up a request after a failed attempt because the only
// other endpoint is busy for a moment.
func TestRepeatedRequestWaitsForABusyEndpoint(t *testing.T) {
	f, b := newBlockingForwarder(t, 1)
	first := make(chan error, 1)
	go func() {
		answer, err := f.Send(context.Background(), request("first", "acme", testTimeout))
		if err == nil {
			answer.Close()
		}
		first <- err
	}()
	<-b.began
	addEndpoint(t, f.seams.Fleet, "broken", &endpoint{mode: "break"})
	second := make(chan error, 1)
	go func() {
		answer, err := f.Send(context.Background(), request("second", "acme", testTimeout))
		if err == nil {
			answer.Close()
		}
		second <- err
	}()
	for f.queue.Waiting()["acme"] == 0 && len(second) == 0 {
		time.Sleep(time.Millisecond)
	}
	close(b.end)
	for _, result := range []chan error{first, second} {
		if err := <-result; err != nil {
			t.Error(err)
		}
	}
}
