package replica

import (
	"maps"
	"time"
)

// Want describes the endpoint that a request needs. Version is the lowest
// weight version of Model. Near names an endpoint that is preferred while it
// is not busier than others.
type Want struct {
	Service string
	Model   string
	Version int64
	Avoid   map[string]bool
	Near    string
}

// nearBonus is the load, as a share of the slots, that an endpoint with a
// cached prompt may have above the least loaded one.
const nearBonus = 0.25

// Slot is a place at an endpoint. Done must be called once.
type Slot struct {
	Entry Entry
	fleet *Fleet
	began time.Time
	done  bool
}

// Pick takes a place at the endpoint with the lowest load. Endpoints that
// failed lately are taken only when no other is left, those that were not at
// their address not at all: a request there is wasted for certain.
func (f *Fleet) Pick(want Want) (*Slot, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timers.Now()
	fastest := f.fastest(want.Service, now)
	var best *state
	bestScore, bestResting := 0.0, false
	for _, s := range f.states {
		if !f.fits(s, want) || !f.bears(s, now) {
			continue
		}
		resting := now.Before(s.restTill)
		score := f.score(s, want, now) + paceWeight*(f.slowness(s, fastest, now)-1)
		if best == nil || (bestResting && !resting) || (bestResting == resting && score < bestScore) {
			best, bestScore, bestResting = s, score, resting
		}
	}
	if best == nil {
		return nil, false
	}
	best.sent++
	if now.Before(best.coldTill) {
		best.budget--
	}
	return &Slot{Entry: best.Entry, fleet: f, began: now}, true
}

func (f *Fleet) fits(s *state, want Want) bool {
	if s.Service != want.Service || want.Avoid[s.ID] || !f.usable(s) {
		return false
	}
	if want.Model == "" {
		return true
	}
	return s.loading != want.Model && s.Models[want.Model] >= want.Version
}

// bears reports whether the endpoint takes one more request of this process.
func (f *Fleet) bears(s *state, now time.Time) bool {
	if s.sent >= max(1, int(float64(s.Slots)*f.options.Ceiling)) || !s.concurrency.allows(s.sent) || now.Before(s.pauseEnd) {
		return false
	}
	if now.Before(s.absentTill) {
		return false
	}
	if !now.Before(s.coldTill) {
		return true
	}
	s.budget = min(coldBurst, s.budget+f.coldRate(s)*now.Sub(s.filledAt).Seconds())
	s.filledAt = now
	return s.budget >= 1
}

// score is the endpoint's load as a share of its slots, with the preferences
// of the request added.
func (f *Fleet) score(s *state, want Want, now time.Time) float64 {
	busy := s.sent
	if now.Sub(s.loadAt) < loadAge {
		busy = max(busy, s.load.Running+s.load.Waiting)
	}
	score := float64(busy) / float64(max(1, s.Slots))
	if f.options.Zone != "" && s.Zone != f.options.Zone {
		score += zonePenalty
	}
	if want.Near != "" && s.ID == want.Near {
		score -= nearBonus
	}
	return score
}

// fastest returns the shortest time for an event at the service's endpoints,
// or 0 when none was measured lately.
func (f *Fleet) fastest(service string, now time.Time) time.Duration {
	var best time.Duration
	for _, s := range f.states {
		if s.Service != service || s.pace == 0 || now.Sub(s.pacedAt) > paceAge || !f.usable(s) {
			continue
		}
		if best == 0 || s.pace < best {
			best = s.pace
		}
	}
	return best
}

// slowness returns how many times longer than the fastest an endpoint takes
// for an event; 1 when that is unknown.
func (f *Fleet) slowness(s *state, fastest time.Duration, now time.Time) float64 {
	if fastest == 0 || s.pace == 0 || now.Sub(s.pacedAt) > paceAge {
		return 1
	}
	return max(1, float64(s.pace)/float64(fastest))
}

// Slowness returns how many times longer than the fastest endpoint with room
// for such a request the named one takes for an event.
func (f *Fleet) Slowness(id string, want Want) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timers.Now()
	current, known := f.states[id]
	if !known || current.pace == 0 {
		return 1
	}
	worst := 1.0
	for _, s := range f.states {
		if s == current || s.pace == 0 || now.Sub(s.pacedAt) > paceAge || now.Before(s.restTill) {
			continue
		}
		if f.fits(s, want) && f.bears(s, now) {
			worst = max(worst, float64(current.pace)/float64(s.pace))
		}
	}
	return worst
}

// Paced notes how long the endpoint took for one event.
func (s *Slot) Paced(took time.Duration) {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	st, known := f.states[s.Entry.ID]
	if !known || took <= 0 {
		return
	}
	if st.pace == 0 {
		st.pace = took
	}
	st.pace += time.Duration(paceShare * float64(took-st.pace))
	st.pacedAt = f.timers.Now()
}

// Report notes the load that an endpoint told.
func (s *Slot) Report(load Load) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if st, known := s.fleet.states[s.Entry.ID]; known {
		st.load, st.loadAt = load, s.fleet.timers.Now()
		st.concurrency.report(load, max(1, float64(st.Slots)*s.fleet.options.Ceiling), st.loadAt)
	}
}

// Cold notes that an endpoint told that it starts slowly for some time.
func (s *Slot) Cold(left time.Duration) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if st, known := s.fleet.states[s.Entry.ID]; known {
		s.fleet.chill(st, left)
	}
}

// Leave notes that the endpoint told that it leaves. It gets nothing more until
// it starts anew, whatever its entry says. Leave reports whether this is new.
func (s *Slot) Leave() bool {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if d, told := f.left[s.Entry.ID]; told && d.born == s.Entry.Born {
		return false
	}
	now := f.timers.Now()
	maps.DeleteFunc(f.left, func(_ string, d departure) bool { return now.Sub(d.at) > departureKept })
	f.left[s.Entry.ID] = departure{born: s.Entry.Born, at: now}
	return true
}

// nextRest returns the time for which the endpoint is avoided after a further
// failure.
func (s *state) nextRest() time.Duration {
	rest := min(lastRest, firstRest<<min(s.failures, 4))
	s.failures++
	return rest
}

// Done gives the place back and notes how the request ended.
func (s *Slot) Done(outcome Outcome) {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.done {
		return
	}
	s.done = true
	st, known := f.states[s.Entry.ID]
	if !known || st.Born != s.Entry.Born {
		return
	}
	st.sent = max(0, st.sent-1)
	now := f.timers.Now()
	switch outcome {
	case Answered:
		st.failures, st.restTill = 0, time.Time{}
		st.concurrency.answered()
		st.pauseEnd = now.Add(st.concurrency.rest(now.Sub(s.began)))
	case Rejected:
		st.restTill = now.Add(fullRest)
		st.concurrency.rejected()
		st.pauseEnd = now.Add(st.concurrency.rest(fullRest))
	case Failed:
		st.restTill = now.Add(st.nextRest())
	case Unreached:
		st.absentTill = now.Add(min(st.nextRest(), absentRest))
	case Misplaced:
		st.absentTill = now.Add(lastRest)
	case Abandoned:
	}
	f.notify()
}
