package lease

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/peer/objects"
)

// store is an object API with one object.
type store struct {
	mu     sync.Mutex
	object objects.Object
	// loseAnswers is the number of writes that are stored but not answered.
	loseAnswers int
	// outage refuses all calls.
	outage bool
	puts   int
}

// seams returns functions that call the store through the real client.
func (s *store) seams(t *testing.T) Seams {
	server := httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(server.Close)
	client := objects.New(strings.TrimPrefix(server.URL, "http://"), clock.NewSystem())
	t.Cleanup(client.Close)
	return Seams{Get: client.Get, Put: client.Put}
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.Method == http.MethodGet {
		if s.object.Revision == 0 {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		codec.Write(w, http.StatusOK, s.object)
		return
	}
	s.puts++
	var condition uint64
	if json.Unmarshal([]byte(r.URL.Query().Get("if")), &condition) != nil || condition != s.object.Revision {
		codec.Write(w, http.StatusConflict, s.object)
		return
	}
	value, _ := io.ReadAll(r.Body)
	s.object = objects.Object{Kind: kind, Name: "x", Revision: s.object.Revision + 1, Value: value}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		panic(http.ErrAbortHandler)
	}
	codec.Write(w, http.StatusOK, s.object)
}

// contest is a pair of instances that campaign for one lease on a driven clock.
type contest struct {
	t      *testing.T
	store  *store
	driver *clock.Driver
	leases []*Lease
}

func newContest(t *testing.T) *contest {
	c := &contest{t: t, store: &store{}}
	timers, driver := clock.NewDriven(time.Unix(1000, 0))
	c.driver = driver
	for _, id := range []string{"i0", "i1"} {
		settings := setting.Defaults()
		settings.ID = id
		c.leases = append(c.leases, New(settings, timers, c.store.seams(t), logs.Discard()).newLease("x"))
	}
	return c
}

// advance moves the clock on in steps of half a second, in each of which the
// instances in awake act. It fails when both instances hold the lease.
func (c *contest) advance(d time.Duration, awake ...int) {
	c.t.Helper()
	for ; d > 0; d -= 500 * time.Millisecond {
		c.driver.Advance(500 * time.Millisecond)
		for _, i := range awake {
			_ = c.leases[i].step(context.Background())
		}
		_, first := c.leases[0].Held()
		_, second := c.leases[1].Held()
		if first && second {
			c.t.Fatal("two instances hold the lease")
		}
	}
}

func (c *contest) expectHolder(holder int, fence uint64) {
	c.t.Helper()
	for i, l := range c.leases {
		got, held := l.Held()
		if held != (i == holder) || (held && got != fence) {
			c.t.Fatalf("i%d: held=%v with token %d, want holder i%d with token %d", i, held, got, holder, fence)
		}
	}
}

const noHolder = -1

// Guards against two holders at a time and against a token that is used again,
// when the holder freezes and resumes after another instance has the lease.
func TestFrozenHolderIsReplaced(t *testing.T) {
	c := newContest(t)
	c.advance(time.Second, 0, 1)
	c.expectHolder(0, 1)
	c.advance(time.Minute, 0, 1)
	c.expectHolder(0, 1)
	c.advance(5*time.Second, 1)
	c.expectHolder(noHolder, 0)
	c.advance(2*time.Second, 1)
	// The drain bound must pass as well, counted from the first read of the
	// object.
	c.advance(time.Second, 1)
	c.expectHolder(1, 2)
	c.advance(time.Second, 0, 1)
	c.expectHolder(1, 2)
}

// Guards against a successor that does not wait for the drain bound, in which
// data of the earlier holder may still be delivered.
func TestSuccessorWaitsForTheDrainBound(t *testing.T) {
	c := newContest(t)
	c.advance(time.Second, 0, 1)
	frozen := c.leases[0].grant.Load().until
	for i := 0; ; i++ {
		c.advance(500*time.Millisecond, 1)
		if _, ok := c.leases[1].Held(); ok {
			break
		}
		if i > 100 {
			t.Fatal("no successor took the lease")
		}
	}
	gap := c.leases[1].manager.timers.Now().Sub(frozen)
	if gap < c.leases[1].manager.drain {
		t.Errorf("the successor took the lease %v after the end of the term, want at least the drain bound", gap)
	}
}

// Guards against a holder that loses the lease, and a free lease that nobody
// can take for a whole term, because the answer to a write was lost.
func TestLostAnswers(t *testing.T) {
	c := newContest(t)
	c.store.loseAnswers = 1
	c.advance(time.Second, 0)
	c.expectHolder(0, 1)
	c.store.loseAnswers = 3
	c.advance(20*time.Second, 0, 1)
	c.expectHolder(0, 1)
}

// Guards against a holder that acts beyond its term during an outage of the
// platform, when it cannot renew the lease.
func TestOutageEndsTheLease(t *testing.T) {
	c := newContest(t)
	c.advance(time.Second, 0, 1)
	c.store.outage = true
	c.advance(6*time.Second, 0, 1)
	c.expectHolder(noHolder, 0)
	c.advance(time.Minute, 0, 1)
	c.store.outage = false
	c.advance(time.Second, 0, 1)
	c.expectHolder(0, 1)
}

// Guards against a process that takes over the lease of an earlier process with
// the same instance id, which may still be running.
func TestRestartedHolderWaits(t *testing.T) {
	c := newContest(t)
	c.advance(time.Second, 0)
	restarted := c.leases[0].manager.newLease("x")
	_ = restarted.step(context.Background())
	if _, ok := restarted.Held(); ok {
		t.Error("the new process holds the lease while the term of the old one runs")
	}
}

