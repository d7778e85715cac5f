// Package breaker is a circuit breaker for the content of requests: one that
// ended several endpoints is held back in the whole fleet, whichever instance
// its caller sends it to again.
//
// Each life of an endpoint that ended under a content counts once, until a run
// of the content is answered. From the second on the content is held back for a
// pause that grows with the count. After the pause one run is let through as a
// trial. Instances tell each other of ended lives, trials and answers; these
// may arrive in any order, or twice.
//
// An endpoint that only this instance does not reach may live: a cut looks the
// same from one side. It counts here, for a short time, and nobody is told until
// its end is confirmed.
//
// # Usage
//
//	b := breaker.New(breaker.Seams{Post: board.Post, Subscribe: board.Subscribe}, timers, log)
//	content := breaker.Digest(body, account, method, path)
//	if wait := b.Admit(content); wait > 0 {
//		return refusal(wait) // the content must not run before
//	}
//	b.Unreached(content, life) // it broke the run off and refuses connections
//	b.Ended(content, life)     // the list of endpoints tells that it ended
//	b.Answered(content)
package breaker

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
)

// Topic is the bulletin's topic for contents that end endpoints.
const Topic = "content"

const (
	// contentsAtMost bounds the memory for contents: about 300 bytes each.
	contentsAtMost = 4096
	// innocence is how long a content is remembered under which one endpoint
	// ended. Most of these happened to run there.
	innocence = 10 * time.Minute
	// memory is how long a content is remembered under which several ended.
	memory = 2 * time.Hour
	// doubt is how long an endpoint counts that is not reached from here. Its end
	// shows in the list of endpoints within that time.
	doubt = 10 * time.Second
)

// pauses are the times for which a content is held back, by the number of lives
// that ended under it. The last one holds for more.
var pauses = []time.Duration{0, 0, 2 * time.Second, 30 * time.Second, 5 * time.Minute, 30 * time.Minute, memory}

// digestBytes is the length of a content's digest, in bytes.
const digestBytes = 16

