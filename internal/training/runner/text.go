package runner

import (
	"slices"

	lru "github.com/hashicorp/golang-lru/v2"
)

// text is what engines have generated for an item so far. It is immutable.
// Origin names the runs that made it: it changes when a text begins anew and
// when another worker goes on with it. Last is the id of the latest event.
// Complete tells that nothing follows.
type text struct {
	origin   string
	pieces   []string
	size     int // bytes of the pieces with a separator each
	last     int64
	versions []int64
	complete bool
}

// with returns a copy with one more event.
func (t text) with(id int64, data string, version int64) text {
	t.pieces = append(t.pieces, data)
	t.size += len(data) + 1
	t.last = id
	if !slices.Contains(t.versions, version) {
		t.versions = append(slices.Clone(t.versions), version)
		slices.Sort(t.versions)
	}
	return t
}

// withSize returns a copy whose size is that of its pieces.
func (t text) withSize() text {
	t.size = 0
	for _, piece := range t.pieces {
		t.size += len(piece) + 1
	}
	return t
}

// meetsVersion reports whether all of the text was made under versions from oldest
// on.
func (t text) meetsVersion(oldest int64) bool {
	return len(t.versions) == 0 || t.versions[0] >= oldest
}

// textCache keeps unfinished texts by item.
type textCache struct{ cache *lru.Cache[string, text] }

func newTextCache(size int) *textCache {
	cache, err := lru.New[string, text](size)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &textCache{cache: cache}
}

func (c *textCache) put(id string, t text) {
	if len(t.pieces) > 0 {
		c.cache.Add(id, t)
	}
}

// take removes and returns the text of an item if its versions fit.
func (c *textCache) take(id string, oldest int64) text {
	t, found := c.cache.Get(id)
	if !found {
		return text{}
	}
	c.cache.Remove(id)
	if !t.meetsVersion(oldest) {
		return text{}
	}
	return t
}
