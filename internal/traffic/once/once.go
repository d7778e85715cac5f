// Package once makes non-repeatable requests with an idempotency key run at
// most once. Before such a request is sent, its id is claimed at its two home
// instances; a resend through any instance finds the claim there.
//
// # Usage
//
//	records := once.New(settings, timers, meters, once.Seams{...})
//	go records.Run(ctx)
//	mux.Handle(once.OncePathPrefix, records.Server())
//	claim, err := records.Claim(ctx, account, idempotencyKey, digest)
//	if replay, ok := claim.Replay(); ok { ... } // it ran before
//	...
//	claim.Done(ctx, once.Stored{Run: code.Ran, Status: 200, Body: body, Whole: true})
//
// An id may run only when both homes answered and at least one of them has
// been a home of the id for the whole resend window, or when one home is
// proved dead and the other one has. Two homes that both became responsible
// within the window know nothing of earlier claims.
package once

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
)

const (
	// BodyLimit is the size up to which an answer is kept for replay.
	BodyLimit = 64 << 10
	// The total size of the answers that an instance keeps as claimer and as
	// home. Further ones are recorded without their bodies.
	bodiesLimit = 24 << 20
	// The number of records that an instance keeps before it refuses claims.
	recordsLimit = 100_000

	homes = 2
	// The number of idle connections that the fleet's client keeps to a peer,
	// each of which can fail once after the peer's death.
	pooledLimit = 8
	callLimit   = time.Second
	tickPeriod  = 500 * time.Millisecond
	retryReturn = time.Second
	busyReturn  = 500 * time.Millisecond
)

// Stored is how a request ended and, when Whole, its answer.
type Stored struct {
	Run    code.Run
	Status int
	Header http.Header
	Body   []byte
	Whole  bool
}

// Seams are the functions that the records need.
type Seams struct {
	// View returns the listed members. It must not leave out members that are
	// merely silent: those may hold records.
	View func() *member.View
	// Peer returns the client of another instance.
	Peer func(instance member.Instance) Once
	// Refused reports whether an error proves that the peer is dead.
	Refused func(err error) bool
	// Report tells the outcome of a call to a peer.
	Report func(id string, alive, refused bool)
	// Current reports whether the view of the members can be trusted now.
	Current func() bool
}

// Records are the claims of one instance, as claimer and as home.
type Records struct {
	settings setting.Settings
	timers   *clock.Service
	seams    Seams
	counts   *meter.Counter
	store    *store
	history  *history

	mu sync.Mutex
	// claims are the instance's own claims by token.
	claims map[string]*Claim
	bytes  int
}

// New returns the records of an instance.
func New(settings setting.Settings, timers *clock.Service, meters *meter.Set, seams Seams) *Records {
	window := setting.Milliseconds(settings.ResendMS)
	r := &Records{
		settings: settings, timers: timers, seams: seams, counts: meters.Counter("once"),
		store: newStore(timers, window, setting.Milliseconds(settings.DeadlineMaxMS)), claims: map[string]*Claim{},
		// Other instances may act on an older member list for its lag bound.
		history: newHistory(settings.ID, window+setting.Milliseconds(settings.ListLagMS)),
	}
	r.observe()
	return r
}

func (r *Records) observe() {
	r.history.observe(r.timers.Now(), r.seams.View(), r.seams.Current())
}

// Claim is the right to run a request once, or the answer of its earlier run.
type Claim struct {
	records *Records
	replay  *Stored

	// The following are guarded by records.mu.
	record *Record
	// acked are the homes that hold the latest record.
	acked   map[string]bool
	changed time.Time
	pushed  time.Time
}

// Replay returns the answer of an earlier run.
func (c *Claim) Replay() (Stored, bool) {
	if c.replay == nil {
		return Stored{}, false
	}
	return *c.replay, true
}

// Claim claims the id for one run. Its errors tell whether the request may
// have run under an earlier claim.
func (r *Records) Claim(ctx context.Context, account, id, digest string) (*Claim, error) {
	ctx, cancel := r.timers.WithTimeout(ctx, 3*callLimit)
	defer cancel()
	void := ""
	// A claim found released or settled in between is tried again, once.
	for range 2 {
		record := &Record{
			Id: account + "\x00" + id, Digest: digest, Claimer: r.settings.ID, Token: ulid.Make().String(), State: State_RUNNING,
		}
		claim, held, err := r.claim(ctx, record, void)
		if err != nil || claim != nil {
			r.count(err)
			return claim, err
		}
		replay, released, err := r.resolve(ctx, held, digest)
		if err != nil || replay != nil {
			r.count(err)
			return replay, err
		}
		void = released
	}
	return nil, unsure(code.MaybeRun, retryReturn, "the records of this idempotency key are changing")
}

