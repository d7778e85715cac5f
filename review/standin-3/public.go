package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["public"] = public }

// public submits a batch on a route that the operator has made public, and reads it with
// the key of the submission.
func public(f *fleet, trouble bool) (bool, error) {
	manifest := batchManifest(1)
	f.store.write("config", "main", manifest)
	for i, zone := range []string{"a", "b", "c"} {
		if _, err := f.newReplica(fmt.Sprintf("e-%d", i), "llm", zone, "127.0.0.1", "m0"); err != nil {
			return false, err
		}
	}
	if _, err := f.newReplica("s-1", "s", "a", "127.0.0.1", ""); err != nil {
		return false, err
	}
	fronts, err := startAll(f)
	if err != nil {
		return false, err
	}
	if trouble {
		manifest["version"] = 2
		manifest["routes"].([]map[string]any)[0]["public"] = true
		f.store.write("config", "main", manifest)
		f.note("manifest 2 makes the route of batches public")
	}
	time.Sleep(2500 * time.Millisecond) // configApplyMs is 2000
	items := newItems("c1", 16, 100)
	status := submit(fronts[0].front, "c1", 0, 1, items)
	f.note("a batch of %d items is submitted with key1: status %d", len(items), status)
	if status != http.StatusAccepted {
		return false, fmt.Errorf("the batch was not accepted: status %d", status)
	}
	time.Sleep(1500 * time.Millisecond) // settleMs is 1000
	missing := 0
	for n := range 24 {
		p := fronts[n%len(fronts)]
		status, r := readResults(p.front, "c1", 0, time.Second)
		body, _ := call(http.MethodGet, p.front, "/v1/items/c1?id="+items[n%len(items)].ID, "", nil, lotTime, nil)
		f.note("read at %s with key1: status %d, %d of %d results; body of an item: status %d", p.name, status, len(r.Results), r.Total, body)
		if status == http.StatusNotFound || body == http.StatusNotFound {
			missing++
		}
		time.Sleep(250 * time.Millisecond)
	}
	ended, _ := call(http.MethodDelete, fronts[1].front, "/v1/lots/c1", "", nil, lotTime, nil)
	f.note("the trainer ends the batch: status %d", ended)
	f.note("%d of 24 reads got 404", missing)
	return missing > 0, nil
}
