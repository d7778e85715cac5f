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
	// placeTerm is how long a lease lasts without renewal. After the death of
	// its owner the suspect cannot run for up to this time.
	placeTerm = 6 * time.Second
	// renewEvery is a third of placeTerm, so that a lease survives two lost
	// renewals.
	renewEvery = 2 * time.Second
	// callLimit bounds a call to a home instance.
	callLimit = time.Second
	// busyWait is the shortest wait that is returned to the caller of a suspect
	// request that cannot run now.
	busyWait = time.Second
)

// places holds the leases that this instance grants as a home instance, by key.
type places struct {
	mu    sync.Mutex
	taken map[string]taken
	// view is the latest known view of the fleet and previous the one that it
	// replaced at the time moved.
	view     *member.View
	previous *member.View
	moved    time.Time
}

// taken is a lease on a key.
type taken struct {
	owner string
	until time.Time
}

// start sets up an empty table. The first view counts as new, since an earlier
// process of this instance may have granted leases.
func (p *places) start(now time.Time) {
	p.taken, p.moved = map[string]taken{}, now
}

func encode(e event) ([]byte, error) { return json.Marshal(e) }

// Run checks the view for changes once a second until ctx ends, so that this
// instance knows since when it has been the home instance of a key.
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

// follow removes expired leases and notes the time at which the view changed.
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

// settled reports whether no other instance can have granted a lease on the key
// that still runs: the view has been the same for the length of a lease, or
// this instance was the home instance of the key in the previous view too.
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

// enter grants or renews a lease as the home instance of its key. A renewal is
// accepted without a known lease, since an earlier home instance may have
// granted it.
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

// leave ends a lease as the home instance of its key, if the owner still holds
// it.
func (s *Suspects) leave(request *LeaveRequest) {
	p := &s.places
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.taken[request.Key].owner == request.Owner {
		delete(p.taken, request.Key)
	}
}

// hold acquires a lease from the home instance of the key and renews it until
// leave is called.
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
				s.log.WithError(err).Debug("could not renew the lease of a suspect request at its home instance")
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
		s.log.WithError(err).Debug("could not end the lease of a suspect request at its home instance; it will expire")
	}
}

// Server returns the twirp server through which other instances acquire, renew
// and end leases whose home instance is this one.
func (s *Suspects) Server() http.Handler { return NewPlacesServer(server{s}) }

// server implements the twirp service Places.
type server struct{ suspects *Suspects }

// Enter grants or renews a lease.
func (s server) Enter(_ context.Context, request *EnterRequest) (*EnterAnswer, error) {
	return s.suspects.enter(request), nil
}

// Leave ends a lease.
func (s server) Leave(_ context.Context, request *LeaveRequest) (*LeaveAnswer, error) {
	s.suspects.leave(request)
	return &LeaveAnswer{}, nil
}

// Calls returns the functions for Seams.Enter and Seams.Leave. They call other
// instances with client.
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
