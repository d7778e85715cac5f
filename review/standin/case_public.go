package main

import (
	"fmt"
	"net/http"
	"time"
)

// playPublic makes the route of batches public by a new manifest. A trainer goes
// on to send its key, and its batch is accepted.
func playPublic(r *record, trouble bool) (int, error) {
	f, err := newFleet(r, quickText)
	if err != nil {
		return 0, err
	}
	defer f.stop()
	batches := batchRoute()
	f.apply([]map[string]any{plainRoute(), rewardRoute(), batches})
	f.store.put("versions", model, map[string]any{"model": model, "version": 1})
	if err := f.start(); err != nil {
		return 0, err
	}
	if trouble {
		batches["public"] = true
		f.apply([]map[string]any{plainRoute(), rewardRoute(), batches})
		time.Sleep(4 * time.Second)
	}
	s := submission{Model: model, DesiredCount: 2}
	for n := range 8 {
		s.Items = append(s.Items, newItem(fmt.Sprintf("%016x", 0xf100+n), fmt.Sprintf("g%d", n/4), fmt.Sprintf("prompt-%d", n/4)))
	}
	const id = "f1e0000000000001"
	if err := f.submit(id, keyA, s); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	broken := 0
	for _, at := range f.entries {
		if status, _ := f.read(at, id, keyA, 0); status == http.StatusNotFound || status == http.StatusGone {
			r.log("BROKEN: %s answers %d for an accepted batch", at.name, status)
			broken++
		}
	}
	return broken, nil
}