func (r *Records) count(err error) {
	name := "claimed"
	if err != nil {
		name = code.Of(err).Code.String()
	}
	r.counts.Add(name, 1)
}

func unsure(run code.Run, wait time.Duration, format string, args ...any) error {
	return code.New(code.RecordUnsure, format, args...).WithRun(run).WithRetryAfter(wait)
}

// claim tries to record the claim at the homes, one after the other in their
// common order, so that of two instances that claim the same id at the same
// time one loses at the first home. It returns the record found instead.
func (r *Records) claim(ctx context.Context, record *Record, void string) (*Claim, *Record, error) {
	view := r.seams.View()
	// An instance that was a home until a moment ago may be the only one left
	// that knows the id.
	if held := r.store.get(record.Id); held != nil && held.Token != void {
		return nil, r.latest(ctx, view, view.Homes(record.Id, homes), held), nil
	}
	own, err := r.open(record)
	if err != nil {
		return nil, nil, err
	}
	r.observe()
	tally := tally{homes: view.Homes(record.Id, homes)}
	for _, home := range tally.homes {
		answer, err := call(ctx, r, view, home, func(ctx context.Context, peer Once) (*ClaimAnswer, error) {
			return peer.Claim(ctx, &ClaimRequest{Record: record, Void: void})
		})
		if held := tally.add(answer, err, r.seams.Refused); held != nil {
			r.release(ctx, own)
			return nil, r.latest(ctx, view, tally.homes, held), nil
		}
		if answer != nil && answer.Home {
			r.acknowledge(own, home, own.record)
		}
	}
	err = tally.verdict()
	if err == nil {
		held, err := r.claimFormer(ctx, own, tally.homes, void)
		if err == nil && held == nil {
			return own, nil, nil
		}
		r.release(ctx, own)
		return nil, held, err
	}
	r.release(ctx, own)
	return nil, nil, err
}

// claimFormer also records the claim at the homes of the views that the
// instance had within the lag bound of the member list. Other instances may
// still use such a view: without this, when the one home that both views have
// in common dies, a former home that never heard of the claim would cover the id.
func (r *Records) claimFormer(ctx context.Context, own *Claim, current []string, void string) (*Record, error) {
	seen := map[string]bool{}
	for _, home := range current {
		seen[home] = true
	}
	for _, view := range r.history.former(r.timers.Now(), setting.Milliseconds(r.settings.ListLagMS)) {
		for _, home := range view.Homes(own.record.Id, homes) {
			if seen[home] {
				continue
			}
			seen[home] = true
			answer, err := call(ctx, r, view, home, func(ctx context.Context, peer Once) (*ClaimAnswer, error) {
				return peer.Claim(ctx, &ClaimRequest{Record: own.record, Void: void, Former: true})
			})
			switch {
			case err != nil && r.seams.Refused(err):
			case err != nil || !answer.Home:
				return nil, unsure(code.MaybeRun, retryReturn, "a former home of this idempotency key does not answer")
			case answer.Held != nil:
				return answer.Held, nil
			default:
				r.acknowledge(own, home, own.record)
			}
		}
	}
	return nil, nil
}

// tally is what the homes of an id said.
type tally struct {
	homes                  []string
	answered, dead, covers int
	wait                   time.Duration
}

func (t *tally) add(answer *ClaimAnswer, err error, refused func(error) bool) *Record {
	switch {
	case err != nil && refused(err):
		t.dead++
	case err != nil || !answer.Home:
		return nil
	case answer.Held != nil:
		return answer.Held
	default:
		t.answered++
		if answer.Covers {
			t.covers++
		}
		t.wait = max(t.wait, time.Duration(answer.WaitMs)*time.Millisecond)
	}
	return nil
}

