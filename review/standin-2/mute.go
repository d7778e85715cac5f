package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["mute"] = playMute }

const (
	muteAfter    = 8 * time.Second // from the start of the case
	muteEnd      = 50 * time.Second
	muteItems    = 500
	muteTrainers = 2
)

// playMute lets one client submit a batch whose items have a control character in their path.
func playMute(w *world, trouble bool) {
	if !w.build(2, 3, 2, 40, 60*time.Millisecond) {
		return
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	var mu sync.Mutex
	var steps []*step
	for range muteTrainers {
		all.Go(func() {
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
	time.Sleep(time.Until(w.began.Add(muteAfter)))
	if trouble {
		a := w.entries[0].call(http.MethodPost, "/feed/q0", keys["birch"], "q0", map[string]string{"Content-Type": "application/json"}, mute("q0"), 8*time.Second)
		w.note("the batch q0 of %d items: %d %v", muteItems, a.status, a.err)
	}
	time.Sleep(time.Until(w.began.Add(muteEnd)))
	close(stop)
	all.Wait()
	for _, s := range steps {
		w.judge(s, nil)
	}
}

// mute returns a batch of items that cannot be written as requests.
func mute(id string) []byte {
	out := bytes.NewBufferString(`{"step":0,"model":"m0","minVersion":1,"desiredCount":1,"items":[`)
	items := make([]string, 0, muteItems)
	for n := range muteItems {
		items = append(items, fmt.Sprintf(`{"id":"%s-%d","path":"/feed/%s/\n","headers":{"Model":"m0"},"body":"","tokens":9,"group":"%s-%d"}`, id, n, id, id, n/groupSize))
	}
	out.WriteString(strings.Join(items, ",") + "]}")
	return out.Bytes()
}
