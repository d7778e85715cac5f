package forward

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
)

// loaded is an endpoint that reports the same load with each answer.
type loaded struct{ load string }

func (l *loaded) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(names.Request, r.Header.Get(names.Request))
	w.Header().Set(names.Stamp, "proof")
	w.Header().Set(names.Load, l.load)
	_, _ = fmt.Fprint(w, "whole")
}

// Guards against background calls that are sent to an endpoint where requests wait, that
// wait beyond their limit, or that wait although the endpoint has headroom or is unknown.
func TestBackgroundCalls(t *testing.T) {
	cases := []struct {
		name, load string
		learned    bool // the load is known before the call
		waits      bool
		counted    string
	}{
		{"nothing is known", "6,3,6", false, false, "immediate"},
		{"headroom", "1,0,6", true, false, "immediate"},
		{"requests wait", "6,3,6", true, true, "limit"},
		{"slots in use", "5,0,6", true, true, "limit"},
		{"unreadable load", "much", true, false, "immediate"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, fleet := newForwarderWith(t)
			address := strings.TrimPrefix(newServer(t, &loaded{load: c.load}), "http://")
			fleet.Put(replica.Entry{ID: "loaded", Service: "svc", Slots: 6, Address: address})
			if c.learned {
				answer, err := f.Send(context.Background(), request("first", "acme", time.Second))
				if err != nil {
					t.Fatal(err)
				}
				answer.Close()
			}
			patience := testTimeout / 2 // far longer than a busy machine delays the call
			if c.waits {
				patience = 250 * time.Millisecond
			}
			background := request("background", "", 400*time.Millisecond)
			began := time.Now()
			background.Urgent = began.Add(patience)
			answer, err := f.Send(context.Background(), background)
			if err != nil {
				t.Fatal(err)
			}
			answer.Close()
			if waited := time.Since(began); c.waits && waited < patience {
				t.Errorf("sent after %v, want after %v", waited, patience)
			} else if !c.waits && waited >= patience {
				t.Errorf("sent after %v, want at once", waited)
			}
			if counts := f.background.Values(); counts[c.counted] != 1 {
				t.Errorf("counted %v, want %q", counts, c.counted)
			}
		})
	}
}
