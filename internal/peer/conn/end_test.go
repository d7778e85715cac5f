package conn

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/setting"
)

// closing answers without a length or chunks and closes the connection.
func closing(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n{}")
	_ = c.Close()
}

// Guards against a part of an answer that counts as whole: when a connection is reset while
// a request is written, net/http shows an end of the answer, as if it were complete. The
// end of an answer to a request with a body must be marked.
func TestResponsesWithoutAnEnd(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(closing))
	defer server.Close()
	clients := map[string]*http.Client{
		"checked": {Transport: CheckResponses(Transport(setting.Defaults()))},
		"limited": {Transport: LimitResponses(&http.Transport{}, 1<<20)},
		"peer":    NewPeerClient(time.Second, 1),
	}
	for name, client := range clients {
		if _, err := client.Post(server.URL, "text/plain", bytes.NewReader([]byte("body"))); !errors.Is(err, ErrNoEnd) {
			t.Errorf("%s: error %v for a POST, want ErrNoEnd", name, err)
		}
		response, err := client.Get(server.URL)
		if err != nil {
			t.Errorf("%s: error %v for a GET", name, err)
			continue
		}
		_ = response.Body.Close()
		client.CloseIdleConnections()
	}
}
