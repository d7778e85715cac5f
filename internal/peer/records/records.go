// Package records defines the interface of the system's persistent store. A
// record has a kind, a name and the revision of its last change. Writes are
// conditional on the revision, and watches return the changes of a kind. The
// adapter for a store's protocol provides the functions of Store.
//
// # Usage
//
//	record, err := store.Get(ctx, "lease", "main")
//	record, err = store.Put(ctx, record.WithBody(body)) // fails with ErrConflict when it changed
//
// # Errors
//
// ErrMissing, ErrConflict and ErrCompacted are definite responses of the store.
// ErrRefused means that the call had no effect. ErrUnknownOutcome means that a
// write may have been applied, or may still be applied as long as its condition
// holds.
package records

import (
	"context"
	"errors"
	"time"
)

// The errors of calls.
var (
	ErrMissing        = errors.New("no such record")
	ErrConflict       = errors.New("the record has another revision")
	ErrCompacted      = errors.New("the history since that revision is gone")
	ErrRefused        = errors.New("the store refused the call and did nothing")
	ErrUnknownOutcome = errors.New("the store did not answer")
)

// Record is one revision of a record. Body and Status are JSON values, written
// separately by Put and PutStatus. Deleted marks the deletion of the record.
type Record struct {
	Kind, Name string
	Revision   uint64
	Body       []byte
	Status     []byte
	Deleted    bool
}

// WithBody returns a copy of the record with the given body.
func (r Record) WithBody(body []byte) Record {
	r.Body = body
	return r
}

// WithStatus returns a copy of the record with the given status.
func (r Record) WithStatus(status []byte) Record {
	r.Status = status
	return r
}

// Page is a page of a kind's records, sorted by name. Next is the value of after
// for the next page and empty on the last page. Revision is the revision of the
// store when the page was read.
type Page struct {
	Records  []Record
	Next     string
	Revision uint64
}

// Changes are the changes of a kind after a revision, up to Revision.
type Changes struct {
	Records  []Record
	Revision uint64
}

// Store is a client of the store. Put and PutStatus replace the body or the
// status of a record if its current revision is that of the argument, or
// unconditionally if that revision is 0. Create fails with ErrConflict when a
// record with the name exists.
type Store struct {
	Get      func(ctx context.Context, kind, name string) (Record, error)
	GetStale func(ctx context.Context, kind, name string) (Record, error) // cheap, but the record may be seconds out of date
	List     func(ctx context.Context, kind, after string) (Page, error)
	// ListShared is like List, but the page may be that of another process's list, up
	// to MaxSharedAge old. It may be nil.
	ListShared func(ctx context.Context, kind, after string) (Page, error)
	Watch      func(ctx context.Context, kind string, after uint64, wait time.Duration) (Changes, error)
	Create     func(ctx context.Context, record Record) (Record, error)
	Put        func(ctx context.Context, record Record) (Record, error)
	PutStatus  func(ctx context.Context, record Record) (Record, error)
	Delete     func(ctx context.Context, kind, name string) error
}

// MaxSharedAge bounds the age of a shared page. It is far below the shortest bound of
// freshness (2 s), and those who use the page watch the kind from its revision on.
const MaxSharedAge = 400 * time.Millisecond

// Shared returns a store whose List may return pages of other processes' lists. A page that
// is older than the first one lacks changes that a watch from the revision of the first one
// does not tell of; it is read again. The store is for one list.
func (s Store) Shared() Store {
	if s.ListShared == nil {
		return s
	}
	var first uint64
	shared := s
	shared.List = func(ctx context.Context, kind, after string) (Page, error) {
		page, err := s.ListShared(ctx, kind, after)
		if err == nil && page.Revision < first {
			return s.List(ctx, kind, after)
		}
		if first == 0 {
			first = page.Revision
		}
		return page, err
	}
	return shared
}

// ListAll returns all records of a kind, with the revision of the first page.
func (s Store) ListAll(ctx context.Context, kind string) (Page, error) {
	return s.ListFrom(ctx, kind, "", func(Record) bool { return true })
}

// EachPage calls onPage for each page of a kind's records, until it returns an error. All
// pages at once may be more than a process can hold.
func (s Store) EachPage(ctx context.Context, kind string, onPage func(Page) error) error {
	for after, more := "", true; more; {
		page, err := s.List(ctx, kind, after)
		if err != nil {
			return err
		}
		if err := onPage(page); err != nil {
			return err
		}
		after, more = page.Next, page.Next != ""
	}
	return nil
}

// ListFrom returns the records of a kind whose names come after the given one, up
// to the first record for which more returns false. Their revision is that of the
// first page.
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
