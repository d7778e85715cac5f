package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
)

// unevenCase is a load on uneven endpoints. zones is the number of availability zones of
// the endpoints, spread whether the processes are in all of them.
type unevenCase struct {
	processes int
	factor    float64
	zones     int
	spread    bool
}

// run returns the 95th percentile of the times, the number of answers in time, and the
// part of the requests that went to another zone.
func (c unevenCase) run(reports bool, class string) (p95 time.Duration, inTime int, crossed float64) {
	o := &overloadSim{
		rng: rand.New(rand.NewPCG(1, 1)), endpoints: map[string]*simEndpoint{}, fleets: make([]*Fleet, c.processes),
		class: class, zones: map[string]string{}, spread: c.spread,
	}
	o.timers, o.driver = clock.NewDriven(time.Unix(1000, 0))
	o.byProcess = make([]int, c.processes)
	for i := range 16 {
		id := fmt.Sprint("e", i)
		o.zones[id] = string("abc"[i%c.zones])
		o.endpoints[id] = &simEndpoint{slowness: 1, reports: reports, pace: func(now time.Duration) float64 {
			pace := []float64{0.6, 1, 1.6}[i/c.zones%3]
			if (int(now/(600*time.Millisecond))+i)%8 == 0 {
				pace *= 2.5
			}
			return pace
		}}
	}
	for p := range o.fleets {
		o.start(p)
	}
	o.run(c.factor, true)
	slices.Sort(o.times)
	return o.times[len(o.times)*95/100], o.inTime, float64(o.crossed) / float64(o.sent)
}

// TestUneven guards against decisions of many processes that are worse than those by
// requests over slots, or send more requests to other zones: for endpoints with speeds
// of 0.6, 1 and 1.6 that are 2.5 times slower for 600 ms in turns, with and without
// reports of their pace, while half of the processes restart. Decisions by requests over
// slots are those without reports and classes.
func TestUneven(t *testing.T) {
	for _, c := range []unevenCase{
		{6, 0.6, 1, false},
		{55, 0.6, 1, false},
		{360, 0.6, 1, false},
		{360, 0.8, 1, false},
		{55, 0.6, 3, true},
		{55, 0.8, 3, true},
		{55, 0.8, 3, false}, // all requests come from one zone
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			t.Parallel()
			before, inTimeBefore, crossedBefore := c.run(false, "")
			measured, inTimeMeasured, crossedMeasured := c.run(false, "svc /")
			reported, inTimeReported, crossedReported := c.run(true, "svc /")
			t.Logf("95th percentile %v, measured %v, reported %v; in time %d, %d, %d; to other zones %.2f, %.2f, %.2f",
				before, measured, reported, inTimeBefore, inTimeMeasured, inTimeReported, crossedBefore, crossedMeasured, crossedReported)
			if reported > before*95/100 || inTimeReported < inTimeBefore*99/100 {
				t.Error("reports do not help")
			}
			if measured > before*11/10 || inTimeMeasured < inTimeBefore*95/100 {
				t.Error("measured times make it worse")
			}
			if max(crossedMeasured, crossedReported) > crossedBefore+0.02 {
				t.Error("more requests go to other zones")
			}
		})
	}
}
