package headers

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
)

// Guards against load reports that are dropped because they have further figures, and
// against absurd figures that make an endpoint look free or blocked.
func TestReadLoad(t *testing.T) {
	names := Names{Load: "Replica-Load"}
	three := replica.Load{Running: 2, Waiting: 1, Slots: 6}
	paced := func(pace float64) replica.Load { return replica.Load{Running: 2, Waiting: 1, Slots: 6, Pace: pace} }
	cases := []struct {
		values []string
		load   replica.Load
		found  bool
		fails  bool
	}{
		// The field is absent.
		{nil, replica.Load{}, false, false},
		// Three figures.
		{[]string{"2,1,6"}, three, true, false},
		{[]string{"0,0,6"}, replica.Load{Slots: 6}, true, false},
		// Four figures.
		{[]string{"2,1,6,100"}, paced(1), true, false},
		{[]string{"2,1,6,250"}, paced(2.5), true, false},
		{[]string{"2,1,6,62.5"}, paced(0.625), true, false},
		// More figures: those after the fourth are ignored, whatever they are.
		{[]string{"2,1,6,60,7"}, paced(0.6), true, false},
		{[]string{"2,1,6,60,x,,"}, paced(0.6), true, false},
		{[]string{"2,1,6,60" + strings.Repeat(",1", 1000)}, paced(0.6), true, false},
		// Fewer figures.
		{[]string{""}, replica.Load{}, false, true},
		{[]string{"2"}, replica.Load{}, false, true},
		{[]string{"2,1"}, replica.Load{}, false, true},
		{[]string{"2,,6"}, replica.Load{}, false, true},
		{[]string{"2;1;6"}, replica.Load{}, false, true},
		// Spaces around figures are ignored, within them they are invalid.
		{[]string{" 2 ,\t1, 6 , 160 "}, paced(1.6), true, false},
		{[]string{"2 1,1,6"}, replica.Load{}, false, true},
		// A plus sign is accepted, as before. Negative figures are invalid.
		{[]string{"+2,+1,+6,+160"}, paced(1.6), true, false},
		{[]string{"-1,1,6"}, replica.Load{}, false, true},
		{[]string{"2,-1,6"}, replica.Load{}, false, true},
		{[]string{"2,1,-6"}, replica.Load{}, false, true},
		// Numbers that are not decimal integers are invalid.
		{[]string{"2.0,1,6"}, replica.Load{}, false, true},
		{[]string{"0x2,1,6"}, replica.Load{}, false, true},
		{[]string{"1e1,1,6"}, replica.Load{}, false, true},
		{[]string{"many,1,6"}, replica.Load{}, false, true},
		// Overflow and absurdly high figures are invalid.
		{[]string{"99999999999999999999,1,6"}, replica.Load{}, false, true},
		{[]string{"9223372036854775807,9223372036854775807,6"}, replica.Load{}, false, true},
		{[]string{"2,1,1000001"}, replica.Load{}, false, true},
		{[]string{"1000000,1,6"}, replica.Load{Running: 1_000_000, Waiting: 1, Slots: 6}, true, false},
		// No slots: the slots of the endpoint's entry apply.
		{[]string{"2,1,0"}, replica.Load{Running: 2, Waiting: 1}, true, false},
		// An invalid fourth figure leaves the first three in force.
		{[]string{"2,1,6,"}, three, true, true},
		{[]string{"2,1,6,0"}, three, true, true},
		{[]string{"2,1,6,-100"}, three, true, true},
		{[]string{"2,1,6,fast"}, three, true, true},
		{[]string{"2,1,6,NaN"}, three, true, true},
		{[]string{"2,1,6,Inf"}, three, true, true},
		{[]string{"2,1,6,1e400"}, three, true, true},
		{[]string{"2,1,6,10 0"}, three, true, true},
		// An absurd but positive one is passed on; the cost model clamps it.
		{[]string{"2,1,6,1000000000"}, paced(1e7), true, false},
		{[]string{"2,1,6,1e9"}, paced(1e7), true, false},
		{[]string{"2,1,6,0.001"}, paced(0.00001), true, false},
		// Of several fields the one with the most work counts, then the slowest; invalid
		// ones are reported.
		{[]string{"0,0,6,60", "2,1,6,160"}, paced(1.6), true, false},
		{[]string{"2,1,6,160", "0,0,6,60"}, paced(1.6), true, false},
		{[]string{"2,1,6,60", "2,1,6,160", "2,1,6"}, paced(1.6), true, false},
		{[]string{"x", "2,1,6,160"}, paced(1.6), true, true},
		{[]string{"2,1,6,160", "x"}, paced(1.6), true, true},
		{[]string{"x", "y"}, replica.Load{}, false, true},
	}
	for _, c := range cases {
		load, found, err := names.ReadLoad(http.Header{"Replica-Load": c.values})
		if load != c.load || found != c.found || (err != nil) != c.fails || c.fails && !errors.Is(err, ErrInvalidLoad) {
			t.Errorf("%.60q: %+v, %v, %v; want %+v, %v, failure %v", c.values, load, found, err, c.load, c.found, c.fails)
		}
		if err != nil && len(err.Error()) > 200 {
			t.Errorf("%.60q: error of %d bytes", c.values, len(err.Error()))
		}
	}
	if _, found, err := names.ReadLoad(http.Header{"Replica-Load": {strings.Repeat("9", 10_000)}}); found || err == nil || len(err.Error()) > 200 {
		t.Errorf("long value: %v, error of %d bytes", found, len(err.Error()))
	}
	if _, found, err := (Names{}).ReadLoad(http.Header{"": {"1,2,3"}}); found || err != nil {
		t.Errorf("without a field name: %v, %v", found, err)
	}
}

// Guards against invalid reports that are dropped silently, and against those that fill
// the log.
func TestInvalidLoadsAreCountedAndLogged(t *testing.T) {
	var out bytes.Buffer
	log, err := logs.New(&out, "info", "i", "a")
	if err != nil {
		t.Fatal(err)
	}
	timers, driver := clock.NewDriven(time.Unix(1000, 0))
	meters := meter.NewSet()
	invalid := NewInvalidLoads(meters, timers, log)
	for range 500 {
		invalid.Record("e1", ErrInvalidLoad)
	}
	invalid.Record("e2", ErrInvalidLoad)
	if lines := strings.Count(out.String(), "invalid load report of an endpoint"); lines != 1 {
		t.Errorf("%d lines within a second, want 1", lines)
	}
	driver.Advance(2 * time.Second)
	invalid.Record("e1", ErrInvalidLoad)
	if lines := strings.Count(out.String(), "invalid load report of an endpoint"); lines != 2 || !strings.Contains(out.String(), `"count":501`) {
		t.Errorf("%d lines, want 2, the second with 501 reports: %s", lines, out.String())
	}
	counted := meters.Counter(CountInvalidLoads)
	if counted.Value("e1") != 501 || counted.Value("e2") != 1 {
		t.Errorf("counted %v", counted.Values())
	}
}
