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
	// leaseTerm is how long a lease lasts without renewal. After the death of
	// its owner the suspect cannot run for up to this time.
	leaseTerm = 6 * time.Second
	// renewInterval is a third of leaseTerm, so that a lease survives two lost
	// renewals.
	renewInterval = 2 * time.Second
	// callTimeout bounds a call to a home instance.
	callTimeout = time.Second
	// minRetryAfter is the shortest wait that is returned to the caller of a
	// suspect request that cannot run now.
	minRetryAfter = time.Second
)

// leaseTable holds the leases that this instance has granted as a home instance.
type leaseTable struct {
	mu    sync.Mutex
	byKey map[string]lease
	// view is the latest known view of the fleet and previous the one that it
	// replaced at the time changed.
	view     *member.View
	previous *member.View
	changed  time.Time
}

type lease struct {
	owner string
	// until is when the lease expires unless its owner renews it.
	until time.Time
}

// reset sets up an empty table. The first view counts as new, since an earlier
// process of this instance may have granted leases.
func (t *leaseTable) reset(now time.Time) {
	t.byKey, t.changed = map[string]lease{}, now
}

func encode(e event) ([]byte, error) { return json.Marshal(e) }

// Run checks the view for changes once a second until ctx ends, so that this
// instance knows since when it has been the home instance of a key.
func (s *Suspects) Run(ctx context.Context) error {
	ticks := s.timers.Subscribe(time.Second)
	defer ticks.Stop()
	for {
		s.leases.update(s.seams.View(), s.timers.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
		}
	}
}

// update removes expired leases and notes the time at which the view changed.
func (t *leaseTable) update(view *member.View, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, l := range t.byKey {
		if !now.Before(l.until) {
			delete(t.byKey, key)
		}
	}
	if t.view == nil || !t.view.Equal(view) {
		t.previous, t.view, t.changed = t.view, view, now
	}
}

// authoritative reports whether this instance may grant a lease on a key that
// it knows no lease on. An earlier home instance may have granted one, unless
// the view has been the same for leaseTerm or this instance was the home
// instance of the key in the previous view too. The caller holds t.mu.
func (t *leaseTable) authoritative(key, self string, now time.Time) bool {
	if now.Sub(t.changed) >= leaseTerm {
		return true
	}
	return t.previous != nil && homeInstance(t.previous, key) == self
}

func homeInstance(view *member.View, key string) string {
	homes := view.Homes(key, 1)
	if len(homes) == 0 {
		return ""
	}
	return homes[0]
}

// grantLease grants or renews a lease as the home instance of its key. A renewal
// is accepted without a known lease, since an earlier home instance may have
// granted it.
func (s *Suspects) grantLease(request *EnterRequest) *EnterAnswer {
	t, now := &s.leases, s.timers.Now()
	t.update(s.seams.View(), now)
	t.mu.Lock()
	defer t.mu.Unlock()
	current, ok := t.byKey[request.Key]
	switch {
	case ok && current.owner != request.Owner:
		return &EnterAnswer{RetryAfterMs: current.until.Sub(now).Milliseconds()}
	case !ok && !request.Renewal && !t.authoritative(request.Key, s.settings.ID, now):
		return &EnterAnswer{RetryAfterMs: leaseTerm.Milliseconds()}
	}
	t.byKey[request.Key] = lease{request.Owner, now.Add(leaseTerm)}
	return &EnterAnswer{Entered: true}
}

// endLease ends a lease as the home instance of its key, if the owner still
// holds it.
func (s *Suspects) endLease(request *LeaveRequest) {
	t := &s.leases
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byKey[request.Key].owner == request.Owner {
		delete(t.byKey, request.Key)
	}
}

// acquireLease acquires a lease from the home instance of the key and renews it
// until release is called.
func (s *Suspects) acquireLease(key string) (release func(), err error) {
	s.mu.Lock()
	s.sequence++
	owner := s.settings.ID + "/" + strconv.FormatUint(s.sequence, 36)
	s.mu.Unlock()
	request := &EnterRequest{Key: key, Owner: owner}
	answer, err := s.callEnter(context.Background(), request)
	if err != nil {
		return nil, code.New(code.SuspectRequest, "the home instance of a suspect request does not answer").
			WithRun(code.NotRun).WithRetryAfter(minRetryAfter)
	}
	if !answer.Entered {
		return nil, code.New(code.SuspectRequest, "a suspect request with this content or on this endpoint is running").
			WithRun(code.NotRun).WithRetryAfter(max(time.Duration(answer.RetryAfterMs)*time.Millisecond, minRetryAfter))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var renewing sync.WaitGroup
	renewing.Go(func() { s.renewLease(ctx, request) })
	return sync.OnceFunc(func() {
		cancel()
		renewing.Wait()
		s.callLeave(&LeaveRequest{Key: key, Owner: owner})
	}), nil
}

func (s *Suspects) renewLease(ctx context.Context, request *EnterRequest) {
	request = &EnterRequest{Key: request.Key, Owner: request.Owner, Renewal: true}
	ticks := s.timers.Subscribe(renewInterval)
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
	id := homeInstance(s.seams.View(), request.Key)
	if id == s.settings.ID {
		return s.grantLease(request), nil
	}
	peer, ok := s.seams.View().Instance(id)
	if !ok {
		return nil, code.New(code.NotReady, "no instance is listed")
	}
	ctx, cancel := s.timers.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.seams.Enter(ctx, peer, request)
}

func (s *Suspects) callLeave(request *LeaveRequest) {
	view := s.seams.View()
	id := homeInstance(view, request.Key)
	if id == s.settings.ID {
		s.endLease(request)
		return
	}
	peer, ok := view.Instance(id)
	if !ok {
		return
	}
	ctx, cancel := s.timers.WithTimeout(context.Background(), callTimeout)
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
	return s.suspects.grantLease(request), nil
}

// Leave ends a lease.
func (s server) Leave(_ context.Context, request *LeaveRequest) (*LeaveAnswer, error) {
	s.suspects.endLease(request)
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
