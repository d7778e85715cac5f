// Package replica keeps the state of the endpoints as this process knows it:
// their entries, the requests in flight, their reported load, and whether they
// are cold, failing or out of service. It picks the endpoint for a request.
//
// # Usage
//
//	fleet := replica.NewFleet(timers, replica.Options{Zone: "a", Limiter: limiter})
//	fleet.Put(entry)
//	slot, found := fleet.Pick(replica.Requirements{Service: "catalog"})
//	...
//	slot.Done(replica.Answered)
package replica

import (
	"maps"
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/fleet/cost"
	"github.com/wigeonpin/wigeonpin/internal/fleet/ratelimit"
)

// Entry is the registration of an endpoint, as the endpoint published it.
type Entry struct {
	ID, Service, Address, Zone string
	Slots                      int
	Draining                   bool
	Cold                       time.Duration // remaining time in which it is cold (serves slowly after its start)
	Born                       int64         // start time in Unix milliseconds
	Models                     map[string]int64
}

// Load is the load that an endpoint reports: its running and waiting requests, its
// number of slots (0 if it names none), and how long its work takes at the moment: 1
// means as long as usual, 2 twice as long, and 0 that it reports none.
type Load struct {
	Running, Waiting, Slots int
	Pace                    float64
}

// run identifies the run of the endpoint that the entry belongs to.
func (e Entry) run() ratelimit.Endpoint {
	return ratelimit.Endpoint{ID: e.ID, Born: e.Born, Zone: e.Zone}
}

// Outcome is the result of a request at an endpoint.
type Outcome int

// The outcomes of a request.
const (
	Answered    Outcome = iota // a complete answer was received
	Rejected                   // the endpoint reported that it did not run the request
	Failed                     // no answer, or a broken one
	Abandoned                  // this process gave up; says nothing about the endpoint
	Misdirected                // another endpoint has the address
	Unreached                  // nothing listens at the address
)

const (
	// minBackoff and maxBackoff bound how long a failing endpoint is avoided; the
	// time doubles with each consecutive failure.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// maxUnreachableBackoff bounds how long an endpoint gets no requests because
	// nothing listens at its address. It may be back before its entry is updated.
	maxUnreachableBackoff = time.Second
	// rejectionBackoff is how long an endpoint that rejected a request is avoided.
	rejectionBackoff = 60 * time.Millisecond
	// loadMaxAge is the age up to which a load report is used.
	loadMaxAge = 400 * time.Millisecond
	// zonePenalty is the extra load, as a share of the slots, that the endpoints
	// of this availability zone may have before a request goes to another zone.
	zonePenalty = 0.3
	// unevenZonePenalty takes its place while endpoints of the service differ in speed: a
	// request goes to another zone only if it ends sooner there by the mean work of the
	// service, since the way there takes time and its bytes are billed. With zonePenalty
	// half of the requests of uneven endpoints crossed, and they ended later.
	unevenZonePenalty = 1.0
	// slownessWeight is the load, as a share of the slots, that is added to the
	// score of an endpoint of half the best speed.
	slownessWeight = 1.0
	// eventTimeMaxAge is the age up to which a measured event time is used, so
	// that a slow endpoint is tried again.
	eventTimeMaxAge = 8 * time.Second
	// eventTimeWeight is the weight of a new measurement in the moving average.
	eventTimeWeight = 0.2
	// silentZoneAvoidance is how long the endpoints of an availability zone that
	// has gone silent get no requests, unless one of them is heard before.
	silentZoneAvoidance = 3 * time.Second
	// departureRetention is how long the announced departure of an endpoint is
	// remembered. It exceeds the time that an endpoint takes to exit.
	departureRetention = 10 * time.Minute
	// reregistrationGrace is how long entries that vanished while the store was
	// unavailable are kept after its return. Endpoints that are still alive
	// register again within this time.
	reregistrationGrace = 2300 * time.Millisecond
)

// Options configure a fleet. Zone is this process's availability zone, whose
// endpoints are preferred; empty prefers none. Overcommit times an endpoint's slots is the limit on the requests that this
// process has in flight there. Shared means that many processes send to the same
// endpoints, so that a process starts with a low limit at each.
type Options struct {
	Zone       string
	Overcommit float64
	Shared     bool
	Limiter    *ratelimit.Limiter
}

