package config

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
	"github.com/wigeonpin/wigeonpin/internal/peer/objects"
)

const (
	// batchBytes and batchEdits bound one update of the head, which together
	// with checkpointBytes stays below the platform's limit of 1 MB for a value.
	batchBytes = 256 << 10
	batchEdits = 128
	// headBytes is the size at which edits are refused because no checkpoint
	// could be written for long.
	headBytes = 900 << 10
	// rowBytes bounds the value of one row.
	rowBytes = 64 << 10
	// commitLimit bounds the settlement of one batch. Afterwards the outcome is
	// reported as uncertain, and the operator asks again with the edit's id.
	commitLimit = 5 * time.Second
	// pushWait bounds the wait for another instance's acknowledgement.
	pushWait = time.Second
	// retryAfter is the time after which an operator should come back.
	retryAfter = time.Second
	// editIDBytes bounds an edit's id.
	editIDBytes = 64
)

// Accepted is the outcome of an edit. When the edit lost a race, Row is the
// winning row.
type Accepted struct {
	Sequence uint64    `json:"sequence"`
	Row      table.Row `json:"row"`
	// Pushed is set when another instance has acknowledged the row.
	Pushed bool `json:"pushed"`
}

type pendingEdit struct {
	id      string
	row     table.Row
	taken   bool
	outcome chan outcome
}

type outcome struct {
	accepted Accepted
	err      error
}

// Edit commits one row. The row's revision must be the one that the caller has
// seen, 0 for a new row. An edit that is sent again with the same id is
// settled, not repeated.
func (c *Config) Edit(ctx context.Context, editID string, row table.Row) (Accepted, error) {
	accepted, err := c.edit(ctx, editID, row)
	if err != nil {
		c.edits.Add(code.Of(err).Code.String(), 1)
		return accepted, err
	}
	accepted.Pushed = c.awaitPush(ctx, accepted.Sequence)
	c.edits.Add("accepted", 1)
	c.log.WithField(logs.Sequence, accepted.Sequence).WithField("row", row.Table+"/"+row.Name).
		WithField("pushed", accepted.Pushed).Info("edit accepted")
	return accepted, nil
}

func (c *Config) edit(ctx context.Context, editID string, row table.Row) (Accepted, error) {
	if editID == "" || len(editID) > editIDBytes {
		return Accepted{}, code.New(code.EditInvalid, "field \"edit_id\" must have 1 to %d characters", editIDBytes).WithRun(code.NotRun)
	}
	if len(row.Value) > rowBytes {
		return Accepted{}, code.New(code.EditInvalid, "the row's value has %d bytes, must be at most %d", len(row.Value), rowBytes).WithRun(code.NotRun)
	}
	if err := c.editable(); err != nil {
		return Accepted{}, err
	}
	p := &pendingEdit{id: editID, row: row, outcome: make(chan outcome, 1)}
	c.mu.Lock()
	c.pending = append(c.pending, p)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	select {
	case o := <-p.outcome:
		return o.accepted, o.err
	case <-ctx.Done():
		return Accepted{}, c.abandon(p)
	case <-c.background.Done():
		return Accepted{}, c.abandon(p)
	}
}

// abandon gives up waiting for an edit. One that the writer has not taken yet
// is withdrawn.
func (c *Config) abandon(p *pendingEdit) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.taken {
		return uncertain()
	}
	c.pending = slices.DeleteFunc(c.pending, func(q *pendingEdit) bool { return q == p })
	return code.New(code.CallerGone, "the edit was withdrawn before it was sent").WithRun(code.NotRun)
}

func uncertain() error {
	return code.New(code.EditUncertain, "it is not known whether the edit was accepted; send it again with the same edit_id").
		WithRun(code.MaybeRun).WithRetryAfter(retryAfter)
}

func unavailable(format string, args ...any) error {
	return code.New(code.PlatformUnavailable, format, args...).WithRun(code.NotRun).WithRetryAfter(retryAfter)
}

// editable reports why this instance accepts no edits, if so.
func (c *Config) editable() error {
	if !c.Ready() {
		return code.New(code.NotReady, "this instance has no table yet").WithRun(code.NotRun).WithRetryAfter(retryAfter)
	}
	if ok, wait := c.Fresh(); !ok {
		return unavailable("this instance cannot prove that its table is complete").(*code.Error).WithRetryAfter(wait)
	}
	if c.isolated() {
		return isolated()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state.behind:
		return behind()
	case c.unreachable():
		return unavailable("the platform does not answer")
	}
	return nil
}

func isolated() error {
	return unavailable("this instance has no contact with the others of its zone")
}

func behind() error {
	return code.New(code.PlatformBehind, "the platform returns older data than was accepted").
		WithRun(code.NotRun).WithRetryAfter(retryAfter)
}

