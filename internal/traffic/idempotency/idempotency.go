// Package idempotency makes sure that a non-repeatable request with an
// idempotency key runs at most once. Before an instance sends such a request to
// an endpoint, it claims the request's id at the two home instances of the id. A
// resend through any instance finds the claim there.
//
// # Usage
//
//	records := idempotency.New(settings, timers, meters, idempotency.Seams{...})
//	go records.Run(ctx)
//	mux.Handle(idempotency.OncePathPrefix, records.Server())
//	claim, err := records.Claim(ctx, account, idempotencyKey, digest)
//	if replay, ok := claim.Replay(); ok { ... } // the request ran before
//	...
//	claim.Done(ctx, idempotency.Outcome{Run: code.Ran, Status: 200, Body: body, Whole: true})
//
// A home covers an id when it has been a home of the id for the whole resend
// window, so that it knows every earlier claim. A request may run only when one
// home covers its id and the other home has answered too or is proved dead. Two
// homes that both became responsible within the window may not know of earlier
// claims.
package idempotency

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
	// BodyLimit is the largest size in bytes of an answer that is kept for
	// replay.
	BodyLimit = 64 << 10
	// bodiesLimit is the total size in bytes of the answers that an instance
	// keeps. It applies separately to its own claims and to the records that it
	// keeps as a home. Further answers are recorded without their bodies.
	bodiesLimit = 24 << 20
	// recordsLimit is the number of records from which on an instance refuses
	// further claims. It also applies separately to its own claims and to the
	// records that it keeps as a home.
	recordsLimit = 100_000

	// homeCount is the number of home instances of an id.
	homeCount = 2
	// maxPooledConns is the number of idle connections that the fleet's client
	// keeps to a peer. Each of them can fail once after the peer's death.
	maxPooledConns = 8
	// callTimeout bounds a call to a peer, and is also the shortest time between
	// two attempts to send a claim's record to its homes.
	callTimeout = time.Second
	// tickPeriod is the time between two rounds of the periodic work of Run.
	tickPeriod = 500 * time.Millisecond
	// retryAfter is the wait returned to a caller when the homes or the claimer
	// cannot tell whether the request ran.
	retryAfter = time.Second
	// busyRetryAfter is the wait returned while the request is still running.
	busyRetryAfter = 500 * time.Millisecond
)

// Outcome describes how a request ended. Header and Body hold its answer, which
// can be replayed when Whole is set.
type Outcome struct {
	Run    code.Run
	Status int
	Header http.Header
	Body   []byte
	Whole  bool
}

// Seams are the functions of other packages that Records calls.
type Seams struct {
	// View returns the listed instances. It must include instances that do not
	// answer at present, since they may hold records.
	View func() *member.View
	// Peer returns the client of another instance.
	Peer func(instance member.Instance) Once
	// Refused reports whether an error proves that the peer is dead.
	Refused func(err error) bool
	// Report takes the outcome of a call to a peer.
	Report func(id string, alive, refused bool)
	// Current reports whether View is up to date.
	Current func() bool
}

// Records holds the records of one instance: those of its own claims, and those
// of other instances' claims for which it is a home.
type Records struct {
	settings setting.Settings
	timers   *clock.Service
	seams    Seams
	counts   *meter.Counter
	store    *store
	history  *history

	mu sync.Mutex
	// claims holds the instance's own claims by token.
	claims map[string]*Claim
	bytes  int
}

// New returns the records of an instance.
func New(settings setting.Settings, timers *clock.Service, meters *meter.Set, seams Seams) *Records {
	window := setting.Milliseconds(settings.ResendMS)
	r := &Records{
		settings: settings, timers: timers, seams: seams, counts: meters.Counter("once"),
		store: newStore(timers, window, setting.Milliseconds(settings.DeadlineMaxMS)), claims: map[string]*Claim{},
		// The window is longer by the lag bound of the member list, since other
		// instances may act on an older list for that time.
		history: newHistory(settings.ID, window+setting.Milliseconds(settings.ListLagMS), setting.Milliseconds(settings.FreshnessMS)),
	}
	r.observe()
	return r
}

func (r *Records) observe() {
	r.history.observe(r.timers.Now(), r.seams.View(), r.seams.Current())
}

// Claim is the permission to run a request once, or the answer of its earlier
// run.
type Claim struct {
	records *Records
	replay  *Outcome

	// The following are guarded by records.mu.
	record *Record
	// acked says by home whether it has acknowledged the latest record.
	acked map[string]bool
	// changed is the time of the last change of record, sent that of the last
	// attempt to send it to the homes.
	changed time.Time
	sent    time.Time
}

