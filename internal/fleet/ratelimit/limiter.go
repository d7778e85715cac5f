// Package ratelimit keeps the request rates that endpoints take from all processes
// together. An endpoint in need names its limit in its answers, for as long as it
// holds.
//
// # Usage
//
//	limiter := ratelimit.New(ratelimit.Options{Self: "entry-1"}, seams, timers, log)
//	limiter.Observe(endpoint, ratelimit.Observation{Rate: 2.5, Limited: true, SentAt: sentAt})
//	limiter.CountSend(endpoint)
//
// # Times
//
// All times are uptimes of this process, which include suspensions. Between processes
// only ages are passed on.
package ratelimit

import (
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
)

// CountSends is the name of the counter of requests that were sent to endpoints while
// they named a limit, by endpoint.
const CountSends = "limited_sends"

const (
	// minRate and maxRate bound the rates in force, in requests per second. A rate of
	// zero would never end, since only the answer to a request ends a limit.
	minRate = 0.05
	maxRate = 1e6
	// changeRatio is the ratio of two limits from which on they count as different.
	changeRatio = 1.1
)

// Endpoint identifies one run of an endpoint: its ID, its start time in Unix
// milliseconds and its availability zone.
type Endpoint struct {
	ID   string
	Born int64
	Zone string
}

// Observation is what an answer tells of the endpoint's limit: the rate in requests per
// second, or that there is none. SentAt is the uptime at which the request was sent.
type Observation struct {
	Rate    float64
	Limited bool
	SentAt  time.Duration
}

// Options configure a limiter. Self is the ID of this process among the members.
type Options struct {
	Self string
}

// Seams are the dependencies of a limiter.
type Seams struct {
	// Members returns the processes that send requests to endpoints, this one included,
	// or nil while they are not known.
	Members func() []member.Instance
	// Meters receives the metrics; nil discards them.
	Meters *meter.Set
}

// Limiter holds the limits of endpoints. It is safe for concurrent use.
type Limiter struct {
	options Options
	seams   Seams
	timers  *clock.Service
	log     *logrus.Entry
	sends   *meter.Counter

	mu      sync.Mutex
	records map[string]*record // by endpoint ID
}

// record is what this process knows of one run of an endpoint.
type record struct {
	endpoint Endpoint
	limit    limit
}

// limit is the limit that an endpoint names. Its times are uptimes.
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
	return &Limiter{
		options: options, seams: seams, timers: timers, log: log, records: map[string]*record{},
		sends: seams.Meters.Counter(CountSends),
	}
}

// NewLocal returns a limiter for a process that shares its endpoints with no other one.
func NewLocal(timers *clock.Service) *Limiter {
	self := member.Instance{ID: "self"}
	return New(Options{Self: self.ID}, Seams{Members: func() []member.Instance { return []member.Instance{self} }}, timers, logs.Discard())
}

// Observe records what an answer of the endpoint tells of its limit. An answer without
// a limit ends one only if its request was sent after the limit became known.
func (l *Limiter) Observe(e Endpoint, o Observation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timers.Uptime()
	r := l.records[e.ID]
	switch {
	case o.Limited:
		l.learn(l.record(e), clampRate(o.Rate), now, "answer")
	case r != nil && r.endpoint.Born == e.Born && r.limit.rate > 0 && o.SentAt > r.limit.learnedAt:
		l.end(r, now, "answer")
	}
}

// record returns the record of a run of an endpoint and creates it if necessary. A new
// run of an endpoint inherits nothing.
func (l *Limiter) record(e Endpoint) *record {
	r := l.records[e.ID]
	if r == nil || r.endpoint.Born != e.Born {
		r = &record{endpoint: e}
		l.records[e.ID] = r
	}
	return r
}

// learn records a limit that was heard at the given uptime. source tells from whom.
func (l *Limiter) learn(r *record, rate float64, heardAt time.Duration, source string) {
	previous, now := r.limit.rate, l.timers.Uptime()
	r.limit.rate, r.limit.heardAt = rate, heardAt
	switch {
	case previous == 0:
		r.limit.learnedAt = now
		l.logLimit(r).WithField("source", source).Info("endpoint limit learned")
	case rate > previous*changeRatio || rate < previous/changeRatio:
		l.logLimit(r).WithFields(logrus.Fields{"source": source, "previous": previous}).Info("endpoint limit changed")
	}
}

// end records that an endpoint named no limit any more at the given uptime.
func (l *Limiter) end(r *record, endedAt time.Duration, source string) {
	l.logLimit(r).WithField("source", source).Info("endpoint limit ended")
	r.limit.rate, r.limit.endedAt = 0, endedAt
}

// logLimit returns a log entry with the limit of an endpoint, the time since it became
// known, and the number of processes that are counted.
func (l *Limiter) logLimit(r *record) *logrus.Entry {
	return l.log.WithFields(logrus.Fields{
		logs.Endpoint: r.endpoint.ID, "limit": r.limit.rate, "age_ms": (l.timers.Uptime() - r.limit.learnedAt).Milliseconds(),
		"processes": len(l.seams.Members()),
	})
}

// CountSend counts a request that is sent to the endpoint, if it has a limit.
func (l *Limiter) CountSend(e Endpoint) {
	l.mu.Lock()
	r := l.records[e.ID]
	limited := r != nil && r.endpoint.Born == e.Born && r.limit.rate > 0
	l.mu.Unlock()
	if limited {
		l.sends.Add(e.ID, 1)
	}
}

// clampRate bounds a rate. It also keeps calculations with it finite.
func clampRate(rate float64) float64 { return math.Min(maxRate, math.Max(minRate, rate)) }
