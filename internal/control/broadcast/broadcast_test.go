package broadcast

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
)

// network connects broadcasters along the given edges, without real connections.
// An instance that is cut off neither sends nor receives.
type network struct {
	timers       *clock.Service
	driver       *clock.Driver
	broadcasters map[string]*Broadcaster
	edges        map[string][]string
	cut          map[string]bool
	mu           sync.Mutex
	received     map[string][]string
}

func newNetwork(edges map[string][]string) *network {
	n := &network{broadcasters: map[string]*Broadcaster{}, edges: edges, cut: map[string]bool{}, received: map[string][]string{}}
	n.timers, n.driver = clock.NewDriven(time.Unix(0, 0))
	for id := range edges {
		n.add(id)
	}
	return n
}

func (n *network) add(id string) {
	n.broadcasters[id] = New(Options{Self: id, Period: time.Second}, n.timers, Seams{
		Neighbours: func() (out []member.Instance) {
			for _, e := range n.edges[id] {
				out = append(out, member.Instance{ID: e, Peer: e + ":1"})
			}
			return out
		},
		Report: func(string, bool, bool) {},
		Peers:  &http.Client{Transport: transport{n, id}},
	}, logs.Discard())
	n.broadcasters[id].Subscribe("topic", func(key string, payload []byte) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.received[id] = append(n.received[id], key+"="+string(payload))
	})
}

// transport passes the calls of one instance to the broadcaster that the host
// names.
type transport struct {
	network *network
	from    string
}

func (r transport) RoundTrip(q *http.Request) (*http.Response, error) {
	to := q.URL.Hostname()
	if r.network.cut[to] || r.network.cut[r.from] {
		return nil, errors.New("no answer")
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return nil, err
	}
	in := q.Clone(q.Context())
	in.Body = io.NopCloser(bytes.NewReader(body))
	w := httptest.NewRecorder()
	r.network.broadcasters[to].Server().ServeHTTP(w, in)
	return w.Result(), nil
}

// runPeriods lets a number of periods pass at all broadcasters.
func (n *network) runPeriods(t *testing.T, periods int, compare bool) {
	for range periods {
		n.driver.Advance(time.Second)
		for _, b := range n.broadcasters {
			b.propagate(t.Context(), compare)
		}
	}
}

// Guards against instances that miss an event because they are several hops
// away, are cut off when it is published, or have restarted and lost their
// events; and against events that are delivered twice or never expire.
func TestEventsReachAllOnce(t *testing.T) {
	edges := map[string][]string{"a": {"b"}, "b": {"a", "c"}, "c": {"b", "d"}, "d": {"c"}}
	n := newNetwork(edges)
	n.cut["d"] = true
	n.broadcasters["a"].Publish("topic", "k", []byte("1"), 30*time.Second)
	n.runPeriods(t, 5, false)
	check := func(when, id string, want int) {
		t.Helper()
		if got := len(n.received[id]); got != want {
			t.Errorf("%s: %s got %v, want %d events", when, id, n.received[id], want)
		}
	}
	for id, want := range map[string]int{"a": 1, "b": 1, "c": 1, "d": 0} {
		check("while d is cut off", id, want)
	}
	n.cut["d"] = false
	n.runPeriods(t, 2, false)
	check("after d is reconnected", "d", 1)
	// b restarts under the same id and has lost its events.
	n.received["b"] = nil
	n.add("b")
	n.runPeriods(t, 3, true)
	check("after the restart of b", "b", 1)
	n.driver.Advance(30 * time.Second)
	n.runPeriods(t, 2, true)
	for id, b := range n.broadcasters {
		check("at the end", id, 1)
		if len(b.events) != 0 || b.digest != 0 {
			t.Errorf("%s still holds %d expired events", id, len(b.events))
		}
	}
}

// Guards against a restarted instance that gets no events until the next
// regular digest comparison of its neighbours.
func TestStartedInstanceLearnsAtOnce(t *testing.T) {
	n := newNetwork(map[string][]string{"a": {"b"}, "b": {"a"}})
	n.broadcasters["a"].Publish("topic", "k", nil, time.Hour)
	n.runPeriods(t, 1, false)
	n.received["b"] = nil
	n.add("b")
	n.broadcasters["b"].propagate(t.Context(), true)
	n.broadcasters["a"].propagate(t.Context(), false)
	if len(n.received["b"]) != 1 {
		t.Errorf("the restarted instance got %v, want the event", n.received["b"])
	}
}

// Guards against an unbounded number of messages, when an event is sent around
// a ring again and again although all instances have it.
func TestEventsDoNotCircle(t *testing.T) {
	edges := map[string][]string{}
	for i := range 6 {
		edges[fmt.Sprint(i)] = []string{fmt.Sprint((i + 1) % 6), fmt.Sprint((i + 5) % 6)}
	}
	n := newNetwork(edges)
	n.broadcasters["0"].Publish("topic", "k", nil, time.Hour)
	n.runPeriods(t, 20, false)
	for id, b := range n.broadcasters {
		for _, neighbour := range n.edges[id] {
			if len(b.pending(neighbour)) > 0 {
				t.Errorf("%s would send the event to %s again", id, neighbour)
			}
		}
		if len(n.received[id]) != 1 {
			t.Errorf("%s got the event %d times", id, len(n.received[id]))
		}
	}
}

// Guards against a delay of a whole period at each instance that forwards an
// event.
func TestEventIsForwardedAtOnce(t *testing.T) {
	n := newNetwork(map[string][]string{"a": {"b"}, "b": {"a", "c"}, "c": {"b"}})
	n.broadcasters["a"].Publish("topic", "k", nil, time.Hour)
	n.broadcasters["a"].propagate(t.Context(), false)
	select {
	case <-n.broadcasters["b"].wake:
	default:
		t.Error("the middle instance does not wake up to forward the event")
	}
}
