package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const echoHeader = "X-Id"

// peer is an endpoint that writes scripted bytes for each request.
type peer struct {
	address  string
	accepted atomic.Int64
	requests atomic.Int64
}

// newPeer starts a peer. answer is called with the number of the request on its
// connection and the request, and returns the bytes to write and whether the
// connection stays open.
func newPeer(t *testing.T, answer func(number int, r *http.Request) (string, bool)) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	p := &peer{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.accepted.Add(1)
			go p.serve(conn, answer)
		}
	}()
	return p
}

func (p *peer) serve(conn net.Conn, answer func(int, *http.Request) (string, bool)) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for number := 1; ; number++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		p.requests.Add(1)
		text, open := answer(number, r)
		_, _ = io.WriteString(conn, text)
		if !open {
			return
		}
	}
}

func answerText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", echoHeader, id, len(body), body)
}

func send(t *testing.T, p *Pool, address, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	answer, err := p.Do(ctx, address, Request{
		Method: "POST", Path: "/a%2Fb", Query: "x=1", Host: "h.example",
		Header: http.Header{echoHeader: {id}}, Body: []byte("body"),
	})
	if err != nil {
		return "", err
	}
	body, err := answer.ReadAll(1 << 20)
	return string(body), err
}

// Guards against a pool that opens a connection for each request, and against a
// request whose path, query, host or headers are altered.
func TestKeepsConnection(t *testing.T) {
	var seen atomic.Value
	p := newPeer(t, func(_ int, r *http.Request) (string, bool) {
		seen.Store(r.RequestURI + " " + r.Host + " " + r.Header.Get("User-Agent"))
		return answerText(r.Header.Get(echoHeader), "ok"), true
	})
	pool := New(Options{EchoHeader: echoHeader})
	for i := range 3 {
		if body, err := send(t, pool, p.address, fmt.Sprint(i)); err != nil || body != "ok" {
			t.Fatalf("exchange %d: %q, %v", i, body, err)
		}
	}
	if p.accepted.Load() != 1 {
		t.Errorf("%d connections, want 1", p.accepted.Load())
	}
	if got := seen.Load(); got != "/a%2Fb?x=1 h.example " {
		t.Errorf("the peer saw %q", got)
	}
}

// Guards against an answer that reaches the caller of another request, and
// against the reuse of a connection whose state is unknown.
func TestConnectionIsNotReused(t *testing.T) {
	cases := map[string]struct {
		first string
		open  bool
	}{
		"bytes after the answer":    {answerText("0", "ok") + answerText("0", "extra"), true},
		"no length":                 {"HTTP/1.1 200 OK\r\n" + echoHeader + ": 0\r\n\r\nok", false},
		"announced end":             {"HTTP/1.1 200 OK\r\n" + echoHeader + ": 0\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", true},
		"closed after the exchange": {answerText("0", "ok"), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var count atomic.Int64
			p := newPeer(t, func(_ int, r *http.Request) (string, bool) {
				if count.Add(1) == 1 {
					return c.first, c.open
				}
				return answerText(r.Header.Get(echoHeader), "second"), true
			})
			pool := New(Options{EchoHeader: echoHeader})
			if body, err := send(t, pool, p.address, "0"); err != nil || body != "ok" {
				t.Fatalf("first exchange: %q, %v", body, err)
			}
			// The second exchange may fail, but it must never see the first answer.
			body, err := send(t, pool, p.address, "1")
			if err == nil && body != "second" {
				t.Errorf("second exchange got %q", body)
			}
		})
	}
}

// Guards against a late answer to an earlier request being returned: it is
// recognised by its id and skipped.
func TestSkipsAnswerOfAnotherRequest(t *testing.T) {
	p := newPeer(t, func(_ int, r *http.Request) (string, bool) {
		return answerText("stray", "wrong") + answerText(r.Header.Get(echoHeader), "right"), true
	})
	body, err := send(t, New(Options{EchoHeader: echoHeader}), p.address, "7")
	if err != nil || body != "right" {
		t.Errorf("%q, %v", body, err)
	}
}

