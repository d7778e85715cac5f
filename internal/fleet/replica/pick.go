package replica

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/fleet/ratelimit"
)

// Requirements describes the endpoint that a request needs. Version is the lowest
// acceptable weight version of Model. Avoid holds the IDs of endpoints that must
// not be used. Preferred is the ID of an endpoint that is picked unless it is much
// busier than others. Account, Waiting and Patience describe the requests that wait for
// the service in this process: the client account of this one, their number, and how
// long this one may wait for a limited endpoint.
type Requirements struct {
	Service   string
	Model     string
	Version   int64
	Avoid     map[string]bool
	Preferred string
	Account   string
	Waiting   int
	Patience  time.Duration
	// Background limits the choice to endpoints with headroom for interactive requests.
	Background bool
}

// preferredBonus is the load, as a share of the slots, by which an endpoint with
// a cached prompt may exceed the least loaded one and still be picked.
const preferredBonus = 0.25

// Slot is a reserved place for one request at an endpoint. Done releases it and
// must be called once.
type Slot struct {
	Entry Entry
	fleet *Fleet
	began time.Time
	// sentAt is the uptime at which the slot was reserved, right before the request
	// is sent.
	sentAt time.Duration
	done   bool
}

// Pick reserves a slot at the endpoint with the lowest score. Endpoints that
// failed recently are picked only when no other is left. Endpoints that were not
// found at their address are not picked at all, since a request there is certain
// to be wasted.
//
// A limited endpoint is picked only with a permit. If there is none, Pick asks for one,
// and meanwhile picks the best endpoint that needs none. A single request waits a few
// milliseconds for the permit of a better endpoint.
func (f *Fleet) Pick(want Requirements) (*Slot, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		now := f.timers.Now()
		best, limited := f.choose(want, now)
		need := ratelimit.Need{Account: want.Account, Waiting: want.Waiting, Patience: want.Patience, Alternative: best != nil}
		switch f.requestPermits(limited, need) {
		case ratelimit.Again:
			continue
		case ratelimit.Hold:
			return nil, false
		case ratelimit.Proceed:
		}
		if best == nil {
			return nil, false
		}
		if !f.options.Limiter.Take(best.run()) {
			continue // the permit has just expired
		}
		best.inFlight++
		best.sentSinceReport++
		return &Slot{Entry: best.Entry, fleet: f, began: now, sentAt: f.timers.Uptime()}, true
	}
}

// candidate is an endpoint that may be picked.
type candidate struct {
	state   *endpointState
	score   float64
	avoided bool // it failed recently
}

// before reports whether the candidate is preferred to another one.
func (c candidate) before(other candidate) bool {
	if other.state == nil || c.avoided != other.avoided {
		return other.state == nil || !c.avoided
	}
	return c.score < other.score
}

// choose returns the best endpoint with room that can be sent to now, or nil, and the
// limited ones without a permit to which it is not preferred, best first. Those with the
// same score are among them: else an idle process would never learn that a limit ended.
func (f *Fleet) choose(want Requirements, now time.Time) (best *endpointState, limited []ratelimit.Endpoint) {
	fastest := f.fastest(want.Service, now)
	var first candidate
	var withheld []candidate
	for _, s := range f.states {
		if !f.matches(s, want) || !f.hasRoom(s, now) {
			continue
		}
		if want.Background && !s.headroom(now) {
			continue
		}
		c := candidate{state: s, avoided: now.Before(s.backoffUntil)}
		c.score = f.score(s, want, now) + slownessWeight*(f.slowness(s, fastest, now)-1)
		switch cold, known := f.cold(s, now); {
		case !known:
		case f.options.Limiter.State(s.run(), cold) == ratelimit.Withheld:
			withheld = append(withheld, c)
		case c.before(first):
			first = c
		}
	}
	slices.SortFunc(withheld, func(a, b candidate) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	for _, c := range withheld {
		if first.state == nil || !first.before(c) {
			limited = append(limited, c.state.run())
		}
	}
	return first.state, limited
}

func (f *Fleet) requestPermits(limited []ratelimit.Endpoint, need ratelimit.Need) ratelimit.Verdict {
	if len(limited) == 0 {
		return ratelimit.Proceed
	}
	return f.options.Limiter.Request(limited, need)
}

// Limited reports whether all endpoints that the request could go to need a permit and
// have none. It returns the time after which one may be expected, and the rate of all
// of them divided by the number of processes.
func (f *Fleet) Limited(want Requirements) (wait time.Duration, rate float64, limited bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timers.Now()
	for _, s := range f.states {
		if !f.matches(s, want) {
			continue
		}
		cold, known := f.cold(s, now)
		if !known || f.options.Limiter.State(s.run(), cold) != ratelimit.Withheld {
			return 0, 0, false
		}
		until, share := f.options.Limiter.Wait(s.run())
		if !limited || until < wait {
			wait = until
		}
		rate, limited = rate+share, true
	}
	return wait, rate, limited
}

func (f *Fleet) matches(s *endpointState, want Requirements) bool {
	if s.Service != want.Service || want.Avoid[s.ID] || !f.usable(s) {
		return false
	}
	if want.Model == "" {
		return true
	}
	return s.loading != want.Model && s.Models[want.Model] >= want.Version
}

// hasRoom reports whether this process may send one more request to the endpoint, as
// far as its load and the path to it are concerned.
func (f *Fleet) hasRoom(s *endpointState, now time.Time) bool {
	if s.inFlight >= max(1, int(float64(s.Slots)*f.options.Overcommit)) || !s.limiter.allows(s.inFlight) || now.Before(s.pausedUntil) {
		return false
	}
	return !now.Before(s.absentUntil) && !now.Before(f.silent[s.Zone])
}

// takesNow reports whether the endpoint has room and needs no permit that this process
// does not have.
func (f *Fleet) takesNow(s *endpointState, now time.Time) bool {
	cold, known := f.cold(s, now)
	return known && f.hasRoom(s, now) && f.options.Limiter.State(s.run(), cold) != ratelimit.Withheld
}

// score returns the endpoint's load as a share of its slots, adjusted by the
// preferences of the request. Lower is better.
func (f *Fleet) score(s *endpointState, want Requirements, now time.Time) float64 {
	busy := s.inFlight
	if now.Sub(s.loadAt) < loadMaxAge {
		busy = max(busy, s.load.Running+s.load.Waiting)
	}
	score := float64(busy) / float64(max(1, s.Slots))
	if f.options.Zone != "" && s.Zone != f.options.Zone {
		score += zonePenalty
	}
	if want.Preferred != "" && s.ID == want.Preferred {
		score -= preferredBonus
	}
	return score
}

// fastest returns the shortest event time of the service's endpoints, or 0 when
// none was measured within eventTimeMaxAge.
func (f *Fleet) fastest(service string, now time.Time) time.Duration {
	var best time.Duration
	for _, s := range f.states {
		if s.Service != service || s.eventTime == 0 || now.Sub(s.eventTimeAt) > eventTimeMaxAge || !f.usable(s) {
			continue
		}
		if best == 0 || s.eventTime < best {
			best = s.eventTime
		}
	}
	return best
}

// slowness returns the ratio of the endpoint's event time to the fastest one; 1
// when it is unknown.
func (f *Fleet) slowness(s *endpointState, fastest time.Duration, now time.Time) float64 {
	if fastest == 0 || s.eventTime == 0 || now.Sub(s.eventTimeAt) > eventTimeMaxAge {
		return 1
	}
	return max(1, float64(s.eventTime)/float64(fastest))
}

// Slowness returns the ratio of the named endpoint's event time to that of the
// fastest endpoint with room for such a request; 1 when it is unknown.
func (f *Fleet) Slowness(id string, want Requirements) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timers.Now()
	current, known := f.states[id]
	if !known || current.eventTime == 0 {
		return 1
	}
	worst := 1.0
	for _, s := range f.states {
		if s == current || s.eventTime == 0 || now.Sub(s.eventTimeAt) > eventTimeMaxAge || now.Before(s.backoffUntil) {
			continue
		}
		if f.matches(s, want) && f.takesNow(s, now) {
			worst = max(worst, float64(current.eventTime)/float64(s.eventTime))
		}
	}
	return worst
}

