// Package engine is a stand-in for a model engine with continuous batching: the
// token rate of a stream falls with the number of running streams, slots are
// limited, a prompt-prefix cache shortens the time to the first token, and a cold
// engine crashes when it gets more requests than its capacity.
//
// # Usage
//
//	e := engine.New(engine.Defaults())
//	h := host.New(host.Options{Name: "engine", Listen: address, Handler: e.Handler(), OnDown: e.Reset})
//	e.OnCrash = func() { h.Down(time.Second) }
//
// The generated text is a function of the prompt, so that callers can verify a
// response: token i of a prompt is "TAG.i ", where TAG is Tag(prompt). The number
// of tokens is max_tokens, or N if the prompt contains "len=N " and N is smaller.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/standin/host"
)

// Options configure the engine's limits, speed and delays.
type Options struct {
	Model string
	// Slots is the maximum number of streams that run at the same time.
	Slots int
	// Queue is the maximum number of requests that wait for a slot.
	Queue int
	// StreamRate is the tokens per second of a stream that runs alone, TotalRate
	// the maximum over all streams together.
	StreamRate, TotalRate float64
	// PrefillRate is the prompt bytes processed per second before the first token.
	PrefillRate float64
	// ChunkInterval is the interval between two chunks of a stream.
	ChunkInterval time.Duration
	// LoadLag is the maximum age of a load report; an older one is renewed.
	LoadLag time.Duration
	// EventLag is the delay until a cache event becomes visible. One in EventGap
	// events is lost; 0 loses none.
	EventLag time.Duration
	EventGap int
	// CacheBlocks is the maximum number of prompt prefixes in the cache.
	CacheBlocks int
	// ColdTime is how long the engine is cold after its start.
	ColdTime time.Duration
	// Version is the weight version that the engine starts with.
	Version int
	// WeightStore is the address of the weight store. If it is empty, versions load
	// without a fetch.
	WeightStore string
	// LoadTime is the time to load a version after it was fetched.
	LoadTime time.Duration
	// CheckFence makes the engine refuse version changes with an older fencing token.
	CheckFence bool
	// Seed selects which cache events are lost.
	Seed uint64
}

// Defaults returns the options of a small, fast engine.
func Defaults() Options {
	return Options{
		Model: "tagger", Slots: 16, Queue: 64, StreamRate: 200, TotalRate: 1600, PrefillRate: 50_000,
		ChunkInterval: 50 * time.Millisecond, LoadLag: 500 * time.Millisecond, Version: 1,
		EventLag: 500 * time.Millisecond, EventGap: 10, CacheBlocks: 4096,
		LoadTime: 300 * time.Millisecond, Seed: 1,
	}
}

// Engine is the stand-in for a model engine.
type Engine struct {
	options Options
	// OnCrash is called when the engine crashes. If it is nil, a crash only ends
	// the streams.
	OnCrash func()
	client  *http.Client

	mu      sync.Mutex
	streams map[string]*stream
	running int
	// producing is the number of running streams that have sent a token.
	producing    int
	waiting      []*stream
	powered      bool
	warmup       warmup
	versions     versions
	lastReport   loadReport
	reportedAt   time.Time
	cache        *cache
	slowFactor   float64
	slowUntil    time.Time
	poison       map[string]bool
	failuresLeft map[string]int
	crashes      int
	received     int
	tokens       int64
	replaced     int
	role         string
	adapters     []string

	crossed host.Countdown
	limit   host.Limit
}

