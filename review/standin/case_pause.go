package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	streamPrefix = "/jude44/"
	pauseEvents  = 12
	pausedEvent  = 7
	// preemption is the pause of a stream whose request the replica preempts. The
	// client waits for four times the objective of its route.
	preemption      = 2800 * time.Millisecond
	streamObjective = 1000 // ms
	streamCount     = 3
)

// pausedText generates pauseEvents events and pauses before one of them.
func pausedText(tenant, body string, n int) (string, time.Duration, bool) {
	pause := 50 * time.Millisecond
	if n == pausedEvent {
		pause = preemption
	}
	return fmt.Sprintf("%s/%s/%d", tenant, body, n), pause, n <= pauseEvents
}

// playPause stops an entry process with SIGTERM while it serves streams. The
// replica preempts them for a while and then goes on.
func playPause(r *record, trouble bool) (int, error) {
	f, err := newFleet(r, pausedText)
	if err != nil {
		return 0, err
	}
	defer f.stop()
	f.apply([]map[string]any{plainRoute(), rewardRoute(), {
		"name": "r-stream", "host": host, "pathPrefix": streamPrefix, "kind": "streaming", "resumable": true, "timeoutMs": 10000,
		"targetLatencyMs": streamObjective, "priority": 1, "service": engines, "maxAttempts": 1, "public": false, "sticky": true,
	}})
	if err := f.start(); err != nil {
		return 0, err
	}
	at := f.entries[0]
	var streams sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	for n := range streamCount {
		streams.Go(func() {
			if !f.stream(at, fmt.Sprintf("%016x", 0xc100+n)) {
				mu.Lock()
				defer mu.Unlock()
				cut++
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		at.signal(syscall.SIGTERM)
	}
	streams.Wait()
	if !trouble {
		r.log("%d streams were cut, none of them around planned work", cut)
		return 0, nil
	}
	return cut, nil
}

// stream sends a request and reports whether its stream was complete.
func (f *fleet) stream(at *process, id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.front()+streamPrefix+id, strings.NewReader("prompt"))
	if err != nil {
		return false
	}
	r.Host = host
	for name, value := range map[string]string{
		"Authorization": "Bearer " + keyA, "Request-Id": id, "Deadline-Ms": "10000", "Model": model, "Token-Count": "16,200",
		"Prompt-Prefix": "9c2e41:16",
	} {
		r.Header.Set(name, value)
	}
	sent := time.Now()
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		f.record.log("BROKEN: stream %s: no answer after %d ms: %v", id, time.Since(sent).Milliseconds(), err)
		return false
	}
	defer answer.Body.Close()
	f.record.log("stream %s: status %d after %d ms", id, answer.StatusCode, time.Since(sent).Milliseconds())
	events := 0
	for reader := bufio.NewReader(answer.Body); ; {
		line, err := reader.ReadString('\n')
		if strings.HasPrefix(line, "data:") {
			events++
		}
		switch {
		case err == io.EOF:
			f.record.log("stream %s: complete after %d ms with %d of %d events", id, time.Since(sent).Milliseconds(), events, pauseEvents)
			return true
		case err != nil:
			f.record.log("stream %s: the channel ended after %d ms with %d of %d events: %v", id, time.Since(sent).Milliseconds(), events, pauseEvents, err)
			return false
		}
	}
}
