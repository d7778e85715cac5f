package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/traffic/breaker"
)

// poison is the body of requests that end each endpoint that begins them.
const poison = "poison"

// crashingEndpoint is an endpoint that ends when it begins a poisonous request.
type crashingEndpoint struct {
	server  *httptest.Server
	ended   atomic.Bool
	partial bool // sends a part of its answer before it ends
}

func newCrashingEndpoint(t *testing.T, fleet *replica.Fleet, id string) *crashingEndpoint {
	t.Helper()
	c := &crashingEndpoint{}
	c.server = httptest.NewServer(c)
	t.Cleanup(c.server.Close)
	fleet.Put(replica.Entry{ID: id, Service: "svc", Slots: 4, Address: strings.TrimPrefix(c.server.URL, "http://")})
	return c
}

func (c *crashingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if string(body) == poison {
		c.ended.Store(true)
		if c.partial {
			w.Header().Set(names.Request, r.Header.Get(names.Request))
			w.Header().Set(names.Stamp, "proof")
			_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
			_ = http.NewResponseController(w).Flush()
		}
		_ = c.server.Listener.Close()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(names.Request, r.Header.Get(names.Request))
	w.Header().Set(names.Stamp, "proof")
	_, _ = io.WriteString(w, "whole")
}

// Guards against counters that do not tell endpoints that refuse connections from
// answers that were lost.
func TestRefusedConnectionsAreCountedApartFromLostAnswers(t *testing.T) {
	f, fleet := newForwarderWith(t)
	meters := meter.NewSet()
	f.breaks, f.refusals = meters.Counter("breaks"), meters.Counter("refusals")
	addEndpoint(t, fleet, "lossy", &endpoint{mode: "break"})
	once := call(manifest.Route{Kind: manifest.Once, Attempts: 1})
	if _, err := f.Send(context.Background(), once); err == nil {
		t.Error("a lost answer passed for one")
	}
	fleet.Remove("lossy", time.Time{})
	newCrashingEndpoint(t, fleet, "crashing")
	once.Request.Body = []byte(poison)
	if _, err := f.Send(context.Background(), once); err == nil {
		t.Error("an ended endpoint answered")
	}
	if breaks, refusals := f.breaks.Values()["svc"], f.refusals.Values()["svc"]; breaks != 2 || refusals != 1 {
		t.Errorf("%d breaks and %d refusals, want 2 and 1", breaks, refusals)
	}
}

// Guards against repetitions that are not known again, and against requests of
// others that are taken for one.
func TestContentDigest(t *testing.T) {
	base := call(manifest.Route{})
	base.Account = "acme"
	repeated := base
	repeated.ID, repeated.Request.Header = "r2", http.Header{"X-Request": {"r2"}}
	if repeated.Content() != base.Content() {
		t.Error("a repetition has another content")
	}
	for name, change := range map[string]func(*Call){
		"account": func(c *Call) { c.Account = "birch" },
		"method":  func(c *Call) { c.Request.Method = http.MethodPut },
		"host":    func(c *Call) { c.Request.Host = "other" },
		"path":    func(c *Call) { c.Request.Path = "/y" },
		"query":   func(c *Call) { c.Request.Query = "q=1" },
		"body":    func(c *Call) { c.Request.Body = []byte("c") },
		"split":   func(c *Call) { c.Request.Path, c.Request.Query = "/", "x" },
	} {
		other := base
		change(&other)
		if other.Content() == base.Content() {
			t.Errorf("another %s has the same content", name)
		}
	}
}

// bulletin passes the news of breakers on, as the bulletin does.
type bulletin struct {
	receivers []func(string, []byte)
	posts     int
}

func (b *bulletin) breaker(timers *clock.Service) *breaker.Breaker {
	return breaker.New(breaker.Seams{
		Post: func(_, key string, payload []byte, _ time.Duration) {
			b.posts++
			for _, receive := range b.receivers {
				receive(key, payload)
			}
		},
		Subscribe: func(_ string, receive func(string, []byte)) { b.receivers = append(b.receivers, receive) },
	}, timers, logs.Discard())
}

// Guards against a request that ends one endpoint after the other because its
// caller sends it to another process each time; and against refusals that are
// not true, or that hit other requests.
func TestCrashingContentEndsTwoEndpoints(t *testing.T) {
	const count = 6
	f, fleet := newForwarderWith(t)
	other, _ := newForwarderWith(t)
	board := &bulletin{}
	for _, one := range []*Forwarder{f, other} {
		one.seams.Fleet, one.seams.Breaker = fleet, board.breaker(one.timers)
	}
	var endpoints []*crashingEndpoint
	for i := range count {
		endpoints = append(endpoints, newCrashingEndpoint(t, fleet, fmt.Sprint("e", i)))
	}
	send := func(f *Forwarder, body string) *code.Error {
		c := call(manifest.Route{Kind: manifest.Idempotent, Attempts: count})
		c.Account, c.Request.Body = "acme", []byte(body)
		answer, err := f.Send(context.Background(), c)
		if err == nil {
			answer.Close()
		}
		return code.Of(err)
	}
	if got := send(f, poison); got == nil || got.Code != code.EndpointFailed || got.Run != code.MaybeRun {
		t.Errorf("first request: %+v", got)
	}
	if got := send(f, poison); got == nil || got.Code != code.ContentHeld {
		t.Errorf("repeated request: %+v", got)
	}
	if board.posts != 0 {
		t.Errorf("others were told %d times of ends that are not confirmed: the process may be cut off", board.posts)
	}
	for i, e := range endpoints {
		if e.ended.Load() {
			fleet.Remove(fmt.Sprint("e", i), time.Time{})
		}
	}
	for _, one := range []*Forwarder{other, f} {
		if got := send(one, poison); got == nil || got.Code != code.ContentHeld || got.Run != code.NotRun || got.RetryAfter <= 0 {
			t.Errorf("repeated request: %+v", got)
		}
		if got := send(one, "sound"); got != nil {
			t.Errorf("request of another content: %+v", got)
		}
	}
	ended := int64(0)
	for _, e := range endpoints {
		if e.ended.Load() {
			ended++
		}
	}
	if ended != 2 {
		t.Errorf("%d endpoints ended, want 2", ended)
	}
}

// Guards against a sound content that is held back because endpoints lost its
// answers, or because some happened to end under it before one answered.
func TestSoundContentIsNotHeldBack(t *testing.T) {
	f, _ := newForwarderWith(t, &endpoint{mode: "break"}, &endpoint{mode: "cut"}, &endpoint{mode: "ok"})
	f.seams.Breaker = (&bulletin{}).breaker(f.timers)
	c := call(manifest.Route{Kind: manifest.Idempotent, Attempts: 4})
	for range 3 {
		if _, err := f.Send(context.Background(), c); err != nil {
			t.Fatal(err)
		}
		f.seams.Breaker.Ended(c.Content(), breaker.Life{Endpoint: "other"})
	}
}

// Guards against a crashing request that is not known as one since the way to
// its endpoints goes on accepting connections, or since they fall silent: their
// end shows in the list of endpoints only.
func TestRemovedEndpointCountsAgainstContent(t *testing.T) {
	f, fleet := newForwarderWith(t)
	f.seams.Breaker = (&bulletin{}).breaker(f.timers)
	c := call(manifest.Route{Kind: manifest.Idempotent, Attempts: 1})
	for i, mode := range []string{"break", "hang"} {
		id := fmt.Sprint("e", i)
		addEndpoint(t, fleet, id, &endpoint{mode: mode})
		c.Deadline = time.Now().Add(500 * time.Millisecond)
		if _, err := f.Send(context.Background(), c); code.Of(err).Run != code.MaybeRun {
			t.Fatalf("%s: %v", mode, err)
		}
		fleet.Remove(id, time.Time{})
	}
	addEndpoint(t, fleet, "e2", &endpoint{mode: "ok"})
	c.Deadline = time.Now().Add(time.Second)
	if _, err := f.Send(context.Background(), c); !code.Is(err, code.ContentHeld) {
		t.Errorf("the request is not held back: %v", err)
	}
	c.Request.Body = []byte("sound")
	if _, err := f.Send(context.Background(), c); err != nil {
		t.Errorf("request of another content: %v", err)
	}
}

// Guards against a stream that ends each endpoint after its first event, and is
// not known since its answer had begun.
func TestCrashingStreamIsHeldBack(t *testing.T) {
	f, fleet := newForwarderWith(t)
	f.seams.Breaker = (&bulletin{}).breaker(f.timers)
	c := call(manifest.Route{Kind: manifest.Stream, Resumable: true, Attempts: 3})
	c.Request.Body = []byte(poison)
	for i := range 2 {
		newCrashingEndpoint(t, fleet, fmt.Sprint("e", i)).partial = true
	}
	for range 2 {
		answer, err := f.Send(context.Background(), c)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(answer.Rest); err == nil {
			t.Error("a stream that broke off passed as whole")
		}
		answer.Close()
	}
	newCrashingEndpoint(t, fleet, "e2")
	if _, err := f.Send(context.Background(), c); !code.Is(err, code.ContentHeld) {
		t.Errorf("the stream is not held back: %v", err)
	}
}
