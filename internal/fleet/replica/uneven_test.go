package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
)

// TestUneven guards against decisions of many processes that are worse than those by
// requests over slots: for endpoints with speeds of 0.6, 1 and 1.6 that are 2.5 times
// slower for 600 ms in turns, with and without reports of their pace, after half of the
// processes have restarted. Decisions by requests over slots are those without
// reports and classes.
func TestUneven(t *testing.T) {
	const endpoints = 16
	for _, processes := range []int{6, 55, 360} {
		for _, factor := range []float64{0.6, 0.8} {
			t.Run(fmt.Sprintf("%d processes, load %v", processes, factor), func(t *testing.T) {
				t.Parallel()
				run := func(reports bool, class string) (p95 time.Duration, inTime int) {
					o := &overloadSim{rng: rand.New(rand.NewPCG(1, 1)), endpoints: map[string]*simEndpoint{}, fleets: make([]*Fleet, processes), class: class}
					o.timers, o.driver = clock.NewDriven(time.Unix(1000, 0))
					o.byProcess = make([]int, processes)
					for i := range endpoints {
						o.endpoints[fmt.Sprint("e", i)] = &simEndpoint{slowness: 1, reports: reports, pace: func(now time.Duration) float64 {
							pace := []float64{0.6, 1, 1.6}[i%3]
							if (int(now/(600*time.Millisecond))+i)%8 == 0 {
								pace *= 2.5
							}
							return pace
						}}
					}
					for p := range o.fleets {
						o.start(p)
					}
					o.run(factor, true)
					slices.Sort(o.times)
					return o.times[len(o.times)*95/100], o.inTime
				}
				before, inTimeBefore := run(false, "")
				measured, inTimeMeasured := run(false, "svc /")
				reported, inTimeReported := run(true, "svc /")
				t.Logf("%d processes, load %v: 95th percentile %v, measured %v, reported %v; in time %d, %d, %d", processes, factor,
					before, measured, reported, inTimeBefore, inTimeMeasured, inTimeReported)
				if reported > before*9/10 || inTimeReported < inTimeBefore*99/100 {
					t.Errorf("%d processes, load %v: reports do not help", processes, factor)
				}
				if measured > before*11/10 || inTimeMeasured < inTimeBefore*98/100 {
					t.Errorf("%d processes, load %v: measured times make it worse", processes, factor)
				}
			})
		}
	}
}
