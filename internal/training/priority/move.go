package priority

import "time"

// Run describes a running item and its engine. Slack is the one that the item has on an
// engine of the usual speed. Left is the expected number of further events. Silent is
// the time since its latest event, or since its start when Started is false. Here and
// There are the times for one event at its engine and at the fastest one with room; 0
// when they are unknown. Loading means that its engine changes its weights, and
// OthersStream that most other engines send events.
type Run struct {
	Class        Class
	Slack        time.Duration
	Left         float64
	Ran, Silent  time.Duration
	Started      bool
	Here, There  time.Duration
	Loading      bool
	OthersStream bool
}

// Reason is why an item is moved.
type Reason string

// The reasons of moves. Stay means that the item is not moved.
const (
	Stay   Reason = ""
	Slow   Reason = "slow"
	Silent Reason = "silent"
)

const (
	// moveCost is the time that a move takes: a connection, the prefill, and the event
	// that was under way.
	moveCost = 200 * time.Millisecond
	// minMoveGain is how much sooner the item has to be complete for a move.
	minMoveGain = 250 * time.Millisecond
	// minRunTime is how long an item stays on an engine at least, so that the measured
	// event time includes it.
	minRunTime = 300 * time.Millisecond
	// silentEvents is the number of usual event times, and minSilence the time, after
	// which an engine counts as silent. An engine that shares its machine is two and a
	// half times slower for parts of a second, and one in trouble three and a half times.
	silentEvents = 12
	minSilence   = 600 * time.Millisecond
	// firstSilence applies before the first event of a run, which follows the prefill
	// and may wait in the queue of the engine.
	firstSilence = 1200 * time.Millisecond
	// comfort is the slack with which an item on a silent engine stays there until it
	// counts as stalled. It exceeds the time for that.
	comfort = 3 * time.Second
)

// Move decides whether a running item is moved to another engine. Only items that would
// be late where they are do so: a move costs a prefill, and takes a slot from others.
func Move(r Run) Reason {
	if r.Class == Spare || r.There <= 0 || r.Ran < minRunTime {
		return Stay
	}
	limit := max(minSilence, silentEvents*r.There)
	if !r.Started {
		limit = max(limit, firstSilence)
	}
	if !r.Loading && r.OthersStream && r.Silent >= limit && r.Slack < comfort {
		return Silent
	}
	extra := time.Duration(r.Left * float64(r.Here-r.There))
	if r.Here > 0 && r.Slack < extra && extra >= moveCost+minMoveGain {
		return Slow
	}
	return Stay
}
