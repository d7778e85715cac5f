// Package ledger is a stand-in of the store in memory, with the faults that
// tests provoke. It keeps records by kind and name under one rising revision.
//
// # Usage
//
//	l := ledger.New()
//	store := l.Store()
//	l.Fail(ledger.Refuse)   // calls do nothing
//	l.Fail(ledger.LoseWrite) // the next write is done and not answered
//	l.Compact()             // earlier history is gone
package ledger

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

// Fault is what goes wrong with calls.
type Fault int

// The faults.
const (
	None      Fault = iota
	Refuse          // each call is refused
	LoseWrite       // the next write is done, its answer is lost
	Swallow         // the next write is neither done nor answered
	Blind           // listings and watches fail, writes work
)

// Ledger is the stand-in.
type Ledger struct {
	mu       sync.Mutex
	revision uint64
	oldest   uint64 // revision from which on history is kept
	records  map[string]map[string]records.Record
	history  []records.Record
	fault    Fault
	changed  chan struct{}
	calls    map[string]int
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		records: map[string]map[string]records.Record{}, changed: make(chan struct{}),
		calls: map[string]int{}, revision: 1,
	}
}

// Fail sets the fault of the coming calls.
func (l *Ledger) Fail(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

// Compact drops the history, so that watches from earlier revisions fail.
func (l *Ledger) Compact() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history, l.oldest = nil, l.revision
}

// Calls returns how often an operation was called.
func (l *Ledger) Calls(operation string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls[operation]
}

// Store returns a client of the ledger.
func (l *Ledger) Store() records.Store {
	return records.Store{
		Get: l.get, GetStale: l.get, List: l.list, Watch: l.watch,
		Create: l.create, Put: l.put, PutStatus: l.putStatus, Delete: l.remove,
	}
}

// begin counts a call and returns the error of a store that refuses it.
func (l *Ledger) begin(operation string) error {
	l.calls[operation]++
	if l.fault == Refuse || l.fault == Blind && operation != "write" && operation != "get" {
		return records.ErrRefused
	}
	return nil
}

func (l *Ledger) get(_ context.Context, kind, name string) (records.Record, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.begin("get"); err != nil {
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
	if err := l.begin("list"); err != nil {
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
	err := l.begin("watch")
	l.mu.Unlock()
	if err != nil {
		return records.Changes{}, err
	}
	for {
		changes, changed, err := l.since(kind, after)
		if err != nil || len(changes.Records) > 0 {
			return changes, err
		}
		select {
		case <-changed:
			if l.blind() {
				return records.Changes{}, records.ErrUnknownOutcome
			}
		case <-timer.C:
			return changes, nil
		case <-ctx.Done():
			return records.Changes{}, records.ErrUnknownOutcome
		}
	}
}

func (l *Ledger) blind() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault == Blind
}

func (l *Ledger) since(kind string, after uint64) (records.Changes, <-chan struct{}, error) {
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
		return current.WithBody(r.Body), expect(r, current, found)
	})
}

func (l *Ledger) putStatus(_ context.Context, r records.Record) (records.Record, error) {
	return l.write(r, func(current records.Record, found bool) (records.Record, error) {
		return current.WithStatus(r.Status), expect(r, current, found)
	})
}

// expect checks the condition that a record has the revision of r, if any.
func expect(r, current records.Record, found bool) error {
	if !found {
		return records.ErrMissing
	}
	if r.Revision != 0 && r.Revision != current.Revision {
		return records.ErrConflict
	}
	return nil
}

func (l *Ledger) write(r records.Record, change func(records.Record, bool) (records.Record, error)) (records.Record, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.begin("write"); err != nil {
		return r, err
	}
	fault := l.fault
	if fault == LoseWrite || fault == Swallow {
		l.fault = None
	}
	if fault == Swallow {
		return r, records.ErrUnknownOutcome
	}
	current, found := l.records[r.Kind][r.Name]
	next, err := change(current, found)
	if err != nil {
		return r, err
	}
	r = l.store(next)
	if fault == LoseWrite {
		return r, records.ErrUnknownOutcome
	}
	return r, nil
}

func (l *Ledger) store(r records.Record) records.Record {
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
	if err := l.begin("write"); err != nil {
		return err
	}
	r, found := l.records[kind][name]
	if !found {
		return records.ErrMissing
	}
	r.Deleted = true
	l.store(r)
	return nil
}
