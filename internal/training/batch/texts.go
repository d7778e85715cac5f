package batch

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

// KindTexts is the kind of the records that hold parts of unfinished texts. They
// are a cache: their loss costs only the time to generate the texts again.
const KindTexts = "texts"

// SaveTexts replaces the record of a slot. The body is a JSON value.
func (s *Store) SaveTexts(ctx context.Context, slot int, body []byte) error {
	record := records.Record{Kind: KindTexts, Name: fmt.Sprintf("%02d", slot), Body: body}
	_, err := s.store.Put(ctx, record)
	if errors.Is(err, records.ErrMissing) {
		_, err = s.store.Create(ctx, record)
	}
	return err
}

// Texts returns the bodies that were saved in all slots, the oldest first.
func (s *Store) Texts(ctx context.Context) ([][]byte, error) {
	listed, err := s.store.ListAll(ctx, KindTexts)
	if err != nil {
		return nil, err
	}
	slices.SortFunc(listed.Records, func(a, b records.Record) int { return cmp.Compare(a.Revision, b.Revision) })
	bodies := make([][]byte, 0, len(listed.Records))
	for _, r := range listed.Records {
		bodies = append(bodies, r.Body)
	}
	return bodies, nil
}
