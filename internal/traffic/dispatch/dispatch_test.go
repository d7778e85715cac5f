package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"golang.org/x/sys/unix"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
	"github.com/wigeonpin/wigeonpin/internal/peer/engine"
	"github.com/wigeonpin/wigeonpin/internal/peer/service"
	"github.com/wigeonpin/wigeonpin/internal/traffic/breaker"
	"github.com/wigeonpin/wigeonpin/internal/traffic/queue"
)

// backend is an endpoint with a fault: "refuse" (nothing listens), "cut N" (each
// stream breaks after N chunks), "crash N" (the same, and then nothing listens),
// "busy" (status 503), "silent" (the first request gets no answer), "drop" (the
// connection is closed after the request was read).
type backend struct {
	roster.Endpoint
	fault      string
	load       roster.Load
	free       int
	slotsInUse int
	server     *httptest.Server
	crashed    []string
}

type fixture struct {
	runner     *Dispatcher
	mu         sync.Mutex
	backends   []*backend
	seen       []string
	usage      Usage
	zonesOut   map[string]bool
	silent     chan struct{}
	admissions int // admissions left
}

func (f *fixture) find(id string) *backend {
	return f.backends[slices.IndexFunc(f.backends, func(e *backend) bool { return e.ID == id })]
}

func newFixture(timers *clock.Service) *fixture {
	b := &fixture{zonesOut: map[string]bool{}, silent: make(chan struct{}, 1), admissions: 1000}
	settings := setting.Defaults()
	settings.ID, settings.Zone = "i-1", "a"
	meters := meter.NewSet()
	waiting := queue.New(timers, meters, queue.Seams{RemoteCost: func(string) int64 { return 0 }})
	b.runner = New(settings, timers, meters, logs.Discard(), engine.New(settings, timers), service.New(settings), Seams{
		Endpoints: func(string) (out []roster.Endpoint) {
			for _, e := range b.backends {
				out = append(out, e.Endpoint)
			}
			return out
		},
		Load:      func(id string) (roster.Load, bool) { return b.find(id).load, b.find(id).load.Limit > 0 },
		Failed:    func(string, error) {},
		FreeSlots: func(id string) int { return b.find(id).free },
		Acquire: func(id, _ string) (Slot, bool) {
			b.find(id).slotsInUse++
			return Slot{Release: func(Outcome) { b.find(id).slotsInUse-- }}, true
		},
		Wait: waiting.Wait,
		Table: func() *table.Table {
			var rows []table.Row
			for zone := range b.zonesOut {
				rows = append(rows, table.Row{Table: table.Zones, Name: zone, Value: json.RawMessage(`{"state":"out"}`)})
			}
			return table.Load(1, rows)
		},
		Admit: func(string) (func(), error) {
			if b.admissions--; b.admissions < 0 {
				return nil, code.New(code.SuspectRequest, "refused")
			}
			return func() {}, nil
		},
		Instances: func(string) int { return 1 },
		Suspect:   func(string) bool { return false }, Enter: func(string, string) (func(), error) { return func() {}, nil }, Completed: func(string) {},
		Breaker: breaker.New(breaker.Seams{}, clock.NewSystem(), logs.Discard()),
		Crashed: func(id string, digests []string) { b.find(id).crashed = digests },
		Record:  func(_ context.Context, u Usage) error { b.usage = u; return nil },
	})
	return b
}

func (f *fixture) add(t *testing.T, e *backend) {
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(w, r, e) }))
	t.Cleanup(e.server.Close)
	e.Address = strings.TrimPrefix(e.server.URL, "http://")
	if e.fault == "refuse" {
		e.Address = refusingAddress(t)
	} else if _, err := f.runner.engines.LoadReport(context.Background(), e.Address); err != nil {
		// Fetching the load report leaves a pooled connection, as in operation.
		t.Fatal(err)
	}
	f.backends = append(f.backends, e)
}

// refusingAddress returns an address that refuses connections until the test ends. The port
// of a closed server would not do: the system may give it to a server of another test.
func refusingAddress(t *testing.T) string {
	t.Helper()
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(socket) })
	if err := unix.Bind(socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprint("127.0.0.1:", bound.(*unix.SockaddrInet4).Port)
}

