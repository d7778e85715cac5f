package idempotency

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
)

// Server returns the twirp handler for calls of other instances.
func (r *Records) Server() http.Handler { return NewOnceServer((*server)(r)) }

// server implements the twirp service Once: the calls to a home, and Ask to a
// claimer.
type server Records

// Claim records a claim unless another claim holds the id, whose record it
// returns.
func (s *server) Claim(_ context.Context, request *ClaimRequest) (*ClaimAnswer, error) {
	r := (*Records)(s)
	r.observe()
	home, covers, wait := r.history.covers(r.timers.Now(), request.Record.Id)
	if !home && !request.Peek && !request.Former {
		return &ClaimAnswer{}, nil
	}
	answer := &ClaimAnswer{Home: home || request.Former, Covers: covers, WaitMs: wait.Milliseconds()}
	if request.Peek {
		answer.Held = r.store.get(request.Record.Id)
		return answer, nil
	}
	held, full := r.store.claim(request.Record, request.Void)
	if full {
		return &ClaimAnswer{}, nil
	}
	answer.Held = held
	return answer, nil
}

// Put stores the claimer's latest record.
func (s *server) Put(_ context.Context, request *PutRequest) (*PutAnswer, error) {
	(*Records)(s).store.put(request.Record)
	return &PutAnswer{}, nil
}

// Drop removes a claim whose request did not run.
func (s *server) Drop(_ context.Context, request *DropRequest) (*DropAnswer, error) {
	(*Records)(s).store.drop(request.Id, request.Token)
	return &DropAnswer{}, nil
}

// Ask returns the instance's own record of its claim.
func (s *server) Ask(_ context.Context, request *AskRequest) (*AskAnswer, error) {
	return &AskAnswer{Record: (*Records)(s).ownRecord(request.Token)}, nil
}

// store holds the records that the instance keeps as a home.
type store struct {
	timers *clock.Service
	// window is how long a record is kept after its last change.
	window time.Duration
	// maxRunTime is the longest time that a request may run. The record of a
	// running request is kept for this time longer, since its claimer may be
	// unable to refresh it.
	maxRunTime time.Duration
	mu         sync.Mutex
	entries    map[string]*entry
	bytes      int
}

type entry struct {
	record  *Record
	changed time.Time
	// homes are the homes of the id at the first check after the record arrived.
	homes []string
	// handedOff holds the homes that have the record from this instance.
	handedOff map[string]bool
}

func newStore(timers *clock.Service, window, maxRunTime time.Duration) *store {
	return &store{timers: timers, window: window, maxRunTime: maxRunTime, entries: map[string]*entry{}}
}

func (s *store) get(id string) *Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[id]; ok {
		return e.record
	}
	return nil
}

// claim stores the record unless another claim holds the id, whose record it
// returns. A claim with releasedToken has been released and is replaced.
func (s *store) claim(record *Record, releasedToken string) (held *Record, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[record.Id]; ok && e.record.Token != record.Token && e.record.Token != releasedToken {
		return e.record, false
	}
	if len(s.entries) >= recordsLimit {
		return nil, true
	}
	s.set(record)
	return nil, false
}

// put stores a claimer's latest record. Records of two claims of one id can
// arrive only when the first claim was released or both claimers were refused.
// A record in a final state is then kept over a running one.
func (s *store) put(record *Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[record.Id]; ok && record.State == State_RUNNING &&
		(e.record.Token != record.Token || e.record.State != State_RUNNING) {
		return
	}
	s.set(record)
}

// set stores the record, without its body when the bodies exceed their limit.
// The caller holds s.mu.
func (s *store) set(record *Record) {
	if e, ok := s.entries[record.Id]; ok {
		s.bytes -= len(e.record.Body)
	}
	if s.bytes+len(record.Body) > bodiesLimit {
		record = proto.Clone(record).(*Record)
		record.Body, record.Header, record.Whole = nil, nil, false
	}
	s.bytes += len(record.Body)
	s.entries[record.Id] = &entry{record: record, changed: s.timers.Now(), handedOff: map[string]bool{}}
}

