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

// poison is the body of requests that crash every endpoint that starts them.
const poison = "poison"

// crashingEndpoint is an endpoint that stops listening and drops its connection
// when it starts a request with the body poison.
type crashingEndpoint struct {
	server  *httptest.Server
	ended   atomic.Bool
	partial bool // sends a part of its answer before it crashes
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

// Guards against counting a lost answer as a crash: the endpoint that lost it
// still accepts connections, a crashed one refuses them.
func TestRefusedConnectionsAreCountedApartFromLostAnswers(t *testing.T) {
	f, fleet := newForwarderWith(t)
	meters := meter.NewSet()
	f.breaks, f.refusals = meters.Counter("breaks"), meters.Counter("refusals")
	addEndpoint(t, fleet, "lossy", &endpoint{mode: "break"})
	once := call(manifest.Route{Kind: manifest.AtMostOnce, Attempts: 1})
	if _, err := f.Send(context.Background(), once); err == nil {
		t.Error("a request whose answer was lost succeeded")
	}
	fleet.Remove("lossy", time.Time{})
	newCrashingEndpoint(t, fleet, "crashing")
	once.Request.Body = []byte(poison)
	if _, err := f.Send(context.Background(), once); err == nil {
		t.Error("a request that crashed its endpoint succeeded")
	}
	if breaks, refusals := f.breaks.Values()["svc"], f.refusals.Values()["svc"]; breaks != 2 || refusals != 1 {
		t.Errorf("%d breaks and %d refusals, want 2 and 1", breaks, refusals)
	}
}

// Guards against a repeated request that gets another digest, and against
// different requests that get the same one.
func TestContentDigest(t *testing.T) {
	base := call(manifest.Route{})
	base.Account = "acme"
	repeated := base
	repeated.ID, repeated.Request.Header = "r2", http.Header{"X-Request": {"r2"}}
	if repeated.ContentDigest() != base.ContentDigest() {
		t.Error("a repeated request has another content digest")
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
		if other.ContentDigest() == base.ContentDigest() {
			t.Errorf("a request with another %s has the same content digest", name)
		}
	}
}

// broadcaster is a fake that delivers each post of a breaker to all subscribers
// at once.
type broadcaster struct {
	receivers []func(string, []byte)
	crashes   int // posts of confirmed crashes
}

func (b *broadcaster) breaker(timers *clock.Service) *breaker.Breaker {
	return breaker.New(breaker.Seams{
		Post: func(_, key string, payload []byte, _ time.Duration) {
			if strings.Contains(string(payload), `"ended"`) {
				b.crashes++
			}
			for _, receive := range b.receivers {
				receive(key, payload)
			}
		},
		Subscribe: func(_ string, receive func(string, []byte)) { b.receivers = append(b.receivers, receive) },
	}, timers, logs.Discard())
}

// Guards against a request that crashes one endpoint after the other because its
// caller sends it to another process each time; also against refusals that state
// NotRun wrongly, and refusals of requests with other content.
func TestCrashingContentEndsTwoEndpoints(t *testing.T) {
	const count = 6
	f, fleet := newForwarderWith(t)
	other, _ := newForwarderWith(t)
	shared := &broadcaster{}
	for _, one := range []*Forwarder{f, other} {
		one.seams.Fleet, one.seams.Breaker = fleet, shared.breaker(one.timers)
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
	if shared.crashes != 0 {
		t.Errorf("%d crashes were posted before they were confirmed: the endpoints may only be unreachable from this process", shared.crashes)
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
		t.Errorf("%d endpoints crashed, want 2", ended)
	}
}

// Guards against a request that crashes two endpoints at each process that it is sent to,
// until the list of endpoints tells of the crashes; also against processes that hold back
// a request on the word of one that alone does not reach the endpoints.
func TestSuspectedCrashesAreVerified(t *testing.T) {
	shared := &broadcaster{}
	newProcess := func() (*Forwarder, *replica.Fleet) {
		f, fleet := newForwarderWith(t)
		f.seams.Breaker = shared.breaker(f.timers)
		f.seams.Breaker.VerifyBy(f.refusesConnections)
		return f, fleet
	}
	first, firstFleet := newProcess()
	second, secondFleet := newProcess()
	third, thirdFleet := newProcess()
	for i := range 2 {
		id := fmt.Sprint("e", i)
		crashed := newCrashingEndpoint(t, firstFleet, id)
		secondFleet.Put(replica.Entry{ID: id, Service: "svc", Slots: 4, Address: strings.TrimPrefix(crashed.server.URL, "http://")})
		addEndpoint(t, thirdFleet, id, &endpoint{mode: "ok"}) // the third process reaches an endpoint of that name
	}
	c := call(manifest.Route{Kind: manifest.Idempotent, Attempts: 4})
	c.Request.Body = []byte(poison)
	if _, err := first.Send(context.Background(), c); !code.Is(err, code.EndpointFailed) {
		t.Fatalf("first process: %v", err)
	}
	held := func(f *Forwarder) bool {
		return !f.seams.Breaker.Empty() && f.seams.Breaker.Admit(c.ContentDigest(), breaker.NoLimit) > 0
	}
	for end := time.Now().Add(10 * time.Second); !held(second) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if !held(second) {
		t.Error("a process that does not reach the endpoints either does not hold the request back")
	}
	if held(third) {
		t.Error("a process that reaches the endpoints holds the request back")
	}
}

// Guards against holding back a harmless request because endpoints lost its
// answers, or because some crashed by chance while they ran it and a later one
// answered.
func TestSoundContentIsNotHeldBack(t *testing.T) {
	f, _ := newForwarderWith(t, &endpoint{mode: "break"}, &endpoint{mode: "cut"}, &endpoint{mode: "ok"})
	f.seams.Breaker = (&broadcaster{}).breaker(f.timers)
	c := call(manifest.Route{Kind: manifest.Idempotent, Attempts: 4})
	for range 3 {
		if _, err := f.Send(context.Background(), c); err != nil {
			t.Fatal(err)
		}
		f.seams.Breaker.RecordCrash(c.ContentDigest(), breaker.Incarnation{Endpoint: "other"})
	}
}

// Guards against missing a crash that shows only in the endpoint list: the
// address still accepts connections after the endpoint broke off the request, or
// the endpoint never answers.
func TestRemovedEndpointCountsAgainstContent(t *testing.T) {
	f, fleet := newForwarderWith(t)
	f.seams.Breaker = (&broadcaster{}).breaker(f.timers)
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

// Guards against missing a crash after the first event of a stream, when the
// answer has already begun.
func TestCrashingStreamIsHeldBack(t *testing.T) {
	f, fleet := newForwarderWith(t)
	f.seams.Breaker = (&broadcaster{}).breaker(f.timers)
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
			t.Error("a truncated stream was read without an error")
		}
		answer.Close()
	}
	newCrashingEndpoint(t, fleet, "e2")
	if _, err := f.Send(context.Background(), c); !code.Is(err, code.ContentHeld) {
		t.Errorf("the stream is not held back: %v", err)
	}
}