// awaitPush waits until another instance holds the table up to a sequence.
func (c *Config) awaitPush(ctx context.Context, sequence uint64) bool {
	limit := c.timers.After(pushWait)
	defer limit.Stop()
	for {
		c.mu.Lock()
		reached, next, targets := c.ackedUpTo >= sequence, c.acked, len(c.pushing)
		c.mu.Unlock()
		if reached || targets == 0 {
			return reached
		}
		select {
		case <-next:
		case <-limit.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// writeLoop commits edits. Those that arrive during an update of the head go
// into the next one together.
func (c *Config) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for batch := c.take(); len(batch) > 0; batch = c.take() {
			limited, cancel := c.timers.WithTimeout(ctx, commitLimit)
			c.commit(limited, batch)
			cancel()
		}
	}
}

// take removes the next batch from the pending edits.
func (c *Config) take() []*pendingEdit {
	c.mu.Lock()
	defer c.mu.Unlock()
	count, size := 0, 0
	for _, p := range c.pending {
		if count == batchEdits || (count > 0 && size+len(p.row.Value) > batchBytes) {
			break
		}
		p.taken = true
		size += len(p.row.Value)
		count++
	}
	batch := slices.Clone(c.pending[:count])
	c.pending = slices.Delete(c.pending, 0, count)
	return batch
}

// attempt is one batch on its way to the platform.
type attempt struct {
	open []*pendingEdit
	// sent is set once a write may have taken effect without an answer; after is
	// the sequence that the write followed.
	sent  bool
	after uint64
}

func (a *attempt) settle(p *pendingEdit, accepted Accepted, err error) {
	p.outcome <- outcome{accepted, err}
	a.open = slices.DeleteFunc(a.open, func(q *pendingEdit) bool { return q == p })
}

// fail settles all open edits: with err, or as uncertain when a write may have
// taken effect.
func (a *attempt) fail(err error) {
	for _, p := range slices.Clone(a.open) {
		if a.sent {
			err = uncertain()
		}
		a.settle(p, Accepted{}, err)
	}
}

// commit settles a batch. After a lost answer it reads the head and looks for
// the edits' ids; if the head is still the one that the write was conditioned
// on, the same write is repeated, so that at most one of the two takes effect.
func (c *Config) commit(ctx context.Context, batch []*pendingEdit) {
	a := &attempt{open: batch}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = 20*time.Millisecond, time.Second
	for len(a.open) > 0 {
		err := c.tryCommit(ctx, a)
		if err == nil && ctx.Err() == nil {
			continue
		}
		if code.Is(err, code.PlatformBehind) {
			a.fail(err)
			return
		}
		wait := max(pause.NextBackOff(), objects.RetryAfter(err))
		if err == nil {
			err = ctx.Err()
		}
		if !a.sent && !c.reachable() {
			a.fail(unavailable("the platform does not answer: %s", err))
			return
		}
		if c.timers.Sleep(ctx, wait) != nil {
			a.fail(unavailable("the platform did not take the edit in time: %s", err))
			return
		}
	}
}

func (c *Config) reachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.reached
}

