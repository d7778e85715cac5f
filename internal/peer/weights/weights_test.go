package weights

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against a rate limit that is reported as a missing version or without
// its Retry-After, and against a missing version that is reported as stored.
func TestStoredDistinguishesRateLimitFromMissing(t *testing.T) {
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/weights/alpha/12" {
			t.Errorf("path %s", r.URL.Path)
		}
		w.Header().Set("Retry-After", "1.5")
		w.WriteHeader(status)
	}))
	defer server.Close()
	client := New(server.Listener.Addr().String(), server.Client())
	for _, c := range []struct {
		status  int
		stored  bool
		limited bool
	}{{200, true, false}, {404, false, false}, {429, false, true}, {503, false, false}} {
		status = c.status
		err := client.CheckStored(context.Background(), "alpha", 12)
		wait, limited := RateLimited(err)
		if (err == nil) != c.stored || limited != c.limited || limited && wait != 1500*time.Millisecond {
			t.Errorf("status %d: %v, limited %v for %v", c.status, err, limited, wait)
		}
	}
}