// Digest returns the name of a content: what a request asks for and for whom.
// Unlike the request's id it stays the same when the caller sends it again.
func Digest(body []byte, parts ...string) string {
	h := sha256.New()
	for _, part := range parts {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// Life is one start of an endpoint. Born is in Unix milliseconds.
type Life struct {
	Endpoint string `json:"endpoint"`
	Born     int64  `json:"born"`
}

// Seams are the functions that a breaker needs: those of the bulletin. Without
// them it tells nobody and hears from nobody.
type Seams struct {
	Post      func(topic, key string, payload []byte, ttl time.Duration)
	Subscribe func(topic string, receive func(key string, payload []byte))
}

// Breaker holds back contents that end endpoints. It is safe for concurrent
// use.
type Breaker struct {
	seams  Seams
	timers *clock.Service
	log    *logrus.Entry

	mu      sync.Mutex
	records *lru.Cache[string, *record]
}

// record is what is known of one content.
type record struct {
	lives  map[Life]bool      // lives that ended; false: a later run was answered
	doubts map[Life]time.Time // lives that are not reached from here, and until when they count
	until  time.Time          // held back until then
	forget time.Time
}

func (r *record) count(now time.Time) int {
	count := 0
	for _, counts := range r.lives {
		if counts {
			count++
		}
	}
	for life, until := range r.doubts {
		if _, confirmed := r.lives[life]; !confirmed && now.Before(until) {
			count++
		}
	}
	return count
}

func pause(count int) time.Duration { return pauses[min(count, len(pauses)-1)] }

func remembered(count int) time.Duration {
	if count > 1 {
		return memory
	}
	return innocence
}

// event is what instances tell each other about a content.
type event struct {
	Ended   *Life  `json:"ended,omitempty"`
	Trial   bool   `json:"trial,omitempty"`
	Cleared []Life `json:"cleared,omitempty"`
}

// New returns a breaker that is fed by the bulletin.
func New(seams Seams, timers *clock.Service, log *logrus.Entry) *Breaker {
	records, err := lru.New[string, *record](contentsAtMost)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	b := &Breaker{seams: seams, timers: timers, log: log, records: records}
	if seams.Subscribe != nil {
		seams.Subscribe(Topic, b.receive)
	}
	return b
}

// Idle reports whether no content is remembered, so that none needs to be
// looked up.
func (b *Breaker) Idle() bool { return b.records.Len() == 0 }

// Admit returns how long the content is held back, or 0 when it may run now. If
// it was held back until now, this run is the trial.
func (b *Breaker) Admit(content string) time.Duration {
	b.mu.Lock()
	r, now := b.known(content), b.timers.Now()
	if r == nil || pause(r.count(now)) == 0 {
		b.mu.Unlock()
		return 0
	}
	if wait := r.until.Sub(now); wait > 0 {
		b.mu.Unlock()
		return wait
	}
	held := pause(r.count(now))
	r.until = now.Add(held)
	b.mu.Unlock()
	b.log.WithField(logs.Content, content).Info("held content is tried")
	b.post(content, event{Trial: true}, held)
	return 0
}

// Unreached notes that an endpoint broke the content off and refuses connections
// from here.
func (b *Breaker) Unreached(content string, life Life) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, now := b.record(content), b.timers.Now()
	maps.DeleteFunc(r.doubts, func(_ Life, until time.Time) bool { return !now.Before(until) })
	r.doubts[life] = now.Add(doubt)
	b.hold(content, r, life)
}

// Ended notes that an endpoint ended while it ran the content, for all
// instances.
func (b *Breaker) Ended(content string, life Life) {
	e := event{Ended: &life}
	b.mu.Lock()
	b.apply(content, e)
	count := b.known(content).count(b.timers.Now())
	b.mu.Unlock()
	b.post(content, e, remembered(count))
}

// Answered notes that an endpoint answered the content, so that it is not what
// ends endpoints.
func (b *Breaker) Answered(content string) {
	b.mu.Lock()
	r := b.known(content)
	if r == nil {
		b.mu.Unlock()
		return
	}
	clear(r.doubts)
	e := event{}
	for life, counts := range r.lives {
		if counts {
			e.Cleared = append(e.Cleared, life)
		}
	}
	kept := remembered(len(e.Cleared))
	b.apply(content, e)
	b.mu.Unlock()
	if len(e.Cleared) == 0 {
		return
	}
	b.post(content, e, kept)
}

func (b *Breaker) post(content string, e event, ttl time.Duration) {
	if b.seams.Post == nil {
		return
	}
	payload, err := json.Marshal(e)
	if err != nil {
		b.log.WithField(logs.Cause, err.Error()).Error("news of a content not encoded")
		return
	}
	b.seams.Post(Topic, content, payload, ttl)
}

func (b *Breaker) receive(content string, payload []byte) {
	var e event
	if err := json.Unmarshal(payload, &e); err != nil {
		b.log.WithField(logs.Cause, err.Error()).Warn("news of a content passed over")
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.apply(content, e)
}

// known returns the record of a content unless its time is over. mu is held.
func (b *Breaker) known(content string) *record {
	r, found := b.records.Get(content)
	if !found {
		return nil
	}
	if !b.timers.Now().Before(r.forget) {
		b.records.Remove(content)
		return nil
	}
	return r
}

// record returns the record of a content, a new one if there is none. mu is
// held.
func (b *Breaker) record(content string) *record {
	r := b.known(content)
	if r == nil {
		r = &record{lives: map[Life]bool{}, doubts: map[Life]time.Time{}, forget: b.timers.Now().Add(innocence)}
		b.records.Add(content, r)
	}
	return r
}

// apply takes an event in. Receiving it again changes nothing but the end of a
// trial. mu is held.
func (b *Breaker) apply(content string, e event) {
	r := b.record(content)
	for _, life := range e.Cleared {
		r.lives[life] = false
	}
	if e.Ended != nil {
		b.end(content, r, *e.Ended)
	}
	if e.Trial {
		r.extend(b.timers.Now())
	}
}

// end counts a life that ended, once. mu is held.
func (b *Breaker) end(content string, r *record, life Life) {
	if _, known := r.lives[life]; known {
		return
	}
	r.lives[life] = true
	now := b.timers.Now()
	r.forget = now.Add(remembered(r.count(now)))
	b.hold(content, r, life)
}

// hold holds the content back after a further life. mu is held.
func (b *Breaker) hold(content string, r *record, life Life) {
	now := b.timers.Now()
	r.extend(now)
	count := r.count(now)
	if held := pause(count); held > 0 {
		b.log.WithFields(logrus.Fields{
			logs.Content: content, logs.Endpoint: life.Endpoint, "ends": count, "held_ms": held.Milliseconds(),
		}).Warn("content ended endpoints and is held back")
	}
}

func (r *record) extend(now time.Time) {
	if until := now.Add(pause(r.count(now))); until.After(r.until) {
		r.until = until
	}
}
