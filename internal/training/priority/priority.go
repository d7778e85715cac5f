// Package priority decides in which order the items of all open batches start, and
// which running items are to be moved to another engine. It does no input or output
// and reads no clock: times are durations from now on.
//
// # Load pattern
//
// A trainer waits for a part of the groups of a batch. The time of a step is that of
// the longest text among these groups, and a few texts take nearly as long as the
// step may. A long text that starts a second late makes the step late, while a short
// one may wait for seconds. Lengths are known only roughly when an item starts.
//
// # Usage
//
//	lengths := priority.NewLengths()
//	lengths.Observe(hint, events)                  // of each complete text
//	left := lengths.Remaining(hint, events)        // in events
//	plan := priority.Order([]priority.Step{step})  // step.Items[i].Left = left x event time
//	for _, place := range plan.Places { start(place.Step, place.Item) }
package priority

import (
	"cmp"
	"slices"
	"time"
)

// State is how far an item is.
type State uint8

// The states of an item. A lost item was given up, so that its group cannot complete.
const (
	Waiting State = iota
	Running
	Finished
	Lost
)

// Item is an item of a step. Group is the index of its group. Left is the time that it
// still takes when it runs.
type Item struct {
	Group int
	State State
	Left  time.Duration
}

// Step is an open batch. Due is the time until it is due, negative when it is overdue.
// Wanted is the number of complete groups that the trainer waits for; 0 means all.
// Awaited has an entry for each group, which is true when the trainer waits for that
// group in any case.
type Step struct {
	Due     time.Duration
	Wanted  int
	Awaited []bool
	Items   []Item
}

// Class is the urgency of an item.
type Class uint8

const (
	// Spare items belong to groups that the step does not need. They start when
	// nothing else can use the slot, since a needed group may fail.
	Spare Class = iota
	// Late items are needed by a step that can no longer be in time.
	Late
	// InTime items are needed by a step that can be in time.
	InTime
	// Overdue items are needed by a step that has been late for overdueAfter.
	Overdue
)

// Place is an item in the order of starts. Slack is how long the item may wait and
// still be complete when its step is due.
type Place struct {
	Step, Item int
	Class      Class
	Slack      time.Duration
}

// lateShare is the fraction of the running items up to which the items of late steps
// start before others. A late step earns something for a few seconds, and delays the
// next one of its trainer.
const lateShare = 0.125

// overdueAfter is the time after the due time from which on a step comes first. It earns
// nothing any more, but delays the next ones of its trainer, and its items are given up
// at their time limit.
const overdueAfter = 4 * time.Second

// Order returns the waiting and the running items in the order in which they start. The
// running ones keep their place in case that they have to start again.
func Order(steps []Step) []Place {
	total := 0
	for _, s := range steps {
		total += len(s.Items)
	}
	places := make([]Place, 0, total)
	running, lateRunning := 0, 0
	for number, s := range steps {
		needed, longest := s.needed()
		class := InTime
		switch {
		case s.Due < -overdueAfter:
			class = Overdue
		case longest > s.Due:
			class = Late
		}
		for i, item := range s.Items {
			if item.State != Waiting && item.State != Running {
				continue
			}
			p := Place{Step: number, Item: i, Slack: s.Due - item.Left}
			if needed[item.Group] {
				p.Class = class
			}
			if item.State == Running {
				running++
				if p.Class == Late {
					lateRunning++
				}
			}
			places = append(places, p)
		}
	}
	lateFirst := max(0, int(lateShare*float64(running))-lateRunning)
	slices.SortStableFunc(places, func(a, b Place) int {
		return cmp.Or(cmp.Compare(b.Class, a.Class), cmp.Compare(a.Slack, b.Slack))
	})
	return raiseLate(places, steps, lateFirst)
}

// raiseLate moves the first waiting late items, up to count, to the front.
func raiseLate(places []Place, steps []Step, count int) []Place {
	if count == 0 {
		return places
	}
	raised := make([]Place, 0, len(places))
	rest := make([]Place, 0, len(places))
	for _, p := range places {
		if p.Class == Late && len(raised) < count && steps[p.Step].Items[p.Item].State == Waiting {
			raised = append(raised, p)
			continue
		}
		rest = append(rest, p)
	}
	return append(raised, rest...)
}

// group is what is left of a group: its longest item and the sum of all.
type group struct {
	index         int
	longest, work time.Duration
	unfinished    int
	lost, awaited bool
}

// needed returns which groups the step needs, and the longest remaining time of their
// items. These are the awaited groups and, up to the wanted number, those that can be
// complete soonest.
func (s Step) needed() (needed []bool, longest time.Duration) {
	groups := make([]group, len(s.Awaited))
	for i := range groups {
		groups[i].index, groups[i].awaited = i, s.Awaited[i]
	}
	for _, item := range s.Items {
		g := &groups[item.Group]
		switch item.State {
		case Lost:
			g.lost = true
		case Waiting, Running:
			g.unfinished++
			g.longest = max(g.longest, item.Left)
			g.work += item.Left
		case Finished:
		}
	}
	missing := s.Wanted
	if missing <= 0 {
		missing = len(groups)
	}
	open := make([]group, 0, len(groups))
	for _, g := range groups {
		switch {
		case g.lost:
		case g.unfinished == 0:
			missing--
		default:
			open = append(open, g)
		}
	}
	slices.SortStableFunc(open, func(a, b group) int {
		if a.awaited != b.awaited {
			if a.awaited {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.longest, b.longest), cmp.Compare(a.work, b.work))
	})
	needed = make([]bool, len(groups))
	for i, g := range open {
		if i >= missing && !g.awaited {
			break
		}
		needed[g.index] = true
		longest = max(longest, g.longest)
	}
	return needed, longest
}
