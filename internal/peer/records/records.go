// Package records describes the store in which everything lasting lies: named
// records in kinds, each with the revision of its last change, written under
// conditions and followed by watches. The functions are filled in by whoever
// knows the store's protocol.
//
// # Usage
//
//	record, err := store.Get(ctx, "lease", "main")
//	record, err = store.Put(ctx, record.WithBody(body)) // fails with ErrConflict when it changed
//
// # Errors
//
// ErrMissing, ErrConflict and ErrHistory are answers of the store. ErrRefused
// means that nothing was done. ErrUnsure means that a write may have been done
// or may still be done while its condition holds.
package records

import (
	"context"
	"errors"
	"time"
)

// The outcomes of calls.
var (
	ErrMissing  = errors.New("no such record")
	ErrConflict = errors.New("the record has another revision")
	ErrHistory  = errors.New("the history since that revision is gone")
	ErrRefused  = errors.New("the store refused the call and did nothing")
	ErrUnsure   = errors.New("the store did not answer")
)

// Record is one version of a record. Body and Status are JSON values. Made is
// the revision of its creation where the store tells it.
type Record struct {
	Kind, Name string
	Revision   uint64
	Body       []byte
	Status     []byte
	Gone       bool
}

// WithBody returns a copy with another body.
func (r Record) WithBody(body []byte) Record {
	r.Body = body
	return r
}

// WithStatus returns a copy with another status.
func (r Record) WithStatus(status []byte) Record {
	r.Status = status
	return r
}

// Page is part of a kind's records, in the order of names. Next is empty on
// the last page. Revision is the store's when the page was read.
type Page struct {
	Records  []Record
	Next     string
	Revision uint64
}

// Changes are the changes of a kind after a revision.
type Changes struct {
	Records  []Record
	Revision uint64
}

// Store is a client of the store. Put and PutStatus replace a record if its
// revision is the given one, or whatever is there when the revision is 0.
// Create fails with ErrConflict when the name is taken.
type Store struct {
	Get       func(ctx context.Context, kind, name string) (Record, error)
	GetStale  func(ctx context.Context, kind, name string) (Record, error) // cheap; may be seconds old
	List      func(ctx context.Context, kind, after string) (Page, error)
	Watch     func(ctx context.Context, kind string, after uint64, wait time.Duration) (Changes, error)
	Create    func(ctx context.Context, record Record) (Record, error)
	Put       func(ctx context.Context, record Record) (Record, error)
	PutStatus func(ctx context.Context, record Record) (Record, error)
	Delete    func(ctx context.Context, kind, name string) error
}

// ListAll reads all pages of a kind.
func (s Store) ListAll(ctx context.Context, kind string) (Page, error) {
	return s.ListFrom(ctx, kind, "", func(Record) bool { return true })
}

// ListFrom reads the records of a kind whose names follow after, while more
// returns true.
func (s Store) ListFrom(ctx context.Context, kind, after string, more func(Record) bool) (Page, error) {
	var all Page
	for {
		page, err := s.List(ctx, kind, after)
		if err != nil {
			return Page{}, err
		}
		if all.Revision == 0 {
			all.Revision = page.Revision
		}
		for _, r := range page.Records {
			if !more(r) {
				return all, nil
			}
			all.Records = append(all.Records, r)
		}
		if page.Next == "" {
			return all, nil
		}
		after = page.Next
	}
}
