package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// item is an item of a batch submission as it is sent.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group"`
	Scorer  map[string]any    `json:"scorer,omitempty"`
}

// results is the answer to a read of results.
type results struct {
	Total     int `json:"total"`
	NextToken int `json:"nextToken"`
	Results   []struct {
		ID       string  `json:"id"`
		State    string  `json:"state"`
		Output   string  `json:"output"`
		Versions []int64 `json:"versions"`
		Score    string  `json:"score"`
	} `json:"results"`
}

// batchManifest is a manifest with a route for batches and one for scoring calls.
func batchManifest(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "lots", "host": "h.example", "pathPrefix": "/lots/", "kind": "rollout", "service": "llm", "timeoutMs": 10000, "targetLatencyMs": 400, "deadlineMs": 7500, "maxAttempts": 3, "maxQueueS": 40, "priority": 0, "sticky": true, "resumable": true},
			{"name": "score", "host": "h.example", "pathPrefix": "/score/", "kind": "idempotent", "service": "s", "timeoutMs": 2000, "targetLatencyMs": 400, "maxAttempts": 4, "priority": 2, "public": true},
			{"name": "w", "host": "h.example", "pathPrefix": "/w/", "kind": "idempotent", "service": "s", "timeoutMs": 2000, "targetLatencyMs": 150, "maxAttempts": 2, "priority": 2},
		},
		"services": []map[string]any{
			{"name": "llm", "healthPath": "/healthz", "maxConnections": 150, "coldStartS": 3.0, "coldPerS": 11.0, "engine": map[string]any{"slots": 8, "models": []map[string]any{{"name": "m0"}}}},
			{"name": "s", "healthPath": "/healthz", "maxConnections": 96, "coldStartS": 0, "coldPerS": 0},
		},
		"tenants": []map[string]any{{"name": "t1", "apiKeys": []string{"key1"}, "priority": 1}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// call makes one call on a channel of its own, as clients do for batches. The status is 0
// if there was no answer.
func call(method, front, path, id string, body []byte, limit time.Duration, header map[string]string) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = "h.example"
	request.Header.Set("Authorization", "Bearer key1")
	if id != "" {
		request.Header.Set("Request-Id", id)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, text
}

// newItems returns items of groups of four.
func newItems(lot string, count, bodyBytes int) []item {
	items := make([]item, count)
	for i := range items {
		id := fmt.Sprintf("%s%04x", lot, i)
		items[i] = item{
			ID: id, Path: "/lots/3/" + id, Headers: map[string]string{"Model": "m0", "Token-Count": "271,400", "Prompt-Prefix": fmt.Sprintf("%x:255,%s:16", i/4, id)},
			Body: bytes.Repeat([]byte("b"), bodyBytes), Tokens: 671, Group: fmt.Sprintf("g%d", i/4),
			Scorer: map[string]any{"id": "5c" + id, "host": "h.example", "path": "/score/" + id, "body": []byte("x")},
		}
	}
	return items
}

// submit submits a batch.
func submit(front, lot string, step, minVersion int, items []item) int {
	body, err := json.Marshal(map[string]any{"step": step, "model": "m0", "minVersion": minVersion, "desiredCount": len(items) / 4 * 9 / 10, "items": items})
	if err != nil {
		panic(err) // the types of this program can be encoded
	}
	status, _ := call(http.MethodPost, front, "/lots/"+lot, lot, body, 12*time.Second, map[string]string{"Content-Type": "application/json", "Deadline-Ms": "12000"})
	return status
}

// readResults reads the results of a batch from a position.
func readResults(front, lot string, after int, wait time.Duration) (int, results) {
	status, text := call(http.MethodGet, front, fmt.Sprintf("/v1/lots/%s?after=%d", lot, after), "", nil, wait+2500*time.Millisecond, map[string]string{"Wait-Ms": fmt.Sprint(wait.Milliseconds())})
	var r results
	if status == http.StatusOK && json.Unmarshal(text, &r) != nil {
		return 0, r
	}
	return status, r
}
