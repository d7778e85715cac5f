package runner

import (
	"context"
	"testing"
	"time"
)

// idleTask makes the runner active with a task that ran before, has generated a part of
// its text, and waits for its next run.
func (h *harness) idleTask(t *testing.T) *task {
	t.Helper()
	tasks := make(chan *task, 1)
	h.runner.post(t.Context(), func(ctx context.Context) {
		h.runner.setActive(ctx, true)
		h.runner.add(ctx, newBatch("plain-1"), true)
		idle := h.runner.taskOf("plain-1")
		idle.text, idle.activation = partText(newPart(keyOf("plain-1"), "b", 0, 2)), h.runner.activations
		idle.notBefore = time.Now().Add(time.Hour)
		tasks <- idle
	})
	return <-tasks
}

// read returns what f returns in the goroutine of Run.
func (h *harness) read(ctx context.Context, f func() text) text {
	values := make(chan text, 1)
	h.runner.post(ctx, func(context.Context) { values <- f() })
	return <-values
}

// Guards against a former holder of the role that wakes and replaces the newer text of
// an item, which waits for its next run at the present holder, by its own.
func TestCopyOfAFormerHolderDoesNotReplaceAText(t *testing.T) {
	h := newHarness(t)
	ctx := t.Context()
	idle := h.idleTask(t)
	handler := &peerHandler{runner: h.runner, ctx: ctx}
	request := &KeepRequest{Texts: []*Text{newPart(keyOf("plain-1"), "a", 0, 1)}}
	if _, err := handler.Keep(ctx, request); err != nil {
		t.Fatal(err)
	}
	if got := h.read(ctx, func() text { return idle.text }); got.origin != "b" || len(got.pieces) != 2 {
		t.Errorf("%d events of origin %q, want the 2 of origin b", len(got.pieces), got.origin)
	}
}

// Guards against two workers that go on with one text under the same origin, so that a
// standby joins parts of both (MIXED): the item ran here before, and its next run keeps
// the origin of the copy that was merged meanwhile.
func TestRunAfterACopyHasItsOwnOrigin(t *testing.T) {
	h := newHarness(t)
	ctx := t.Context()
	idle := h.idleTask(t)
	h.runner.post(ctx, func(context.Context) {
		h.runner.mergeIfLonger(newPart(keyOf("plain-1"), "a", 0, 3))
		idle.notBefore = time.Time{}
	})
	h.results(t, newBatch("plain-1"))
	if got := h.read(ctx, func() text { return idle.text }); got.origin == "a" {
		t.Error("the text has the origin of the copy, want one of its own")
	}
}
