package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
)

func startEngine(tb testing.TB, e *testEngine) roster.Endpoint {
	server := httptest.NewServer(e)
	tb.Cleanup(server.Close)
	return endpointOf(server, "e-1", roster.KindEngine, "tagger")
}

func startService(tb testing.TB, h http.HandlerFunc) roster.Endpoint {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(codec.HeaderRequest, r.Header.Get(codec.HeaderRequest))
		h(w, r)
	}))
	tb.Cleanup(server.Close)
	return endpointOf(server, "s-1", roster.KindService, "mail")
}

// Guards against gaps, repetitions and wrong version ranges in a generation that
// is resumed after the engine's stream broke.
func TestGenerateResumesBrokenStream(t *testing.T) {
	engine := &testEngine{}
	engine.cutsLeft.Store(1)
	i := newInstance(t, startEngine(t, engine))
	for _, stream := range []bool{false, true} {
		resp, body := i.do(t, "POST", "/v1/generate", fmt.Sprintf(`{"model":"tagger","prompt":"p","max_tokens":6,"stream":%v}`, stream))
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d: %s", resp.StatusCode, body)
		}
		if !stream && !strings.Contains(body, `"text":"w0 w1 w2 w3 w4 w5 "`) {
			t.Errorf("text has a gap or a repetition: %s", body)
		}
		if !strings.Contains(body, `"versions":[{"version":3,"from":0,"to":4},{"version":4,"from":4,"to":6}]`) {
			t.Errorf("wrong version ranges: %s", body)
		}
		if stream && strings.Count(body, "\n") != 7 {
			t.Errorf("the stream does not consist of 6 chunks and a final line: %s", body)
		}
		engine.cutsLeft.Store(1)
	}
	if len(i.usage) != 2 || i.usage[0].TokensOut != 6 || i.usage[0].Requests != 1 {
		t.Errorf("usage %+v, want 2 records, the first of 1 request and 6 tokens", i.usage)
	}
}

// Guards against calls to plain services that lose or change the method, path,
// query, status or body.
func TestServiceForwards(t *testing.T) {
	i := newInstance(t, startService(t, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusTeapot)
		fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.EscapedPath(), r.URL.RawQuery)
	}))
	for _, route := range []string{"send", "look", "open"} {
		resp, body := i.do(t, "POST", "/s/"+route+"/a%2Fb//c?q=1", "hello")
		if resp.StatusCode != http.StatusTeapot || body != "POST /a%2Fb//c q=1" || resp.Header.Get(codec.HeaderRun) != "ran" {
			t.Errorf("route %s: status %d, body %q, header %v", route, resp.StatusCode, body, resp.Header)
		}
	}
}

// Guards against a non-repeatable call that runs twice because its caller lost
// the connection and sent it again: the resend must get "already_running" while
// the call runs and the stored answer afterwards.
func TestResendAfterLostConnection(t *testing.T) {
	var runs atomic.Int64
	arrived, proceed := make(chan struct{}), make(chan struct{})
	i := newInstance(t, startService(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		close(arrived)
		<-proceed
		fmt.Fprint(w, "paid")
	}))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		req, err := http.NewRequestWithContext(ctx, "POST", i.url+"/s/send/pay", strings.NewReader("1"))
		if err != nil {
			t.Error(err)
			return
		}
		req.Header.Set("Authorization", "Bearer "+testKey)
		req.Header.Set("Idempotency-Key", "order-1")
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	<-arrived
	cancel()
	resend := func() (int, string) {
		resp, body := i.do(t, "POST", "/s/send/pay", "1", "Idempotency-Key", "order-1")
		return resp.StatusCode, body
	}
	if status, body := resend(); status != http.StatusConflict || !strings.Contains(body, "already_running") {
		t.Errorf("resend while the call runs: status %d: %s", status, body)
	}
	close(proceed)
	for {
		status, body := resend()
		if status == http.StatusConflict {
			continue // The answer is not recorded yet.
		}
		if status != http.StatusOK || body != "paid" || runs.Load() != 1 {
			t.Errorf("resend after the call: status %d: %s, %d runs", status, body, runs.Load())
		}
		break
	}
	if resp, body := i.do(t, "POST", "/s/send/pay", "2", "Idempotency-Key", "order-1"); resp.StatusCode != http.StatusUnprocessableEntity {
		t.Errorf("same idempotency key with other content: status %d: %s", resp.StatusCode, body)
	}
}
