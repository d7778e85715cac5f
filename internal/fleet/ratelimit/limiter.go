// Package ratelimit shares the request rate of an endpoint among the processes that
// send to it. An endpoint in need names in its answers how many requests a second it
// takes from all processes together, for as long as it says so; a cold one takes the
// rate of its service.
//
// Each request to such an endpoint needs a permit. One process grants the permits of an
// endpoint, from a token bucket: the first in rendezvous order of the processes in the
// endpoint's availability zone. A process that is cut off from that zone is cut off from
// the endpoint as well. The others ask it, and wait there in a queue that is fair
// between client accounts.
//
// No lease or quorum protects this role. A process that cannot reach the first one asks
// the next, which passes the call on if it can. Otherwise it grants a part of the rate
// (see shares): the parts of all processes that may grant at the same time add up to at
// most 1.25 of the rate, whatever each of them knows of the others.
//
// # Usage
//
//	limiter := ratelimit.New(ratelimit.Options{Self: "entry-1"}, seams, timers, log)
//	go limiter.Run(ctx)
//	mux.Handle(ratelimit.RatesPathPrefix, limiter.Server())
//
//	switch limiter.State(endpoint, ratelimit.Cold{}) {
//	case ratelimit.Withheld:
//		verdict := limiter.Request([]ratelimit.Endpoint{endpoint}, need)
//	default:
//		sent := limiter.Take(endpoint)
//	}
//	limiter.Observe(endpoint, ratelimit.Observation{Rate: 2.5, Limited: true, SentAt: sentAt})
//
// # Times
//
// All times are uptimes of this process, which include suspensions. Between processes
// only ages and durations are passed on.
package ratelimit

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
)

// The names of the counters: requests that were sent to endpoints while they named a
// limit, by endpoint; and asks for permits, by outcome.
const (
	CountSends = "limited_sends"
	CountAsks  = "permit_asks"
)

const (
	// minRate and maxRate bound the rates in force, in requests per second. A rate of
	// zero would never end, since only the answer to a request ends a limit.
	minRate = 0.05
	maxRate = 1e6
	// changeRatio is the ratio of two limits from which on they count as different.
	changeRatio = 1.1
	// retention is how long a record is kept after its last use.
	retention = 10 * time.Minute
)

// Endpoint identifies one run of an endpoint: its ID, its start time in Unix
// milliseconds and its availability zone.
type Endpoint struct {
	ID   string
	Born int64
	Zone string
}

func (e Endpoint) target() *Target { return &Target{Endpoint: e.ID, Born: e.Born, Zone: e.Zone} }

func endpointOf(t *Target) Endpoint {
	return Endpoint{ID: t.GetEndpoint(), Born: t.GetBorn(), Zone: t.GetZone()}
}

// Cold is the rate in requests per second that an endpoint takes while it is cold, and
// for how much longer it is. The zero value is an endpoint that is not cold.
type Cold struct {
	Rate float64
	Left time.Duration
}

// Observation is what an answer tells of the endpoint's limit: the rate in requests per
// second, or that there is none. SentAt is the uptime at which the request was sent.
type Observation struct {
	Rate    float64
	Limited bool
	SentAt  time.Duration
}

// State tells whether this process may send a request to an endpoint.
type State int

// The states of an endpoint.
const (
	Free     State = iota // requests need no permit
	Granted               // this process has a permit
	Withheld              // this process needs a permit and has none
)

// Options configure a limiter. Self is the ID of this process among the members.
type Options struct {
	Self string
}

// Seams are the dependencies of a limiter.
type Seams struct {
	// Members returns the processes that send requests to endpoints, this one included,
	// or nil while they are not known.
	Members func() []member.Instance
	// Ask and Claim call another process. Refused reports whether an error proves that
	// the process grants no permits.
	Ask     func(context.Context, member.Instance, *AskRequest) (*AskReply, error)
	Claim   func(context.Context, member.Instance, *ClaimRequest) (*ClaimReply, error)
	Refused func(error) bool
	// Post and Subscribe send and receive news of limits; nil means none.
	Post      func(topic, key string, payload []byte, ttl time.Duration)
	Subscribe func(topic string, receive func(key string, payload []byte))
	// Meters receives the metrics; nil discards them.
	Meters *meter.Set
}

