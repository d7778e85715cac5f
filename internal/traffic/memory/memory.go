// Package memory limits the total size of the bodies that a process holds in
// memory. Bodies come from outside and each may be large; without a common limit
// a few of them would exhaust a small machine's memory.
//
// # Usage
//
//	budget := memory.NewBudget(32 << 20)
//	share := budget.Share()
//	defer share.Release()
//	body, err := share.ReadAll(reader, length, limit)
//
// # Errors
//
// ErrFull means that other bodies currently use the budget. ErrTooLarge means
// that the body exceeds its own limit.
package memory

import (
	"errors"
	"io"

	"golang.org/x/sync/semaphore"
)

var (
	// ErrFull is returned when the budget is used up. A later attempt may
	// succeed.
	ErrFull = errors.New("memory: the budget for bodies is used up")
	// ErrTooLarge is returned for a body that exceeds its own limit.
	ErrTooLarge = errors.New("memory: the body is larger than its limit")
)

// initialBufferBytes is the size of the first buffer for a body of unknown
// length.
const initialBufferBytes = 4 << 10

// Budget limits the number of bytes that all bodies together may hold. It is
// safe for concurrent use.
type Budget struct {
	size int64
	free *semaphore.Weighted
}

// NewBudget returns a budget of size bytes.
func NewBudget(size int64) *Budget {
	return &Budget{size: size, free: semaphore.NewWeighted(size)}
}

// Share returns an empty share of the budget.
func (b *Budget) Share() *Share { return &Share{budget: b, factor: 1} }

// Share is the part of the budget that one request holds. It is not safe for
// concurrent use.
type Share struct {
	budget *Budget
	held   int64
	factor int64
}

// WithFactor returns a share that charges each byte factor times, for bodies of
// which decoded copies are made.
func (s *Share) WithFactor(factor int64) *Share {
	return &Share{budget: s.budget, held: s.held, factor: factor}
}

// Grow extends the share to size bytes and reports whether the budget allowed
// it. The charge for one share is capped at the whole budget, so that a single
// body of any size can be held.
func (s *Share) Grow(size int64) bool {
	more := min(size*s.factor, s.budget.size) - s.held
	if more <= 0 {
		return true
	}
	if !s.budget.free.TryAcquire(more) {
		return false
	}
	s.held += more
	return true
}

// Release returns all bytes to the budget. The share can be used again.
func (s *Share) Release() {
	s.budget.free.Release(s.held)
	s.held = 0
}

// ReadAll reads a body of at most limit bytes. length is the announced length,
// or negative if it is unknown. On an error ReadAll also returns what it has
// read so far.
func (s *Share) ReadAll(r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	size := length
	if size < 0 {
		size = initialBufferBytes
	}
	var body []byte
	for {
		size = min(size, limit) + 1 // the extra byte detects the end of the body, or a body over its limit
		if !s.Grow(size) {
			return body, ErrFull
		}
		body = append(make([]byte, 0, size), body...)
		for len(body) < cap(body) {
			n, err := r.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
			if errors.Is(err, io.EOF) {
				return body, checkLimit(body, limit)
			}
			if err != nil {
				return body, err
			}
		}
		if err := checkLimit(body, limit); err != nil {
			return body, err
		}
		size *= 2
	}
}

func checkLimit(body []byte, limit int64) error {
	if int64(len(body)) > limit {
		return ErrTooLarge
	}
	return nil
}
