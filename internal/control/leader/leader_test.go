package leader

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
)

const term = 1500 * time.Millisecond

// fixture is a store with candidates whose uptime the test sets.
type fixture struct {
	ledger *ledger.Ledger
	now    time.Duration
}

func newFixture() *fixture { return &fixture{ledger: ledger.New(), now: time.Hour} }

func (f *fixture) candidate(name string) *Candidate {
	timers := clock.NewSystem().WithUptime(func() time.Duration { return f.now })
	return New(f.ledger.Store(), Options{Self: name, Term: term}, timers, logs.Discard())
}

func (f *fixture) campaign(t *testing.T, c *Candidate) *Tenure {
	t.Helper()
	tenure, err := c.campaign(context.Background())
	if err != nil && !errors.Is(err, records.ErrConflict) {
		t.Fatal(err)
	}
	return tenure
}

// Guards against a successor that takes the role before the holder's own term
// has expired, and against an epoch that does not increase.
func TestSuccessorWaitsForTheTerm(t *testing.T) {
	f := newFixture()
	a, b := f.candidate("a"), f.candidate("b")
	first := f.campaign(t, a)
	if first == nil || first.Epoch != 1 || !first.Held() {
		t.Fatalf("the first candidate got %+v", first)
	}
	for range 20 {
		if tenure := f.campaign(t, b); tenure != nil {
			if first.Held() {
				t.Fatal("two processes hold the role")
			}
			if tenure.Epoch != 2 {
				t.Errorf("epoch %d, want 2", tenure.Epoch)
			}
			return
		}
		f.now += 100 * time.Millisecond
	}
	t.Fatal("the successor never took the role")
}

// Guards against a holder that acts again after it was frozen for a term. It
// gets no message, so it must see the expiry on a clock that counts the freeze.
func TestFrozenHolderDoesNotHold(t *testing.T) {
	f := newFixture()
	tenure := f.campaign(t, f.candidate("a"))
	f.now += term
	if tenure.Held() {
		t.Error("the tenure is held after its term")
	}
}

// Guards against a candidate that was frozen itself and takes the absence of
// renewals in that time for a failed holder, although the holder has renewed.
func TestResumedCandidateDoesNotTakeTheRole(t *testing.T) {
	f := newFixture()
	a, b := f.candidate("a"), f.candidate("b")
	tenure := f.campaign(t, a)
	f.campaign(t, b)
	f.now += 10 * time.Second
	if !a.renew(context.Background(), tenure, leaseRecord{Holder: "a", Epoch: 1, Count: 1}) {
		t.Fatal("the holder could not renew")
	}
	if f.campaign(t, b) != nil {
		t.Error("the role was taken from a holder that renews")
	}
}

// Guards against a tenure that, after a lapse during an outage of the store,
// does not resume although no other process has taken the role, or resumes
// although one has.
func TestLapsedTenure(t *testing.T) {
	cases := map[string]bool{"nobody took the role": true, "another took the role": false}
	for name, wantKept := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			a, b := f.candidate("a"), f.candidate("b")
			tenure := f.campaign(t, a)
			f.campaign(t, b)
			f.ledger.SetFault(ledger.Refuse)
			f.now += 2 * term
			held := leaseRecord{Holder: "a", Epoch: 1, Count: 1}
			if !a.renew(context.Background(), tenure, held) || tenure.Held() {
				t.Fatal("a tenure that cannot be renewed must lapse but not end")
			}
			f.ledger.SetFault(ledger.None)
			if !wantKept && f.campaign(t, b) == nil {
				t.Fatal("the role was not taken")
			}
			if got := a.renew(context.Background(), tenure, held); got != wantKept {
				t.Errorf("renewal %v, want %v", got, wantKept)
			}
			if tenure.Held() != wantKept {
				t.Errorf("held %v, want %v", tenure.Held(), wantKept)
			}
		})
	}
}

