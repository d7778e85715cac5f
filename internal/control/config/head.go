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
	kind     = "config"
	headName = "head"

	// checkpointChanges is the number of changes after which the table is
	// written as a whole; it bounds the head to some 100 KB with usual rows.
	checkpointChanges = 256
	// checkpointBytes makes a checkpoint earlier when rows are large. A head may
	// grow by one batch beyond it and must stay under the platform's 1 MB.
	checkpointBytes = 512 << 10
	// tailChanges is the number of changes that stay in the head after a
	// checkpoint, so that lost answers to recent edits can still be settled.
	tailChanges = 64
	tailBytes   = 128 << 10
	// pageBytes bounds one page of a snapshot.
	pageBytes = 512 << 10
	// fullReadPolls is the number of polls between full reads of the head. They
	// find a store that went back and has since passed its earlier revision.
	fullReadPolls = 128
)

// head is the value of the object config/head. Changes are those after base,
// preceded by a tail of earlier ones.
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

func (h head) find(editID string) (change, bool) {
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

// holds reports whether the head holds all changes after a sequence.
func (h head) holds(sequence uint64) bool {
	return h.Sequence <= sequence || (len(h.Changes) > 0 && h.Changes[0].Sequence <= sequence+1)
}

func pageName(sequence uint64, number int) string {
	if number == 0 {
		return fmt.Sprintf("table-%d", sequence)
	}
	return fmt.Sprintf("table-%d-%d", sequence, number)
}

// mark is what was known when a call to the platform was sent. An answer may
// only be compared with that: the table can advance while a call is running.
type mark struct {
	sent            time.Time
	own             uint64
	revision, store uint64
}

func (c *Config) mark() mark {
	c.mu.Lock()
	defer c.mu.Unlock()
	return mark{sent: c.timers.Now(), own: c.state.table.Sequence(), revision: c.state.revision, store: c.state.store}
}

// poll asks the platform for changes and records what its answer proves.
func (c *Config) poll(ctx context.Context, full bool) {
	m := c.mark()
	c.mu.Lock()
	// Without contact the store may have gone back and have passed its earlier
	// revision again.
	full = full || c.state.behind || !c.state.reached
	c.mu.Unlock()
	c.polls.Add("list", 1)
	answer, err := c.seams.Store.List(ctx, kind, m.store, 0)
	// A store revision below an earlier one shows older data, whatever the head
	// holds: a newer head may exist that this answer does not show.
	regressed := err == nil && answer.Revision < m.store
	if err == nil && (full || regressed) {
		err = c.readHead(ctx, m, regressed)
	} else if err == nil {
		err = c.readPage(ctx, m, answer)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.state.store = max(c.state.store, answer.Revision)
	}
	c.platformAnswered(m.sent, err == nil)
	c.state.triedPlatform = true
	c.publish()
}

// platformAnswered records the outcome of a call. mu is held.
func (c *Config) platformAnswered(sent time.Time, ok bool) {
	if c.state.reached != ok && c.state.triedPlatform {
		c.log.WithField("reached", ok).Info("contact with the platform changed")
	}
	c.state.reached, c.state.asked = ok, sent
}

func (c *Config) readPage(ctx context.Context, m mark, answer objects.Page) error {
	for _, o := range slices.Backward(answer.Objects) {
		if o.Name == headName {
			return c.absorb(ctx, m, o, false)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proven(m.sent)
	return nil
}

// readHead reads the head and takes over what is new in it.
func (c *Config) readHead(ctx context.Context, m mark, regressed bool) error {
	c.polls.Add("get", 1)
	o, found, err := c.seams.Store.Get(ctx, kind, headName)
	if err != nil {
		return err
	}
	if !found {
		o = objects.Object{Kind: kind, Name: headName}
	}
	return c.absorb(ctx, m, o, regressed)
}

// absorb takes over a head that the platform returned. Regressed is set when
// the answer is known to show older data.
func (c *Config) absorb(ctx context.Context, m mark, o objects.Object, regressed bool) error {
	var h head
	if len(o.Value) > 0 && !o.Deleted {
		if err := json.Unmarshal(o.Value, &h); err != nil {
			return eris.Wrap(err, "decode head")
		}
	}
	c.mu.Lock()
	foreign := c.foreign(h)
	c.mu.Unlock()
	rows, whole := h.rowsAfter(m.own)
	full := h.Sequence > m.own && (!whole || foreign)
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
	if regressed || h.Sequence < m.own || o.Revision < m.revision || (foreign && h.Sequence == own) {
		if !s.behind {
			c.log.WithField(logs.Sequence, m.own).WithField("platform_sequence", h.Sequence).
				Warn("the platform returns older data than was accepted")
		}
		s.behind, s.old, s.oldRevision = true, h, o.Revision
		return nil
	}
	take := c.adopt
	if full {
		take = c.reload
	}
	if take(h.Sequence, rows) {
		if s.recent == nil {
			s.recent = h.rows()
		}
		s.at = o.Revision
		c.pushAll("")
	}
	s.behind, s.found = false, true
	if o.Revision >= s.revision {
		s.head, s.revision = h, o.Revision
	}
	c.proven(m.sent)
	return nil
}

// foreign reports whether a head belongs to another history than the own table:
// it names another change for the table's sequence. That happens when an
// instance without contact to the others accepts edits on a store that went
// back. mu is held.
func (c *Config) foreign(h head) bool {
	own := c.state.table.Sequence()
	i := slices.IndexFunc(h.Changes, func(ch change) bool { return ch.Sequence == own })
	return i >= 0 && c.state.last != 0 && hash(h.Changes[i].Row) != c.state.last
}

// readSnapshot reads all pages of a snapshot.
func (c *Config) readSnapshot(ctx context.Context, sequence uint64) ([]table.Row, error) {
	var rows []table.Row
	for number, pages := 0, 1; number < pages; number++ {
		c.polls.Add("get", 1)
		o, found, err := c.seams.Store.Get(ctx, kind, pageName(sequence, number))
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

// writeSnapshot creates the pages of a snapshot, the first one last, so that a
// snapshot whose first page exists is whole. Pages of the same content that
// exist already are left.
func (c *Config) writeSnapshot(ctx context.Context, t *table.Table) error {
	pages := paginate(t)
	for number, p := range slices.Backward(pages) {
		value, err := json.Marshal(p)
		if err != nil {
			return eris.Wrap(err, "encode snapshot")
		}
		c.polls.Add("put", 1)
		_, err = c.seams.Store.Put(ctx, kind, pageName(t.Sequence(), number), 0, value)
		if current, lost := objects.Conflict(err); lost && samePage(current.Value, value) {
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
		bytes := len(r.Value) + 200
		if size+bytes > pageBytes && size > 0 {
			pages = append(pages, page{Sequence: t.Sequence()})
			size = 0
		}
		last := &pages[len(pages)-1]
		last.Rows = append(last.Rows, r)
		size += bytes
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

// writeBack restores the table at the platform after older data came back, and
// adds edits of a replaced history. Edits that only the platform knows are kept,
// with new sequences.
func (c *Config) writeBack(ctx context.Context) {
	c.mu.Lock()
	s := c.state
	foreign := c.foreign(s.old)
	c.mu.Unlock()
	if !s.behind && len(s.lost) == 0 {
		return
	}
	if s.behind && s.saved != s.table.Sequence() {
		if err := c.writeSnapshot(ctx, s.table); err != nil {
			c.log.WithError(err).Warn("snapshot for the write-back failed")
			return
		}
		c.mu.Lock()
		c.state.saved = s.table.Sequence()
		c.mu.Unlock()
	}
	base, extra, revision := s.head, s.lost, s.revision
	if s.behind {
		own := s.table.Sequence()
		base, revision = head{Sequence: own, Base: own}, s.oldRevision
		// A tail with a gap would make edits look as if they had not been accepted.
		if s.head.Sequence == own {
			base.Changes = tail(s.head.Changes)
		}
		extra = append(slices.Clone(s.lost), s.old.Changes...)
	}
	next, merged := mergeHeads(base, s.table, extra)
	if len(merged) == 0 && foreign && s.behind {
		next, merged = advance(next, s.table)
	}
	if len(merged) == 0 && !s.behind {
		c.mu.Lock()
		c.state.lost = nil
		c.mu.Unlock()
		return
	}
	value, err := json.Marshal(next)
	if err != nil {
		c.log.WithError(err).Error("head cannot be encoded")
		return
	}
	m := c.mark()
	c.polls.Add("put", 1)
	o, err := c.seams.Store.Put(ctx, kind, headName, revision, value)
	if current, lost := objects.Conflict(err); lost {
		c.settleWriteBack(ctx, m, current)
		return
	}
	if err != nil {
		c.log.WithError(err).Warn("write-back failed")
		return
	}
	c.log.WithField(logs.Sequence, next.Sequence).Warn("wrote the accepted table back to the platform")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.behind, c.state.head, c.state.lost = false, next, nil
	// The store's counter went back for good; later answers are compared with
	// the new one.
	c.state.revision, c.state.store = o.Revision, o.Revision
	if c.adopt(next.Sequence, merged) {
		c.state.at = o.Revision
		c.pushAll("")
	}
	c.proven(m.sent)
}

// settleWriteBack takes over the object that a refused write-back returned. It
// is newer than what reads return, so it may prove freshness, but the platform
// counts as behind until a read agrees.
func (c *Config) settleWriteBack(ctx context.Context, m mark, current objects.Object) {
	c.mu.Lock()
	behind := c.state.behind
	c.mu.Unlock()
	if err := c.absorb(ctx, m, current, false); err != nil {
		c.log.WithError(err).Warn("current head cannot be read")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.behind = c.state.behind || behind
}

// mergeHeads adds to a head those of the extra changes that it lacks, with the
// sequences that follow its own, and returns their rows. For two changes of one
// row the one with the higher sequence wins.
func mergeHeads(base head, t *table.Table, extra []change) (head, []table.Row) {
	next := base
	next.Changes = slices.Clone(base.Changes)
	var merged []table.Row
	for _, ch := range extra {
		_, held := next.find(ch.EditID)
		if held || t.RowAny(ch.Row.Table, ch.Row.Name).Revision >= ch.Sequence {
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

// advance repeats the table's last row under the next sequence. Of two histories
// of the same length one must become longer, so that instances of the other one
// take it over.
func advance(base head, t *table.Table) (head, []table.Row) {
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

// tail returns the last changes, few enough to stay in the head after a
// checkpoint.
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
		c.polls.Add("get", 1)
		o, found, err := c.seams.Store.Get(ctx, kind, pageName(sequence, number))
		if err != nil || !found {
			return
		}
		var p page
		if json.Unmarshal(o.Value, &p) == nil {
			pages = p.Pages
		}
		c.polls.Add("delete", 1)
		if err := c.seams.Store.Delete(ctx, kind, o.Name, o.Revision); err != nil {
			c.log.WithError(err).Debug("old snapshot stays")
			return
		}
	}
}

// pollLoop asks the platform twice in each exchange period while this instance
// is a relay or suspects an outage. Then it writes back what the platform lost.
func (c *Config) pollLoop(ctx context.Context) {
	ticks := c.timers.Subscribe(c.period / 2)
	defer ticks.Stop()
	for turn := 0; ; turn++ {
		c.mu.Lock()
		unreachable := c.unreachable()
		c.mu.Unlock()
		// Spreads the calls of many instances that wait for the end of an outage.
		if unreachable && c.timers.Sleep(ctx, jitter(c.period/2)) != nil {
			return
		}
		c.pollTurn(ctx, turn)
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
}

func (c *Config) pollTurn(ctx context.Context, turn int) {
	c.mu.Lock()
	now := c.timers.Now()
	due := !c.state.triedPlatform || c.state.suspect.After(now) || now.Sub(c.state.direct) > c.bound*2/3
	c.mu.Unlock()
	relay := c.seams.Directory.Relay()
	// In an outage all instances ask, those that are no relays half as often.
	if !relay && (!due || turn%2 == 1) {
		return
	}
	c.poll(ctx, turn%fullReadPolls == 0)
	if relay {
		c.writeBack(ctx)
	}
}
