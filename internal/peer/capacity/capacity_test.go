package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/codec"
)

// Guards against requests that violate the platform's protocol, against a list
// of changes that passes for the whole list, and against an order that counts as
// confirmed although the platform refused it.
func TestClientFollowsTheProtocol(t *testing.T) {
	var got string
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got = fmt.Sprintf("%s %s %s", r.Method, r.URL, body)
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(map[string]any{"revision": 9, "endpoints": []map[string]any{{"id": "e", "address": "10.0.0.1:80", "price_per_hour": 2.5}}})
	}))
	defer server.Close()
	client := New(server.Listener.Addr().String(), server.Client())
	ctx := context.Background()
	page, err := client.Watch(ctx, 0, 1500*time.Millisecond)
	if err != nil || !page.Full || page.Revision != 9 || page.Endpoints[0].PricePerHour != 2.5 {
		t.Fatalf("whole list: got %+v, error %v", page, err)
	}
	if page, err = client.Watch(ctx, 8, time.Second); err != nil || page.Full || got != "GET /v1/endpoints?after=8&wait=1 " {
		t.Fatalf("changes: got %+v, error %v, request %q", page, err, got)
	}
	order := Order{Fence: 7, Holder: "a", Models: []ModelTarget{{Model: "m", Standard: 2, Cheap: 1}}}
	if err := client.SendOrder(ctx, server.Client(), "zone-a", order); err != nil {
		t.Fatal(err)
	}
	want := `PUT /v1/orders/zone-a {"fence":7,"holder":"a","models":[{"model":"m","standard":2,"cheap":1}]}`
	if got != want {
		t.Fatalf("order sent as %s, want %s", got, want)
	}
	status = http.StatusConflict
	if err := client.SendOrder(ctx, server.Client(), "zone-a", order); codec.StatusOf(err) != status {
		t.Fatalf("refused order: error %v, want status %d", err, status)
	}
}
