package main

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

// history is how long the store keeps its history, as the installations' sheets say.
const history = 20 * time.Second

// change is one entry of the history.
type change struct {
	at     time.Time
	record records.Record
}

// ledger holds the records of the store.
type recordLedger struct {
	mu       sync.Mutex
	revision uint64
	oldest   uint64 // watches from earlier revisions get 410
	records  map[string]map[string]records.Record
	history  []change
	changed  chan struct{}
}

func newLedger() *recordLedger {
	return &recordLedger{revision: 100, oldest: 100, records: map[string]map[string]records.Record{}, changed: make(chan struct{})}
}

func (l *recordLedger) get(kind, name string) (records.Record, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, found := l.records[kind][name]
	if !found {
		return records.Record{}, records.ErrMissing
	}
	return r, nil
}

func (l *recordLedger) list(kind, after string) ([]records.Record, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []records.Record
	for name, r := range l.records[kind] {
		if name > after {
			found = append(found, r)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	return found, l.revision
}

// watch returns the changes after a revision as soon as there is one.
func (l *recordLedger) watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]records.Record, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		l.forget()
		if after < l.oldest {
			l.mu.Unlock()
			return nil, 0, records.ErrCompacted
		}
		var found []records.Record
		at := sort.Search(len(l.history), func(i int) bool { return l.history[i].record.Revision > after })
		for _, c := range l.history[at:] {
			if c.record.Kind == kind {
				found = append(found, c.record)
			}
		}
		revision, changed := l.revision, l.changed
		l.mu.Unlock()
		if len(found) > 0 {
			return found, revision, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, records.ErrUnknownOutcome
		}
	}
}

// forget drops what is older than the history; l.mu is held.
func (l *recordLedger) forget() {
	n := 0
	for n < len(l.history) && time.Since(l.history[n].at) > history {
		l.oldest = l.history[n].record.Revision
		n++
	}
	l.history = l.history[n:]
}

// put creates a record or replaces its body or status under a condition.
func (l *recordLedger) put(r records.Record, create, status bool) (records.Record, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current, found := l.records[r.Kind][r.Name]
	switch {
	case create && found:
		return current, records.ErrConflict
	case !create && !found:
		return r, records.ErrMissing
	case !create && r.Revision != 0 && r.Revision != current.Revision:
		return current, records.ErrConflict
	}
	next := r
	if !create {
		next = current
		if status {
			next.Status = r.Status
		} else {
			next.Body = r.Body
		}
	}
	next.Deleted = false
	return l.commit(next), nil
}

func (l *recordLedger) commit(r records.Record) records.Record {
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
	l.history = append(l.history, change{time.Now(), r})
	close(l.changed)
	l.changed = make(chan struct{})
	return r
}

func (l *recordLedger) remove(kind, name string) (records.Record, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, found := l.records[kind][name]
	if !found {
		return records.Record{Kind: kind, Name: name}, records.ErrMissing
	}
	r.Deleted = true
	return l.commit(r), nil
}
