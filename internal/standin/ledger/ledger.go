// Package ledger is an in-memory stand-in for the record store that injects
// faults on request. It keeps records by kind and name; one revision counter
// numbers all writes.
//
// # Usage
//
//	l := ledger.New()
//	store := l.Store()
//	l.SetFault(ledger.Refuse)       // all calls are refused
//	l.SetFault(ledger.LoseResponse) // the next write is applied, but its response is lost
//	l.Compact()                     // watches from earlier revisions fail
package ledger

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

// Fault is a way in which calls fail.
type Fault int

// The faults. LoseResponse and DropWrite affect the next create or update and then
// reset to None; the others stay until the next SetFault.
const (
	None               Fault = iota
	Refuse                   // all calls are refused
	LoseResponse             // the next write is applied, but its response is lost
	DropWrite                // the next write is not applied and gets no response
	RefuseListAndWatch       // listings and watches fail; gets and writes work
)

// Ledger is the in-memory store.
type Ledger struct {
	mu       sync.Mutex
	revision uint64
	oldest   uint64 // watches from earlier revisions fail
	records  map[string]map[string]records.Record
	history  []records.Record
	fault    Fault
	changed  chan struct{} // closed and replaced by each write
	calls    map[string]int
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		records: map[string]map[string]records.Record{}, changed: make(chan struct{}),
		calls: map[string]int{}, revision: 1,
	}
}

// SetFault sets the fault that the next calls meet; None ends it.
func (l *Ledger) SetFault(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

// Compact discards the history, so that watches from earlier revisions fail.
func (l *Ledger) Compact() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history, l.oldest = nil, l.revision
}

// Calls returns the number of calls of an operation: get, list, watch or write.
func (l *Ledger) Calls(operation string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls[operation]
}

// Store returns the ledger's operations as a records.Store.
func (l *Ledger) Store() records.Store {
	return records.Store{
		Get: l.get, GetStale: l.get, List: l.list, Watch: l.watch,
		Create: l.create, Put: l.put, PutStatus: l.putStatus, Delete: l.remove,
	}
}

// beginCall counts a call and returns an error if the current fault refuses it;
// the caller holds the lock.
func (l *Ledger) beginCall(operation string) error {
	l.calls[operation]++
	if l.fault == Refuse || l.fault == RefuseListAndWatch && operation != "write" && operation != "get" {
		return records.ErrRefused
	}
	return nil
}

func (l *Ledger) get(_ context.Context, kind, name string) (records.Record, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.beginCall("get"); err != nil {
		return records.Record{}, err
	}
	r, found := l.records[kind][name]
	if !found {
		return records.Record{}, records.ErrMissing
	}
	return r, nil
}

func (l *Ledger) list(_ context.Context, kind, after string) (records.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.beginCall("list"); err != nil {
		return records.Page{}, err
	}
	page := records.Page{Revision: l.revision}
	for name, r := range l.records[kind] {
		if name > after {
			page.Records = append(page.Records, r)
		}
	}
	sort.Slice(page.Records, func(i, j int) bool { return page.Records[i].Name < page.Records[j].Name })
	return page, nil
}

func (l *Ledger) watch(ctx context.Context, kind string, after uint64, wait time.Duration) (records.Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	l.mu.Lock()
	err := l.beginCall("watch")
	l.mu.Unlock()
	if err != nil {
		return records.Changes{}, err
	}
	for {
		changes, changed, err := l.changesSince(kind, after)
		if err != nil || len(changes.Records) > 0 {
			return changes, err
		}
		select {
		case <-changed:
			if l.refusesWatch() {
				return records.Changes{}, records.ErrUnknownOutcome
			}
		case <-timer.C:
			return changes, nil
		case <-ctx.Done():
			return records.Changes{}, records.ErrUnknownOutcome
		}
	}
}

func (l *Ledger) refusesWatch() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault == RefuseListAndWatch
}

// changesSince returns the changes of a kind after a revision, and a channel that
// is closed by the next write.
func (l *Ledger) changesSince(kind string, after uint64) (records.Changes, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if after < l.oldest {
		return records.Changes{}, nil, records.ErrCompacted
	}
	changes := records.Changes{Revision: l.revision}
	for _, r := range l.history {
		if r.Kind == kind && r.Revision > after {
			changes.Records = append(changes.Records, r)
		}
	}
	return changes, l.changed, nil
}

func (l *Ledger) create(_ context.Context, r records.Record) (records.Record, error) {
	return l.write(r, func(_ records.Record, found bool) (records.Record, error) {
		if found {
			return r, records.ErrConflict
		}
		return r, nil
	})
}

func (l *Ledger) put(_ context.Context, r records.Record) (records.Record, error) {
	return l.write(r, func(current records.Record, found bool) (records.Record, error) {
		return current.WithBody(r.Body), checkRevision(r, current, found)
	})
}

func (l *Ledger) putStatus(_ context.Context, r records.Record) (records.Record, error) {
	return l.write(r, func(current records.Record, found bool) (records.Record, error) {
		return current.WithStatus(r.Status), checkRevision(r, current, found)
	})
}

// checkRevision returns an error if the record does not exist, or if r names a
// revision and the record has another one.
func checkRevision(r, current records.Record, found bool) error {
	if !found {
		return records.ErrMissing
	}
	if r.Revision != 0 && r.Revision != current.Revision {
		return records.ErrConflict
	}
	return nil
}

// write applies an update to a record, or fails as the current fault demands.
func (l *Ledger) write(r records.Record, update func(records.Record, bool) (records.Record, error)) (records.Record, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.beginCall("write"); err != nil {
		return r, err
	}
	fault := l.fault
	if fault == LoseResponse || fault == DropWrite {
		l.fault = None
	}
	if fault == DropWrite {
		return r, records.ErrUnknownOutcome
	}
	current, found := l.records[r.Kind][r.Name]
	next, err := update(current, found)
	if err != nil {
		return r, err
	}
	r = l.commit(next)
	if fault == LoseResponse {
		return r, records.ErrUnknownOutcome
	}
	return r, nil
}

// commit stores a record under the next revision and wakes the watches; the
// caller holds the lock.
func (l *Ledger) commit(r records.Record) records.Record {
	l.revision++
	r.Revision = l.revision
	if l.records[r.Kind] == nil {
		l.records[r.Kind] = map[string]records.Record{}
	}
	if r.Deleted {
		delete(l.records[r.Kind], r.Name)
	} else {
		l.records[r.Kind][r.Name] = r
	}
	l.history = append(l.history, r)
	close(l.changed)
	l.changed = make(chan struct{})
	return r
}

func (l *Ledger) remove(_ context.Context, kind, name string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.beginCall("write"); err != nil {
		return err
	}
	r, found := l.records[kind][name]
	if !found {
		return records.ErrMissing
	}
	r.Deleted = true
	l.commit(r)
	return nil
}
