package usage

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
)

const (
	// ownerTimeout is how long an owner may be silent before a holder seals its
	// records. A live owner asks for a confirmation every confirmInterval. The
	// view of members is no substitute: it lags behind, and it lists a restarted
	// owner although that has lost the records of its earlier incarnation.
	ownerTimeout = 5 * confirmInterval
	// overdueWindows is how many windows after their own window records may
	// remain unsealed. A holder then seals them even if the owner is alive,
	// because the owner may be cut off from the platform.
	overdueWindows = 2
	// heldLimit is the largest number of other instances' records to hold. It
	// bounds the memory, about 100 bytes a record, during a platform outage.
	heldLimit = 500_000
)

type ownerKey struct{ owner, incarnation string }

// heldTail is a copy of an owner's tail. lastContact is the zero time if the
// owner's incarnation has ended: a newer one has called, or the tail comes from
// this instance's data folder.
type heldTail struct {
	tail
	lastContact time.Time
}

// holder keeps second copies of other instances' records, and the records of
// this instance's earlier incarnations that were found in the data folder.
type holder struct {
	log *Log

	mu      sync.Mutex
	tails   map[ownerKey]*heldTail
	entries int // number of entries in all tails
}

func newHolder(l *Log) *holder {
	return &holder{log: l, tails: map[ownerKey]*heldTail{}}
}

func (h *holder) size() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.entries
}

// Hold stores those entries of the request that follow the entries held, and
// drops entries below the request's base, which the owner knows to be sealed.
func (h *holder) Hold(_ context.Context, r *HoldRequest) (*HoldResponse, error) {
	if r.Owner == "" || r.Incarnation == "" || r.Base == 0 || r.From < r.Base {
		return nil, twirp.InvalidArgumentError("base", "the request needs an owner, an incarnation and indexes from 1")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.entries+len(r.Entries) > heldLimit {
		return nil, twirp.NewError(twirp.ResourceExhausted, "the instance holds too many unsealed records")
	}
	key := ownerKey{r.Owner, r.Incarnation}
	t, ok := h.tails[key]
	if !ok {
		t = &heldTail{tail: tail{owner: r.Owner, incarnation: r.Incarnation, base: r.Base}}
		h.tails[key] = t
	}
	h.noteContact(t)
	before := len(t.entries)
	t.trim(r.Base - 1)
	if next := t.through() + 1; r.From <= next && next-r.From < uint64(len(r.Entries)) {
		for _, e := range r.Entries[next-r.From:] {
			t.entries = append(t.entries, fromProto(e))
		}
	}
	h.entries += len(t.entries) - before
	through := t.through()
	h.dropEmpty(key)
	return &HoldResponse{Through: through}, nil
}

// noteContact records that the owner is alive and that its earlier incarnations
// are not. It skips tails of this instance itself: they come from the file of an
// earlier incarnation. The caller holds mu.
func (h *holder) noteContact(t *heldTail) {
	if t.owner == h.log.settings.ID {
		return
	}
	t.lastContact = h.log.timers.Now()
	for key, other := range h.tails {
		if key.owner == t.owner && key.incarnation < t.incarnation {
			other.lastContact = time.Time{}
		}
	}
}

// dropEmpty forgets a tail without entries. The caller holds mu.
func (h *holder) dropEmpty(key ownerKey) {
	if t := h.tails[key]; t != nil && len(t.entries) == 0 {
		delete(h.tails, key)
	}
}

// sealDue seals the records of owners that are silent or have a newer incarnation,
// and records that are overdue. If the owner turns out to be alive, nothing is
// lost: it continues after the last sealed index.
func (h *holder) sealDue(ctx context.Context) {
	now, current := h.log.timers.Now(), h.log.currentWindow()
	for key, t := range h.snapshot() {
		before := current - overdueWindows
		if now.Sub(t.lastContact) >= ownerTimeout {
			before = math.MaxInt64
		}
		if !h.sealTail(ctx, key, t.tail, before) {
			return
		}
	}
}

// sealAll seals all records held. It is called before this instance stops.
func (h *holder) sealAll(ctx context.Context) {
	for key, t := range h.snapshot() {
		if !h.sealTail(ctx, key, t.tail, math.MaxInt64) {
			return
		}
	}
}

// snapshot returns a copy of the tails for use without the lock.
func (h *holder) snapshot() map[ownerKey]heldTail {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[ownerKey]heldTail, len(h.tails))
	for key, t := range h.tails {
		out[key] = *t
	}
	return out
}

// sealTail seals the records of one tail before the given window and reports
// whether that succeeded.
func (h *holder) sealTail(ctx context.Context, key ownerKey, t tail, before int64) bool {
	through, err := t.seal(ctx, h.log.seams.Create, h.log.settings.ID, before)
	h.mu.Lock()
	if held := h.tails[key]; held != nil && through >= held.base {
		size := len(held.entries)
		held.trim(through)
		h.entries += len(held.entries) - size
		h.dropEmpty(key)
		h.log.sealed.Add("held", 1)
	}
	_, remaining := h.tails[key]
	h.mu.Unlock()
	if h.log.folder != nil && key.owner == h.log.settings.ID && !remaining {
		h.log.folder.remove(key.incarnation)
	}
	if err != nil {
		h.log.log.WithField(logs.Peer, key.owner).WithField(logs.Cause, err.Error()).Warn("held usage records could not be sealed")
	}
	return err == nil
}
