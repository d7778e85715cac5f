package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
	"github.com/wigeonpin/wigeonpin/internal/peer/engine"
	"github.com/wigeonpin/wigeonpin/internal/peer/service"
	"github.com/wigeonpin/wigeonpin/internal/traffic/breaker"
	"github.com/wigeonpin/wigeonpin/internal/traffic/dispatch"
	"github.com/wigeonpin/wigeonpin/internal/traffic/idempotency"
	"github.com/wigeonpin/wigeonpin/internal/traffic/queue"
)

const testKey = "wp_k1_0123456789abcdefsecret"

// instance is the request path of one instance, with test doubles for the parts
// around it.
type instance struct {
	entry     *Entry
	url       string
	meters    *meter.Set
	log       *strings.Builder
	queue     *queue.Queue
	slots     atomic.Int64
	mu        sync.Mutex
	table     *table.Table
	changed   chan struct{}
	stale     atomic.Bool
	endpoints []roster.Endpoint
	usage     []dispatch.Usage
}

// lockedWriter is an io.Writer that goroutines can share.
type lockedWriter struct {
	mu  *sync.Mutex
	out io.Writer
}

func (l lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(p)
}

func testRow(tb testing.TB, kind, name string, value any) table.Row {
	raw, err := json.Marshal(value)
	if err != nil {
		tb.Fatal(err)
	}
	return table.Row{Table: kind, Name: name, Value: raw, Revision: 1}
}

func hexDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func newInstance(tb testing.TB, endpoints ...roster.Endpoint) *instance {
	settings := setting.Defaults()
	settings.ID, settings.Zone, settings.DrainDelayMS = "i-1", "a", 0
	settings.HeaderMS = 1000
	i := &instance{meters: meter.NewSet(), log: &strings.Builder{}, changed: make(chan struct{}), endpoints: endpoints}
	i.slots.Store(8)
	i.table = table.Load(1, []table.Row{
		testRow(tb, table.Accounts, "acme", map[string]any{"weight": 1}),
		testRow(tb, table.Accounts, "other", map[string]any{"weight": 1}),
		testRow(tb, table.Keys, "k1", map[string]any{"account": "acme", "digest": hexDigest(testKey)}),
		testRow(tb, table.Models, "tagger", map[string]any{"kind": "engine"}),
		testRow(tb, table.Models, "mail", map[string]any{"kind": "service"}),
		testRow(tb, table.Routes, "send", map[string]any{"model": "mail"}),
		testRow(tb, table.Routes, "look", map[string]any{"model": "mail", "repeatable": true}),
		testRow(tb, table.Routes, "open", map[string]any{"model": "mail", "open": true}),
		testRow(tb, table.Routes, "theirs", map[string]any{"model": "mail", "accounts": []string{"other"}}),
		testRow(tb, table.Trainers, "t1", map[string]any{"account": "acme", "model": "tagger"}),
		testRow(tb, table.Trainers, "t2", map[string]any{"account": "other", "model": "tagger"}),
	})
	logger := logrus.New()
	logger.SetOutput(lockedWriter{&i.mu, i.log})
	log := logrus.NewEntry(logger)
	timers := clock.NewSystem()
	engines, services := engine.New(settings, timers), service.New(settings)
	i.queue = queue.New(timers, i.meters, queue.Seams{
		RemoteCost: func(string) int64 { return 0 }, Changed: func() <-chan struct{} { return nil },
	})
	runner := dispatch.New(settings, timers, i.meters, log, engines, services, i.dispatchSeams())
	// The clock is advanced so that the home instances have been responsible for
	// longer than the resend window. The step must not count as a pause.
	driven, advancer := clock.NewDriven(time.Now())
	recordSettings := settings
	recordSettings.FreshnessMS = time.Hour.Milliseconds()
	records := idempotency.New(recordSettings, driven, i.meters, idempotency.Seams{
		View: func() *member.View {
			return member.NewView([]member.Instance{{ID: "i-1", Zone: "a"}})
		},
		Refused: func(error) bool { return false }, Report: func(string, bool, bool) {}, Current: func() bool { return true },
	})
	advancer.Advance(time.Hour)
	i.entry = New(settings, timers, i.meters, log, Seams{
		Table: i.current, Fresh: func() (bool, time.Duration) { return !i.stale.Load(), time.Second },
		Changed: i.changes, Ready: func() error { return nil },
		Generate: runner.Generate, Forward: runner.Forward, Claim: records.Claim,
		Announce: func(context.Context, table.Trainer, int) error { return nil },
		Pull: func(_ context.Context, _ table.Trainer, p Pull) (any, error) {
			return map[string]any{"step": p.Step}, nil
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	server := i.entry.Server()
	var running sync.WaitGroup
	running.Go(func() { _ = i.queue.Run(ctx) })
	running.Go(func() { _ = i.entry.Run(ctx) })
	running.Go(func() { _ = server.Serve(listener) })
	tb.Cleanup(func() {
		cancel()
		_ = server.Close()
		running.Wait()
		runner.Close()
	})
	i.url = "http://" + listener.Addr().String()
	return i
}

func (i *instance) dispatchSeams() dispatch.Seams {
	return dispatch.Seams{
		Endpoints: func(model string) []roster.Endpoint {
			var out []roster.Endpoint
			for _, e := range i.endpoints {
				if e.Model == model {
					out = append(out, e)
				}
			}
			return out
		},
		Load:      func(string) (roster.Load, bool) { return roster.Load{}, false },
		Failed:    func(string, error) {},
		FreeSlots: func(string) int { return int(i.slots.Load()) },
		Acquire: func(string, string) (dispatch.Slot, bool) {
			if i.slots.Add(-1) < 0 {
				i.slots.Add(1)
				return dispatch.Slot{}, false
			}
			return dispatch.Slot{Release: func(dispatch.Outcome) { i.slots.Add(1) }}, true
		},
		Wait: i.queue.Wait, Table: i.current,
		Admit:     func(string) (func(), error) { return func() {}, nil },
		Instances: func(string) int { return 1 },
		Suspect:   func(string) bool { return false }, Enter: func(string, string) (func(), error) { return func() {}, nil }, Crashed: func(string, []string) {}, Completed: func(string) {},
		Breaker: breaker.New(breaker.Seams{}, clock.NewSystem(), logs.Discard()),
		Record: func(_ context.Context, usage dispatch.Usage) error {
			i.mu.Lock()
			defer i.mu.Unlock()
			i.usage = append(i.usage, usage)
			return nil
		},
	}
}

func (i *instance) current() *table.Table {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.table
}

func (i *instance) changes() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.changed
}

// edit publishes a new snapshot with one changed row.
func (i *instance) edit(tb testing.TB, row table.Row) {
	i.mu.Lock()
	defer i.mu.Unlock()
	next, err := i.table.With(row)
	if err != nil {
		tb.Fatal(err)
	}
	i.table = next
	close(i.changed)
	i.changed = make(chan struct{})
}

func (i *instance) withdraw(tb testing.TB) {
	i.edit(tb, testRow(tb, table.Keys, "k1", map[string]any{"account": "acme", "digest": hexDigest(testKey), "withdrawn": true}))
}

func (i *instance) logged() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.log.String()
}

// do sends a request and returns the response and its body. An empty header
// value removes the header.
func (i *instance) do(tb testing.TB, method, path, body string, header ...string) (*http.Response, string) {
	req, err := http.NewRequest(method, i.url+path, strings.NewReader(body))
	if err != nil {
		tb.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for n := 0; n+1 < len(header); n += 2 {
		req.Header.Set(header[n], header[n+1])
		if header[n+1] == "" {
			req.Header.Del(header[n])
		}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		tb.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		tb.Fatal(err)
	}
	return resp, string(raw)
}

func endpointOf(server *httptest.Server, id, kind, model string) roster.Endpoint {
	return roster.Endpoint{
		ID: id, Zone: "a", Address: strings.TrimPrefix(server.URL, "http://"), Kind: kind, Model: model,
		Class: roster.ClassStandard, State: roster.StateLive,
	}
}

// testEngine generates max_tokens words, one per chunk. It calls beforeChunk, if
// set, before each chunk.
type testEngine struct {
	beforeChunk func(n int)
	cutsLeft    atomic.Int64 // number of streams still to be aborted after two chunks
}

func (t *testEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/generate" {
		fmt.Fprint(w, `{}`)
		return
	}
	var in engine.Request
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	cut := t.cutsLeft.Add(-1) >= 0
	for n := in.ResumeTokens; n < in.MaxTokens && r.Context().Err() == nil; n++ {
		if cut && n == in.ResumeTokens+2 {
			panic(http.ErrAbortHandler)
		}
		if t.beforeChunk != nil {
			t.beforeChunk(n)
		}
		fmt.Fprintf(w, `{"request":%q,"index":%d,"text":"w%d ","tokens":1,"version":%d}`+"\n", in.Request, n, n, 3+n/4)
		_ = http.NewResponseController(w).Flush()
	}
	fmt.Fprintf(w, `{"request":%q,"done":true,"reason":"length","tokens":%d}`+"\n", in.Request, in.MaxTokens)
}