// tryCommit makes one attempt at the open edits of a batch.
func (c *Config) tryCommit(ctx context.Context, a *attempt) error {
	base, revision, confirmed, err := c.writableHead(ctx, a.sent)
	if err != nil {
		return err
	}
	// A refusal is only true if the head it rests on is not older than the edit.
	if !confirmed && c.refuses(a, base) {
		if base, revision, _, err = c.writableHead(ctx, true); err != nil {
			return err
		}
	}
	if a.sent && !base.holds(a.after) {
		// The head has moved on so far that the edits' ids may have left it.
		a.fail(uncertain())
		return nil
	}
	next, rows := c.prepare(a, base)
	if len(rows) == 0 {
		return nil
	}
	previous := base.Previous
	next, moved, err := c.checkpoint(ctx, base, next)
	if err != nil {
		return err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	// The contact may have been lost since the edit came in. Without it nothing
	// is written; the next attempt still looks for a write that was sent before.
	if c.isolated() {
		return isolated()
	}
	m := c.mark()
	c.polls.Add("put", 1)
	o, err := c.seams.Store.Put(ctx, kind, headName, revision, value)
	if current, lost := objects.Conflict(err); lost {
		return c.absorb(ctx, m, current, false)
	}
	if err != nil {
		if !a.sent && !objects.NotApplied(err) {
			a.sent, a.after = true, base.Sequence
		}
		c.mu.Lock()
		c.platformAnswered(m.sent, objects.NotApplied(err) && objects.RetryAfter(err) > 0)
		c.mu.Unlock()
		return err
	}
	c.mu.Lock()
	c.platformAnswered(m.sent, true)
	c.state.head, c.state.revision = next, o.Revision
	if c.adopt(next.Sequence, rows) {
		c.located(o.Revision)
		c.pushAll("")
	}
	c.proven(m.sent)
	c.mu.Unlock()
	c.prepare(a, next)
	if moved && previous != 0 {
		c.mu.Lock()
		c.spawn(func(ctx context.Context) { c.removeSnapshot(ctx, previous) })
		c.mu.Unlock()
	}
	return nil
}

// refuses reports whether a head decides against any of the open edits.
func (c *Config) refuses(a *attempt, base head) bool {
	c.mu.Lock()
	t := c.state.table
	c.mu.Unlock()
	next := base.Sequence
	for _, p := range a.open {
		if _, found := base.find(p.id); found {
			continue
		}
		next++
		_, after, err := propose(t, p.row, next)
		if err != nil {
			return true
		}
		t = after
	}
	return false
}

// writableHead returns the head to extend, and whether it was read just now. It
// is read when none is known for the own sequence or when reread is set.
func (c *Config) writableHead(ctx context.Context, reread bool) (head, uint64, bool, error) {
	c.mu.Lock()
	current := c.state.head.Sequence == c.state.table.Sequence() && c.state.revision > 0
	c.mu.Unlock()
	if !current || reread {
		m := c.mark()
		err := c.readHead(ctx, m, false)
		c.mu.Lock()
		c.platformAnswered(m.sent, err == nil)
		c.mu.Unlock()
		if err != nil {
			return head{}, 0, false, err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.behind {
		return head{}, 0, false, behind()
	}
	return c.state.head, c.state.revision, !current || reread, nil
}

// prepare settles the edits whose outcome a head decides, and returns the head
// that commits the others, with their rows.
func (c *Config) prepare(a *attempt, base head) (head, []table.Row) {
	c.mu.Lock()
	t := c.state.table
	c.mu.Unlock()
	next := base
	next.Changes = slices.Clone(base.Changes)
	var rows []table.Row
	for _, p := range slices.Clone(a.open) {
		if done, found := base.find(p.id); found {
			a.settle(p, Accepted{Sequence: done.Sequence, Row: done.Row}, nil)
			continue
		}
		if _, twice := next.find(p.id); twice {
			continue
		}
		row, after, err := propose(t, p.row, next.Sequence+1)
		if err != nil {
			a.settle(p, Accepted{Row: row}, err)
			continue
		}
		t = after
		next.Sequence++
		next.Changes = append(next.Changes, change{Sequence: next.Sequence, EditID: p.id, Row: row})
		rows = append(rows, row)
	}
	return next, rows
}

// propose checks an edit against a table. It returns the row with its new
// revision, or the winning row when the edit lost a race.
func propose(t *table.Table, row table.Row, sequence uint64) (table.Row, *table.Table, error) {
	held := t.RowAny(row.Table, row.Name)
	fresh := row.Revision == 0 && (held.Revision == 0 || held.Deleted)
	if !fresh && row.Revision != held.Revision {
		return held, nil, code.New(code.EditConflict, "row %s/%s has revision %d, the edit was made for %d",
			row.Table, row.Name, held.Revision, row.Revision).WithRun(code.NotRun)
	}
	row.Revision = sequence
	if row.Deleted {
		row.Value = nil
	}
	after, err := t.With(row)
	if err != nil {
		return table.Row{}, nil, code.Of(err).WithRun(code.NotRun)
	}
	return row, after, nil
}

// checkpoint writes the whole table once enough changes have gathered, and
// moves the base of next there.
func (c *Config) checkpoint(ctx context.Context, base, next head) (head, bool, error) {
	size := 0
	for _, ch := range next.Changes {
		size += len(ch.Row.Value) + 200
	}
	if base.Sequence-base.Base < checkpointChanges && size < checkpointBytes {
		return next, false, nil
	}
	c.mu.Lock()
	t := c.state.table
	c.mu.Unlock()
	if t.Sequence() != base.Sequence {
		// The table has moved on, so the update will be refused anyway.
		return next, false, nil
	}
	if err := c.writeSnapshot(ctx, t); err != nil {
		c.log.WithError(err).Warn("checkpoint failed")
		if size > headBytes {
			return next, false, err
		}
		return next, false, nil
	}
	added := next.Changes[len(base.Changes):]
	next.Changes = append(tail(base.Changes), added...)
	next.Previous, next.Base = base.Base, base.Sequence
	return next, true, nil
}

// jitter returns a random part of a duration. After an outage it spreads the
// first calls of all instances.
func jitter(limit time.Duration) time.Duration { return rand.N(limit) }