// Replay returns the answer of an earlier run, or false when the claim permits
// a run.
func (c *Claim) Replay() (Outcome, bool) {
	if c.replay == nil {
		return Outcome{}, false
	}
	return *c.replay, true
}

// Claim claims the id for one run, or returns the answer of its earlier run.
// Its errors carry whether the request may have run under an earlier claim.
func (r *Records) Claim(ctx context.Context, account, id, digest string) (*Claim, error) {
	ctx, cancel := r.timers.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	releasedToken := ""
	// A second attempt follows when the claim that was found at the homes has
	// been released.
	for range 2 {
		record := &Record{
			Id: account + "\x00" + id, Digest: digest, Claimer: r.settings.ID, Token: ulid.Make().String(), State: State_RUNNING,
		}
		claim, held, err := r.claim(ctx, record, releasedToken)
		if err != nil || claim != nil {
			r.countOutcome(err)
			return claim, err
		}
		replay, released, err := r.resolve(ctx, held, digest)
		if err != nil || replay != nil {
			r.countOutcome(err)
			return replay, err
		}
		releasedToken = released
	}
	return nil, recordUnsure(code.MaybeRun, retryAfter, "the records of this idempotency key are changing")
}

func (r *Records) countOutcome(err error) {
	name := "claimed"
	if err != nil {
		name = code.Of(err).Code.String()
	}
	r.counts.Add(name, 1)
}

func recordUnsure(run code.Run, wait time.Duration, format string, args ...any) error {
	return code.New(code.RecordUnsure, format, args...).WithRun(run).WithRetryAfter(wait)
}

// claim tries to record the claim at the homes. It calls them one after the
// other, in an order that all instances share, so that of two instances that
// claim the same id at the same time one is refused at the first home. When
// another claim holds the id, claim returns that claim's record instead. A claim
// with releasedToken has been released and may be replaced.
func (r *Records) claim(ctx context.Context, record *Record, releasedToken string) (*Claim, *Record, error) {
	view := r.seams.View()
	// If this instance was a home until a moment ago, it may be the only one
	// left that has a record of the id.
	if held := r.store.get(record.Id); held != nil && held.Token != releasedToken {
		return nil, r.latestRecord(ctx, view, view.Homes(record.Id, homeCount), held), nil
	}
	claim, err := r.register(record)
	if err != nil {
		return nil, nil, err
	}
	r.observe()
	tally := tally{homes: view.Homes(record.Id, homeCount)}
	for _, home := range tally.homes {
		answer, err := call(ctx, r, view, home, func(ctx context.Context, peer Once) (*ClaimAnswer, error) {
			return peer.Claim(ctx, &ClaimRequest{Record: record, Void: releasedToken})
		})
		if held := tally.add(answer, err, r.seams.Refused); held != nil {
			r.release(ctx, claim)
			return nil, r.latestRecord(ctx, view, tally.homes, held), nil
		}
		if answer != nil && answer.Home {
			r.acknowledge(claim, home, claim.record)
		}
	}
	err = tally.check()
	if err == nil {
		held, err := r.claimAtFormerHomes(ctx, claim, tally.homes, releasedToken)
		if err == nil && held == nil {
			return claim, nil, nil
		}
		r.release(ctx, claim)
		return nil, held, err
	}
	r.release(ctx, claim)
	return nil, nil, err
}

// claimAtFormerHomes records the claim also at former homes: the homes according
// to the views that this instance had within the lag bound of the member list.
// Other instances may still use such a view. If the one home that both views
// have in common died, a former home without the claim would cover the id and
// let it run again.
func (r *Records) claimAtFormerHomes(ctx context.Context, claim *Claim, current []string, releasedToken string) (*Record, error) {
	seen := map[string]bool{}
	for _, home := range current {
		seen[home] = true
	}
	for _, view := range r.history.former(r.timers.Now(), setting.Milliseconds(r.settings.ListLagMS)) {
		for _, home := range view.Homes(claim.record.Id, homeCount) {
			if seen[home] {
				continue
			}
			seen[home] = true
			answer, err := call(ctx, r, view, home, func(ctx context.Context, peer Once) (*ClaimAnswer, error) {
				return peer.Claim(ctx, &ClaimRequest{Record: claim.record, Void: releasedToken, Former: true})
			})
			switch {
			case err != nil && r.seams.Refused(err):
			case err != nil || !answer.Home:
				return nil, recordUnsure(code.MaybeRun, retryAfter, "a former home of this idempotency key does not answer")
			case answer.Held != nil:
				return answer.Held, nil
			default:
				r.acknowledge(claim, home, claim.record)
			}
		}
	}
	return nil, nil
}

