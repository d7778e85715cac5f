package runner

import (
	"context"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
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
