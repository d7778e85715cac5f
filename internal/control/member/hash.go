// Package member tracks the instances of the fleet: the platform's list, which
// instances answer, the control tree of each zone along which control state is
// distributed, the cells that share endpoints, and the home instances chosen by
// rendezvous hashing.
//
// # Usage
//
//	view := member.NewView(list)
//	home := member.First("endpoint-7", view.CellOf("zone-a", "endpoint-7", 8))
package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders ids by their rendezvous weight for key, highest first. All
// callers with the same ids get the same order, and removing an id does not
// change the order of the others (Thaler and Ravishankar, 1998).
func Rank(key string, ids []string) []string {
	type scored struct {
		id    string
		score uint64
	}
	all := make([]scored, 0, len(ids))
	for _, id := range ids {
		all = append(all, scored{id, score(key, id)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	out := make([]string, 0, len(all))
	for _, s := range all {
		out = append(out, s.id)
	}
	return out
}

// First returns the id with the highest rendezvous weight for key, or "".
func First(key string, ids []string) string {
	best, bestScore := "", uint64(0)
	for _, id := range ids {
		s := score(key, id)
		if best == "" || s > bestScore || (s == bestScore && id < best) {
			best, bestScore = id, s
		}
	}
	return best
}

func score(key, id string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}
