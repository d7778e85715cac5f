// Package service is a stand-in for a plain service. It counts how often each
// request ran, echoes the request's id and can crash at several points of a call.
//
// # Usage
//
//	s := service.New(service.Options{Slots: 16, CallTime: 20 * time.Millisecond})
//	h := host.New(host.Options{Name: "service", Listen: address, Handler: s.Handler(), HandlerCrash: true})
//	s.Down = h.Down
//
// All paths except /fake/ are served alike. The query parameters work_ms and
// bytes set the duration of the call and the amount of padding in the response.
// The response repeats the request's id, method and path and the digest of its
// body, so that callers can verify that it belongs to their request.
package service

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/standin/host"
)

// The points at which a call can crash.
const (
	beforeRead  = "before_read"
	afterRead   = "after_read"
	afterRun    = "after_run"
	midResponse = "mid_response"
)

// Options configure the service's limits and speed.
type Options struct {
	// Slots is the maximum number of calls that run at the same time; others wait.
	Slots int
	// CallTime is the default duration of a call.
	CallTime time.Duration
}

// Service is the stand-in for a plain service.
type Service struct {
	options Options
	// Down takes the whole service down for a time. If it is nil, a crash only
	// resets the connection.
	Down func(time.Duration)
	// Exit ends the process. If it is nil, the field exit of a crash has no effect.
	Exit  func(code int)
	slots chan struct{}

	mu         sync.Mutex
	runsByID   map[string]int
	runsByPath map[string]int
	powered    bool
	crash      crashBody
	slowFactor float64
	slowUntil  time.Time
	status     int

	crossed host.Countdown
	limit   host.Limit
}

// New returns a service that is turned on.
func New(options Options) *Service {
	return &Service{
		options: options, slots: make(chan struct{}, max(options.Slots, 1)),
		runsByID: map[string]int{}, runsByPath: map[string]int{}, powered: true, slowFactor: 1, status: http.StatusOK,
	}
}

type crashBody struct {
	Point string `json:"point"`
	// Count is the number of calls that crash.
	Count int `json:"count"`
	// MS is how long the whole service is down; 0 only resets the connection.
	MS int64 `json:"ms"`
	// Exit ends the process instead.
	Exit bool `json:"exit"`
}

type slowBody struct {
	Factor float64 `json:"factor"`
	MS     int64   `json:"ms"`
}

type statusBody struct {
	// Status is the HTTP status of all further responses.
	Status int `json:"status"`
}

type powerBody struct {
	On     bool  `json:"on"`
	ColdMS int64 `json:"cold_ms"`
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.SkipClean(true)
	r.HandleFunc("/fake/crash", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, crashBody{Point: afterRead, Count: 1}, s.setCrash)
	}).Methods(http.MethodPost)
	r.HandleFunc("/fake/slow", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, slowBody{Factor: 10}, s.setSlow)
	}).Methods(http.MethodPost)
	r.HandleFunc("/fake/power", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, powerBody{On: true}, s.setPower)
	}).Methods(http.MethodPost)
	r.HandleFunc("/fake/status", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, statusBody{http.StatusInternalServerError}, s.setStatus)
	}).Methods(http.MethodPost)
	r.HandleFunc("/fake/crossed", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, host.CountdownBody{Count: 1}, func(b host.CountdownBody) (any, error) { s.crossed.Set(b.Count); return b, nil })
	}).Methods(http.MethodPost)
	r.HandleFunc("/fake/limit", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, host.LimitBody{}, s.limit.Set)
	}).Methods(http.MethodPost)
	r.HandleFunc("/fake/runs", func(w http.ResponseWriter, _ *http.Request) {
		runs, paths := s.Runs()
		codec.Write(w, http.StatusOK, map[string]any{"runs": runs, "paths": paths})
	}).Methods(http.MethodGet)
	r.PathPrefix("/fake/").HandlerFunc(host.NotFound)
	r.PathPrefix("/").HandlerFunc(s.run)
	return r
}

