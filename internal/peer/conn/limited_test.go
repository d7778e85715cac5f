package conn

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/wigeonpin/wigeonpin/internal/standin/flood"
)

// Guards against a faulty server that exhausts the memory of its caller with
// headers or a body that do not end.
func TestLimitResponses(t *testing.T) {
	const limit = 1 << 16
	client := &http.Client{Transport: LimitResponses(&http.Transport{}, limit)}
	t.Run("body up to the limit", func(t *testing.T) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", limit))
		}))
		defer server.Close()
		resp, err := client.Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if body, err := io.ReadAll(resp.Body); err != nil || len(body) != limit {
			t.Errorf("read %d bytes, error %v, want %d bytes", len(body), err, limit)
		}
	})
	t.Run("endless body", func(t *testing.T) {
		resp, err := client.Get("http://" + flood.Start(t, "HTTP/1.1 200 OK\r\n\r\n", "x"))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if body, err := io.ReadAll(resp.Body); !errors.Is(err, ErrLimitExceeded) || len(body) > limit {
			t.Errorf("read %d bytes, error %v, want at most %d bytes and ErrLimitExceeded", len(body), err, limit)
		}
	})
	t.Run("endless header", func(t *testing.T) {
		resp, err := client.Get("http://" + flood.Start(t, "HTTP/1.1 200 OK\r\nX-Long: ", "x"))
		if err == nil {
			_ = resp.Body.Close()
			t.Error("a response with an endless header was accepted")
		}
	})
}
