package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"iter"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
	"github.com/wigeonpin/wigeonpin/internal/traffic/forward"
	"github.com/wigeonpin/wigeonpin/internal/traffic/headers"
	"github.com/wigeonpin/wigeonpin/internal/traffic/memory"
	"github.com/wigeonpin/wigeonpin/internal/traffic/stop"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

var names = headers.Names{
	Request: "X-Request", Deadline: "X-Deadline", Endpoint: "X-Endpoint", Account: "X-Account",
	Stamp: "X-Stamp", Rejected: "X-Rejected", Load: "X-Load", Cold: "X-Cold", Wait: "X-Wait", VersionKey: "versions",
}

// bodyBudget is the memory budget for the bodies of requests in bytes.
const bodyBudget = 4 * 1001

// fixture is a Front with one server as both of its endpoints, and a ledger as its
// store.
type fixture struct {
	server     *httptest.Server
	front      *Front
	stop       *stop.Plan
	ledger     *ledger.Ledger
	manifest   atomic.Pointer[manifest.Manifest] // in force
	configured atomic.Bool
	isolated   atomic.Bool

	stale     atomic.Bool
	isolation chan struct{} // closed when calls to the store cannot succeed
	restored  chan struct{} // closed when the store can be reached again; nil if it can be reached
	lostFor   time.Duration
	silent    atomic.Bool // the store does not answer

	limits   chan time.Duration                // of the delivery of answers
	uptime   atomic.Int64                      // nanoseconds
	onRead   atomic.Pointer[func(kind string)] // called with an answer of the store on its way
	onEncode atomic.Pointer[func()]            // called while an answer is encoded
}

// store returns the store of the ledger, which can be made silent.
func (fx *fixture) store() records.Store {
	store := fx.ledger.Store()
	get, create := store.Get, store.Create
	store.Get = func(ctx context.Context, kind, name string) (records.Record, error) {
		if fx.silent.Load() {
			<-ctx.Done()
			return records.Record{}, records.ErrUnknownOutcome
		}
		record, err := get(ctx, kind, name)
		if hook := fx.onRead.Load(); hook != nil {
			(*hook)(kind)
		}
		return record, err
	}
	store.Create = func(ctx context.Context, r records.Record) (records.Record, error) {
		if fx.silent.Load() {
			<-ctx.Done()
			return r, records.ErrUnknownOutcome
		}
		return create(ctx, r)
	}
	return store
}

func newFixture(t *testing.T, endpoint http.HandlerFunc) *fixture {
	t.Helper()
	return newFixtureOn(t, ledger.New(), endpoint)
}

