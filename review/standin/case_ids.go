package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const idsEvents = 40

// promptText generates idsEvents events in 0.8 s. The text names its tenant and its
// prompt.
func promptText(tenant, body string, n int) (string, time.Duration, bool) {
	return fmt.Sprintf("%s/%s/%d", tenant, body, n), 20 * time.Millisecond, n <= idsEvents
}

// playIDs lets two tenants submit batches one after the other. Both number their
// items by step, group and sample, so that the ids are the same. The first tenant
// cancels its batch.
func playIDs(r *record, trouble bool) (int, error) {
	f, err := newFleet(r, promptText)
	if err != nil {
		return 0, err
	}
	defer f.stop()
	f.apply([]map[string]any{plainRoute(), rewardRoute(), batchRoute()})
	f.store.put("versions", model, map[string]any{"model": model, "version": 1})
	if err := f.start(); err != nil {
		return 0, err
	}
	broken := 0
	for step := range 3 {
		first, second := numberedItems(step, "prompt-of-a"), numberedItems(step, "prompt-of-b")
		idA, idB := fmt.Sprintf("a%015x", step), fmt.Sprintf("b%015x", step)
		if err := f.submit(idA, keyA, first); err != nil {
			return 0, err
		}
		if trouble {
			time.Sleep(180 * time.Millisecond)
		} else if got := f.readAll(f.entries[0], idA, keyA, len(first.Items), 10*time.Second); len(got) != len(first.Items) {
			return 0, fmt.Errorf("%d of %d results of the first tenant", len(got), len(first.Items))
		}
		if status := f.end(f.entries[1], idA, keyA); status != http.StatusOK {
			return 0, fmt.Errorf("end of batch: status %d", status)
		}
		time.Sleep(2 * time.Second)
		if err := f.submit(idB, keyB, second); err != nil {
			return 0, err
		}
		got := f.readAll(f.entries[2], idB, keyB, len(second.Items), 10*time.Second)
		if len(got) != len(second.Items) {
			return 0, fmt.Errorf("%d of %d results of the second tenant", len(got), len(second.Items))
		}
		for _, one := range got {
			if want := wholeText(tenantB, "prompt-of-b"); one.State == "completed" && one.Output != want {
				r.log("BROKEN: completed result of %s is not the output of this item; %d of %d events are of tenant %s",
					one.ID, strings.Count(one.Output, tenantA+"/prompt-of-a/"), idsEvents, tenantA)
				broken++
			}
		}
		f.end(f.entries[2], idB, keyB)
	}
	return broken, nil
}

// numberedItems returns a batch of two groups of four items.
func numberedItems(step int, prompt string) submission {
	s := submission{Step: step, Model: model, DesiredCount: 2}
	for n := range 8 {
		s.Items = append(s.Items, newItem(fmt.Sprintf("%d-%d-%d", step, n/4, n%4), fmt.Sprintf("%d-%d", step, n/4), prompt))
	}
	return s
}

func wholeText(tenant, body string) string {
	var events []string
	for n := 1; n <= idsEvents; n++ {
		data, _, _ := promptText(tenant, body, n)
		events = append(events, data)
	}
	return strings.Join(events, "\n")
}
