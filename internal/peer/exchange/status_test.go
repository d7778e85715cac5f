package exchange

import (
	"fmt"
	"net/http"
	"testing"
)

// Guards against an answer whose status is none (MIXED): it was taken for an interim
// one, so that its body, which looks like a whole answer to the request here, became the
// answer; or it was returned as it came. The connection must not serve another request.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000 Odd", "099 Odd", "101 Switching Protocols", "103 Early Hints", "600 Odd", "999 Odd"} {
		t.Run(status, func(t *testing.T) {
			p := newPeer(t, func(_ int, r *http.Request) (string, bool) {
				id := r.Header.Get(echoHeader)
				if id == "next" {
					return answerText(id, "ok"), true
				}
				body := answerText(id, "hidden")
				return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", status, echoHeader, id, len(body), body), true
			})
			pool := New(Options{EchoHeader: echoHeader})
			if body, err := send(t, pool, p.address, "first"); err == nil || NotSent(err) {
				t.Errorf("body %q, error %v, want an error of a request that was sent", body, err)
			}
			if body, err := send(t, pool, p.address, "next"); err != nil || body != "ok" {
				t.Errorf("body %q, error %v, want ok", body, err)
			}
			if got := p.accepted.Load(); got != 2 {
				t.Errorf("%d connections, want 2", got)
			}
		})
	}
}