// New returns an engine that is turned on. It is cold if the options set ColdTime.
func New(options Options) *Engine {
	e := &Engine{
		options: options, streams: map[string]*stream{}, powered: true,
		versions: versions{active: options.Version, loaded: []int{options.Version}, fences: map[string]uint64{}}, cache: newCache(options),
		poison: map[string]bool{}, failuresLeft: map[string]int{}, slowFactor: 1, role: "both",
		client: &http.Client{Timeout: time.Minute, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	e.warmup.begin(options.ColdTime, 0)
	return e
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.NotFoundHandler = http.HandlerFunc(host.NotFound)
	r.HandleFunc("/v1/generate", e.requirePower(e.generate)).Methods(http.MethodPost)
	r.HandleFunc("/v1/generate/{request}", e.requirePower(e.cancel)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/load", e.requirePower(e.showLoad)).Methods(http.MethodGet)
	r.HandleFunc("/v1/cache/events", e.requirePower(e.showEvents)).Methods(http.MethodGet)
	r.HandleFunc("/v1/versions", e.requirePower(e.changeVersion)).Methods(http.MethodPost)
	r.HandleFunc("/v1/versions", e.requirePower(e.showVersions)).Methods(http.MethodGet)
	r.HandleFunc("/v1/role", e.requirePower(e.setRole)).Methods(http.MethodPost)
	r.HandleFunc("/v1/adapters", e.requirePower(e.setAdapters)).Methods(http.MethodPost)
	r.HandleFunc("/v1/kv/export", e.requirePower(e.exportKV)).Methods(http.MethodPost)
	r.HandleFunc("/v1/kv/import", e.requirePower(e.importKV)).Methods(http.MethodPost)
	e.addSwitches(r)
	return r
}

// requirePower wraps a handler to reset connections while the engine is turned off.
func (e *Engine) requirePower(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		powered := e.powered
		e.mu.Unlock()
		if !powered {
			host.ResetConn(r)
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
	// Digest is the Tag of a prompt that crashes the engine.
	Digest string `json:"digest"`
	On     bool   `json:"on"`
}

type failBody struct {
	// Action is the version change that fails: load or switch.
	Action string `json:"action"`
	Count  int    `json:"count"`
	// Silent makes the engine respond with 200 without changing anything.
	Silent bool `json:"silent"`
}

func (e *Engine) addSwitches(r *mux.Router) {
	post := func(name string, handle http.HandlerFunc) {
		r.HandleFunc("/fake/"+name, handle).Methods(http.MethodPost)
	}
	post("limit", func(w http.ResponseWriter, r *http.Request) { host.Switch(w, r, host.LimitBody{}, e.limit.Set) })
	post("power", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, powerBody{On: true}, func(b powerBody) (any, error) { e.Power(b.On, ms(b.ColdMS)); return b, nil })
	})
	post("cold", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, powerBody{On: true, ColdMS: 30_000}, func(b powerBody) (any, error) { e.MakeCold(ms(b.ColdMS)); return b, nil })
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
			e.failuresLeft[b.Action], e.versions.silentFailure = b.Count, b.Silent
			return b, nil
		})
	})
	post("crossed", func(w http.ResponseWriter, r *http.Request) {
		host.Switch(w, r, host.CountdownBody{Count: 1}, func(b host.CountdownBody) (any, error) { e.crossed.Set(b.Count); return b, nil })
	})
	r.HandleFunc("/fake/state", func(w http.ResponseWriter, _ *http.Request) {
		codec.Write(w, http.StatusOK, e.state())
	}).Methods(http.MethodGet)
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Power turns the engine on or off. Turning it off ends all streams without their
// last line. Turning it on restarts it if it was off, and makes it cold for the
// given time.
func (e *Engine) Power(on bool, cold time.Duration) {
	e.mu.Lock()
	wasPowered := e.powered
	e.powered = on
	if on && !wasPowered {
		e.versions.restart(e.options.Version)
	}
	if on && (!wasPowered || cold > 0) {
		e.warmup.begin(cold, e.running)
	}
	e.mu.Unlock()
	if !on {
		e.Reset()
	}
}

// MakeCold clears the cache and makes the engine cold.
func (e *Engine) MakeCold(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.clear()
	e.warmup.begin(d, e.running)
}

// Reset ends all streams without their last line and clears the cache.
func (e *Engine) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.end(errCrashed)
	}
	e.cache.clear()
}

// Restart puts the engine into the state after a process start: the initial
// weight version, and cold if the options set ColdTime.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions.restart(e.options.Version)
	e.warmup.begin(e.options.ColdTime, 0)
}

// crash ends all streams without their last line and calls OnCrash. The caller
// holds the lock.
func (e *Engine) crash() {
	e.crashes++
	for _, s := range e.streams {
		s.end(errCrashed)
	}
	if e.OnCrash != nil {
		go e.OnCrash()
	}
}

func (e *Engine) slow(b slowBody) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowFactor, e.slowUntil = max(b.Factor, 1), time.Time{}
	if b.MS > 0 {
		e.slowUntil = time.Now().Add(ms(b.MS))
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

func (e *Engine) showLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	if e.reportedAt.IsZero() || now.Sub(e.reportedAt) >= e.options.LoadLag {
		e.reportedAt = now
		e.lastReport = loadReport{
			Running: e.running, Waiting: len(e.waiting), Limit: e.options.Slots,
			Version: e.versions.active, KVUsed: float64(e.running) / float64(e.options.Slots),
		}
	}
	report := e.lastReport
	report.AgeMS = now.Sub(e.reportedAt).Milliseconds()
	e.mu.Unlock()
	codec.Write(w, http.StatusOK, report)
}

type engineState struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Producing is the number of running requests that have sent a token.
	Producing int  `json:"producing"`
	Powered   bool `json:"powered"`
	Cold      bool `json:"cold"`
	Capacity  int  `json:"bears"`
	Crashes   int  `json:"falls"`
	Active    int  `json:"active"`
	// Tokens is the number of tokens generated since the start.
	Tokens int64 `json:"tokens"`
	// Received is the number of requests received since the start.
	Received int `json:"started"`
	// Replaced is the number of requests that were ended because another request
	// with the same id arrived.
	Replaced int `json:"replaced"`
}

func (e *Engine) state() engineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engineState{
		Running: e.running, Waiting: len(e.waiting), Producing: e.producing, Powered: e.powered,
		Cold: e.warmup.active(time.Now()), Capacity: e.capacity(), Crashes: e.crashes, Active: e.versions.active, Tokens: e.tokens, Replaced: e.replaced,
		Received: e.received,
	}
}
