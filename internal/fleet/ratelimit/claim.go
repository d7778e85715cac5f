package ratelimit

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/peer/fleet"
)

const (
	// claimPeriod is the time between two claims of the same endpoint, claimTimeout
	// bounds one of them, and claimTime is how long one counts for the claimant.
	claimPeriod  = 400 * time.Millisecond
	claimTimeout = 300 * time.Millisecond
	claimTime    = time.Second
	// claimMargin is how much longer a claim counts for the process that confirmed it.
	claimMargin = 200 * time.Millisecond
	// activeTime is how long endpoints are claimed after the last ask for a permit.
	activeTime = 3 * time.Second
	// metTime is how long a process that only another one has in its list counts as a
	// member, and maxAhead the number of them that a claim is answered with.
	metTime  = 5 * time.Second
	maxAhead = 3
)

// claim is the statement of another process that it grants the permits of an endpoint.
type claim struct {
	by    string
	until time.Duration
}

// successors returns the next processes after this one in the order of an endpoint,
// without those that have ended. Processes of other availability zones count only if
// there is none in the endpoint's: behind two silent processes they grant nothing.
func (l *Limiter) successors(r *record, now time.Duration) []member.Instance {
	order := l.grantors(r)
	at := slices.IndexFunc(order, func(m member.Instance) bool { return m.ID == l.options.Self })
	var next []member.Instance
	for _, m := range order[at+1:] {
		if len(next) == confirmations || (len(next) > 0 && next[0].Zone == r.endpoint.Zone && m.Zone != r.endpoint.Zone) {
			break
		}
		if l.reach(m.ID, now) != ended {
			next = append(next, m)
		}
	}
	return next
}

// Run claims the endpoints whose permits this process grants until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	ticks := l.timers.Subscribe(claimPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.claimNow:
		case <-ticks.C:
			l.forgetUnused()
		}
		l.claimAll(ctx)
	}
}

// dueClaim is a claim to be sent: the endpoints whose permits a process must not grant.
type dueClaim struct {
	to      member.Instance
	records []*record
}

// claimAll sends one claim to each process that has to confirm some endpoints.
func (l *Limiter) claimAll(ctx context.Context) {
	due, posts := l.dueClaims()
	for _, n := range posts {
		l.post(n)
	}
	var calls sync.WaitGroup
	for _, d := range due {
		calls.Go(func() { l.sendClaim(ctx, d) })
	}
	calls.Wait()
}

// dueClaims returns the claims to be sent now, and the news that are due.
func (l *Limiter) dueClaims() (map[string]*dueClaim, []news) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, due := l.timers.Uptime(), map[string]*dueClaim{}
	var posts []news
	for _, r := range l.records {
		if r.rate(now) == 0 || r.bucket.usedAt == 0 || now-r.bucket.usedAt > activeTime || l.share(r, now) == 0 {
			continue
		}
		if n := l.dueNews(r, now); n.rate > 0 {
			posts = append(posts, n)
		}
		for _, m := range l.successors(r, now) {
			if l.reach(m.ID, now) == silent {
				continue
			}
			if due[m.ID] == nil {
				due[m.ID] = &dueClaim{to: m}
			}
			due[m.ID].records = append(due[m.ID].records, r)
		}
	}
	return due, posts
}

func (l *Limiter) sendClaim(ctx context.Context, d *dueClaim) {
	sentAt := l.timers.Uptime()
	request := &ClaimRequest{Claimant: l.self()}
	for _, r := range d.records {
		request.Targets = append(request.Targets, r.endpoint.target())
	}
	limited, cancel := l.timers.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := l.seams.Claim(limited, d.to, request)
	l.noteCall(d.to.ID, err)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range reply.Ahead {
		l.meet(p)
	}
	for _, r := range d.records {
		if !slices.Contains(reply.Refused, r.endpoint.ID) {
			r.confirmed[d.to.ID] = sentAt
		}
	}
}

// self returns this process as the others know it.
func (l *Limiter) self() *Process {
	for _, m := range l.seams.Members() {
		if m.ID == l.options.Self {
			return processOf(m)
		}
	}
	return &Process{Name: l.options.Self}
}

func processOf(m member.Instance) *Process {
	return &Process{Name: m.ID, Zone: m.Zone, Address: m.Peer}
}

// meet adds a process that another one knows to the members for a while. The list of
// this process may be older.
func (l *Limiter) meet(p *Process) {
	if p.GetName() == "" || p.Name == l.options.Self {
		return
	}
	l.met[p.Name] = metMember{member.Instance{ID: p.Name, Zone: p.Zone, Peer: p.Address}, l.timers.Uptime() + metTime}
	for _, r := range l.records {
		r.order = nil
	}
}

// Claim notes the endpoints whose permits the claimant grants.
func (s *server) Claim(_ context.Context, in *ClaimRequest) (*ClaimReply, error) {
	return s.limiter.HandleClaim(in), nil
}

// HandleClaim serves a claim of another process. The order of two processes does not
// depend on the lists of members, which may differ.
func (l *Limiter) HandleClaim(in *ClaimRequest) *ClaimReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	claimant, reply := in.GetClaimant(), &ClaimReply{}
	delete(l.peers, claimant.GetName())
	l.meet(claimant)
	now, self := l.timers.Uptime(), l.self()
	for _, t := range in.Targets {
		e := endpointOf(t)
		if comesBefore(e, self, claimant) {
			reply.Refused = append(reply.Refused, e.ID)
			continue
		}
		l.claims[e.ID] = claim{by: claimant.GetName(), until: now + claimTime + claimMargin}
		reply.Ahead = append(reply.Ahead, l.ahead(l.record(e), claimant.GetName())...)
	}
	return reply
}

// ahead returns the processes before the claimant in the order of an endpoint, without
// those that have ended, up to maxAhead.
func (l *Limiter) ahead(r *record, claimant string) []*Process {
	var list []*Process
	now := l.timers.Uptime()
	for _, m := range l.grantors(r) {
		if m.ID == claimant || len(list) == maxAhead {
			break
		}
		if l.reach(m.ID, now) != ended {
			list = append(list, processOf(m))
		}
	}
	return list
}

// forgetUnused drops records and claims that are not in use any more.
func (l *Limiter) forgetUnused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timers.Uptime()
	for id, r := range l.records {
		if now-r.usedAt > retention && !r.ask.pending && !r.bucket.pumping {
			delete(l.records, id)
		}
	}
	for id, c := range l.claims {
		if now >= c.until {
			delete(l.claims, id)
		}
	}
	for id, m := range l.met {
		if now >= m.until {
			delete(l.met, id)
		}
	}
	for id, p := range l.peers {
		if now >= p.until {
			delete(l.peers, id)
		}
	}
}

// GrantsNone reports whether an error of a call proves that the process grants no
// permits: nothing listens at its address, or it is of a build without them.
func GrantsNone(err error) bool {
	if fleet.IsConnRefused(err) {
		return true
	}
	var failed twirp.Error
	return errors.As(err, &failed) && failed.Code() == twirp.BadRoute
}
