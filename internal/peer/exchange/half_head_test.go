package exchange

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against an answer with an empty or short body that counts as whole, since the
// peer closed its connection within the head: the lines that tell the length, or the
// end of the head, are missing then. It cannot happen, since http.ReadResponse fails
// unless the empty line after the head has come. All calls of the adapter to the
// platform read their answers here: requests, items, scoring calls, the store,
// reports and orders.
func TestHeadCutAnywhere(t *testing.T) {
	heads := map[string]string{
		"length":       "HTTP/1.1 200 OK\r\n" + echoHeader + ": ID\r\nContent-Length: 12\r\n\r\n",
		"chunks":       "HTTP/1.1 200 OK\r\n" + echoHeader + ": ID\r\nTransfer-Encoding: chunked\r\n\r\n",
		"unframed":     "HTTP/1.1 200 OK\r\n" + echoHeader + ": ID\r\nConnection: close\r\n\r\n",
		"no body":      "HTTP/1.1 204 No Content\r\n" + echoHeader + ": ID\r\n\r\n",
		"line feeds":   "HTTP/1.0 200 OK\n" + echoHeader + ": ID\nContent-Length: 12\n\n",
		"interim":      "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + echoHeader + ": ID\r\nContent-Length: 12\r\n\r\n",
		"after others": answerText("stray", "wrong") + "HTTP/1.1 200 OK\r\n" + echoHeader + ": ID\r\nContent-Length: 12\r\n\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			var cut atomic.Int64
			p := newPeer(t, func(_ int, r *http.Request) (string, bool) {
				id := r.Header.Get(echoHeader)
				if strings.HasPrefix(id, "warm") {
					return answerText(id, "ok"), true
				}
				return strings.ReplaceAll(head, "ID", id)[:cut.Load()], false
			})
			for n := range len(head) {
				cut.Store(int64(n))
				pool := New(Options{EchoHeader: echoHeader})
				if body, err := send(t, pool, p.address, "id"); err == nil || NotSent(err) {
					t.Errorf("cut after %q on a new connection: body %q, error %v", head[:n], body, err)
				}
				if body, err := send(t, pool, p.address, fmt.Sprint("warm", n)); err != nil || body != "ok" {
					t.Fatalf("body %q, error %v", body, err)
				}
				if body, err := send(t, pool, p.address, "id"); err == nil || NotSent(err) {
					t.Errorf("cut after %q on a kept connection: body %q, error %v", head[:n], body, err)
				}
				pool.CloseIdle(p.address)
			}
		})
	}
}
