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

// sized returns a copy whose size is that of its pieces.
func (t text) sized() text {
	t.size = 0
	for _, piece := range t.pieces {
		t.size += len(piece) + 1
	}
	return t
}

// allows reports whether all of the text was made under versions from oldest
// on.
func (t text) allows(oldest int64) bool {
	return len(t.versions) == 0 || t.versions[0] >= oldest
}

// textCache keeps unfinished texts by item.
type textCache struct{ kept *lru.Cache[string, text] }

func newTextCache(size int) *textCache {
	kept, err := lru.New[string, text](size)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &textCache{kept: kept}
}

func (c *textCache) put(id string, t text) {
	if len(t.pieces) > 0 {
		c.kept.Add(id, t)
	}
}

// take removes and returns the text of an item if its versions fit.
func (c *textCache) take(id string, oldest int64) text {
	t, found := c.kept.Get(id)
	if !found {
		return text{}
	}
	c.kept.Remove(id)
	if !t.allows(oldest) {
		return text{}
	}
	return t
}
