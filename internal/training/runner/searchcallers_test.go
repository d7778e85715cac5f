package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"iter"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/traffic/front"
	"github.com/wigeonpin/wigeonpin/internal/traffic/memory"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

// serve sends a caller's request to an entry process.
func (w *world) serve(p *process, name string, r *http.Request, check func(status int, body []byte)) {
	q := &request{name: name}
	ctx := context.WithValue(w.ctx, requestKey{}, q)
	r = r.WithContext(ctx)
	r.Host = host
	r.Header.Set("Authorization", "Bearer k1")
	never := make(chan struct{})
	timers := w.timers()
	f := front.New(front.Seams{
		Manifest: func() *manifest.Manifest { return w.manifest },
		Ready:    func() bool { return true }, Stale: func() bool { return false },
		Outage: front.Outage{
			Isolation: func() <-chan struct{} { return never }, Restored: func() <-chan struct{} { return nil },
			LostFor: func() time.Duration { return 0 },
		},
		Shelf: p.shelf, Reader: p.reader, Names: searchNames, Meters: p.meters, Stop: p.stop, Memory: memory.NewBudget(1 << 20),
		API: front.API{
			Parse: parseSearch, Decode: decodeSearch, ReadyPath: "/ready",
			Encode: func(_, _ int, results []batch.Result) ([]byte, error) {
				_ = w.hold(ctx, &flight{process: p, what: "encode the answer", stages: []stage{{"done", p, nil}}}) // ends with the run
				return json.Marshal(results)
			},
		},
	}, timers, w.log)
	go func() {
		if w.hold(ctx, &flight{process: p, what: "accept the request", stages: []stage{{"done", p, nil}}}) != nil {
			return
		}
		recorder := httptest.NewRecorder()
		f.ServeHTTP(recorder, r)
		w.mu.Lock()
		w.answers = append(w.answers, answer{name, recorder.Code, recorder.Body.Bytes(), check})
		w.mu.Unlock()
		w.wakeUp()
	}()
}

func parseSearch(method, path string) (front.Operation, string) {
	if id, found := strings.CutPrefix(path, "/results/"); found && method == http.MethodGet {
		return front.ReadResults, id
	}
	return front.NoBatch, ""
}

func decodeSearch(body []byte) (*batch.Batch, iter.Seq2[batch.Item, error], error) {
	var items []batch.Item
	err := json.Unmarshal(body, &items)
	return &batch.Batch{Model: "m", WantedGroups: 1}, func(yield func(batch.Item, error) bool) {
		for _, item := range items {
			if !yield(item, nil) {
				return
			}
		}
	}, err
}

// submit sends the batch to an entry process.
func (w *world) submit(p *process) {
	var items []batch.Item
	for i := range searchItems {
		id := "item" + strconv.Itoa(i+1)
		items = append(items, batch.Item{ID: id, Group: id, Path: "/gen/x"})
	}
	body, err := json.Marshal(items)
	if err != nil {
		panic(err) // the items are constant
	}
	r := httptest.NewRequest(http.MethodPost, "/gen/batches", bytes.NewReader(body))
	r.Header.Set(searchNames.Request, "b1")
	w.notef("a trainer submits batch b1 with %d items at %s", searchItems, p.name)
	w.running++
	w.submitted = true
	w.serve(p, "submission", r, func(status int, _ []byte) {
		w.running--
		w.notef("%s answers the submission: %d", p.name, status)
		if status == http.StatusAccepted {
			w.acceptedAt = time.Now()
		}
	})
}

// read sends a read to an entry process. A read that must succeed is one after the end
// of all faults.
func (w *world) read(p *process, after int, wait time.Duration, must bool) {
	w.reads++
	name := "read " + strconv.Itoa(w.reads)
	r := httptest.NewRequest(http.MethodGet, "/results/b1?after="+strconv.Itoa(after), nil)
	r.Header.Set(searchNames.Wait, strconv.FormatInt(wait.Milliseconds(), 10))
	w.notef("%s: a trainer asks %s for the results from position %d on, and waits for up to %v", name, p.name, after, wait)
	began := time.Now()
	w.running++
	w.serve(p, name, r, func(status int, body []byte) {
		w.running--
		var results []batch.Result
		if status == http.StatusOK {
			if err := json.Unmarshal(body, &results); err != nil {
				panic(err) // the answer is from this test's Encode
			}
		}
		w.notef("%s: %s answers %d with %d results", name, p.name, status, len(results))
		w.checkAnswer(name+" at "+p.name, after, status, results)
		if must {
			w.checkProgress(name+" at "+p.name, status, time.Since(began))
		}
	})
}

// checkProgress checks that a read after the end of all faults is answered.
func (w *world) checkProgress(reader string, status int, took time.Duration) {
	if w.acceptedAt.IsZero() || w.removing {
		return
	}
	if status != http.StatusOK || took > callerPatience {
		w.fail(noProgress, "%s is answered %d after %v, all faults ended before", reader, status, took)
	}
}

// checkAnswer checks what a reader is told against what others were told.
func (w *world) checkAnswer(reader string, after, status int, results []batch.Result) {
	now := time.Now()
	switch {
	case status == http.StatusNotFound && !w.removing:
		if !w.acceptedAt.IsZero() && now.Sub(w.acceptedAt) >= settleTime {
			w.fail(missingBatch, "%s is told that there is no batch, which was accepted %v before", reader, now.Sub(w.acceptedAt))
		}
		for at := range searchItems {
			if first, known := w.told[at]; known && now.Sub(first.at) >= settleTime {
				w.fail(missingBatch, "%s is told that there is no batch, of which %s was told position %d", reader, first.reader, at)
			}
		}
	case status == http.StatusOK && len(results) == 0:
		if first, known := w.told[after]; known && now.Sub(first.at) >= settleTime {
			w.fail(toldLess, "%s is told that there is nothing at position %d, of which %s was told %v before",
				reader, after, first.reader, now.Sub(first.at))
		}
	}
	for i, result := range results {
		w.checkResult(reader, after+i, result)
	}
}

func (w *world) checkResult(reader string, at int, result batch.Result) {
	for other := range searchItems {
		if first, known := w.told[other]; known && other != at && first.result.ID == result.ID {
			w.fail(itemTwice, "%s is told %s at position %d, %s at %d", reader, result.ID, at, first.reader, other)
		}
	}
	first, known := w.told[at]
	if !known {
		w.told[at] = position{time.Now(), result, reader}
		return
	}
	if first.result.ID != result.ID || first.result.Output != result.Output {
		w.fail(otherResult, "%s is told %s (%s) at position %d, %s was told %s (%s)",
			reader, result.ID, result.Output, at, first.reader, first.result.ID, first.result.Output)
	}
}
