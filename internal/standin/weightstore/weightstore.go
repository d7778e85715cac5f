// Package weightstore is a stand-in for the weight store: trainers put weight
// versions, engines get them, and a rate limit refuses excess gets.
//
// # Usage
//
//	s := weightstore.New(weightstore.Options{Rate: 20, Burst: 8, Bytes: 64 << 10})
//	http.Serve(listener, s.Handler())
//
// Switches: outage, slow and limit. GET /fake/calls returns the number of gets and
// how many of them the rate limit refused.
package weightstore

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/standin/host"
)

// Options describe how the store performs.
type Options struct {
	// Rate limits the gets per second, Burst the gets at once. A Rate of 0 means
	// no limit.
	Rate  float64
	Burst int
	// Bytes is the size of the weights returned for each version.
	Bytes int
}

// Store is the stand-in. Handler serves it.
type Store struct {
	options Options

	mu      sync.Mutex
	limiter *rate.Limiter
	// versions holds the versions stored for each trainer, without their weights.
	versions map[string]map[int]bool
	// slowDelay is added to each get while slow is on.
	slowDelay time.Duration
	gets      int
	refused   int

	outage, slow host.Toggle
}

// New returns an empty store.
func New(options Options) *Store {
	s := &Store{options: options, versions: map[string]map[int]bool{}}
	s.setLimit(limitBody{options.Rate, options.Burst})
	return s
}

type limitBody struct {
	Rate  float64 `json:"rate"`
	Burst int     `json:"burst"`
}

type slowBody struct {
	On      bool  `json:"on"`
	MS      int64 `json:"ms"`
	DelayMS int64 `json:"delay_ms"`
}

func (s *Store) setLimit(b limitBody) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter = rate.NewLimiter(rate.Inf, 0)
	if b.Rate > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(b.Rate), max(b.Burst, 1))
	}
}

// Handler returns the store's HTTP interface.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter()
	r.NotFoundHandler = http.HandlerFunc(host.NotFound)
	r.HandleFunc("/v1/weights/{trainer}/{version}", s.get).Methods(http.MethodGet)
	r.HandleFunc("/v1/weights/{trainer}/{version}", s.put).Methods(http.MethodPut)
	r.HandleFunc("/fake/outage", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, host.ToggleBody{On: true}, func(b host.ToggleBody) (any, error) { s.outage.Set(b); return b, nil })
	}).Methods(http.MethodPost)
	r.HandleFunc("/fake/slow", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, slowBody{On: true, DelayMS: 1000}, func(b slowBody) (any, error) {
			s.mu.Lock()
			s.slowDelay = time.Duration(b.DelayMS) * time.Millisecond
			s.mu.Unlock()
			s.slow.Set(host.ToggleBody{On: b.On, MS: b.MS})
			return b, nil
		})
	}).Methods(http.MethodPost)
	r.HandleFunc("/fake/limit", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, limitBody{}, func(b limitBody) (any, error) { s.setLimit(b); return b, nil })
	}).Methods(http.MethodPost)
	r.HandleFunc("/fake/calls", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		codec.Write(w, http.StatusOK, map[string]int{"gets": s.gets, "refused": s.refused})
	}).Methods(http.MethodGet)
	return r
}

// pathVersion returns the trainer and version in the path.
func pathVersion(r *http.Request) (string, int, error) {
	v := mux.Vars(r)
	version, err := strconv.Atoi(v["version"])
	if err != nil || version < 0 {
		return "", 0, code.New(code.BadRequest, "version %q must be a number", v["version"])
	}
	return v["trainer"], version, nil
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	trainer, version, err := pathVersion(r)
	if err != nil {
		codec.WriteError(w, err)
		return
	}
	if s.outage.On() {
		codec.Write(w, http.StatusServiceUnavailable, map[string]string{"message": "the weight store is down"})
		return
	}
	s.mu.Lock()
	allowed := s.limiter.Allow()
	found := s.versions[trainer][version]
	delay := s.slowDelay
	s.gets++
	if !allowed {
		s.refused++
	}
	s.mu.Unlock()
	if !allowed {
		host.TooManyRequests(w, "rate limit of the weight store")
		return
	}
	if s.slow.On() {
		time.Sleep(delay)
	}
	if !found {
		codec.WriteError(w, code.New(code.MissingObject, "version %d of trainer %q does not exist", version, trainer))
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(bytes.Repeat([]byte{'w'}, s.options.Bytes))
}

// put stores that the version exists; the weights themselves are discarded.
func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	trainer, version, err := pathVersion(r)
	if err != nil {
		codec.WriteError(w, err)
		return
	}
	if s.outage.On() {
		codec.Write(w, http.StatusServiceUnavailable, map[string]string{"message": "the weight store is down"})
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		codec.WriteError(w, code.New(code.BadRequest, "the body ended early"))
		return
	}
	s.mu.Lock()
	if s.versions[trainer] == nil {
		s.versions[trainer] = map[int]bool{}
	}
	s.versions[trainer][version] = true
	s.mu.Unlock()
	codec.Write(w, http.StatusOK, struct{}{})
}
