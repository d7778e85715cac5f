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
	find   Find
	follow Follow
	timers *clock.Service
	mu     sync.Mutex
	kept   *lru.Cache[string, *shelved]
}

// Find asks a worker for a batch. It reports false when the worker does not know
// it, which does not mean that there is none.
type Find func(ctx context.Context, id string) (*Batch, bool)

// Follow asks the worker that carries out a batch for the pages after the known
// ones, and waits for the first of them. It reports false when no worker knows.
type Follow func(ctx context.Context, id string, known int, wait time.Duration) ([]Page, bool)

// shelved is a batch with the results that were read so far.
type shelved struct {
	batch   *Batch
	mu      sync.Mutex
	pages   int
	results []Result
}

// NewReader returns a reader.
func NewReader(shelf *Shelf, find Find, follow Follow, timers *clock.Service) *Reader {
	kept, err := lru.New[string, *shelved](keptBatches)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Reader{shelf: shelf, find: find, follow: follow, timers: timers, kept: kept}
}

func (r *Reader) open(ctx context.Context, id string) (*shelved, error) {
	r.mu.Lock()
	s, found := r.kept.Get(id)
	r.mu.Unlock()
	if found {
		return s, nil
	}
	b, told := r.find(ctx, id)
	if !told {
		var err error
		if b, err = r.shelf.Read(ctx, id); err != nil {
			return nil, err
		}
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
	s, err := r.open(ctx, id)
	if err != nil {
		return nil, err
	}
	return s.batch, nil
}

// Results returns the results from position after on, and waits up to wait for
// the first of them.
func (r *Reader) Results(ctx context.Context, id string, after int, wait time.Duration) ([]Result, error) {
	s, err := r.open(ctx, id)
	if err != nil {
		return nil, err
	}
	deadline := r.timers.Now().Add(wait)
	for {
		results, pages := s.known(after)
		if len(results) > 0 || after >= len(s.batch.Items) {
			return results, nil
		}
		more, told := r.follow(ctx, id, pages, max(0, deadline.Sub(r.timers.Now())))
		if !told {
			return r.poll(ctx, s, after, deadline)
		}
		if len(more) == 0 {
			return nil, nil
		}
		s.add(pages, more)
	}
}

// poll looks for results in the store until the deadline. The first look is
// exact, so that the answer is at most as old as the wait. The looks that
// follow may be stale, since these are cheap.
func (r *Reader) poll(ctx context.Context, s *shelved, after int, deadline time.Time) ([]Result, error) {
	for look := r.shelf.Page; ; look = r.shelf.PageStale {
		if err := s.refresh(ctx, look); err != nil {
			return nil, err
		}
		if results, _ := s.known(after); len(results) > 0 {
			return results, nil
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

// lookup reads one page of a batch.
type lookup func(ctx context.Context, id string, number int) (Page, error)

// known returns the results from a position on that were read, and the number
// of pages that were.
func (s *shelved) known(after int) ([]Result, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after >= len(s.results) {
		return nil, s.pages
	}
	return s.results[after:len(s.results):len(s.results)], s.pages
}

// add takes pages from the given number on.
func (s *shelved) add(number int, pages []Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, page := range pages {
		if number+i == s.pages {
			s.results = append(s.results, page.Results...)
			s.pages++
		}
	}
}

// refresh reads the pages that were written since the last look.
func (s *shelved) refresh(ctx context.Context, look lookup) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.results) < len(s.batch.Items) {
		page, err := look(ctx, s.batch.ID, s.pages)
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
