// Package engine stands in for a model engine with continuous batching: the
// token rate of a stream falls with the number running, slots are limited, a
// prompt-prefix cache shortens the wait for the first token, and a cold engine
// falls over when it gets more than it bears.
//
// # Usage
//
//	e := engine.New(engine.Defaults())
//	h := host.New(host.Options{Name: "engine", Listen: address, Handler: e.Handler(), OnDown: e.Reset})
//	e.OnFall = func() { h.Down(time.Second) }
//
// The text is a function of the prompt, so that callers can check an answer:
// token i of a prompt is "TAG.i ", where TAG is Tag(prompt). The number of
// tokens is max_tokens, or N when the prompt contains "len=N ".
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/standin/host"
)

// Options describe how the engine performs.
type Options struct {
	Model string
	// Slots is the number of streams that run at the same time.
	Slots int
	// Queue is the number of requests that may wait for a slot.
	Queue int
	// Rate is the tokens per second of a stream that runs alone, Total the
	// highest sum over all streams.
	Rate, Total float64
	// Prefill is the prompt bytes per second that are read before the first token.
	Prefill float64
	// Chunk is the time between two chunks of a stream.
	Chunk time.Duration
	// LoadLag is the age that a load report reaches before it is renewed.
	LoadLag time.Duration
	// EventLag is how late a cache event is shown; one in EventGap is lost.
	EventLag time.Duration
	EventGap int
	// CacheBlocks is the number of prompt prefixes that the cache holds.
	CacheBlocks int
	// Cold is how long the engine is cold after its start.
	Cold time.Duration
	// Version is the weight version that the engine starts with.
	Version int
	// Weights is the address of the weight store; empty loads from nowhere.
	Weights string
	// Load is the time to load a version once it was fetched.
	Load time.Duration
	// CheckFence refuses version changes with an older fencing token.
	CheckFence bool
	// Seed selects which cache events are lost.
	Seed uint64
}

// Defaults returns the options of a small, quick engine.
func Defaults() Options {
	return Options{
		Model: "tagger", Slots: 16, Queue: 64, Rate: 200, Total: 1600, Prefill: 50_000,
		Chunk: 50 * time.Millisecond, LoadLag: 500 * time.Millisecond, Version: 1,
		EventLag: 500 * time.Millisecond, EventGap: 10, CacheBlocks: 4096,
		Load: 300 * time.Millisecond, Seed: 1,
	}
}

// Engine is a running stand-in.
type Engine struct {
	options Options
	// OnFall is called when the engine falls over. Without it, only the
	// streams end.
	OnFall func()
	client *http.Client

	mu      sync.Mutex
	streams map[string]*stream
	running int
	// producing is the number of running streams that sent a token.
	producing int
	waiting   []*stream
	powered   bool
	cold      coldness
	versions  versions
	reported  loadReport
	at        time.Time
	cache     *cache
	slowness  float64
	slowTill  time.Time
	poison    map[string]bool
	fails     map[string]int
	falls     int
	started   int
	tokens    int64
	replaced  int
	role      string
	adapters  []string

	crossed host.Count
}