// verdict returns nil when the request may run. A home that covers the id and
// holds no record proves that it did not run under an earlier claim.
func (t *tally) verdict() error {
	if t.covers > 0 && t.answered+t.dead == len(t.homes) {
		return nil
	}
	if t.covers > 0 {
		return unsure(code.NotRun, retryReturn, "a home of this idempotency key does not answer")
	}
	if t.answered == 0 {
		return unsure(code.MaybeRun, retryReturn, "the homes of this idempotency key do not answer")
	}
	return unsure(code.MaybeRun, max(t.wait, retryReturn), "the homes of this idempotency key have not been responsible long enough")
}

// latest returns the most settled record that the homes hold.
func (r *Records) latest(ctx context.Context, view *member.View, ids []string, held *Record) *Record {
	for _, home := range ids {
		if held.State != State_RUNNING {
			return held
		}
		answer, err := call(ctx, r, view, home, func(ctx context.Context, peer Once) (*ClaimAnswer, error) {
			return peer.Claim(ctx, &ClaimRequest{Record: &Record{Id: held.Id}, Peek: true})
		})
		if err == nil && answer.Held != nil && answer.Held.Token == held.Token {
			held = answer.Held
		}
	}
	return held
}

// resolve turns another claim's record into a replay or an error, or returns
// the token of a claim that its claimer has released.
func (r *Records) resolve(ctx context.Context, held *Record, digest string) (replay *Claim, released string, err error) {
	if held.Digest != digest {
		return nil, "", code.New(code.KeyReused, "the idempotency key came before with other content").WithRun(code.NotRun)
	}
	if held.State == State_RUNNING {
		if held, err = r.ask(ctx, held); err != nil {
			return nil, "", err
		}
	}
	switch held.State {
	case State_RELEASED:
		return nil, held.Token, nil
	case State_RUNNING:
		return nil, "", code.New(code.AlreadyRunning, "the request with this idempotency key is still running").
			WithRun(code.MaybeRun).WithRetryAfter(busyReturn)
	case State_RAN:
		if held.Whole {
			stored := storedOf(held)
			return &Claim{records: r, replay: &stored}, "", nil
		}
		return nil, "", code.New(code.MayHaveRun, "the request ran; its answer was not kept").WithRun(code.Ran)
	default:
		return nil, "", code.New(code.MayHaveRun, "the request may have run under its earlier claim").WithRun(code.MaybeRun)
	}
}

// ask asks the claimer of a running record. A claimer that is gone or does not
// know its claim any more leaves open whether the request ran.
func (r *Records) ask(ctx context.Context, held *Record) (*Record, error) {
	lost := &Record{Token: held.Token, State: State_MAY_HAVE_RUN}
	view := r.seams.View()
	if _, listed := view.Instance(held.Claimer); !listed {
		return lost, nil
	}
	answer, err := call(ctx, r, view, held.Claimer, func(ctx context.Context, peer Once) (*AskAnswer, error) {
		return peer.Ask(ctx, &AskRequest{Token: held.Token})
	})
	switch {
	case err != nil && r.seams.Refused(err):
		return lost, nil
	case err != nil:
		return nil, code.New(code.AlreadyRunning, "the instance that runs this idempotency key does not answer").
			WithRun(code.MaybeRun).WithRetryAfter(retryReturn)
	case answer.Record == nil:
		return lost, nil
	default:
		return answer.Record, nil
	}
}

// call calls an instance, which may be this one.
func call[Answer any](ctx context.Context, r *Records, view *member.View, id string, f func(context.Context, Once) (Answer, error)) (Answer, error) {
	if id == r.settings.ID {
		return f(ctx, (*server)(r))
	}
	var none Answer
	instance, ok := view.Instance(id)
	if !ok {
		return none, code.New(code.RecordUnsure, "instance %s is not listed", id)
	}
	limited, cancel := r.timers.WithTimeout(ctx, callLimit)
	defer cancel()
	answer, err := f(limited, r.seams.Peer(instance))
	// The pooled connections may have been closed by a peer that has died since;
	// only a new one shows that. All calls can be repeated.
	for range pooledLimit {
		if err == nil || limited.Err() != nil || r.seams.Refused(err) {
			break
		}
		answer, err = f(limited, r.seams.Peer(instance))
	}
	// A call that ended because its caller left says nothing about the peer.
	if err == nil || ctx.Err() == nil {
		r.seams.Report(id, err == nil, err != nil && r.seams.Refused(err))
	}
	return answer, err
}
