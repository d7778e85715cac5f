package cost

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	replaySlots  = 6
	replayWork   = 21 * time.Millisecond
	replayWay    = time.Millisecond // one-way latency
	replayLength = 5 * time.Second
	replayWarmup = time.Second
	// replayReportAge is the age up to which a process uses a load report.
	replayReportAge = 400 * time.Millisecond
)

// replay is a load on endpoints of different speed by processes without coordination.
type replay struct {
	processes, endpoints int
	load                 float64 // part of the capacity of all endpoints at usual speed
	reports              bool    // endpoints report their pace
	flips                bool    // an endpoint in eight is 2.5 times slower for 600 ms at a time
	uneven               bool    // speeds of 0.6, 1 and 1.6
	falsely              bool    // endpoint 0 always reports that it is free and fast
	delay                time.Duration
	lost                 time.Duration // half of the endpoints end at this time
	model                bool          // use the cost model; else requests by slots, as before
}

type replayEvent struct {
	at time.Duration
	do func()
}

type replayEvents []replayEvent

func (e replayEvents) Len() int           { return len(e) }
func (e replayEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e replayEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)        { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// replayView is what a process knows of an endpoint.
type replayView struct {
	inFlight, reported int
	reportedAt         time.Duration
	speed              Speed
}

type replayServer struct {
	running int
	queue   []func()
	served  int
}

type replayRun struct {
	replay
	now     time.Duration
	pending replayEvents
	random  *rand.Rand
	servers []replayServer
	views   [][]replayView
	models  []Model
	chooser Chooser
	times   []time.Duration
}

func (r *replayRun) after(d time.Duration, do func()) {
	heap.Push(&r.pending, replayEvent{r.now + d, do})
}

// pace returns the actual pace of an endpoint.
func (r *replayRun) pace(i int) float64 {
	pace := 1.0
	if r.uneven {
		pace = []float64{0.6, 1, 1.6}[i%3]
	}
	if r.flips && (int(r.now/(600*time.Millisecond))+i)%8 == 0 {
		pace *= 2.5
	}
	return pace
}

func (r *replayRun) alive() int {
	if r.lost > 0 && r.now >= r.lost {
		return r.endpoints / 2
	}
	return r.endpoints
}

// choose returns the endpoint for a request of the process.
func (r *replayRun) choose(process int) int {
	var candidates []Candidate
	offset := r.random.IntN(r.alive()) // random order among equal ones
	for n := range r.alive() {
		v := &r.views[process][(n+offset)%r.alive()]
		ahead := v.inFlight
		if v.reportedAt > 0 && r.now-v.reportedAt < replayReportAge {
			ahead = max(ahead, v.reported)
		}
		pace := 1.0
		if r.model {
			pace = v.speed.Pace(start.Add(r.now))
		}
		candidates = append(candidates, Candidate{Finish: Finish(Queue{Ahead: float64(ahead), Slots: replaySlots}, 1, pace), Pace: pace, Reports: r.model && v.speed.Reports(start.Add(r.now))})
	}
	chosen := 0
	if r.model {
		chosen = r.chooser.Choose(candidates, r.random.Float64)
	} else {
		for i, c := range candidates {
			if c.Finish < candidates[chosen].Finish {
				chosen = i
			}
		}
	}
	return (chosen + offset) % r.alive()
}

func (r *replayRun) send(process int) {
	i, began := r.choose(process), r.now
	v, server := &r.views[process][i], &r.servers[i]
	v.inFlight++
	work := time.Duration(float64(replayWork) * (0.8 + 0.4*r.random.Float64()))
	var run func()
	run = func() {
		server.running++
		r.after(time.Duration(float64(work)*r.pace(i)), func() {
			server.running--
			if len(server.queue) > 0 {
				next := server.queue[0]
				server.queue = server.queue[1:]
				next()
			}
			waiting, load, pace := len(server.queue), server.running+len(server.queue), r.pace(i)
			if r.falsely && i == 0 {
				waiting, load, pace = 0, 0, 0.25
			}
			r.after(replayWay, func() { r.finish(process, i, began) })
			r.after(replayWay+r.delay, func() {
				v.reported, v.reportedAt = load, r.now
				if r.reports {
					v.speed = v.speed.WithReport(pace, start.Add(r.now))
				}
				r.learn(process, i, began, waiting)
			})
		})
	}
	r.after(replayWay, func() {
		if server.running < replaySlots {
			run()
		} else {
			server.queue = append(server.queue, run)
		}
	})
}

func (r *replayRun) finish(process, i int, began time.Duration) {
	r.views[process][i].inFlight--
	if began > replayWarmup {
		r.times = append(r.times, r.now-began)
		r.servers[i].served++
	}
}

func (r *replayRun) learn(process, i int, began time.Duration, waiting int) {
	if waiting > 0 {
		return
	}
	v, m, now := &r.views[process][i], &r.models[process], start.Add(r.now)
	took := r.now - r.delay - began
	if ratio, known := m.Ratio(Class{}, took); known {
		v.speed = v.speed.WithTime(ratio, now)
	}
	m.Observe(Class{}, took, v.speed.Reported(now))
}

type replayResult struct {
	mean, p95, p99 time.Duration
	shares         []float64
}

func (r replay) run() replayResult {
	s := &replayRun{
		replay: r, random: rand.New(rand.NewPCG(7, 8)), servers: make([]replayServer, r.endpoints), models: make([]Model, r.processes),
	}
	for range r.processes {
		s.views = append(s.views, make([]replayView, r.endpoints))
	}
	rate := r.load * float64(r.endpoints*replaySlots) / replayWork.Seconds()
	var arrive func()
	arrive = func() {
		s.send(s.random.IntN(r.processes))
		s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	arrive()
	for len(s.pending) > 0 {
		e := heap.Pop(&s.pending).(replayEvent)
		if e.at > replayLength {
			break
		}
		s.now = e.at
		e.do()
	}
	slices.Sort(s.times)
	result := replayResult{p95: s.times[len(s.times)*95/100], p99: s.times[len(s.times)*99/100]}
	var sum time.Duration
	for _, took := range s.times {
		sum += took
	}
	result.mean = sum / time.Duration(len(s.times))
	for _, server := range s.servers {
		result.shares = append(result.shares, float64(server.served)/float64(len(s.times)))
	}
	return result
}

// Guards against decisions that get worse with the model than by requests over slots: for
// uneven endpoints, endpoints that are slow for part of a second, late and false
// reports, few and many processes, and half of the endpoints lost. The bounds leave room
// for other rounding: the runs are the same each time on one kind of processor.
func TestReplays(t *testing.T) {
	for _, c := range []struct {
		name string
		replay
		atMost [3]float64 // the 95th percentile relative to the previous decision, at 6, 55 and 360 processes
	}{
		{"equal", replay{load: 0.6}, [3]float64{1.1, 1.1, 1.1}},
		{"uneven, reported", replay{load: 0.6, uneven: true, reports: true}, [3]float64{0.8, 0.7, 0.7}},
		// 360 processes hear of an endpoint every two seconds: too rarely to learn its speed.
		{"uneven, unreported", replay{load: 0.6, uneven: true}, [3]float64{1, 0.8, 1.2}},
		{"flips, reported", replay{load: 0.6, flips: true, reports: true}, [3]float64{0.9, 0.9, 1.2}},
		{"uneven and flips, reported", replay{load: 0.6, uneven: true, flips: true, reports: true}, [3]float64{0.8, 0.4, 0.7}},
		{"uneven and flips, unreported", replay{load: 0.6, uneven: true, flips: true}, [3]float64{0.9, 0.6, 1.1}},
		// A report that is 300 ms late and not known to be late is wrong half of the time
		// in a flip of 600 ms. It costs more the more it is relied upon, and stays bounded.
		{"late reports", replay{load: 0.6, uneven: true, flips: true, reports: true, delay: 300 * time.Millisecond}, [3]float64{2, 2, 0.9}},
		{"false report", replay{load: 0.6, uneven: true, reports: true, falsely: true}, [3]float64{0.9, 0.6, 0.7}},
		{"half of the endpoints lost", replay{load: 0.4, uneven: true, reports: true, lost: 2 * time.Second}, [3]float64{0.9, 0.4, 0.4}},
	} {
		for i, processes := range []int{6, 55, 360} {
			t.Run(fmt.Sprint(c.name, "/", processes), func(t *testing.T) {
				t.Parallel()
				c := c
				c.processes, c.endpoints = processes, 16
				before := c.run()
				c.model = true
				after := c.run()
				t.Logf("mean %v -> %v, p95 %v -> %v, p99 %v -> %v", before.mean, after.mean, before.p95, after.p95, before.p99, after.p99)
				t.Logf("shares %.3f -> %.3f", before.shares, after.shares)
				if relative := float64(after.p95) / float64(before.p95); relative > c.atMost[i] {
					t.Errorf("95th percentile %v, previously %v", after.p95, before.p95)
				}
				if relative := float64(after.mean) / float64(before.mean); relative > 1.2 {
					t.Errorf("mean %v, previously %v", after.mean, before.mean)
				}
				for i, share := range after.shares {
					if c.lost == 0 && share < 0.001 {
						t.Errorf("endpoint %d gets %.4f of the requests", i, share)
					}
					if c.lost == 0 && share > 2.0*2/16 {
						t.Errorf("endpoint %d gets %.3f of the requests", i, share)
					}
				}
			})
		}
	}
}
