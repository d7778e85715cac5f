package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["pill"] = playPill }

const (
	pillEnd     = 75 * time.Second // from the start of the case
	pillCalm    = 5 * time.Second
	pillLimit   = 8 * time.Second // of the client that sends a batch
	pillBatches = 8
	pillItems   = 80_000 // of a batch
)

// playPill lets one client submit a few batches of very many short items.
func playPill(w *world, trouble bool) {
	if !w.build(2, 3, 2, 40, 10*time.Millisecond) {
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
	for range trainers {
		all.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				w.step("m0")
			}
		})
	}
	time.Sleep(pillCalm)
	for n := range pillBatches {
		if trouble {
			w.submitPill(fmt.Sprintf("p%d", n))
		}
	}
	time.Sleep(time.Until(w.began.Add(pillEnd)))
	close(stop)
	all.Wait()
	w.judgeEnds(ends)
}

// submitPill lets a client submit a batch of short items until it is accepted.
func (w *world) submitPill(id string) {
	body := pill(id)
	for try := range 6 {
		a := w.entries[try%len(w.entries)].call(http.MethodPost, "/feed/"+id, keys["birch"], id, map[string]string{"Content-Type": "application/json"}, body, pillLimit)
		w.note("the batch %s of %d items, %d bytes: %d %v after %v", id, pillItems, len(body), a.status, a.err, a.arrived.Sub(a.sent))
		if a.status == http.StatusAccepted {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// pill returns a batch of short items.
func pill(id string) []byte {
	out := bytes.NewBufferString(`{"step":0,"model":"m0","minVersion":1,"desiredCount":1,"items":[`)
	items := make([]string, 0, pillItems)
	for n := range pillItems {
		items = append(items, fmt.Sprintf(`{"id":"%s%x","path":"/feed/%s/","headers":{},"body":"","tokens":9,"group":"%x"}`, id, n, id, n/4))
	}
	out.WriteString(strings.Join(items, ",") + "]}")
	return out.Bytes()
}
