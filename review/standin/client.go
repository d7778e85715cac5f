package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

type reward struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}

type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group"`
	Scorer  *reward           `json:"scorer,omitempty"`
}

type submission struct {
	Step         int    `json:"step"`
	Model        string `json:"model"`
	MinVersion   int    `json:"minVersion"`
	DesiredCount int    `json:"desiredCount"`
	Items        []item `json:"items"`
}

type result struct {
	ID       string  `json:"id"`
	State    string  `json:"state"`
	Output   string  `json:"output"`
	Versions []int64 `json:"versions"`
	Score    string  `json:"score"`
}

type results struct {
	Total     int      `json:"total"`
	NextToken int      `json:"nextToken"`
	Results   []result `json:"results"`
}

// newItem returns an item whose prompt is the body.
func newItem(id, group, body string) item {
	return item{
		ID: id, Path: batchPrefix + "3/" + id, Headers: map[string]string{"Model": model, "Token-Count": "16,4000", "Prompt-Prefix": "9c2e41:16"},
		Body: []byte(body), Tokens: 4016, Group: group,
		Scorer: &reward{ID: "r" + id, Host: host, Path: rewardPrefix + id, Body: []byte("score " + id)},
	}
}

// call makes a call on a new connection, as clients do for batches. The status is
// 0 if there was no answer.
func (f *fleet) call(at *process, method, path, key string, headers map[string]string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+at.front()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = host
	r.Header.Set("Authorization", "Bearer "+key)
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	answer, err := client.Do(r)
	if err != nil {
		f.record.log("%s %s at %s: no answer: %v", method, path, at.name, err)
		return 0, nil
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		f.record.log("%s %s at %s: answer broke off: %v", method, path, at.name, err)
		return 0, nil
	}
	f.record.log("%s %s at %s: %d, %d bytes", method, path, at.name, answer.StatusCode, len(text))
	return answer.StatusCode, text
}

// submit hands in a batch and reports whether it was accepted. It tries again at
// other entry processes.
func (f *fleet) submit(id, key string, s submission) error {
	body, err := json.Marshal(s)
	if err != nil {
		return err
	}
	headers := map[string]string{"Request-Id": id, "Content-Type": "application/json", "Deadline-Ms": "12000"}
	for _, at := range f.entries {
		if status, _ := f.call(at, http.MethodPost, batchPrefix+id, key, headers, body); status == http.StatusAccepted {
			return nil
		}
	}
	return fmt.Errorf("batch %s was not accepted", id)
}

// read reads results from a position on. It returns nil if the answer is not 200.
func (f *fleet) read(at *process, id, key string, after int) (int, *results) {
	path := fmt.Sprintf("/v1/lots/%s?after=%d", id, after)
	status, body := f.call(at, http.MethodGet, path, key, map[string]string{"Wait-Ms": "1000"}, nil)
	var out results
	if status != http.StatusOK || json.Unmarshal(body, &out) != nil {
		return status, nil
	}
	for _, r := range out.Results {
		f.record.log("  result of %s: %s, %d bytes: %.120q", r.ID, r.State, len(r.Output), r.Output)
	}
	return status, &out
}

// readAll reads results until count of them are there or the time is over.
func (f *fleet) readAll(at *process, id, key string, count int, limit time.Duration) []result {
	var all []result
	for deadline := time.Now().Add(limit); len(all) < count && time.Now().Before(deadline); time.Sleep(300 * time.Millisecond) {
		if _, more := f.read(at, id, key, len(all)); more != nil {
			all = append(all, more.Results...)
		}
	}
	return all
}

func (f *fleet) end(at *process, id, key string) int {
	status, _ := f.call(at, http.MethodDelete, "/v1/lots/"+id, key, nil, nil)
	return status
}