// Guards against a truncated answer that passes as complete, and against a
// request that is resent although the caller did not ask for it.
func TestTruncatedAnswers(t *testing.T) {
	cases := map[string]string{
		"before the head": "",
		"in the head":     "HTTP/1.1 200 OK\r\nX-",
		"in the body":     "HTTP/1.1 200 OK\r\n" + echoHeader + ": 1\r\nContent-Length: 10\r\n\r\nhalf",
		"in the chunks":   "HTTP/1.1 200 OK\r\n" + echoHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"no HTTP":         "garbage\r\n\r\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPeer(t, func(int, *http.Request) (string, bool) { return text, false })
			_, err := send(t, New(Options{EchoHeader: echoHeader}), p.address, "1")
			if err == nil {
				t.Error("the truncated answer passed as complete")
			}
			if NotSent(err) {
				t.Error("the request was sent, but the error says that it was not")
			}
			if p.requests.Load() != 1 {
				t.Errorf("the peer got %d requests, want 1", p.requests.Load())
			}
		})
	}
}

// Guards against a failed dial that is reported as a request that may have been
// sent.
func TestDialFailureIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, err = send(t, New(Options{}), address, "1")
	if !NotSent(err) {
		t.Errorf("error %v does not say that nothing was sent", err)
	}
}

// Guards against an exchange that continues after its context was cancelled, and
// against an error that hides the cause of the cancellation.
func TestContextEndsExchange(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	p := newPeer(t, func(int, *http.Request) (string, bool) { <-release; return "", false })
	cause := errors.New("no longer wanted")
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() {
		for p.requests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel(cause)
	}()
	_, err := New(Options{}).Do(ctx, p.address, Request{Method: "GET", Path: "/", Host: "h"})
	if !errors.Is(err, cause) {
		t.Errorf("error %v, want the cause", err)
	}
}

// Guards against a deadlock on a body that exceeds the socket buffers: it must be
// written while the answer is read.
func TestLargeBody(t *testing.T) {
	p := newPeer(t, func(_ int, r *http.Request) (string, bool) { return answerText(r.Header.Get(echoHeader), "ok"), true })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	answer, err := New(Options{EchoHeader: echoHeader}).Do(ctx, p.address, Request{
		Method: "POST", Path: "/", Host: "h", Header: http.Header{echoHeader: {"1"}}, Body: []byte(strings.Repeat("x", 4<<20)),
	})
	if err != nil {
		t.Fatal(err)
	}
	if body, err := answer.ReadAll(10); err != nil || string(body) != "ok" {
		t.Errorf("%q, %v", body, err)
	}
}

// Guards against an abandoned request that still arrives later: its connection
// must be reset, not closed gracefully.
func TestAbandonedRequestIsReset(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			ended <- err
			return
		}
		cancel()
		_, err = io.Copy(io.Discard, conn)
		ended <- err
	}()
	_, _ = New(Options{}).Do(ctx, listener.Addr().String(), Request{Method: "GET", Path: "/", Host: "h"})
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the peer saw %v, want a reset", err)
	}
}

// Guards against an endpoint that counts as ended although it only broke off an
// exchange, or although the probe gave no result.
func TestRefused(t *testing.T) {
	p := newPeer(t, func(int, *http.Request) (string, bool) { return answerText("a", "x"), true })
	pool := New(Options{EchoHeader: echoHeader})
	if pool.RefusesConnections(context.Background(), p.address) {
		t.Error("an endpoint that accepts connections counts as ended")
	}
	if body, err := send(t, pool, p.address, "a"); err != nil || body != "x" || p.accepted.Load() != 1 {
		t.Errorf("answer %q, %v over %d connections, want one that was kept", body, err, p.accepted.Load())
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	if !pool.RefusesConnections(context.Background(), listener.Addr().String()) {
		t.Error("an address without a listener does not count as ended")
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if pool.RefusesConnections(ended, listener.Addr().String()) {
		t.Error("an endpoint counts as ended although it was not probed")
	}
}
