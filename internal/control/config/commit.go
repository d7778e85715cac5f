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
	// maxBatchBytes and maxBatchEdits bound one update of the head, which together
	// with checkpointBytes stays below the platform's limit of 1 MB for a value.
	maxBatchBytes = 256 << 10
	maxBatchEdits = 128
	// maxHeadBytes is the size at which edits are refused because checkpoints
	// have kept failing.
	maxHeadBytes = 900 << 10
	// maxRowBytes bounds the value of one row.
	maxRowBytes = 64 << 10
	// commitTimeout bounds the commit of one batch. After it, edits that may have
	// been written are reported as uncertain, and the operator sends them again
	// with the same ids.
	commitTimeout = 5 * time.Second
	// ackTimeout bounds the wait for another instance's acknowledgement.
	ackTimeout = time.Second
	// retryAfter is the delay after which an operator is told to retry.
	retryAfter = time.Second
	// maxEditIDBytes bounds an edit's id.
	maxEditIDBytes = 64
)

// EditResult is the outcome of an edit. When the edit lost a race, Row is the
// winning row.
type EditResult struct {
	Sequence uint64    `json:"sequence"`
	Row      table.Row `json:"row"`
	// Pushed is set when another instance has acknowledged the row.
	Pushed bool `json:"pushed"`
}

type pendingEdit struct {
	id  string
	row table.Row
	// inBatch is set once the writer has taken the edit out of the queue.
	inBatch bool
	outcome chan outcome
}

type outcome struct {
	result EditResult
	err    error
}

// Edit commits one row. The row's revision must be the one that the caller has
// seen, 0 for a new row. editID is an idempotency key: an edit that is sent again
// with the same id returns its first result and is not applied twice.
func (c *Config) Edit(ctx context.Context, editID string, row table.Row) (EditResult, error) {
	result, err := c.edit(ctx, editID, row)
	if err != nil {
		c.edits.Add(code.Of(err).Code.String(), 1)
		return result, err
	}
	result.Pushed = c.awaitAck(ctx, result.Sequence)
	c.edits.Add("accepted", 1)
	c.log.WithField(logs.Sequence, result.Sequence).WithField("row", row.Table+"/"+row.Name).
		WithField("pushed", result.Pushed).Info("edit accepted")
	return result, nil
}

func (c *Config) edit(ctx context.Context, editID string, row table.Row) (EditResult, error) {
	if editID == "" || len(editID) > maxEditIDBytes {
		return EditResult{}, code.New(code.EditInvalid, "field \"edit_id\" must have 1 to %d characters", maxEditIDBytes).WithRun(code.NotRun)
	}
	if len(row.Value) > maxRowBytes {
		return EditResult{}, code.New(code.EditInvalid, "the row's value has %d bytes, must be at most %d", len(row.Value), maxRowBytes).WithRun(code.NotRun)
	}
	if err := c.checkEditable(); err != nil {
		return EditResult{}, err
	}
	p := &pendingEdit{id: editID, row: row, outcome: make(chan outcome, 1)}
	c.mu.Lock()
	c.pending = append(c.pending, p)
	c.mu.Unlock()
	select {
	case c.wakeWriter <- struct{}{}:
	default:
	}
	select {
	case o := <-p.outcome:
		return o.result, o.err
	case <-ctx.Done():
		return EditResult{}, c.withdraw(p)
	case <-c.background.Done():
		return EditResult{}, c.withdraw(p)
	}
}

// withdraw stops waiting for an edit and returns its outcome. An edit that is in
// no batch yet is removed from the queue.
func (c *Config) withdraw(p *pendingEdit) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.inBatch {
		return uncertainError()
	}
	c.pending = slices.DeleteFunc(c.pending, func(q *pendingEdit) bool { return q == p })
	return code.New(code.CallerGone, "the edit was withdrawn before it was sent").WithRun(code.NotRun)
}

func uncertainError() error {
	return code.New(code.EditUncertain, "it is not known whether the edit was accepted; send it again with the same edit_id").
		WithRun(code.MaybeRun).WithRetryAfter(retryAfter)
}

func unavailableError(format string, args ...any) error {
	return code.New(code.PlatformUnavailable, format, args...).WithRun(code.NotRun).WithRetryAfter(retryAfter)
}

// checkEditable returns the reason why this instance accepts no edits, or nil.
func (c *Config) checkEditable() error {
	if !c.Ready() {
		return code.New(code.NotReady, "this instance has no table yet").WithRun(code.NotRun).WithRetryAfter(retryAfter)
	}
	if ok, wait := c.Fresh(); !ok {
		return unavailableError("this instance cannot prove that its table is complete").(*code.Error).WithRetryAfter(wait)
	}
	if c.isolated() {
		return isolatedError()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state.platformBehind:
		return behindError()
	case c.platformUnreachable():
		return unavailableError("the platform does not answer")
	}
	return nil
}

