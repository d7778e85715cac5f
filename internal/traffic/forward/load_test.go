package forward

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/traffic/headers"
)

// Guards against load reports with a fourth figure that have no effect, invalid ones that
// fail the request or are not counted, and failed answers whose time counts as work.
func TestLoadReports(t *testing.T) {
	for _, c := range []struct {
		report  string
		status  int
		invalid int64
		percent int // the pace in the metrics, 0 if it is not shown
		learned bool
	}{
		{"", http.StatusOK, 0, 0, true},
		{"1,0,6", http.StatusOK, 0, 0, true},
		{"1,0,6,250", http.StatusOK, 0, 250, true},
		{"1,0,6,250,9", http.StatusOK, 0, 250, true},
		{"1,0,6,100000", http.StatusOK, 0, 500, true},
		{"1,0,6,0", http.StatusOK, 1, 0, true},
		{"many", http.StatusOK, 1, 0, true},
		{"1,0,6", http.StatusInternalServerError, 0, 0, false},
	} {
		t.Run(fmt.Sprint(c.report, " ", c.status), func(t *testing.T) {
			url := newServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(names.Request, r.Header.Get(names.Request))
				w.Header().Set(names.Stamp, "proof")
				if c.report != "" {
					w.Header().Set(names.Load, c.report)
				}
				w.WriteHeader(c.status)
				_, _ = fmt.Fprint(w, "whole")
			}))
			// The clock stands still, so that reports do not age.
			timers, _ := clock.NewDriven(clock.NewSystem().Now())
			fleet := replica.NewFleet(timers, replica.Options{Overcommit: 1})
			fleet.Put(replica.Entry{ID: "e0", Service: "svc", Slots: 6, Address: strings.TrimPrefix(url, "http://")})
			f := New(Seams{Fleet: fleet, Pool: exchange.New(exchange.Options{EchoHeader: names.Request}), Names: names}, timers, logs.Discard())
			request := call(manifest.Route{Kind: manifest.AtMostOnce, Attempts: 1, Prefix: "/x"})
			answer, err := f.Send(context.Background(), request)
			if err != nil || answer.Status != c.status {
				t.Fatalf("answer %+v, error %v", answer, err)
			}
			answer.Close()
			metrics := f.seams.Meters.Snapshot()
			if got := metrics["endpoint_paces"].(map[string]int)["e0"]; got != c.percent {
				t.Errorf("pace %d%%, want %d%%", got, c.percent)
			}
			if _, learned := metrics["request_work_us"].(map[string]int64)["svc /x"]; learned != c.learned {
				t.Errorf("works %v, learned %v", metrics["request_work_us"], c.learned)
			}
			if got := f.seams.Meters.Counter(headers.CountInvalidLoads).Value("e0"); got != c.invalid {
				t.Errorf("%d invalid reports, want %d", got, c.invalid)
			}
		})
	}
}
