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

// BlockBytes is the length of the shortest prefix that the cache knows. The
// next ones are twice as long each.
const BlockBytes = 64

const keptEvents = 10_000

type event struct {
	N      uint64 `json:"n"`
	Prefix string `json:"prefix"`
	Stored bool   `json:"stored"`
}

type timedEvent struct {
	event
	at time.Time
}

// cache holds the most recently used prompt prefixes and tells what changed.
type cache struct {
	options Options
	blocks  *simplelru.LRU[string, struct{}]
	random  *rand.Rand
	events  []timedEvent
	n       uint64
}

func newCache(options Options) *cache {
	c := &cache{options: options, random: rand.New(rand.NewPCG(options.Seed, 1))}
	c.blocks, _ = simplelru.NewLRU(max(options.CacheBlocks, 1), func(prefix string, _ struct{}) { c.tell(prefix, false) })
	return c
}

// Prefixes returns the prompt's first 64, 128, 256, ... bytes, as far as it has
// them. Events carry these texts.
func Prefixes(prompt string) []string {
	var all []string
	for n := BlockBytes; n <= len(prompt); n *= 2 {
		all = append(all, prompt[:n])
	}
	return all
}

// use returns the number of prompt bytes found in the cache and stores the
// prompt's prefixes.
func (c *cache) use(prompt string) int {
	found := 0
	for _, prefix := range Prefixes(prompt) {
		if c.blocks.Contains(prefix) {
			found = len(prefix)
		} else {
			c.tell(prefix, true)
		}
		c.blocks.Add(prefix, struct{}{})
	}
	return found
}

func (c *cache) clear() { c.blocks.Purge() }

func (c *cache) tell(prefix string, stored bool) {
	c.n++
	if c.options.EventGap > 0 && c.random.IntN(c.options.EventGap) == 0 {
		return
	}
	c.events = append(c.events, timedEvent{event{c.n, prefix, stored}, time.Now()})
	if len(c.events) > keptEvents {
		c.events = c.events[1:]
	}
}

func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
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
