// Package batch stores the batches that trainers submit: the batch as it was
// accepted, its end marker, and its results in numbered pages. Every record is
// created once and never changed, so that two writers cannot disagree: the
// writer that creates page N decides the positions of its results.
//
// # Usage
//
//	s := batch.NewStore(store, 1<<20)
//	err := s.Accept(ctx, b)                  // idempotent
//	err = s.Append(ctx, b.ID, number, page)
//
// # Records
//
// Kind "batches" holds a batch under its id, "endings" its end marker under the
// same name, and "pages" the results under "ID.NUMBER". Items that do not fit
// into the record of the batch are stored in kind "parts" under "ID.NUMBER".
// Parts are written before the batch, so that a stored batch is complete.
//
// # Memory
//
// A batch may have more items than a process can hold. Its items are encoded one after the
// other when it is accepted, and read in pieces (ReadItems). The head of a batch is the
// batch without its items.
//
// # Results
//
// A position that one reader was told is there for all later reads. The pages in the
// store are the only list of results: workers know pages of it earlier, but an answer
// without results always rests on an exact read of the store.
package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

// The kinds under which records are stored.
const (
	KindBatches = "batches"
	KindEndings = "endings"
	KindPages   = "pages"
	KindParts   = "parts"
)

// Reward is the call that scores the output of an item.
type Reward struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}

// Item is one generation. Header holds the header fields that are sent to the
// endpoint. MaxTokens is the largest number of tokens that the item may
// generate, 0 when there is no limit. ExpectedTokens is the caller's estimate of
// the number of tokens, 0 when there is none.
type Item struct {
	ID             string            `json:"id"`
	Path           string            `json:"path"`
	Header         map[string]string `json:"header"`
	Body           []byte            `json:"body"`
	MaxTokens      int64             `json:"tokens"`
	ExpectedTokens int64             `json:"length"`
	Group          string            `json:"group"`
	Reward         *Reward           `json:"reward,omitempty"`
}

// Batch is one submission of a trainer. MinVersion is the lowest weight version
// that may generate its tokens. WantedGroups is the number of complete groups
// that the trainer waits for. Routes are those of its acceptance; a batch that an
// earlier release accepted has none. Count is the number of all items, of which Items may
// hold some or none.
type Batch struct {
	ID           string    `json:"id"`
	Account      string    `json:"account"`
	Host         string    `json:"host"`
	Path         string    `json:"path"`
	Time         time.Time `json:"time"`
	Step         int64     `json:"step"`
	Model        string    `json:"model"`
	MinVersion   int64     `json:"oldest"`
	WantedGroups int       `json:"wanted"`
	Routes       Routes    `json:"routes,omitempty"`
	Items        []Item    `json:"items"`
	Parts        int       `json:"parts,omitempty"` // number of records with further items
	Count        int       `json:"count,omitempty"`
}

// Head returns a copy of the batch without its items.
func (b *Batch) Head() *Batch {
	head := *b
	head.Items = nil
	return &head
}

// Whole reports whether Items holds all items of the batch.
func (b *Batch) Whole() bool { return len(b.Items) == b.Count }

// Item returns the item with this id.
func (b *Batch) Item(id string) (Item, bool) {
	for _, item := range b.Items {
		if item.ID == id {
			return item, true
		}
	}
	return Item{}, false
}

// Result is a finished item. Done is false and Output empty when the item was
// given up.
type Result struct {
	ID       string  `json:"id"`
	Done     bool    `json:"done"`
	Output   string  `json:"output"`
	Versions []int64 `json:"versions"`
	Score    string  `json:"score"`
}

// Page holds consecutive results of a batch. Start is the position of the first.
type Page struct {
	Start   int      `json:"start"`
	Results []Result `json:"results"`
}

// OpenTo reports whether a client account may read, end and submit again the batch: the
// account that submitted it and, if nobody's account did, all callers, with an account
// or without ("").
func (b *Batch) OpenTo(account string) bool { return b.Account == "" || b.Account == account }

