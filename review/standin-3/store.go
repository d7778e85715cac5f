package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
)

// metadata names an object of the store and its revision.
type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

// object is an object of the store as it is sent.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// event is a change that a watch tells of.
type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is a stand-in for the platform's metadata store and for the recipient of usage
// reports.
type store struct {
	records records.Store
	address string
	server  *http.Server
}

// newStore starts a store at a free port of the IP.
func newStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{records: ledger.New().Store(), address: listener.Addr().String()}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }() // returns when the server is closed
	return s, nil
}

// write puts an object as the operator or a replica does.
func (s *store) write(kind, name string, spec any) {
	body, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the types of this program can be encoded
	}
	r := records.Record{Kind: kind, Name: name, Body: body}
	if _, err := s.records.Create(context.Background(), r); errors.Is(err, records.ErrConflict) {
		_, _ = s.records.Put(context.Background(), r) // cannot fail without a revision
	}
}

// remove deletes an object, which may be gone already.
func (s *store) remove(kind, name string) {
	_ = s.records.Delete(context.Background(), kind, name)
}

// ServeHTTP answers one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == "/usage" {
		w.WriteHeader(http.StatusOK)
		return
	}
	status, out := s.handle(r, body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out) // the caller may be gone
}

func (s *store) handle(r *http.Request, body []byte) (int, any) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	var in object
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		return http.StatusBadRequest, nil
	}
	record := records.Record{Kind: kind, Name: name, Revision: in.Metadata.Revision, Body: in.Spec, Status: in.Status}
	ctx, query := r.Context(), r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name != "":
		return reply(s.records.Get(ctx, kind, name))
	case r.Method == http.MethodGet && query.Has("watch"):
		return s.watch(r, kind)
	case r.Method == http.MethodGet:
		page, err := s.records.List(ctx, kind, query.Get("after"))
		items := []object{}
		for _, record := range page.Records {
			items = append(items, objectOf(record))
		}
		return statusOf(err), map[string]any{"items": items, "morePages": false, "currentRev": page.Revision}
	case r.Method == http.MethodPost:
		record.Name = in.Metadata.Name
		return reply(s.records.Create(ctx, record))
	case r.Method == http.MethodPut && isStatus:
		return reply(s.records.PutStatus(ctx, record))
	case r.Method == http.MethodPut:
		return reply(s.records.Put(ctx, record))
	case r.Method == http.MethodDelete:
		return reply(record, s.records.Delete(ctx, kind, name))
	}
	return http.StatusNotFound, nil
}

func (s *store) watch(r *http.Request, kind string) (int, any) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	changes, err := s.records.Watch(r.Context(), kind, after, time.Duration(wait)*time.Millisecond)
	events := []event{}
	for _, record := range changes.Records {
		events = append(events, event{objectOf(record), record.Deleted})
	}
	return statusOf(err), map[string]any{"events": events, "currentRev": changes.Revision}
}

func reply(r records.Record, err error) (int, any) { return statusOf(err), objectOf(r) }

func objectOf(r records.Record) object {
	return object{Metadata: metadata{r.Name, r.Revision}, Spec: r.Body, Status: r.Status}
}

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
