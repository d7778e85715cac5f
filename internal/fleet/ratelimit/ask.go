package ratelimit

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/peer/fleet"
)

const (
	// permitTime is how long this process may use a permit.
	permitTime = 150 * time.Millisecond
	// holdTime is how long a request that could go to another endpoint waits for the
	// answer to an ask.
	holdTime = 10 * time.Millisecond
	// maxWait is the longest wait for a permit in one ask.
	maxWait = 250 * time.Millisecond
	// useMargin is the time from the grant of a permit to its use. A permit that comes
	// as the request gives up is wasted.
	useMargin = 20 * time.Millisecond
	// callTime is the time for the call to another process, without the wait for a
	// permit. It is added once more for each process that may pass the call on.
	callTime = 150 * time.Millisecond
	// maxHops is the number of calls from the asking process to the granting one.
	maxHops = 2
	// minRetry and maxRetry bound the time between two asks for the same endpoint.
	// unreachableRetry applies while no process grants its permits.
	minRetry         = 5 * time.Millisecond
	maxRetry         = 2 * time.Second
	unreachableRetry = 200 * time.Millisecond
	// heldLogInterval is the time between two log lines about the same endpoint.
	heldLogInterval = time.Second
)

// The outcomes of asks in the metrics.
const (
	outcomeGranted = "granted"
	outcomeDenied  = "denied"
	outcomeEnded   = "ended" // there is no limit any more
)

// Need describes the requests that need permits: the client account of the first one,
// the number of requests that wait for the same service in this process, and how long
// the first one can wait. Alternative tells that it can go to another endpoint at once.
type Need struct {
	Account     string
	Waiting     int
	Patience    time.Duration
	Alternative bool
}

// Verdict tells what to do with a request for which permits were requested.
type Verdict int

// The verdicts.
const (
	Proceed Verdict = iota // send it elsewhere, or let it wait
	Hold                   // let it wait: a permit may come within milliseconds
	Again                  // choose an endpoint again: there is a permit
)

// pendingAsk is the state of this process's asks for an endpoint.
type pendingAsk struct {
	pending   bool
	count     int
	since     time.Duration
	notBefore time.Duration // earliest time of the next ask
	retryAt   time.Duration // when a permit is expected after a denial
}

// ask is a request for permits.
type ask struct {
	account string
	count   int
	wait    time.Duration
	hops    int
}

// Request asks for permits of endpoints in state Withheld, the preferred one first. It
// does not ask for more permits than requests wait.
func (l *Limiter) Request(wanted []Endpoint, need Need) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, waiting, outstanding := l.timers.Uptime(), max(1, need.Waiting), 0
	for _, e := range wanted {
		if r := l.record(e); r.ask.pending {
			outstanding += r.ask.count
		}
	}
	verdict := Proceed
	for _, e := range wanted {
		r := l.record(e)
		if r.ask.pending {
			if waiting == 1 && now-r.ask.since < holdTime {
				verdict = Hold
			}
			continue
		}
		if outstanding >= waiting || now < r.ask.notBefore {
			continue
		}
		count := (waiting - outstanding + len(wanted) - 1) / len(wanted)
		a := ask{account: need.Account, count: count}
		if !need.Alternative {
			a.wait = min(maxWait, max(0, need.Patience-useMargin))
		}
		granted, decided := l.askHere(r, a, now)
		if granted {
			return Again
		}
		if decided {
			continue
		}
		l.start(r, a, now)
		outstanding += count
		if waiting == 1 {
			verdict = Hold
		}
	}
	return verdict
}

// askHere grants permits from this process's token bucket if that needs no wait, or
// denies them if the wait were too long. decided is false if neither is possible.
func (l *Limiter) askHere(r *record, a ask, now time.Duration) (granted, decided bool) {
	if l.refill(r, now) == 0 {
		return false, false
	}
	if taken := r.bucket.take(a.count); taken > 0 {
		l.addPermits(r, taken, now)
		return true, true
	}
	wait := r.bucket.wait(a.account)
	if wait <= a.wait {
		return false, false
	}
	l.deny(r, a, wait, now)
	return false, true
}

