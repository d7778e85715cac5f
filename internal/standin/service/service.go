// Package service stands in for a plain service. It counts the runs of each
// request, echoes the request's id and can crash at every point of a call.
//
// # Usage
//
//	s := service.New(service.Options{Slots: 16, Work: 20 * time.Millisecond})
//	h := host.New(host.Options{Name: "service", Listen: address, Handler: s.Handler(), OwnCrash: true})
//	s.Down = h.Down
//
// Any path runs. The queries work_ms and bytes set the time of the run and the
// size of the answer. The answer repeats the request's id, path and the digest
// of its body, so that a caller can check that it is its own.
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

// Options describe how the service performs.
type Options struct {
	// Slots is the number of calls that run at the same time; others wait.
	Slots int
	// Work is the time that a call runs.
	Work time.Duration
}

// Service is a running stand-in.
type Service struct {
	options Options
	// Down takes the process down; nil resets only the connection.
	Down func(time.Duration)
	// Exit ends the process.
	Exit  func(code int)
	slots chan struct{}

	mu       sync.Mutex
	runs     map[string]int
	paths    map[string]int
	powered  bool
	crash    crashBody
	slowness float64
	slowTill time.Time
	status   int

	crossed host.Count
}

// New returns a service that is on.
func New(options Options) *Service {
	return &Service{
		options: options, slots: make(chan struct{}, max(options.Slots, 1)),
		runs: map[string]int{}, paths: map[string]int{}, powered: true, slowness: 1, status: http.StatusOK,
	}
}

type crashBody struct {
	Point string `json:"point"`
	// Count is the number of calls that crash.
	Count int `json:"count"`
	// MS is how long the whole service is down; 0 resets only the connection.
	MS   int64 `json:"ms"`
	Exit bool  `json:"exit"`
}

type slowBody struct {
	Factor float64 `json:"factor"`
	MS     int64   `json:"ms"`
}

type statusBody struct {
	// Status is the status of all answers from now on.
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
		host.Switch(w, r, host.CountBody{Count: 1}, func(b host.CountBody) (any, error) { s.crossed.Set(b.Count); return b, nil })
	}).Methods(http.MethodPost)
	r.HandleFunc("/fake/runs", func(w http.ResponseWriter, _ *http.Request) {
		runs, paths := s.Runs()
		codec.Write(w, http.StatusOK, map[string]any{"runs": runs, "paths": paths})
	}).Methods(http.MethodGet)
	r.PathPrefix("/fake/").HandlerFunc(host.Unknown)
	r.PathPrefix("/").HandlerFunc(s.run)
	return r
}

// Runs returns how often each request ran, by its id and by its path.
func (s *Service) Runs() (ids, paths map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs), maps.Clone(s.paths)
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
	s.slowness, s.slowTill = max(b.Factor, 1), time.Time{}
	if b.MS > 0 {
		s.slowTill = time.Now().Add(time.Duration(b.MS) * time.Millisecond)
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

// crashAt crashes the call if it was asked to at this point.
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
	host.Reset(r)
}

type answerBody struct {
	Request string `json:"request"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Digest  string `json:"digest"`
	Pad     string `json:"pad,omitempty"`
}

// Digest returns the digest of a body as it stands in an answer.
func Digest(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	s.crashAt(r, beforeRead)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		// The caller went away before the request was whole.
		return
	}
	s.crashAt(r, afterRead)
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	id := r.Header.Get(codec.HeaderRequest)
	s.mu.Lock()
	s.runs[id]++
	s.paths[r.URL.Path]++
	status := s.status
	s.mu.Unlock()
	time.Sleep(s.work(r))
	<-s.slots
	s.crashAt(r, afterRun)
	answer := answerBody{Request: id, Method: r.Method, Path: r.URL.Path, Digest: Digest(body)}
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && n > 0 {
		answer.Pad = string(bytes.Repeat([]byte("x"), min(n, 64<<20)))
	}
	if s.crossed.Take() {
		id = "crossed-" + id
		answer.Request, answer.Digest = id, Digest([]byte("another body"))
	}
	w.Header().Set(codec.HeaderRequest, id)
	if s.armed(midResponse) {
		s.breakOff(w, r)
	}
	codec.Write(w, status, answer)
}

func (s *Service) armed(point string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crash.Count > 0 && s.crash.Point == point
}

// breakOff sends part of an answer and then crashes.
func (s *Service) breakOff(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "1000")
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write([]byte(`{"request":`))
	_ = http.NewResponseController(w).Flush()
	s.crashAt(r, midResponse)
}

func (s *Service) work(r *http.Request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.options.Work
	if n, err := strconv.Atoi(r.URL.Query().Get("work_ms")); err == nil && n >= 0 {
		d = time.Duration(n) * time.Millisecond
	}
	if s.slowTill.IsZero() || time.Now().Before(s.slowTill) {
		d = time.Duration(float64(d) * s.slowness)
	}
	return d
}