func isolatedError() error {
	return unavailableError("this instance has no contact with the others of its zone")
}

func behindError() error {
	return code.New(code.PlatformBehind, "the platform returns older data than was accepted").
		WithRun(code.NotRun).WithRetryAfter(retryAfter)
}

// awaitAck waits, at most for ackTimeout, until another instance holds the table
// up to a sequence.
func (c *Config) awaitAck(ctx context.Context, sequence uint64) bool {
	timeout := c.timers.After(ackTimeout)
	defer timeout.Stop()
	for {
		c.mu.Lock()
		reached, next, targets := c.ackedSequence >= sequence, c.ackChanged, len(c.pushing)
		c.mu.Unlock()
		if reached || targets == 0 {
			return reached
		}
		select {
		case <-next:
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// writeLoop commits edits. Those that arrive during an update of the head are
// committed together in the next one.
func (c *Config) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wakeWriter:
		}
		for batch := c.nextBatch(); len(batch) > 0; batch = c.nextBatch() {
			limited, cancel := c.timers.WithTimeout(ctx, commitTimeout)
			c.commit(limited, batch)
			cancel()
		}
	}
}

// nextBatch removes the next batch from the pending edits.
func (c *Config) nextBatch() []*pendingEdit {
	c.mu.Lock()
	defer c.mu.Unlock()
	count, size := 0, 0
	for _, p := range c.pending {
		if count == maxBatchEdits || (count > 0 && size+len(p.row.Value) > maxBatchBytes) {
			break
		}
		p.inBatch = true
		size += len(p.row.Value)
		count++
	}
	batch := slices.Clone(c.pending[:count])
	c.pending = slices.Delete(c.pending, 0, count)
	return batch
}

// batchCommit is the progress of committing one batch.
type batchCommit struct {
	unresolved []*pendingEdit
	// maybeWritten is set once a write may have taken effect without an answer.
	// baseSequence is the sequence of the head that the write extended.
	maybeWritten bool
	baseSequence uint64
}

func (b *batchCommit) resolve(p *pendingEdit, result EditResult, err error) {
	p.outcome <- outcome{result, err}
	b.unresolved = slices.DeleteFunc(b.unresolved, func(q *pendingEdit) bool { return q == p })
}

// fail ends all unresolved edits with err, or as uncertain when a write may have
// taken effect.
func (b *batchCommit) fail(err error) {
	for _, p := range slices.Clone(b.unresolved) {
		if b.maybeWritten {
			err = uncertainError()
		}
		b.resolve(p, EditResult{}, err)
	}
}

// commit commits a batch. After a lost answer it reads the head and looks for
// the edits' ids. If the head is still the one that the write was conditional
// on, the same write is repeated, so that at most one of the two takes effect.
func (c *Config) commit(ctx context.Context, batch []*pendingEdit) {
	b := &batchCommit{unresolved: batch}
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = 20*time.Millisecond, time.Second
	for len(b.unresolved) > 0 {
		err := c.tryCommit(ctx, b)
		if err == nil && ctx.Err() == nil {
			continue
		}
		if code.Is(err, code.PlatformBehind) {
			b.fail(err)
			return
		}
		wait := max(retryBackoff.NextBackOff(), objects.RetryAfter(err))
		if err == nil {
			err = ctx.Err()
		}
		if !b.maybeWritten && !c.lastCallAnswered() {
			b.fail(unavailableError("the platform does not answer: %s", err))
			return
		}
		if c.timers.Sleep(ctx, wait) != nil {
			b.fail(unavailableError("the platform did not take the edit in time: %s", err))
			return
		}
	}
}

func (c *Config) lastCallAnswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.lastCallAnswered
}

