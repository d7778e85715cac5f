package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Limits of one page of a list, as on the platform's page.
const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
	storeDelay   = 4 * time.Millisecond
)

// store is a stand-in for the platform's metadata store and its duty calls.
type store struct {
	w      *world
	ledger *recordLedger

	mu   sync.Mutex
	mode func(from string, r *http.Request) verdict // what happens to a call; nil serves all
	seen []duty
}

// verdict tells what the store does with a call.
type verdict struct {
	status int           // refuses with this status
	lose   bool          // carries the call out and loses the answer
	late   time.Duration // loses the answer and carries the call out later
	delay  time.Duration
	hang   bool // no answer, and not carried out
}

// duty is a call that only the holder of a duty may make.
type duty struct {
	at     time.Time
	holder string
	fence  uint64
	path   string
	body   string
}

func newStore(w *world) *store {
	return &store{w: w, ledger: newLedger()}
}

// listen serves the store at an address for the calls of one process.
func (s *store) listen(address, from string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, from) })}
	go func() { _ = server.Serve(l) }()
	return nil
}

func (s *store) setMode(mode func(string, *http.Request) verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

// write puts an object as the operator, a trainer or a replica does; its return is the ack.
func (s *store) write(kind, name string, spec any) uint64 {
	body, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	r := records.Record{Kind: kind, Name: name, Body: body}
	written, err := s.ledger.put(r, true, false)
	if errors.Is(err, records.ErrConflict) {
		written, err = s.ledger.put(r, false, false)
	}
	if err != nil {
		panic(err)
	}
	return written.Revision
}

func (s *store) remove(kind, name string) { _, _ = s.ledger.remove(kind, name) }

func (s *store) serve(w http.ResponseWriter, r *http.Request, from string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	mode := s.mode
	s.mu.Unlock()
	var v verdict
	if mode != nil {
		v = mode(from, r)
	}
	time.Sleep(storeDelay + v.delay)
	if v.status != 0 {
		w.WriteHeader(v.status)
		return
	}
	if v.hang {
		<-r.Context().Done()
		return
	}
	if v.late > 0 || v.lose {
		detached := r.Clone(context.Background())
		if v.late > 0 {
			time.AfterFunc(v.late, func() { s.handle(detached, body) })
		} else {
			s.handle(detached, body)
		}
		<-r.Context().Done()
		return
	}
	if !strings.HasPrefix(r.URL.Path, "/v1/objects/") {
		s.handleDuty(w, r, body)
		return
	}
	status, out := s.handle(r, body)
	encoded, err := json.Marshal(out)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

func (s *store) handleDuty(w http.ResponseWriter, r *http.Request, body []byte) {
	fence, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || r.Header.Get("Duty-Holder") == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, duty{time.Now(), r.Header.Get("Duty-Holder"), fence, r.URL.Path, string(bytes.TrimSpace(body))})
	w.WriteHeader(http.StatusOK)
}

func (s *store) duties() []duty {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]duty(nil), s.seen...)
}

func (s *store) handle(r *http.Request, body []byte) (int, any) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	var in object
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		return http.StatusBadRequest, nil
	}
	if len(body) > maxPageBytes {
		return http.StatusRequestEntityTooLarge, nil
	}
	record := records.Record{Kind: kind, Name: name, Revision: in.Metadata.Revision, Body: in.Spec, Status: in.Status}
	switch {
	case r.Method == http.MethodGet && name != "":
		return s.answer(s.ledger.get(kind, name))
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		return s.watch(r, kind)
	case r.Method == http.MethodGet:
		return s.list(r, kind)
	case r.Method == http.MethodPost:
		record.Name = in.Metadata.Name
		return s.answer(s.ledger.put(record, true, false))
	case r.Method == http.MethodPut:
		return s.answer(s.ledger.put(record, false, len(parts) == 3))
	case r.Method == http.MethodDelete:
		return s.answer(s.ledger.remove(kind, name))
	}
	return http.StatusNotFound, nil
}

func (s *store) answer(r records.Record, err error) (int, any) { return statusOf(err), s.objectOf(r) }

func statusOf(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case errors.Is(err, records.ErrMissing):
		return http.StatusNotFound
	case errors.Is(err, records.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, records.ErrCompacted):
		return http.StatusGone
	}
	return http.StatusServiceUnavailable
}

// objectOf returns the object of a record. The addresses of processes are those of the
// links between them.
func (s *store) objectOf(r records.Record) object {
	body := r.Body
	if r.Kind == "nodes" {
		body = s.w.linkNode(r.Name, body)
	}
	return object{Metadata: metadata{r.Name, r.Revision}, Spec: body, Status: r.Status}
}

func firstPage(list []records.Record) []records.Record {
	size := 0
	for i, r := range list {
		size += len(r.Body) + len(r.Status)
		if i > 0 && (size > maxPageBytes || i >= maxPageItems) {
			return list[:i]
		}
	}
	return list
}

func (s *store) list(r *http.Request, kind string) (int, any) {
	all, revision := s.ledger.list(kind, r.URL.Query().Get("after"))
	items := []object{}
	first := firstPage(all)
	for _, record := range first {
		items = append(items, s.objectOf(record))
	}
	return http.StatusOK, map[string]any{"items": items, "morePages": len(first) < len(all), "currentRev": revision}
}

// watch answers with as many events as a page of a list may hold.
func (s *store) watch(r *http.Request, kind string) (int, any) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	changes, revision, err := s.ledger.watch(r.Context(), kind, after, time.Duration(wait)*time.Millisecond)
	events := []event{}
	first := firstPage(changes)
	for _, record := range first {
		events = append(events, event{s.objectOf(record), record.Deleted})
	}
	if len(first) < len(changes) {
		revision = first[len(first)-1].Revision
	}
	return statusOf(err), map[string]any{"events": events, "currentRev": revision}
}
