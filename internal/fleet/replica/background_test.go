package replica

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
)

const (
	mixEndpoints   = 10
	mixCallTime    = 80 * time.Millisecond // of a scoring call on an endpoint of usual speed
	mixMaxWait     = 2 * time.Second       // that a scoring call may wait for headroom
	mixLength      = 8 * time.Second
	mixSlowFrom    = 3 * time.Second
	mixQueueWait   = 75 * time.Millisecond // that an interactive request may wait unsent
	mixRecheck     = 20 * time.Millisecond
	mixRequestTime = 25 * time.Millisecond
)

// mixSim simulates interactive requests of many processes beside the scoring calls of
// one worker, at endpoints of which half get slow for a while.
type mixSim struct {
	overloadSim
	worker *Fleet
	until  time.Duration // the end of the time in which endpoints are slow
	// background is false when scoring calls are sent like interactive requests.
	background bool
	waiting    []mixCall // oldest first

	interactive, answered, inTime int // requests that began while endpoints were slow
	calls, ended                  int
	longest                       time.Duration // of the waits of scoring calls
	waits                         []time.Duration
}

// mixCall is a scoring call that waits.
type mixCall struct {
	began    time.Duration
	rejected bool
}

// serve simulates a request of the given work at the slot's endpoint.
func (m *mixSim) serve(slot *Slot, work time.Duration, done func(answered bool)) {
	e := m.endpoints[slot.Entry.ID]
	finish := func(outcome Outcome) {
		load := e.load(m.now)
		m.after(simLatency, func() {
			slot.Report(load)
			slot.Done(outcome)
			done(outcome == Answered)
		})
	}
	running := func() time.Duration { return time.Duration(float64(e.slowness*work) * (0.5 + m.rng.Float64())) }
	m.occupy(e, simLatency, running, finish)
}

// request simulates an interactive request that waits unsent for a short time at most.
func (m *mixSim) request(process int, began time.Duration) {
	if m.now == began && began >= mixSlowFrom && began < m.until {
		m.interactive++
	}
	slot, found := m.fleets[process].Pick(Requirements{Service: "svc"})
	if !found {
		if m.now-began < mixQueueWait {
			m.after(mixRecheck, func() { m.request(process, began) })
		}
		return
	}
	m.serve(slot, mixRequestTime, func(answered bool) {
		if !answered {
			m.after(0, func() { m.request(process, began) })
			return
		}
		if began >= mixSlowFrom && began < m.until {
			m.answered++
			if m.now-began <= simDeadline {
				m.inTime++
			}
		}
	})
}

// sendCalls sends the scoring calls that may go, oldest first.
func (m *mixSim) sendCalls() {
	for len(m.waiting) > 0 {
		call := m.waiting[0]
		slot, found := m.worker.Pick(Requirements{Service: "svc", Background: m.background && m.now-call.began < mixMaxWait})
		if !found {
			return
		}
		m.waiting = m.waiting[1:]
		if !call.rejected {
			m.longest = max(m.longest, m.now-call.began)
			m.waits = append(m.waits, m.now-call.began)
		}
		m.serve(slot, mixCallTime, func(answered bool) {
			if answered {
				m.ended++
			} else {
				m.waiting = append([]mixCall{{call.began, true}}, m.waiting...)
			}
			m.sendCalls()
		})
	}
}

func (m *mixSim) recheck() {
	m.sendCalls()
	m.after(mixRecheck, m.recheck)
}

// arrivals calls next at the given rate per second, at random times.
func (m *mixSim) arrivals(rate float64, next func()) {
	if rate == 0 {
		return
	}
	var again func()
	again = func() {
		next()
		m.after(time.Duration(2*m.rng.Float64()/rate*float64(time.Second)), again)
	}
	m.after(0, again)
}

func (m *mixSim) setSlowness(slow int, slowness time.Duration) {
	for i := range slow {
		m.endpoints[fmt.Sprint("e", i)].slowness = slowness
	}
}

// runMix simulates the given rates of interactive requests and scoring calls per second.
func runMix(processes, slow int, slowness, burst time.Duration, interactive, scoring float64, background bool) *mixSim {
	m := &mixSim{background: background}
	m.rng, m.endpoints, m.fleets = rand.New(rand.NewPCG(7, 7)), map[string]*simEndpoint{}, make([]*Fleet, processes)
	m.timers, m.driver = clock.NewDriven(time.Unix(1000, 0))
	for i := range mixEndpoints {
		m.endpoints[fmt.Sprint("e", i)] = &simEndpoint{slowness: 1}
	}
	for p := range m.fleets {
		m.start(p)
	}
	m.worker = NewFleet(m.timers, Options{Overcommit: 1})
	for id := range m.endpoints {
		m.worker.Put(Entry{ID: id, Service: "svc", Zone: simZone, Slots: simSlots, Address: id})
	}
	m.arrivals(interactive, func() { m.request(m.rng.IntN(processes), m.now) })
	m.arrivals(scoring, func() {
		m.calls++
		m.waiting = append(m.waiting, mixCall{began: m.now})
		m.sendCalls()
	})
	m.after(0, m.recheck)
	m.after(mixSlowFrom, func() { m.setSlowness(slow, slowness) })
	m.until = mixSlowFrom + burst
	m.after(m.until, func() { m.setSlowness(slow, 1) })
	for m.now < mixLength {
		e := heap.Pop(&m.pending).(event)
		m.driver.Advance(e.at - m.now)
		m.now = e.at
		e.do()
	}
	return m
}

