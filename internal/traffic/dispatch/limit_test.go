package dispatch

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
)

// quietTime is how long a second attempt is waited for that must not come. Without the
// limit it comes within milliseconds.
const quietTime = 300 * time.Millisecond

func limitHeader(rate string) http.Header { return http.Header{codec.HeaderLimit: {rate}} }

// Guards against second attempts on a silent connection, and hedged calls, that are sent
// to a limited endpoint without a permit.
func TestSecondAttemptsNeedAPermit(t *testing.T) {
	for _, kind := range []string{"stream", "repeatable"} {
		t.Run(kind, func(t *testing.T) {
			timers, driver := clock.NewDriven(time.Now())
			driver.Advance(time.Minute)
			b := newFixture(timers)
			b.add(t, &backend{Endpoint: roster.Endpoint{ID: "e1", Zone: "a", State: roster.StateLive}, free: 1, fault: "silent"})
			b.runner.observeLimit(b.backends[0].Endpoint, limitHeader("0.1"), timers.Uptime())
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			done := make(chan struct{})
			go func() {
				defer close(done)
				if kind == "stream" {
					_, _ = b.runner.Generate(ctx, Job{
						Request: "r", Account: "acme", Model: "m", MaxTokens: 2, Deadline: timers.Now().Add(time.Hour),
					}, func(Chunk) error { return nil }) // ends with ctx
					return
				}
				if answer, err := b.runner.Forward(ctx, ServiceCall{
					Request: "r", Account: "acme", Model: "m", Method: "GET", Path: "/x", Repeatable: true, Deadline: timers.Now().Add(time.Hour),
				}); err == nil {
					answer.Close()
				}
			}()
			<-b.silent
			driver.Advance(setting.Milliseconds(setting.Defaults().SilenceMS))
			time.Sleep(quietTime)
			b.mu.Lock()
			if len(b.seen) != 1 {
				t.Errorf("requests reached %v, want one", b.seen)
			}
			b.mu.Unlock()
			cancel()
			<-done
		})
	}
}

// Guards against requests that wait for a limited endpoint although none can have a
// permit before their deadline, and against a limit that keeps requests from others.
func TestLimitedEndpointsOfAModel(t *testing.T) {
	timers, driver := clock.NewDriven(time.Now())
	driver.Advance(time.Minute)
	b := newFixture(timers)
	b.add(t, &backend{Endpoint: roster.Endpoint{ID: "e1", Zone: "a", State: roster.StateLive}, free: 1})
	b.runner.observeLimit(b.backends[0].Endpoint, limitHeader("0.1"), timers.Uptime())
	send := func() error {
		answer, err := b.runner.Forward(context.Background(), ServiceCall{
			Request: "r", Account: "acme", Model: "m", Method: "POST", Path: "/x", Deadline: timers.Now().Add(5 * time.Second),
		})
		if err == nil {
			answer.Close()
		}
		return err
	}
	// The answer names no limit, but the request was sent at the time at which the limit
	// became known.
	if err := send(); err != nil {
		t.Fatalf("the request for the first permit: %v", err)
	}
	b.runner.observeLimit(b.backends[0].Endpoint, limitHeader("0.1"), timers.Uptime())
	if got := code.Of(send()); got == nil || got.Code != code.EndpointLimited || got.Run != code.NotRun || got.RetryAfter < 5*time.Second {
		t.Errorf("got %+v, want endpoint_limited, not_run and the time of the next permit", got)
	}
	b.add(t, &backend{Endpoint: roster.Endpoint{ID: "e2", Zone: "b", State: roster.StateLive}, free: 1})
	if err := send(); err != nil {
		t.Errorf("a request that could go to another endpoint: %v", err)
	}
}