// Runs returns how often requests ran, by request id and by path.
func (s *Service) Runs() (ids, paths map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runsByID), maps.Clone(s.runsByPath)
}

func (s *Service) setCrash(b crashBody) (any, error) {
	switch b.Point {
	case beforeRead, afterRead, afterRun, midResponse:
	default:
		return nil, code.New(code.OutOfRange, "field \"point\" has value %q, must be %s",
			b.Point, strings.Join([]string{beforeRead, afterRead, afterRun, midResponse}, ", "))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash = b
	return b, nil
}

func (s *Service) setSlow(b slowBody) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowFactor, s.slowUntil = max(b.Factor, 1), time.Time{}
	if b.MS > 0 {
		s.slowUntil = time.Now().Add(time.Duration(b.MS) * time.Millisecond)
	}
	return b, nil
}

func (s *Service) setPower(b powerBody) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.powered = b.On
	return b, nil
}

func (s *Service) setStatus(b statusBody) (any, error) {
	if b.Status < 200 || b.Status > 599 {
		return nil, code.New(code.OutOfRange, "field \"status\" has value %d, must be from 200 to 599", b.Status)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = b.Status
	return b, nil
}

// crashAt crashes the call if a crash at this point was requested. It resets the
// connection at any point while the service is turned off.
func (s *Service) crashAt(r *http.Request, point string) {
	s.mu.Lock()
	b := s.crash
	hit := b.Count > 0 && b.Point == point
	if hit {
		s.crash.Count--
	}
	powered := s.powered
	s.mu.Unlock()
	if !hit && powered {
		return
	}
	if hit && b.Exit && s.Exit != nil {
		s.Exit(3)
	}
	if hit && b.MS > 0 && s.Down != nil {
		s.Down(time.Duration(b.MS) * time.Millisecond)
	}
	host.ResetConn(r)
}

type responseBody struct {
	Request string `json:"request"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Digest  string `json:"digest"`
	Pad     string `json:"pad,omitempty"`
}

// Digest returns the digest of a request body, as the response contains it.
func Digest(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	s.crashAt(r, beforeRead)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		// The client disconnected before it had sent the whole request.
		return
	}
	s.crashAt(r, afterRead)
	s.limit.Name(w)
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	id := r.Header.Get(codec.HeaderRequest)
	s.mu.Lock()
	s.runsByID[id]++
	s.runsByPath[r.URL.Path]++
	status := s.status
	s.mu.Unlock()
	time.Sleep(s.workTime(r))
	<-s.slots
	s.crashAt(r, afterRun)
	response := responseBody{Request: id, Method: r.Method, Path: r.URL.Path, Digest: Digest(body)}
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && n > 0 {
		response.Pad = string(bytes.Repeat([]byte("x"), min(n, 64<<20)))
	}
	if s.crossed.Take() {
		id = "crossed-" + id
		response.Request, response.Digest = id, Digest([]byte("another body"))
	}
	w.Header().Set(codec.HeaderRequest, id)
	if s.crashPending(midResponse) {
		s.crashMidResponse(w, r)
	}
	codec.Write(w, status, response)
}

// crashPending reports whether a crash at this point was requested.
func (s *Service) crashPending(point string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crash.Count > 0 && s.crash.Point == point
}

// crashMidResponse sends part of a response and then crashes.
func (s *Service) crashMidResponse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "1000")
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write([]byte(`{"request":`))
	_ = http.NewResponseController(w).Flush()
	s.crashAt(r, midResponse)
}

// workTime returns the duration of a call.
func (s *Service) workTime(r *http.Request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.options.CallTime
	if n, err := strconv.Atoi(r.URL.Query().Get("work_ms")); err == nil && n >= 0 {
		d = time.Duration(n) * time.Millisecond
	}
	if s.slowUntil.IsZero() || time.Now().Before(s.slowUntil) {
		d = time.Duration(float64(d) * s.slowFactor)
	}
	return d
}
