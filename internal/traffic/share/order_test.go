package share

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/traffic/queue"
)

// queued is the queue of the first process of a system. Accounts keep a number of
// requests outstanding there; the slots that it gets do not change.
type queued struct {
	*system
	queue       *queue.Queue
	free        int
	outstanding int
	started     chan running
	running     []running
	served      map[string]time.Duration
}

type running struct {
	account string
	work    time.Duration
	turn    *queue.Turn
	end     time.Time
}

func newQueued(s *system, slots int, exchange bool) *queued {
	q := &queued{system: s, free: slots, started: make(chan running, 1024), served: map[string]time.Duration{}}
	p := s.processes[0]
	seams := queue.Seams{Changed: func() <-chan struct{} { return nil }}
	if exchange {
		seams.RemoteSlots = p.exchange.RemoteSlots
	}
	q.queue = queue.New(s.timers, meter.NewSet(), seams)
	p.exchange.SetSource(q.queue.Received)
	return q
}

func (q *queued) send(account string, work time.Duration) {
	q.outstanding++
	go func() {
		turn, err := q.queue.Wait(context.Background(), queue.Item{
			Account: account, Model: "svc", Weight: 1, Cost: work.Microseconds(), Deadline: q.timers.Now().Add(time.Hour),
			Start: func() (bool, error) {
				if q.free == 0 {
					return false, nil
				}
				q.free--
				return true, nil
			},
		})
		if err != nil {
			panic(err) // the deadline is far off
		}
		q.started <- running{account, work, turn, q.timers.Now().Add(work)}
	}()
	q.settle()
}

// settle waits until each request runs or waits.
func (q *queued) settle() {
	for {
		select {
		case r := <-q.started:
			q.running = append(q.running, r)
			continue
		default:
		}
		waiting := 0
		for _, n := range q.queue.Waiting() {
			waiting += n
		}
		if waiting+len(q.running) == q.outstanding {
			return
		}
		runtime.Gosched()
	}
}

// serve simulates the given time. Again returns whether an account sends another request
// when one has ended.
func (q *queued) serve(length time.Duration, again func(account string) bool) {
	for end := q.timers.Now().Add(length); q.timers.Now().Before(end); {
		q.run(10 * time.Millisecond)
		for _, r := range slices.Clone(q.running) {
			if r.end.After(q.timers.Now()) {
				continue
			}
			q.running = slices.DeleteFunc(q.running, func(other running) bool { return other.turn == r.turn })
			q.outstanding--
			q.free++
			q.served[r.account] += r.work
			r.turn.Done()
			q.settle()
			if again(r.account) {
				q.send(r.account, r.work)
			}
		}
	}
}

// Guards against a flood of one account through many processes that takes half of the
// slots of the process through which a small account comes, and against a share that stays
// unused while an account that received more could use it. The load pattern is a flood
// through all processes, beside a small account that uses one.
func TestFloodThroughManyProcesses(t *testing.T) {
	for _, count := range []int{6, 55, 360} {
		for _, exchange := range []bool{false, true} {
			if !exchange && count > 6 {
				continue // a process that hears nothing does the same among any number
			}
			t.Run(fmt.Sprintf("%d processes, exchange %v", count, exchange), func(t *testing.T) {
				const slots = 2
				s := newSystem(count)
				q := newQueued(s, slots, exchange)
				for _, p := range s.processes[1:] {
					p.slots["flood"], p.waits = 1.5, true
				}
				for range 10 {
					q.send("flood", 100*time.Millisecond)
					q.send("small", 30*time.Millisecond)
				}
				always := func(string) bool { return true }
				q.serve(4*time.Second, always) // the first digests
				clear(q.served)
				q.serve(10*time.Second, always)
				part := float64(q.served["small"]) / float64(q.served["small"]+q.served["flood"])
				if exchange && part < 0.9 {
					t.Errorf("the small account got %.2f of the work here, want nearly all while the flood gets much elsewhere", part)
				}
				if !exchange && (part < 0.4 || part > 0.6) {
					t.Errorf("the small account got %.2f of the work here without an exchange, want half", part)
				}
				q.serve(4*time.Second, func(account string) bool { return account == "flood" })
				clear(q.served)
				q.serve(5*time.Second, always)
				if got := q.served["flood"]; got < 5*time.Second*slots*85/100 {
					t.Errorf("the flood got %v of work in 5 s with %d slots that no other account uses", got, slots)
				}
			})
		}
	}
}
