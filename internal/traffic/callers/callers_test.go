package callers

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
)

const testTimeout = 20 * time.Second

// serve starts a server of the handler and returns it with its address.
func serve(t *testing.T, handler http.Handler, options Options) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(handler, options, clock.NewSystem(), logs.Discard())
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("serve: %v", err)
		}
	}()
	t.Cleanup(func() { _ = s.Close() })
	return s, l.Addr().String()
}

// caller is the client side of one connection.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *caller {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &caller{conn: c, reader: bufio.NewReader(c)}
}

// get sends one request and returns the body of its response.
func (c *caller) get(path string) (string, error) {
	if _, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		return "", err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// waitIdle waits until the server has recorded that the connection is idle. It
// does so only after the response has been sent, so the caller may be ahead.
func (s *Server) waitIdle(t *testing.T, of *caller) {
	t.Helper()
	idle := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.open {
			if c.RemoteAddr().String() == of.conn.LocalAddr().String() {
				return c.served
			}
		}
		return false
	}
	for end := time.Now().Add(testTimeout); !idle(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the server did not record the connection as idle")
		}
	}
}

var echo = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })

// Guards against callers that hold so many connections that others cannot
// connect. At the limit the connection that has been unused the longest is
// closed; one with a request in progress never is.
func TestUnusedConnectionClosedAtLimit(t *testing.T) {
	entered, release := make(chan struct{}, 1), make(chan struct{})
	server, address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/busy" {
			entered <- struct{}{}
			<-release
		}
		echo(w, r)
	}), Options{MaxConnections: 3, IdleTimeout: time.Minute})
	busy, first, second := dial(t, address), dial(t, address), dial(t, address)
	answered := make(chan error, 1)
	go func() {
		_, err := busy.get("/busy")
		answered <- err
	}()
	<-entered
	for _, c := range []*caller{first, second} {
		if _, err := c.get("/"); err != nil {
			t.Fatal(err)
		}
		server.waitIdle(t, c)
	}
	if body, err := dial(t, address).get("/new"); err != nil || body != "/new" {
		t.Errorf("request on a new connection at the limit: body %q, error %v", body, err)
	}
	if _, err := first.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read from the connection unused the longest: %v, want io.EOF", err)
	}
	if body, err := second.get("/again"); err != nil || body != "/again" {
		t.Errorf("request on the other unused connection: body %q, error %v", body, err)
	}
	close(release)
	if err := <-answered; err != nil {
		t.Errorf("request in progress: %v", err)
	}
}

// Guards against connections on which nothing is ever sent and that are never
// closed at the limit: callers that open many of them would lock out others.
func TestSilentConnectionsClosedAtLimit(t *testing.T) {
	_, address := serve(t, echo, Options{MaxConnections: 2, IdleTimeout: time.Minute})
	for range 20 {
		dial(t, address)
	}
	if body, err := dial(t, address).get("/new"); err != nil || body != "/new" {
		t.Errorf("request on a new connection at the limit: body %q, error %v", body, err)
	}
}

// Guards against requests that are read but never answered because a drain
// closes their connection at the same moment. http.Server.Shutdown does so when
// a request arrives on a keep-alive connection while it closes idle ones.
func TestDrainAnswersEveryRequest(t *testing.T) {
	const connections = 60
	var began, answered atomic.Int64
	s, address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began.Add(1)
		echo(w, r)
	}), Options{IdleTimeout: time.Minute})
	var running sync.WaitGroup
	for range connections {
		c := dial(t, address)
		running.Go(func() {
			for {
				if _, err := c.get("/x"); err != nil {
					return
				}
				answered.Add(1)
			}
		})
	}
	for answered.Load() < 20*connections {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := s.Drain(ctx); err != nil {
		t.Fatal(err)
	}
	running.Wait()
	if began.Load() != answered.Load() {
		t.Errorf("%d requests began, %d were answered", began.Load(), answered.Load())
	}
}

// pausingListener accepts connections whose second read of more than one byte
// returns only after release is closed. This simulates a process that is paused
// between reading a request and handling it.
type pausingListener struct {
	net.Listener
	paused, release chan struct{}
}

func (h *pausingListener) Accept() (net.Conn, error) {
	c, err := h.Listener.Accept()
	return &pausingConn{Conn: c, listener: h}, err
}

type pausingConn struct {
	net.Conn
	listener *pausingListener
	reads    atomic.Int64
}

func (h *pausingConn) Read(p []byte) (int, error) {
	n, err := h.Conn.Read(p)
	if n > 1 && h.reads.Add(1) == 2 {
		close(h.listener.paused)
		<-h.listener.release
	}
	return n, err
}