func (f *fixture) serve(w http.ResponseWriter, r *http.Request, e *backend) {
	var in engine.Request
	raw, _ := io.ReadAll(r.Body)
	if r.URL.Path == "/v1/load" || r.Method == http.MethodDelete {
		fmt.Fprint(w, "{}")
		return
	}
	f.mu.Lock()
	f.seen = append(f.seen, e.ID)
	f.mu.Unlock()
	switch {
	case e.fault == "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case e.fault == "silent":
		e.fault = ""
		f.silent <- struct{}{}
		<-r.Context().Done()
		return
	case e.fault == "drop":
		panic(http.ErrAbortHandler)
	case string(raw) == poison:
		_ = e.server.Listener.Close()
		panic(http.ErrAbortHandler)
	case json.Unmarshal(raw, &in) != nil:
		w.Header().Set(codec.HeaderRequest, r.Header.Get(codec.HeaderRequest))
		fmt.Fprint(w, "served by "+e.ID)
		return
	}
	cut := in.MaxTokens
	for _, word := range []string{"cut", "crash"} {
		if strings.HasPrefix(e.fault, word) {
			fmt.Sscanf(e.fault, word+" %d", &cut)
			cut += in.ResumeTokens
		}
	}
	for n := in.ResumeTokens; n < in.MaxTokens; n++ {
		if n == cut {
			if strings.HasPrefix(e.fault, "crash") {
				_ = e.server.Listener.Close()
				e.server.CloseClientConnections()
			}
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, `{"request":%q,"index":%d,"text":"w%d ","tokens":1,"version":%d}`+"\n", in.Request, n, n, e.load.Version)
		_ = http.NewResponseController(w).Flush()
	}
	fmt.Fprintf(w, `{"request":%q,"done":true,"reason":"length","tokens":%d}`+"\n", in.Request, in.MaxTokens)
}

// endpoints adds the endpoints of a script, one a line:
// ID zone=Z class=C state=S fault=F running=N version=V price=P free=N
func (f *fixture) endpoints(t *testing.T, d *datadriven.TestData) {
	for _, line := range strings.Split(d.Input, "\n") {
		words := strings.Fields(line)
		e := &backend{Endpoint: roster.Endpoint{ID: words[0], Zone: "a", Class: roster.ClassStandard, State: roster.StateLive}, free: 1}
		e.load.Limit = 10
		for _, word := range words[1:] {
			name, value, _ := strings.Cut(word, "=")
			var number int
			fmt.Sscan(value, &number)
			switch name {
			case "zone":
				e.Zone = value
			case "class":
				e.Class = value
			case "state":
				e.State = value
			case "fault":
				e.fault = strings.ReplaceAll(value, "-", " ")
			case "running":
				e.load.Running = number
			case "version":
				e.load.Version = number
			case "price":
				e.PricePerHour = float64(number)
			case "free":
				e.free = number
			default:
				t.Fatalf("unknown field %q", name)
			}
		}
		f.add(t, e)
	}
}

// Guards against requests on endpoints that must not run them, gaps in streams
// after failures, retries of calls that may have run, wrong "not run" errors,
// unlimited retries, and slots that are never released.
func TestDispatch(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var b *fixture
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "endpoints" {
				b = newFixture(clock.NewSystem())
				b.endpoints(t, d)
				return ""
			}
			b.mu.Lock()
			b.seen, b.usage = nil, Usage{}
			b.mu.Unlock()
			var zone, avoid, prompt string
			var version, credit int
			d.MaybeScanArgs(t, "out", &zone)
			d.MaybeScanArgs(t, "version", &version)
			d.MaybeScanArgs(t, "avoid", &avoid)
			d.MaybeScanArgs(t, "prompt", &prompt)
			if zone != "" {
				b.zonesOut[zone] = true
			}
			if d.MaybeScanArgs(t, "credit", &credit) {
				b.runner.budgets.credits["account/acme"] = float64(credit)
			}
			d.MaybeScanArgs(t, "admit", &b.admissions)
			checks, refusal := 1000, code.KeysStale
			d.MaybeScanArgs(t, "checks", &checks)
			if d.HasArg("withdrawn") {
				refusal = code.KeyWithdrawn
			}
			check := func() error {
				if checks--; checks < 0 {
					return code.New(refusal, "refused")
				}
				return nil
			}
			deadline := time.Now().Add(time.Minute)
			var text string
			var err error
			if d.Cmd == "generate" {
				var result Result
				result, err = b.runner.Generate(context.Background(), Job{
					Request: "r", Account: "acme", Model: "m", Prompt: strings.Repeat(prompt, 100), MaxTokens: 4,
					Deadline: deadline, MinVersion: version, Avoid: []string{avoid}, Check: check,
				}, func(Chunk) error { return nil })
				text = fmt.Sprintf("%q versions=%v", result.Text, result.Ranges)
			} else {
				var answer *Answer
				answer, err = b.runner.Forward(context.Background(), ServiceCall{
					Request: "r", Account: "acme", Model: "m", Method: "POST", Path: "/x", Body: []byte("pay"),
					Repeatable: d.HasArg("repeatable"), Deadline: deadline, Check: check,
				})
				if err == nil {
					text = string(answer.Body)
					answer.Close()
				}
			}
			return b.report(text, err)
		})
	})
}

