package engine

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
)

// MinPrefixBytes is the length of the shortest prefix that the cache holds. Each
// further prefix is twice as long as the one before.
const MinPrefixBytes = 64

// maxEvents bounds the cache events that are kept for callers to read.
const maxEvents = 10_000

// event reports that a prefix was stored or evicted. N counts all events, lost
// ones included, so that callers see gaps.
type event struct {
	N      uint64 `json:"n"`
	Prefix string `json:"prefix"`
	Stored bool   `json:"stored"`
}

// timedEvent is an event with its time, since events become visible late.
type timedEvent struct {
	event
	at time.Time
}

// cache holds the most recently used prompt prefixes and records an event for
// each change.
type cache struct {
	options   Options
	blocks    *simplelru.LRU[string, struct{}]
	random    *rand.Rand
	events    []timedEvent
	lastEvent uint64
}

func newCache(options Options) *cache {
	c := &cache{options: options, random: rand.New(rand.NewPCG(options.Seed, 1))}
	c.blocks, _ = simplelru.NewLRU(max(options.CacheBlocks, 1), func(prefix string, _ struct{}) { c.recordEvent(prefix, false) })
	return c
}

// Prefixes returns the first 64, 128, 256, ... bytes of a prompt, up to its
// length. Cache events name prefixes by this text.
func Prefixes(prompt string) []string {
	var all []string
	for n := MinPrefixBytes; n <= len(prompt); n *= 2 {
		all = append(all, prompt[:n])
	}
	return all
}

// lookupAndAdd returns the number of prompt bytes found in the cache and stores
// the prompt's prefixes.
func (c *cache) lookupAndAdd(prompt string) int {
	found := 0
	for _, prefix := range Prefixes(prompt) {
		if c.blocks.Contains(prefix) {
			found = len(prefix)
		} else {
			c.recordEvent(prefix, true)
		}
		c.blocks.Add(prefix, struct{}{})
	}
	return found
}

func (c *cache) clear() { c.blocks.Purge() }

// recordEvent appends an event. One in EventGap events is lost.
func (c *cache) recordEvent(prefix string, stored bool) {
	c.lastEvent++
	if c.options.EventGap > 0 && c.random.IntN(c.options.EventGap) == 0 {
		return
	}
	c.events = append(c.events, timedEvent{event{c.lastEvent, prefix, stored}, time.Now()})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

func (e *Engine) showEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Get("after") != "" {
		codec.WriteError(w, code.New(code.BadRequest, "query \"after\" must be a number"))
		return
	}
	e.mu.Lock()
	found := []event{}
	for _, v := range e.cache.events {
		if v.N > after && time.Since(v.at) >= e.options.EventLag {
			found = append(found, v.event)
		}
	}
	e.mu.Unlock()
	codec.Write(w, http.StatusOK, map[string][]event{"events": found})
}
