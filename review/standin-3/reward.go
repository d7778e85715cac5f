package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["reward"] = reward }

const (
	// lotTime is the time limit of the trainer for its step, at which it ends the batch.
	lotTime = 12 * time.Second
	// sendGap is the pause that separates two retries of a reward call, each of which may
	// reach as many replicas as its route allows.
	sendGap = 400 * time.Millisecond
)

// reward submits a batch with a reward call that crashes each replica that begins it.
func reward(f *fleet, trouble bool) (bool, error) {
	f.store.write("config", "main", batchManifest(1))
	for i, zone := range []string{"a", "b", "c"} {
		if _, err := f.newReplica(fmt.Sprintf("e-%d", i), "llm", zone, "127.0.0.1", "m0"); err != nil {
			return false, err
		}
	}
	crashes, reached := &log{}, &log{}
	for i, zone := range []string{"a", "b", "c", "a", "b", "c"} {
		c := &crasher{f: f, name: fmt.Sprintf("i%d", i), zone: zone, address: "127.0.0.1:0", crashes: crashes, reached: reached}
		if err := c.start(); err != nil {
			return false, err
		}
	}
	fronts, err := startAll(f)
	if err != nil {
		return false, err
	}
	items := newItems("b1", 16, 100)
	if trouble {
		items[3].Scorer["body"] = []byte(poisonBody)
	}
	began := time.Now()
	f.note("a batch of %d items is submitted: status %d", len(items), submit(fronts[0].front, "b1", 0, 1, items))
	sent, failed := 0, 0
	for ; time.Since(began) < lotTime; time.Sleep(100 * time.Millisecond) {
		sent++
		if attempt(fronts[sent%len(fronts)].front, fmt.Sprintf("n%04d", sent), "harmless") != http.StatusOK {
			failed++
		}
	}
	status, r := readResults(fronts[1].front, "b1", 0, time.Second)
	f.note("results: status %d, %d of %d", status, len(r.Results), r.Total)
	ended, _ := call(http.MethodDelete, fronts[1].front, "/v1/lots/b1", "", nil, lotTime, nil)
	f.note("the trainer ends the batch: status %d", ended)
	f.note("of %d requests of another caller to the same service, %d were not served", sent, failed)
	third, crashed := crashes.third()
	if !crashed {
		f.note("%d crashes", crashes.count())
		return false, nil
	}
	retries := crashes.groups(third.Add(contact), sendGap)
	f.note("%d crashes; retries that reached replicas %s after the third or later: %d, allowed: %d", crashes.count(), contact, retries, allowedRetries)
	return retries > allowedRetries, nil
}
