package dispatch

import (
	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// prefixLengths are the lengths in bytes at which prompt prefixes are compared.
var prefixLengths = []int{64, 256, 1024, 4096}

// prefixEntries bounds the number of remembered prefixes of all endpoints.
const prefixEntries = 1 << 15

// prefixes records which engines have probably cached which prompt prefixes.
type prefixes struct {
	cached *lru.Cache[prefixKey, struct{}]
}

type prefixKey struct {
	endpoint string
	hash     uint64
}

func newPrefixes() *prefixes {
	// The constructor returns an error only for sizes below 1.
	seen, _ := lru.New[prefixKey, struct{}](prefixEntries)
	return &prefixes{cached: seen}
}

func (p *prefixes) set(endpoint, prompt string, stored bool) {
	for _, n := range prefixLengths {
		if len(prompt) < n {
			return
		}
		key := prefixKey{endpoint, xxhash.Sum64String(prompt[:n])}
		if stored {
			p.cached.Add(key, struct{}{})
		} else if n == longestPrefix(prompt) {
			p.cached.Remove(key)
		}
	}
}

func longestPrefix(prompt string) int {
	longest := 0
	for _, n := range prefixLengths {
		if n <= len(prompt) {
			longest = n
		}
	}
	return longest
}

// match returns the fraction of the prompt that the endpoint has probably cached.
func (p *prefixes) match(endpoint string, hashes []prefixHash, length int) float64 {
	matched := 0
	for _, h := range hashes {
		if p.cached.Contains(prefixKey{endpoint, h.hash}) {
			matched = h.length
		}
	}
	if matched == 0 {
		return 0
	}
	return float64(matched) / float64(length)
}

type prefixHash struct {
	length int
	hash   uint64
}

func hashPrefixes(prompt string) []prefixHash {
	var out []prefixHash
	for _, n := range prefixLengths {
		if len(prompt) >= n {
			out = append(out, prefixHash{n, xxhash.Sum64String(prompt[:n])})
		}
	}
	return out
}
