package archive

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// MaxContents and MaxCrashes bound the record in the store: the number of contents and of
// crashes of each. Further crashes of a content do not lengthen its hold.
const (
	MaxContents = 128
	MaxCrashes  = 8
)

// Content is what the store keeps of a content. Crashes are the endpoints that crashed under
// it, Suspected those that one process could not reach any more and that are not confirmed,
// and Cleared those before an answer, which do not count. The content is held back until
// Held, and forgotten at Expires; both are Unix times in milliseconds.
type Content struct {
	Crashes   []Incarnation `json:"ends,omitempty"`
	Suspected []Incarnation `json:"suspected,omitempty"`
	Cleared   []Incarnation `json:"cleared,omitempty"`
	Held      int64         `json:"held"`
	Expires   int64         `json:"expires"`
}

// Contents is the body of the record, by content.
type Contents map[string]Content

// Incarnation identifies one run of an endpoint's process, from its start to its
// end. Born is the time of the start in Unix milliseconds, or the revision of the
// endpoint's entry where the entry has no start time.
type Incarnation struct {
	Endpoint string `json:"endpoint"`
	Born     int64  `json:"born"`
}

// compare orders incarnations by their start.
func (i Incarnation) compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(i.Born, other.Born), cmp.Compare(i.Endpoint, other.Endpoint))
}

// merge returns the contents of both.
func (c Contents) merge(other Contents) Contents {
	merged := maps.Clone(c)
	for content, more := range other {
		merged[content] = merged[content].merge(more)
	}
	return merged
}

// merge returns the crashes of both. A crash that one of them has cleared is cleared.
func (c Content) merge(other Content) Content {
	cleared := sortedUnion(c.Cleared, other.Cleared)
	crashes := without(sortedUnion(c.Crashes, other.Crashes), cleared)
	suspected := without(without(sortedUnion(c.Suspected, other.Suspected), cleared), crashes)
	return Content{
		Crashes: latest(crashes), Suspected: latest(suspected), Cleared: latest(cleared),
		Held: max(c.Held, other.Held), Expires: max(c.Expires, other.Expires),
	}
}

// withSuspected returns the contents with their suspected crashes among the others.
func (c Contents) withSuspected() Contents {
	all := make(Contents, len(c))
	for content, kept := range c {
		kept.Crashes, kept.Suspected = sortedUnion(kept.Crashes, kept.Suspected), nil
		all[content] = kept
	}
	return all
}

// equal reports whether both hold the same contents.
func (c Contents) equal(other Contents) bool {
	return maps.EqualFunc(c, other, func(a, b Content) bool {
		return a.Held == b.Held && a.Expires == b.Expires &&
			slices.Equal(a.Crashes, b.Crashes) && slices.Equal(a.Suspected, b.Suspected) && slices.Equal(a.Cleared, b.Cleared)
	})
}

// sortedUnion returns the incarnations of both lists, the earliest start first.
func sortedUnion(a, b []Incarnation) []Incarnation {
	all := slices.Concat(a, b)
	slices.SortFunc(all, Incarnation.compare)
	return slices.Compact(all)
}

// without returns the incarnations of a list that are not in the other one.
func without(list, other []Incarnation) []Incarnation {
	return slices.DeleteFunc(list, func(i Incarnation) bool { return slices.Contains(other, i) })
}

// latest returns the last MaxCrashes of a list.
func latest(list []Incarnation) []Incarnation {
	return list[max(0, len(list)-MaxCrashes):]
}

// prune returns the contents without those that have expired and, if there are more than
// MaxContents, those that expire last. Contents without crashes that count go first.
func (c Contents) prune(now time.Time) Contents {
	names := make([]string, 0, len(c))
	for content, kept := range c {
		if kept.Expires > now.UnixMilli() {
			names = append(names, content)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return c[b].compare(c[a]) })
	kept := Contents{}
	for _, content := range names[:min(len(names), MaxContents)] {
		kept[content] = c[content]
	}
	return kept
}

// compare orders contents by whether crashes count, then by the end of the record.
func (c Content) compare(other Content) int {
	return cmp.Or(cmp.Compare(c.counts(), other.counts()), cmp.Compare(c.Expires, other.Expires))
}

// counts returns 1 if crashes count, else 0.
func (c Content) counts() int {
	return min(1, len(c.Crashes)+len(c.Suspected))
}
