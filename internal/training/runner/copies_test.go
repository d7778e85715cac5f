package runner

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// activate makes the runner the holder without starting runs.
func activate(r *Runner, active bool) {
	r.post(context.Background(), func(ctx context.Context) { r.setActive(ctx, active) })
}

// awaitTexts waits until the runner has a text of each item that is as long as wanted.
func awaitTexts(t *testing.T, get func() int, want int) time.Duration {
	t.Helper()
	start := time.Now()
	for time.Since(start) < 10*time.Second {
		if get() == want {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d texts, want %d", get(), want)
	return 0
}

// Guards against a successor without copies since the holder copied to another standby
// only, and against copies above the limit for a body, which fail at any speed.
func TestBothStandbysGetCopies(t *testing.T) {
	b, texts := newTexts("a", 400)
	holder := startRunner(t, b, texts)
	activate(holder, true)
	standbys := []*Runner{startRunner(t, b, nil), startRunner(t, b, nil)}
	addresses := []string{serveRunner(t, standbys[0], nil), serveRunner(t, standbys[1], nil)}
	go holder.CopyToStandby(t.Context(), func() []string { return addresses })
	for _, s := range standbys {
		awaitTexts(t, func() int { return countTexts(textLengths(t, s, b)) }, len(texts))
	}
}

// failingWorker hangs on each call for copies and counts them.
type failingWorker struct {
	formerWorker
	calls atomic.Int64
}

func (w *failingWorker) Keep(ctx context.Context, _ *KeepRequest) (*KeepReply, error) {
	w.calls.Add(1)
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a lost standby that delays the copies to the other one, and against a
// call to it every 400 ms: a holder that was cut off called and logged that often.
func TestLostStandbyDelaysNoOther(t *testing.T) {
	b, texts := newTexts("a", 20)
	holder := startRunner(t, b, nil)
	activate(holder, true)
	lost := &failingWorker{}
	mux := http.NewServeMux()
	mux.Handle(StandbyPathPrefix, NewStandbyServer(lost))
	standby := startRunner(t, b, nil)
	addresses := []string{serve(t, mux, nil), serveRunner(t, standby, nil)}
	go holder.CopyToStandby(t.Context(), func() []string { return addresses })
	const rounds = 6
	for n := range rounds {
		holder.post(t.Context(), func(context.Context) { holder.mergeText(texts[n]) })
		took := awaitTexts(t, func() int { return countTexts(textLengths(t, standby, b)) }, n+1)
		if limit := 2 * copyInterval; took > limit {
			t.Errorf("text %d was copied after %v, want at most %v", n, took, limit)
		}
		time.Sleep(copyInterval)
	}
	if calls := lost.calls.Load(); calls == 0 || calls > 4 {
		t.Errorf("%d calls to the lost standby, want 1 to 4 in %d rounds", calls, rounds)
	}
}

// Guards against texts that a standby lacks for good after it started again, since they
// no longer grow.
func TestRestartedStandbyGetsAllTexts(t *testing.T) {
	b, texts := newTexts("a", 20)
	holder := startRunner(t, b, texts)
	activate(holder, true)
	var present atomic.Pointer[http.ServeMux]
	start := func() *Runner {
		standby, mux := startRunner(t, b, nil), http.NewServeMux()
		standby.Mount(t.Context(), mux)
		present.Store(mux)
		return standby
	}
	first := start()
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { present.Load().ServeHTTP(w, r) }), nil)
	go holder.CopyToStandby(t.Context(), func() []string { return []string{address} })
	awaitTexts(t, func() int { return countTexts(textLengths(t, first, b)) }, len(texts))
	time.Sleep(2 * copyInterval)
	second := start()
	awaitTexts(t, func() int { return countTexts(textLengths(t, second, b)) }, len(texts))
}

// Guards against runs that wait for the lost holder although the successor has current
// copies.
func TestCurrentCopiesShortenTheRecall(t *testing.T) {
	b, texts := newTexts("a", 20)
	holder := startRunner(t, b, texts)
	activate(holder, true)
	successor := startRunner(t, b, nil)
	address := serveRunner(t, successor, nil)
	ctx, cancel := context.WithCancel(t.Context())
	go holder.CopyToStandby(ctx, func() []string { return []string{address} })
	awaitTexts(t, func() int { return countTexts(textLengths(t, successor, b)) }, len(texts))
	time.Sleep(2 * copyInterval)
	cancel()
	silent := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-t.Context().Done() }), nil)
	if took := timeRecall(t, successor, silent); took > recallTimeout/2 {
		t.Errorf("runs waited for %v, want about %v", took, recallGrace)
	}
}

// Guards against a text that is joined from two runs, and against calls that go on, when
// a holder that was cut off returns as a standby of its successor.
func TestReturningHolderTakesTheCopiesOfItsSuccessor(t *testing.T) {
	b, old := newTexts("a", 20)
	_, fresh := newTexts("b", 20)
	former, successor := startRunner(t, b, old), startRunner(t, b, fresh)
	activate(former, true)
	address := serveRunner(t, former, nil)
	successorAddress := serveRunner(t, successor, nil)
	activate(successor, true)
	go former.CopyToStandby(t.Context(), func() []string { return []string{successorAddress} })
	go successor.CopyToStandby(t.Context(), func() []string { return []string{address} })
	time.Sleep(2 * copyInterval)
	activate(former, false)
	origins := func(r *Runner, origin string) int {
		count := make(chan int, 1)
		r.post(t.Context(), func(context.Context) {
			n := 0
			for i, task := range r.findJob(b.ID).tasks {
				if task.text.origin == origin && len(task.text.pieces) == len(old[i].GetPieces()) && task.text.pieces[0][:1] == origin {
					n++
				}
			}
			count <- n
		})
		return <-count
	}
	if got := origins(successor, "b"); got != len(fresh) {
		t.Errorf("the successor has %d texts of its own, want %d", got, len(fresh))
	}
	awaitTexts(t, func() int { return origins(former, "b") }, len(fresh))
}

// Guards against texts that are generated again when both standbys are lost: the saved
// texts of the store must be used, also when one standby was lost while it answered.
func TestSavedTextsAreUsedWithoutStandbys(t *testing.T) {
	const items, saved = 200, 100
	b, texts := newTexts("a", items)
	silent := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-t.Context().Done() }), nil)
	for name, link := range map[string]struct{ sent, want int }{"both lost": {1, saved}, "one lost within its answer": {1 << 20, saved}} {
		t.Run(name, func(t *testing.T) {
			successor := startRunner(t, b, nil)
			for slot := range 4 {
				part := texts[slot*saved/4 : (slot+1)*saved/4]
				body, err := encodeParts(part)
				if err != nil {
					t.Fatal(err)
				}
				if err := successor.seams.Store.SaveTexts(t.Context(), slot, body); err != nil {
					t.Fatal(err)
				}
			}
			peer := serveRunner(t, startRunner(t, b, texts), newLink(0, link.sent))
			timeRecall(t, successor, silent, peer)
			lengths := textLengths(t, successor, b)
			if got := countTexts(lengths[:saved]); got != link.want {
				t.Errorf("%d of the saved texts, want %d", got, link.want)
			}
			if got := countTexts(lengths[saved:]) > 0; got != (link.sent > 1) {
				t.Errorf("texts of the lost standby: %v, want %v", got, link.sent > 1)
			}
		})
	}
}