// RecordEventTime records how long the endpoint took for one event. Its availability
// zone is not silent then.
func (s *Slot) RecordEventTime(took time.Duration) {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	st, known := f.states[s.Entry.ID]
	if !known || took <= 0 {
		return
	}
	if st.eventTime == 0 {
		st.eventTime = took
	}
	st.eventTime += time.Duration(eventTimeWeight * float64(took-st.eventTime))
	st.eventTimeAt = f.timers.Now()
	delete(f.silent, st.Zone)
}

// Report records the load that the endpoint reported.
func (s *Slot) Report(load Load) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if st, known := s.fleet.states[s.Entry.ID]; known {
		st.load, st.loadAt, st.sentSinceReport = load, s.fleet.timers.Now(), 0
		st.limiter.observeLoad(load, max(1, float64(st.Slots)*s.fleet.options.Overcommit), st.loadAt)
	}
}

// ReportLimit records the rate limit in requests per second that the endpoint named
// with its answer, or that it named none.
func (s *Slot) ReportLimit(rate float64, limited bool) {
	s.fleet.options.Limiter.Observe(s.Entry.run(), ratelimit.Observation{Rate: rate, Limited: limited, SentAt: s.sentAt})
}

// MarkCold records that the endpoint reported that it is cold for the remaining time.
func (s *Slot) MarkCold(remaining time.Duration) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if st, known := s.fleet.states[s.Entry.ID]; known {
		s.fleet.markCold(st, remaining)
	}
}

// MarkLeaving records that the endpoint announced its departure. It gets no more
// requests until it restarts, whatever its entry says. MarkLeaving reports whether the
// departure was not known before.
func (s *Slot) MarkLeaving() bool {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if d, found := f.departures[s.Entry.ID]; found && d.born == s.Entry.Born {
		return false
	}
	now := f.timers.Now()
	maps.DeleteFunc(f.departures, func(_ string, d departure) bool { return now.Sub(d.at) > departureRetention })
	f.departures[s.Entry.ID] = departure{born: s.Entry.Born, at: now}
	return true
}

// nextBackoff counts a failure and returns the time for which the endpoint is
// avoided after it.
func (s *endpointState) nextBackoff() time.Duration {
	backoff := min(maxBackoff, minBackoff<<min(s.failures, 4))
	s.failures++
	return backoff
}

// Done releases the slot and records the outcome of the request. Further calls
// have no effect.
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
	st.inFlight = max(0, st.inFlight-1)
	now := f.timers.Now()
	switch outcome {
	case Answered:
		st.failures, st.backoffUntil = 0, time.Time{}
		st.limiter.observeAnswer()
		st.pausedUntil = now.Add(st.limiter.pauseAfter(now.Sub(s.began)))
	case Rejected:
		st.backoffUntil = now.Add(rejectionBackoff)
		st.limiter.observeRejection()
		st.pausedUntil = now.Add(st.limiter.pauseAfter(rejectionBackoff))
	case Failed:
		st.backoffUntil = now.Add(st.nextBackoff())
	case Unreached:
		st.absentUntil = now.Add(min(st.nextBackoff(), maxUnreachableBackoff))
	case Misdirected:
		st.absentUntil = now.Add(maxBackoff)
	case Abandoned:
	}
	f.notify()
}