// tally counts the answers of the homes of an id to a claim.
type tally struct {
	homes                    []string
	answered, dead, covering int
	// wait is the longest time until a home that answered covers the id.
	wait time.Duration
}

// add counts the answer of one home. It returns the record of another claim
// when the home holds one.
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
			t.covering++
		}
		t.wait = max(t.wait, time.Duration(answer.WaitMs)*time.Millisecond)
	}
	return nil
}

// check returns nil when the request may run, and otherwise an error that
// tells whether it may have run. A home that covers the id and holds no record
// proves that the request did not run under an earlier claim.
func (t *tally) check() error {
	if t.covering > 0 && t.answered+t.dead == len(t.homes) {
		return nil
	}
	if t.covering > 0 {
		return recordUnsure(code.NotRun, retryAfter, "a home of this idempotency key does not answer")
	}
	if t.answered == 0 {
		return recordUnsure(code.MaybeRun, retryAfter, "the homes of this idempotency key do not answer")
	}
	return recordUnsure(code.MaybeRun, max(t.wait, retryAfter), "the homes of this idempotency key have not been responsible long enough")
}

// latestRecord returns the record of the held claim in a final state if one of
// the homes has it, and otherwise the record of the running request.
func (r *Records) latestRecord(ctx context.Context, view *member.View, ids []string, held *Record) *Record {
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

// resolve turns the record of another claim into a replay or an error. When the
// claimer has released that claim, resolve returns its token.
func (r *Records) resolve(ctx context.Context, held *Record, digest string) (replay *Claim, released string, err error) {
	if held.Digest != digest {
		return nil, "", code.New(code.KeyReused, "the idempotency key came before with other content").WithRun(code.NotRun)
	}
	if held.State == State_RUNNING {
		if held, err = r.askClaimer(ctx, held); err != nil {
			return nil, "", err
		}
	}
	switch held.State {
	case State_RELEASED:
		return nil, held.Token, nil
	case State_RUNNING:
		return nil, "", code.New(code.AlreadyRunning, "the request with this idempotency key is still running").
			WithRun(code.MaybeRun).WithRetryAfter(busyRetryAfter)
	case State_RAN:
		if held.Whole {
			outcome := outcomeOf(held)
			return &Claim{records: r, replay: &outcome}, "", nil
		}
		return nil, "", code.New(code.MayHaveRun, "the request ran; its answer was not kept").WithRun(code.Ran)
	default:
		return nil, "", code.New(code.MayHaveRun, "the request may have run under its earlier claim").WithRun(code.MaybeRun)
	}
}

// askClaimer asks the claimer for the current record of a running claim. If the
// claimer is gone or has no record of the claim any more, the request may have
// run.
func (r *Records) askClaimer(ctx context.Context, held *Record) (*Record, error) {
	mayHaveRun := &Record{Token: held.Token, State: State_MAY_HAVE_RUN}
	view := r.seams.View()
	if _, listed := view.Instance(held.Claimer); !listed {
		return mayHaveRun, nil
	}
	answer, err := call(ctx, r, view, held.Claimer, func(ctx context.Context, peer Once) (*AskAnswer, error) {
		return peer.Ask(ctx, &AskRequest{Token: held.Token})
	})
	switch {
	case err != nil && r.seams.Refused(err):
		return mayHaveRun, nil
	case err != nil:
		return nil, code.New(code.AlreadyRunning, "the instance that runs this idempotency key does not answer").
			WithRun(code.MaybeRun).WithRetryAfter(retryAfter)
	case answer.Record == nil:
		return mayHaveRun, nil
	default:
		return answer.Record, nil
	}
}

// call calls an instance, which may be this one, and reports the outcome of a
// call to a peer.
func call[Answer any](ctx context.Context, r *Records, view *member.View, id string, f func(context.Context, Once) (Answer, error)) (Answer, error) {
	if id == r.settings.ID {
		return f(ctx, (*server)(r))
	}
	var none Answer
	instance, ok := view.Instance(id)
	if !ok {
		return none, code.New(code.RecordUnsure, "instance %s is not listed", id)
	}
	limited, cancel := r.timers.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := f(limited, r.seams.Peer(instance))
	// A peer that has died may have left broken connections in the client's
	// pool. Only a new connection shows whether the peer is dead, so the call is
	// repeated until the pool is used up. All calls are idempotent.
	for range maxPooledConns {
		if err == nil || limited.Err() != nil || r.seams.Refused(err) {
			break
		}
		answer, err = f(limited, r.seams.Peer(instance))
	}
	// A call that ended because ctx ended says nothing about the peer.
	if err == nil || ctx.Err() == nil {
		r.seams.Report(id, err == nil, err != nil && r.seams.Refused(err))
	}
	return answer, err
}