// OtherAccountError is the error of a submission whose id belongs to a stored batch of
// another account, or of none. Stored is that batch without its items.
type OtherAccountError struct{ Stored *Batch }

// Error implements the error interface.
func (*OtherAccountError) Error() string { return "batch: the id belongs to another account" }

// Store reads and writes the records of batches.
type Store struct {
	store records.Store
	limit int // largest number of bytes of items in one record
	// ended holds the uptime at which the end marker of a batch was known to be stored.
	ended *lru.Cache[string, time.Duration]
}

const (
	// maxKnownEnds is the number of end markers that are remembered.
	maxKnownEnds = 256
	// endKnownFor is how long End skips the write of a marker that is known to be stored.
	// It is far below the time after which a batch and its marker are removed, so that the
	// id may name another batch.
	endKnownFor = time.Minute
)

// maxItemFraction is the fraction of the largest record that items may take.
// The rest is reserved for the encoding and the other fields.
const maxItemFraction = 0.8

// NewStore returns a Store on a record store whose records hold at most
// valueBytes.
func NewStore(store records.Store, valueBytes int) *Store {
	ended, err := lru.New[string, time.Duration](maxKnownEnds)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Store{store: store, limit: int(maxItemFraction * float64(valueBytes)), ended: ended}
}

// Accept stores the batch durably, with the items of Items. It is idempotent: a batch
// that was accepted before stays unchanged. It returns errors of the store, or an
// OtherAccountError.
func (s *Store) Accept(ctx context.Context, b *Batch) error {
	items, err := s.Encode(b.each(), 0)
	if err != nil {
		return err
	}
	return s.AcceptEncoded(ctx, b, items)
}

// AcceptEncoded is like Accept for encoded items.
func (s *Store) AcceptEncoded(ctx context.Context, b *Batch, items EncodedItems) error {
	for number, part := range items.lists[1:] {
		if err := s.createPart(ctx, b.ID, number, part); err != nil {
			// Parts without the record of the batch are never read, so the batch
			// was not accepted, whatever happened to this write.
			return fmt.Errorf("%w: %w", records.ErrRefused, err)
		}
	}
	body, err := json.Marshal(storedBatch{batchFields: batchFields(*b), Parts: len(items.lists) - 1, Count: items.Count})
	if err != nil {
		return eris.Wrap(err, "batch")
	}
	body = codec.AppendMember(body, "items", items.lists[0])
	_, err = s.store.Create(ctx, records.Record{Kind: KindBatches, Name: b.ID, Body: body})
	if err == nil || errors.Is(err, records.ErrRefused) {
		return err
	}
	stored, _, readErr := s.readHead(ctx, b.ID)
	if readErr != nil {
		return unknownOutcome(readErr)
	}
	if stored.Account != b.Account {
		return &OtherAccountError{Stored: stored}
	}
	return nil
}

// errOtherItems is the error of a batch whose id has parts of another submission, which was
// not accepted or had other items.
var errOtherItems = errors.New("batch: the id has parts with other items")

// createPart creates a part, unless an earlier attempt of the same submission has. Another
// submission with the id may have left a part with other items.
func (s *Store) createPart(ctx context.Context, id string, number int, items json.RawMessage) error {
	_, err := s.store.Create(ctx, records.Record{Kind: KindParts, Name: PageName(id, number), Body: items})
	if !errors.Is(err, records.ErrConflict) {
		return err
	}
	stored, err := s.readPart(ctx, id, number)
	if err == nil && !bytes.Equal(stored, items) {
		err = errOtherItems
	}
	return err
}

// unknownOutcome returns the error of a write that may or may not have been
// carried out, since the record could not be read back. It does not wrap the
// error of the read: a refused read says nothing about the write.
func unknownOutcome(readErr error) error {
	return fmt.Errorf("%w: %v", records.ErrUnknownOutcome, readErr)
}

