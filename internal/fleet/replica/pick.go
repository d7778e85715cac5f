package replica

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/fleet/cost"
	"github.com/wigeonpin/wigeonpin/internal/fleet/ratelimit"
)

// Requirements describes the endpoint that a request needs. Version is the lowest
// acceptable weight version of Model. Avoid holds the IDs of endpoints that must
// not be used. Preferred is the ID of an endpoint that is picked unless it is much
// busier than others. Class names the requests of the service whose work is alike; empty
// if it says nothing about the time that a request takes. Account, Waiting and Patience describe the requests that wait for
// the service in this process: the client account of this one, their number, and how
// long this one may wait for a limited endpoint.
type Requirements struct {
	Service   string
	Model     string
	Version   int64
	Avoid     map[string]bool
	Preferred string
	Class     string
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
	sentAt  time.Duration
	class   string
	work    float64 // relative to the mean work of the service
	untimed bool    // its time says nothing about the endpoint
	done    bool
}

// Pick reserves a slot at the endpoint with the lowest score, or at one that is about as
// good while endpoints differ in speed. Endpoints that
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
		slot := &Slot{
			Entry: best.Entry, fleet: f, began: now, sentAt: f.timers.Uptime(),
			class: want.Class, work: f.model(want.Service).Relative(want.Class),
		}
		best.inFlight++
		best.sentSinceReport++
		best.work += slot.work
		return slot, true
	}
}

// candidate is an endpoint that may be picked.
type candidate struct {
	state   *endpointState
	pace    float64
	score   float64
	avoided bool // it failed recently
	free    bool // it needs no permit that this process does not have
}

// before reports whether the candidate is preferred to another one.
func (c candidate) before(other candidate) bool {
	if other.state == nil || c.avoided != other.avoided {
		return other.state == nil || !c.avoided
	}
	return c.score < other.score
}

// choose returns an endpoint with room that can be sent to now, or nil, and the limited
// ones without a permit to which the best one is not preferred, best first. Those with the
// same score are among them: else an idle process would never learn that a limit ended.
func (f *Fleet) choose(want Requirements, now time.Time) (chosen *endpointState, limited []ratelimit.Endpoint) {
	f.rank(want, now)
	var first candidate
	withheld := 0
	for _, c := range f.candidates {
		switch {
		case !c.free:
			withheld++
		case c.before(first):
			first = c
		}
	}
	if withheld > 0 {
		limited = f.limited(first)
	}
	if first.state == nil || !f.options.Shared {
		return first.state, limited
	}
	return f.spread(first, now), limited
}

// rank sets the candidates for a request and their scores.
func (f *Fleet) rank(want Requirements, now time.Time) {
	f.candidates = f.candidates[:0]
	uneven := false
	for _, s := range f.services[want.Service] {
		if !f.matches(s, want) || !f.hasRoom(s, now) {
			continue
		}
		if want.Background && !s.headroom(now) {
			continue
		}
		cold, known := f.cold(s, now)
		if !known {
			continue
		}
		c := candidate{state: s, pace: s.speed.Pace(now), avoided: now.Before(s.backoffUntil)}
		c.free = f.options.Limiter.State(s.run(), cold) != ratelimit.Withheld
		uneven = uneven || c.pace != 1
		f.candidates = append(f.candidates, c)
	}
	penalty := zonePenalty
	if uneven {
		penalty = unevenZonePenalty
	}
	work, fastest := f.model(want.Service).Relative(want.Class), f.fastest(want.Service, now)
	for i := range f.candidates {
		c := &f.candidates[i]
		c.score = f.score(c, work, fastest, now)
		if f.remote(c.state) {
			c.score += penalty
		}
		if want.Preferred != "" && c.state.ID == want.Preferred {
			c.score -= preferredBonus
		}
	}
}

// limited returns the candidates without a permit to which the first one is not
// preferred, best first.
func (f *Fleet) limited(first candidate) []ratelimit.Endpoint {
	var withheld []candidate
	for _, c := range f.candidates {
		if !c.free && (first.state == nil || !first.before(c)) {
			withheld = append(withheld, c)
		}
	}
	slices.SortFunc(withheld, func(a, b candidate) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	limited := make([]ratelimit.Endpoint, 0, len(withheld))
	for _, c := range withheld {
		limited = append(limited, c.state.run())
	}
	return limited
}

// spread chooses among the candidates that may be sent to as the first one may, so that
// many processes with the same reports do not choose the same endpoint.
func (f *Fleet) spread(first candidate, now time.Time) *endpointState {
	f.costs = f.costs[:0]
	eligible := f.candidates[:0]
	for _, c := range f.candidates {
		if !c.free || c.avoided != first.avoided {
			continue
		}
		eligible = append(eligible, c)
		f.costs = append(f.costs, cost.Candidate{
			Finish: c.score, Pace: c.pace, Remote: f.remote(c.state), Reports: c.state.speed.Reports(now),
		})
	}
	return eligible[f.chooser.Choose(f.costs, rand.Float64)].state
}

// remote reports whether the endpoint is in another availability zone than this process.
func (f *Fleet) remote(s *endpointState) bool {
	return f.options.Zone != "" && s.Zone != f.options.Zone
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
	for _, s := range f.services[want.Service] {
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

// score returns the expected time until a request of the work ends at the candidate, in
// units of the mean work of the service. Lower is better. The event times of an engine
// tell its speed better than its pace, which counts only where it is slower.
func (f *Fleet) score(c *candidate, work float64, fastest time.Duration, now time.Time) float64 {
	s := c.state
	ahead := s.work
	if now.Sub(s.loadAt) < loadMaxAge {
		ahead = max(ahead, float64(s.load.Running+s.load.Waiting))
	}
	queue := cost.Queue{Ahead: ahead, Slots: s.Slots}
	if fastest == 0 || s.eventTime == 0 || now.Sub(s.eventTimeAt) > eventTimeMaxAge {
		return cost.Finish(queue, work, c.pace)
	}
	slowness := max(f.slowness(s, fastest, now), c.pace)
	return cost.Finish(queue, work, 1) + slownessWeight*(slowness-1)
}

// fastest returns the shortest event time of the service's endpoints, or 0 when
// none was measured within eventTimeMaxAge.
func (f *Fleet) fastest(service string, now time.Time) time.Duration {
	var best time.Duration
	for _, s := range f.services[service] {
		if s.eventTime == 0 || now.Sub(s.eventTimeAt) > eventTimeMaxAge || !f.usable(s) {
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
	for _, s := range f.services[want.Service] {
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
		if load.Slots == 0 {
			load.Slots = st.Slots
		}
		st.load, st.loadAt, st.sentSinceReport = load, s.fleet.timers.Now(), 0
		st.speed = st.speed.WithReport(load.Pace, st.loadAt)
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
	now := f.timers.Now()
	if outcome == Answered {
		f.learn(s, st, now)
	}
	st.inFlight, st.work = max(0, st.inFlight-1), max(0, st.work-s.work)
	if st.inFlight == 0 {
		st.work = 0 // without rounding errors
	}
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
