package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
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

// A stream that breaks must be continued without a gap, a repetition or wrong
// version labels.
func TestGenerateResumesBrokenStream(t *testing.T) {
	one := &testEngine{}
	one.cuts.Store(1)
	i := newInstance(t, startEngine(t, one))
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
			t.Errorf("stream must have 6 chunks and a last line: %s", body)
		}
		one.cuts.Store(1)
	}
	if len(i.usage) != 2 || i.usage[0].TokensOut != 6 || i.usage[0].Requests != 1 {
		t.Errorf("usage %+v", i.usage)
	}
}

// Plain service calls must pass on path, query, status and body.
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