type endpointState struct {
	Entry
	inFlight int     // requests of this process in flight
	work     float64 // the work of inFlight relative to the mean work of the service
	speed    cost.Speed
	load     Load
	loadAt   time.Time
	// sentSinceReport counts the requests of this process sent since the load report.
	sentSinceReport int
	failures        int
	backoffUntil    time.Time
	absentUntil     time.Time // gets no requests until then: not found at its address
	coldUntil       time.Time
	eventTime       time.Duration // moving average of the time for one event; 0 while unknown
	eventTimeAt     time.Time
	limiter         concurrencyLimiter
	pausedUntil     time.Time // end of the pause due to a limit below one
	loading         string    // model whose weights are being changed
	expiresAt       time.Time // when to drop an endpoint that is kept without an entry; zero if it has one
}

// departure records that an endpoint announced that it is leaving, for the run
// that started at born. It is kept longer than the endpoint's entry, which may
// still be listed as ready, or be listed again.
type departure struct {
	born int64
	at   time.Time
}

// Fleet is the set of known endpoints. It is safe for concurrent use.
type Fleet struct {
	timers  *clock.Service
	options Options

	mu         sync.Mutex
	states     map[string]*endpointState
	services   map[string]map[string]*endpointState // states by service and ID
	departures map[string]departure                 // announced departures by endpoint ID
	zonesOut   map[string]bool                      // availability zones out of service
	silent     map[string]time.Time                 // availability zones that have gone silent, and until when they are avoided
	warmups    map[string]Warmup
	models     map[string]*cost.Model // by service
	chooser    cost.Chooser
	candidates []candidate      // memory for choose
	costs      []cost.Candidate // memory for choose
	changed    chan struct{}
	onEnd      func(Entry)
	onRoom     func()
}

// Warmup limits the requests to cold endpoints of a service. Duration is how long
// an endpoint is cold. It is used when a zone returns to service; at other times
// the endpoints report their remaining time.
type Warmup struct {
	Duration time.Duration
	Rate     float64 // requests per second of all processes together
}

// NewFleet returns an empty fleet.
func NewFleet(timers *clock.Service, options Options) *Fleet {
	if options.Limiter == nil {
		options.Limiter = ratelimit.NewLocal(timers)
	}
	f := &Fleet{
		timers: timers, options: options, states: map[string]*endpointState{}, services: map[string]map[string]*endpointState{}, departures: map[string]departure{},
		zonesOut: map[string]bool{}, silent: map[string]time.Time{}, warmups: map[string]Warmup{},
		models: map[string]*cost.Model{}, changed: make(chan struct{}, 1),
		onEnd: func(Entry) {}, onRoom: func() {},
	}
	options.Limiter.OnRoom(func() {
		f.notify()
		f.onRoom()
	})
	return f
}

// OnRoom sets the function that is called when a limited endpoint may take requests
// again. OnRoom must be called before the first Pick.
func (f *Fleet) OnRoom(room func()) { f.onRoom = room }

// OnUnexpectedEnd sets the function that is called when an endpoint ended without
// announcing its departure: its entry is gone, or has a new start time after a
// restart. OnUnexpectedEnd must be called before the first Put.
func (f *Fleet) OnUnexpectedEnd(ended func(Entry)) { f.onEnd = ended }

// Changed returns a channel that receives a value after changes that can make
// room for requests.
func (f *Fleet) Changed() <-chan struct{} { return f.changed }

func (f *Fleet) notify() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// SetWarmups sets the limits for cold endpoints, by service.
func (f *Fleet) SetWarmups(warmups map[string]Warmup) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.warmups = warmups
}

// SetZoneOut takes an availability zone out of service or puts it back. The
// endpoints of a zone that returns to service count as cold.
func (f *Fleet) SetZoneOut(zone string, out bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.zonesOut[zone] && !out {
		for _, s := range f.states {
			if s.Zone == zone {
				f.markCold(s, f.warmups[s.Service].Duration)
			}
		}
	}
	f.zonesOut[zone] = out
	f.notify()
}

// AvoidZone records that the endpoints of an availability zone have gone silent
// together. They get no requests for a while.
func (f *Fleet) AvoidZone(zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[zone] = f.timers.Now().Add(silentZoneAvoidance)
}

// ZoneAvoided reports whether the endpoints of an availability zone get no requests
// because they have gone silent together.
func (f *Fleet) ZoneAvoided(zone string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.timers.Now().Before(f.silent[zone])
}

// Put adds or replaces an entry.
func (f *Fleet) Put(e Entry) {
	if previous, ended := f.put(e); ended {
		f.onEnd(previous)
	}
}