// newFixtureOn returns a fixture whose store has the records of a ledger.
func newFixtureOn(t *testing.T, l *ledger.Ledger, endpoint http.HandlerFunc) *fixture {
	t.Helper()
	backend := httptest.NewServer(endpoint)
	t.Cleanup(backend.Close)
	timers := clock.NewSystem()
	fleet := replica.NewFleet(timers, replica.Options{Overcommit: 1})
	for _, id := range []string{"e1", "e2"} {
		fleet.Put(replica.Entry{ID: id, Service: "svc", Slots: 4, Address: strings.TrimPrefix(backend.URL, "http://")})
	}
	target := []manifest.Target{{Service: "svc", Weight: 1}}
	m := manifest.New(3, []manifest.Route{
		{Host: "h", Prefix: "/keyed/", Kind: manifest.Idempotent, Attempts: 2, Timeout: 5 * time.Second, Targets: target},
		{Host: "h", Prefix: "/open/", Kind: manifest.Idempotent, Attempts: 2, Public: true, Targets: target},
		{Host: "h", Prefix: "/stream/", Kind: manifest.Stream, Attempts: 2, Public: true, Resumable: true, Targets: target},
		{Host: "h", Prefix: "/last/", Kind: manifest.Stream, Attempts: 1, Public: true, Resumable: true, Targets: target},
		{Host: "h", Prefix: "/once/", Kind: manifest.AtMostOnce, Attempts: 2, Public: true, Targets: target},
		{Host: "h", Prefix: "/batch/", Kind: manifest.Rollout, Attempts: 2, Targets: target},
	}, nil, []manifest.Account{{Name: "acme", Keys: []string{"k1"}}, {Name: "blue", Keys: []string{"k2"}}}, manifest.Limits{MaxBodyBytes: 1000})
	fx := &fixture{ledger: l, isolation: make(chan struct{}), limits: make(chan time.Duration, 100)}
	fx.manifest.Store(m)
	fx.configured.Store(true)
	shelf := batch.NewStore(fx.store(), 1<<20)
	noWorkerBatch := func(context.Context, string) (*batch.Batch, bool) { return nil, false }
	noWorkerPages := func(context.Context, string, int, time.Duration) batch.Update { return batch.Update{} }
	meters := meter.NewSet()
	fx.stop = stop.New(timers, meters)
	fx.front = New(Seams{
		Manifest: func() *manifest.Manifest {
			if fx.configured.Load() {
				return fx.manifest.Load()
			}
			return nil
		},
		Ready: func() bool { return fx.configured.Load() && !fx.isolated.Load() },
		Stale: fx.stale.Load,
		Outage: Outage{
			Isolation: func() <-chan struct{} { return fx.isolation },
			Restored:  func() <-chan struct{} { return fx.restored },
			LostFor:   func() time.Duration { return fx.lostFor },
		},
		Forwarder: forward.New(forward.Seams{
			Fleet: fleet, Pool: exchange.New(exchange.Options{EchoHeader: names.Request}), Names: names, Stop: fx.stop,
		}, timers, logs.Discard()),
		Shelf: shelf, Names: names, Meters: meters,
		Reader: batch.NewReader(batch.ReaderSeams{
			Store: shelf, Find: noWorkerBatch, Follow: noWorkerPages,
		}, timers.WithUptime(func() time.Duration { return time.Duration(fx.uptime.Load()) }), logs.Discard()),
		Memory: memory.NewBudget(bodyBudget), Stop: fx.stop,
		LimitDelivery: func(_ context.Context, limit time.Duration) { fx.limits <- limit },
		API:           API{Parse: parse, Decode: decode, Encode: fx.encode, ReadyPath: "/ready"},
	}, timers, logs.Discard())
	fx.server = httptest.NewServer(fx.front)
	t.Cleanup(fx.server.Close)
	return fx
}

func parse(method, path string) (Operation, string) {
	id, found := strings.CutPrefix(path, "/results/")
	switch {
	case found && method == http.MethodGet:
		return ReadResults, id
	case found && method == http.MethodDelete:
		return EndBatch, id
	}
	if id, found := strings.CutPrefix(path, "/items/"); found {
		return ReadItem, id
	}
	return NoBatch, ""
}

func decode(body []byte) (*batch.Batch, iter.Seq2[batch.Item, error], error) {
	if string(body) == "bad" {
		return nil, nil, errors.New("no batch")
	}
	return &batch.Batch{}, func(yield func(batch.Item, error) bool) {
		yield(batch.Item{ID: string(body), Body: []byte("item")}, nil)
	}, nil
}

func (fx *fixture) encode(total, next int, _ []batch.Result) ([]byte, error) {
	if hook := fx.onEncode.Load(); hook != nil {
		(*hook)()
	}
	return fmt.Appendf(nil, "%d/%d", next, total), nil
}

func (fx *fixture) call(t *testing.T, method, path, key, body string) (int, http.Header, string, error) {
	t.Helper()
	r, err := http.NewRequest(method, fx.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set(names.Request, "id-"+body)
	r.Header.Set(names.Account, "forged")
	r.Header.Set(names.Deadline, "12000")
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(text), err
}

// echo answers with the request's path, its account and the key, if it was passed
// on.
func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(names.Request, r.Header.Get(names.Request))
	w.Header().Set(names.Stamp, "proof")
	_, _ = fmt.Fprintf(w, "%s %s key=%q", r.RequestURI, r.Header.Get(names.Account), r.Header.Get("Authorization"))
}

