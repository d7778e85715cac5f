package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxValueBytes = 1 << 20
	storeDelay    = 2 * time.Millisecond
	listLimit     = 500
)

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is a stand-in of the platform's metadata store. While down is set, it
// answers 503 and does nothing. onWrite is called for each write that it carries
// out or rejects.
type store struct {
	address string
	onWrite func(method, path string, status int, size int)

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	changes  []change
	changed  chan struct{}
	down     bool
}

func newStore(address string) (*store, error) {
	s := &store{
		address: address, objects: map[string]map[string]object{}, changed: make(chan struct{}),
		onWrite: func(string, string, int, int) {},
	}
	return s, serve(address, s)
}

// serve starts an HTTP server on the address.
func serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // runs until the program ends
	return nil
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// put writes an object as the operator, a trainer or a replica does.
func (s *store) put(kind, name string, spec any) {
	body, _ := json.Marshal(spec) // cannot fail for the values of this program
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, body
	s.commit(kind, o, false)
}

// remove deletes an object as the operator does.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, found := s.objects[kind][name]; found {
		s.commit(kind, o, true)
	}
}

// commit applies a change and returns the object. s.mu is held.
func (s *store) commit(kind string, o object, deleted bool) object {
	s.revision++
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if deleted {
		delete(s.objects[kind], o.Metadata.Name)
	} else {
		s.objects[kind][o.Metadata.Name] = o
	}
	s.changes = append(s.changes, change{kind, o, deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeDelay)
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	if r.Method == http.MethodGet && r.URL.Query().Has("watch") {
		s.watch(w, r, parts[0])
		return
	}
	s.mu.Lock()
	status, out := s.handle(r, parts, body)
	s.mu.Unlock()
	if r.Method != http.MethodGet {
		s.onWrite(r.Method, r.URL.Path, status, len(body))
	}
	answer(w, status, out)
}

func answer(w http.ResponseWriter, status int, out any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out) // the caller may be gone
}

// handle carries out a call and returns its answer. s.mu is held.
func (s *store) handle(r *http.Request, parts []string, body []byte) (int, any) {
	if s.down {
		return http.StatusServiceUnavailable, nil
	}
	kind := parts[0]
	if r.Method == http.MethodGet && len(parts) == 1 {
		return http.StatusOK, s.list(kind, r.URL.Query().Get("after"))
	}
	var in object
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		return http.StatusBadRequest, nil
	}
	if len(body) > maxValueBytes {
		return http.StatusRequestEntityTooLarge, nil
	}
	name := in.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	known, found := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && found:
		return http.StatusConflict, known
	case r.Method == http.MethodPost:
		return http.StatusOK, s.commit(kind, object{Metadata: metadata{Name: name, Finalizers: in.Metadata.Finalizers}, Spec: in.Spec}, false)
	case !found:
		return http.StatusNotFound, nil
	case r.Method == http.MethodGet:
		return http.StatusOK, known
	case in.Metadata.Revision != 0 && in.Metadata.Revision != known.Metadata.Revision:
		return http.StatusConflict, known
	case r.Method == http.MethodDelete:
		return http.StatusOK, s.commit(kind, known, true)
	case len(parts) == 3 && bytes.Equal(known.Status, in.Status), len(parts) == 2 && bytes.Equal(known.Spec, in.Spec):
		return http.StatusOK, known
	case len(parts) == 3:
		known.Status = in.Status
	default:
		known.Spec = in.Spec
	}
	return http.StatusOK, s.commit(kind, known, false)
}

type listing struct {
	Items      []object `json:"items"`
	MorePages  bool     `json:"morePages"`
	CurrentRev uint64   `json:"currentRev"`
}

// list returns a page of a kind. s.mu is held.
func (s *store) list(kind, after string) listing {
	page := listing{Items: []object{}, CurrentRev: s.revision}
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	size := 0
	for _, name := range names {
		o := s.objects[kind][name]
		if size += len(o.Spec); len(page.Items) == listLimit || len(page.Items) > 0 && size > maxValueBytes {
			page.MorePages = true
			break
		}
		page.Items = append(page.Items, o)
	}
	return page
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			answer(w, http.StatusServiceUnavailable, nil)
			return
		}
		events, revision, changed := s.since(kind, after), s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			answer(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes of a kind after a revision. s.mu is held.
func (s *store) since(kind string, after uint64) []change {
	events := []change{}
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Object.Metadata.Revision > after })
	for _, c := range s.changes[first:] {
		if c.kind == kind {
			events = append(events, c)
		}
	}
	return events
}
