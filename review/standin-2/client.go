package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// answer is what a client got.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	err     error
	sent    time.Time
	arrived time.Time
}

// call sends a request on a new channel, as most calls of clients are.
func (p *process) call(method, target, key, id string, header map[string]string, body []byte, limit time.Duration) answer {
	a := answer{sent: time.Now()}
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", p.ip, frontPort, target), bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = host
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	if id != "" {
		request.Header.Set("Request-Id", id)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		a.err, a.arrived = err, time.Now()
		return a
	}
	defer response.Body.Close()
	a.status, a.header = response.StatusCode, response.Header
	a.body, a.err = io.ReadAll(response.Body)
	a.arrived = time.Now()
	return a
}

type wireScorer struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}

type wireItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int64             `json:"tokens"`
	Group   string            `json:"group"`
	Scorer  *wireScorer       `json:"scorer,omitempty"`
}

type wireBatch struct {
	Step         int64      `json:"step"`
	Model        string     `json:"model"`
	MinVersion   int64      `json:"minVersion"`
	DesiredCount int        `json:"desiredCount"`
	Items        []wireItem `json:"items"`
}

type wireResult struct {
	ID       string  `json:"id"`
	State    string  `json:"state"`
	Output   string  `json:"output"`
	Versions []int64 `json:"versions"`
	Score    string  `json:"score"`
}

type wireResults struct {
	Total     int          `json:"total"`
	NextToken int          `json:"nextToken"`
	Results   []wireResult `json:"results"`
}

// newBatch returns a batch of groups with items each.
func newBatch(id, model string, groups, each, bodyBytes int, scored bool) wireBatch {
	b := wireBatch{Model: model, MinVersion: 1, DesiredCount: groups}
	for g := range groups {
		for i := range each {
			item := wireItem{
				ID: fmt.Sprintf("%s-%d-%d", id, g, i), Path: fmt.Sprintf("/feed/%s/%d", id, g),
				Headers: map[string]string{"Model": model, "Token-Count": "255,400", "Prompt-Prefix": fmt.Sprintf("%x:255,%x:16", g, i)},
				Body:    bytes.Repeat([]byte{byte('a' + g%26)}, bodyBytes), Tokens: 671, Group: fmt.Sprintf("%s-%d", id, g),
			}
			if scored {
				item.Scorer = &wireScorer{ID: "s-" + item.ID, Host: host, Path: "/score/x", Body: []byte("score")}
			}
			b.Items = append(b.Items, item)
		}
	}
	return b
}

func (b wireBatch) encode() []byte {
	body, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	return body
}

// submit sends a batch once.
func (p *process) submit(id string, b wireBatch, key string) answer {
	return p.call(http.MethodPost, "/feed/"+id, key, id, map[string]string{"Content-Type": "application/json"}, b.encode(), 6*time.Second)
}

// results reads results once.
func (p *process) results(id string, after int, wait time.Duration, key string) (answer, wireResults) {
	header := map[string]string{}
	if wait > 0 {
		header["Wait-Ms"] = fmt.Sprint(wait.Milliseconds())
	}
	a := p.call(http.MethodGet, fmt.Sprintf("/v1/lots/%s?after=%d", id, after), key, "", header, nil, wait+2500*time.Millisecond)
	var out wireResults
	if a.err == nil && a.status == http.StatusOK {
		a.err = json.Unmarshal(a.body, &out)
	}
	return a, out
}

func (p *process) end(id, key string) answer {
	return p.call(http.MethodDelete, "/v1/lots/"+id, key, "", nil, nil, 4*time.Second)
}

type route map[string]any

func baseRoutes() []any {
	return []any{
		route{"name": "r-plain", "host": host, "pathPrefix": "/plain/", "kind": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 150, "priority": 2, "service": "app", "maxAttempts": 3, "public": false},
		route{"name": "r-once", "host": host, "pathPrefix": "/once/", "kind": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 150, "priority": 2, "service": "app", "maxAttempts": 3, "public": false},
		route{"name": "r-score", "host": host, "pathPrefix": "/score/", "kind": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 150, "priority": 2, "service": "app", "maxAttempts": 4, "public": true},
		route{"name": "r-feed", "host": host, "pathPrefix": "/feed/", "kind": "rollout", "timeoutMs": 10000, "targetLatencyMs": 400, "priority": 0, "service": "engines", "maxAttempts": 3, "public": false, "sticky": true, "deadlineMs": 7500, "maxQueueS": 30, "resumable": true},
	}
}

func manifest(version int, extra ...any) map[string]any {
	tenants := []any{}
	for _, name := range []string{"acme", "birch"} {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": []string{keys[name]}, "priority": 1})
	}
	return map[string]any{
		"version": version, "routes": append(baseRoutes(), extra...), "tenants": tenants,
		"services": []any{
			map[string]any{"name": "engines", "healthPath": "/healthz", "maxConnections": 160, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0, "engine": map[string]any{"slots": engineSlots, "kvCapacity": 55021, "models": []any{map[string]any{"name": "m0"}, map[string]any{"name": "m1"}}}},
			map[string]any{"name": "app", "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
