package listing

import "maps"

// Progress counts the groups of a batch that are complete. It is not safe for
// concurrent use.
type Progress struct {
	wanted   int
	open     map[string]int  // unfinished items by group
	awaited  map[string]bool // unfinished groups that the trainer waits for in any case
	complete int
}

// NewProgress returns the progress of a batch of which nothing is finished. wanted
// is the number of complete groups that the trainer waits for; 0 means all. items
// is the number of items of each group. awaited holds the groups that must be
// among the complete ones.
func NewProgress(wanted int, items map[string]int, awaited map[string]bool) *Progress {
	if wanted <= 0 {
		wanted = len(items)
	}
	return &Progress{wanted: wanted, open: maps.Clone(items), awaited: maps.Clone(awaited)}
}

// Finish records that one more item of the group is finished.
func (p *Progress) Finish(group string) {
	if p.open[group]--; p.open[group] == 0 {
		delete(p.awaited, group)
		p.complete++
	}
}

// Complete reports whether the trainer has all groups that it waits for.
func (p *Progress) Complete() bool {
	return p.complete >= p.wanted && len(p.awaited) == 0
}