func (f *fixture) report(text string, err error) string {
	f.runner.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	out := text
	if err != nil {
		out = fmt.Sprintf("%s run=%s", code.Of(err).Code, code.Of(err).Run)
	}
	out += fmt.Sprintf("\nseen=%v usage=%d/%d", f.seen, f.usage.Requests, f.usage.TokensOut)
	for _, e := range f.backends {
		if e.slotsInUse != 0 {
			out += fmt.Sprintf("\n%s: %d slots not released", e.ID, e.slotsInUse)
		}
		if len(e.crashed) > 0 {
			out += fmt.Sprintf("\n%s crashed with %d digests", e.ID, len(e.crashed))
		}
	}
	return out
}

// Guards against retry budgets that allow more or fewer retries than the given
// percentage of the successes, or that mix accounts or endpoints.
func TestBudget(t *testing.T) {
	b := newBudgets(10)
	spend := func(account, endpoint string) (n int) {
		for b.spend(account, endpoint) {
			n++
		}
		return n
	}
	if n := spend("acme", "e1"); n != initialCredit {
		t.Errorf("the initial credit allows %d retries, want %d", n, initialCredit)
	}
	for range 55 {
		b.success("acme", "e2")
	}
	for range 45 {
		b.success("other", "e1")
	}
	if n := spend("acme", "e2"); n != 5 {
		t.Errorf("55 successes of the account allow %d retries, want 5", n)
	}
	if n := spend("other", "e1"); n != 4 {
		t.Errorf("45 successes on the endpoint allow %d retries, want 4", n)
	}
}

// Guards against a silent connection that delays a request by more than the
// silence timeout, or fails it: streams and repeatable calls must be retried once
// over a new connection to the same endpoint.
func TestSilentConnection(t *testing.T) {
	for _, kind := range []string{"stream", "repeatable"} {
		timers, driver := clock.NewDriven(time.Now())
		b := newFixture(timers)
		b.add(t, &backend{Endpoint: roster.Endpoint{ID: "e1", Zone: "a", State: roster.StateLive}, free: 1, fault: "silent"})
		go func() {
			<-b.silent
			driver.Advance(setting.Milliseconds(setting.Defaults().SilenceMS))
		}()
		var text string
		var err error
		if kind == "stream" {
			var result Result
			result, err = b.runner.Generate(context.Background(), Job{
				Request: "r", Account: "acme", Model: "m", MaxTokens: 2, Deadline: timers.Now().Add(time.Minute),
			}, func(Chunk) error { return nil })
			text = result.Text
		} else {
			var answer *Answer
			answer, err = b.runner.Forward(context.Background(), ServiceCall{
				Request: "r", Account: "acme", Model: "m", Method: "GET", Path: "/x", Repeatable: true, Deadline: timers.Now().Add(time.Minute),
			})
			if err == nil {
				text = string(answer.Body)
				answer.Close()
			}
		}
		if err != nil || text == "" || len(b.seen) != 2 {
			t.Errorf("%s: text %q, error %v, requests reached %v, want text from two requests", kind, text, err, b.seen)
		}
		if b.backends[0].slotsInUse != 0 {
			t.Errorf("%s: %d slots not released", kind, b.backends[0].slotsInUse)
		}
	}
}

// poison is the body of calls that crash each service that runs them.
const poison = "poison"

// Guards against a call that crashes one service after the other, as the
// dispatcher retries it and its caller sends it again, and against other calls
// that are held back with it.
func TestCrashingCallEndsTwoServices(t *testing.T) {
	b := newFixture(clock.NewSystem())
	for i := range 5 {
		b.add(t, &backend{Endpoint: roster.Endpoint{ID: fmt.Sprint("e", i), Zone: "a", State: roster.StateLive}, free: 1})
	}
	send := func(body string) error {
		answer, err := b.runner.Forward(context.Background(), ServiceCall{
			Request: "r", Account: "acme", Model: "m", Method: "POST", Path: "/x", Body: []byte(body), Repeatable: true,
			Deadline: time.Now().Add(time.Minute),
		})
		if err == nil {
			answer.Close()
		}
		return err
	}
	if got := code.Of(send(poison)); got == nil || got.Code != code.EndpointFailed || got.Run != code.MaybeRun {
		t.Errorf("first call: got %+v, want endpoint_failed and may_have_run", got)
	}
	for range 2 {
		if got := code.Of(send(poison)); got == nil || got.Code != code.ContentHeld || got.Run != code.NotRun || got.RetryAfter <= 0 {
			t.Errorf("repeated call: got %+v, want content_held, not_run and a retry-after time", got)
		}
	}
	b.mu.Lock()
	if len(b.seen) != 2 {
		t.Errorf("the call reached %v, want two services", b.seen)
	}
	b.mu.Unlock()
	if err := send("sound"); err != nil {
		t.Errorf("call with another content failed: %v", err)
	}
}
