package runner

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

// newPart returns the events from+1 to to of a text, each named by its origin.
func newPart(item, origin string, from, to int) *Text {
	p := &Text{Item: item, Origin: origin, From: int64(from), Last: int64(to), Versions: []int64{5}}
	for n := from + 1; n <= to; n++ {
		p.Pieces = append(p.Pieces, fmt.Sprintf("%s%d", origin, n))
	}
	return p
}

// Guards against a saved text that is joined from parts of different runs, or that
// lacks events because a record with an earlier part was written again.
func TestSavedPartsAreJoinedByOrigin(t *testing.T) {
	cases := []struct {
		name  string
		parts []*Text
		want  string
	}{
		{"parts in turn", []*Text{newPart("i", "a", 0, 2), newPart("i", "a", 2, 3)}, "a1 a2 a3"},
		{"overlap", []*Text{newPart("i", "a", 0, 3), newPart("i", "a", 2, 4)}, "a1 a2 a3 a4"},
		{"another run", []*Text{newPart("i", "a", 0, 2), newPart("i", "b", 2, 3)}, "a1 a2"},
		{"another run from the start", []*Text{newPart("i", "a", 0, 2), newPart("i", "b", 0, 1)}, "b1"},
		{"first part gone", []*Text{newPart("i", "a", 2, 3)}, ""},
		{"part between gone", []*Text{newPart("i", "a", 0, 1), newPart("i", "a", 2, 3)}, "a1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var bodies [][]byte
			for _, part := range c.parts {
				body, err := encodeParts([]*Text{part})
				if err != nil {
					t.Fatal(err)
				}
				bodies = append(bodies, body)
			}
			bodies = append(bodies, []byte("not a part"))
			if got := strings.Join(joinParts(bodies)["i"].GetPieces(), " "); got != c.want {
				t.Errorf("text %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against a text that cannot be joined any more because the record with its
// beginning was written again, and against records beyond the limit.
func TestSavedTextsSurviveTheReuseOfRecords(t *testing.T) {
	h := newHarness(t)
	ctx := context.Background()
	writer := New(h.runner.seams, clock.NewSystem(), logs.Discard())
	writer.active = true
	b := newBatch("long-1", "short-1")
	writer.add(ctx, b, true)
	saved := newSavedTexts()
	events := minSavedEvents
	for range 3 * batch.TextSlots {
		writer.taskOf("long-1").text = partText(newPart("long-1", "a", 0, events))
		writer.taskOf("short-1").text = partText(newPart("short-1", "a", 0, minSavedEvents-1))
		if err := writer.saveSlot(ctx, saved, writer.collectUnsaved(saved, 1<<20)); err != nil {
			t.Fatal(err)
		}
		events++
	}
	bodies, err := h.store.Texts(ctx)
	if err != nil || len(bodies) != batch.TextSlots {
		t.Fatalf("%d records, error %v, want %d", len(bodies), err, batch.TextSlots)
	}
	texts := joinParts(bodies)
	if got := len(texts[keyOf("long-1")].GetPieces()); got != events-1 {
		t.Errorf("%d events of the long text, want %d", got, events-1)
	}
	if texts[keyOf("short-1")] != nil {
		t.Error("a short text was saved")
	}
}

// Guards against a worker that saves nothing, or saves while it does not hold the role.
func TestActiveWorkerSavesLongTexts(t *testing.T) {
	h := newHarness(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := newBatch("long-1")
	h.runner.Add(ctx, b, true)
	h.runner.post(ctx, func(context.Context) {
		h.runner.taskOf("long-1").text = partText(newPart("long-1", "a", 0, minSavedEvents))
	})
	go h.runner.SaveTexts(ctx)
	time.Sleep(2 * saveInterval)
	if bodies, err := h.store.Texts(ctx); err != nil || len(bodies) != 0 {
		t.Errorf("%d records, error %v, want none of a standby", len(bodies), err)
	}
	h.runner.post(ctx, func(ctx context.Context) {
		h.runner.recalling = true // so that the item does not run
		h.runner.setActive(ctx, true)
	})
	for deadline := time.Now().Add(resultTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		bodies, err := h.store.Texts(ctx)
		if err == nil && len(joinParts(bodies)[keyOf("long-1")].GetPieces()) == minSavedEvents {
			return
		}
	}
	t.Error("the text was not saved")
}

func partText(p *Text) text {
	return text{origin: p.GetOrigin(), pieces: p.GetPieces(), last: p.GetLast(), versions: p.GetVersions()}.withSize()
}

// Guards against long texts that are generated again after all workers were lost at
// the same time: on kolil-hq each step in flight lost up to 7 s this way.
func TestTextsOutliveAllWorkers(t *testing.T) {
	h := newHarness(t)
	ctx := context.Background()
	whole := newPart(keyOf("plain-1"), "x", 0, 0)
	for n := 1; n < events; n++ {
		whole.Pieces = append(whole.Pieces, fmt.Sprintf("plain-1.%d", n))
	}
	whole.Last = int64(len(whole.Pieces))
	body, err := encodeParts([]*Text{whole})
	if err != nil {
		t.Fatal(err)
	}
	if err := h.store.SaveTexts(ctx, 0, body); err != nil {
		t.Fatal(err)
	}
	b := newBatch("plain-1")
	h.runner.Add(ctx, b, true)
	h.runner.Resume(ctx, nil)
	if result := h.results(t, b)["plain-1"]; result.Output != completeText("plain-1") {
		t.Errorf("result %+v, want the complete text", result)
	}
	h.engine.mu.Lock()
	defer h.engine.mu.Unlock()
	if ids := h.engine.lastEventIDs["plain-1"]; len(ids) != 1 || ids[0] != fmt.Sprint(events-1) {
		t.Errorf("the text was resumed after %q, want after event %d", ids, events-1)
	}
}

// Guards against an item that runs from its beginning because it started before the
// texts were recalled.
func TestNoRunWhileTextsAreRecalled(t *testing.T) {
	h := newHarness(t)
	ctx := context.Background()
	b := newBatch("plain-1")
	h.runner.post(ctx, func(ctx context.Context) {
		h.runner.recalling = true
		h.runner.setActive(ctx, true)
	})
	h.runner.Add(ctx, b, true)
	time.Sleep(2 * tickInterval)
	h.engine.mu.Lock()
	runs := h.engine.runs["plain-1"]
	h.engine.mu.Unlock()
	if runs != 0 {
		t.Errorf("%d runs while texts are recalled", runs)
	}
	h.runner.post(ctx, func(context.Context) { h.runner.recalling = false })
	h.results(t, b)
}
