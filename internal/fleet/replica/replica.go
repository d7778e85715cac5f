// Package replica keeps what this process knows about the endpoints: their
// entries, how much it sends them, what they say of their load, and whether
// they are cold, failing or out of service. It picks the endpoint for a
// request.
//
// # Usage
//
//	fleet := replica.NewFleet(timers, replica.Options{Zone: "a", ColdShare: replica.Fixed(0.1)})
//	fleet.Put(entry)
//	slot, found := fleet.Pick(replica.Want{Service: "catalog"})
//	...
//	slot.Done(replica.Answered)
package replica

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
)

// Entry is what an endpoint says of itself.
type Entry struct {
	ID, Service, Address, Zone string
	Slots                      int
	Draining                   bool
	Cold                       time.Duration // how much longer it starts slowly
	Born                       int64         // Unix milliseconds
	Models                     map[string]int64
}

// Load is an endpoint's own report of its load.
type Load struct {
	Running, Waiting, Slots int
}

// Outcome is how a request at an endpoint ended.
type Outcome int

// The outcomes.
const (
	Answered  Outcome = iota // a complete answer came
	Rejected                 // the endpoint said that it did not run the request
	Failed                   // no answer, or a broken one
	Abandoned                // this side gave up without a verdict
	Misplaced                // another endpoint has the address
	Unreached                // nothing listens at the address
)

const (
	// firstRest and lastRest bound how long a failing endpoint is avoided; the
	// time doubles with each failure in a row.
	firstRest = 500 * time.Millisecond
	lastRest  = 4 * time.Second
	// absentRest bounds how long an endpoint is not taken at whose address nothing
	// listens. It may be back before its entry tells so.
	absentRest = time.Second
	// fullRest is how long an endpoint that rejected a request is avoided.
	fullRest = 60 * time.Millisecond
	// loadAge is the age up to which a load report counts.
	loadAge = 400 * time.Millisecond
	// zonePenalty is the load, as a share of the slots, that a request bears
	// before it goes to another availability zone.
	zonePenalty = 0.3
	// paceWeight is the load, as a share of the slots, that an endpoint of half
	// the best speed is put behind by.
	paceWeight = 1.0
	// paceAge is the age at which a measured speed counts no more, so that a
	// slow endpoint is tried again.
	paceAge = 8 * time.Second
	// paceShare is the part of a new measurement in the mean.
	paceShare = 0.2
	// departureKept is how long it is known that an endpoint leaves, which
	// exceeds the time in which it exits.
	departureKept = 10 * time.Minute
	// coldBurst is how many requests a cold endpoint takes at once.
	coldBurst = 2
	// lapseGrace is how long entries that vanished while the store was away
	// are kept after its return, in which endpoints that live register again.
	lapseGrace = 2300 * time.Millisecond
)

// Options configure a fleet. Zone is this process's availability zone; empty
// prefers none. ColdShare returns this process's part of what a cold endpoint
// bears; nil means none.
// Ceiling multiplies the slots up to which this process sends to an endpoint.
// Shared tells that many processes send to the same endpoints, so that a process
// begins with few requests at each.
type Options struct {
	Zone      string
	ColdShare func() float64
	Ceiling   float64
	Shared    bool
}

type state struct {
	Entry
	sent        int // running requests of this process
	load        Load
	loadAt      time.Time
	failures    int
	restTill    time.Time
	absentTill  time.Time // not at its address, as far as is known
	coldTill    time.Time
	budget      float64 // requests that may go to it now while it is cold
	filledAt    time.Time
	pace        time.Duration // mean time for one event; 0 while unknown
	pacedAt     time.Time
	concurrency concurrency
	pauseEnd    time.Time // end of the pause that a limit below one asks for
	loading     string    // model whose weights are being changed
	goneAt      time.Time
}

// departure is one life of an endpoint that told that it leaves. It outlives
// the endpoint's entry, which may still be listed as ready, or again.
type departure struct {
	born int64
	at   time.Time
}

// Fleet is the set of known endpoints. It is safe for concurrent use.
type Fleet struct {
	timers  *clock.Service
	options Options

	mu      sync.Mutex
	states  map[string]*state
	left    map[string]departure // endpoints that told that they leave, by id
	out     map[string]bool      // availability zones out of service
	cold    map[string]Warmup
	changed chan struct{}
	ended   func(Entry)
}

// Fixed returns a share that does not change.
func Fixed(share float64) func() float64 { return func() float64 { return share } }

// Warmup is how endpoints of a service start.
type Warmup struct {
	For  time.Duration
	Rate float64 // requests a second
}

// NewFleet returns an empty fleet.
func NewFleet(timers *clock.Service, options Options) *Fleet {
	return &Fleet{
		timers: timers, options: options, states: map[string]*state{}, left: map[string]departure{},
		out: map[string]bool{}, cold: map[string]Warmup{}, changed: make(chan struct{}, 1), ended: func(Entry) {},
	}
}

// OnEnd sets the function that is called when a life of an endpoint is over
// that did not leave: its entry is gone or tells of a new life. It must be set
// before the first entry is put.
func (f *Fleet) OnEnd(ended func(Entry)) { f.ended = ended }

