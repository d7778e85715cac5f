// Package memory bounds the bytes of bodies that a process holds at once.
// Bodies come from outside and each may be large; without a common bound a few
// of them would take a small machine's memory.
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
// ErrFull means that other bodies hold the budget now. ErrTooLarge means that
// the body exceeds its own limit.
package memory

import (
	"errors"
	"io"

	"golang.org/x/sync/semaphore"
)

var (
	// ErrFull is returned when the budget is used up.
	ErrFull = errors.New("memory: the budget for bodies is used up")
	// ErrTooLarge is returned for a body over its limit.
	ErrTooLarge = errors.New("memory: the body is larger than its limit")
)

// firstBuffer is the size in bytes of the first buffer for a body of unknown
// length.
const firstBuffer = 4 << 10

// Budget is the number of bytes that all bodies may hold together. It is safe
// for concurrent use.
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

// Share is what one request holds of the budget. It is not safe for concurrent
// use.
type Share struct {
	budget *Budget
	held   int64
	factor int64
}

// WithFactor returns a share that charges each byte that many times, for
// bodies of which decoded copies are made.
func (s *Share) WithFactor(factor int64) *Share {
	return &Share{budget: s.budget, held: s.held, factor: factor}
}

// Grow makes the share cover size bytes and reports whether the budget allowed
// it. A single body may hold the whole budget, whatever its size.
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

// Release gives all bytes back. The share can be used again.
func (s *Share) Release() {
	s.budget.free.Release(s.held)
	s.held = 0
}

// ReadAll reads a body of at most limit bytes. length is the announced length,
// or negative. On ErrFull and ErrTooLarge it returns what was read.
func (s *Share) ReadAll(r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	size := length
	if size < 0 {
		size = firstBuffer
	}
	var body []byte
	for {
		size = min(size, limit) + 1 // the byte more shows the end, or a body over its limit
		if !s.Grow(size) {
			return body, ErrFull
		}
		body = append(make([]byte, 0, size), body...)
		for len(body) < cap(body) {
			n, err := r.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
			if errors.Is(err, io.EOF) {
				return body, within(body, limit)
			}
			if err != nil {
				return body, err
			}
		}
		if err := within(body, limit); err != nil {
			return body, err
		}
		size *= 2
	}
}

func within(body []byte, limit int64) error {
	if int64(len(body)) > limit {
		return ErrTooLarge
	}
	return nil
}
