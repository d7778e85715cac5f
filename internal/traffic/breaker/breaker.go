// Package breaker is a circuit breaker for the content of requests. A content
// that crashed several endpoints is held back in the whole fleet, whichever
// instance its caller sends it to again.
//
// Each incarnation of an endpoint that crashed while it ran a content counts
// once, until a run of the content is answered. From the second crash on, the
// content is held back for a time that grows with the count. After that time one
// run is admitted as a trial. Instances exchange events about crashes, trials and
// answers; events may arrive in any order, or twice.
//
// An endpoint that only this instance cannot reach may still be up: from one
// side, a network partition looks the same as a crash. It counts only on this
// instance and for a short time. Once several such crashes hold a content back,
// the other instances look at the endpoints themselves and count those that they
// cannot reach either. All instances count a crash that is confirmed.
//
// # Usage
//
//	b := breaker.New(breaker.Seams{Post: broadcaster.Publish, Subscribe: broadcaster.Subscribe}, timers, log)
//	content := breaker.Digest(body, account, method, path)
//	if wait := b.Admit(content, breaker.NoLimit); wait > 0 {
//		return refusal(wait) // the content must not run until then
//	}
//	b.RecordUnreachable(content, incarnation) // the endpoint dropped the request and refuses connections
//	b.RecordCrash(content, incarnation)       // the list of endpoints confirms the crash
//	b.RecordAnswer(content)
//	b.VerifyBy(refusesConnections)            // for crashes that other instances suspect
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
	"github.com/wigeonpin/wigeonpin/internal/traffic/archive"
)

// Topic is the broadcast topic for contents that crash endpoints.
const Topic = "content"

const (
	// maxRecords bounds the memory for records, which take about 300 bytes each.
	maxRecords = 4096
	// singleCrashTTL is how long a record with a single crash is kept. Most such
	// contents ran on the endpoint by coincidence.
	singleCrashTTL = 10 * time.Minute
	// repeatedCrashTTL is how long a record with several crashes is kept.
	repeatedCrashTTL = 2 * time.Hour
	// unconfirmedTTL is how long an unconfirmed crash counts. A real crash shows in
	// the list of endpoints within that time.
	unconfirmedTTL = 10 * time.Second
)

// holdTimes are the times for which a content is held back, indexed by its number
// of crashes. The last one applies to all higher numbers.
var holdTimes = []time.Duration{0, 0, 2 * time.Second, 30 * time.Second, 5 * time.Minute, 30 * time.Minute, repeatedCrashTTL}

// NoLimit is the limit of Admit for contents that are held back for the full time.
const NoLimit = repeatedCrashTTL

// digestBytes is the length in bytes to which the SHA-256 digest is truncated.
const digestBytes = 16

