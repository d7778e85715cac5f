package dispatch

import (
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
)

// Guards against calls to slow services while faster ones are free, against a fast one that
// gets all calls, against calls to another zone that gain little, and against another
// ranking while all are equally fast.
func TestServiceSpeeds(t *testing.T) {
	timers, driver := clock.NewDriven(time.Unix(1000, 0))
	f := newFixture(timers)
	for _, e := range []struct{ id, zone string }{{"slow", "a"}, {"usual", "a"}, {"fast", "a"}, {"remote", "b"}} {
		f.backends = append(f.backends, &backend{
			Endpoint: roster.Endpoint{ID: e.id, Zone: e.zone, Class: roster.ClassStandard, State: roster.StateLive}, free: 4,
		})
	}
	d := f.runner
	call := ServiceCall{Model: "svc", Method: http.MethodPost}
	observe := func(paces map[string]float64, status int) {
		for range 30 {
			for _, b := range f.backends {
				took := time.Duration(paces[b.ID] * float64(20*time.Millisecond))
				d.speeds.observe(b.Endpoint, call, &Answer{Status: status}, took, timers.Now())
			}
		}
	}
	// ranks returns the places in which each endpoint is ranked, in 200 rankings.
	ranks := func() map[string]string {
		seen := map[string]string{}
		for range 200 {
			for place, e := range d.ranked(requirements{model: "svc"}, d.seams.Endpoints("svc")) {
				if digit := string(rune('0' + place)); !strings.Contains(seen[e.ID], digit) {
					seen[e.ID] += digit
				}
			}
		}
		return seen
	}
	equal := map[string]float64{"slow": 1, "usual": 1.1, "fast": 0.95, "remote": 1}
	observe(equal, http.StatusOK)
	observe(map[string]float64{"slow": 0.01, "usual": 0.01, "fast": 0.01, "remote": 0.01}, http.StatusInternalServerError)
	if paces := d.speeds.paces(timers.Now()); len(paces) > 0 {
		t.Errorf("equal endpoints have the paces %v", paces)
	}
	if got := ranks(); len(got["slow"]) != 3 || len(got["usual"]) != 3 || len(got["fast"]) != 3 || got["remote"] != "3" {
		t.Errorf("places of equal endpoints: %v", got)
	}
	observe(map[string]float64{"slow": 1.6, "usual": 1, "fast": 0.6, "remote": 0.6}, http.StatusOK)
	if got := ranks(); got["fast"] != "0" || got["usual"] != "1" || got["slow"] != "2" || got["remote"] != "3" {
		t.Errorf("places of uneven endpoints: %v, paces %v", got, d.speeds.paces(timers.Now()))
	}
	var slots []Slot
	for range 4 { // the fast endpoint is full but for one slot
		slots = append(slots, d.inflight.track("fast", Slot{Release: func(Outcome) {}}))
	}
	f.find("fast").free = 1
	if got := ranks(); got["usual"] != "0" {
		t.Errorf("places beside a busy endpoint: %v", got)
	}
	for _, slot := range slots {
		slot.Release(Outcome{})
	}
	f.find("fast").free = 4
	driver.Advance(4 * time.Second)
	if got := ranks(); len(got["slow"]) != 3 {
		t.Errorf("places long after the last call: %v", got)
	}
	d.Forget("slow")
	if pace := d.speeds.pace("slow", timers.Now()); math.Abs(pace-1) > 0 {
		t.Errorf("pace %v of a forgotten endpoint", pace)
	}
}
