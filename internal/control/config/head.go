package config

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
	"github.com/wigeonpin/wigeonpin/internal/peer/objects"
)

const (
	objectKind = "config"
	headName   = "head"

	// checkpointChanges is the number of changes after which a snapshot of the
	// table is written. It bounds the head to some 100 KB with usual rows.
	checkpointChanges = 256
	// checkpointBytes triggers a checkpoint earlier when rows are large. A head
	// may exceed it by one batch and must stay below the platform's 1 MB.
	checkpointBytes = 512 << 10
	// tailChanges is the number of changes that stay in the head after a
	// checkpoint, so that the outcome of a recent edit whose answer was lost can
	// still be found. tailBytes bounds their size.
	tailChanges = 64
	tailBytes   = 128 << 10
	// maxPageBytes bounds one page of a snapshot.
	maxPageBytes = 512 << 10
	// fullReadPolls is the number of polls between full reads of the head. Full
	// reads detect a store that was rolled back and has since passed its earlier
	// revision.
	fullReadPolls = 128
)

// head is the value of the object config/head. Base is the sequence of the
// snapshot that it extends, Previous that of the snapshot before. Changes holds
// the changes after Base, preceded by a tail of earlier ones.
type head struct {
	Sequence uint64   `json:"sequence"`
	Base     uint64   `json:"base"`
	Previous uint64   `json:"previous,omitempty"`
	Changes  []change `json:"changes"`
}

// change is one accepted edit. The row's revision equals the sequence.
type change struct {
	Sequence uint64    `json:"sequence"`
	EditID   string    `json:"edit_id"`
	Row      table.Row `json:"row"`
}

// page is the value of one page of a snapshot object.
type page struct {
	Sequence uint64      `json:"sequence"`
	Pages    int         `json:"pages"`
	Rows     []table.Row `json:"rows"`
}

func (h head) findEdit(editID string) (change, bool) {
	i := slices.IndexFunc(h.Changes, func(c change) bool { return c.EditID == editID })
	if i < 0 {
		return change{}, false
	}
	return h.Changes[i], true
}

// rowsAfter returns the rows changed after a sequence, or false when the head
// no longer holds all of them.
func (h head) rowsAfter(sequence uint64) ([]table.Row, bool) {
	var rows []table.Row
	for _, c := range h.Changes {
		if c.Sequence > sequence {
			rows = append(rows, c.Row)
		}
	}
	return rows, sequence >= h.Base || uint64(len(rows)) == h.Sequence-sequence
}

// rows returns the rows of all changes.
func (h head) rows() []table.Row {
	out := make([]table.Row, 0, len(h.Changes))
	for _, c := range h.Changes {
		out = append(out, c.Row)
	}
	return out
}

// holdsAllAfter reports whether the head holds all changes after a sequence.
func (h head) holdsAllAfter(sequence uint64) bool {
	return h.Sequence <= sequence || (len(h.Changes) > 0 && h.Changes[0].Sequence <= sequence+1)
}

func pageName(sequence uint64, number int) string {
	if number == 0 {
		return fmt.Sprintf("table-%d", sequence)
	}
	return fmt.Sprintf("table-%d-%d", sequence, number)
}

// callStart is what was known when a call to the platform was sent. An answer may
// only be compared with that, since the table can advance during the call.
type callStart struct {
	sentAt                      time.Time
	sequence                    uint64
	headRevision, storeRevision uint64
}

func (c *Config) startCall() callStart {
	c.mu.Lock()
	defer c.mu.Unlock()
	return callStart{sentAt: c.timers.Now(), sequence: c.state.table.Sequence(), headRevision: c.state.headRevision, storeRevision: c.state.storeRevision}
}

// poll asks the platform for changes and records what its answer proves.
func (c *Config) poll(ctx context.Context, full bool) {
	start := c.startCall()
	c.mu.Lock()
	// While the platform could not be reached, the store may have been rolled back
	// and have passed its earlier revision again.
	full = full || c.state.platformBehind || !c.state.lastCallAnswered
	c.mu.Unlock()
	c.platformCalls.Add("list", 1)
	answer, err := c.seams.Store.List(ctx, objectKind, start.storeRevision, 0)
	// A store revision below an earlier one shows older data, whatever the head
	// holds: a newer head may exist that this answer does not show.
	regressed := err == nil && answer.Revision < start.storeRevision
	if err == nil && (full || regressed) {
		err = c.readHead(ctx, start, regressed)
	} else if err == nil {
		err = c.applyPage(ctx, start, answer)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.state.storeRevision = max(c.state.storeRevision, answer.Revision)
	}
	c.recordPlatformCall(start.sentAt, err == nil)
	c.state.triedPlatform = true
	c.publish()
}

