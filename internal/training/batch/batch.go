// Package batch keeps batches of work for trainers in the store: the batch as
// it was accepted, the mark that ends it, and its results in numbered pages.
// Every record is created once and never changed, so that two writers cannot
// disagree: whoever creates page N decides the positions of its results.
//
// # Usage
//
//	shelf := batch.NewShelf(store, 1<<20)
//	err := shelf.Accept(ctx, b)                  // a second time does nothing
//	page, err := shelf.Append(ctx, b.ID, number, page)
//
// # Records
//
// Kind "batches" holds a batch under its id, "endings" the mark under the same
// name, and "pages" the results under "ID.NUMBER". Items beyond the size of one
// record stand in kind "parts" under "ID.NUMBER"; they are written before the
// batch, so that a batch that is there is whole.
package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
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
	KindParts   = "parts"
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
	Parts   int       `json:"parts,omitempty"` // records with further items
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
type Shelf struct {
	store records.Store
	limit int // bytes of items in one record
}

// maxItemFraction is the part of the largest record that items may take. The rest
// covers the encoding and the other fields.
const maxItemFraction = 0.8

// NewShelf returns a shelf in a store whose records hold valueBytes at most.
func NewShelf(store records.Store, valueBytes int) *Shelf {
	return &Shelf{store: store, limit: int(maxItemFraction * float64(valueBytes))}
}

// Accept makes the batch last. A batch that was accepted before is left as it
// is. Errors are those of the store, or ErrOther.
func (s *Shelf) Accept(ctx context.Context, b *Batch) error {
	parts, err := splitItems(b.Items, s.limit)
	if err != nil {
		return err
	}
	for number, part := range parts[1:] {
		record := records.Record{Kind: KindParts, Name: PageName(b.ID, number), Body: part}
		if _, err := s.store.Create(ctx, record); err != nil && !errors.Is(err, records.ErrConflict) {
			// Without the batch its parts mean nothing, so nothing was accepted.
			return fmt.Errorf("%w: %w", records.ErrRefused, err)
		}
	}
	body, err := json.Marshal(storedBatch{batchFields: batchFields(*b), Items: parts[0], Parts: len(parts) - 1})
	if err != nil {
		return eris.Wrap(err, "batch")
	}
	_, err = s.store.Create(ctx, records.Record{Kind: KindBatches, Name: b.ID, Body: body})
	if err == nil || errors.Is(err, records.ErrRefused) {
		return err
	}
	stored, readErr := s.Read(ctx, b.ID)
	if readErr != nil {
		return unknownOutcome(readErr)
	}
	if stored.Account != b.Account {
		return ErrOther
	}
	return nil
}

// batchFields are those of a batch.
type batchFields Batch

// storedBatch is a batch as it is stored: its own items and number of parts stand in
// for those of the fields.
type storedBatch struct {
	batchFields
	Items json.RawMessage `json:"items"`
	Parts int             `json:"parts,omitempty"`
}

// splitItems encodes the items in one or more lists of at most limit bytes, unless a
// single item is larger.
func splitItems(items []Item, limit int) ([]json.RawMessage, error) {
	var lists []json.RawMessage
	var list []json.RawMessage
	size := 0
	flush := func() error {
		encoded, err := json.Marshal(list)
		lists, list, size = append(lists, encoded), []json.RawMessage{}, 0
		return err
	}
	for _, item := range items {
		encoded, err := json.Marshal(item)
		if err != nil {
			return nil, eris.Wrap(err, "item")
		}
		if size > 0 && size+len(encoded) > limit {
			if err := flush(); err != nil {
				return nil, eris.Wrap(err, "items")
			}
		}
		list = append(list, encoded)
		size += len(encoded)
	}
	if err := flush(); err != nil {
		return nil, eris.Wrap(err, "items")
	}
	return lists, nil
}

// Read returns a batch.
func (s *Shelf) Read(ctx context.Context, id string) (*Batch, error) {
	r, err := s.store.Get(ctx, KindBatches, id)
	if err != nil {
		return nil, err
	}
	return s.Complete(ctx, r)
}

// Complete reads a batch from its record and the records of its further items.
func (s *Shelf) Complete(ctx context.Context, r records.Record) (*Batch, error) {
	b, err := decode(r)
	if err != nil {
		return nil, err
	}
	for number := range b.Parts {
		part, err := s.store.Get(ctx, KindParts, PageName(b.ID, number))
		if err != nil {
			return nil, fmt.Errorf("part %d: %w", number, hideMissing(err))
		}
		var items []Item
		if err := json.Unmarshal(part.Body, &items); err != nil {
			return nil, eris.Wrapf(err, "part %d of batch %s", number, r.Name)
		}
		b.Items = append(b.Items, items...)
	}
	b.Parts = 0
	return b, nil
}

// hideMissing keeps a missing part from looking like a missing batch.
func hideMissing(err error) error {
	if errors.Is(err, records.ErrMissing) {
		return records.ErrUnsure
	}
	return err
}

// decode reads a batch from its record, without further items.
func decode(r records.Record) (*Batch, error) {
	var b Batch
	if err := json.Unmarshal(r.Body, &b); err != nil {
		return nil, eris.Wrapf(err, "batch %s", r.Name)
	}
	return &b, nil
}

// unknownOutcome is the error of a write of which a later read did not show whether it
// was carried out. It does not wrap the cause: a refused read says nothing about
// the write.
func unknownOutcome(readErr error) error { return fmt.Errorf("%w: %v", records.ErrUnsure, readErr) }

// End marks the batch as ended. When the answer of the store is lost, it looks
// whether the mark is there.
func (s *Shelf) End(ctx context.Context, id string) error {
	_, err := s.store.Create(ctx, records.Record{Kind: KindEndings, Name: id, Body: []byte("{}")})
	if err == nil || errors.Is(err, records.ErrRefused) {
		return err
	}
	if _, readErr := s.store.Get(ctx, KindEndings, id); readErr != nil {
		return unknownOutcome(readErr)
	}
	return nil
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

// listNumbered returns the records of a kind that have the batch's id and a number
// as their name. Those of a batch whose id begins with this one and a dot have
// the same prefix and are left out.
func (s *Shelf) listNumbered(ctx context.Context, kind, id string) ([]records.Record, error) {
	prefix := id + "."
	listed, err := s.store.ListFrom(ctx, kind, prefix, func(r records.Record) bool {
		return strings.HasPrefix(r.Name, prefix)
	})
	return slices.DeleteFunc(listed.Records, func(r records.Record) bool {
		number, err := strconv.Atoi(strings.TrimPrefix(r.Name, prefix))
		return err != nil || r.Name != PageName(id, number)
	}), err
}

// Pages returns all pages of a batch.
func (s *Shelf) Pages(ctx context.Context, id string) ([]Page, error) {
	listed, err := s.listNumbered(ctx, KindPages, id)
	if err != nil {
		return nil, err
	}
	pages := make([]Page, 0, len(listed))
	for _, r := range listed {
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
