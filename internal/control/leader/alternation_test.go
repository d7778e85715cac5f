package leader

import (
	"context"
	"testing"
	"time"
)

// takenAfter campaigns every 100 ms, and returns the time until the candidate takes the
// role.
func (f *fixture) takenAfter(t *testing.T, c *Candidate) time.Duration {
	t.Helper()
	start := f.now
	f.take(t, c)
	return f.now - start
}

// take campaigns every 100 ms until the candidate takes the role.
func (f *fixture) take(t *testing.T, c *Candidate) *Tenure {
	t.Helper()
	for start := f.now; f.now-start < 10*term; f.now += 100 * time.Millisecond {
		if tenure := f.campaign(t, c); tenure != nil {
			return tenure
		}
	}
	t.Fatal("the role was never taken")
	return nil
}

// Guards against holders in the order A, B, A within two terms: A releases the role
// after a long tenure, and its successors die as soon as they have acted.
func TestFormerHolderDoesNotReturnWithinTwoTerms(t *testing.T) {
	cases := map[string][]string{
		"one successor":            {"b"},
		"two successors":           {"b", "c"},
		"two holders, three times": {"b", "a", "b"},
	}
	for name, successors := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			a := f.candidate("a")
			tenure := f.campaign(t, a)
			f.now += releaseAfterTerms * term
			held := leaseRecord{Holder: "a", Epoch: 1, Count: 1}
			if !a.renew(context.Background(), tenure, held) {
				t.Fatal("the holder could not renew")
			}
			lastAct := map[string]time.Duration{"a": f.now}
			a.release(held)
			for _, successor := range append(successors, "a") {
				f.takenAfter(t, f.candidate(successor)) // each is a new process
				if last, acted := lastAct[successor]; acted && f.now-last < 2*term {
					t.Fatalf("%s acts again %v after its last act, while others have acted; want %v at least", successor, f.now-last, 2*term)
				}
				lastAct[successor] = f.now
			}
		})
	}
}

// Guards against a planned stop or a kill that leaves the role without a holder for
// longer than the term of the last one, when no former holder takes it.
func TestNextHolderDoesNotWaitForTwoTerms(t *testing.T) {
	f := newFixture()
	a := f.candidate("a")
	f.campaign(t, a)
	a.release(leaseRecord{Holder: "a", Epoch: 1})
	if waited := f.takenAfter(t, f.candidate("b")); waited != 0 {
		t.Errorf("a released role is taken after %v, want at once", waited)
	}
	if waited := f.takenAfter(t, f.candidate("c")); waited > term+2*margin {
		t.Errorf("the role of a dead holder is taken after %v, want %v at most", waited, term+2*margin)
	}
}

// Guards against a former holder that is kept off although the present holder has held
// the role for two terms.
func TestFormerHolderReturnsAfterALongTenure(t *testing.T) {
	f := newFixture()
	a, b := f.candidate("a"), f.candidate("b")
	f.campaign(t, a)
	a.release(leaseRecord{Holder: "a", Epoch: 1})
	f.takenAfter(t, b)
	f.now += 2 * term
	b.release(leaseRecord{Holder: "b", Epoch: 2})
	if waited := f.takenAfter(t, f.candidate("a")); waited != 0 {
		t.Errorf("a role released after a long tenure is taken after %v, want at once", waited)
	}
}

// Guards against a former holder that is kept off for two terms although its last act
// was long before: the present holder died, after a restart that followed a long tenure.
func TestHolderOfLongAgoDoesNotWaitForTwoTerms(t *testing.T) {
	f := newFixture()
	a, b := f.candidate("a"), f.candidate("b")
	f.campaign(t, a)
	tenure := f.take(t, b)
	held := leaseRecord{Holder: "b", Epoch: tenure.Epoch, Former: tenure.former}
	for range 100 { // renewals of a tenure of 50 s
		f.now += term / renewalsPerTerm
		held.Count++
		if !b.renew(context.Background(), tenure, held) {
			t.Fatal("the holder could not renew")
		}
	}
	f.takenAfter(t, f.candidate("b")) // a new process on the machine
	if waited := f.takenAfter(t, f.candidate("a")); waited > term+2*margin {
		t.Errorf("the role of a dead holder is taken after %v, want %v at most", waited, term+2*margin)
	}
}

// Guards against a role that stays free most of the time: its holder crashes again and
// again, and the only other process may never take the role.
func TestRestartingHolderDoesNotKeepAFormerOneOff(t *testing.T) {
	f := newFixture()
	a := f.candidate("a")
	f.campaign(t, a)
	f.takenAfter(t, f.candidate("b"))
	const down = term + 3*margin // from each crash of b, right after its start, to its next start
	for range 3 {
		for start := f.now; f.now-start < down; f.now += 100 * time.Millisecond {
			if f.campaign(t, a) != nil {
				return
			}
		}
		if f.campaign(t, f.candidate("b")) == nil {
			t.Fatal("the restarted holder did not get the role")
		}
	}
	t.Errorf("the role was not taken in %v, although it was free for %v at a time", 3*down, down)
}
