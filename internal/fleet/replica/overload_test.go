package replica

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
)

const (
	simSlots       = 6
	simQueue       = 24 // requests that wait at an endpoint before it rejects
	simServiceTime = 25 * time.Millisecond
	simLatency     = time.Millisecond // one-way latency between process and endpoint
	simDeadline    = 150 * time.Millisecond
	simLength      = 12 * time.Second
	simWarmup      = 2 * time.Second // time for the limits to converge; not measured
	simZone        = "a"
	simZoneLatency = 2 * time.Millisecond // added on the way to another zone
)

// event is a scheduled action of the simulation.
type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simEndpoint runs simSlots requests at a time and queues up to simQueue more.
// Its pace at a time is multiplied with its slowness; nil means 1.
type simEndpoint struct {
	slowness         time.Duration
	pace             func(now time.Duration) float64
	reports          bool // it reports its pace
	running, waiting int
	queue            []func()
}

func (e *simEndpoint) load(now time.Duration) Load {
	load := Load{Running: e.running, Waiting: e.waiting, Slots: simSlots}
	if e.reports {
		load.Pace = e.pace(now)
	}
	return load
}

// workTime returns the time of a request at the endpoint.
func (e *simEndpoint) workTime(now time.Duration, factor float64) time.Duration {
	if e.pace != nil {
		factor *= e.pace(now)
	}
	return e.slowness * time.Duration(float64(simServiceTime)*factor)
}

// overloadSim simulates processes that send more requests than their endpoints
// can run.
type overloadSim struct {
	rng       *rand.Rand
	timers    *clock.Service
	driver    *clock.Driver
	now       time.Duration
	pending   events
	fleets    []*Fleet
	endpoints map[string]*simEndpoint
	zones     map[string]string // of endpoints that are not in simZone
	spread    bool              // processes are in three zones
	class     string            // of the requests; empty means that their times teach nothing

	times []time.Duration // of answered requests

	sent, rejected, inTime int
	crossed                int // requests to another zone
	byProcess              []int
}

func (o *overloadSim) after(d time.Duration, do func()) { heap.Push(&o.pending, event{o.now + d, do}) }

// start starts or restarts a process, without any state of a previous run.
func (o *overloadSim) start(process int) {
	zone := simZone
	if o.spread {
		zone = string("abc"[process%3])
	}
	f := NewFleet(o.timers, Options{Zone: zone, Overcommit: 1.5, Shared: true})
	for id := range o.endpoints {
		f.Put(Entry{ID: id, Service: "svc", Zone: cmp.Or(o.zones[id], simZone), Slots: simSlots, Address: id})
	}
	o.fleets[process] = f
}

// arrive simulates the arrival of one request at a process, which sends it to an
// endpoint or drops it.
func (o *overloadSim) arrive(process int) {
	slot, found := o.fleets[process].Pick(Requirements{Service: "svc", Class: o.class})
	if !found {
		return
	}
	e, began, measured := o.endpoints[slot.Entry.ID], o.now, o.now > simWarmup
	latency := simLatency
	if slot.Entry.Zone != o.fleets[process].options.Zone {
		latency += simZoneLatency
	}
	if measured {
		o.sent++
		if latency > simLatency {
			o.crossed++
		}
	}
	finish := func(outcome Outcome) {
		load := e.load(o.now)
		o.after(latency, func() {
			slot.Report(load)
			slot.Done(outcome)
			if measured && outcome == Answered {
				o.times = append(o.times, o.now-began)
			}
			if measured && outcome == Answered && o.now-began <= simDeadline {
				o.inTime++
				o.byProcess[process]++
			}
			if measured && outcome == Rejected {
				o.rejected++
			}
		})
	}
	o.occupy(e, latency, func() time.Duration { return e.workTime(o.now, 0.5+o.rng.Float64()) }, finish)
}

