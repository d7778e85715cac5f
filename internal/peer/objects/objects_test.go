package objects

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/code"
)

// Guards against a write that is taken for refused although it may have taken
// effect, and against a refusal that loses the winning object.
func TestOutcomeOfWrites(t *testing.T) {
	cases := []struct {
		name       string
		answer     http.HandlerFunc
		conflict   uint64
		lost       bool
		notApplied bool
	}{
		{"taken", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"revision":7,"value":{}}`)) }, 0, false, false},
		{"conflict", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusConflict)
			_, _ = w.Write([]byte(`{"kind":"k","name":"n","revision":9,"value":{"a":1}}`))
		}, 9, true, true},
		{"conflict with nothing", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) }, 0, true, true},
		{"rate limit", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(http.StatusTooManyRequests)
		}, 0, false, true},
		{"outage", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, 0, false, false},
		{"answer lost", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 0, false, false},
	}
	for _, c := range cases {
		server := httptest.NewServer(c.answer)
		client := New(strings.TrimPrefix(server.URL, "http://"), clock.NewSystem())
		o, err := client.Put(context.Background(), "k", "n", 1, []byte("{}"))
		current, lost := Conflict(err)
		if lost != c.lost || current.Revision != c.conflict || NotApplied(err) != c.notApplied {
			t.Errorf("%s: conflict %v with %+v, not applied %v (%v)", c.name, lost, current, NotApplied(err), err)
		}
		if (err == nil) != (o.Revision == 7) {
			t.Errorf("%s: object %+v, error %v", c.name, o, err)
		}
		if err != nil && !lost && !code.Is(err, code.PlatformUnavailable) {
			t.Errorf("%s: %v has no code", c.name, err)
		}
		if c.name == "rate limit" && RetryAfter(err) != 2*time.Second {
			t.Errorf("retry after %v, want 2 s", RetryAfter(err))
		}
		client.Close()
		server.Close()
		if c.name == "taken" {
			if _, err := client.Put(context.Background(), "k", "n", 1, nil); !NotApplied(err) {
				t.Errorf("a refused connection does not count as not applied: %v", err)
			}
		}
	}
}

// Guards against calls that hang on a connection that went silent.
func TestSilentPlatformTimesOut(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	}))
	defer server.Close()
	defer close(release)
	timers, driver := clock.NewDriven(time.Unix(0, 0))
	client := New(strings.TrimPrefix(server.URL, "http://"), timers)
	done := make(chan error)
	go func() { _, err := client.List(context.Background(), "k", 3, 4*time.Second); done <- err }()
	<-arrived
	driver.Advance(4 * time.Second)
	select {
	case err := <-done:
		t.Fatalf("the call ended within the time that it asked the platform to wait: %v", err)
	default:
	}
	driver.Advance(callTimeout)
	if err := <-done; err == nil || NotApplied(err) {
		t.Errorf("silent call ended with %v", err)
	}
}