// TestAdmission guards access control: routes and keys are checked, and the
// endpoint sees the right account but never a key.
func TestAdmission(t *testing.T) {
	fx := newFixture(t, echo)
	cases := []struct {
		path, key string
		status    int
		body      string
	}{
		{"/keyed/a%2Fb?x=1", "k1", 200, `/keyed/a%2Fb?x=1 acme key=""`},
		{"/keyed/a", "k2", 200, `/keyed/a blue key=""`},
		{"/keyed/a", "k3", 401, ""},
		{"/keyed/a", "", 401, ""},
		{"/open/a", "", 200, `/open/a  key=""`},
		{"/none/a", "k1", 404, ""},
	}
	for _, c := range cases {
		status, _, body, err := fx.call(t, http.MethodPost, c.path, c.key, "x")
		if err != nil || status != c.status || (c.status == 200 && body != c.body) {
			t.Errorf("%s with key %q: %d %q %v, want %d %q", c.path, c.key, status, body, err, c.status, c.body)
		}
	}
	if status, _, _, _ := fx.call(t, http.MethodPost, "/keyed/a", "k1", strings.Repeat("x", 1001)); status != http.StatusRequestEntityTooLarge {
		t.Errorf("a body over the limit got %d", status)
	}
}

// Guards against a process without configuration that reports a route or a key as
// unknown. It must answer 503 with Retry-After.
func TestUnknownConfiguration(t *testing.T) {
	fx := newFixture(t, echo)
	fx.configured.Store(false)
	status, header, _, err := fx.call(t, http.MethodPost, "/keyed/a", "k1", "x")
	if err != nil || status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("status %d, header %v, %v, want 503 with Retry-After", status, header, err)
	}
}

// Guards against accepting a key that was withdrawn while the process was paused.
// Until it has heard from the store again, it must serve open routes only.
func TestKeysAfterAPause(t *testing.T) {
	fx := newFixture(t, echo)
	fx.stale.Store(true)
	status, header, body, err := fx.call(t, http.MethodPost, "/keyed/a", "k1", "x")
	if err != nil || status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || !strings.Contains(body, "not_run") {
		t.Errorf("a keyed request got %d %v %q, %v", status, header, body, err)
	}
	if status, _, _, err := fx.call(t, http.MethodPost, "/open/a", "", "x"); err != nil || status != http.StatusOK {
		t.Errorf("an open request got %d, %v", status, err)
	}
}

// Guards against 404 for a route that was added while the process was paused.
func TestRoutesAfterAPause(t *testing.T) {
	fx := newFixture(t, echo)
	fx.stale.Store(true)
	status, header, body, err := fx.call(t, http.MethodGet, "/none/a", "k1", "x")
	if err != nil || status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || !strings.Contains(body, "not_run") {
		t.Errorf("a request without a route got %d %v %q, %v; want 503, not run", status, header, body, err)
	}
}

// Guards against a readiness check that passes while the process is isolated or
// during a planned shutdown, and against refusing requests during the shutdown.
func TestReadiness(t *testing.T) {
	fx := newFixture(t, echo)
	ready := func() int {
		recorder := httptest.NewRecorder()
		fx.front.Readiness().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/ready", nil))
		return recorder.Code
	}
	if ready() != 200 {
		t.Error("not ready though it has its configuration")
	}
	fx.isolated.Store(true)
	if ready() != 503 {
		t.Error("ready though isolated")
	}
	fx.isolated.Store(false)
	fx.front.Stop()
	if ready() != 503 {
		t.Error("ready during a planned shutdown")
	}
	if status, _, _, err := fx.call(t, http.MethodPost, "/open/a", "", "x"); err != nil || status != 200 {
		t.Errorf("a request during the shutdown got %d, %v", status, err)
	}
}

