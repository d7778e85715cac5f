// Package suspect stops requests that crash the endpoints they run on. The
// requests on an endpoint that dies become suspects by the digest of their
// content. A suspect runs in one place at a time and on an endpoint without
// another suspect; a second crash there condemns it, and it is refused.
//
// # Usage
//
//	release, err := suspects.Admit(digest)
//	if err != nil {
//		return err // refused, or running elsewhere
//	}
//	defer release()
//	leave, err := suspects.Enter(endpoint, digest) // before it runs there
//	...
//	suspects.Crashed(endpoint, digests) // before the releases
//	suspects.Completed(digest)
//
// An endpoint that the platform reclaimed has not crashed and is not reported.
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

// Topic is the bulletin's topic for suspects.
const Topic = "suspect"

// digestsAtMost bounds the memory for suspects: about 200 bytes each.
const digestsAtMost = 16384

// Seams are the functions that Suspects needs.
type Seams struct {
	// Post and Subscribe are those of the bulletin.
	Post      func(topic, key string, payload []byte, ttl time.Duration)
	Subscribe func(topic string, receive func(key string, payload []byte))
	// View returns the live instances; it decides the home instance of a key.
	View func() *member.View
	// Enter and Leave call the home instance of a key.
	Enter func(ctx context.Context, peer member.Instance, request *EnterRequest) (*EnterAnswer, error)
	Leave func(ctx context.Context, peer member.Instance, request *LeaveRequest) error
}

// Suspects knows the suspects of the fleet.
type Suspects struct {
	settings setting.Settings
	timers   *clock.Service
	seams    Seams
	log      *logrus.Entry
	life     time.Duration

	mu      sync.Mutex
	records *lru.Cache[string, *record]
	alone   map[string]int
	counter uint64
	places  places
}

// record is what is known of one digest.
type record struct {
	// crashes holds the reports of crashes by their ids: whether the digest
	// ran there as the only suspect.
	crashes map[string]bool
	until   time.Time
}

// count is 0 for no suspect, 1 for a suspect, and one more for each crash of
// an endpoint on which it was the only suspect.
func (r *record) count() int {
	if len(r.crashes) == 0 {
		return 0
	}
	count := 1
	for _, alone := range r.crashes {
		if alone {
			count++
		}
	}
	return count
}

// event is what instances tell each other.
type event struct {
	ID       string `json:"id"`
	Endpoint string `json:"endpoint,omitempty"`
	Alone    bool   `json:"alone,omitempty"`
	Cleared  bool   `json:"cleared,omitempty"`
}

// New returns suspects that are fed by the bulletin.
func New(settings setting.Settings, timers *clock.Service, seams Seams, log *logrus.Entry) *Suspects {
	records, err := lru.New[string, *record](digestsAtMost)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	s := &Suspects{
		settings: settings, timers: timers, seams: seams, log: log,
		life: setting.Milliseconds(settings.SuspectMS), records: records, alone: map[string]int{},
	}
	s.places.start(timers.Now())
	seams.Subscribe(Topic, s.receive)
	return s
}

// Suspect reports whether requests with this digest are suspects.
func (s *Suspects) Suspect(digest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count(digest) > 0
}

func (s *Suspects) count(digest string) int {
	r, ok := s.records.Peek(digest)
	if !ok {
		return 0
	}
	if !s.timers.Now().Before(r.until) {
		s.records.Remove(digest)
		return 0
	}
	return r.count()
}

// Admit lets a request run. A condemned digest is refused for as long as it is
// remembered; a suspect that runs elsewhere is refused until it has ended
// there. Release must be called when the request has ended, after Crashed or
// Completed.
func (s *Suspects) Admit(digest string) (release func(), err error) {
	s.mu.Lock()
	count := s.count(digest)
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
	leave, err := s.hold("digest/" + digest)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.alone[digest]++
	return sync.OnceFunc(func() {
		s.mu.Lock()
		if s.alone[digest]--; s.alone[digest] == 0 {
			delete(s.alone, digest)
		}
		s.mu.Unlock()
		leave()
	}), nil
}

// Enter reserves an endpoint for a suspect, so that no other suspect runs
// there. For other digests it does nothing.
func (s *Suspects) Enter(endpoint, digest string) (leave func(), err error) {
	if !s.Suspect(digest) {
		return func() {}, nil
	}
	return s.hold("endpoint/" + endpoint)
}

// Crashed reports the digests of the requests that ran on an endpoint when it
// died.
func (s *Suspects) Crashed(endpoint string, digests []string) {
	for _, digest := range digests {
		s.mu.Lock()
		s.counter++
		e := event{
			ID:       s.settings.ID + "/" + strconv.FormatInt(s.timers.Now().UnixNano(), 36) + "/" + strconv.FormatUint(s.counter, 36),
			Endpoint: endpoint, Alone: s.alone[digest] > 0,
		}
		s.apply(digest, e)
		count := s.count(digest)
		s.mu.Unlock()
		s.log.WithField(logs.Endpoint, endpoint).WithField("crashes", count).Warn("a request ran on an endpoint that died")
		s.post(digest, e)
	}
}

// Completed clears a suspect whose request ran to its end.
func (s *Suspects) Completed(digest string) {
	s.mu.Lock()
	count := s.count(digest)
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
		s.log.WithError(err).Error("suspect not posted")
		return
	}
	s.seams.Post(Topic, digest, payload, s.life)
}

func (s *Suspects) receive(digest string, payload []byte) {
	var e event
	if err := codec.Decode(payload, &e); err != nil {
		s.log.WithError(err).Warn("unreadable report of a suspect")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(digest, e)
}

// apply takes an event in. Receiving it again changes nothing.
func (s *Suspects) apply(digest string, e event) {
	if e.Cleared {
		if s.count(digest) < s.settings.SuspectCrashes {
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
	r.crashes[e.ID] = e.Alone
	r.until = s.timers.Now().Add(s.life)
}