// Guards against a drain that closes a keep-alive connection from which a
// request has just been read: the request would run and its response be lost.
func TestDrainServesWhatWasRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pausing := &pausingListener{Listener: l, paused: make(chan struct{}), release: make(chan struct{})}
	s := New(echo, Options{IdleTimeout: time.Minute}, clock.NewSystem(), logs.Discard())
	go func() { _ = s.Serve(pausing) }() // returns on Close
	defer s.Close()
	c := dial(t, l.Addr().String())
	if _, err := c.get("/first"); err != nil {
		t.Fatal(err)
	}
	answered := make(chan error, 1)
	go func() {
		body, err := c.get("/second")
		if err == nil && body != "/second" {
			err = fmt.Errorf("answer %q", body)
		}
		answered <- err
	}()
	<-pausing.paused
	short, cancel := context.WithTimeout(context.Background(), 3*drainInterval)
	defer cancel()
	if err := s.Drain(short); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("drain while a read request is pending: %v, want context.DeadlineExceeded", err)
	}
	close(pausing.release)
	if err := <-answered; err != nil {
		t.Errorf("request that was read before the drain: %v", err)
	}
}

// Guards against a drain that does not wait for the requests in progress or for
// the first request on a new connection, or that outlasts its context.
func TestDrainWaits(t *testing.T) {
	entered, release := make(chan struct{}, 1), make(chan struct{})
	s, address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			entered <- struct{}{}
			<-release
		}
		echo(w, r)
	}), Options{IdleTimeout: time.Minute})
	long, fresh := dial(t, address), dial(t, address)
	answered := make(chan error, 1)
	go func() {
		_, err := long.get("/long")
		answered <- err
	}()
	<-entered
	short, cancel := context.WithTimeout(context.Background(), 3*drainInterval)
	defer cancel()
	if err := s.Drain(short); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("drain while a request is in progress: %v, want context.DeadlineExceeded", err)
	}
	if body, err := fresh.get("/first"); err != nil || body != "/first" {
		t.Errorf("first request on a new connection: body %q, error %v", body, err)
	}
	close(release)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := s.Drain(ctx); err != nil {
		t.Errorf("drain: %v", err)
	}
	if err := <-answered; err != nil {
		t.Errorf("request in progress during the drain: %v", err)
	}
}

// Guards against a drain that never ends because callers keep opening
// connections. The process is then killed and its requests in progress are lost
// (LOST, soak seed 608).
func TestDrainEndsDespiteNewConnections(t *testing.T) {
	var began, answered atomic.Int64
	s, address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began.Add(1)
		time.Sleep(20 * time.Millisecond)
		echo(w, r)
	}), Options{IdleTimeout: time.Minute})
	var running sync.WaitGroup
	for range 8 {
		running.Go(func() {
			for {
				c, err := net.Dial("tcp", address)
				if err != nil {
					return // the listener is closed
				}
				if _, err := (&caller{c, bufio.NewReader(c)}).get("/x"); err == nil {
					answered.Add(1)
				}
				_ = c.Close()
			}
		})
	}
	for answered.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := s.Drain(ctx); err != nil {
		t.Error(err)
	}
	running.Wait()
	if began.Load() != answered.Load() {
		t.Errorf("%d requests began, %d were answered", began.Load(), answered.Load())
	}
}

// userTimeout returns the TCP_USER_TIMEOUT of the only connection of the server, in
// milliseconds.
func (s *Server) userTimeout(t *testing.T) (limit int) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		raw, err := c.Conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		controlErr := raw.Control(func(fd uintptr) {
			limit, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		})
		if err := errors.Join(controlErr, err); err != nil {
			t.Fatal(err)
		}
	}
	return limit
}

// Guards against an answer that the kernel sends again long after it was true, and
// against later answers on the connection that are given up on as early.
func TestLimitDelivery(t *testing.T) {
	limits := make(chan int, 2)
	var server *Server
	server, address := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		limits <- server.userTimeout(t)
		LimitDelivery(r.Context(), 700*time.Millisecond)
		limits <- server.userTimeout(t)
	}), Options{})
	c := dial(t, address)
	for range 2 {
		if _, err := c.get("/"); err != nil {
			t.Fatal(err)
		}
		if before, during := <-limits, <-limits; before != 0 || during != 700 {
			t.Errorf("limits %d and %d ms, want 0 before and 700 during the request", before, during)
		}
		server.waitIdle(t, c)
		if after := server.userTimeout(t); after != 700 {
			t.Errorf("limit %d ms after the answer was written, want 700", after)
		}
	}
	LimitDelivery(context.Background(), time.Second) // no connection
}
