package batch

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

// KindTexts is the kind of the records that hold parts of unfinished texts. They
// are a cache: their loss costs only the time to generate the texts again.
const KindTexts = "texts"

// TextSlots is the number of records with texts, and textReaders how many of them
// are read at a time.
const (
	TextSlots   = 8
	textReaders = 3
)

// SaveTexts replaces the record of a slot below TextSlots. The body is a JSON value.
func (s *Store) SaveTexts(ctx context.Context, slot int, body []byte) error {
	record := records.Record{Kind: KindTexts, Name: textName(slot), Body: body}
	_, err := s.store.Put(ctx, record)
	if errors.Is(err, records.ErrMissing) {
		_, err = s.store.Create(ctx, record)
	}
	return err
}

func textName(slot int) string { return fmt.Sprintf("%02d", slot) }

// Texts returns the bodies that were saved in all slots, the oldest first. It leaves
// out those that cannot be read before ctx ends, and returns the error of one of them.
// The records are large, so that each is read by a call of its own.
func (s *Store) Texts(ctx context.Context) ([][]byte, error) {
	var mu sync.Mutex
	var read []records.Record
	var failure error
	var readers errgroup.Group
	readers.SetLimit(textReaders)
	for slot := range TextSlots {
		readers.Go(func() error {
			r, err := s.store.Get(ctx, KindTexts, textName(slot))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				read = append(read, r)
			case !errors.Is(err, records.ErrMissing):
				failure = err
			}
			return nil
		})
	}
	_ = readers.Wait() // the readers return no errors
	slices.SortFunc(read, func(a, b records.Record) int { return cmp.Compare(a.Revision, b.Revision) })
	bodies := make([][]byte, 0, len(read))
	for _, r := range read {
		bodies = append(bodies, r.Body)
	}
	return bodies, failure
}
