package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
)

// poison is the body of requests that end each endpoint that begins them.
const poison = "poison"

// mortal is an endpoint that ends when it begins a poisonous request.
type mortal struct {
	server *httptest.Server
	runs   atomic.Int64
}

func newMortal(t *testing.T, fleet *replica.Fleet, id string) *mortal {
	t.Helper()
	m := &mortal{}
	m.server = httptest.NewServer(m)
	t.Cleanup(m.server.Close)
	fleet.Put(replica.Entry{ID: id, Service: "svc", Slots: 4, Address: strings.TrimPrefix(m.server.URL, "http://")})
	return m
}

func (m *mortal) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	m.runs.Add(1)
	if string(body) == poison {
		_ = m.server.Listener.Close()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(names.Request, r.Header.Get(names.Request))
	w.Header().Set(names.Stamp, "proof")
	_, _ = io.WriteString(w, "whole")
}

// Guards against counters that do not tell endpoints that ended from answers
// that were lost.
func TestEndsAreToldFromLostAnswers(t *testing.T) {
	f, fleet := newForwarderOf(t)
	meters := meter.NewSet()
	f.breaks, f.ends = meters.Counter("breaks"), meters.Counter("ends")
	put(t, fleet, "lossy", &endpoint{mode: "break"})
	once := call(manifest.Route{Kind: manifest.Once, Attempts: 1})
	if _, err := f.Send(context.Background(), once); err == nil {
		t.Error("a lost answer passed for one")
	}
	fleet.Remove("lossy", time.Time{})
	newMortal(t, fleet, "mortal")
	once.Request.Body = []byte(poison)
	if _, err := f.Send(context.Background(), once); err == nil {
		t.Error("an ended endpoint answered")
	}
	if breaks, ends := f.breaks.Values()["svc"], f.ends.Values()["svc"]; breaks != 2 || ends != 1 {
		t.Errorf("%d breaks and %d ends, want 2 and 1", breaks, ends)
	}
}

// Guards against repetitions that are not known again, and against requests of
// others that are taken for one.
func TestContent(t *testing.T) {
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