// Limiter holds the limits of endpoints, the permits of this process, and those that it
// grants. It is safe for concurrent use.
type Limiter struct {
	options     Options
	seams       Seams
	timers      *clock.Service
	log         *logrus.Entry
	sends, asks *meter.Counter
	claimNow    chan struct{} // wakes up Run
	onRoom      func()

	mu      sync.Mutex
	records map[string]*record   // by endpoint ID
	claims  map[string]claim     // processes that grant the permits of endpoints, by endpoint ID
	peers   map[string]peer      // unreachable processes, by ID
	met     map[string]metMember // processes that only others have in their lists, by ID
}

// record is what this process knows of one run of an endpoint.
type record struct {
	endpoint Endpoint
	limit    limit
	coldRate float64         // rate until coldEnd
	coldEnd  time.Duration   // end of the cold start
	usedAt   time.Duration   // latest use of the record
	permits  []time.Duration // ends of the unused permits of this process, earliest first
	ask      pendingAsk      // this process's ask for permits
	bucket   bucket          // from which this process grants permits
	// confirmed tells when a process last confirmed that it grants none of the
	// endpoint's permits, by the time of the call.
	confirmed map[string]time.Duration
	order     []member.Instance // the processes that may grant permits, first one first
	orderAt   time.Duration     // when order was determined
	postedAt  time.Duration     // latest news of the limit from this process
	heldLogAt time.Duration     // latest log line about a request that was held back
	// loggedShare and shareLogAt are of the latest log line about this process's share.
	loggedShare float64
	shareLogAt  time.Duration
}

// limit is the limit that an endpoint names. Its times are uptimes, 0 for never.
type limit struct {
	rate      float64 // requests per second; 0 while none is named
	learnedAt time.Duration
	heardAt   time.Duration // latest answer with a limit
	endedAt   time.Duration // latest answer that ended one
}

// New returns a limiter that knows of no limits.
func New(options Options, seams Seams, timers *clock.Service, log *logrus.Entry) *Limiter {
	if seams.Meters == nil {
		seams.Meters = meter.NewSet()
	}
	l := &Limiter{
		options: options, seams: seams, timers: timers, log: log,
		records: map[string]*record{}, claims: map[string]claim{}, peers: map[string]peer{}, met: map[string]metMember{},
		sends: seams.Meters.Counter(CountSends), asks: seams.Meters.Counter(CountAsks),
		claimNow: make(chan struct{}, 1), onRoom: func() {},
	}
	if seams.Subscribe != nil {
		seams.Subscribe(topic, l.receiveNews)
	}
	return l
}

// NewLocal returns a limiter for a process that shares its endpoints with no other one.
func NewLocal(timers *clock.Service) *Limiter {
	self := member.Instance{ID: "self"}
	return New(Options{Self: self.ID}, Seams{Members: func() []member.Instance { return []member.Instance{self} }}, timers, logs.Discard())
}

// OnRoom sets the function that is called when an ask has ended, so that requests may
// be sent. It must be called before the first request.
func (l *Limiter) OnRoom(room func()) { l.onRoom = room }

// Observe records what an answer of the endpoint tells of its limit. An answer without
// a limit ends one only if its request was sent after the limit became known.
func (l *Limiter) Observe(e Endpoint, o Observation) {
	l.mu.Lock()
	now := l.timers.Uptime()
	if o.Limited {
		r := l.record(e)
		l.learn(r, clampRate(o.Rate), now, "answer")
		news := l.dueNews(r, now)
		l.mu.Unlock()
		l.post(news)
		return
	}
	r := l.records[e.ID]
	ended := r != nil && r.limit.rate > 0 && o.SentAt > r.limit.learnedAt
	if ended {
		l.end(r, now, "answer")
	}
	l.mu.Unlock()
	if ended {
		go l.tell(e)
	}
}

// record returns the record of a run of an endpoint and creates it if necessary. A new
// run of an endpoint inherits nothing.
func (l *Limiter) record(e Endpoint) *record {
	r := l.records[e.ID]
	if r == nil || r.endpoint.Born < e.Born {
		r = &record{endpoint: e, confirmed: map[string]time.Duration{}}
		r.bucket.tokens = 1
		l.records[e.ID] = r
	}
	r.usedAt = l.timers.Uptime()
	return r
}