// handoff is a record and a new home that this instance has not sent it to yet.
type handoff struct {
	record *Record
	home   string
}

// handoffs returns the records whose homes have changed, with the homes that
// have to get them. The claimer sends them the record too, but it may be
// unreachable.
func (s *store) handoffs(self string, view *member.View) []handoff {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []handoff
	for id, e := range s.entries {
		current := view.Homes(id, homeCount)
		if e.homes == nil {
			e.homes = current
		}
		if slices.Equal(current, e.homes) && slices.Contains(current, self) {
			continue
		}
		for _, home := range current {
			if home != self && !e.handedOff[home] {
				out = append(out, handoff{e.record, home})
			}
		}
	}
	return out
}

// markHandedOff notes that the home of a handoff has its record.
func (s *store) markHandedOff(h handoff) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[h.record.Id]; ok && e.record == h.record {
		e.handedOff[h.home] = true
	}
}

func (s *store) drop(id, token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[id]; ok && e.record.Token == token {
		s.bytes -= len(e.record.Body)
		delete(s.entries, id)
	}
}

// expire removes records that have not changed for the resend window, and
// records of running requests only after maxRunTime on top of it.
func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.entries {
		limit := s.window
		if e.record.State == State_RUNNING {
			limit += s.maxRunTime
		}
		if s.timers.Since(e.changed) > limit {
			s.bytes -= len(e.record.Body)
			delete(s.entries, id)
		}
	}
}

// viewsLimit is the number of views that are kept. With more changes than that
// within a window, ids count as not covered.
const viewsLimit = 64

// history holds the views that an instance had during the window, oldest first.
type history struct {
	self   string
	window time.Duration
	// maxPause is the longest time between two observations after which the views
	// still count. In a longer one, views may have come and gone.
	maxPause   time.Duration
	mu         sync.Mutex
	views      []observedView
	observedAt time.Time
}

type observedView struct {
	view  *member.View
	since time.Time
}

func newHistory(self string, window, maxPause time.Duration) *history {
	return &history{self: self, window: window, maxPause: maxPause}
}

// observe adds the current view if it has changed. While the view is not up to
// date or the process is paused, instances may join and leave unnoticed, so the
// history is cleared.
func (h *history) observe(now time.Time, view *member.View, current bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !current || now.Sub(h.observedAt) > h.maxPause {
		h.views = nil
	}
	h.observedAt = now
	if !current {
		return
	}
	if last := len(h.views) - 1; last < 0 || (h.views[last].view != view && !h.views[last].view.Equal(view)) {
		h.views = append(h.views, observedView{view, now})
	}
	// Views that were replaced before the window began are not needed.
	for len(h.views) > 1 && now.Sub(h.views[1].since) >= h.window {
		h.views = h.views[1:]
	}
	if len(h.views) > viewsLimit {
		h.views = h.views[1:]
	}
}

// former returns the views that were replaced within span before now.
func (h *history) former(now time.Time, span time.Duration) []*member.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*member.View
	for i := 0; i+1 < len(h.views); i++ {
		if now.Sub(h.views[i+1].since) <= span {
			out = append(out, h.views[i].view)
		}
	}
	return out
}

// covers reports whether the instance is a home of the id, whether it covers
// the id, which means that it has been a home in all its views for the whole
// window, and the time until it does.
func (h *history) covers(now time.Time, id string) (home, covers bool, wait time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	wait = h.window
	for i := len(h.views) - 1; i >= 0; i-- {
		if !slices.Contains(h.views[i].view.Homes(id, homeCount), h.self) {
			break
		}
		home = home || i == len(h.views)-1
		wait = max(h.window-now.Sub(h.views[i].since), 0)
	}
	return home, home && wait == 0, wait
}
