package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/traffic/headers"
	"github.com/wigeonpin/wigeonpin/internal/traffic/memory"
)

var names = headers.Names{
	Request: "X-Request", Deadline: "X-Deadline", Endpoint: "X-Endpoint", Account: "X-Account",
	Stamp: "X-Stamp", Rejected: "X-Rejected", Load: "X-Load", Cold: "X-Cold", Leaving: "X-Leaving",
}

// longAnswer is the size in bytes of an answer too large to be buffered.
const longAnswer = MaxBufferedAnswer + 300_000

// endpoint behaves according to its mode: "ok", "500", "reject", "moved" (status
// 421), "unstamped", "cut" (truncated body), "break" (no answer), "hang", "long",
// "broken rest" (truncated after the buffered part) or "leaving".
type endpoint struct {
	mode     string
	received atomic.Int64
	runs     atomic.Int64
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(names.Request, r.Header.Get(names.Request))
	e.received.Add(1)
	switch e.mode {
	case "reject":
		w.Header().Set(names.Rejected, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "moved":
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.runs.Add(1)
	switch e.mode {
	case "break":
		panic(http.ErrAbortHandler)
	case "hang":
		// The server notices a closed connection only once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	case "unstamped":
		_, _ = fmt.Fprint(w, "no stamp")
		return
	}
	w.Header().Set(names.Stamp, "proof")
	if e.mode == "cut" {
		w.Header().Set("Content-Length", "100")
		_, _ = fmt.Fprint(w, "half")
		panic(http.ErrAbortHandler)
	}
	switch e.mode {
	case "long":
		_, _ = w.Write(make([]byte, MaxBufferedAnswer+1))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(3600 * time.Millisecond) // longer than the time limit of an attempt
		_, _ = w.Write(make([]byte, longAnswer-MaxBufferedAnswer-1))
		return
	case "broken rest":
		_, _ = w.Write(make([]byte, MaxBufferedAnswer+1))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "leaving":
		w.Header().Set(names.Leaving, "1")
	}
	if status, err := strconv.Atoi(e.mode); err == nil {
		w.WriteHeader(status)
	}
	_, _ = fmt.Fprint(w, "whole")
}

// TestAttempts guards the guarantees for requests: one of a route of kind Once
// runs at most once, NotRun is returned only when nothing ran, and a repeatable
// request uses no more attempts than its route allows.
func TestAttempts(t *testing.T) {
	once := manifest.Route{Kind: manifest.AtMostOnce, Attempts: 3}
	idempotent := manifest.Route{Kind: manifest.Idempotent, Attempts: 2}
	stream := manifest.Route{Kind: manifest.Stream, Attempts: 3}
	cases := []struct {
		name   string
		route  manifest.Route
		modes  []string
		status int       // of the answer, 0 for an error
		code   code.Code // of the error
		run    code.Run
		runs   int64
	}{
		{"served", once, []string{"ok"}, 200, 0, "", 1},
		{"rejected, then served", once, []string{"reject", "ok"}, 200, 0, "", 1},
		{"address of another, then served", once, []string{"moved", "ok"}, 200, 0, "", 1},
		{"all reject", once, []string{"reject", "reject"}, 0, code.NoEndpoint, code.NotRun, 0},
		{"once: broken", once, []string{"break", "break"}, 0, code.MayHaveRun, code.MaybeRun, 1},
		{"once: cut", once, []string{"cut", "cut"}, 0, code.MayHaveRun, code.MaybeRun, 1},
		{"once: 500 is its answer", once, []string{"500", "500"}, 500, 0, "", 1},
		{"once: 503 after a run", once, []string{"503", "503"}, 0, code.MayHaveRun, code.MaybeRun, 1},
		{"once: 429 after a run", once, []string{"429", "429"}, 0, code.MayHaveRun, code.MaybeRun, 1},
		{"once: 408 after a run", once, []string{"408", "408"}, 0, code.MayHaveRun, code.MaybeRun, 1},
		{"stream: 503 after a run", stream, []string{"503", "503"}, 0, code.MayHaveRun, code.MaybeRun, 1},
		{"once: rejected, then 503 after a run", once, []string{"reject", "503"}, 0, code.MayHaveRun, code.MaybeRun, 1},
		{"idempotent: 503 after a run, then served", idempotent, []string{"503", "ok"}, 200, 0, "", -1},
		{"idempotent: 429 is its answer", idempotent, []string{"429", "429"}, 429, 0, "", 1},
		{"idempotent: broken, then served", idempotent, []string{"break", "ok"}, 200, 0, "", -1},
		{"idempotent: no stamp twice", idempotent, []string{"unstamped", "unstamped", "unstamped"}, 0, code.EndpointFailed, code.MaybeRun, 2},
		{"idempotent: 500 twice", idempotent, []string{"500", "500", "500"}, 500, 0, "", 2},
		{"idempotent: silent, then served", idempotent, []string{"hang", "ok"}, 200, 0, "", -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, endpoints := newForwarder(t, c.modes)
			answer, err := f.Send(context.Background(), call(c.route))
			checkOutcome(t, answer, err, c.status, c.code, c.run)
			runs := int64(0)
			for _, e := range endpoints {
				runs += e.runs.Load()
			}
			if c.runs >= 0 && runs != c.runs {
				t.Errorf("%d runs, want %d", runs, c.runs)
			}
		})
	}
}

func checkOutcome(t *testing.T, answer *Answer, err error, status int, want code.Code, run code.Run) {
	t.Helper()
	if status == 0 {
		if got := code.Of(err); err == nil || got.Code != want || got.Run != run {
			t.Errorf("answer %+v, error %v (run %q), want %v (run %q)", answer, err, code.Of(err).Run, want, run)
		}
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Close()
	if answer.Status != status || string(answer.Body) != "whole" {
		t.Errorf("status %d body %q, want %d", answer.Status, answer.Body, status)
	}
}

func newForwarder(t *testing.T, modes []string) (*Forwarder, []*endpoint) {
	t.Helper()
	var endpoints []*endpoint
	for _, mode := range modes {
		endpoints = append(endpoints, &endpoint{mode: mode})
	}
	f, _ := newForwarderWith(t, endpoints...)
	return f, endpoints
}

func newForwarderWith(t *testing.T, endpoints ...*endpoint) (*Forwarder, *replica.Fleet) {
	t.Helper()
	timers := clock.NewSystem()
	fleet := replica.NewFleet(timers, replica.Options{Overcommit: 1})
	for i, e := range endpoints {
		addEndpoint(t, fleet, fmt.Sprint("e", i), e)
	}
	seams := Seams{Fleet: fleet, Pool: exchange.New(exchange.Options{EchoHeader: names.Request}), Names: names}
	return New(seams, timers, logs.Discard()), fleet
}

func addEndpoint(t *testing.T, fleet *replica.Fleet, id string, e *endpoint) {
	t.Helper()
	address := strings.TrimPrefix(newServer(t, e), "http://")
	fleet.Put(replica.Entry{ID: id, Service: "svc", Slots: 4, Address: address})
}

func newServer(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

func call(route manifest.Route) Call {
	return Call{
		ID: "r1", Route: route, Service: "svc", Deadline: time.Now().Add(3 * time.Second),
		Request: exchange.Request{
			Method: http.MethodPost, Path: "/x", Host: "h", Body: []byte("b"), Header: http.Header{"X-Request": {"r1"}},
		},
	}
}

// Guards against a request that waits for its deadline although the service has
// no endpoint. It must be refused at once, with a Retry-After delay.
func TestNoEndpointIsRefusedAtOnce(t *testing.T) {
	f, _ := newForwarder(t, nil)
	c := call(manifest.Route{Kind: manifest.Idempotent, Attempts: 3})
	c.Deadline = time.Now().Add(time.Hour)
	_, err := f.Send(context.Background(), c)
	if got := code.Of(err); got.Run != code.NotRun || got.RetryAfter <= 0 {
		t.Errorf("error %+v", got)
	}
}

// Guards against usage counts that include retries or rejected requests: a
// request counts once if any endpoint may have started it.
func TestBeganIsCountedOnce(t *testing.T) {
	f, _ := newForwarder(t, []string{"reject", "500", "500"})
	var began atomic.Int64
	f.seams.OnStart = func(string) { began.Add(1) }
	c := call(manifest.Route{Kind: manifest.Idempotent, Attempts: 2})
	c.Account = "acme"
	if _, err := f.Send(context.Background(), c); err != nil {
		t.Fatal(err)
	}
	if began.Load() != 1 {
		t.Errorf("the request was counted %d times, want 1", began.Load())
	}
}

// Guards against retrying without end when all endpoints reject a request. After
// maxRejections the caller must get an error at once.
func TestRejectedByAllIsRefusedSoon(t *testing.T) {
	f, endpoints := newForwarder(t, []string{"reject", "reject"})
	_, err := f.Send(context.Background(), call(manifest.Route{Kind: manifest.Idempotent, Attempts: 3}))
	if got := code.Of(err); got.Code != code.NoEndpoint || got.Run != code.NotRun {
		t.Errorf("error %+v", got)
	}
	for i, e := range endpoints {
		if received := e.received.Load(); received > maxRejections {
			t.Errorf("endpoint %d got the request %d times, want at most %d", i, received, maxRejections)
		}
	}
}

// Guards against cutting off a long answer at the time limit of its attempt. The
// limit must not apply once the caller gets the answer, since no other attempt
// follows.
func TestLongAnswerIsNotCut(t *testing.T) {
	e := &endpoint{mode: "long"}
	f, fleet := newForwarderWith(t, e)
	c := call(manifest.Route{Kind: manifest.Idempotent, Attempts: 2})
	c.Deadline = time.Now().Add(8 * time.Second)
	answer, err := f.Send(context.Background(), c)
	if err != nil {
		t.Fatal(err)
	}
	rest, err := io.ReadAll(answer.Rest)
	if err != nil || len(answer.Body)+len(rest) != longAnswer {
		t.Errorf("%d bytes, %v, want %d", len(answer.Body)+len(rest), err, longAnswer)
	}
	answer.Close()
	if _, found := fleet.Pick(replica.Requirements{Service: "svc"}); !found {
		t.Error("the slot at the endpoint was not released")
	}
}

// Guards against selecting an endpoint again right after it truncated an answer
// whose first part the caller had already got.
func TestTruncatedAnswerCountsAsFailure(t *testing.T) {
	broken, sound := &endpoint{mode: "broken rest"}, &endpoint{mode: "ok"}
	f, fleet := newForwarderWith(t, broken)
	answer, err := f.Send(context.Background(), call(manifest.Route{Kind: manifest.Idempotent, Attempts: 2}))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(answer.Rest); err == nil {
		t.Error("the truncated answer was read without an error")
	}
	answer.Close()
	addEndpoint(t, fleet, "sound", sound)
	for range 4 {
		slot, found := fleet.Pick(replica.Requirements{Service: "svc"})
		if !found || slot.Entry.ID != "sound" {
			t.Errorf("picked %+v, want the endpoint that does not fail", slot)
		}
	}
}

// Guards against further requests to an endpoint that announced in an answer that
// it is leaving.
func TestLeavingEndpointGetsNoMore(t *testing.T) {
	leaving := &endpoint{mode: "leaving"}
	f, _ := newForwarderWith(t, leaving)
	if _, err := f.Send(context.Background(), call(manifest.Route{Kind: manifest.Idempotent, Attempts: 2})); err != nil {
		t.Fatal(err)
	}
	_, err := f.Send(context.Background(), call(manifest.Route{Kind: manifest.Idempotent, Attempts: 2}))
	if got := code.Of(err); got.Code != code.NoEndpoint || got.Run != code.NotRun || leaving.received.Load() != 1 {
		t.Errorf("error %v after %d requests, want a refusal after 1", err, leaving.received.Load())
	}
}

// Guards against a leak of the memory budget: it has room for the answers of one
// call only, so a leak makes a later call fail.
func TestMemoryIsGivenBack(t *testing.T) {
	f, _ := newForwarder(t, []string{"500", "ok"})
	f.seams.Memory = memory.NewBudget(9000) // bytes, for the 500 and the answer after it
	for range 20 {
		answer, err := f.Send(context.Background(), call(manifest.Route{Kind: manifest.Idempotent, Attempts: 2}))
		if err != nil {
			t.Fatal(err)
		}
		if answer.Rest != nil {
			t.Fatal("the answer was not buffered: the memory budget is used up")
		}
		answer.Close()
	}
}
