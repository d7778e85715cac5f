package leader

import (
	"context"
	"errors"
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

func (f *fixture) candidate(name string) *Leader {
	l := New(f.ledger.Store(), Options{Self: name, Term: term}, clock.NewSystem(), logs.Discard())
	return l.WithUptime(func() time.Duration { return f.now })
}

func (f *fixture) campaign(t *testing.T, l *Leader) *Turn {
	t.Helper()
	turn, err := l.campaign(context.Background())
	if err != nil && !errors.Is(err, records.ErrConflict) {
		t.Fatal(err)
	}
	return turn
}

// The role passes on only after the holder's own term is over, and the epoch
// rises.
func TestSuccessorWaitsForTheTerm(t *testing.T) {
	f := newFixture()
	a, b := f.candidate("a"), f.candidate("b")
	first := f.campaign(t, a)
	if first == nil || first.Epoch != 1 || !first.Held() {
		t.Fatalf("the first candidate got %+v", first)
	}
	for range 20 {
		if turn := f.campaign(t, b); turn != nil {
			if first.Held() {
				t.Fatal("two processes hold the role")
			}
			if turn.Epoch != 2 {
				t.Errorf("epoch %d, want 2", turn.Epoch)
			}
			return
		}
		f.now += 100 * time.Millisecond
	}
	t.Fatal("the role was never taken over")
}

// A frozen holder finds its term over on a clock that counts the freeze, though
// nobody has told it.
func TestFrozenHolderDoesNotHold(t *testing.T) {
	f := newFixture()
	turn := f.campaign(t, f.candidate("a"))
	f.now += term
	if turn.Held() {
		t.Error("the turn is held after its term")
	}
}

// A candidate that was frozen itself may believe that the holder was silent.
// The holder's renewal keeps it from taking the role.
func TestResumedCandidateDoesNotTakeTheRole(t *testing.T) {
	f := newFixture()
	a, b := f.candidate("a"), f.candidate("b")
	turn := f.campaign(t, a)
	f.campaign(t, b)
	f.now += 10 * time.Second
	if !a.renew(context.Background(), turn, leaseRecord{Holder: "a", Epoch: 1, Count: 1}) {
		t.Fatal("the holder could not renew")
	}
	if f.campaign(t, b) != nil {
		t.Error("the role was taken from a holder that renews")
	}
}

// A term that lapses while the store is away goes on when nobody else has
// taken the role, and ends when somebody has.
func TestLapsedTurn(t *testing.T) {
	cases := map[string]bool{"nobody took the role": true, "another took the role": false}
	for name, wantKept := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			a, b := f.candidate("a"), f.candidate("b")
			turn := f.campaign(t, a)
			f.campaign(t, b)
			f.ledger.Fail(ledger.Refuse)
			f.now += 2 * term
			held := leaseRecord{Holder: "a", Epoch: 1, Count: 1}
			if !a.renew(context.Background(), turn, held) || turn.Held() {
				t.Fatal("a turn that cannot be renewed must lapse without being over")
			}
			f.ledger.Fail(ledger.None)
			if !wantKept && f.campaign(t, b) == nil {
				t.Fatal("the role was not taken")
			}
			if got := a.renew(context.Background(), turn, held); got != wantKept {
				t.Errorf("renewal %v, want %v", got, wantKept)
			}
			if turn.Held() != wantKept {
				t.Errorf("held %v, want %v", turn.Held(), wantKept)
			}
		})
	}
}

// A renewal that was done though its answer was lost does not end the turn.
func TestLostAnswerOfARenewal(t *testing.T) {
	f := newFixture()
	a := f.candidate("a")
	turn := f.campaign(t, a)
	f.ledger.Fail(ledger.LoseWrite)
	for count := range uint64(3) {
		if !a.renew(context.Background(), turn, leaseRecord{Holder: "a", Epoch: 1, Count: count + 1}) {
			t.Fatal("the turn ended")
		}
	}
	if !turn.Held() {
		t.Error("the turn is not held")
	}
}

// Two holders cannot take turns within two terms: a role is given up early only
// after a long turn.
func TestHoldersDoNotAlternate(t *testing.T) {
	f := newFixture()
	a, b := f.candidate("a"), f.candidate("b")
	turn := f.campaign(t, a)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	a.hold(ctx, turn, func(context.Context, *Turn) {})
	if f.campaign(t, b) != nil {
		t.Error("the role was free right after a short turn")
	}
}

// A process that restarts on the same machine goes on with a new epoch at once.
func TestRestartedHolder(t *testing.T) {
	f := newFixture()
	f.campaign(t, f.candidate("a"))
	turn := f.campaign(t, f.candidate("a"))
	if turn == nil || turn.Epoch != 2 {
		t.Fatalf("the restarted holder got %+v", turn)
	}
}
