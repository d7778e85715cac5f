package runner

import (
	"context"
	"testing"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

// keptEvents is the number of events of the text that an earlier batch has left.
const keptEvents = 2 * minSavedEvents

// otherInputs returns batches whose item has the id of the item in newBatch("plain-1"),
// but another account, model or input. The name says what differs.
func otherInputs() map[string]*batch.Batch {
	changes := map[string]func(b *batch.Batch){
		"account":     func(b *batch.Batch) { b.Account = "globex" },
		"no account":  func(b *batch.Batch) { b.Account = "" },
		"model":       func(b *batch.Batch) { b.Model = "n" },
		"host":        func(b *batch.Batch) { b.Host = "i.example" },
		"path":        func(b *batch.Batch) { b.Items[0].Path = "/gen/z" },
		"body":        func(b *batch.Batch) { b.Items[0].Body = []byte("prompt") },
		"header":      func(b *batch.Batch) { b.Items[0].Header = map[string]string{"Seed": "2"} },
		"token limit": func(b *batch.Batch) { b.Items[0].MaxTokens = 2 },
	}
	batches := map[string]*batch.Batch{}
	for name, change := range changes {
		b := newBatch("plain-1")
		b.ID = "b2"
		change(b)
		batches[name] = b
	}
	return batches
}

// newRunnerWithText returns an active runner that executes newBatch("plain-1") and has
// generated a part of its text.
func newRunnerWithText() (*Runner, *batch.Batch) {
	r := New(Seams{}, clock.NewSystem(), logs.Discard())
	b := newBatch("plain-1")
	r.add(context.Background(), b, true)
	r.textOf(b).text = partText(newPart("plain-1", "a", 0, keptEvents))
	r.active = true
	return r, b
}

// textOf returns the task of the only item of a batch.
func (r *Runner) textOf(b *batch.Batch) *task { return r.findJob(b.ID).tasks[0] }

// Guards against a completed result that begins with the text that an item with the
// same id, but of another account or with another input, had when its batch was
// cancelled (MIXED, review/4).
func TestTextOfAnotherInputIsNotTakenFromMemory(t *testing.T) {
	ctx := context.Background()
	for name, other := range otherInputs() {
		r, b := newRunnerWithText()
		r.active = false // so that the store is not asked for pages
		r.end(b.ID)
		r.add(ctx, other, true)
		if got := len(r.textOf(other).text.pieces); got != 0 {
			t.Errorf("other %s: %d events of the ended batch, want none", name, got)
		}
		again := newBatch("plain-1")
		again.ID = "b3"
		r.add(ctx, again, true)
		if got := len(r.textOf(again).text.pieces); got != keptEvents {
			t.Errorf("other %s: %d events of the item that came again, want %d", name, got, keptEvents)
		}
	}
}

// Guards against the same through the copies between workers: a part goes to the item
// of another account, as its batch comes first (MIXED).
func TestTextOfAnotherInputIsNotTakenFromACopy(t *testing.T) {
	ctx := context.Background()
	for name, other := range otherInputs() {
		holder, b := newRunnerWithText()
		standby := New(Seams{}, clock.NewSystem(), logs.Discard())
		other.Time = b.Time.Add(-1)
		standby.add(ctx, other, true)
		standby.add(ctx, b, true)
		for _, part := range holder.partsFor("standby") {
			standby.mergeText(newTextPart(part.key, part.text, part.from))
		}
		if got := len(standby.textOf(other).text.pieces); got != 0 {
			t.Errorf("other %s: %d events of a copy, want none", name, got)
		}
		if got := len(standby.textOf(b).text.pieces); got != keptEvents {
			t.Errorf("other %s: %d events of the batch's own copy, want %d", name, got, keptEvents)
		}
	}
}

// Guards against the same through the texts saved in the store: after the loss of all
// workers, the text of an ended batch goes to the item of another account (MIXED).
func TestTextOfAnotherInputIsNotTakenFromTheStore(t *testing.T) {
	ctx := context.Background()
	writer, _ := newRunnerWithText()
	body, err := encodeParts(writer.collectUnsaved(newSavedTexts(), noLimit))
	if err != nil {
		t.Fatal(err)
	}
	batches := otherInputs()
	same := newBatch("plain-1")
	same.ID = "b2"
	batches["nothing"] = same
	for name, b := range batches {
		want := 0
		if b == same {
			want = keptEvents
		}
		r := New(Seams{}, clock.NewSystem(), logs.Discard())
		r.add(ctx, b, true)
		r.recallSaved(ctx, [][]byte{body})
		(<-r.calls)(ctx)
		if got := len(r.textOf(b).text.pieces); got != want {
			t.Errorf("other %s: %d saved events, want %d", name, got, want)
		}
	}
}

// Guards against texts that go from one batch without an account to another, as it
// isn't known whether the callers are the same (MIXED).
func TestBatchesWithoutAccountShareNoTexts(t *testing.T) {
	r := New(Seams{}, clock.NewSystem(), logs.Discard())
	ctx := context.Background()
	first, second := newBatch("plain-1"), newBatch("plain-1")
	first.Account, second.Account, second.ID = "", "", "b2"
	r.add(ctx, first, true)
	r.textOf(first).text = partText(newPart("plain-1", "a", 0, keptEvents))
	r.end(first.ID)
	r.add(ctx, second, true)
	if got := len(r.textOf(second).text.pieces); got != 0 {
		t.Errorf("%d events of the ended batch, want none", got)
	}
}

// Guards against a worker of a former release beside a new one: its parts name the
// item by its id alone, so that the account is not known, and must not be used.
func TestCopiesNamedByItemAloneAreDropped(t *testing.T) {
	r := New(Seams{}, clock.NewSystem(), logs.Discard())
	b := newBatch("plain-1")
	r.add(context.Background(), b, true)
	part := newPart("plain-1", "a", 0, keptEvents)
	if r.mergeText(part) {
		t.Error("the part is merged, want it reported as missing")
	}
	r.mergeIfLonger(part)
	if got := len(r.textOf(b).text.pieces); got != 0 {
		t.Errorf("%d events, want none", got)
	}
}

// Guards against a step that is held for a group of another account, or for one of
// another model, that was incomplete when its batch ended.
func TestGroupOfAnotherAccountIsNotAwaited(t *testing.T) {
	for name, other := range otherInputs() {
		r, b := newRunnerWithText()
		r.active = false
		r.end(b.ID)
		if r.completeWithOneGroup(newBatch("plain-1")) {
			t.Errorf("other %s: the step is complete without the group that came again", name)
		}
		want := other.Account != b.Account || other.Model != b.Model
		if got := r.completeWithOneGroup(other); got != want {
			t.Errorf("other %s: the step is complete %v with one of two groups, want %v", name, got, want)
		}
	}
}

// completeWithOneGroup reports whether the batch, of which the trainer wants one group,
// counts as complete with a further group alone.
func (r *Runner) completeWithOneGroup(b *batch.Batch) bool {
	b.WantedGroups = 1
	b.Items = append(b.Items, newBatch("plain-2").Items...)
	progress := r.newProgress(b)
	progress.Finish("plain-2")
	return progress.Complete()
}

// Guards against the results of a removed batch in answers for another account's batch
// that was submitted under the same id and is not known here yet.
func TestRemovedBatchIsNotServedUnderItsID(t *testing.T) {
	h := newHarness(t)
	ctx := t.Context()
	handler := &peerHandler{runner: h.runner, ctx: ctx}
	b := newBatch("plain-1")
	h.runner.SetActive(ctx, true)
	h.runner.Add(ctx, b, true)
	h.results(t, b)
	request := &PagesRequest{Batch: b.ID, Wait: maxPageWait.Milliseconds()}
	if _, err := handler.Pages(ctx, request); err != nil {
		t.Fatal(err)
	}
	h.runner.End(ctx, b.ID)
	if reply, err := handler.Pages(ctx, request); err != nil || len(reply.GetPages()) != 1 {
		t.Fatalf("reply %v, error %v; want the page of the ended batch", reply, err)
	}
	h.runner.Forget(ctx, b.ID)
	if reply, err := handler.Pages(ctx, request); err == nil {
		t.Errorf("%d pages of the removed batch, want not found", len(reply.GetPages()))
	}
	if reply, err := handler.Batch(ctx, &BatchRequest{Batch: b.ID}); err != nil || len(reply.GetBody()) != 0 {
		t.Errorf("batch %s, error %v; want neither", reply.GetBody(), err)
	}
}