// Guards against a successor that waits for the whole term although the holder
// released the lease, and against one that does not wait for the drain bound.
func TestReleaseShortensTheWait(t *testing.T) {
	c := newContest(t)
	c.advance(time.Second, 0, 1)
	c.leases[0].release()
	c.advance(2*time.Second, 1)
	c.expectHolder(noHolder, 0)
	c.advance(time.Second, 1)
	c.expectHolder(1, 2)
}

// receiver is a back end that records the tokens of the orders it accepts. If
// checks is set, it refuses tokens lower than the highest it has seen.
type receiver struct {
	mu       sync.Mutex
	checks   bool
	highest  uint64
	accepted []uint64
}

func (r *receiver) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	var fence uint64
	if err != nil || json.Unmarshal(body, &fence) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.checks && fence < r.highest {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.highest = max(r.highest, fence)
	r.accepted = append(r.accepted, fence)
}

// Guards against an order of the old holder that takes effect after one of the
// successor. The holder freezes at each point of sending an order until its
// lease has ended and the successor has sent an order, and then resumes. After
// the last point, between the check and the system call, only a receiver that
// checks tokens refuses the old order; that is the window which remains by
// design.
func TestFrozenHolderAtEachPoint(t *testing.T) {
	points := []string{"before the token is read", "before the dial", "before the check", "after the check"}
	for _, point := range points {
		for _, checks := range []bool{true, false} {
			c := newContest(t)
			c.advance(time.Second, 0, 1)
			target := &receiver{checks: checks}
			server := httptest.NewServer(target)
			sent := false
			freeze := func(at string) {
				if at != point || sent {
					return
				}
				sent = true
				c.advance(9*time.Second, 1)
				if err := sendOrder(c.leases[1], server.URL, "", nil); err != nil {
					t.Errorf("%s: order of the successor: %v", point, err)
				}
			}
			old := c.leases[0]
			old.afterCheck = func() { freeze("after the check") }
			err := sendOrder(old, server.URL, point, freeze)
			late := len(target.accepted) > 1 && target.accepted[len(target.accepted)-1] == 1
			if window := point == "after the check" && !checks; late != window {
				t.Errorf("%s, receiver checks tokens: %v: the old order took effect: %v", point, checks, late)
			}
			if !late && err == nil {
				t.Errorf("%s, receiver checks tokens: %v: the frozen holder got no error for an order that did not take effect", point, checks)
			}
			server.Close()
		}
	}
}

// sendOrder sends an order that consists of the lease's token. It calls at, if
// given, at each point up to the first write.
func sendOrder(l *Lease, url, point string, at func(string)) error {
	if at == nil {
		at = func(string) {}
	}
	at("before the token is read")
	fence, ok := l.Held()
	if !ok {
		return errors.New("not held")
	}
	at("before the dial")
	body, _ := json.Marshal(fence)
	// A body in memory is sent in one write together with the headers.
	q, err := http.NewRequest(http.MethodPut, url, strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	if point == "before the check" {
		q.Body = io.NopCloser(&freezingBody{Reader: strings.NewReader(string(body)), at: at})
	}
	r, err := l.Client().Do(q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return errors.New(r.Status)
	}
	return nil
}

// freezingBody calls at when it is read, which is after the dial and before the
// first write.
type freezingBody struct {
	io.Reader
	at func(string)
}

func (b *freezingBody) Read(p []byte) (int, error) {
	b.at("before the check")
	return b.Reader.Read(p)
}

// Guards against data that the kernel still delivers after the drain bound, and
// against connections that are reused after an order.
func TestGuardedConnectionLimitsDelivery(t *testing.T) {
	c := newContest(t)
	c.advance(time.Second, 0)
	l := c.leases[0]
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(&receiver{})
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	conn, err := l.dial(context.Background(), "tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if got := userTimeout(t, conn.(*guardedConn).Conn.(*net.TCPConn)); got != 2000 {
		t.Errorf("TCP_USER_TIMEOUT is %d ms, want the drain bound of 2000 ms", got)
	}
	for range 2 {
		answer, err := l.client.Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
	if n := connections.Load(); n != 3 {
		t.Errorf("%d connections for one dial and two orders, want 3: connections are reused", n)
	}
}

// Guards against an order under an earlier token that is sent on its old
// connection after the instance has lost the lease and taken it again.
func TestConnectionBelongsToOneToken(t *testing.T) {
	c := newContest(t)
	c.advance(time.Second, 0)
	server := httptest.NewServer(&receiver{})
	defer server.Close()
	conn, err := c.leases[0].dial(context.Background(), "tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	c.advance(9*time.Second, 1)
	c.expectHolder(1, 2)
	c.advance(9*time.Second, 0)
	c.expectHolder(0, 3)
	if _, err := conn.Write([]byte("x")); err == nil {
		t.Error("the connection of token 1 can be written to under token 3")
	}
}

// Guards against a holder that counts its term from the answer of a slow
// platform. The successor counts from when the write took effect, so both could
// hold the lease.
func TestTermCountsFromBeforeTheRenewal(t *testing.T) {
	c := newContest(t)
	l := c.leases[0]
	put := l.manager.seams.Put
	l.manager.seams.Put = func(ctx context.Context, kind, name string, revision uint64, value []byte) (objects.Object, error) {
		o, err := put(ctx, kind, name, revision, value)
		c.driver.Advance(3 * time.Second)
		return o, err
	}
	_ = l.step(context.Background())
	if left := l.grant.Load().until.Sub(l.manager.timers.Now()); left > l.manager.term-3*time.Second {
		t.Errorf("%v of the term are left after a renewal that took 3 s", left)
	}
}

func userTimeout(t *testing.T, conn *net.TCPConn) int {
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	value := 0
	if err := raw.Control(func(fd uintptr) {
		value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); err != nil {
		t.Fatal(err)
	}
	return value
}
