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

// world is a store with candidates whose uptime the test sets.
type world struct {
	ledger *ledger.Ledger
	now    time.Duration
}

func newWorld() *world { return &world{ledger: ledger.New(), now: time.Hour} }

func (w *world) candidate(name string) *Leader {
	l := New(w.ledger.Store(), Options{Self: name, Term: term}, clock.NewSystem(), logs.Discard())
	return l.WithUptime(func() time.Duration { return w.now })
}

func (w *world) campaign(t *testing.T, l *Leader) *Turn {
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
	w := newWorld()
	a, b := w.candidate("a"), w.candidate("b")
	first := w.campaign(t, a)
	if first == nil || first.Epoch != 1 || !first.Held() {
		t.Fatalf("the first candidate got %+v", first)
	}
	for range 20 {
		if turn := w.campaign(t, b); turn != nil {
			if first.Held() {
				t.Fatal("two processes hold the role")
			}
			if turn.Epoch != 2 {
				t.Errorf("epoch %d, want 2", turn.Epoch)
			}
			return
		}
		w.now += 100 * time.Millisecond
	}
	t.Fatal("the role was never taken over")
}

// A frozen holder finds its term over on a clock that counts the freeze, though
// nobody has told it.
func TestFrozenHolderDoesNotHold(t *testing.T) {
	w := newWorld()
	turn := w.campaign(t, w.candidate("a"))
	w.now += term
	if turn.Held() {
		t.Error("the turn is held after its term")
	}
}

// A candidate that was frozen itself may believe that the holder was silent.
// The holder's renewal keeps it from taking the role.
func TestThawedCandidateLosesTheRace(t *testing.T) {
	w := newWorld()
	a, b := w.candidate("a"), w.candidate("b")
	turn := w.campaign(t, a)
	w.campaign(t, b)
	w.now += 10 * time.Second
	if !a.renew(context.Background(), turn, lease{Holder: "a", Epoch: 1, Count: 1}) {
		t.Fatal("the holder could not renew")
	}
	if w.campaign(t, b) != nil {
		t.Error("the role was taken from a holder that renews")
	}
}

// A term that lapses while the store is away goes on when nobody else has
// taken the role, and ends when somebody has.
func TestLapsedTurn(t *testing.T) {
	cases := map[string]bool{"nobody took the role": true, "another took the role": false}
	for name, kept := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			a, b := w.candidate("a"), w.candidate("b")
			turn := w.campaign(t, a)
			w.campaign(t, b)
			w.ledger.Fail(ledger.Refuse)
			w.now += 2 * term
			held := lease{Holder: "a", Epoch: 1, Count: 1}
			if !a.renew(context.Background(), turn, held) || turn.Held() {
				t.Fatal("a turn that cannot be renewed must lapse without being over")
			}
			w.ledger.Fail(ledger.None)
			if !kept && w.campaign(t, b) == nil {
				t.Fatal("the role was not taken")
			}
			if got := a.renew(context.Background(), turn, held); got != kept {
				t.Errorf("renewal %v, want %v", got, kept)
			}
			if turn.Held() != kept {
				t.Errorf("held %v, want %v", turn.Held(), kept)
			}
		})
	}
}

// A renewal that was done though its answer was lost does not end the turn.
func TestLostAnswerOfARenewal(t *testing.T) {
	w := newWorld()
	a := w.candidate("a")
	turn := w.campaign(t, a)
	w.ledger.Fail(ledger.LoseWrite)
	for count := range uint64(3) {
		if !a.renew(context.Background(), turn, lease{Holder: "a", Epoch: 1, Count: count + 1}) {
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
	w := newWorld()
	a, b := w.candidate("a"), w.candidate("b")
	turn := w.campaign(t, a)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	a.hold(ctx, turn, func(context.Context, *Turn) {})
	if w.campaign(t, b) != nil {
		t.Error("the role was free right after a short turn")
	}
}

// A process that restarts on the same machine goes on with a new epoch at once.
func TestRestartedHolder(t *testing.T) {
	w := newWorld()
	w.campaign(t, w.candidate("a"))
	turn := w.campaign(t, w.candidate("a"))
	if turn == nil || turn.Epoch != 2 {
		t.Fatalf("the restarted holder got %+v", turn)
	}
}
