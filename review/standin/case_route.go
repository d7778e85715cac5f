package main

import (
	"fmt"
	"net/http"
	"time"
)

// quickText generates ten events in 0.2 s.
func quickText(tenant, body string, n int) (string, time.Duration, bool) {
	return fmt.Sprintf("%s/%s/%d", tenant, body, n), 20 * time.Millisecond, n <= 10
}

// playRoute removes the route of a batch from the manifest. The batch and its
// results have been read before and are to be found at each entry process.
func playRoute(r *record, trouble bool) (int, error) {
	f, err := newFleet(r, quickText)
	if err != nil {
		return 0, err
	}
	defer f.stop()
	routes := []map[string]any{plainRoute(), rewardRoute(), batchRoute()}
	f.apply(routes)
	f.store.put("versions", model, map[string]any{"model": model, "version": 1})
	if err := f.start(); err != nil {
		return 0, err
	}
	s := submission{Model: model, DesiredCount: 2}
	for n := range 8 {
		s.Items = append(s.Items, newItem(fmt.Sprintf("%016x", 0xa100+n), fmt.Sprintf("g%d", n/4), fmt.Sprintf("prompt-%d", n/4)))
	}
	const id = "7c41e09b52d6a3f8"
	if err := f.submit(id, keyA, s); err != nil {
		return 0, err
	}
	if got := f.readAll(f.entries[0], id, keyA, len(s.Items), 10*time.Second); len(got) != len(s.Items) {
		return 0, fmt.Errorf("%d of %d results before the change", len(got), len(s.Items))
	}
	for _, at := range f.entries {
		if status, got := f.read(at, id, keyA, 0); got == nil || len(got.Results) != len(s.Items) {
			return 0, fmt.Errorf("%s: status %d before the change", at.name, status)
		}
	}
	if trouble {
		f.apply(routes[:2])
	}
	time.Sleep(6 * time.Second)
	broken := 0
	for _, at := range f.entries {
		status, got := f.read(at, id, keyA, 0)
		if status == http.StatusNotFound || status == http.StatusGone {
			r.log("BROKEN: %s answers %d for an accepted batch whose results were read", at.name, status)
			broken++
		} else if got != nil && len(got.Results) == 0 {
			r.log("BROKEN: %s has nothing at position 0, which was read", at.name)
			broken++
		}
	}
	return broken, nil
}
