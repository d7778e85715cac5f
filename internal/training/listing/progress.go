package listing

import "maps"

// Progress counts the groups of a batch that are complete. It is not safe for
// concurrent use.
type Progress struct {
	wanted   int             // 0 for all
	open     map[string]int  // unfinished items by group
	awaited  map[string]bool // unfinished groups that the trainer waits for in any case
	complete int
}

// NewProgress returns the progress of a batch of which nothing is finished. wanted
// is the number of complete groups that the trainer waits for; 0 means all. items
// is the number of items of each group. awaited holds the groups that must be
// among the complete ones.
func NewProgress(wanted int, items map[string]int, awaited map[string]bool) *Progress {
	p := &Progress{wanted: max(wanted, 0), open: map[string]int{}, awaited: map[string]bool{}}
	maps.Copy(p.open, items)
	maps.Copy(p.awaited, awaited)
	return p
}

// Expect records that the group has one more item, which is not finished.
func (p *Progress) Expect(group string, awaited bool) {
	p.open[group]++
	if awaited {
		p.awaited[group] = true
	}
}

// Finish records that one more item of the group is finished.
func (p *Progress) Finish(group string) {
	if p.open[group]--; p.open[group] == 0 {
		delete(p.open, group)
		delete(p.awaited, group)
		p.complete++
	}
}

// Complete reports whether the trainer has all groups that it waits for.
func (p *Progress) Complete() bool {
	if p.wanted == 0 {
		return len(p.open) == 0
	}
	return p.complete >= p.wanted && len(p.awaited) == 0
}