// Guards against a tenure that ends because the answer to a renewal was lost,
// although the store has carried out the renewal.
func TestLostAnswerOfARenewal(t *testing.T) {
	f := newFixture()
	a := f.candidate("a")
	tenure := f.campaign(t, a)
	f.ledger.SetFault(ledger.LoseResponse)
	for count := range uint64(3) {
		if !a.renew(context.Background(), tenure, leaseRecord{Holder: "a", Epoch: 1, Count: count + 1}) {
			t.Fatal("the tenure ended")
		}
	}
	if !tenure.Held() {
		t.Error("the tenure is not held")
	}
}

// Guards against two holders that alternate within two terms: a holder may
// release the role before its term ends only after a long tenure.
func TestHoldersDoNotAlternate(t *testing.T) {
	f := newFixture()
	a, b := f.candidate("a"), f.candidate("b")
	tenure := f.campaign(t, a)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	a.hold(ctx, tenure, func(context.Context, *Tenure) {})
	if f.campaign(t, b) != nil {
		t.Error("the role was released right after a short tenure")
	}
}

// Guards against a restarted process that waits for the term of its predecessor
// on the same machine, or that reuses the predecessor's epoch.
func TestRestartedHolder(t *testing.T) {
	f := newFixture()
	f.campaign(t, f.candidate("a"))
	tenure := f.campaign(t, f.candidate("a"))
	if tenure == nil || tenure.Epoch != 2 {
		t.Fatalf("the restarted holder got %+v", tenure)
	}
}

// Guards against a restarted holder that takes the role again before it knows any of
// the work, although another process that knows it could: on kolil-hq trouble-3 the
// work stood still for 1.5 s.
func TestReadyCandidateTakesTheRoleFirst(t *testing.T) {
	f := newFixture()
	a, b := f.candidate("a"), f.candidate("b")
	asked, ready := make(chan struct{}), make(chan struct{})
	var once sync.Once
	a.options.Ready = func() bool {
		once.Do(func() { close(asked) })
		select {
		case <-ready:
			return true
		default:
			return false
		}
	}
	taken := make(chan *Tenure, 1)
	go func() {
		tenure, _ := a.campaign(context.Background()) // a conflict, since b was first
		taken <- tenure
	}()
	select {
	case <-asked:
	case tenure := <-taken:
		t.Fatalf("a process that is not ready got %+v at once", tenure)
	}
	if f.campaign(t, b) == nil {
		t.Error("the process that is ready did not get the free role")
	}
	close(ready)
	if tenure := <-taken; tenure != nil {
		t.Errorf("the process that was not ready got %+v as well", tenure)
	}
}

// Guards against a role that nobody takes because no process becomes ready.
func TestUnreadyCandidateTakesTheRoleInTheEnd(t *testing.T) {
	f := newFixture()
	a := New(f.ledger.Store(), Options{Self: "a", Term: term, Ready: func() bool { return false }}, clock.NewSystem(), logs.Discard())
	if tenure := f.campaign(t, a); tenure == nil {
		t.Error("the role stays free")
	}
}

// Guards against a role that stays free for most of a polling period after the term
// of a lost holder, since a candidate polls at fixed times.
func TestCandidatePollsWhenTheTermEnds(t *testing.T) {
	f := newFixture()
	f.campaign(t, f.candidate("a"))
	b := f.candidate("b")
	if f.campaign(t, b) != nil {
		t.Fatal("the role was taken from its holder")
	}
	if got := b.nextPoll(); got != pollPeriod {
		t.Errorf("next poll after %v at the start of the term, want %v", got, pollPeriod)
	}
	f.now += term + margin - 50*time.Millisecond
	if got := b.nextPoll(); got != 50*time.Millisecond {
		t.Errorf("next poll after %v, want at the end of the term", got)
	}
	f.now += 50 * time.Millisecond
	if f.campaign(t, b) == nil {
		t.Error("the role was not taken at the end of the term")
	}
}
