package queue

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
)

// simulation runs accounts that each keep a number of requests outstanding
// against a number of slots, on a simulated clock.
type simulation struct {
	queue   *Queue
	driver  *clock.Driver
	timers  *clock.Service
	free    int
	peers   map[string]int64
	started chan run
	refused chan error
	running []run
	// outstanding is the number of requests that were sent and have not ended.
	outstanding int
}

type run struct {
	turn *Turn
	end  time.Time
}

func newSimulation(slots int) *simulation {
	s := &simulation{free: slots, peers: map[string]int64{}, started: make(chan run, 4096), refused: make(chan error, 4096)}
	s.timers, s.driver = clock.NewDriven(time.Unix(1000, 0))
	s.queue = New(s.timers, meter.NewSet(), Seams{
		RemoteCost: func(account string) int64 { return s.peers[account] }, Changed: func() <-chan struct{} { return nil },
	})
	return s
}

// send queues a request and returns once it waits, runs or was refused.
func (s *simulation) send(item Item) {
	item.Model, item.Deadline = "m", s.timers.Now().Add(max(item.Deadline.Sub(time.Time{}), time.Millisecond))
	item.Start = func() (bool, error) {
		if s.free == 0 {
			return false, nil
		}
		s.free--
		return true, nil
	}
	s.outstanding++
	go func() {
		turn, err := s.queue.Wait(context.Background(), item)
		if err != nil {
			s.refused <- err
			return
		}
		s.started <- run{turn, s.timers.Now().Add(time.Duration(item.Cost) * time.Millisecond)}
	}()
	s.settle()
}

// settle waits until each request is waiting, running or refused.
func (s *simulation) settle() {
	for {
		select {
		case r := <-s.started:
			s.running = append(s.running, r)
			continue
		default:
		}
		waiting := 0
		for _, n := range s.queue.Waiting() {
			waiting += n
		}
		if waiting+len(s.running)+len(s.refused) == s.outstanding {
			return
		}
		runtime.Gosched()
	}
}

// finish advances the clock to the end of the request that ends next, ends it
// and returns its turn.
func (s *simulation) finish() *Turn {
	first := slices.MinFunc(s.running, func(a, b run) int { return a.end.Compare(b.end) })
	s.running = slices.DeleteFunc(s.running, func(r run) bool { return r.turn == first.turn })
	s.driver.Advance(first.end.Sub(s.timers.Now()))
	s.free++
	s.outstanding--
	first.turn.Done()
	s.settle()
	return first.turn
}

// Guards against accounts that get less than their share because others send
// more, larger or earlier requests, and against refusals that come late or
// without a retry-after time.
func TestQueue(t *testing.T) {
	datadriven.RunTest(t, "testdata/queue", func(t *testing.T, d *datadriven.TestData) string {
		slots := 4
		d.MaybeScanArgs(t, "slots", &slots)
		s := newSimulation(slots)
		if d.Cmd == "refuse" {
			return s.refuse(t, d)
		}
		type load struct {
			weight  float64
			cost    int64
			backlog int
			served  int64
			longest time.Duration
		}
		loads := map[string]*load{}
		var names []string
		for _, line := range strings.Split(d.Input, "\n") {
			var name string
			l := &load{}
			if _, err := fmt.Sscanf(line, "%s weight=%f cost=%d backlog=%d peers=%d", &name, &l.weight, &l.cost, &l.backlog, new(int64)); err != nil {
				t.Fatal(err)
			}
			var peers int64
			fmt.Sscan(line[strings.Index(line, "peers=")+6:], &peers)
			s.peers[name] = peers
			loads[name], names = l, append(names, name)
		}
		send := func(name string) {
			l := loads[name]
			s.send(Item{Account: name, Weight: l.weight, Cost: l.cost, Deadline: time.Time{}.Add(time.Hour)})
		}
		for _, name := range names {
			for range loads[name].backlog {
				send(name)
			}
		}
		begin := s.timers.Now()
		for s.timers.Since(begin) < 100*time.Second {
			turn := s.finish()
			l := loads[turn.item.Account]
			l.served += turn.item.Cost
			l.longest = max(l.longest, turn.Waited)
			send(turn.item.Account)
		}
		var out []string
		for _, name := range names {
			out = append(out, fmt.Sprintf("%s: served %d s, longest wait %d ms", name, loads[name].served/1000, loads[name].longest.Milliseconds()))
		}
		return strings.Join(out, "\n")
	})
}