// Changed receives a value after changes that can make room for requests.
func (f *Fleet) Changed() <-chan struct{} { return f.changed }

func (f *Fleet) notify() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// SetWarmups sets how the endpoints of each service start.
func (f *Fleet) SetWarmups(warmups map[string]Warmup) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cold = warmups
}

// SetOut takes an availability zone out of service or puts it back. Endpoints
// of a returning zone count as cold.
func (f *Fleet) SetOut(zone string, out bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.out[zone] && !out {
		for _, s := range f.states {
			if s.Zone == zone {
				f.chill(s, f.cold[s.Service].For)
			}
		}
	}
	f.out[zone] = out
	f.notify()
}

// Put adds or replaces an entry.
func (f *Fleet) Put(e Entry) {
	if former, over := f.put(e); over {
		f.ended(former)
	}
}

// put returns the former entry if it was one of another life.
func (f *Fleet) put(e Entry) (former Entry, over bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, known := f.states[e.ID]
	if known && s.Born != e.Born && f.stays(s) {
		former, over = s.Entry, true
	}
	if !known || s.Born != e.Born || s.Address != e.Address {
		s = &state{}
		if f.options.Shared {
			s.concurrency.limit = firstLimit
		}
		f.states[e.ID] = s
	}
	models := merge(s.Models, e.Models)
	s.Entry = e
	s.Models = models
	s.goneAt = time.Time{}
	if e.Cold > 0 {
		f.chill(s, e.Cold)
	}
	f.notify()
	return former, over
}

// stays reports whether the endpoint did not tell that it leaves.
func (f *Fleet) stays(s *state) bool {
	d, told := f.left[s.ID]
	return !s.Draining && !(told && d.born == s.Born)
}

// merge keeps the higher version of each model: within one life of an endpoint
// versions only rise, and a list lags behind its answers.
func merge(known, listed map[string]int64) map[string]int64 {
	merged := make(map[string]int64, len(listed))
	for model, version := range listed {
		merged[model] = max(version, known[model])
	}
	return merged
}

// chill limits what a cold endpoint gets for some time. Endpoints of services
// that set no limit are not held back.
func (f *Fleet) chill(s *state, left time.Duration) {
	if warmup, known := f.cold[s.Service]; known && warmup.Rate <= 0 {
		return
	}
	now := f.timers.Now()
	if !now.Before(s.coldTill) {
		s.budget, s.filledAt = f.firstBudget(s), now
	}
	if till := now.Add(left); till.After(s.coldTill) {
		s.coldTill = till
	}
}

// coldRate returns how many requests a second this process may send to the
// endpoint while it is cold.
func (f *Fleet) coldRate(s *state) float64 {
	if f.options.ColdShare == nil {
		return 0
	}
	return f.cold[s.Service].Rate * f.options.ColdShare()
}

// firstBudget is what may go to an endpoint right after it turned cold. Where
// each of many processes may send less than one request a second, chance spreads
// their first ones, so that their sum begins at the joint rate.
func (f *Fleet) firstBudget(s *state) float64 {
	if f.coldRate(s) >= 1 {
		return 1
	}
	return rand.Float64()
}

// Remove drops an endpoint whose entry is gone. When the store has just come
// back, the endpoint is kept for the time in which it registers again.
func (f *Fleet) Remove(id string, regained time.Time) {
	if former, over := f.remove(id, regained); over {
		f.ended(former)
	}
}

// remove returns the entry if it was dropped and did not tell that it leaves.
func (f *Fleet) remove(id string, regained time.Time) (former Entry, over bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, known := f.states[id]
	if !known {
		return Entry{}, false
	}
	now := f.timers.Now()
	// Entries that were kept so and did not come back.
	maps.DeleteFunc(f.states, func(_ string, other *state) bool { return !other.goneAt.IsZero() && now.After(other.goneAt) })
	if now.Sub(regained) < lapseGrace {
		s.goneAt = regained.Add(lapseGrace)
		return Entry{}, false
	}
	delete(f.states, id)
	return s.Entry, f.stays(s)
}

// Learn notes the weight version of a model that an endpoint answered with.
func (f *Fleet) Learn(id, model string, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, known := f.states[id]; known {
		models := merge(s.Models, s.Models)
		models[model] = version
		s.Models = models
		f.notify()
	}
}

// SetLoading marks an endpoint that changes the weights of a model; empty ends
// it.
func (f *Fleet) SetLoading(id, model string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, known := f.states[id]; known {
		s.loading = model
		f.notify()
	}
}

// Serves reports whether any endpoint fits the request, busy or not.
func (f *Fleet) Serves(want Want) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.states {
		if f.fits(s, want) {
			return true
		}
	}
	return false
}

// Entries returns the endpoints of a service that are in service, or of all
// services when it is empty.
func (f *Fleet) Entries(service string) []Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Entry
	for _, s := range f.states {
		if (service == "" || s.Service == service) && f.usable(s) {
			list = append(list, s.Entry)
		}
	}
	return list
}

func (f *Fleet) usable(s *state) bool {
	if !f.stays(s) || f.out[s.Zone] {
		return false
	}
	return s.goneAt.IsZero() || f.timers.Now().Before(s.goneAt)
}