// put returns the previous entry if it belonged to an earlier run of the
// endpoint that ended without announcing its departure.
func (f *Fleet) put(e Entry) (previous Entry, ended bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, known := f.states[e.ID]
	if known && s.Born != e.Born && f.active(s) {
		previous, ended = s.Entry, true
	}
	if known {
		delete(f.services[s.Service], e.ID)
	}
	if !known || s.Born != e.Born || s.Address != e.Address {
		s = &endpointState{}
		if f.options.Shared {
			s.limiter.limit = initialLimit
		}
		f.states[e.ID] = s
	}
	delete(f.silent, e.Zone) // the endpoint reached the store
	models := mergeVersions(s.Models, e.Models)
	s.Entry = e
	s.Models = models
	s.expiresAt = time.Time{}
	if f.services[e.Service] == nil {
		f.services[e.Service] = map[string]*endpointState{}
	}
	f.services[e.Service][e.ID] = s
	if e.Cold > 0 {
		f.markCold(s, e.Cold)
	}
	f.notify()
	return previous, ended
}

// active reports whether the endpoint is neither draining nor has announced its
// departure.
func (f *Fleet) active(s *endpointState) bool {
	d, found := f.departures[s.ID]
	return !s.Draining && !(found && d.born == s.Born)
}

// mergeVersions keeps the higher version of each model. Within one run of an
// endpoint versions only rise, and a listed version lags behind its answers.
func mergeVersions(known, listed map[string]int64) map[string]int64 {
	merged := make(map[string]int64, len(listed))
	for model, version := range listed {
		merged[model] = max(version, known[model])
	}
	return merged
}

// markCold records that an endpoint is cold for the remaining time.
func (f *Fleet) markCold(s *endpointState, remaining time.Duration) {
	if until := f.timers.Now().Add(remaining); until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

// cold returns the rate that the endpoint takes while it is cold. It returns false if
// the endpoint is cold and the rate of its service is not known yet. Endpoints of
// services without a rate are not limited.
func (f *Fleet) cold(s *endpointState, now time.Time) (c ratelimit.Cold, known bool) {
	left := s.coldUntil.Sub(now)
	if left <= 0 {
		return ratelimit.Cold{}, true
	}
	warmup, known := f.warmups[s.Service]
	if !known || warmup.Rate <= 0 {
		return ratelimit.Cold{}, known
	}
	return ratelimit.Cold{Rate: warmup.Rate, Left: left}, true
}

// Remove drops an endpoint whose entry is gone. If the store became available
// again only just now (at regained), the endpoint is kept for
// reregistrationGrace, in which it can register again.
func (f *Fleet) Remove(id string, regained time.Time) {
	if previous, ended := f.remove(id, regained); ended {
		f.onEnd(previous)
	}
}

// remove returns the entry if it was dropped and the endpoint had not announced
// its departure.
func (f *Fleet) remove(id string, regained time.Time) (previous Entry, ended bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, known := f.states[id]
	if !known {
		return Entry{}, false
	}
	now := f.timers.Now()
	// Drop endpoints that were kept after an outage of the store and did not
	// register again.
	expired := func(_ string, other *endpointState) bool {
		return !other.expiresAt.IsZero() && now.After(other.expiresAt)
	}
	maps.DeleteFunc(f.states, expired)
	for _, states := range f.services {
		maps.DeleteFunc(states, expired)
	}
	if now.Sub(regained) < reregistrationGrace {
		s.expiresAt = regained.Add(reregistrationGrace)
		return Entry{}, false
	}
	delete(f.states, id)
	delete(f.services[s.Service], id)
	return s.Entry, f.active(s)
}

// RecordVersion records the weight version of a model that an endpoint answered with.
func (f *Fleet) RecordVersion(id, model string, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, known := f.states[id]; known {
		models := mergeVersions(s.Models, s.Models)
		models[model] = version
		s.Models = models
		f.notify()
	}
}

// HasVersion reports whether an endpoint is known to have at least this weight
// version of a model.
func (f *Fleet) HasVersion(id, model string, version int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, known := f.states[id]
	return known && s.Models[model] >= version
}

// SetLoading marks an endpoint as changing the weights of a model. An empty
// model clears the mark.
func (f *Fleet) SetLoading(id, model string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, known := f.states[id]; known {
		s.loading = model
		f.notify()
	}
}

// Serves reports whether any endpoint matches the request, busy or not.
func (f *Fleet) Serves(want Requirements) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services[want.Service] {
		if f.matches(s, want) {
			return true
		}
	}
	return false
}

// Entry returns the entry of an endpoint.
func (f *Fleet) Entry(id string) (Entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, found := f.states[id]
	if !found {
		return Entry{}, false
	}
	return s.Entry, true
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

func (f *Fleet) usable(s *endpointState) bool {
	if !f.active(s) || f.zonesOut[s.Zone] {
		return false
	}
	return s.expiresAt.IsZero() || f.timers.Now().Before(s.expiresAt)
}
