package suspect

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/peer/fleet"
)

const (
	// placeTerm is how long a key stays taken without renewal. A holder that
	// died blocks the suspect for this time.
	placeTerm = 6 * time.Second
	// renewEvery leaves room for two lost renewals.
	renewEvery = 2 * time.Second
	callLimit  = time.Second
	busyWait   = time.Second
)

// places is the part of a home instance: who holds which key.
type places struct {
	mu       sync.Mutex
	taken    map[string]taken
	view     *member.View
	previous *member.View
	moved    time.Time
}

type taken struct {
	owner string
	until time.Time
}

func (p *places) start(now time.Time) {
	p.taken, p.moved = map[string]taken{}, now
}

func encode(e event) ([]byte, error) { return json.Marshal(e) }

// Run follows the view until ctx ends, so that this instance knows since when
// it has been the home instance of a key.
func (s *Suspects) Run(ctx context.Context) error {
	ticks := s.timers.Subscribe(time.Second)
	defer ticks.Stop()
	for {
		s.places.follow(s.seams.View(), s.timers.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
		}
	}
}

func (p *places) follow(view *member.View, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, t := range p.taken {
		if !now.Before(t.until) {
			delete(p.taken, key)
		}
	}
	if p.view == nil || !p.view.Equal(view) {
		p.previous, p.view, p.moved = p.view, view, now
	}
}

// settled reports whether no earlier home instance can have given the key out.
func (p *places) settled(key, self string, now time.Time) bool {
	if now.Sub(p.moved) >= placeTerm {
		return true
	}
	return p.previous != nil && homeOf(p.previous, key) == self
}

func homeOf(view *member.View, key string) string {
	homes := view.Homes(key, 1)
	if len(homes) == 0 {
		return ""
	}
	return homes[0]
}

func (s *Suspects) enter(request *EnterRequest) *EnterAnswer {
	p, now := &s.places, s.timers.Now()
	p.follow(s.seams.View(), now)
	p.mu.Lock()
	defer p.mu.Unlock()
	held, ok := p.taken[request.Key]
	switch {
	case ok && held.owner != request.Owner:
		return &EnterAnswer{RetryAfterMs: held.until.Sub(now).Milliseconds()}
	case !ok && !request.Renewal && !p.settled(request.Key, s.settings.ID, now):
		return &EnterAnswer{RetryAfterMs: placeTerm.Milliseconds()}
	}
	p.taken[request.Key] = taken{request.Owner, now.Add(placeTerm)}
	return &EnterAnswer{Entered: true}
}

func (s *Suspects) leave(request *LeaveRequest) {
	p := &s.places
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.taken[request.Key].owner == request.Owner {
		delete(p.taken, request.Key)
	}
}

// hold takes a key at its home instance and renews it until leave is called.
func (s *Suspects) hold(key string) (leave func(), err error) {
	s.mu.Lock()
	s.counter++
	owner := s.settings.ID + "/" + strconv.FormatUint(s.counter, 36)
	s.mu.Unlock()
	request := &EnterRequest{Key: key, Owner: owner}
	answer, err := s.callEnter(context.Background(), request)
	if err != nil {
		return nil, code.New(code.SuspectRequest, "the home instance of a suspect request does not answer").
			WithRun(code.NotRun).WithRetryAfter(busyWait)
	}
	if !answer.Entered {
		return nil, code.New(code.SuspectRequest, "a suspect request with this content or on this endpoint is running").
			WithRun(code.NotRun).WithRetryAfter(max(time.Duration(answer.RetryAfterMs)*time.Millisecond, busyWait))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var renewing sync.WaitGroup
	renewing.Go(func() { s.renew(ctx, request) })
	return sync.OnceFunc(func() {
		cancel()
		renewing.Wait()
		s.callLeave(&LeaveRequest{Key: key, Owner: owner})
	}), nil
}

func (s *Suspects) renew(ctx context.Context, request *EnterRequest) {
	request = &EnterRequest{Key: request.Key, Owner: request.Owner, Renewal: true}
	ticks := s.timers.Subscribe(renewEvery)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			if _, err := s.callEnter(ctx, request); err != nil {
				s.log.WithError(err).Debug("renewal of a suspect's place failed")
			}
		}
	}
}

func (s *Suspects) callEnter(ctx context.Context, request *EnterRequest) (*EnterAnswer, error) {
	id := homeOf(s.seams.View(), request.Key)
	if id == s.settings.ID {
		return s.enter(request), nil
	}
	peer, ok := s.seams.View().Instance(id)
	if !ok {
		return nil, code.New(code.NotReady, "no instance is listed")
	}
	ctx, cancel := s.timers.WithTimeout(ctx, callLimit)
	defer cancel()
	return s.seams.Enter(ctx, peer, request)
}

func (s *Suspects) callLeave(request *LeaveRequest) {
	view := s.seams.View()
	id := homeOf(view, request.Key)
	if id == s.settings.ID {
		s.leave(request)
		return
	}
	peer, ok := view.Instance(id)
	if !ok {
		return
	}
	ctx, cancel := s.timers.WithTimeout(context.Background(), callLimit)
	defer cancel()
	if err := s.seams.Leave(ctx, peer, request); err != nil {
		s.log.WithError(err).Debug("a suspect's place ends with its term")
	}
}

// Server returns the twirp server for the places of suspects.
func (s *Suspects) Server() http.Handler { return NewPlacesServer(server{s}) }

type server struct{ suspects *Suspects }

// Enter takes or renews a key.
func (s server) Enter(_ context.Context, request *EnterRequest) (*EnterAnswer, error) {
	return s.suspects.enter(request), nil
}

// Leave gives a key back.
func (s server) Leave(_ context.Context, request *LeaveRequest) (*LeaveAnswer, error) {
	s.suspects.leave(request)
	return &LeaveAnswer{}, nil
}

// Calls returns the seams Enter and Leave, which call over client.
func Calls(client *http.Client) (
	enter func(context.Context, member.Instance, *EnterRequest) (*EnterAnswer, error),
	leave func(context.Context, member.Instance, *LeaveRequest) error,
) {
	enter = func(ctx context.Context, peer member.Instance, request *EnterRequest) (*EnterAnswer, error) {
		return NewPlacesProtobufClient(fleet.URL(peer.Peer), client).Enter(ctx, request)
	}
	leave = func(ctx context.Context, peer member.Instance, request *LeaveRequest) error {
		_, err := NewPlacesProtobufClient(fleet.URL(peer.Peer), client).Leave(ctx, request)
		return err
	}
	return enter, leave
}
