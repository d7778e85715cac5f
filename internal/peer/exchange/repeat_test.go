package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Guards against a request that may run once and is sent again, since the connection
// broke, and against one that may be repeated and fails although a new connection works.
func TestRequestIsRepeatedOnlyIfItMayBe(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		var requests atomic.Int32
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				go answerFirst(c, &requests)
			}
		}()
		pool := New(Options{})
		var failed error
		for range 2 {
			answer, err := pool.Do(context.Background(), listener.Addr().String(), Request{Method: "GET", Path: "/", Host: "h", Repeatable: repeatable})
			if failed = err; err == nil {
				_, failed = answer.ReadAll(100)
			}
		}
		wantRequests := int32(2)
		if repeatable {
			wantRequests++
		}
		if (failed == nil) != repeatable || requests.Load() != wantRequests {
			t.Errorf("repeatable %v: error %v after %d requests, want %d", repeatable, failed, requests.Load(), wantRequests)
		}
	}
}

// answerFirst answers the first request of a connection and closes it at the second one.
func answerFirst(c net.Conn, requests *atomic.Int32) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for first := true; ; first = false {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		requests.Add(1)
		if !first {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") // the caller may be gone
	}
}
