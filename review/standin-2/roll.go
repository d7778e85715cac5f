package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["roll"] = playRoll }

const (
	stepLimit = 12 * time.Second        // the trainer's time limit
	catchUp   = 4700 * time.Millisecond // a machine counts as lost until this long after its start
	steadyFor = 5 * time.Second         // of rule LOST
	stopPause = 300 * time.Millisecond  // beyond catchUp, before the next machine is stopped
	downFor   = 500 * time.Millisecond  // from the end of a process to its next start

	fillFor     = 57 * time.Second // how long clients submit large batches and end them
	fillClients = 3
	fillPause   = 450 * time.Millisecond // of a client between two of them
	largeGroups = 20
	largeBody   = 60_000 // bytes of the body of an item
	groupSize   = 4
	observeFor  = 24 * time.Second // after the last restart
	trainers    = 3
)

// step is a batch of which the trainer waits for all groups.
type step struct {
	id        string
	batch     wireBatch
	submitted time.Time
	accepted  bool
	read      map[string]bool
}

// playRoll stops and starts the workers in turn, after clients have submitted and ended many large batches.
func playRoll(w *world, trouble bool) {
	if !w.build(2, 3, 2, 40, 10*time.Millisecond) {
		return
	}
	w.fill()
	stop := make(chan struct{})
	var training sync.WaitGroup
	var mu sync.Mutex
	var steps []*step
	for range trainers {
		training.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				s := w.step("m0")
				mu.Lock()
				steps = append(steps, s)
				mu.Unlock()
			}
		})
	}
	time.Sleep(4 * time.Second)
	started := []time.Time{}
	for i, p := range w.workers {
		if i > 0 {
			time.Sleep(catchUp + stopPause)
		}
		if trouble {
			p.restart(syscall.SIGTERM, downFor)
			started = append(started, time.Now())
		}
	}
	time.Sleep(observeFor)
	close(stop)
	training.Wait()
	for _, s := range steps {
		w.judge(s, started)
	}
}

// fill lets clients submit large batches and end them for a while.
func (w *world) fill() {
	var all sync.WaitGroup
	var mu sync.Mutex
	count := 0
	end := time.Now().Add(fillFor)
	for c := range fillClients {
		all.Go(func() {
			for time.Now().Before(end) {
				id := fmt.Sprintf("%016x", rand.Uint64())
				b := newBatch(id, "m0", largeGroups, groupSize, largeBody, false)
				p := w.entries[c%len(w.entries)]
				if a := p.submit(id, b, keys["birch"]); a.status != http.StatusAccepted {
					w.note("large batch %s: %d %v", id, a.status, a.err)
					time.Sleep(300 * time.Millisecond)
					continue
				}
				mu.Lock()
				count++
				mu.Unlock()
				for p.end(id, keys["birch"]).status != http.StatusOK && time.Now().Before(end) {
					time.Sleep(200 * time.Millisecond)
				}
				time.Sleep(fillPause)
			}
		})
	}
	all.Wait()
	w.note("%d large batches were submitted and ended", count)
}

// step submits a step, reads its results until all are there or its time is up, and ends it.
func (w *world) step(model string) *step {
	id := fmt.Sprintf("%016x", rand.Uint64())
	s := &step{id: id, batch: newBatch(id, model, 20, groupSize, 300, false), submitted: time.Now(), read: map[string]bool{}}
	for try := 0; time.Since(s.submitted) < 4*time.Second; try++ {
		if a := w.entries[rand.IntN(len(w.entries))].submit(id, s.batch, keys["acme"]); a.status == http.StatusAccepted {
			s.accepted = true
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	for s.accepted && len(s.read) < len(s.batch.Items) && time.Since(s.submitted) < stepLimit {
		p := w.entries[rand.IntN(len(w.entries))]
		wait := min(time.Second, stepLimit-time.Since(s.submitted))
		a, out := p.results(id, len(s.read), wait, keys["acme"])
		if a.status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
		for _, r := range out.Results {
			s.read[r.ID] = true
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.note("step %s of %s: %d of %d results after %v", id, w.at(s.submitted), len(s.read), len(s.batch.Items), time.Since(s.submitted))
	for try := 0; s.accepted && try < 5; try++ {
		if w.entries[rand.IntN(len(w.entries))].end(id, keys["acme"]).status == http.StatusOK {
			break
		}
	}
	return s
}

// judge checks rule LOST for a step that ran out of time.
func (w *world) judge(s *step, started []time.Time) {
	limit := s.submitted.Add(stepLimit)
	if !s.accepted || len(s.read) == len(s.batch.Items) {
		return
	}
	steady := s.submitted
	for _, at := range started {
		if at.Before(limit) && at.Add(catchUp).After(steady) {
			steady = at.Add(catchUp)
		}
	}
	last, done, begun := map[string]time.Time{}, map[string]bool{}, false
	for _, r := range w.allRuns() {
		if !strings.HasPrefix(r.id, s.id+"-") || r.at.After(limit) {
			continue
		}
		begun = true
		end := r.end
		if end.IsZero() || end.After(limit) {
			end = limit
		}
		if end.After(last[r.id]) {
			last[r.id] = end
		}
		done[r.id] = done[r.id] || r.outcome == "finished" && !r.end.After(limit)
	}
	busy := w.running(limit)
	lost, longest := 0, time.Duration(0)
	for _, item := range s.batch.Items {
		from := steady
		if last[item.ID].After(from) {
			from = last[item.ID]
		}
		if !done[item.ID] && limit.Sub(from) >= steadyFor {
			lost++
			longest = max(longest, limit.Sub(from))
		}
	}
	slots := 0
	for _, e := range w.replicas {
		if e.versions != nil {
			slots += engineSlots
		}
	}
	if lost > 0 && begun && 2*busy < slots {
		w.broke("LOST: step %s, submitted at %s, ran out of time while %d of its items, which no replica had finished, had been at no replica for 5 s of steady state (%v at most), with %d of %d slots in use", s.id, w.at(s.submitted), lost, longest, busy, slots)
	}
	w.note("step %s ran out of time: %d items lost, begun %v, steady from %s, limit %s", s.id, lost, begun, w.at(steady), w.at(limit))
}

// running returns the largest number of items at the engines within the 5 s before a time.
func (w *world) running(limit time.Time) int {
	most := 0
	for at := limit.Add(-steadyFor); !at.After(limit); at = at.Add(100 * time.Millisecond) {
		count := 0
		for _, r := range w.allRuns() {
			if strings.HasPrefix(r.path, "/feed/") && r.outcome != "shed" && !r.at.After(at) && (r.end.IsZero() || r.end.After(at)) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