// occupy simulates a request at an endpoint, where it arrives after latency. It waits while
// all slots are in use, and is rejected if the queue is full. work returns the time that it
// runs, when it starts.
func (o *overloadSim) occupy(e *simEndpoint, latency time.Duration, work func() time.Duration, finish func(Outcome)) {
	run := func() {
		e.running++
		o.after(work(), func() {
			e.running--
			finish(Answered)
			if e.waiting > 0 {
				next := e.queue[0]
				e.queue = e.queue[1:]
				e.waiting--
				next()
			}
		})
	}
	o.after(latency, func() {
		switch {
		case e.running < simSlots:
			run()
		case e.waiting < simQueue:
			e.waiting++
			e.queue = append(e.queue, run)
		default:
			finish(Rejected)
		}
	})
}

// run simulates requests that arrive at factor times the capacity of the
// endpoints.
func (o *overloadSim) run(factor float64, restart bool) {
	capacity := 0.0
	for _, e := range o.endpoints {
		capacity += simSlots / (simServiceTime * e.slowness).Seconds()
	}
	pause := time.Duration(float64(time.Second) / (capacity * factor))
	var next func()
	next = func() {
		o.arrive(o.rng.IntN(len(o.fleets)))
		o.after(time.Duration(2*o.rng.Float64()*float64(pause)), next)
	}
	o.after(0, next)
	if restart {
		o.after(simLength/2, func() {
			for p := 0; p < len(o.fleets); p += 2 {
				o.start(p)
			}
		})
	}
	for o.now < simLength {
		e := heap.Pop(&o.pending).(event)
		o.driver.Advance(e.at - o.now)
		o.now = e.at
		e.do()
	}
}

// TestOverload guards against processes that together fill the queues of the
// endpoints. Under lasting overload the endpoints must run close to their
// capacity within the deadline, few requests may be rejected, and no process may
// starve. The load pattern is that of lookups at many times the usual rate while
// most endpoints of their service are gone.
func TestOverload(t *testing.T) {
	cases := []struct {
		processes, endpoints int
		factor               float64
		slowness             time.Duration
		restart              bool
	}{
		{2, 1, 2, 1, false},
		{8, 1, 2, 1, false},
		{8, 1, 8, 1, false},
		{8, 1, 60, 1, false},
		{8, 3, 8, 1, false},
		{8, 1, 8, 2, false},
		{8, 1, 8, 1, true},
		{80, 5, 2, 1, false},
		{80, 5, 8, 1, false},
		{80, 5, 8, 1, true},
		{80, 1, 60, 1, false},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d processes, %d endpoints, %gx, slowness %d, restart %v", c.processes, c.endpoints, c.factor, c.slowness, c.restart), func(t *testing.T) {
			o := &overloadSim{rng: rand.New(rand.NewPCG(1, 1)), endpoints: map[string]*simEndpoint{}, fleets: make([]*Fleet, c.processes)}
			o.timers, o.driver = clock.NewDriven(time.Unix(1000, 0))
			o.byProcess = make([]int, c.processes)
			for i := range c.endpoints {
				o.endpoints[fmt.Sprint("e", i)] = &simEndpoint{slowness: c.slowness}
			}
			for p := range o.fleets {
				o.start(p)
			}
			o.run(c.factor, c.restart)
			capacity := float64(c.endpoints) * simSlots / (simServiceTime * c.slowness).Seconds() * (simLength - simWarmup).Seconds()
			t.Logf("completed %.2f of the capacity in time, %.3f of the requests rejected, in time by process %v", float64(o.inTime)/capacity, float64(o.rejected)/float64(o.sent), o.byProcess)
			if float64(o.inTime) < 0.9*capacity {
				t.Errorf("%d requests in time, want at least nine tenths of the capacity of %.0f", o.inTime, capacity)
			}
			if 10*o.rejected > o.sent {
				t.Errorf("%d of %d requests rejected, want at most a tenth", o.rejected, o.sent)
			}
			fair := float64(o.inTime) / float64(c.processes)
			for p, n := range o.byProcess {
				if float64(n) < fair/3 {
					t.Errorf("process %d had %d requests in time, want at least a third of the average of %.0f", p, n, fair)
				}
			}
		})
	}
}
