package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	replicaSlots = 16
	heartbeat    = 1200 * time.Millisecond
	loadTime     = 900 * time.Millisecond
)

// run is a request that a replica has begun to run.
type run struct {
	id, tenant, body, replica, last string
	at                              time.Time
}

// output says what a replica generates for a request: the number of events, their
// data, and the pause before each.
type output func(tenant, body string, n int) (data string, pause time.Duration, more bool)

// replica is a stand-in of a model replica, or of a plain service if generate is
// nil.
type replica struct {
	record                     *record
	store                      *store
	id, service, zone, address string
	models                     map[string]int64
	generate                   output
	born                       int64

	mu       sync.Mutex
	sequence int64
	busy     bool
	running  int
	slow     float64 // factor by which work takes longer
	runs     []run
}

func (p *replica) start(ctx context.Context) error {
	p.born, p.slow = time.Now().UnixMilli(), 1
	if err := serve(p.address, p); err != nil {
		return err
	}
	go func() {
		for ctx.Err() == nil {
			p.beat()
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

func (p *replica) beat() {
	p.mu.Lock()
	spec := map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": replicaSlots, "state": "ready",
		"coldMs": 0, "stage": "dual", "models": p.modelList(), "sequence": p.sequence, "born": p.born,
	}
	p.mu.Unlock()
	p.store.put("servers", p.id, spec)
}

func (p *replica) modelList() []map[string]any {
	models := []map[string]any{}
	for name, version := range p.models {
		models = append(models, map[string]any{"name": name, "version": version, "adapters": []string{}})
	}
	return models
}

func (p *replica) setSlow(factor float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow = factor
}

func (p *replica) allRuns() []run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]run(nil), p.runs...)
}

// stamp returns the proof that a replica answered a request.
func stamp(id string, body []byte) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s.%s", id, body)
	return fmt.Sprintf("3e1b.%x", h.Sum64())
}

func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != p.id {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/v1/report":
		p.report(w)
	case r.URL.Path == "/v1/order":
		p.order(w, body)
	case r.Method == http.MethodGet:
		w.Header().Set("Instance-Id", p.id)
	case !p.begin(r, body):
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		p.run(w, r, body)
		p.mu.Lock()
		p.running--
		p.mu.Unlock()
	}
}

// begin takes a slot and notes the run.
func (p *replica) begin(r *http.Request, body []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running >= replicaSlots {
		return false
	}
	p.running++
	next := run{r.Header.Get("Request-Id"), r.Header.Get("Tenant"), string(body), p.id, r.Header.Get("Last-Event-Id"), time.Now()}
	p.runs = append(p.runs, next)
	p.record.log("run at %s: %s %s, id %s, tenant %q, Last-Event-Id %q", p.id, r.Method, r.URL.Path, next.id, next.tenant, next.last)
	return true
}

func (p *replica) run(w http.ResponseWriter, r *http.Request, body []byte) {
	w.Header().Set("Server-Stamp", stamp(r.Header.Get("Request-Id"), body))
	p.mu.Lock()
	slow := p.slow
	p.mu.Unlock()
	if p.generate == nil {
		time.Sleep(time.Duration(slow * float64(10*time.Millisecond)))
		fmt.Fprintf(w, "answer to %s", body)
		return
	}
	p.stream(w, r, string(body))
}

// stream sends the events after Last-Event-Id.
func (p *replica) stream(w http.ResponseWriter, r *http.Request, body string) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if it is missing
	w.Header().Set("Content-Type", "text/event-stream")
	model := r.Header.Get("Model")
	p.mu.Lock()
	version := p.models[model]
	p.mu.Unlock()
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	control := http.NewResponseController(w)
	for n := last + 1; ; n++ {
		data, pause, more := p.generate(r.Header.Get("Tenant"), body, n)
		if !more {
			return
		}
		p.mu.Lock()
		pause = time.Duration(p.slow * float64(pause))
		p.mu.Unlock()
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		line := ""
		p.mu.Lock()
		if now := p.models[model]; now != version {
			version, line = now, fmt.Sprintf("weight-versions: %d\n", now)
		}
		p.mu.Unlock()
		fmt.Fprintf(w, "%sid: %d\ndata: %s\n\n", line, n, data)
		_ = control.Flush() // a caller that is gone shows in the context
	}
}

func (p *replica) report(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{
		"stage": "dual", "models": p.modelList(), "busy": p.busy, "sequence": p.sequence, "queued": 0, "running": p.running,
		"kvUsed": 0, "kvTotal": 55021, "handles": 0, "born": p.born,
	})
}

func (p *replica) order(w http.ResponseWriter, body []byte) {
	var in struct {
		Model        string `json:"model"`
		Version      int64  `json:"version"`
		Holder       string `json:"holder"`
		FencingToken uint64 `json:"fencingToken"`
		Expected     *int64 `json:"expected"`
	}
	if json.Unmarshal(body, &in) != nil || in.Holder == "" || in.FencingToken == 0 {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	p.record.log("order at %s: %s version %d, holder %s, epoch %d", p.id, in.Model, in.Version, in.Holder, in.FencingToken)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.busy || in.Expected != nil && *in.Expected != p.sequence:
		answer(w, http.StatusConflict, nil)
	case p.models[in.Model] >= in.Version:
		answer(w, http.StatusOK, nil)
	default:
		p.busy = true
		p.sequence++
		time.AfterFunc(loadTime, func() {
			p.mu.Lock()
			p.models[in.Model], p.busy = in.Version, false
			p.mu.Unlock()
			p.beat()
		})
		answer(w, http.StatusAccepted, nil)
	}
}