// streamEndpoint sends a stream of 4 events. If breaks is set, its first run ends
// in the middle of event 3.
func streamEndpoint(breaks bool) http.HandlerFunc {
	var runs atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names.Request, r.Header.Get(names.Request))
		w.Header().Set(names.Stamp, "proof")
		run := runs.Add(1)
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for n := last + 1; n <= 4; n++ {
			if breaks && run == 1 && n == 3 {
				_, _ = fmt.Fprint(w, "id: 3\nda")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x%d\n\n", n, n)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// Guards against missing, duplicate or merged events in a stream, also when it
// breaks off and is resumed.
func TestStreams(t *testing.T) {
	want := "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\nid: 3\ndata: x3\n\nid: 4\ndata: x4\n\n"
	for name, breaks := range map[string]bool{"whole": false, "resumed": true} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, streamEndpoint(breaks))
			status, _, body, err := fx.call(t, http.MethodPost, "/stream/a", "", "x")
			if err != nil || status != 200 || body != want {
				t.Errorf("status %d, body %q, %v, want 200 and %q", status, body, err, want)
			}
		})
	}
}

// Guards against a stream that could not be finished but looks complete to the
// caller.
func TestBrokenStreamIsNotComplete(t *testing.T) {
	fx := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names.Request, r.Header.Get(names.Request))
		w.Header().Set(names.Stamp, "proof")
		_, _ = fmt.Fprint(w, "id: 1\ndata: x1\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	if _, _, body, err := fx.call(t, http.MethodPost, "/stream/a", "", "x"); err == nil {
		t.Errorf("the caller saw a complete answer %q", body)
	}
}

// TestBatchAnswers guards the guarantees for batches: 202 only if the batch is
// stored, 503 only if it is not, 404 only if it does not exist.
func TestBatchAnswers(t *testing.T) {
	cases := []struct {
		name, method, path, key, body string
		fault                         ledger.Fault
		status                        int
	}{
		{"accepted", http.MethodPost, "/batch/x", "k1", "i1", ledger.None, 202},
		{"accepted again", http.MethodPost, "/batch/x", "k1", "i1", ledger.None, 202},
		{"answer lost", http.MethodPost, "/batch/x", "k1", "i2", ledger.LoseResponse, 202},
		{"store away", http.MethodPost, "/batch/x", "k1", "i3", ledger.Refuse, 503},
		{"not known whether stored", http.MethodPost, "/batch/x", "k1", "i4", ledger.DropWrite, 504},
		{"no batch", http.MethodPost, "/batch/x", "k1", "bad", ledger.None, 400},
		{"item that cannot be sent", http.MethodPost, "/batch/x", "k1", "a b", ledger.None, 400},
		{"no results yet", http.MethodGet, "/results/id-i1", "k1", "", ledger.None, 200},
		{"of another account", http.MethodGet, "/results/id-i1", "k2", "", ledger.None, 404},
		{"unknown", http.MethodGet, "/results/id-i9", "k1", "", ledger.None, 404},
		{"not sure", http.MethodGet, "/results/id-i9", "k1", "", ledger.Refuse, 503},
		{"wrong position", http.MethodGet, "/results/id-i1?after=-1", "k1", "", ledger.None, 400},
		{"end refused", http.MethodDelete, "/results/id-i1", "k1", "", ledger.Refuse, 503},
		{"end not known whether stored", http.MethodDelete, "/results/id-i1", "k1", "", ledger.DropWrite, 504},
		{"answer to the end lost", http.MethodDelete, "/results/id-i2", "k1", "", ledger.LoseResponse, 200},
		{"ended", http.MethodDelete, "/results/id-i1", "k1", "", ledger.None, 200},
		{"ended again", http.MethodDelete, "/results/id-i1", "k1", "", ledger.None, 200},
	}
	fx := newFixture(t, echo)
	for _, c := range cases {
		fx.ledger.SetFault(c.fault)
		status, _, body, err := fx.call(t, c.method, c.path, c.key, c.body)
		if err != nil || status != c.status {
			t.Errorf("%s: %d %q %v, want %d", c.name, status, body, err, c.status)
		}
		fx.ledger.SetFault(ledger.None)
	}
}

