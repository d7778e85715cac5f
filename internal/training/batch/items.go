package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"iter"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"

	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

// The memory that parts of an item take in bytes, besides their texts.
const (
	itemOverhead   = 144
	headerOverhead = 320
	fieldOverhead  = 32
	rewardOverhead = 128
)

// MemorySize returns an estimate of the memory that the item takes, in bytes.
func (i *Item) MemorySize() int64 {
	size := itemOverhead + len(i.ID) + len(i.Path) + len(i.Body) + len(i.Group)
	if len(i.Header) > 0 {
		size += headerOverhead
	}
	for name, value := range i.Header {
		size += fieldOverhead + len(name) + len(value)
	}
	if r := i.Reward; r != nil {
		size += rewardOverhead + len(r.ID) + len(r.Host) + len(r.Path) + len(r.Body)
	}
	return int64(size)
}

// Check returns an error that names the field if the item, or its scoring call, cannot be
// sent as a request: an id, path or host with a space or a control character, or a header
// field that is none.
func (i *Item) Check() error {
	fields := [][2]string{{"id", i.ID}, {"path", i.Path}}
	if r := i.Reward; r != nil {
		fields = append(fields, [][2]string{{"id of the scoring call", r.ID}, {"path of the scoring call", r.Path}, {"host of the scoring call", r.Host}}...)
	}
	for _, field := range fields {
		if strings.ContainsFunc(field[1], isSpaceOrControl) {
			return eris.Errorf("the %s %.100q has a space or a control character", field[0], field[1])
		}
	}
	for name, value := range i.Header {
		if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
			return eris.Errorf("the header field %.100q is none, or its value %.100q", name, value)
		}
	}
	return nil
}

func isSpaceOrControl(c rune) bool { return c <= ' ' || c == 0x7f }

// each yields the items that the batch holds.
func (b *Batch) each() iter.Seq2[Item, error] {
	return func(yield func(Item, error) bool) {
		for _, item := range b.Items {
			if !yield(item, nil) {
				return
			}
		}
	}
}

// EncodedItems are the items of a batch as the records of the store hold them. Count is
// their number.
type EncodedItems struct {
	Count int
	lists []json.RawMessage // one for each record, the first for that of the batch
}

// Size returns the size of the items in bytes.
func (e EncodedItems) Size() int64 {
	size := 0
	for _, list := range e.lists {
		size += len(list)
	}
	return int64(size)
}

// Records returns the number of records that hold the items.
func (e EncodedItems) Records() int { return len(e.lists) }

// Encode encodes items for AcceptEncoded. It holds none of them decoded. size is their
// expected size in bytes, 0 if it is not known. It returns the error that items yields.
func (s *Store) Encode(items iter.Seq2[Item, error], size int) (EncodedItems, error) {
	var encoded EncodedItems
	var item, list bytes.Buffer
	list.Grow(min(size, s.limit))
	held := 0 // bytes of the items in the list, without separators
	encoder := json.NewEncoder(&item)
	encoder.SetEscapeHTML(false) // it would make some items six times as large
	flush := func() {
		list.WriteByte(']')
		encoded.lists = append(encoded.lists, list.Bytes())
		list, held = bytes.Buffer{}, 0
	}
	for next, err := range items {
		if err != nil {
			return EncodedItems{}, err
		}
		item.Reset()
		if err := encoder.Encode(next); err != nil {
			return EncodedItems{}, eris.Wrap(err, "item")
		}
		text := bytes.TrimSuffix(item.Bytes(), []byte("\n"))
		// A release that divides the items in another way must not continue a submission
		// of this one: parts that exist are not written again.
		if held > 0 && held+len(text) > s.limit {
			flush()
			list.Grow(s.limit)
		}
		separator := byte(',')
		if list.Len() == 0 {
			separator = '['
		}
		list.WriteByte(separator)
		list.Write(text)
		held += len(text)
		encoded.Count++
	}
	if list.Len() == 0 {
		list.WriteByte('[')
	}
	flush()
	return encoded, nil
}

// batchFields has the fields of Batch, for embedding.
type batchFields Batch

// storedBatch is the record of a batch, whose items are encoded. Its fields shadow those
// of the embedded fields.
type storedBatch struct {
	batchFields
	Items json.RawMessage `json:"items,omitempty"`
	Parts int             `json:"parts,omitempty"`
	Count int             `json:"count,omitempty"`
}

// decode decodes the record of a batch into its head and its encoded items, without those
// of its parts.
func decode(r records.Record) (*Batch, json.RawMessage, error) {
	var stored storedBatch
	if err := json.Unmarshal(r.Body, &stored); err != nil {
		return nil, nil, eris.Wrapf(err, "batch %s", r.Name)
	}
	head := Batch(stored.batchFields)
	head.Parts, head.Count = stored.Parts, stored.Count
	return &head, stored.Items, nil
}

// readHead returns the head of a batch as it is stored, and the encoded items of its
// record.
func (s *Store) readHead(ctx context.Context, id string) (*Batch, json.RawMessage, error) {
	r, err := s.store.Get(ctx, KindBatches, id)
	if err != nil {
		return nil, nil, err
	}
	return decode(r)
}

// ReadHead returns the head of a batch. Its Count may be unknown, which is 0.
func (s *Store) ReadHead(ctx context.Context, id string) (*Batch, error) {
	head, _, err := s.readHead(ctx, id)
	return head, err
}

