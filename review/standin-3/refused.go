package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["refused"] = refused }

const (
	orders    = 60  // requests that must run once
	greyShare = 0.4 // of the requests of the grey replica that fail
	// greyReplicas is such that one grey replica is at most 0.15 of them.
	greyReplicas = 8
)

// order sends a request that may run once as clients do: again, as a new attempt, only
// after a promise that it has not run. It returns the ids of the attempts and the statuses.
func order(front string, number int) (ids []string, statuses []int) {
	for try := range 2 {
		id := fmt.Sprintf("o%03d-%d", number, try)
		request, err := http.NewRequest(http.MethodPost, "http://"+front+"/order/new", strings.NewReader(fmt.Sprintf("order %d", number)))
		if err != nil {
			return ids, statuses
		}
		request.Host = "h.example"
		request.Header.Set("Request-Id", id)
		request.Header.Set("Deadline-Ms", "2000")
		request.Header.Set("Authorization", "Bearer key1")
		client := &http.Client{Timeout: 2500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
		status := 0
		if answer, err := client.Do(request); err == nil {
			status = answer.StatusCode
			answer.Body.Close()
		}
		ids, statuses = append(ids, id), append(statuses, status)
		if status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable {
			return ids, statuses
		}
	}
	return ids, statuses
}

// refused sends requests that may run once to a service of which one replica runs some of
// them and then fails with a status of its own.
func refused(f *fleet, trouble bool) (bool, error) {
	manifest := batchManifest(1)
	added := map[string]any{"name": "order", "host": "h.example", "pathPrefix": "/order/", "kind": "non_idempotent", "service": "s", "timeoutMs": 2000, "targetLatencyMs": 150, "maxAttempts": 2, "priority": 2}
	manifest["routes"] = append(manifest["routes"].([]map[string]any), added)
	f.store.write("config", "main", manifest)
	var replicas []*replica
	for i := range greyReplicas {
		e, err := f.newReplica(fmt.Sprintf("s-%d", i), "s", "a", "127.0.0.1", "")
		if err != nil {
			return false, err
		}
		replicas = append(replicas, e)
	}
	if trouble {
		served := 0
		replicas[0].answer = func(w http.ResponseWriter, r *http.Request, _ []byte) bool {
			if served++; float64(served%5) >= 5*greyShare {
				return false
			}
			f.note("replica s-0 has run %s and fails with 503, without Not-Run", r.Header.Get("Request-Id"))
			w.Header().Set("Server-Stamp", "stamp."+r.Header.Get("Request-Id"))
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
	}
	p, err := f.start("edge-a-1", "entry", "a", "127.0.0.1")
	if err != nil {
		return false, err
	}
	if err := p.awaitReady(); err != nil {
		return false, err
	}
	broken := false
	for number := range orders {
		ids, statuses := order(p.front, number)
		total := 0
		for i, id := range ids {
			runs := len(runsOf(id, replicas))
			total += runs
			if runs > 0 && (statuses[i] == http.StatusServiceUnavailable || statuses[i] == http.StatusTooManyRequests) {
				f.note("attempt %s was answered %d and has run", id, statuses[i])
				broken = true
			}
		}
		f.note("order %d: attempts %v, statuses %v, ran %d times", number, ids, statuses, total)
	}
	return broken, nil
}
