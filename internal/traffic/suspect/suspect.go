// Package suspect stops requests that crash the endpoints they run on. When an
// endpoint dies, the requests on it become suspects, identified by the digest
// of their content. A suspect runs only once at a time and on an endpoint that
// runs no other suspect. If that endpoint dies too, the digest is blocked, by
// default after this second crash: its requests are refused until the record of
// its crashes expires.
//
// # Usage
//
//	release, err := suspects.Admit(digest)
//	if err != nil {
//		return err // blocked, or already running
//	}
//	defer release()
//	// before the request runs on the endpoint:
//	releaseEndpoint, err := suspects.ReserveEndpoint(endpoint, digest)
//	...
//	suspects.Crashed(endpoint, digests) // before both releases
//	suspects.Completed(digest)
//
// An endpoint that the platform reclaimed has not crashed and must not be
// reported.
package suspect

import (
	"context"
	"strconv"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
)

// Topic is the broadcast topic under which instances exchange events about
// suspects.
const Topic = "suspect"

// maxDigests is the number of digests with a record. It bounds the memory; a
// record takes about 200 bytes.
const maxDigests = 16384

// Seams are the functions of other packages that Suspects calls.
type Seams struct {
	// Post and Subscribe publish and receive broadcast events.
	Post      func(topic, key string, payload []byte, ttl time.Duration)
	Subscribe func(topic string, receive func(key string, payload []byte))
	// View returns the live instances. The home instance of a key is chosen
	// among them.
	View func() *member.View
	// Enter and Leave call the home instance of a key.
	Enter func(ctx context.Context, peer member.Instance, request *EnterRequest) (*EnterAnswer, error)
	Leave func(ctx context.Context, peer member.Instance, request *LeaveRequest) error
}

// Suspects tracks the suspects of the fleet and, as the home instance of their
// keys, grants the leases to run them.
type Suspects struct {
	settings  setting.Settings
	timers    *clock.Service
	seams     Seams
	log       *logrus.Entry
	retention time.Duration

	mu      sync.Mutex
	records *lru.Cache[string, *record]
	// admitted counts the requests that Admit let through as suspects and that
	// have not been released yet, by digest.
	admitted map[string]int
	// sequence makes the ids of events and lease owners unique.
	sequence uint64
	leases   leaseTable
	// blocked is called after a crash of a blocked digest; nil if it is not kept.
	blocked func(digest string)
}

// record holds the crashes of one digest.
type record struct {
	// crashes maps the id of a crash report to whether the digest was the only
	// suspect on the endpoint that crashed.
	crashes map[string]bool
	// until is when the record expires.
	until time.Time
}

// crashCount returns 0 for a digest without crashes. Otherwise it returns 1 plus
// the number of crashes of endpoints on which the digest was the only suspect.
func (r *record) crashCount() int {
	if len(r.crashes) == 0 {
		return 0
	}
	count := 1
	for _, onlySuspect := range r.crashes {
		if onlySuspect {
			count++
		}
	}
	return count
}

// event is the payload that instances broadcast: a crash, or with Cleared the
// removal of a digest from the suspects.
type event struct {
	ID          string `json:"id"`
	Endpoint    string `json:"endpoint,omitempty"`
	OnlySuspect bool   `json:"alone,omitempty"`
	Cleared     bool   `json:"cleared,omitempty"`
}

// New returns a Suspects that knows no digest yet and subscribes it to broadcast
// events about suspects.
func New(settings setting.Settings, timers *clock.Service, seams Seams, log *logrus.Entry) *Suspects {
	records, err := lru.New[string, *record](maxDigests)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	s := &Suspects{
		settings: settings, timers: timers, seams: seams, log: log,
		retention: setting.Milliseconds(settings.SuspectMS), records: records, admitted: map[string]int{},
	}
	s.leases.reset(timers.Now())
	seams.Subscribe(Topic, s.receive)
	return s
}

// IsSuspect reports whether requests with this digest are suspects, which
// includes blocked ones.
func (s *Suspects) IsSuspect(digest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashCount(digest) > 0
}

// crashCount returns the crash count of a digest and removes an expired record.
// The caller holds s.mu.
func (s *Suspects) crashCount(digest string) int {
	r, ok := s.records.Peek(digest)
	if !ok {
		return 0
	}
	if !s.timers.Now().Before(r.until) {
		s.records.Remove(digest)
		return 0
	}
	return r.crashCount()
}

