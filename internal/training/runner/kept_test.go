package runner

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

// longText returns a text of about a kilobyte.
func longText(origin string) text {
	return text{origin: origin, pieces: []string{strings.Repeat("x", 1000)}, versions: []int64{5}}.withSize()
}

// Guards against a standby that exceeds its memory with the copies of texts that the active
// worker has listed long ago, and against a worker that drops the text of an item that
// is still to run.
func TestCopiedTextsAreBounded(t *testing.T) {
	const items, limit = 100, 20_000
	r := New(Seams{}, clock.NewSystem(), logs.Discard())
	r.keptTexts.limit = limit
	b := manyItems("b", "acme", items)
	r.add(context.Background(), b, true)
	copyText := func(i int) {
		copied := longText(fmt.Sprint("o", i))
		if !r.mergeText(newTextPart(b.TextKey(&b.Items[i]), copied, 0)) {
			t.Fatalf("the text of item %d was not taken", i)
		}
	}
	for i := range items {
		copyText(i)
	}
	held := 0
	for _, k := range r.jobs[0].tasks {
		held += int(k.text.memorySize())
	}
	if held > limit || held == 0 || int64(held) != r.keptTexts.used {
		t.Errorf("%d bytes of texts are held, counted %d, want at most %d", held, r.keptTexts.used, limit)
	}
	if r.jobs[0].byID["b-plain-99"].text.origin != "o99" || r.jobs[0].byID["b-plain-0"].text.origin != "" {
		t.Error("the texts that grew last are not those that are held")
	}
	r.active = true
	r.keptTexts.forgetAll()
	for i := range items {
		copyText(i)
	}
	for _, k := range r.jobs[0].tasks {
		if len(k.text.pieces) == 0 {
			t.Fatalf("the text of the pending item %s was dropped by the active worker", k.item.ID)
		}
	}
}

// Guards against memory for texts of ended batches that is bounded by their number alone.
func TestTextsOfEndedBatchesAreBounded(t *testing.T) {
	const limit = 20_000
	cache := newTextCache(maxCachedTexts, limit)
	for i := range 100 {
		cache.put(fmt.Sprint(i), longText("o"))
		cache.put(fmt.Sprint(i), longText("o")) // replaces the first
	}
	if kept := int64(cache.cache.Len()) * longText("o").memorySize(); kept > limit || kept != cache.used || kept == 0 {
		t.Errorf("texts of %d bytes are kept, counted %d, want at most %d", kept, cache.used, limit)
	}
	if len(cache.take("99", 0).pieces) == 0 || len(cache.take("0", 0).pieces) != 0 {
		t.Error("the latest texts are not those that are kept")
	}
}

// Guards against a worker that holds the pages of all batches, and against one that answers
// without a page that it has dropped, as if the next one followed.
func TestDroppedPagesAreNotSkipped(t *testing.T) {
	r := New(Seams{}, clock.NewSystem(), logs.Discard())
	r.pages.limit = 500
	b := manyItems("b", "acme", 20)
	r.add(context.Background(), b, true)
	j := r.jobs[0]
	j.progress = r.newProgress(b)
	for i, item := range b.Items {
		r.merge(j, i, batch.Page{Start: i, Results: []batch.Result{{ID: item.ID, Done: true, Output: "x"}}})
	}
	if r.pages.used > r.pages.limit {
		t.Errorf("%d bytes of pages are held, want at most %d", r.pages.used, r.pages.limit)
	}
	if pages, known := j.pagesFrom(0); known || len(pages) != 0 {
		t.Errorf("%d pages from a dropped one on, want none and that it is not known", len(pages))
	}
	if pages, known := j.pagesFrom(len(b.Items) - 1); !known || len(pages) != 1 {
		t.Errorf("%d pages from the latest on, known %v", len(pages), known)
	}
	r.drop(j)
	if pages, known := j.pagesFrom(len(b.Items)); !known || len(pages) != 0 {
		t.Errorf("%d pages behind the latest, known %v", len(pages), known)
	}
}
