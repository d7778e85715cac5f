package exchange

import (
	"context"
	"errors"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/standin/flood"
)

// allocationLimit is the number of bytes that reading one faulty answer may
// allocate.
const allocationLimit = 8 << 20

// Guards against a peer that sends a head without end: the caller would wait
// until its deadline while the process runs out of memory.
func TestEndlessHead(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n"
	cases := map[string]struct{ start, more string }{
		"status line":     {"HTTP/1.1 200 ", "O"},
		"no HTTP":         {"", "garbage "},
		"header value":    {head + "X-Long: ", "x"},
		"header lines":    {head, "X-Line: value\r\n"},
		"header name":     {head, "X"},
		"interim answers": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"strays":          {"", answerText("stray", "wrong")},
		"body of a stray": {head + echoHeader + ": stray\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
		"chunks of a stray": {
			head + echoHeader + ": stray\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address := flood.Start(t, c.start, c.more)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			before := allocated()
			_, err := New(Options{EchoHeader: echoHeader}).Do(ctx, address, Request{
				Method: http.MethodGet, Path: "/", Host: "h", Header: http.Header{echoHeader: {"1"}},
			})
			if err == nil || ctx.Err() != nil {
				t.Errorf("error %v, want one before the deadline", err)
			}
			if NotSent(err) {
				t.Error("the request was sent, but the error says that it was not")
			}
			if grown := allocated() - before; grown > allocationLimit {
				t.Errorf("%d bytes allocated, want at most %d", grown, allocationLimit)
			}
		})
	}
}

func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

// Guards against a body without end: reads stop at a limit, and the connection
// is then closed instead of being reused.
func TestEndlessBody(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + echoHeader + ": 1\r\n"
	cases := map[string]struct{ start, more string }{
		"framed":   {head + "Content-Length: 1000000000000\r\n\r\n", "x"},
		"chunked":  {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"unframed": {head + "\r\n", "x"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address := flood.Start(t, c.start, c.more)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			pool := New(Options{EchoHeader: echoHeader})
			request := Request{Method: http.MethodGet, Path: "/", Host: "h", Header: http.Header{echoHeader: {"1"}}}
			answer, err := pool.Do(ctx, address, request)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := answer.ReadAll(1 << 16); !errors.Is(err, ErrTooLarge) {
				t.Errorf("ReadAll: %v, want ErrTooLarge", err)
			}
			if answer, err = pool.Do(ctx, address, request); err != nil {
				t.Fatal(err)
			}
			answer.Discard()
			if answer.Complete() || len(pool.idle[target{address: address}]) > 0 {
				t.Error("a connection with an unfinished body was kept")
			}
		})
	}
}

// Guards against a late duplicate of an answer being taken for the answer to a
// repetition of the request: on the same connection the duplicate has the right
// id but belongs to the first attempt.
func TestRepeatedRequestChangesConnection(t *testing.T) {
	var count atomic.Int64
	p := newPeer(t, func(_ int, r *http.Request) (string, bool) {
		id := r.Header.Get(echoHeader)
		switch count.Add(1) {
		case 1:
			return answerText(id, "first"), true
		case 2:
			return answerText(id, "other"), true
		}
		return answerText(id, "second"), true
	})
	pool := New(Options{EchoHeader: echoHeader})
	for _, step := range []struct{ id, body string }{{"7", "first"}, {"8", "other"}, {"7", "second"}} {
		if body, err := send(t, pool, p.address, step.id); err != nil || body != step.body {
			t.Fatalf("request %s: %q, %v", step.id, body, err)
		}
	}
	if p.accepted.Load() != 2 {
		t.Errorf("%d connections, want 2: the repeated request must use another one", p.accepted.Load())
	}
}
