package batch

import (
	"context"
	"errors"

	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

// Remove deletes the record of a batch, then its pages and parts. Its end marker
// stays.
func (s *Store) Remove(ctx context.Context, id string) error {
	if err := s.deleteRecord(ctx, KindBatches, id); err != nil {
		return err
	}
	return s.removePagesAndParts(ctx, id)
}

// RemoveEndMarker deletes the end marker of a batch that was removed, after the
// pages and parts that an interrupted removal has left.
func (s *Store) RemoveEndMarker(ctx context.Context, id string) error {
	if err := s.removePagesAndParts(ctx, id); err != nil {
		return err
	}
	return s.deleteRecord(ctx, KindEndings, id)
}

func (s *Store) removePagesAndParts(ctx context.Context, id string) error {
	for _, kind := range []string{KindPages, KindParts} {
		listed, err := s.listNumbered(ctx, kind, id)
		if err != nil {
			return err
		}
		for _, r := range listed {
			if err := s.deleteRecord(ctx, kind, r.Name); err != nil {
				return err
			}
		}
	}
	return nil
}

// deleteRecord deletes a record, which may be missing.
func (s *Store) deleteRecord(ctx context.Context, kind, name string) error {
	if err := s.store.Delete(ctx, kind, name); err != nil && !errors.Is(err, records.ErrMissing) {
		return err
	}
	return nil
}