// Admit lets a request run unless its digest is blocked or it is a suspect that
// already runs somewhere in the fleet. A blocked digest is refused until its
// record expires, a running suspect until its other run has ended. The caller
// must call release when the request has ended, after Crashed or Completed.
func (s *Suspects) Admit(digest string) (release func(), err error) {
	s.mu.Lock()
	count := s.crashCount(digest)
	if count >= s.settings.SuspectCrashes {
		r, _ := s.records.Peek(digest)
		wait := r.until.Sub(s.timers.Now())
		s.mu.Unlock()
		return nil, code.New(code.SuspectRequest, "requests with this content crashed %d endpoints", count).
			WithRun(code.NotRun).WithRetryAfter(wait)
	}
	s.mu.Unlock()
	if count == 0 {
		return func() {}, nil
	}
	releaseLease, err := s.acquireLease("digest/" + digest)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitted[digest]++
	return sync.OnceFunc(func() {
		s.mu.Lock()
		if s.admitted[digest]--; s.admitted[digest] == 0 {
			delete(s.admitted, digest)
		}
		s.mu.Unlock()
		releaseLease()
	}), nil
}

// ReserveEndpoint reserves an endpoint for a suspect, so that no other suspect
// runs there until release is called. For other digests it does nothing.
func (s *Suspects) ReserveEndpoint(endpoint, digest string) (release func(), err error) {
	if !s.IsSuspect(digest) {
		return func() {}, nil
	}
	return s.acquireLease("endpoint/" + endpoint)
}

// Crashed records a crash for each digest whose request ran on the endpoint
// when it died, and reports it to the other instances.
func (s *Suspects) Crashed(endpoint string, digests []string) {
	for _, digest := range digests {
		s.mu.Lock()
		s.sequence++
		e := event{
			ID:       s.settings.ID + "/" + strconv.FormatInt(s.timers.Now().UnixNano(), 36) + "/" + strconv.FormatUint(s.sequence, 36),
			Endpoint: endpoint, OnlySuspect: s.admitted[digest] > 0,
		}
		s.apply(digest, e)
		count := s.crashCount(digest)
		s.mu.Unlock()
		s.log.WithField(logs.Endpoint, endpoint).WithField("crashes", count).Warn("a request ran on an endpoint that died")
		s.post(digest, e)
		if s.blocked != nil && count >= s.settings.SuspectCrashes {
			s.blocked(digest)
		}
	}
}

// Completed removes a digest from the suspects of the fleet after one of its
// requests ran to its end. A blocked digest stays blocked.
func (s *Suspects) Completed(digest string) {
	s.mu.Lock()
	count := s.crashCount(digest)
	if count == 0 || count >= s.settings.SuspectCrashes {
		s.mu.Unlock()
		return
	}
	e := event{Cleared: true}
	s.apply(digest, e)
	s.mu.Unlock()
	s.post(digest, e)
}

func (s *Suspects) post(digest string, e event) {
	payload, err := encode(e)
	if err != nil {
		s.log.WithError(err).Error("could not encode an event about a suspect request; other instances do not get it")
		return
	}
	s.seams.Post(Topic, digest, payload, s.retention)
}

func (s *Suspects) receive(digest string, payload []byte) {
	var e event
	if err := codec.Decode(payload, &e); err != nil {
		s.log.WithError(err).Warn("could not decode an event about a suspect request; ignoring it")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(digest, e)
}

// apply updates the records by an event. It is idempotent, since a broadcast
// event may be delivered several times. The caller holds s.mu.
func (s *Suspects) apply(digest string, e event) {
	if e.Cleared {
		if s.crashCount(digest) < s.settings.SuspectCrashes {
			s.records.Remove(digest)
		}
		return
	}
	r, ok := s.records.Get(digest)
	if !ok || !s.timers.Now().Before(r.until) {
		r = &record{crashes: map[string]bool{}}
		s.records.Add(digest, r)
	}
	if _, known := r.crashes[e.ID]; known {
		return
	}
	r.crashes[e.ID] = e.OnlySuspect
	r.until = s.timers.Now().Add(s.retention)
}
