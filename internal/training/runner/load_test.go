package runner

import (
	"net/http"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/traffic/headers"
)

// Guards against load reports of engines that are not used, and against invalid ones that
// are not counted.
func TestLoadReportOfAnEngine(t *testing.T) {
	timers, _ := clock.NewDriven(time.Unix(1000, 0))
	fleet := replica.NewFleet(timers, replica.Options{Overcommit: 1})
	fleet.Put(replica.Entry{ID: "e1", Service: "engine", Slots: 8})
	meters := meter.NewSet()
	r := New(Seams{Fleet: fleet, Names: names, Meters: meters}, timers, logs.Discard())
	slot, found := fleet.Pick(replica.Requirements{Service: "engine"})
	if !found {
		t.Fatal("no engine")
	}
	r.observe(slot, http.Header{"X-Load": {"1,0,8,160"}})
	if got := fleet.Paces()["e1"]; got != 160 {
		t.Errorf("pace %d%%, want 160%%", got)
	}
	r.observe(slot, http.Header{"X-Load": {"busy"}})
	if got := meters.Counter(headers.CountInvalidLoads).Value("e1"); got != 1 {
		t.Errorf("%d invalid reports are counted, want 1", got)
	}
}
