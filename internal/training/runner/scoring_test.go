package runner

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/traffic/breaker"
	"github.com/wigeonpin/wigeonpin/internal/traffic/forward"
)

// Guards against results that come late because scoring calls wait for headroom that does
// not come, and against scoring calls that take the slots of interactive requests although
// the batch is due much later.
func TestScoringCallsWaitForHeadroom(t *testing.T) {
	const due = 2 * time.Second
	h := newHarness(t)
	h.setBatchDeadline(due)
	slot, found := h.runner.seams.Fleet.Pick(replica.Requirements{Service: "scorer"})
	if !found {
		t.Fatal("no endpoint for scoring calls")
	}
	slot.Done(replica.Answered) // its reports still count
	stop := make(chan struct{})
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		for {
			slot.Report(replica.Load{Running: 8, Waiting: 5, Slots: 8})
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
	defer func() { close(stop); <-reported }()
	ctx, b := context.Background(), newBatch("plain-1", "plain-2")
	began := time.Now()
	h.runner.SetActive(ctx, true)
	h.runner.Add(ctx, b, true)
	h.results(t, b)
	// 1.7 s remain for waiting while the usual time of a call is not known, and a call
	// waits for a quarter of that at least.
	if took := time.Since(began); took < 300*time.Millisecond || took > due+time.Second/2 {
		t.Errorf("results after %v, want after a wait and by %v", took, due)
	}
}

// Guards against scoring calls that are tried again and again while their content is held
// back since it crashed endpoints, and against ones that are not made after the hold. Also
// guards against a sound item that is not listed in time, since its scoring call ran on
// several replicas that others crashed and is held back for as long as a caller's request.
func TestHeldScoringCallWaits(t *testing.T) {
	for _, crashed := range [][]string{{"s8", "s9"}, {"s6", "s7", "s8", "s9"}} {
		t.Run(fmt.Sprint(len(crashed), " crashes"), func(t *testing.T) { testHeldScoringCall(t, crashed) })
	}
}

func testHeldScoringCall(t *testing.T, crashed []string) {
	h := newHarness(t)
	b := newBatch("plain-1")
	ctx, reward := context.Background(), b.Items[0].Reward
	content := forward.Call{Request: exchange.Request{Method: http.MethodPost, Host: reward.Host, Path: reward.Path}}.ContentDigest()
	for _, id := range crashed {
		h.breaker.RecordCrash(content, breaker.Incarnation{Endpoint: id})
	}
	held := h.breaker.Admit(content, maxScoringHold)
	if held == 0 || held > maxScoringHold {
		t.Fatalf("the scoring call is held back for %v, want up to %v", held, maxScoringHold)
	}
	began := time.Now()
	h.runner.SetActive(ctx, true)
	h.runner.Add(ctx, b, true)
	if result := h.results(t, b)["plain-1"]; !result.Done {
		t.Errorf("result %+v, want a completed item", result)
	}
	if took := time.Since(began); took < held-time.Second/10 {
		t.Errorf("the item was scored after %v, want %v", took, held)
	}
	const most = 2
	if failures := h.meters.Counter(CountScoreFailures).Values()[reward.Host]; failures < 1 || failures > most {
		t.Errorf("%d scoring calls failed while the content was held back, want 1 to %d", failures, most)
	}
}
