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
	// silentTime is how long an owner may leave out its confirmations, which
	// come every confirmInterval, before a holder seals its records. The view
	// of members is not asked: it lags behind, and a restarted owner is listed
	// although it no longer has the records of its earlier incarnation.
	silentTime = 5 * confirmInterval
	// overdueWindows is how many windows after their own records may stay
	// unsealed before a holder seals them although the owner confirms: the
	// owner may be cut off from the platform.
	overdueWindows = 2
	// heldLimit bounds the memory for other instances' records (about 100
	// bytes each) during a platform outage.
	heldLimit = 500_000
)

type ownerKey struct{ owner, incarnation string }

// heldChain is a copy of an owner's chain.
type heldChain struct {
	chain
	heard time.Time
}

// holder keeps second copies of other instances' records.
type holder struct {
	log *Log

	mu      sync.Mutex
	chains  map[ownerKey]*heldChain
	entries int
}

func newHolder(l *Log) *holder {
	return &holder{log: l, chains: map[ownerKey]*heldChain{}}
}

func (h *holder) size() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.entries
}

// Hold stores the entries that follow those held and drops what the owner has
// seen sealed.
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
	c, ok := h.chains[key]
	if !ok {
		c = &heldChain{chain: chain{owner: r.Owner, incarnation: r.Incarnation, base: r.Base}}
		h.chains[key] = c
	}
	h.hear(c)
	before := len(c.entries)
	c.trim(r.Base - 1)
	if next := c.through() + 1; r.From <= next && next-r.From < uint64(len(r.Entries)) {
		for _, e := range r.Entries[next-r.From:] {
			c.entries = append(c.entries, unwire(e))
		}
	}
	h.entries += len(c.entries) - before
	through := c.through()
	h.dropEmpty(key)
	return &HoldResponse{Through: through}, nil
}

// hear notes that the owner is alive and that its earlier incarnations are not.
// Records of this instance itself come from an earlier incarnation's file. The
// caller holds mu.
func (h *holder) hear(c *heldChain) {
	if c.owner == h.log.settings.ID {
		return
	}
	c.heard = h.log.timers.Now()
	for key, other := range h.chains {
		if key.owner == c.owner && key.incarnation < c.incarnation {
			other.heard = time.Time{}
		}
	}
}

func (h *holder) dropEmpty(key ownerKey) {
	if c := h.chains[key]; c != nil && len(c.entries) == 0 {
		delete(h.chains, key)
	}
}

// sealDead seals the records of owners that are silent or have a newer
// incarnation, and records that are overdue. An owner that is alive
// after all loses nothing: it continues after the last index sealed.
func (h *holder) sealDead(ctx context.Context) {
	now, current := h.log.timers.Now(), h.log.currentWindow()
	for key, c := range h.snapshot() {
		before := current - overdueWindows
		if now.Sub(c.heard) >= silentTime {
			before = math.MaxInt64
		}
		if !h.sealChain(ctx, key, c.chain, before) {
			return
		}
	}
}

// sealAll seals everything held, before this instance stops.
func (h *holder) sealAll(ctx context.Context) {
	for key, c := range h.snapshot() {
		if !h.sealChain(ctx, key, c.chain, math.MaxInt64) {
			return
		}
	}
}

func (h *holder) snapshot() map[ownerKey]heldChain {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[ownerKey]heldChain, len(h.chains))
	for key, c := range h.chains {
		out[key] = *c
	}
	return out
}

// sealChain seals one owner's records and reports whether the store answered.
func (h *holder) sealChain(ctx context.Context, key ownerKey, c chain, before int64) bool {
	through, err := c.seal(ctx, h.log.seams.Create, h.log.settings.ID, before)
	h.mu.Lock()
	if held := h.chains[key]; held != nil && through >= held.base {
		size := len(held.entries)
		held.trim(through)
		h.entries += len(held.entries) - size
		h.dropEmpty(key)
		h.log.sealed.Add("held", 1)
	}
	_, left := h.chains[key]
	h.mu.Unlock()
	if h.log.folder != nil && key.owner == h.log.settings.ID && !left {
		h.log.folder.remove(key.incarnation)
	}
	if err != nil {
		h.log.log.WithField(logs.Peer, key.owner).WithField(logs.Cause, err.Error()).Warn("held usage records could not be sealed")
	}
	return err == nil
}
