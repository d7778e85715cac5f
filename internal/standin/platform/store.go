package platform

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"
)

// object is one object of the store. A deleted one is kept as a tombstone.
type object struct {
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
}

type objectList struct {
	Revision uint64   `json:"revision"`
	Objects  []object `json:"objects"`
}

// maxUndoBytes bounds the total size of the old values kept for rollback.
const maxUndoBytes = 64 << 20

// undo is the state of an object before the write that made a revision.
type undo struct {
	revision uint64
	before   object
	existed  bool
}

// store is a revisioned object store with conditional updates.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	// changed holds, by kind, a channel that is closed at the next change.
	changed  map[string]chan struct{}
	undos    []undo
	undoSize int
	// rolledBack is the state from which reads are served during a rollback; nil otherwise.
	rolledBack *store
}

func newStore() *store {
	return &store{kinds: map[string]map[string]object{}, changed: map[string]chan struct{}{}}
}

func (s *store) get(kind, name string) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.readStore().kinds[kind][name]
	return o, ok && !o.Deleted
}

// readStore returns the store from which reads are served. The caller holds s.mu.
func (s *store) readStore() *store {
	if s.rolledBack != nil {
		return s.rolledBack
	}
	return s
}

// update writes or deletes an object if its revision equals expected; 0 means
// that the object must not exist. It returns the written object and true, or
// the current object and false.
func (s *store) update(kind, name string, expected uint64, value json.RawMessage, remove bool) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, existed := s.kinds[kind][name]
	revision := current.Revision
	if current.Deleted {
		revision = 0
	}
	if !existed {
		current = object{Kind: kind, Name: name, Deleted: true}
	}
	if revision != expected || (remove && revision == 0) {
		return current, false
	}
	s.revision++
	next := object{Kind: kind, Name: name, Revision: s.revision, Value: value, Deleted: remove}
	s.appendUndo(undo{revision: s.revision, before: current, existed: existed})
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][name] = next
	s.notify(kind)
	return next, true
}

func (s *store) appendUndo(u undo) {
	s.undos = append(s.undos, u)
	s.undoSize += len(u.before.Value)
	for s.undoSize > maxUndoBytes {
		s.undoSize -= len(s.undos[0].before.Value)
		s.undos = s.undos[1:]
	}
}

func (s *store) notify(kind string) {
	if c, ok := s.changed[kind]; ok {
		close(c)
		delete(s.changed, kind)
	}
}

func (s *store) notifyAll() {
	for kind := range s.changed {
		s.notify(kind)
	}
}

// list returns the objects of a kind changed after a revision, and a channel that
// is closed at the next change of the kind.
func (s *store) list(kind string, after uint64) (objectList, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := s.readStore()
	found := objectList{Revision: from.revision, Objects: []object{}}
	for _, o := range from.kinds[kind] {
		if o.Revision > after {
			found.Objects = append(found.Objects, o)
		}
	}
	slices.SortFunc(found.Objects, func(a, b object) int { return int(int64(a.Revision) - int64(b.Revision)) })
	if s.changed[kind] == nil {
		s.changed[kind] = make(chan struct{})
	}
	return found, s.changed[kind]
}

// watch returns the objects changed after a revision. If there are none, it waits
// up to the given time for a change.
func (s *store) watch(ctx context.Context, kind string, after uint64, wait time.Duration) objectList {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		found, changed := s.list(kind, after)
		if len(found.Objects) > 0 || wait <= 0 {
			return found
		}
		select {
		case <-changed:
		case <-timer.C:
			return found
		case <-ctx.Done():
			return found
		}
	}
}

// stateAt returns the store as it was at a revision, or at the oldest one that the
// undo log reaches.
func (s *store) stateAt(revision uint64) *store {
	old := newStore()
	for kind, objects := range s.kinds {
		old.kinds[kind] = make(map[string]object, len(objects))
		for name, o := range objects {
			old.kinds[kind][name] = o
		}
	}
	old.revision = s.revision
	for _, u := range slices.Backward(s.undos) {
		if u.revision <= revision {
			break
		}
		if u.existed {
			old.kinds[u.before.Kind][u.before.Name] = u.before
		} else {
			delete(old.kinds[u.before.Kind], u.before.Name)
		}
		old.revision = u.revision - 1
	}
	return old
}

// rollback serves reads from the state at revision until endRollback is called.
// With restore it replaces the store's content and revision by that state for
// good. It returns the revision reached.
func (s *store) rollback(revision uint64, restore bool) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.stateAt(revision)
	if restore {
		s.kinds, s.revision, s.rolledBack = old.kinds, old.revision, nil
		s.undos = slices.DeleteFunc(s.undos, func(u undo) bool { return u.revision > old.revision })
	} else {
		s.rolledBack = old
	}
	s.notifyAll()
	return old.revision
}

func (s *store) endRollback() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rolledBack = nil
	s.notifyAll()
}

func (s *store) currentRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}
