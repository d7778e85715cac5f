package batch

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
)

const (
	droppedPages = 20
	outputBytes  = 1000
)

// newLongBatch stores a batch with a page for each item and returns a reader that has
// memory for a few of the pages.
func newLongBatch(t *testing.T) *Reader {
	t.Helper()
	store := NewStore(ledger.New().Store(), 1<<20)
	b := &Batch{ID: "b1", Account: "acme"}
	for i := range droppedPages {
		b.Items = append(b.Items, Item{ID: fmt.Sprint("i", i)})
	}
	if err := store.Accept(t.Context(), b); err != nil {
		t.Fatal(err)
	}
	for i := range droppedPages {
		result := Result{ID: fmt.Sprint("i", i), Done: true, Output: strings.Repeat("x", outputBytes)}
		if err := store.Append(t.Context(), "b1", i, Page{Start: i, Results: []Result{result}}); err != nil {
			t.Fatal(err)
		}
	}
	none := func(context.Context, string) (*Batch, bool) { return nil, false }
	return NewReader(ReaderSeams{Store: store, Find: none, Follow: noWorker, Memory: 8 * outputBytes}, clock.NewSystem(), logs.Discard())
}

// Guards against an answer without results, or with others, for a position whose results
// were read before and then dropped from memory (LOST), and against an entry process that
// holds all results that anyone has read.
func TestDroppedResultsAreReadAgain(t *testing.T) {
	reader := newLongBatch(t)
	var readers sync.WaitGroup
	for n := range 4 {
		readers.Go(func() {
			for i := range 3 * droppedPages {
				position := (i*(2*n+1) + n) % droppedPages
				results, _, err := reader.Results(context.Background(), "b1", position, 0)
				if err == nil && (len(results) == 0 || results[0].ID != fmt.Sprint("i", position)) {
					t.Errorf("%d results at position %d, want that of its item", len(results), position)
				}
				if err != nil && err != errDropped {
					t.Error(err)
				}
			}
		})
	}
	readers.Wait()
	if used := reader.results.used; used > reader.results.limit {
		t.Errorf("%d bytes of results are held, want at most %d", used, reader.results.limit)
	}
	held := 0
	c, _ := reader.cache.Get("b1")
	for _, page := range c.pages {
		if page.results != nil {
			held++
		}
	}
	if held == 0 || held > 8 {
		t.Errorf("%d of %d pages are held", held, droppedPages)
	}
	if _, proof, err := reader.Results(t.Context(), "b1", droppedPages, 0); err != nil || proof.Source != ProofOfItems {
		t.Errorf("proof %+v, error %v behind the last result", proof, err)
	}
}
