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
	"github.com/wigeonpin/wigeonpin/internal/traffic/returns"
)

const patience = 20 * time.Second

// gate is an endpoint whose requests begin with a message and end when the
// test lets them.
type gate struct {
	began chan string // ids
	end   chan struct{}
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.Request)
	w.Header().Set(names.Request, id)
	w.Header().Set(names.Stamp, "proof")
	g.began <- id
	select {
	case <-g.end:
	case <-r.Context().Done():
	}
}

// gated returns a forwarder with one endpoint of the given slots.
func gated(t *testing.T, slots int) (*Forwarder, *gate) {
	t.Helper()
	g := &gate{began: make(chan string, 100), end: make(chan struct{})}
	timers := clock.NewSystem()
	fleet := replica.NewFleet(timers, replica.Options{Ceiling: 1})
	server := newServer(t, g)
	fleet.Put(replica.Entry{ID: "gate", Service: "svc", Slots: slots, Address: strings.TrimPrefix(server, "http://")})
	seams := Seams{Fleet: fleet, Pool: exchange.New(exchange.Options{Match: names.Request}), Names: names}
	return New(seams, timers, logs.Discard()), g
}

// request returns a call of an account that may wait for an endpoint for half
// of the aim.
func request(id, account string, aim time.Duration) Call {
	c := call(manifest.Route{Kind: manifest.Idempotent, Attempts: 2, Aim: aim})
	c.ID, c.Account, c.Deadline = id, account, time.Now().Add(2*patience)
	c.Request.Header = http.Header{names.Request: {id}}
	return c
}

// Guards against one client account whose many requests hold up those of
// others: the load pattern is a burst of one account at the time when all
// endpoints are busy.
func TestOrderIsFairBetweenAccounts(t *testing.T) {
	f, g := gated(t, 1)
	var calls sync.WaitGroup
	send := func(id, account string) {
		calls.Go(func() {
			answer, err := f.Send(context.Background(), request(id, account, 2*patience))
			if err != nil {
				t.Errorf("%s: %v", id, err)
				return
			}
			answer.Close()
		})
	}
	waiting := func(want int) {
		t.Helper()
		for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
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
	<-g.began
	const burst = 10
	for i := range burst {
		send(fmt.Sprint("large-", i+1), "large")
	}
	waiting(burst)
	send("small", "small")
	waiting(burst + 1)
	for turn := 1; ; turn++ {
		g.end <- struct{}{}
		if id := <-g.began; id == "small" {
			if turn > 2 {
				t.Errorf("the other account's request began as number %d after %d of the burst", turn, burst)
			}
			break
		}
	}
	close(g.end)
	calls.Wait()
}

// Guards against requests that are sent to full endpoints or held until their
// deadline: the load pattern is more requests than can be placed in time. They
// are refused unsent, each with its own time to come back.
func TestRefusedUnsentWithSpreadReturns(t *testing.T) {
	f, g := gated(t, 1)
	go func() {
		answer, err := f.Send(context.Background(), request("first", "acme", patience))
		if err != nil {
			t.Errorf("the first request: %v", err)
			return
		}
		answer.Close()
	}()
	<-g.began
	const burst = 8
	var (
		calls sync.WaitGroup
		mu    sync.Mutex
		told  = map[time.Duration]bool{}
	)
	for i := range burst {
		calls.Go(func() {
			_, err := f.Send(context.Background(), request(fmt.Sprint("refused-", i), "acme", 100*time.Millisecond))
			got := code.Of(err)
			if got.Code != code.NoEndpoint || got.Run != code.NotRun || got.RetryAfter < returns.Shortest || got.RetryAfter > returns.Longest {
				t.Errorf("error %+v", got)
			}
			mu.Lock()
			defer mu.Unlock()
			told[got.RetryAfter] = true
		})
	}
	calls.Wait()
	close(g.end)
	if len(g.began) != 0 {
		t.Errorf("%d requests were sent to the full endpoint", len(g.began))
	}
	if len(told) < burst/2 {
		t.Errorf("%d refused callers were told %d different times", burst, len(told))
	}
}

// A request that waits begins when an endpoint comes, though no other request
// ends meanwhile.
func TestWaitEndsWhenAnEndpointComes(t *testing.T) {
	f, g := gated(t, 1)
	go func() { _, _ = f.Send(context.Background(), request("first", "acme", patience)) }() // ends with the test
	<-g.began
	answered := make(chan error, 1)
	go func() {
		answer, err := f.Send(context.Background(), request("second", "acme", patience))
		if err == nil {
			answer.Close()
		}
		answered <- err
	}()
	for f.queue.Waiting()["acme"] == 0 {
		time.Sleep(time.Millisecond)
	}
	put(t, f.seams.Fleet, "other", &endpoint{mode: "ok"})
	if err := <-answered; err != nil {
		t.Error(err)
	}
	close(g.end)
}

// Guards against a request that is given up after a failed attempt because the
// only other endpoint is busy for a moment.
func TestRepeatedRequestWaitsForABusyEndpoint(t *testing.T) {
	f, g := gated(t, 1)
	first := make(chan error, 1)
	go func() {
		answer, err := f.Send(context.Background(), request("first", "acme", patience))
		if err == nil {
			answer.Close()
		}
		first <- err
	}()
	<-g.began
	put(t, f.seams.Fleet, "broken", &endpoint{mode: "break"})
	second := make(chan error, 1)
	go func() {
		answer, err := f.Send(context.Background(), request("second", "acme", patience))
		if err == nil {
			answer.Close()
		}
		second <- err
	}()
	for f.queue.Waiting()["acme"] == 0 && len(second) == 0 {
		time.Sleep(time.Millisecond)
	}
	close(g.end)
	for _, result := range []chan error{first, second} {
		if err := <-result; err != nil {
			t.Error(err)
		}
	}
}
