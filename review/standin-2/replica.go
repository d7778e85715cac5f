package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	eventInterval = 30 * time.Millisecond
	loadTime      = 300 * time.Millisecond
	serviceTime   = 20 * time.Millisecond
	engineSlots   = 8
)

// run is a request that reached a replica.
type run struct {
	at             time.Time
	id, path, host string
	account        string
	replica, zone  string
	from           string    // Last-Event-Id
	end            time.Time // zero while it runs
	outcome        string    // shed, run, finished or cut
}

// replica is a stand-in for a model engine, or for a plain service if it has no models.
type replica struct {
	w                   *world
	service, name, zone string
	address, registered string
	events              int // of a complete output
	pause               time.Duration
	eventBytes          int // of the data of an event, at least

	mu       sync.Mutex
	id       string
	born     int64
	starts   int
	state    string
	versions map[string]int64
	sequence int64
	busy     bool
	running  int
	server   *http.Server
	ctx      context.Context
	cancel   context.CancelFunc
	orders   []duty
	hook     func(r *http.Request, body []byte, w http.ResponseWriter) bool // answers in its place
}

func hashOf(b []byte) uint64 {
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}

func stamp(id string) string { return fmt.Sprintf("st.%x", hashOf([]byte(id))) }

func eventData(id string, n int) string { return fmt.Sprintf("%s.%d", id, n) }

// start begins a new lifetime.
func (e *replica) start() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	e.id = fmt.Sprintf("i-%s-%d", e.name, e.starts)
	e.born, e.sequence, e.busy, e.running, e.state = time.Now().UnixMilli(), 0, false, 0, "ready"
	e.ctx, e.cancel = context.WithCancel(context.Background())
	server := &http.Server{Handler: e}
	e.server = server
	go func() { _ = server.Serve(l) }()
	e.register()
	return nil
}

// register writes the entry; e.mu is held.
func (e *replica) register() {
	models := []map[string]any{}
	for name, version := range e.versions {
		models = append(models, map[string]any{"name": name, "version": version, "adapters": []string{}})
	}
	e.w.store.write("servers", e.id, map[string]any{
		"service": e.service, "address": e.registered, "zone": e.zone, "version": "v1", "slots": engineSlots, "state": e.state,
		"coldMs": 0, "stage": "dual", "models": models, "sequence": e.sequence, "born": e.born,
	})
}

// drain reports that the replica leaves.
func (e *replica) drain() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = "draining"
	e.register()
	return time.Now()
}

func (e *replica) ready() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = "ready"
	e.register()
}

// crash ends the lifetime; its entry goes after a while.
func (e *replica) crash(lapse time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := e.id
	e.cancel()
	_ = e.server.Close()
	time.AfterFunc(lapse, func() { e.w.store.remove("servers", id) })
}

func (e *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	id, ctx, hook := e.id, e.ctx, e.hook
	e.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil || ctx.Err() != nil {
		return
	}
	w.Header()["Date"] = nil
	if v := r.Header.Get("Request-Id"); v != "" {
		w.Header().Set("Request-Id", v)
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != id {
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/v1/report":
		e.report(w)
		return
	case r.URL.Path == "/v1/order":
		e.order(w, body)
		return
	case r.URL.Path == "/healthz":
		w.Header().Set("Instance-Id", id)
		return
	}
	if hook != nil && hook(r, body, w) {
		return
	}
	if !e.acquire() {
		e.w.addRun(e.newRun(r, id, "shed"))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.release()
	number := e.w.addRun(e.newRun(r, id, "run"))
	outcome := "cut"
	defer func() { e.w.endRun(number, outcome) }()
	if e.versions != nil {
		if e.generate(ctx, w, r) {
			outcome = "finished"
		}
		return
	}
	time.Sleep(serviceTime)
	outcome = "finished"
	w.Header().Set("Server-Stamp", stamp(r.Header.Get("Request-Id")))
	_, _ = io.WriteString(w, plainBody(r.Header.Get("Request-Id"), body))
}

func (e *replica) newRun(r *http.Request, id, outcome string) run {
	return run{
		at: time.Now(), id: r.Header.Get("Request-Id"), path: r.URL.Path, host: r.Host, account: r.Header.Get("Tenant"),
		replica: id, zone: e.zone, from: r.Header.Get("Last-Event-Id"), outcome: outcome,
	}
}

func plainBody(id string, body []byte) string { return fmt.Sprintf("done %s %x", id, hashOf(body)) }

func (e *replica) acquire() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy || e.running >= engineSlots {
		return false
	}
	e.running++
	return true
}

func (e *replica) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *replica) version(model string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[model]
}

// data returns the data of an event, filled up to the size that the case asks for.
func (e *replica) data(id string, n int) string {
	text := eventData(id, n)
	return text + strings.Repeat(".", max(0, e.eventBytes-len(text)))
}

// generate streams the events of an output after Last-Event-Id, and reports whether it came to the end.
func (e *replica) generate(ctx context.Context, w http.ResponseWriter, r *http.Request) bool {
	id, model := r.Header.Get("Request-Id"), r.Header.Get("Model")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	version := e.version(model)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Server-Stamp", stamp(id))
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	control := http.NewResponseController(w)
	for n := from + 1; n <= e.events; n++ {
		select {
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(e.pause):
		}
		change := ""
		if now := e.version(model); now != version {
			version, change = now, fmt.Sprintf("weight-versions: %d\n", now)
		}
		if _, err := fmt.Fprintf(w, "%sid: %d\ndata: %s\n\n", change, n, e.data(id, n)); err != nil {
			return false
		}
		_ = control.Flush()
	}
	return true
}

func (e *replica) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	models := []map[string]any{}
	for name, version := range e.versions {
		models = append(models, map[string]any{"name": name, "version": version, "adapters": []string{}})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "dual", "models": models, "busy": e.busy, "sequence": e.sequence, "queued": 0, "running": e.running,
		"kvUsed": 0, "kvTotal": 90000, "handles": 0, "born": e.born,
	})
}

func (e *replica) order(w http.ResponseWriter, body []byte) {
	var in struct {
		Model        string `json:"model"`
		Version      int64  `json:"version"`
		Mode         string `json:"mode"`
		Holder       string `json:"holder"`
		FencingToken uint64 `json:"fencingToken"`
		Expected     *int64 `json:"expected"`
	}
	if json.Unmarshal(body, &in) != nil || in.Holder == "" || in.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, duty{time.Now(), in.Holder, in.FencingToken, e.id, string(body)})
	switch {
	case e.busy || in.Expected != nil && *in.Expected != e.sequence:
		w.WriteHeader(http.StatusConflict)
	case e.versions[in.Model] >= in.Version:
		w.WriteHeader(http.StatusOK)
	default:
		e.busy = true
		e.sequence++
		go e.load(e.ctx, in.Model, in.Version, in.Mode == "wait")
		w.WriteHeader(http.StatusAccepted)
	}
}

func (e *replica) load(ctx context.Context, model string, version int64, wait bool) {
	for time.Sleep(loadTime); wait && ctx.Err() == nil; time.Sleep(e.pause) {
		e.mu.Lock()
		idle := e.running == 0
		e.mu.Unlock()
		if idle {
			break
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() == nil {
		e.versions[model], e.busy = version, false
		e.register()
	}
}