// TestInteractiveRequestsBesideScoringCalls guards against scoring calls that take the
// slots for which interactive requests wait, and against scoring calls that are sent after
// their limit. The load pattern is a burst of interactive requests while the endpoints are
// slower than usual, beside the scoring calls of one worker. Endpoints of the same score
// are picked in random order, so that shares are means of several runs.
func TestInteractiveRequestsBesideScoringCalls(t *testing.T) {
	const (
		runs        = 3
		slowness    = 2
		burst       = 1500 * time.Millisecond
		interactive = 1100
		scoring     = 60
	)
	for _, processes := range []int{6, 55, 360} {
		t.Run(fmt.Sprint(processes, " processes"), func(t *testing.T) {
			share := func(scoring float64, background bool) (inTime float64) {
				for range runs {
					m := runMix(processes, mixEndpoints, slowness, burst, interactive, scoring, background)
					inTime += float64(m.inTime) / float64(m.interactive) / runs
					if !background {
						continue
					}
					if limit := mixMaxWait + mixRecheck; m.longest > limit {
						t.Errorf("a scoring call waited %v, want at most %v", m.longest, limit)
					}
					if len(m.waiting) > 0 && m.now-m.waiting[0].began > mixMaxWait+mixRecheck {
						t.Errorf("a scoring call still waits after %v", m.now-m.waiting[0].began)
					}
					if rest := m.calls - m.ended - len(m.waiting); rest > mixEndpoints*simSlots {
						t.Errorf("%d of %d scoring calls neither ended nor wait", rest, m.calls)
					}
				}
				return inTime
			}
			alone, urgent, background := share(0, true), share(scoring, false), share(scoring, true)
			t.Logf("interactive requests in time: %.3f without scoring calls, %.3f beside urgent ones, %.3f beside background ones", alone, urgent, background)
			if background < alone-0.2 || alone-background > 0.7*(alone-urgent) {
				t.Errorf("%.3f of the interactive requests in time beside background calls, %.3f without, %.3f beside urgent ones; want most of the loss avoided", background, alone, urgent)
			}
		})
	}
}

// TestScoringCallsInCalm guards against background calls that wait although endpoints
// have free slots, with usual load and right after a start, when nothing is known of the
// endpoints.
func TestScoringCallsInCalm(t *testing.T) {
	for _, processes := range []int{6, 55, 360} {
		m := runMix(processes, 0, 1, time.Second, 600, 60, true)
		if m.longest > 0 {
			t.Errorf("%d processes: a scoring call waited %v in calm", processes, m.longest)
		}
	}
	timers, _ := clock.NewDriven(time.Unix(1000, 0))
	f := NewFleet(timers, Options{Overcommit: 1})
	for i := range mixEndpoints {
		f.Put(Entry{ID: fmt.Sprint("e", i), Service: "svc", Slots: simSlots, Address: fmt.Sprint("e", i)})
	}
	sent := 0
	for range 200 {
		if _, found := f.Pick(Requirements{Service: "svc", Background: true}); found {
			sent++
		}
	}
	if want := mixEndpoints * simSlots / 2; sent != want {
		t.Errorf("%d background calls sent to endpoints without reports, want %d", sent, want)
	}
	if _, found := f.Pick(Requirements{Service: "svc"}); !found {
		t.Error("no slot for an interactive request beside background calls")
	}
}

// Guards against background calls to endpoints without headroom, and against endpoints
// that never get one again.
func TestHeadroom(t *testing.T) {
	cases := []struct {
		name string
		o    occupancy
		want bool
	}{
		{"unknown, idle", occupancy{slots: 6}, true},
		{"unknown, half of the slots", occupancy{slots: 6, inFlight: 3}, false},
		{"unknown, one slot", occupancy{slots: 1}, true},
		{"unknown slots", occupancy{}, true},
		{"free", occupancy{slots: 6, reported: true, load: Load{Running: 3}}, true},
		{"reserve left", occupancy{slots: 6, reported: true, load: Load{Running: 4}}, false},
		{"sent since the report", occupancy{slots: 6, reported: true, load: Load{Running: 2}, sent: 2, inFlight: 2}, false},
		{"more in flight than reported", occupancy{slots: 6, reported: true, inFlight: 4}, false},
		{"waiting", occupancy{slots: 6, reported: true, load: Load{Running: 1, Waiting: 1}}, false},
		{"one slot, idle", occupancy{slots: 1, reported: true}, true},
		{"two slots, one free", occupancy{slots: 2, reported: true, load: Load{Running: 1}}, false},
		{"old report with waiting", occupancy{slots: 6, reported: true, load: Load{Running: 6, Waiting: 4}, age: time.Second}, true},
		{"old report with waiting, one sent", occupancy{slots: 6, reported: true, load: Load{Running: 6, Waiting: 4}, age: time.Second, inFlight: 1}, false},
		{"very old report with waiting", occupancy{slots: 6, reported: true, load: Load{Running: 6, Waiting: 4}, age: time.Minute, inFlight: 2}, true},
		{"old report, slots in use", occupancy{slots: 6, reported: true, load: Load{Running: 5}, age: time.Second, inFlight: 1}, false},
		{"old report with room", occupancy{slots: 6, reported: true, age: time.Second, inFlight: 2}, true},
	}
	for _, c := range cases {
		if got := c.o.headroom(); got != c.want {
			t.Errorf("%s: headroom %v, want %v", c.name, got, c.want)
		}
	}
}