// learn records a limit that an answer named at the given uptime. source tells from
// whom this process heard of it.
func (l *Limiter) learn(r *record, rate float64, heardAt time.Duration, source string) {
	previous, now := r.limit.rate, l.timers.Uptime()
	r.limit.rate, r.limit.heardAt = rate, heardAt
	switch {
	case previous == 0:
		r.limit.learnedAt = now
		r.permits, r.ask.notBefore, r.ask.retryAt = nil, 0, 0
		l.logLimit(r).WithField("source", source).Info("endpoint limit learned")
	case rate > previous*changeRatio || rate < previous/changeRatio:
		r.postedAt = 0
		l.logLimit(r).WithFields(logrus.Fields{"source": source, "previous": previous}).Info("endpoint limit changed")
	}
}

// end records that an endpoint named no limit any more at the given uptime.
func (l *Limiter) end(r *record, endedAt time.Duration, source string) {
	l.logLimit(r).WithField("source", source).Info("endpoint limit ended")
	r.limit.rate, r.limit.endedAt, r.postedAt = 0, endedAt, 0
}

// logLimit returns a log entry with the limit of an endpoint, the time since it became
// known, the part that this process grants, and the number of processes that may grant.
func (l *Limiter) logLimit(r *record) *logrus.Entry {
	return l.log.WithFields(logrus.Fields{
		logs.Endpoint: r.endpoint.ID, "limit": r.limit.rate, "age_ms": (l.timers.Uptime() - r.limit.learnedAt).Milliseconds(),
		"share": r.bucket.share, "processes": len(l.grantors(r)),
	})
}

// rate returns the rate in force in requests per second, or 0 if requests need no
// permit.
func (r *record) rate(now time.Duration) float64 {
	if now >= r.coldEnd {
		return r.limit.rate
	}
	if r.limit.rate == 0 {
		return r.coldRate
	}
	return min(r.limit.rate, r.coldRate)
}

// burst returns the time whose permits may be granted at once.
func (r *record) burst(now time.Duration) time.Duration {
	if now < r.coldEnd {
		return coldBurstTime
	}
	return burstTime
}

// setCold records that the endpoint is cold.
func (r *record) setCold(c Cold, now time.Duration) {
	if c.Left <= 0 {
		return
	}
	r.coldRate, r.coldEnd = clampRate(c.Rate), max(r.coldEnd, now+c.Left)
}

// State tells whether this process may send a request to the endpoint.
func (l *Limiter) State(e Endpoint, cold Cold) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, now := l.records[e.ID], l.timers.Uptime()
	if cold.Left > 0 {
		r = l.record(e)
		r.setCold(cold, now)
	}
	if r == nil || r.endpoint.Born < e.Born || r.rate(now) == 0 {
		return Free
	}
	r.usedAt = now
	if r.dropExpired(now); len(r.permits) > 0 {
		return Granted
	}
	return Withheld
}

// dropExpired removes the permits that have expired.
func (r *record) dropExpired(now time.Duration) {
	for len(r.permits) > 0 && now >= r.permits[0] {
		r.permits = r.permits[1:]
	}
}

// Take uses a permit for a request to the endpoint. It returns false if the request
// needs one and there is none, so that it must not be sent.
func (l *Limiter) Take(e Endpoint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, now := l.records[e.ID], l.timers.Uptime()
	if r == nil || r.endpoint.Born < e.Born || r.rate(now) == 0 {
		return true
	}
	if r.dropExpired(now); len(r.permits) == 0 {
		return false
	}
	r.permits = r.permits[1:]
	if r.limit.rate > 0 {
		l.sends.Add(e.ID, 1)
	}
	return true
}

// Wait returns the time after which this process may expect a permit for the endpoint,
// and the rate in force divided by the number of processes. The time is 0 while no
// process has denied a permit.
func (l *Limiter) Wait(e Endpoint) (wait time.Duration, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, now := l.records[e.ID], l.timers.Uptime()
	if r == nil || r.rate(now) == 0 {
		return 0, 0
	}
	rate = r.rate(now) / float64(max(1, len(l.grantors(r)))) // all processes are in the order
	if r.ask.pending || len(r.permits) > 0 {
		return 0, rate
	}
	return max(0, r.ask.retryAt-now), rate
}

// clampRate bounds a rate. It also keeps calculations with it finite.
func clampRate(rate float64) float64 { return math.Min(maxRate, math.Max(minRate, rate)) }