// deny records that a permit is expected after the given time.
func (l *Limiter) deny(r *record, a ask, retry, now time.Duration) {
	r.ask.retryAt = now + retry
	r.ask.notBefore = now + min(maxRetry, max(minRetry, retry-a.wait))
	l.asks.Add(outcomeDenied, 1)
}

// addPermits adds permits that expire after permitTime.
func (l *Limiter) addPermits(r *record, count int, now time.Duration) {
	for range count {
		r.permits = append(r.permits, now+permitTime)
	}
	l.asks.Add(outcomeGranted, 1)
}

// start starts an ask in the background.
func (l *Limiter) start(r *record, a ask, now time.Duration) {
	r.ask.pending, r.ask.count, r.ask.since = true, a.count, now
	go func() {
		ctx, cancel := l.timers.WithTimeout(context.Background(), a.wait+callTime*(maxHops+1))
		reply := l.acquire(ctx, r.endpoint, a)
		cancel()
		l.finish(r, a, now, reply)
		l.onRoom()
	}()
}

// finish records the answer to an ask that was sent at the given uptime.
func (l *Limiter) finish(r *record, a ask, sentAt time.Duration, reply *AskReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timers.Uptime()
	r.ask.pending = false
	l.adoptReply(r, sentAt, reply)
	switch {
	case r.rate(now) == 0:
		l.asks.Add(outcomeEnded, 1)
	case reply.Granted > 0 && now-sentAt < a.wait+callTime*(maxHops+1):
		l.addPermits(r, min(int(reply.Granted), a.count), now)
	default:
		l.deny(r, a, time.Duration(reply.RetryMs)*time.Millisecond, now)
		if a.wait > 0 && now-r.heldLogAt > heldLogInterval {
			r.heldLogAt = now
			l.logLimit(r).WithFields(logrus.Fields{
				"retry_ms": reply.RetryMs, "grantor": reply.Grantor, "grantor_share": reply.Share, "account": a.account,
			}).Info("requests held back by the limit of an endpoint")
		}
	}
}

// adoptReply takes over what the granting process knows of the limit, unless an answer
// of the endpoint came after the ask.
func (l *Limiter) adoptReply(r *record, sentAt time.Duration, reply *AskReply) {
	if reply.Grantor == "" || reply.Grantor == l.options.Self || r.limit.heardAt > sentAt || r.limit.endedAt > sentAt {
		return
	}
	switch {
	case reply.Limit > 0:
		l.learn(r, clampRate(reply.Limit), sentAt, reply.Grantor)
	case r.limit.rate > 0:
		l.end(r, sentAt, reply.Grantor)
	}
}

// acquire gets permits from the process that grants them.
func (l *Limiter) acquire(ctx context.Context, e Endpoint, a ask) *AskReply {
	l.mu.Lock()
	order := l.grantors(l.record(e))
	l.mu.Unlock()
	asked := 0
	for _, m := range order {
		if m.ID == l.options.Self {
			if reply, grants := l.grantHere(ctx, e, a); grants {
				return reply
			}
			break
		}
		l.mu.Lock()
		state := l.reach(m.ID, l.timers.Uptime())
		l.mu.Unlock()
		if state == ended {
			continue
		}
		// Processes further down would grant nothing.
		if asked++; asked > len(takeoverShares) || a.hops >= maxHops {
			break
		}
		if state == silent {
			continue
		}
		if reply, err := l.call(ctx, m, e, a); err == nil {
			return reply
		}
	}
	return &AskReply{RetryMs: unreachableRetry.Milliseconds()}
}

// call asks another process. A call that fails for another reason than its timeout is
// repeated once, since a process that has just ended refuses the second call only.
func (l *Limiter) call(ctx context.Context, to member.Instance, e Endpoint, a ask) (reply *AskReply, err error) {
	for range 2 {
		limited, cancel := l.timers.WithTimeout(ctx, a.wait+callTime*time.Duration(maxHops-a.hops))
		reply, err = l.seams.Ask(limited, to, l.askRequest(e, a))
		timedOut := limited.Err() != nil
		cancel()
		if err == nil || timedOut || l.seams.Refused(err) {
			break
		}
	}
	if ctx.Err() == nil || err == nil {
		l.noteCall(to.ID, err)
	}
	return reply, err
}