// New returns an engine that is on and, with Cold in its options, cold.
func New(options Options) *Engine {
	e := &Engine{
		options: options, streams: map[string]*stream{}, powered: true,
		versions: versions{active: options.Version, loaded: []int{options.Version}, fences: map[string]uint64{}}, cache: newCache(options),
		poison: map[string]bool{}, fails: map[string]int{}, slowness: 1, role: "both",
		client: &http.Client{Timeout: time.Minute, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	e.cold.begin(options.Cold, 0)
	return e
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.NotFoundHandler = http.HandlerFunc(host.Unknown)
	r.HandleFunc("/v1/generate", e.on(e.generate)).Methods(http.MethodPost)
	r.HandleFunc("/v1/generate/{request}", e.on(e.cancel)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/load", e.on(e.load)).Methods(http.MethodGet)
	r.HandleFunc("/v1/cache/events", e.on(e.events)).Methods(http.MethodGet)
	r.HandleFunc("/v1/versions", e.on(e.changeVersion)).Methods(http.MethodPost)
	r.HandleFunc("/v1/versions", e.on(e.showVersions)).Methods(http.MethodGet)
	r.HandleFunc("/v1/role", e.on(e.setRole)).Methods(http.MethodPost)
	r.HandleFunc("/v1/adapters", e.on(e.setAdapters)).Methods(http.MethodPost)
	r.HandleFunc("/v1/kv/export", e.on(e.exportKV)).Methods(http.MethodPost)
	r.HandleFunc("/v1/kv/import", e.on(e.importKV)).Methods(http.MethodPost)
	e.switches(r)
	return r
}

// on resets connections while the engine is turned off.
func (e *Engine) on(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		powered := e.powered
		e.mu.Unlock()
		if !powered {
			host.Reset(r)
		}
		handle(w, r)
	}
}

type powerBody struct {
	On     bool  `json:"on"`
	ColdMS int64 `json:"cold_ms"`
}

type slowBody struct {
	Factor float64 `json:"factor"`
	MS     int64   `json:"ms"`
}

type poisonBody struct {
	// Digest is the Tag of the prompt that crashes the engine.
	Digest string `json:"digest"`
	On     bool   `json:"on"`
}

type failBody struct {
	// Action is load or switch; silent answers 200 and changes nothing.
	Action string `json:"action"`
	Count  int    `json:"count"`
	Silent bool   `json:"silent"`
}

func (e *Engine) switches(r *mux.Router) {
	post := func(name string, handle http.HandlerFunc) {
		r.HandleFunc("/fake/"+name, handle).Methods(http.MethodPost)
	}
	post("power", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, powerBody{On: true}, func(b powerBody) (any, error) { e.Power(b.On, ms(b.ColdMS)); return b, nil })
	})
	post("cold", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, powerBody{On: true, ColdMS: 30_000}, func(b powerBody) (any, error) { e.Chill(ms(b.ColdMS)); return b, nil })
	})
	post("slow", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, slowBody{Factor: 10}, func(b slowBody) (any, error) { e.slow(b); return b, nil })
	})
	post("poison", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, poisonBody{On: true}, func(b poisonBody) (any, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.poison[b.Digest] = b.On
			return b, nil
		})
	})
	post("failswap", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, failBody{Action: "switch", Count: 1}, func(b failBody) (any, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.fails[b.Action], e.versions.silentFail = b.Count, b.Silent
			return b, nil
		})
	})
	post("crossed", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, host.CountBody{Count: 1}, func(b host.CountBody) (any, error) { e.crossed.Set(b.Count); return b, nil })
	})
	r.HandleFunc("/fake/state", func(w http.ResponseWriter, _ *http.Request) {
		codec.Write(w, http.StatusOK, e.state())
	}).Methods(http.MethodGet)
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Power turns the engine on or off. Off ends all streams without last line.
func (e *Engine) Power(on bool, cold time.Duration) {
	e.mu.Lock()
	was := e.powered
	e.powered = on
	if on && !was {
		e.versions.restart(e.options.Version)
	}
	if on && (!was || cold > 0) {
		e.cold.begin(cold, e.running)
	}
	e.mu.Unlock()
	if !on {
		e.Reset()
	}
}

// Chill makes the engine cold.
func (e *Engine) Chill(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.clear()
	e.cold.begin(d, e.running)
}

// Reset ends all streams without last line and forgets the cache.
func (e *Engine) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.end(errFallen)
	}
	e.cache.clear()
}

// Restart makes the engine cold as after a start of its process.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions.restart(e.options.Version)
	e.cold.begin(e.options.Cold, 0)
}

// fall is the engine's collapse; the caller holds the lock.
func (e *Engine) fall() {
	e.falls++
	for _, s := range e.streams {
		s.end(errFallen)
	}
	if e.OnFall != nil {
		go e.OnFall()
	}
}

func (e *Engine) slow(b slowBody) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowness, e.slowTill = max(b.Factor, 1), time.Time{}
	if b.MS > 0 {
		e.slowTill = time.Now().Add(ms(b.MS))
	}
}

type loadReport struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Limit   int     `json:"limit"`
	Version int     `json:"version"`
	KVUsed  float64 `json:"kv_used"`
	AgeMS   int64   `json:"age_ms"`
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	if e.at.IsZero() || now.Sub(e.at) >= e.options.LoadLag {
		e.at = now
		e.reported = loadReport{
			Running: e.running, Waiting: len(e.waiting), Limit: e.options.Slots,
			Version: e.versions.active, KVUsed: float64(e.running) / float64(e.options.Slots),
		}
	}
	report := e.reported
	report.AgeMS = now.Sub(e.at).Milliseconds()
	e.mu.Unlock()
	codec.Write(w, http.StatusOK, report)
}

type engineState struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Producing is the number of running requests that sent a token.
	Producing int  `json:"producing"`
	Powered   bool `json:"powered"`
	Cold      bool `json:"cold"`
	Bears     int  `json:"bears"`
	Falls     int  `json:"falls"`
	Active    int  `json:"active"`
	// Tokens is the number of tokens generated since the start.
	Tokens int64 `json:"tokens"`
	// Started is the number of requests that came since the start.
	Started int `json:"started"`
	// Replaced is the number of running requests that one with the same id ended.
	Replaced int `json:"replaced"`
}

func (e *Engine) state() engineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engineState{
		Running: e.running, Waiting: len(e.waiting), Producing: e.producing, Powered: e.powered,
		Cold: e.cold.is(time.Now()), Bears: e.bears(), Falls: e.falls, Active: e.versions.active, Tokens: e.tokens, Replaced: e.replaced,
		Started: e.started,
	}
}
