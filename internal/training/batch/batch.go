// Package batch keeps batches of work for trainers in the store: the batch as
// it was accepted, the mark that ends it, and its results in numbered pages.
// Every record is created once and never changed, so that two writers cannot
// disagree: whoever creates page N decides the positions of its results.
//
// # Usage
//
//	shelf := batch.NewShelf(store)
//	err := shelf.Accept(ctx, b)                  // a second time does nothing
//	page, err := shelf.Append(ctx, b.ID, number, page)
//
// # Records
//
// Kind "batches" holds a batch under its id, "endings" the mark under the same
// name, and "pages" the results under "ID.NUMBER".
package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

// The kinds of records.
const (
	KindBatches = "batches"
	KindEndings = "endings"
	KindPages   = "pages"
)

// Reward is the scoring call of an item.
type Reward struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}

// Item is one generation. Header holds the fields that the endpoint gets.
// Length is the caller's estimate of the tokens that it will generate, 0 when
// there is none.
type Item struct {
	ID     string            `json:"id"`
	Path   string            `json:"path"`
	Header map[string]string `json:"header"`
	Body   []byte            `json:"body"`
	Tokens int64             `json:"tokens"`
	Length int64             `json:"length"`
	Group  string            `json:"group"`
	Reward *Reward           `json:"reward,omitempty"`
}

// Batch is one submission. Oldest is the lowest weight version that may make
// its tokens; Wanted is the number of whole groups that the trainer waits for.
type Batch struct {
	ID      string    `json:"id"`
	Account string    `json:"account"`
	Host    string    `json:"host"`
	Path    string    `json:"path"`
	Time    time.Time `json:"time"`
	Step    int64     `json:"step"`
	Model   string    `json:"model"`
	Oldest  int64     `json:"oldest"`
	Wanted  int       `json:"wanted"`
	Items   []Item    `json:"items"`
}

// Item returns the item with this id.
func (b *Batch) Item(id string) (Item, bool) {
	for _, item := range b.Items {
		if item.ID == id {
			return item, true
		}
	}
	return Item{}, false
}

// Result is a finished item. Output is empty when it was given up.
type Result struct {
	ID       string  `json:"id"`
	Done     bool    `json:"done"`
	Output   string  `json:"output"`
	Versions []int64 `json:"versions"`
	Score    string  `json:"score"`
}

// Page holds the results from position Start on.
type Page struct {
	Start   int      `json:"start"`
	Results []Result `json:"results"`
}

// ErrOther is returned when another account has a batch with this id.
var ErrOther = errors.New("batch: the id belongs to another account")

// Shelf reads and writes batches.
type Shelf struct{ store records.Store }

// NewShelf returns a shelf in the store.
func NewShelf(store records.Store) *Shelf { return &Shelf{store: store} }

// Accept makes the batch last. A batch that was accepted before is left as it
// is. Errors are those of the store, or ErrOther.
func (s *Shelf) Accept(ctx context.Context, b *Batch) error {
	body, err := json.Marshal(b)
	if err != nil {
		return eris.Wrap(err, "batch")
	}
	_, err = s.store.Create(ctx, records.Record{Kind: KindBatches, Name: b.ID, Body: body})
	if err == nil || errors.Is(err, records.ErrRefused) {
		return err
	}
	known, readErr := s.Read(ctx, b.ID)
	if readErr != nil {
		return fmt.Errorf("%w: %w", records.ErrUnsure, readErr)
	}
	if known.Account != b.Account {
		return ErrOther
	}
	return nil
}

// Read returns a batch.
func (s *Shelf) Read(ctx context.Context, id string) (*Batch, error) {
	r, err := s.store.Get(ctx, KindBatches, id)
	if err != nil {
		return nil, err
	}
	return Decode(r)
}

// Decode reads a batch from its record.
func Decode(r records.Record) (*Batch, error) {
	var b Batch
	if err := json.Unmarshal(r.Body, &b); err != nil {
		return nil, eris.Wrapf(err, "batch %s", r.Name)
	}
	return &b, nil
}

// End marks the batch as ended.
func (s *Shelf) End(ctx context.Context, id string) error {
	_, err := s.store.Create(ctx, records.Record{Kind: KindEndings, Name: id, Body: []byte("{}")})
	if errors.Is(err, records.ErrConflict) {
		return nil
	}
	return err
}

// PageName returns the record name of a page. Names sort by number.
func PageName(id string, number int) string { return fmt.Sprintf("%s.%06d", id, number) }

// Page returns a page, or records.ErrMissing when it was not written yet.
func (s *Shelf) Page(ctx context.Context, id string, number int) (Page, error) {
	return readPage(ctx, s.store.Get, id, number)
}

// PageStale returns a page from a copy of the store that may be seconds old.
// That the page is missing there says nothing.
func (s *Shelf) PageStale(ctx context.Context, id string, number int) (Page, error) {
	return readPage(ctx, s.store.GetStale, id, number)
}

func readPage(ctx context.Context, get func(context.Context, string, string) (records.Record, error), id string, number int) (Page, error) {
	r, err := get(ctx, KindPages, PageName(id, number))
	if err != nil {
		return Page{}, err
	}
	return decodePage(r)
}

// Pages returns all pages of a batch.
func (s *Shelf) Pages(ctx context.Context, id string) ([]Page, error) {
	prefix := id + "."
	listed, err := s.store.ListFrom(ctx, KindPages, prefix, func(r records.Record) bool {
		return strings.HasPrefix(r.Name, prefix)
	})
	if err != nil {
		return nil, err
	}
	pages := make([]Page, 0, len(listed.Records))
	for _, r := range listed.Records {
		page, err := decodePage(r)
		if err != nil {
			return nil, err
		}
		pages = append(pages, page)
	}
	return pages, nil
}

// Append writes a page under its number. It returns records.ErrConflict when
// the number is taken.
func (s *Shelf) Append(ctx context.Context, id string, number int, page Page) error {
	body, err := json.Marshal(page)
	if err != nil {
		return eris.Wrap(err, "page")
	}
	_, err = s.store.Create(ctx, records.Record{Kind: KindPages, Name: PageName(id, number), Body: body})
	return err
}

func decodePage(r records.Record) (Page, error) {
	var page Page
	if err := json.Unmarshal(r.Body, &page); err != nil {
		return Page{}, eris.Wrapf(err, "page %s", r.Name)
	}
	return page, nil
}
