// Package scorer is a stand-in for a scoring service. The score is a function of
// the prompt and the text, so that a repeated call returns the same scores.
//
// # Usage
//
//	s := scorer.New(10 * time.Millisecond)
//	http.Serve(listener, s.Handler())
//
// Switches: fail (the next calls return 500), drop (the next calls are scored, but
// their connections are reset before the response) and slow. GET /fake/calls
// returns the number of samples scored.
package scorer

import (
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/standin/host"
)

const maxBodyBytes = 64 << 20

// Scorer is the stand-in. Handler serves it.
type Scorer struct {
	latency time.Duration

	mu sync.Mutex
	// slowDelay is added to each call while slow is on.
	slowDelay     time.Duration
	samplesScored int

	failCalls, dropCalls host.Countdown
	slow                 host.Toggle
}

// New returns a scorer whose calls each take latency.
func New(latency time.Duration) *Scorer { return &Scorer{latency: latency} }

type sample struct {
	ID     string `json:"id"`
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

type scoreRequest struct {
	Samples []sample `json:"samples"`
}

type score struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
}

type scoreResponse struct {
	Scores []score `json:"scores"`
}

type slowBody struct {
	On      bool  `json:"on"`
	MS      int64 `json:"ms"`
	DelayMS int64 `json:"delay_ms"`
}

// Score returns the score of a text, from 0 to less than 1.
func Score(prompt, text string) float64 {
	return float64(xxhash.Sum64String(prompt+"\x00"+text)%1000) / 1000
}

// Handler returns the scorer's HTTP interface.
func (s *Scorer) Handler() http.Handler {
	r := mux.NewRouter()
	r.NotFoundHandler = http.HandlerFunc(host.NotFound)
	r.HandleFunc("/v1/score", s.score).Methods(http.MethodPost)
	count := func(name string, c *host.Countdown) {
		r.HandleFunc("/fake/"+name, func(w http.ResponseWriter, r *http.Request) {
			host.Switch(w, r, host.CountdownBody{Count: 1}, func(b host.CountdownBody) (any, error) { c.Set(b.Count); return b, nil })
		}).Methods(http.MethodPost)
	}
	count("fail", &s.failCalls)
	count("drop", &s.dropCalls)
	r.HandleFunc("/fake/slow", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, slowBody{On: true, DelayMS: 1000}, func(b slowBody) (any, error) {
			s.mu.Lock()
			s.slowDelay = time.Duration(b.DelayMS) * time.Millisecond
			s.mu.Unlock()
			s.slow.Set(host.ToggleBody{On: b.On, MS: b.MS})
			return b, nil
		})
	}).Methods(http.MethodPost)
	r.HandleFunc("/fake/calls", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		codec.Write(w, http.StatusOK, map[string]int{"scored": s.samplesScored})
	}).Methods(http.MethodGet)
	return r
}

func (s *Scorer) score(w http.ResponseWriter, r *http.Request) {
	b, err := codec.Read[scoreRequest](r, maxBodyBytes)
	if err != nil {
		codec.WriteError(w, err)
		return
	}
	s.mu.Lock()
	delay := s.latency
	if s.slow.On() {
		delay += s.slowDelay
	}
	s.samplesScored += len(b.Samples)
	s.mu.Unlock()
	time.Sleep(delay)
	if s.failCalls.Take() {
		codec.Write(w, http.StatusInternalServerError, map[string]string{"message": "the scorer failed"})
		return
	}
	if s.dropCalls.Take() {
		host.ResetConn(r)
	}
	response := scoreResponse{Scores: make([]score, 0, len(b.Samples))}
	for _, v := range b.Samples {
		response.Scores = append(response.Scores, score{v.ID, Score(v.Prompt, v.Text)})
	}
	codec.Write(w, http.StatusOK, response)
}
