// Package scorer stands in for a scoring service. The score is a function of
// the prompt and the text, so that a repeated call gives the same answer.
//
// # Usage
//
//	s := scorer.New(10 * time.Millisecond)
//	http.Serve(listener, s.Handler())
//
// Switches: fail (the next calls answer 500), drop (the answer is lost) and slow.
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

const bodyLimit = 64 << 20

// Scorer is a running stand-in.
type Scorer struct {
	work time.Duration

	mu     sync.Mutex
	delay  time.Duration
	scored int

	fail, drop host.Count
	slow       host.Toggle
}

// New returns a scorer whose calls take the given time.
func New(work time.Duration) *Scorer { return &Scorer{work: work} }

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

type scoreAnswer struct {
	Scores []score `json:"scores"`
}

type slowBody struct {
	On      bool  `json:"on"`
	MS      int64 `json:"ms"`
	DelayMS int64 `json:"delay_ms"`
}

// Score returns the score of a text, from 0 to 1.
func Score(prompt, text string) float64 {
	return float64(xxhash.Sum64String(prompt+"\x00"+text)%1000) / 1000
}

// Handler returns the scorer's HTTP interface.
func (s *Scorer) Handler() http.Handler {
	r := mux.NewRouter()
	r.NotFoundHandler = http.HandlerFunc(host.Unknown)
	r.HandleFunc("/v1/score", s.score).Methods(http.MethodPost)
	count := func(name string, c *host.Count) {
		r.HandleFunc("/fake/"+name, func(w http.ResponseWriter, r *http.Request) {
			host.Switch(w, r, host.CountBody{Count: 1}, func(b host.CountBody) (any, error) { c.Set(b.Count); return b, nil })
		}).Methods(http.MethodPost)
	}
	count("fail", &s.fail)
	count("drop", &s.drop)
	r.HandleFunc("/fake/slow", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, slowBody{On: true, DelayMS: 1000}, func(b slowBody) (any, error) {
			s.mu.Lock()
			s.delay = time.Duration(b.DelayMS) * time.Millisecond
			s.mu.Unlock()
			s.slow.Set(host.OnBody{On: b.On, MS: b.MS})
			return b, nil
		})
	}).Methods(http.MethodPost)
	r.HandleFunc("/fake/calls", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		codec.Write(w, http.StatusOK, map[string]int{"scored": s.scored})
	}).Methods(http.MethodGet)
	return r
}

func (s *Scorer) score(w http.ResponseWriter, r *http.Request) {
	b, err := codec.Read[scoreRequest](r, bodyLimit)
	if err != nil {
		codec.WriteError(w, err)
		return
	}
	s.mu.Lock()
	wait := s.work
	if s.slow.On() {
		wait += s.delay
	}
	s.scored += len(b.Samples)
	s.mu.Unlock()
	time.Sleep(wait)
	if s.fail.Take() {
		codec.Write(w, http.StatusInternalServerError, map[string]string{"message": "the scorer failed"})
		return
	}
	if s.drop.Take() {
		host.Reset(r)
	}
	answer := scoreAnswer{Scores: make([]score, 0, len(b.Samples))}
	for _, v := range b.Samples {
		answer.Scores = append(answer.Scores, score{v.ID, Score(v.Prompt, v.Text)})
	}
	codec.Write(w, http.StatusOK, answer)
}
