package front

import (
	"net/http"
	"strings"
	"testing"
)

// Guards against a caller that gets a success with an empty or short body, framed as
// whole, since an endpoint closed its connection within the head of its answer. The
// exchange reports such an answer as broken (its test says why), so that the request
// is tried again where its route allows and fails otherwise.
func TestHalfHeadIsNoAnswer(t *testing.T) {
	whole := head("200 OK", "Content-Type: text/event-stream", "Content-Length: 64") + streamEvents(1, 4)
	end := strings.Index(whole, "\r\n\r\n") + len("\r\n\r\n")
	for n := range end {
		for _, path := range []string{"/open/a", "/stream/a"} {
			fx := newFixture(t, rawEndpoint(whole[:n]))
			if status, _, body, err := fx.call(t, http.MethodPost, path, "", "x"); err == nil && status < 500 {
				t.Fatalf("%s, both endpoints cut after %q: status %d, body %q", path, whole[:n], status, body)
			}
			fx = newFixture(t, rawEndpoint(whole[:n], whole))
			if status, _, body, err := fx.call(t, http.MethodPost, path, "", "x"); err != nil || status != 200 || body != streamEvents(1, 4) {
				t.Fatalf("%s, the first endpoint cut after %q: status %d, body %q, error %v", path, whole[:n], status, body, err)
			}
		}
	}
}

// Guards against a success with a part of a body: an answer that is cut off within its
// body is tried again, or the caller sees that it is not complete.
func TestHalfBodyIsNoAnswer(t *testing.T) {
	body := streamEvents(1, 4)
	for name, whole := range map[string]string{
		"length": head("200 OK", "Content-Length: 64") + body,
		"chunks": head("200 OK", "Transfer-Encoding: chunked") + chunk(body) + "0\r\n\r\n",
	} {
		start := strings.Index(whole, "\r\n\r\n") + len("\r\n\r\n")
		for n := start; n < len(whole); n++ {
			fx := newFixture(t, rawEndpoint(whole[:n], whole))
			if status, _, got, err := fx.call(t, http.MethodPost, "/open/a", "", "x"); err != nil || status != 200 || got != body {
				t.Fatalf("%s, cut after %q: status %d, body %q, error %v", name, whole[start:n], status, got, err)
			}
			fx = newFixture(t, rawEndpoint(whole[:n]))
			if status, _, got, err := fx.call(t, http.MethodPost, "/open/a", "", "x"); err == nil && status < 500 {
				t.Fatalf("%s, both cut after %q: status %d, body %q", name, whole[start:n], status, got)
			}
		}
	}
}