// recordPlatformCall records the outcome of a call to the platform. mu is held.
func (c *Config) recordPlatformCall(sent time.Time, ok bool) {
	if c.state.lastCallAnswered != ok && c.state.triedPlatform {
		c.log.WithField("reached", ok).Info("reachability of the platform changed")
	}
	c.state.lastCallAnswered, c.state.lastCallAt = ok, sent
}

func (c *Config) applyPage(ctx context.Context, start callStart, answer objects.Page) error {
	for _, o := range slices.Backward(answer.Objects) {
		if o.Name == headName {
			return c.applyHead(ctx, start, o, false)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordProof(start.sentAt)
	return nil
}

// readHead reads the head and applies it.
func (c *Config) readHead(ctx context.Context, start callStart, regressed bool) error {
	c.platformCalls.Add("get", 1)
	o, found, err := c.seams.Store.Get(ctx, objectKind, headName)
	if err != nil {
		return err
	}
	if !found {
		o = objects.Object{Kind: objectKind, Name: headName}
	}
	return c.applyHead(ctx, start, o, regressed)
}

// applyHead applies the changes in a head that the platform returned. regressed
// is set when the answer is known to show older data.
func (c *Config) applyHead(ctx context.Context, start callStart, o objects.Object, regressed bool) error {
	var h head
	if len(o.Value) > 0 && !o.Deleted {
		if err := json.Unmarshal(o.Value, &h); err != nil {
			return eris.Wrap(err, "decode head")
		}
	}
	c.mu.Lock()
	diverged := c.diverges(h)
	c.mu.Unlock()
	rows, whole := h.rowsAfter(start.sequence)
	full := h.Sequence > start.sequence && (!whole || diverged)
	if full {
		snapshot, err := c.readSnapshot(ctx, h.Base)
		if err != nil {
			return err
		}
		rows = append(snapshot, rows...)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.state
	own := s.table.Sequence()
	if regressed || h.Sequence < start.sequence || o.Revision < start.headRevision || (diverged && h.Sequence == own) {
		if !s.platformBehind {
			c.log.WithField(logs.Sequence, start.sequence).WithField("platform_sequence", h.Sequence).
				Warn("the platform returns older data than was accepted")
		}
		s.platformBehind, s.staleHead, s.staleRevision = true, h, o.Revision
		return nil
	}
	apply := c.applyRows
	if full {
		apply = c.replaceTable
	}
	if apply(h.Sequence, rows) {
		if s.recent == nil {
			s.recent = h.rows()
		}
		s.tableRevision = o.Revision
		c.pushAll("")
	}
	s.platformBehind, s.hasTable = false, true
	if o.Revision >= s.headRevision {
		s.head, s.headRevision = h, o.Revision
	}
	c.recordProof(start.sentAt)
	return nil
}

// diverges reports whether a head belongs to another history than the table: it
// has a different change at the table's sequence. That happens when an instance
// without contact to the others accepts edits on a store that was rolled back.
// mu is held.
func (c *Config) diverges(h head) bool {
	own := c.state.table.Sequence()
	i := slices.IndexFunc(h.Changes, func(ch change) bool { return ch.Sequence == own })
	return i >= 0 && c.state.lastHash != 0 && hashRow(h.Changes[i].Row) != c.state.lastHash
}

// readSnapshot reads all pages of a snapshot.
func (c *Config) readSnapshot(ctx context.Context, sequence uint64) ([]table.Row, error) {
	var rows []table.Row
	for number, pages := 0, 1; number < pages; number++ {
		c.platformCalls.Add("get", 1)
		o, found, err := c.seams.Store.Get(ctx, objectKind, pageName(sequence, number))
		if err != nil {
			return nil, err
		}
		if !found {
			return nil, eris.Errorf("snapshot %s does not exist", pageName(sequence, number))
		}
		var p page
		if err := json.Unmarshal(o.Value, &p); err != nil {
			return nil, eris.Wrapf(err, "decode %s", o.Name)
		}
		rows, pages = append(rows, p.Rows...), p.Pages
	}
	return rows, nil
}

// writeSnapshot creates the pages of a snapshot. The first page is written last,
// so that a snapshot whose first page exists is complete. Existing pages with the
// same content are kept.
func (c *Config) writeSnapshot(ctx context.Context, t *table.Table) error {
	pages := paginate(t)
	for number, p := range slices.Backward(pages) {
		value, err := json.Marshal(p)
		if err != nil {
			return eris.Wrap(err, "encode snapshot")
		}
		c.platformCalls.Add("put", 1)
		_, err = c.seams.Store.Put(ctx, objectKind, pageName(t.Sequence(), number), 0, value)
		if current, conflict := objects.Conflict(err); conflict && samePage(current.Value, value) {
			continue
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func paginate(t *table.Table) []page {
	pages := []page{{Sequence: t.Sequence(), Rows: []table.Row{}}}
	size := 0
	for _, r := range t.Rows() {
		// Names and field names take up to some 200 bytes of a row.
		rowSize := len(r.Value) + 200
		if size+rowSize > maxPageBytes && size > 0 {
			pages = append(pages, page{Sequence: t.Sequence()})
			size = 0
		}
		last := &pages[len(pages)-1]
		last.Rows = append(last.Rows, r)
		size += rowSize
	}
	for i := range pages {
		pages[i].Pages = len(pages)
	}
	return pages
}

func samePage(a, b []byte) bool {
	var left, right any
	return json.Unmarshal(a, &left) == nil && json.Unmarshal(b, &right) == nil && reflect.DeepEqual(left, right)
}

// writeBack restores the table at the platform after the platform returned older
// data, and adds the edits of a replaced history. Edits that only the platform
// has are kept, with new sequences.
func (c *Config) writeBack(ctx context.Context) {
	c.mu.Lock()
	s := c.state
	diverged := c.diverges(s.staleHead)
	c.mu.Unlock()
	if !s.platformBehind && len(s.unmerged) == 0 {
		return
	}
	if s.platformBehind && s.snapshotSequence != s.table.Sequence() {
		if err := c.writeSnapshot(ctx, s.table); err != nil {
			c.log.WithError(err).Warn("the snapshot for the write-back cannot be written")
			return
		}
		c.mu.Lock()
		c.state.snapshotSequence = s.table.Sequence()
		c.mu.Unlock()
	}
	base, extra, revision := s.head, s.unmerged, s.headRevision
	if s.platformBehind {
		own := s.table.Sequence()
		base, revision = head{Sequence: own, Base: own}, s.staleRevision
		// A gap in the tail would make accepted edits look as if they had not been.
		if s.head.Sequence == own {
			base.Changes = tail(s.head.Changes)
		}
		extra = append(slices.Clone(s.unmerged), s.staleHead.Changes...)
	}
	next, merged := mergeChanges(base, s.table, extra)
	if len(merged) == 0 && diverged && s.platformBehind {
		next, merged = repeatLastRow(next, s.table)
	}
	if len(merged) == 0 && !s.platformBehind {
		c.mu.Lock()
		c.state.unmerged = nil
		c.mu.Unlock()
		return
	}
	value, err := json.Marshal(next)
	if err != nil {
		c.log.WithError(err).Error("head cannot be encoded")
		return
	}
	start := c.startCall()
	c.platformCalls.Add("put", 1)
	o, err := c.seams.Store.Put(ctx, objectKind, headName, revision, value)
	if current, conflict := objects.Conflict(err); conflict {
		c.resolveWriteBackConflict(ctx, start, current)
		return
	}
	if err != nil {
		c.log.WithError(err).Warn("write-back failed")
		return
	}
	c.log.WithField(logs.Sequence, next.Sequence).Warn("wrote the accepted table back to the platform")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.platformBehind, c.state.head, c.state.unmerged = false, next, nil
	// The store's revision counter was rolled back and does not recover, so later
	// answers are compared with the new revision.
	c.state.headRevision, c.state.storeRevision = o.Revision, o.Revision
	if c.applyRows(next.Sequence, merged) {
		c.state.tableRevision = o.Revision
		c.pushAll("")
	}
	c.recordProof(start.sentAt)
}

// resolveWriteBackConflict applies the head that a refused write-back returned.
// It is newer than what reads return, so it may prove freshness, but the platform
// counts as behind until a read agrees.
func (c *Config) resolveWriteBackConflict(ctx context.Context, start callStart, current objects.Object) {
	c.mu.Lock()
	behind := c.state.platformBehind
	c.mu.Unlock()
	if err := c.applyHead(ctx, start, current, false); err != nil {
		c.log.WithError(err).Warn("current head cannot be read")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.platformBehind = c.state.platformBehind || behind
}

// mergeChanges adds to a head those of the extra changes that it lacks, with the
// sequences that follow its own, and returns their rows. For two changes of one
// row the one with the higher sequence wins.
func mergeChanges(base head, t *table.Table, extra []change) (head, []table.Row) {
	next := base
	next.Changes = slices.Clone(base.Changes)
	var merged []table.Row
	for _, ch := range extra {
		_, held := next.findEdit(ch.EditID)
		if held || t.RowOrTombstone(ch.Row.Table, ch.Row.Name).Revision >= ch.Sequence {
			continue
		}
		row := ch.Row
		row.Revision = next.Sequence + 1
		after, err := t.With(row)
		if err != nil {
			continue
		}
		t = after
		next.Sequence = row.Revision
		next.Changes = append(next.Changes, change{Sequence: row.Revision, EditID: ch.EditID, Row: row})
		merged = append(merged, row)
	}
	return next, merged
}

// repeatLastRow adds the table's last row again under the next sequence. Of two
// histories of the same length one must become longer, so that instances with the
// other one switch to it.
func repeatLastRow(base head, t *table.Table) (head, []table.Row) {
	rows := t.Rows()
	if len(rows) == 0 {
		return base, nil
	}
	row := rows[len(rows)-1]
	row.Revision = base.Sequence + 1
	id := fmt.Sprintf("advance-%d", row.Revision)
	base.Sequence = row.Revision
	base.Changes = append(slices.Clone(base.Changes), change{Sequence: row.Revision, EditID: id, Row: row})
	return base, []table.Row{row}
}

// tail returns the last changes, within the limits for those that stay in the
// head after a checkpoint.
func tail(changes []change) []change {
	from, size := len(changes), 0
	for from > 0 && len(changes)-from < tailChanges && size < tailBytes {
		from--
		size += len(changes[from].Row.Value)
	}
	return slices.Clone(changes[from:])
}

// removeSnapshot deletes the pages of a snapshot that no head refers to.
func (c *Config) removeSnapshot(ctx context.Context, sequence uint64) {
	for number, pages := 0, 1; number < pages; number++ {
		c.platformCalls.Add("get", 1)
		o, found, err := c.seams.Store.Get(ctx, objectKind, pageName(sequence, number))
		if err != nil || !found {
			return
		}
		var p page
		if json.Unmarshal(o.Value, &p) == nil {
			pages = p.Pages
		}
		c.platformCalls.Add("delete", 1)
		if err := c.seams.Store.Delete(ctx, objectKind, o.Name, o.Revision); err != nil {
			c.log.WithError(err).Debug("an old snapshot page cannot be deleted")
			return
		}
	}
}

// pollLoop polls the platform twice in each exchange period while this instance
// is a relay or suspects an outage. A relay then writes back what the platform
// lost.
func (c *Config) pollLoop(ctx context.Context) {
	ticks := c.timers.Subscribe(c.period / 2)
	defer ticks.Stop()
	for round := 0; ; round++ {
		c.mu.Lock()
		unreachable := c.platformUnreachable()
		c.mu.Unlock()
		// The jitter spreads the calls of many instances that wait for the end of an
		// outage.
		if unreachable && c.timers.Sleep(ctx, jitter(c.period/2)) != nil {
			return
		}
		c.pollRound(ctx, round)
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
}

func (c *Config) pollRound(ctx context.Context, round int) {
	c.mu.Lock()
	now := c.timers.Now()
	due := !c.state.triedPlatform || c.state.suspectUntil.After(now) || now.Sub(c.state.provenAt) > c.freshnessBound*2/3
	c.mu.Unlock()
	relay := c.seams.Directory.Relay()
	// In an outage all instances poll, those that are not relays half as often.
	if !relay && (!due || round%2 == 1) {
		return
	}
	c.poll(ctx, round%fullReadPolls == 0)
	if relay {
		c.writeBack(ctx)
	}
}