// tryCommit makes one attempt to commit the unresolved edits of a batch.
func (c *Config) tryCommit(ctx context.Context, b *batchCommit) error {
	base, revision, confirmed, err := c.writableHead(ctx, b.maybeWritten)
	if err != nil {
		return err
	}
	// A rejection is valid only if the head that it is based on was read after
	// the edit arrived.
	if !confirmed && c.rejectsAny(b, base) {
		if base, revision, _, err = c.writableHead(ctx, true); err != nil {
			return err
		}
	}
	if b.maybeWritten && !base.holdsAllAfter(b.baseSequence) {
		// The head has advanced so far that it may no longer hold the edits' ids.
		b.fail(uncertainError())
		return nil
	}
	next, rows := c.extendHead(b, base)
	if len(rows) == 0 {
		return nil
	}
	previous := base.Previous
	next, checkpointed, err := c.checkpoint(ctx, base, next)
	if err != nil {
		return err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	// Contact with the zone may have been lost since the edit arrived. Without it
	// nothing is written; the next attempt still looks for an earlier write.
	if c.isolated() {
		return isolatedError()
	}
	start := c.startCall()
	c.platformCalls.Add("put", 1)
	o, err := c.seams.Store.Put(ctx, objectKind, headName, revision, value)
	if current, conflict := objects.Conflict(err); conflict {
		return c.applyHead(ctx, start, current, false)
	}
	if err != nil {
		if !b.maybeWritten && !objects.NotApplied(err) {
			b.maybeWritten, b.baseSequence = true, base.Sequence
		}
		c.mu.Lock()
		c.recordPlatformCall(start.sentAt, objects.NotApplied(err) && objects.RetryAfter(err) > 0)
		c.mu.Unlock()
		return err
	}
	c.mu.Lock()
	c.recordPlatformCall(start.sentAt, true)
	c.state.head, c.state.headRevision = next, o.Revision
	if c.applyRows(next.Sequence, rows) {
		c.recordTableRevision(o.Revision)
		c.pushAll("")
	}
	c.recordProof(start.sentAt)
	c.mu.Unlock()
	c.extendHead(b, next)
	if checkpointed && previous != 0 {
		c.mu.Lock()
		c.spawn(func(ctx context.Context) { c.removeSnapshot(ctx, previous) })
		c.mu.Unlock()
	}
	return nil
}

// rejectsAny reports whether a head leads to the rejection of any unresolved edit.
func (c *Config) rejectsAny(b *batchCommit, base head) bool {
	c.mu.Lock()
	t := c.state.table
	c.mu.Unlock()
	next := base.Sequence
	for _, p := range b.unresolved {
		if _, found := base.findEdit(p.id); found {
			continue
		}
		next++
		_, after, err := applyEdit(t, p.row, next)
		if err != nil {
			return true
		}
		t = after
	}
	return false
}

// writableHead returns the head to extend, its revision, and whether it was read
// just now. It is read when the known head does not have the table's sequence or
// when reread is set.
func (c *Config) writableHead(ctx context.Context, reread bool) (head, uint64, bool, error) {
	c.mu.Lock()
	current := c.state.head.Sequence == c.state.table.Sequence() && c.state.headRevision > 0
	c.mu.Unlock()
	if !current || reread {
		start := c.startCall()
		err := c.readHead(ctx, start, false)
		c.mu.Lock()
		c.recordPlatformCall(start.sentAt, err == nil)
		c.mu.Unlock()
		if err != nil {
			return head{}, 0, false, err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.platformBehind {
		return head{}, 0, false, behindError()
	}
	return c.state.head, c.state.headRevision, !current || reread, nil
}

// extendHead resolves the edits whose outcome a head decides, and returns the
// head that commits the others, with their rows.
func (c *Config) extendHead(b *batchCommit, base head) (head, []table.Row) {
	c.mu.Lock()
	t := c.state.table
	c.mu.Unlock()
	next := base
	next.Changes = slices.Clone(base.Changes)
	var rows []table.Row
	for _, p := range slices.Clone(b.unresolved) {
		if done, found := base.findEdit(p.id); found {
			b.resolve(p, EditResult{Sequence: done.Sequence, Row: done.Row}, nil)
			continue
		}
		if _, duplicate := next.findEdit(p.id); duplicate {
			continue
		}
		row, after, err := applyEdit(t, p.row, next.Sequence+1)
		if err != nil {
			b.resolve(p, EditResult{Row: row}, err)
			continue
		}
		t = after
		next.Sequence++
		next.Changes = append(next.Changes, change{Sequence: next.Sequence, EditID: p.id, Row: row})
		rows = append(rows, row)
	}
	return next, rows
}

// applyEdit checks an edit against a table. It returns the row with its new
// revision and the table with that row, or the winning row when the edit lost a
// race.
func applyEdit(t *table.Table, row table.Row, sequence uint64) (table.Row, *table.Table, error) {
	held := t.RowOrTombstone(row.Table, row.Name)
	create := row.Revision == 0 && (held.Revision == 0 || held.Deleted)
	if !create && row.Revision != held.Revision {
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

// checkpoint writes the whole table as a snapshot once enough changes have
// accumulated, and makes it the base of next. It reports whether it did.
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
		// The table has advanced, so the conditional update will fail anyway.
		return next, false, nil
	}
	if err := c.writeSnapshot(ctx, t); err != nil {
		c.log.WithError(err).Warn("checkpoint failed")
		if size > maxHeadBytes {
			return next, false, err
		}
		return next, false, nil
	}
	added := next.Changes[len(base.Changes):]
	next.Changes = append(tail(base.Changes), added...)
	next.Previous, next.Base = base.Base, base.Sequence
	return next, true, nil
}

// jitter returns a random duration below limit. It spreads the first calls of all
// instances after an outage.
func jitter(limit time.Duration) time.Duration { return rand.N(limit) }
