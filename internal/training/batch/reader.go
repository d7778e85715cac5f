package batch

import (
	"context"
	"errors"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

const (
	// keptBatches bounds the memory for batches that callers read.
	keptBatches = 24
	// pollPeriod is the pause between two looks for a page that a caller waits
	// for.
	pollPeriod = 330 * time.Millisecond
)

// Reader serves batches and results from the store and keeps what it has read.
type Reader struct {
	shelf  *Shelf
	timers *clock.Service
	mu     sync.Mutex
	kept   *lru.Cache[string, *shelved]
}

// shelved is a batch with the results that were read so far.
type shelved struct {
	batch   *Batch
	mu      sync.Mutex
	pages   int
	results []Result
}

// NewReader returns a reader.
func NewReader(shelf *Shelf, timers *clock.Service) *Reader {
	kept, err := lru.New[string, *shelved](keptBatches)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Reader{shelf: shelf, timers: timers, kept: kept}
}

func (r *Reader) find(ctx context.Context, id string) (*shelved, error) {
	r.mu.Lock()
	s, found := r.kept.Get(id)
	r.mu.Unlock()
	if found {
		return s, nil
	}
	b, err := r.shelf.Read(ctx, id)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, found := r.kept.Get(id); found {
		return s, nil
	}
	s = &shelved{batch: b}
	r.kept.Add(id, s)
	return s, nil
}

// Batch returns a batch, or records.ErrMissing.
func (r *Reader) Batch(ctx context.Context, id string) (*Batch, error) {
	s, err := r.find(ctx, id)
	if err != nil {
		return nil, err
	}
	return s.batch, nil
}

// Results returns the results from position after on, and waits up to wait for
// the first of them.
func (r *Reader) Results(ctx context.Context, id string, after int, wait time.Duration) ([]Result, error) {
	s, err := r.find(ctx, id)
	if err != nil {
		return nil, err
	}
	deadline := r.timers.Now().Add(wait)
	for {
		results, err := s.from(ctx, r.shelf, after)
		if err != nil || len(results) > 0 || after >= len(s.batch.Items) {
			return results, err
		}
		left := deadline.Sub(r.timers.Now())
		if left <= 0 {
			return nil, nil
		}
		if err := r.timers.Sleep(ctx, min(left, pollPeriod)); err != nil {
			return nil, err
		}
	}
}

// from returns the known results from a position on, and looks for further
// pages when there are none.
func (s *shelved) from(ctx context.Context, shelf *Shelf, after int) ([]Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.results) <= after {
		if err := s.refresh(ctx, shelf); err != nil {
			return nil, err
		}
	}
	if after >= len(s.results) {
		return nil, nil
	}
	return s.results[after:len(s.results):len(s.results)], nil
}

// refresh reads the pages that were written since the last look.
func (s *shelved) refresh(ctx context.Context, shelf *Shelf) error {
	for len(s.results) < len(s.batch.Items) {
		page, err := shelf.Page(ctx, s.batch.ID, s.pages)
		if errors.Is(err, records.ErrMissing) {
			return nil
		}
		if err != nil {
			return err
		}
		s.results = append(s.results, page.Results...)
		s.pages++
	}
	return nil
}
