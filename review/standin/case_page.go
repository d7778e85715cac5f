package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	pageItems = 60
	// Each output has textEvents events with the cells of a table in HTML, 10,080
	// bytes together.
	textEvents    = 40
	eventCells    = 12
	pageOutage    = 4500 * time.Millisecond
	stepTimeLimit = 12 * time.Second
)

// tableText generates a text in 0.8 to 3.8 s, by the number in the prompt.
func tableText(_, body string, n int) (string, time.Duration, bool) {
	var number int
	fmt.Sscanf(body, "prompt-%d", &number)
	pause := time.Duration(20+75*number/pageItems) * time.Millisecond
	return strings.Repeat("<td>123456789012</td>", eventCells), pause, n <= textEvents
}

// playPage takes the platform's store down while a batch runs. Its results become
// ready meanwhile and are to be listed afterwards.
func playPage(r *record, trouble bool) (int, error) {
	f, err := newFleet(r, tableText)
	if err != nil {
		return 0, err
	}
	defer f.stop()
	f.store.onWrite = func(method, path string, status, size int) {
		if strings.HasPrefix(path, "/v1/objects/pages") {
			r.log("store: %s %s: %d, %d bytes", method, path, status, size)
		}
	}
	f.apply([]map[string]any{plainRoute(), rewardRoute(), batchRoute()})
	f.store.put("versions", model, map[string]any{"model": model, "version": 1})
	if err := f.start(); err != nil {
		return 0, err
	}
	s := submission{Model: model, DesiredCount: pageItems / 4}
	for n := range pageItems {
		s.Items = append(s.Items, newItem(fmt.Sprintf("%016x", 0xd100+n), fmt.Sprintf("g%d", n%15), fmt.Sprintf("prompt-%d", n)))
	}
	const id = "d1e0000000000001"
	start := time.Now()
	if err := f.submit(id, keyA, s); err != nil {
		return 0, err
	}
	if trouble {
		time.Sleep(300 * time.Millisecond)
		r.log("the store answers 503")
		f.store.setDown(true)
		time.Sleep(pageOutage)
		f.store.setDown(false)
		r.log("the store answers again")
	}
	got := f.readAll(f.entries[0], id, keyA, pageItems, time.Until(start.Add(stepTimeLimit)))
	r.log("%d of %d results at the time limit of the step", len(got), pageItems)
	got = append(got, f.readAll(f.entries[0], id, keyA, pageItems-len(got), 30*time.Second)...)
	r.log("%d of %d results %d s after the submission", len(got), pageItems, int(time.Since(start).Seconds()))
	served := 0
	const plain = 40
	for n := range plain {
		headers := map[string]string{"Request-Id": fmt.Sprintf("%016x", 0xe100+n), "Deadline-Ms": "1500"}
		if status, _ := f.call(f.entries[n%len(f.entries)], http.MethodPost, plainPrefix+"2f", keyA, headers, []byte("check")); status == http.StatusOK {
			served++
		}
	}
	r.log("%d of %d plain requests served", served, plain)
	if len(got) == 0 {
		r.log("BROKEN: no result of the batch is listed, though replicas have finished all items")
		return 1, nil
	}
	return 0, nil
}
