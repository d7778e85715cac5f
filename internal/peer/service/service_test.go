package service

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
)

// faulty is a service that fails at a chosen point of the exchange. Its first
// warm requests are answered without a fault.
type faulty struct {
	listener net.Listener
	fault    string
	warm     atomic.Int64
	accepted atomic.Int64
	seen     atomic.Int64
	runs     atomic.Int64
	received chan struct{}
}

func startFaulty(t *testing.T, fault string, warm int64) *faulty {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &faulty{listener: listener, fault: fault, received: make(chan struct{}, 16)}
	f.warm.Store(warm)
	t.Cleanup(func() { _ = listener.Close() })
	switch fault {
	case "refuse":
		_ = listener.Close()
	case "before-accept":
	default:
		go f.accept()
	}
	return f
}

func (f *faulty) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.accepted.Add(1)
		go f.serve(c)
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func (f *faulty) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		warm := f.warm.Add(-1) >= 0
		if !warm && f.fault == "before-read" {
			// After a reset before the first byte "not run" would be correct, so
			// wait for that byte.
			_, _ = reader.Peek(1)
			reset(c)
			return
		}
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		f.seen.Add(1)
		if !warm && f.fault == "after-read" {
			return
		}
		f.runs.Add(1)
		if f.respond(c, req.Header.Get(codec.HeaderRequest), warm) {
			return
		}
	}
}

// respond answers a request and reports whether the connection is finished.
func (f *faulty) respond(c net.Conn, id string, warm bool) (finished bool) {
	head := "HTTP/1.1 200 OK\r\nWigeonpin-Request: " + id + "\r\n"
	whole := head + "Content-Length: 5\r\n\r\nhello"
	if warm {
		_, _ = io.WriteString(c, whole)
		return false
	}
	switch f.fault {
	case "after-run":
		reset(c)
	case "mid-head":
		_, _ = io.WriteString(c, head[:20])
	case "mid-answer":
		_, _ = io.WriteString(c, whole[:len(whole)-2])
	case "mid-chunks":
		_, _ = io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
	case "crossed":
		_, _ = io.WriteString(c, strings.Replace(whole, id, "another", 1))
	case "crossed-empty":
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nWigeonpin-Request: another\r\nContent-Length: 0\r\n\r\n")
		return false
	case "no-echo":
		_, _ = io.WriteString(c, strings.Replace(whole, "Wigeonpin-Request: "+id+"\r\n", "", 1))
	case "undelimited":
		_, _ = io.WriteString(c, head+"\r\nhello")
	case "silent":
		f.received <- struct{}{}
		_, _ = c.Read(make([]byte, 1))
	case "interim":
		_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+whole)
		return false
	case "status-000", "status-099", "status-101", "status-600", "status-999":
		status := strings.TrimPrefix(f.fault, "status-")
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Odd\r\nWigeonpin-Request: %s\r\nContent-Length: %d\r\n\r\n%s", status, id, len(whole), whole)
		return false
	case "extra":
		_, _ = io.WriteString(c, whole+strings.Replace(whole, id, "another", 1))
		return false
	default:
		_, _ = io.WriteString(c, whole)
		return false
	}
	return true
}

// Guards against a non-repeatable request that is sent twice, a wrong "not run",
// and an answer that is truncated or belongs to another request. Each script
// line runs one call against a service that fails at one point, and shows the
// result of the call and how often the service read and ran the request.
func TestFaults(t *testing.T) {
	datadriven.RunTest(t, "testdata/faults", func(t *testing.T, d *datadriven.TestData) string {
		var fault string
		var warm int64
		d.ScanArgs(t, "fault", &fault)
		d.MaybeScanArgs(t, "warm", &warm)
		f := startFaulty(t, fault, warm)
		client := New(setting.Defaults())
		defer client.Close()
		send := client.SendOnce
		if d.Cmd == "pooled" {
			send = client.SendPooled
		}
		for range warm {
			if _, err := send(context.Background(), f.listener.Addr().String(), testRequest("warm")); err != nil {
				t.Fatal(err)
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		switch fault {
		case "silent":
			go func() { <-f.received; cancel() }()
		case "before-accept":
			// The kernel completes the handshake; closing the listener resets it.
			ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
				WroteRequest: func(httptrace.WroteRequestInfo) { _ = f.listener.Close() },
			})
		case "cancelled":
			cancel()
		}
		answer, err := send(ctx, f.listener.Addr().String(), testRequest("r-1"))
		if err != nil && fault == "crossed-empty" {
			_, again := send(ctx, f.listener.Addr().String(), testRequest("r-2"))
			return fmt.Sprintf("%s, then %s, connections=%d", code.Of(err).Code, code.Of(again).Code, f.accepted.Load())
		}
		if err != nil {
			return fmt.Sprintf("%s run=%s seen=%d runs=%d", code.Of(err).Code, code.Of(err).Run, f.seen.Load()-warm, f.runs.Load()-warm)
		}
		defer answer.Close()
		return fmt.Sprintf("%d %s seen=%d runs=%d", answer.Status, answer.Body, f.seen.Load()-warm, f.runs.Load()-warm)
	})
}

func testRequest(id string) Request {
	return Request{
		ID: id, Method: "POST", Path: "/pay", Body: []byte("amount=1"),
		Header: http.Header{"Idempotency-Key": {"k"}},
	}
}

// Guards against a long answer that is truncated but ends like a complete one:
// reading its remainder must fail.
func TestTruncatedLongAnswer(t *testing.T) {
	for _, sent := range []int{MaxBufferedAnswer + 10, MaxBufferedAnswer + 20} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nWigeonpin-Request: r-1\r\nContent-Length: %d\r\n\r\n", MaxBufferedAnswer+20)
			_, _ = c.Write(make([]byte, sent))
		}()
		answer, err := New(setting.Defaults()).SendOnce(context.Background(), listener.Addr().String(), testRequest("r-1"))
		if err != nil {
			t.Fatal(err)
		}
		defer answer.Close()
		rest, err := io.ReadAll(answer.Rest)
		if whole := len(answer.Body)+len(rest) == MaxBufferedAnswer+20; whole != (err == nil) {
			t.Errorf("sent %d bytes: read %d, error %v", sent, len(answer.Body)+len(rest), err)
		}
	}
}
