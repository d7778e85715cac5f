package breaker

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxArchived and maxArchivedCrashes bound the record in the store: the number of
	// contents and of crashes of each. Further crashes of a content do not lengthen its
	// hold.
	maxArchived        = 128
	maxArchivedCrashes = 8
	// maxRestoredHold bounds how long a content that was read from the store is held
	// back without a trial. The endpoints may have been replaced by sound ones since.
	maxRestoredHold = 5 * time.Minute
)

// archivedContent is what the store keeps of a content. Crashes are the counted ones and
// Cleared those that preceded an answer. Held and Expires are Unix times in milliseconds.
type archivedContent struct {
	Crashes []Incarnation `json:"ends,omitempty"`
	Cleared []Incarnation `json:"cleared,omitempty"`
	Held    int64         `json:"held"`
	Expires int64         `json:"expires"`
}

// archived is the body of the record, by content.
type archived map[string]archivedContent

// compare orders incarnations by their start.
func (i Incarnation) compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(i.Born, other.Born), cmp.Compare(i.Endpoint, other.Endpoint))
}

// merge returns the contents of both.
func (c archived) merge(other archived) archived {
	merged := maps.Clone(c)
	for content, more := range other {
		merged[content] = merged[content].merge(more)
	}
	return merged
}

// merge returns the crashes of both. A crash that one of them has cleared is cleared.
func (c archivedContent) merge(other archivedContent) archivedContent {
	cleared := sortedUnion(c.Cleared, other.Cleared)
	crashes := slices.DeleteFunc(sortedUnion(c.Crashes, other.Crashes), func(i Incarnation) bool {
		return slices.Contains(cleared, i)
	})
	return archivedContent{
		Crashes: latest(crashes), Cleared: latest(cleared),
		Held: max(c.Held, other.Held), Expires: max(c.Expires, other.Expires),
	}
}

// equal reports whether both hold the same contents.
func (c archived) equal(other archived) bool {
	return maps.EqualFunc(c, other, func(a, b archivedContent) bool {
		return a.Held == b.Held && a.Expires == b.Expires &&
			slices.Equal(a.Crashes, b.Crashes) && slices.Equal(a.Cleared, b.Cleared)
	})
}

// sortedUnion returns the incarnations of both lists, the earliest start first.
func sortedUnion(a, b []Incarnation) []Incarnation {
	all := slices.Concat(a, b)
	slices.SortFunc(all, Incarnation.compare)
	return slices.Compact(all)
}

// latest returns the last maxArchivedCrashes of a list.
func latest(list []Incarnation) []Incarnation {
	return list[max(0, len(list)-maxArchivedCrashes):]
}

// prune returns the contents without those that have expired and, if there are more than
// maxArchived, those that expire last. Contents without crashes that count go first.
func (c archived) prune(now time.Time) archived {
	names := make([]string, 0, len(c))
	for content, kept := range c {
		if kept.Expires > now.UnixMilli() {
			names = append(names, content)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return c[b].compare(c[a]) })
	kept := archived{}
	for _, content := range names[:min(len(names), maxArchived)] {
		kept[content] = c[content]
	}
	return kept
}

// compare orders contents by whether crashes count, then by the end of the record.
func (c archivedContent) compare(other archivedContent) int {
	if (len(c.Crashes) == 0) != (len(other.Crashes) == 0) {
		if len(c.Crashes) == 0 {
			return -1
		}
		return 1
	}
	return cmp.Compare(c.Expires, other.Expires)
}

// archive returns what is known of contents, for the store. Unconfirmed crashes are left
// out.
func (b *Breaker) archive(contents map[string]bool) archived {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := archived{}
	for content := range contents {
		r := b.lookup(content)
		if r == nil {
			continue
		}
		kept := archivedContent{Held: r.heldUntil.UnixMilli(), Expires: r.expires.UnixMilli()}
		for incarnation, counts := range r.confirmed {
			if counts {
				kept.Crashes = append(kept.Crashes, incarnation)
			} else {
				kept.Cleared = append(kept.Cleared, incarnation)
			}
		}
		known[content] = kept.merge(archivedContent{})
	}
	return known
}

// restore adds contents of the store. A clock that was wrong when the record was written
// holds no content longer than maxRestoredHold.
func (b *Breaker) restore(contents archived) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timers.Now()
	for content, kept := range contents {
		if kept.Expires <= now.UnixMilli() || (len(kept.Crashes) == 0 && b.lookup(content) == nil) {
			continue
		}
		r := b.record(content)
		before := r.count(now)
		for _, incarnation := range kept.Cleared {
			r.confirmed[incarnation] = false
		}
		for _, incarnation := range kept.Crashes {
			if _, known := r.confirmed[incarnation]; !known {
				r.confirmed[incarnation] = true
			}
		}
		r.expires = later(r.expires, earlier(time.UnixMilli(kept.Expires), now.Add(repeatedCrashTTL)))
		if count := r.count(now); count > 1 && count > before {
			r.heldUntil = later(r.heldUntil, earlier(time.UnixMilli(kept.Held), now.Add(maxRestoredHold)))
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
