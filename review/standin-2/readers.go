package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["readers"] = playReaders }

const (
	readersSize   = 500 // clients at each of crowdTargets machines
	readerBuffer  = 4 << 10
	readersAhead  = 8 // requests that a client sends without reading the answers
	readersFor    = 70 * time.Second
	readersGiveUp = 12 * time.Second // after which a reader starts anew
	readersEvents = 700              // bytes of the data of an event
)

// playReaders lets clients ask two entry machines for the results of a batch without reading the answers.
func playReaders(w *world, trouble bool) {
	if !w.build(2, 3, 2, 40, 5*time.Millisecond) {
		return
	}
	for _, e := range w.replicas {
		e.eventBytes = readersEvents
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
	id := "b0"
	b := newBatch(id, "m0", 10, 4, 300, false)
	if a := w.entries[0].submit(id, b, keys["acme"]); a.status != 202 {
		w.cannot("batch: %d %v", a.status, a.err)
	}
	listed := within(15*time.Second, func() bool {
		a, out := w.entries[1].results(id, 0, time.Second, keys["acme"])
		w.note("results: %d, %d of them, %d bytes", a.status, len(out.Results), len(a.body))
		return len(out.Results) == len(b.Items) || len(a.body) > 900_000
	})
	if !listed {
		w.cannot("the results are not listed")
	}
	for i := range readersSize * crowdTargets {
		if !trouble {
			break
		}
		all.Go(func() { askAhead(w.entries[2*(i%crowdTargets)], i, id, stop) })
	}
	time.Sleep(readersFor)
	close(stop)
	all.Wait()
	w.judgeEnds(ends)
}

// askAhead asks for the results of a batch several times over, and reads no answer.
func askAhead(p *process, number int, id string, stop chan struct{}) {
	time.Sleep(time.Duration(number) * 5 * time.Millisecond)
	request := fmt.Sprintf("GET /v1/lots/%s?after=0 HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n\r\n", id, host, keys["acme"])
	for {
		c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", p.ip, frontPort), time.Second)
		if err == nil {
			_ = c.(*net.TCPConn).SetReadBuffer(readerBuffer)
			_, _ = c.Write([]byte(strings.Repeat(request, readersAhead)))
		}
		select {
		case <-stop:
		case <-time.After(readersGiveUp):
		}
		if err == nil {
			_ = c.Close()
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}