// refuse runs one request of 100 ms to completion, so that the queue knows the
// time per unit of cost, and then sends twelve more with the given limit and
// deadline.
func (s *simulation) refuse(t *testing.T, d *datadriven.TestData) string {
	var limit, deadline int
	d.ScanArgs(t, "limit", &limit)
	d.ScanArgs(t, "deadline", &deadline)
	item := Item{Account: "a", Weight: 1, Cost: 100, MaxWaiting: limit, Deadline: time.Time{}.Add(time.Duration(deadline) * time.Millisecond)}
	s.send(item)
	s.finish()
	for range 12 {
		s.send(item)
	}
	out := []string{fmt.Sprintf("waiting %d, refused %d", s.queue.Waiting()["a"], len(s.refused))}
	appendRefusals := func() {
		for len(s.refused) > 0 {
			coded := code.Of(<-s.refused)
			s.outstanding--
			line := fmt.Sprintf("%s run=%s retry=%s", coded.Code, coded.Run, coded.RetryAfter)
			if !slices.Contains(out, line) {
				out = append(out, line)
			}
		}
	}
	appendRefusals()
	if d.HasArg("stall") {
		// The running requests go on for far longer than expected.
		s.driver.Advance(200 * time.Millisecond)
		s.queue.Recheck()
		s.settle()
		out = append(out, fmt.Sprintf("after 200 ms: waiting %d, refused %d", s.queue.Waiting()["a"], len(s.refused)))
		appendRefusals()
	}
	return strings.Join(out, "\n")
}

// Guards against a background request that misses its limit behind one of its account
// with more time, and against the refusal of one that may still wait.
func TestBackgroundRequestsInTheOrderOfTheirLimits(t *testing.T) {
	s := newSimulation(1)
	item := Item{Account: "a", Weight: 1, Cost: 100, Deadline: time.Time{}.Add(time.Minute)}
	s.send(item)
	s.finish() // the time per unit of cost is known
	s.send(item)
	for _, limit := range []int{5, 1, 3, 2, 4} {
		urgent := s.timers.Now().Add(time.Duration(limit) * time.Second)
		s.send(Item{Account: "a", Weight: 1, Cost: 100, Urgent: urgent, MaxRunning: limit, Deadline: time.Time{}.Add(time.Millisecond)})
	}
	s.queue.Recheck()
	s.settle()
	var order []int
	for range 6 {
		if turn := s.finish(); turn.item.MaxRunning > 0 {
			order = append(order, turn.item.MaxRunning)
		}
	}
	if want := []int{1, 2, 3, 4, 5}; !slices.Equal(order, want) || len(s.refused) > 0 {
		t.Errorf("started in the order %v with %d refused, want %v", order, len(s.refused), want)
	}
}

// Guards against a rate in units of cost: with costs in microseconds, refused callers
// would all be told to come back at once.
func TestRateIsInRequests(t *testing.T) {
	s := newSimulation(2)
	item := Item{Account: "a", Weight: 1, Cost: 100, Deadline: time.Time{}.Add(time.Hour)}
	for range 3 {
		s.send(item)
	}
	s.finish()
	if got := s.queue.Rate("m"); got < 19.9 || got > 20.1 {
		t.Errorf("%.2f requests a second, want 20 with two slots and 100 ms each", got)
	}
}

// Guards against accounts that are remembered forever, and against ones that are forgotten
// while their requests run.
func TestIdleAccountsAreForgotten(t *testing.T) {
	s := newSimulation(1000)
	for i := range 10 * minForgetAt {
		s.send(Item{Account: "busy", Weight: 1, Cost: 1_000_000, Deadline: time.Time{}.Add(time.Hour)})
		s.send(Item{Account: "idle-" + strings.Repeat("x", i), Weight: 1, Cost: 100, Deadline: time.Time{}.Add(time.Hour)})
		s.finish()
		s.driver.Advance(time.Second)
	}
	if n := len(s.queue.accounts); n > 3*minForgetAt || s.queue.accounts["busy"].running < minForgetAt {
		t.Errorf("%d accounts known, %d requests of the busy one run", n, s.queue.accounts["busy"].running)
	}
}
