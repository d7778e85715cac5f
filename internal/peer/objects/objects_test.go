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

// Guards against a write that counts as not applied although it may have taken
// effect, and against a conflict that does not return the current object.
func TestOutcomeOfWrites(t *testing.T) {
	cases := []struct {
		name       string
		handler    http.HandlerFunc
		revision   uint64
		isConflict bool
		notApplied bool
	}{
		{"applied", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"revision":7,"value":{}}`)) }, 0, false, false},
		{"conflict", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusConflict)
			_, _ = w.Write([]byte(`{"kind":"k","name":"n","revision":9,"value":{"a":1}}`))
		}, 9, true, true},
		{"conflict without an object", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) }, 0, true, true},
		{"rate limit", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(http.StatusTooManyRequests)
		}, 0, false, true},
		{"outage", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, 0, false, false},
		{"response lost", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 0, false, false},
	}
	for _, c := range cases {
		server := httptest.NewServer(c.handler)
		client := New(strings.TrimPrefix(server.URL, "http://"), clock.NewSystem())
		o, err := client.Put(context.Background(), "k", "n", 1, []byte("{}"))
		current, isConflict := Conflict(err)
		if isConflict != c.isConflict || current.Revision != c.revision || NotApplied(err) != c.notApplied {
			t.Errorf("%s: conflict %v with object %+v, NotApplied %v, error %v", c.name, isConflict, current, NotApplied(err), err)
		}
		if (err == nil) != (o.Revision == 7) {
			t.Errorf("%s: object %+v, error %v", c.name, o, err)
		}
		if err != nil && !isConflict && !code.Is(err, code.PlatformUnavailable) {
			t.Errorf("%s: error %v lacks the code %v", c.name, err, code.PlatformUnavailable)
		}
		if c.name == "rate limit" && RetryAfter(err) != 2*time.Second {
			t.Errorf("retry after %v, want 2 s", RetryAfter(err))
		}
		client.Close()
		server.Close()
		if c.name == "applied" {
			if _, err := client.Put(context.Background(), "k", "n", 1, nil); !NotApplied(err) {
				t.Errorf("NotApplied is false after a refused connection: %v", err)
			}
		}
	}
}

// Guards against calls that hang when the platform accepts a request and never
// responds, and against a timeout that cuts short the wait asked for.
func TestSilentPlatformTimesOut(t *testing.T) {
	unblock := make(chan struct{})
	arrived := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-unblock
	}))
	defer server.Close()
	defer close(unblock)
	timers, driver := clock.NewDriven(time.Unix(0, 0))
	client := New(strings.TrimPrefix(server.URL, "http://"), timers)
	done := make(chan error)
	go func() { _, err := client.List(context.Background(), "k", 3, 4*time.Second); done <- err }()
	<-arrived
	driver.Advance(4 * time.Second)
	select {
	case err := <-done:
		t.Fatalf("the call ended within the wait that it asked for: %v", err)
	default:
	}
	driver.Advance(callTimeout)
	if err := <-done; err == nil || NotApplied(err) {
		t.Errorf("call without a response ended with error %v, want one that leaves the outcome open", err)
	}
}

// Guards against an instance list that cannot be read, so that membership is frozen,
// for one entry that another writer has left in it.
func TestOneOddInstanceDoesNotSpoilTheOthers(t *testing.T) {
	for name, odd := range map[string]string{
		"nested":           `{"id":"odd","x":` + strings.Repeat("[", 400_000) + strings.Repeat("]", 400_000) + `}`,
		"number too large": `{"id":"odd","zone":1e400}`, "wrong type": `{"id":["odd"]}`, "no object": `7`,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"instances":[{"id":"a","zone":"z"},` + odd + `,{"id":"b","zone":"z"}]}`))
		}))
		client := New(strings.TrimPrefix(server.URL, "http://"), clock.NewSystem())
		list, err := client.Instances(context.Background())
		if err != nil || len(list) != 2 || list[0].ID != "a" || list[1].ID != "b" {
			t.Errorf("%s: instances %+v, error %v", name, list, err)
		}
		client.Close()
		server.Close()
	}
}