// End writes the end marker of a batch, unless it is known to be stored. A conflict
// shows that it is. When the answer of the store is lost, End reads the marker back to
// learn whether it was written.
func (s *Store) End(ctx context.Context, id string) error {
	if since, known := s.ended.Get(id); known && clock.Uptime()-since < endKnownFor {
		return nil
	}
	began := clock.Uptime()
	_, err := s.store.Create(ctx, records.Record{Kind: KindEndings, Name: id, Body: []byte("{}")})
	if errors.Is(err, records.ErrRefused) {
		return err
	}
	if err != nil && !errors.Is(err, records.ErrConflict) {
		if _, readErr := s.store.Get(ctx, KindEndings, id); readErr != nil {
			return unknownOutcome(readErr)
		}
	}
	s.ended.Add(id, began)
	return nil
}

// PageName returns the record name of a page or part. Names sort by number.
func PageName(id string, number int) string { return fmt.Sprintf("%s.%06d", id, number) }

// Page returns a page, or records.ErrMissing if it has not been written yet.
func (s *Store) Page(ctx context.Context, id string, number int) (Page, error) {
	return readPage(ctx, s.store.Get, id, number)
}

// PageStale returns a page from a copy of the store that may be seconds old, so
// records.ErrMissing does not mean that the page has not been written.
func (s *Store) PageStale(ctx context.Context, id string, number int) (Page, error) {
	return readPage(ctx, s.store.GetStale, id, number)
}

func readPage(ctx context.Context, get func(context.Context, string, string) (records.Record, error), id string, number int) (Page, error) {
	r, err := get(ctx, KindPages, PageName(id, number))
	if err != nil {
		return Page{}, err
	}
	return decodePage(r)
}

// listNumbered returns the records of a kind that are named by the id of the
// batch and a number. The records of a batch whose id begins with this id and a
// dot have the same prefix; they are left out.
func (s *Store) listNumbered(ctx context.Context, kind, id string) ([]records.Record, error) {
	prefix := id + "."
	listed, err := s.store.ListFrom(ctx, kind, prefix, func(r records.Record) bool {
		return strings.HasPrefix(r.Name, prefix)
	})
	return slices.DeleteFunc(listed.Records, func(r records.Record) bool { return !isNumbered(r.Name, id) }), err
}

// isNumbered reports whether a name is that of a page or part of the batch.
func isNumbered(name, id string) bool {
	number, err := strconv.Atoi(strings.TrimPrefix(name, id+"."))
	return err == nil && name == PageName(id, number)
}

// Pages returns all pages of a batch.
func (s *Store) Pages(ctx context.Context, id string) ([]Page, error) {
	all := []Page{}
	for after, more := "", true; more; {
		pages, next, err := s.PagesAfter(ctx, id, after)
		if err != nil {
			return nil, err
		}
		all = append(all, pages...)
		after, more = next, next != ""
	}
	return all, nil
}

// PagesAfter returns the pages of a batch in one list of the store, and the value of after
// for the next list, "" if there is none. All pages of a batch may be more than a process
// can hold. For the first list, after is "".
func (s *Store) PagesAfter(ctx context.Context, id, after string) (pages []Page, next string, err error) {
	prefix := id + "."
	if after == "" {
		after = prefix
	}
	listed, err := s.store.List(ctx, KindPages, after)
	if err != nil {
		return nil, "", err
	}
	for _, r := range listed.Records {
		if !strings.HasPrefix(r.Name, prefix) {
			return pages, "", nil
		}
		if !isNumbered(r.Name, id) {
			continue
		}
		page, err := decodePage(r)
		if err != nil {
			return nil, "", err
		}
		pages = append(pages, page)
	}
	return pages, listed.Next, nil
}

// Append writes a page under its number. It returns records.ErrConflict if a
// page with this number exists.
func (s *Store) Append(ctx context.Context, id string, number int, page Page) error {
	body, err := json.Marshal(page)
	if err != nil {
		return eris.Wrap(err, "encode page")
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