// askRequest returns the message for another process, with what this one knows of the
// endpoint.
func (l *Limiter) askRequest(e Endpoint, a ask) *AskRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, now := l.record(e), l.timers.Uptime()
	request := &AskRequest{
		Target:  e.target(),
		Account: a.account, Count: int32(a.count), WaitMs: a.wait.Milliseconds(), Hops: int32(a.hops + 1), Limit: r.limit.rate,
	}
	switch {
	case r.limit.rate > 0:
		request.LimitAgeMs = (now - r.limit.heardAt).Milliseconds()
	case r.limit.endedAt > 0:
		request.Ended, request.LimitAgeMs = true, (now - r.limit.endedAt).Milliseconds()
	}
	if now < r.coldEnd {
		request.ColdRate, request.ColdLeftMs = r.coldRate, (r.coldEnd - now).Milliseconds()
	}
	return request
}

// tell informs the granting process that the limit of an endpoint has ended.
func (l *Limiter) tell(e Endpoint) {
	ctx, cancel := l.timers.WithTimeout(context.Background(), callTime*(maxHops+1))
	defer cancel()
	l.acquire(ctx, e, ask{})
	l.onRoom()
}

// Server returns the handler for calls from other processes, to be mounted at
// RatesPathPrefix.
func (l *Limiter) Server() http.Handler { return NewRatesServer(&server{limiter: l}) }

type server struct{ limiter *Limiter }

// Ask grants or denies permits, or passes the call on.
func (s *server) Ask(ctx context.Context, in *AskRequest) (*AskReply, error) {
	return s.limiter.HandleAsk(ctx, in), nil
}

// HandleAsk serves an ask of another process.
func (l *Limiter) HandleAsk(ctx context.Context, in *AskRequest) *AskReply {
	e := endpointOf(in.GetTarget())
	l.adoptAsk(e, in)
	return l.acquire(ctx, e, ask{
		account: in.Account, count: max(0, int(in.Count)), wait: min(maxWait, time.Duration(in.WaitMs)*time.Millisecond), hops: int(in.Hops),
	})
}

// adoptAsk takes over what the asking process knows of the endpoint and is newer than
// what this one knows.
func (l *Limiter) adoptAsk(e Endpoint, in *AskRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, now := l.record(e), l.timers.Uptime()
	if r.endpoint.Born != e.Born {
		return // the caller does not know yet that the endpoint has started again
	}
	r.setCold(Cold{Rate: in.ColdRate, Left: time.Duration(in.ColdLeftMs) * time.Millisecond}, now)
	heardAt := now - time.Duration(in.LimitAgeMs)*time.Millisecond
	switch {
	case in.Limit > 0 && (r.limit.endedAt == 0 || heardAt > r.limit.endedAt) && (r.limit.rate == 0 || heardAt > r.limit.heardAt):
		l.learn(r, clampRate(in.Limit), heardAt, "process")
	case in.Ended && r.limit.rate > 0 && heardAt > r.limit.heardAt:
		l.end(r, heardAt, "process")
	}
}

// Calls returns the functions Ask and Claim of Seams.
func Calls(client *http.Client) (
	ask func(context.Context, member.Instance, *AskRequest) (*AskReply, error),
	claim func(context.Context, member.Instance, *ClaimRequest) (*ClaimReply, error),
) {
	ask = func(ctx context.Context, to member.Instance, request *AskRequest) (*AskReply, error) {
		return NewRatesProtobufClient(fleet.URL(to.Peer), client).Ask(ctx, request)
	}
	claim = func(ctx context.Context, to member.Instance, request *ClaimRequest) (*ClaimReply, error) {
		return NewRatesProtobufClient(fleet.URL(to.Peer), client).Claim(ctx, request)
	}
	return ask, claim
}
