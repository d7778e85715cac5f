package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that a replica began to work on.
type run struct {
	id, method, target, host, tenant, replica string
	body                                      string
	at                                        time.Time
}

// replica is a stand-in for a plain service, or for an engine if it has a model. Answer
// answers a request instead of the replica, if it is set and returns true.
type replica struct {
	f                 *fleet
	id, service, zone string
	address           string
	slots             int
	model             string
	answer            func(w http.ResponseWriter, r *http.Request, body []byte) bool
	events            func(id string) int // number of events of an item
	gap               time.Duration       // between two events

	mu      sync.Mutex
	version int64
	runs    []run
}

// newReplica starts a replica at a free port and registers it.
func (f *fleet) newReplica(id, service, zone, ip, model string) (*replica, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	e := &replica{
		f: f, id: id, service: service, zone: zone, address: listener.Addr().String(), slots: 8, model: model, version: 1,
		events: func(string) int { return 8 }, gap: 20 * time.Millisecond,
	}
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // ends with the program
	e.register()
	return e, nil
}

// register writes the entry of the replica.
func (e *replica) register() {
	models := []map[string]any{}
	if e.model != "" {
		models = append(models, map[string]any{"name": e.model, "version": e.version, "adapters": []string{}})
	}
	e.f.store.write("servers", e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready",
		"coldMs": 0, "sequence": 1, "born": e.f.began.UnixMilli(), "stage": "dual", "models": models,
	})
}

// ServeHTTP answers one request.
func (e *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header()["Date"] = nil
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == "/v1/report" {
		_, _ = fmt.Fprintf(w, `{"stage":"dual","models":[{"name":%q,"version":%d,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":50000,"handles":0}`, e.model, e.version)
		return
	}
	e.note(r, body)
	if e.answer != nil && e.answer(w, r, body) {
		return
	}
	w.Header().Set("Server-Stamp", "stamp."+id+"."+e.id)
	w.Header().Set("Replica-Load", fmt.Sprintf("1,0,%d", e.slots))
	if e.model != "" {
		e.generate(w, r, id)
		return
	}
	_, _ = io.WriteString(w, "done "+id) // the caller may be gone
}

// note records that a request runs.
func (e *replica) note(r *http.Request, body []byte) {
	one := run{
		id: r.Header.Get("Request-Id"), method: r.Method, target: r.RequestURI, host: r.Host, tenant: r.Header.Get("Tenant"),
		replica: e.id, body: string(body), at: time.Now(),
	}
	e.mu.Lock()
	e.runs = append(e.runs, one)
	e.mu.Unlock()
	e.f.note("replica %s runs %s: %s %s, host %s, tenant %s", e.id, one.id, one.method, one.target, one.host, one.tenant)
}

// generate sends the events after that of Last-Event-Id.
func (e *replica) generate(w http.ResponseWriter, r *http.Request, id string) {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.FormatInt(e.version, 10))
	control := http.NewResponseController(w)
	for n := from + 1; n <= e.events(id); n++ {
		select {
		case <-time.After(e.gap):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", n, id, n); err != nil {
			return
		}
		_ = control.Flush()
	}
}

// runsOf returns how often the replicas have run a request.
func runsOf(id string, replicas []*replica) []run {
	var found []run
	for _, e := range replicas {
		e.mu.Lock()
		for _, one := range e.runs {
			if one.id == id {
				found = append(found, one)
			}
		}
		e.mu.Unlock()
	}
	return found
}