// TestCutOffProcessAnswersBatchCalls guards against callers that wait for a store
// which cannot be reached: a batch is refused at once and not run, and an open call
// ends as soon as it is certain that the store cannot answer. Results that are known
// here are still served.
func TestCutOffProcessAnswersBatchCalls(t *testing.T) {
	fx := newFixture(t, echo)
	if status, _, _, _ := fx.call(t, http.MethodPost, "/batch/x", "k1", "b1"); status != http.StatusAccepted {
		t.Fatalf("status %d, want 202", status)
	}
	if status, _, _, _ := fx.call(t, http.MethodGet, "/results/id-b1?after=0", "k1", "r1"); status != http.StatusOK {
		t.Fatalf("status %d, want 200", status)
	}
	if err := batch.NewStore(fx.ledger.Store(), 1<<20).Append(context.Background(), "id-b1", 0, batch.Page{Results: []batch.Result{{ID: "b1"}}}); err != nil {
		t.Fatal(err)
	}
	if _, _, body, _ := fx.call(t, http.MethodGet, "/results/id-b1?after=0", "k1", "r2"); body != "1/1" {
		t.Fatalf("answer %q, want one result", body)
	}
	fx.silent.Store(true)
	answered := make(chan int, 1)
	go func() {
		status, _, _, _ := fx.call(t, http.MethodPost, "/batch/x", "k1", "b2")
		answered <- status
	}()
	time.Sleep(50 * time.Millisecond)
	close(fx.isolation)
	if status := <-answered; status == http.StatusAccepted {
		t.Error("a batch was accepted that the store does not have")
	}
	status, header, body, _ := fx.call(t, http.MethodPost, "/batch/x", "k1", "b3")
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || !strings.Contains(body, "not_run") {
		t.Errorf("status %d, Retry-After %q, body %q, want a refusal that says not run", status, header.Get("Retry-After"), body)
	}
	if _, _, body, _ := fx.call(t, http.MethodGet, "/results/id-b1?after=0", "k1", "r3"); body != "1/1" {
		t.Errorf("answer %q, want the result that is known here", body)
	}
}

// TestBatchWaitsForTheStore guards against trainers whose few attempts all meet one
// outage of the store: a step was refused for good 5.7 s before the store was back
// (a trial on kolil-hq-grown trouble-1).
func TestBatchWaitsForTheStore(t *testing.T) {
	fx := newFixture(t, echo)
	fx.ledger.SetFault(ledger.Refuse)
	fx.restored = make(chan struct{})
	answered := make(chan int, 1)
	go func() {
		status, _, _, _ := fx.call(t, http.MethodPost, "/batch/x", "k1", "b1")
		answered <- status
	}()
	select {
	case status := <-answered:
		t.Fatalf("status %d, want none before the store is back", status)
	case <-time.After(100 * time.Millisecond):
	}
	fx.ledger.SetFault(ledger.None)
	close(fx.restored)
	if status := <-answered; status != http.StatusAccepted {
		t.Errorf("status %d, want 202", status)
	}
}

// TestReturnTimeFollowsTheOutage guards against callers that come back again and
// again in a long outage, and against a batch that counts as run although the store
// never got it.
func TestReturnTimeFollowsTheOutage(t *testing.T) {
	for lostFor, want := range map[time.Duration]string{0: "0.400", 2 * time.Second: "1.000", time.Minute: "2.000"} {
		fx := newFixture(t, echo)
		fx.ledger.SetFault(ledger.Refuse)
		fx.lostFor = lostFor
		status, header, body, _ := fx.call(t, http.MethodPost, "/batch/x", "k1", "b1")
		if status != http.StatusServiceUnavailable || !strings.Contains(body, "not_run") || header.Get("Retry-After") != want {
			t.Errorf("lost for %v: status %d, Retry-After %q, body %q, want 503, %s and not run", lostFor, status, header.Get("Retry-After"), body, want)
		}
	}
}