// Read returns a batch. It has its items if they take at most limit bytes of memory and
// lie in one record, else none.
func (s *Store) Read(ctx context.Context, id string, limit int64) (*Batch, error) {
	r, err := s.store.Get(ctx, KindBatches, id)
	if err != nil {
		return nil, err
	}
	b, err := s.FromRecord(ctx, r)
	if err != nil {
		return nil, err
	}
	if !b.Whole() || b.MemorySize() > limit {
		return b.Head(), nil
	}
	return b, nil
}

// MemorySize returns an estimate of the memory that the items of Items take, in bytes.
func (b *Batch) MemorySize() int64 {
	var size int64
	for i := range b.Items {
		size += b.Items[i].MemorySize()
	}
	return size
}

// FromRecord decodes the record of a batch, with the items of this record only.
func (s *Store) FromRecord(ctx context.Context, r records.Record) (*Batch, error) {
	b, encoded, err := decode(r)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(orNull(encoded), &b.Items); err != nil {
		return nil, eris.Wrapf(err, "batch %s", r.Name)
	}
	if b.Count == 0 {
		b.Count, err = s.count(ctx, b)
	}
	return b, err
}

// orNull returns the JSON text null for no text.
func orNull(text json.RawMessage) json.RawMessage {
	if len(text) == 0 {
		return json.RawMessage("null")
	}
	return text
}

// count returns the number of the items of a batch. The record of a batch that an earlier
// release accepted does not have it.
func (s *Store) count(ctx context.Context, b *Batch) (int, error) {
	count := len(b.Items)
	for part := range b.Parts {
		encoded, err := s.readPart(ctx, b.ID, part)
		if err != nil {
			return 0, err
		}
		err = codec.EachElement(encoded, func(json.RawMessage) error {
			count++
			return nil
		})
		if err != nil {
			return 0, eris.Wrapf(err, "part %d of batch %s", part, b.ID)
		}
	}
	return count, nil
}

// readPart returns the encoded items of a part.
func (s *Store) readPart(ctx context.Context, id string, part int) (json.RawMessage, error) {
	r, err := s.store.Get(ctx, KindParts, PageName(id, part))
	if err != nil {
		return nil, fmt.Errorf("part %d: %w", part, hideMissing(err))
	}
	return r.Body, nil
}

// hideMissing replaces ErrMissing, so that a missing part is not reported as a
// missing batch.
func hideMissing(err error) error {
	if errors.Is(err, records.ErrMissing) {
		return records.ErrUnknownOutcome
	}
	return err
}

// Cursor is a position among the items of a batch. Record is 0 for the record of the batch
// and N+1 for its part N, and Index is the number of the items before it in that record.
type Cursor struct{ Record, Index int }

// AtEnd reports whether no item of the batch follows the cursor.
func (b *Batch) AtEnd(at Cursor) bool {
	return at.Record > b.Parts || at.Record == 0 && b.Parts == 0 && at.Index >= b.Count
}

// ReadItems returns the items of a batch from a cursor on that one record holds, as many
// as cost at most limit together but at least one, and the cursor behind them.
func (s *Store) ReadItems(ctx context.Context, b *Batch, at Cursor, limit int64, cost func(*Item) int64) ([]Item, Cursor, error) {
	encoded, err := s.readRecord(ctx, b, at.Record)
	if err != nil {
		return nil, at, err
	}
	var items []Item
	var size int64
	index := 0
	err = codec.EachElement(encoded, func(text json.RawMessage) error {
		if index++; index <= at.Index {
			return nil
		}
		var item Item
		if err := json.Unmarshal(text, &item); err != nil {
			return eris.Wrapf(err, "record %d of batch %s", at.Record, b.ID)
		}
		if size += cost(&item); size > limit && len(items) > 0 {
			return errEnough
		}
		items = append(items, item)
		return nil
	})
	switch {
	case errors.Is(err, errEnough):
		return items, Cursor{Record: at.Record, Index: at.Index + len(items)}, nil
	case err != nil:
		return nil, at, err
	}
	return items, Cursor{Record: at.Record + 1}, nil
}

// errEnough ends the decoding of items.
var errEnough = errors.New("batch: enough items are read")

// readRecord returns the encoded items of a record of a batch. It returns
// records.ErrMissing if another batch has taken the place of this one.
func (s *Store) readRecord(ctx context.Context, b *Batch, number int) (json.RawMessage, error) {
	if number > 0 {
		return s.readPart(ctx, b.ID, number-1)
	}
	stored, encoded, err := s.readHead(ctx, b.ID)
	if err == nil && (stored.Account != b.Account || !stored.Time.Equal(b.Time)) {
		err = records.ErrMissing
	}
	return encoded, err
}

// Item returns an item of a batch, and whether the batch has it. It reads the records of
// the batch one after the other.
func (s *Store) Item(ctx context.Context, b *Batch, id string) (item Item, found bool, err error) {
	for number := 0; number <= b.Parts; number++ {
		encoded, err := s.readRecord(ctx, b, number)
		if err != nil {
			return Item{}, false, err
		}
		err = codec.EachElement(encoded, func(text json.RawMessage) error {
			var key struct {
				ID string `json:"id"`
			}
			if err := json.Unmarshal(text, &key); err != nil || key.ID != id {
				return err
			}
			if err := json.Unmarshal(text, &item); err != nil {
				return err
			}
			return errEnough
		})
		if errors.Is(err, errEnough) {
			return item, true, nil
		}
		if err != nil {
			return Item{}, false, eris.Wrapf(err, "record %d of batch %s", number, b.ID)
		}
	}
	return Item{}, false, nil
}