// Digest returns the digest that identifies a content: what a request asks for
// and for whom. Unlike the request's id it stays the same when the caller sends
// the request again.
func Digest(body []byte, parts ...string) string {
	h := sha256.New()
	for _, part := range parts {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// Incarnation identifies one run of an endpoint's process.
type Incarnation = archive.Incarnation

// Seams are the functions of package broadcast that a breaker uses. Without them
// it neither sends nor receives events.
type Seams struct {
	Post      func(topic, key string, payload []byte, ttl time.Duration)
	Subscribe func(topic string, receive func(key string, payload []byte))
}

// Breaker holds back contents that crash endpoints. It is safe for concurrent
// use.
type Breaker struct {
	seams  Seams
	timers *clock.Service
	log    *logrus.Entry

	mu      sync.Mutex
	records *lru.Cache[string, *record]
	changed func(content string)               // of the archive; may be nil
	verify  func(incarnation Incarnation) bool // set by VerifyBy; may be nil

	verifying sync.WaitGroup // checks of crashes that other instances suspect
}

// record holds the crashes of one content.
type record struct {
	confirmed   map[Incarnation]bool      // confirmed crashes; false once a later run was answered
	unconfirmed map[Incarnation]time.Time // unconfirmed crashes, with the time until which they count
	heldUntil   time.Time                 // the content is held back until then
	expires     time.Time                 // the record expires then
}

func (r *record) confirmedCount() int {
	count := 0
	for _, counts := range r.confirmed {
		if counts {
			count++
		}
	}
	return count
}

// unconfirmedAt returns the unconfirmed crashes that count at a time.
func (r *record) unconfirmedAt(now time.Time) []Incarnation {
	var list []Incarnation
	for incarnation, until := range r.unconfirmed {
		if _, counted := r.confirmed[incarnation]; !counted && now.Before(until) {
			list = append(list, incarnation)
		}
	}
	return list
}

func (r *record) count(now time.Time) int {
	return r.confirmedCount() + len(r.unconfirmedAt(now))
}

func holdTime(count int) time.Duration { return holdTimes[min(count, len(holdTimes)-1)] }

func recordTTL(count int) time.Duration {
	if count > 1 {
		return repeatedCrashTTL
	}
	return singleCrashTTL
}

// event is a message between instances about a content.
type event struct {
	Crashed *Incarnation  `json:"ended,omitempty"`
	Trial   bool          `json:"trial,omitempty"`
	Cleared []Incarnation `json:"cleared,omitempty"`
	// Suspected are unconfirmed crashes, for which the posting instance holds the
	// content back.
	Suspected []Incarnation `json:"suspected,omitempty"`
}

// New returns a breaker that exchanges events by broadcast.
func New(seams Seams, timers *clock.Service, log *logrus.Entry) *Breaker {
	records, err := lru.New[string, *record](maxRecords)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	b := &Breaker{seams: seams, timers: timers, log: log, records: records}
	if seams.Subscribe != nil {
		seams.Subscribe(Topic, b.receive)
	}
	return b
}

// noteChange lets the archive write a content with several confirmed crashes.
func (b *Breaker) noteChange(content string, crashes int) {
	if b.changed != nil && crashes > 1 {
		b.changed(content)
	}
}

// Empty reports whether the breaker has no records, so that callers need not
// compute a digest.
func (b *Breaker) Empty() bool { return b.records.Len() == 0 }

// Admit returns how long the content is still held back, or 0 when it may run
// now. The first run after a hold is its trial; further runs are held back. The limit
// bounds the time between two trials.
func (b *Breaker) Admit(content string, limit time.Duration) time.Duration {
	b.mu.Lock()
	r, now := b.lookup(content), b.timers.Now()
	if r == nil || holdTime(r.count(now)) == 0 {
		b.mu.Unlock()
		return 0
	}
	held := holdTime(r.count(now))
	until := r.heldUntil.Add(min(0, limit-held))
	if wait := until.Sub(now); wait > 0 {
		b.mu.Unlock()
		return wait
	}
	r.heldUntil = now.Add(held)
	crashes := r.confirmedCount()
	b.mu.Unlock()
	b.log.WithField(logs.Content, content).Info("held content is tried")
	b.post(content, event{Trial: true}, held)
	b.noteChange(content, crashes)
	return 0
}

// VerifyBy sets the function that reports whether an endpoint refuses connections from
// this instance, for crashes that other instances suspect.
func (b *Breaker) VerifyBy(verify func(incarnation Incarnation) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.verify = verify
}

// RecordUnreachable records an unconfirmed crash: the endpoint dropped a request
// with the content and refuses connections from this instance. If the content is held
// back for such crashes, the other instances are asked to look at the endpoints.
func (b *Breaker) RecordUnreachable(content string, incarnation Incarnation) {
	suspected := b.addUnreachable(content, incarnation)
	if len(suspected) == 0 {
		return
	}
	b.post(content, event{Suspected: suspected}, unconfirmedTTL)
	if b.changed != nil {
		b.changed(content)
	}
}

// addUnreachable counts an unconfirmed crash. It returns all of the content if it is held
// back.
func (b *Breaker) addUnreachable(content string, incarnation Incarnation) []Incarnation {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, now := b.record(content), b.timers.Now()
	maps.DeleteFunc(r.unconfirmed, func(_ Incarnation, until time.Time) bool { return !now.Before(until) })
	r.unconfirmed[incarnation] = now.Add(unconfirmedTTL)
	b.hold(content, r, incarnation)
	if holdTime(r.count(now)) == 0 {
		return nil
	}
	return r.unconfirmedAt(now)
}

// checkSuspected looks at the endpoints that another instance suspects to have crashed,
// and counts those that refuse connections from this one.
func (b *Breaker) checkSuspected(content string, suspected []Incarnation) {
	for _, incarnation := range suspected {
		b.mu.Lock()
		verify, known := b.verify, b.counts(content, incarnation)
		b.mu.Unlock()
		if verify != nil && !known && verify(incarnation) {
			b.addUnreachable(content, incarnation)
		}
	}
}

// counts reports whether the crash is known already. mu is held.
func (b *Breaker) counts(content string, incarnation Incarnation) bool {
	r := b.lookup(content)
	if r == nil {
		return false
	}
	_, confirmed := r.confirmed[incarnation]
	until, unconfirmed := r.unconfirmed[incarnation]
	return confirmed || unconfirmed && b.timers.Now().Before(until)
}

// RecordCrash records a confirmed crash of an endpoint while it ran the content,
// and informs all instances. A crash that is known has no effect.
func (b *Breaker) RecordCrash(content string, incarnation Incarnation) {
	e := event{Crashed: &incarnation}
	b.mu.Lock()
	r := b.record(content)
	if _, known := r.confirmed[incarnation]; known {
		b.mu.Unlock()
		return
	}
	b.apply(content, e)
	count, crashes := r.count(b.timers.Now()), r.confirmedCount()
	b.mu.Unlock()
	b.post(content, e, recordTTL(count))
	b.noteChange(content, crashes)
}

// Crashes returns the confirmed crashes of a content that no answer has followed.
func (b *Breaker) Crashes(content string) []Incarnation {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.lookup(content)
	if r == nil {
		return nil
	}
	var crashes []Incarnation
	for incarnation, counts := range r.confirmed {
		if counts {
			crashes = append(crashes, incarnation)
		}
	}
	return crashes
}

// RecordAnswer records that an endpoint answered the content, so that the content
// is not the cause of the crashes. It clears them on all instances.
func (b *Breaker) RecordAnswer(content string) {
	b.mu.Lock()
	r := b.lookup(content)
	if r == nil {
		b.mu.Unlock()
		return
	}
	e := event{}
	if now := b.timers.Now(); holdTime(r.count(now)) > 0 {
		e.Cleared = r.unconfirmedAt(now) // the other instances were asked to look at them
	}
	clear(r.unconfirmed)
	for incarnation, counts := range r.confirmed {
		if counts {
			e.Cleared = append(e.Cleared, incarnation)
		}
	}
	ttl := recordTTL(len(e.Cleared))
	b.apply(content, e)
	b.mu.Unlock()
	if len(e.Cleared) == 0 {
		return
	}
	b.post(content, e, ttl)
	b.noteChange(content, len(e.Cleared))
}

func (b *Breaker) post(content string, e event, ttl time.Duration) {
	if b.seams.Post == nil {
		return
	}
	payload, err := json.Marshal(e)
	if err != nil {
		b.log.WithField(logs.Cause, err.Error()).Error("breaker event not encoded")
		return
	}
	b.seams.Post(Topic, content, payload, ttl)
}

func (b *Breaker) receive(content string, payload []byte) {
	var e event
	if err := json.Unmarshal(payload, &e); err != nil {
		b.log.WithField(logs.Cause, err.Error()).Warn("malformed breaker event ignored")
		return
	}
	if len(e.Suspected) > 0 {
		b.verifying.Go(func() { b.checkSuspected(content, e.Suspected) })
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.apply(content, e)
}

// lookup returns the record of a content, or nil when there is none or it has
// expired. mu is held.
func (b *Breaker) lookup(content string) *record {
	r, found := b.records.Get(content)
	if !found {
		return nil
	}
	if !b.timers.Now().Before(r.expires) {
		b.records.Remove(content)
		return nil
	}
	return r
}

// record returns the record of a content and creates it if there is none. mu is
// held.
func (b *Breaker) record(content string) *record {
	r := b.lookup(content)
	if r == nil {
		r = &record{confirmed: map[Incarnation]bool{}, unconfirmed: map[Incarnation]time.Time{}, expires: b.timers.Now().Add(singleCrashTTL)}
		b.records.Add(content, r)
	}
	return r
}

// apply applies an event. It is idempotent, except that a repeated trial event
// may extend the hold. mu is held.
func (b *Breaker) apply(content string, e event) {
	r := b.record(content)
	for _, incarnation := range e.Cleared {
		r.confirmed[incarnation] = false
	}
	if r.count(b.timers.Now()) == 0 {
		r.heldUntil = time.Time{} // later crashes begin with the shortest hold again
	}
	if e.Crashed != nil {
		b.addCrash(content, r, *e.Crashed)
	}
	if e.Trial {
		r.extendHold(b.timers.Now())
	}
}

// addCrash counts a confirmed crash, once for each incarnation. mu is held.
func (b *Breaker) addCrash(content string, r *record, incarnation Incarnation) {
	if _, known := r.confirmed[incarnation]; known {
		return
	}
	r.confirmed[incarnation] = true
	now := b.timers.Now()
	r.expires = now.Add(recordTTL(r.count(now)))
	b.hold(content, r, incarnation)
}

// hold extends the hold after a further crash. mu is held.
func (b *Breaker) hold(content string, r *record, incarnation Incarnation) {
	now := b.timers.Now()
	r.extendHold(now)
	count := r.count(now)
	if held := holdTime(count); held > 0 {
		b.log.WithFields(logrus.Fields{
			logs.Content: content, logs.Endpoint: incarnation.Endpoint, "ends": count, "held_ms": held.Milliseconds(),
		}).Warn("content ended endpoints and is held back")
	}
}

func (r *record) extendHold(now time.Time) {
	if until := now.Add(holdTime(r.count(now))); until.After(r.heldUntil) {
		r.heldUntil = until
	}
}
