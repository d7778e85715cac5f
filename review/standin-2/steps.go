package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["steps"] = playSteps }

const (
	stepsTrainers  = 3
	stepsFor       = 104 * time.Second // from the start of the case
	stepsGroups    = 20
	stepsBody      = 140_000 // bytes of the body of an item, before it is encoded
	stepsSmallBody = 300     // without the trouble
	stepsPause     = 100 * time.Millisecond
)

// playSteps lets trainers run one step after the other, with long bodies, and other clients of the same tenant read them.
func playSteps(w *world, trouble bool) {
	if !w.build(2, 3, 2, 20, 5*time.Millisecond) {
		return
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	ends := map[string]int{}
	var mu sync.Mutex
	for _, p := range w.processes {
		all.Go(func() {
			n := w.enforceMemory(p, stop)
			mu.Lock()
			defer mu.Unlock()
			ends[p.name] = n
		})
	}
	for i, p := range w.entries {
		all.Go(func() { w.ordinary(i, p, stop) })
	}
	size := stepsSmallBody
	if trouble {
		size = stepsBody
	}
	for range stepsTrainers {
		go func() { // not waited for: a step under way would make the run longer than it may be
			for {
				select {
				case <-stop:
					return
				case <-time.After(stepsPause):
				}
				w.longStep(size)
			}
		}()
	}
	time.Sleep(time.Until(w.began.Add(stepsFor)))
	close(stop)
	all.Wait()
	w.judgeEnds(ends)
}

// longStep submits a step, reads its results, lets other clients read them at all machines, and ends it.
func (w *world) longStep(size int) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	b := newBatch(id, "m0", stepsGroups, groupSize, size, false)
	began, accepted := time.Now(), false
	for try := 0; !accepted && try < 4; try++ {
		a := w.entries[rand.IntN(len(w.entries))].submit(id, b, keys["acme"])
		if accepted = a.status == http.StatusAccepted; !accepted {
			w.note("step %s is not accepted: %d %v", id, a.status, a.err)
			time.Sleep(300 * time.Millisecond)
		}
	}
	if !accepted {
		return
	}
	read := map[string]bool{}
	for len(read) < len(b.Items) && time.Since(began) < stepLimit {
		a, out := w.entries[rand.IntN(len(w.entries))].results(id, len(read), time.Second, keys["acme"])
		if a.status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
		for _, r := range out.Results {
			read[r.ID] = true
		}
	}
	w.note("step %s of %s: %d of %d results after %v", id, w.at(began), len(read), len(b.Items), time.Since(began))
	var others sync.WaitGroup
	for _, p := range w.entries {
		others.Go(func() { _, _ = p.results(id, 0, 0, keys["acme"]) })
	}
	others.Wait()
	for try := 0; try < 5 && w.entries[rand.IntN(len(w.entries))].end(id, keys["acme"]).status != http.StatusOK; try++ {
		time.Sleep(200 * time.Millisecond)
	}
}
