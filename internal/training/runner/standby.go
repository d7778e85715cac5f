package runner

import (
	"cmp"
	"context"
	"math"
	"net/http"
	"slices"
	"time"
)

const (
	// minCopyEvents is the number of events from which on a text is copied.
	// Generating a shorter text again takes little time.
	minCopyEvents = 20
	dialTimeout   = 250 * time.Millisecond
)

// Mount registers the handlers for calls of other processes.
func (r *Runner) Mount(ctx context.Context, mux *http.ServeMux) {
	h := &peerHandler{runner: r, ctx: ctx}
	mux.Handle(StandbyPathPrefix, NewStandbyServer(h))
	mux.HandleFunc(recallPath, h.sendTexts)
	mux.Handle(ProgressPathPrefix, NewProgressServer(h))
}

// peerHandler serves the Standby and Progress services.
type peerHandler struct {
	runner *Runner
	ctx    context.Context
}

// Keep stores parts of texts that the active worker sends. It returns the text keys
// that are unknown here or whose texts lack earlier parts. A worker that executes the
// batches itself keeps its own texts: the caller has lost the role and does not know yet.
// A request without texts ends a round of copies; its reply names from time to time the
// items without a text, since a standby that started again lacks texts that do not grow.
func (h *peerHandler) Keep(ctx context.Context, request *KeepRequest) (*KeepReply, error) {
	reply := &KeepReply{}
	err := h.do(ctx, func() {
		if h.runner.active && !h.runner.recalling {
			for _, part := range request.GetTexts() {
				reply.Missing = append(reply.Missing, part.GetItem())
			}
			return
		}
		r := h.runner
		for _, part := range request.GetTexts() {
			if !r.mergeText(part) {
				reply.Missing = append(reply.Missing, part.GetItem())
			}
		}
		if r.copies.note(r.timers.Uptime(), len(request.GetTexts()) == 0) {
			reply.Missing = r.textlessKeys()
		}
	})
	return reply, err
}

// Recall returns the texts of unfinished items to a worker of a release that does not
// call recallPath.
func (h *peerHandler) Recall(ctx context.Context, _ *RecallRequest) (*RecallReply, error) {
	reply := &RecallReply{}
	err := h.do(ctx, func() {
		for _, t := range h.runner.unfinishedTasks() {
			if current := t.snapshot(); len(current.pieces) >= minCopyEvents {
				reply.Texts = append(reply.Texts, newTextPart(t.textKey, current, 0))
			}
		}
	})
	return reply, err
}

// do executes f in the runner's goroutine and waits for it.
func (h *peerHandler) do(ctx context.Context, f func()) error {
	finished := make(chan struct{})
	h.runner.post(ctx, func(context.Context) { f(); close(finished) })
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-h.ctx.Done():
		return h.ctx.Err()
	}
}

// unfinishedTasks returns the tasks that are neither listed nor given up.
func (r *Runner) unfinishedTasks() []*task {
	var open []*task
	for _, j := range r.jobs {
		for _, t := range j.tasks {
			if t.state != stateListed && !t.givenUp {
				open = append(open, t)
			}
		}
	}
	return open
}

// findTask returns the task whose text is kept under the key, or nil.
func (r *Runner) findTask(textKey string) *task {
	for _, j := range r.jobs {
		if t, known := j.byTextKey[textKey]; known {
			return t
		}
	}
	return nil
}

// newTextPart returns the part of a text that begins at event from. Its field for the
// item holds the text key: no worker of a former release knows an item of that id.
func newTextPart(textKey string, t text, from int) *Text {
	return &Text{
		Item: textKey, From: int64(from), Pieces: t.pieces[from:], Last: t.last,
		Versions: t.versions, Complete: t.complete, Origin: t.origin,
	}
}

// copyState is how much of a text the standby has: the number of events of an
// origin.
type copyState struct {
	origin string
	events int
}

// copyStatus is what a standby knows of the copies that it received, as uptime.
type copyStatus struct {
	received, complete        bool
	latest, ended, listMissed time.Duration
}

// note records that copies were received, the last ones of a round if ended. It reports
// whether the items without a text are to be listed.
func (s *copyStatus) note(now time.Duration, ended bool) bool {
	s.received, s.latest = true, now
	if !ended {
		return false
	}
	list := !s.complete || now-s.listMissed >= missingInterval
	if list {
		s.listMissed = now
	}
	s.complete, s.ended = true, now
	return list
}

// current reports whether a round of copies ended within currentCopyAge.
func (s *copyStatus) current(now time.Duration) bool {
	return s.complete && now-s.ended <= currentCopyAge
}

// maxTextless bounds the text keys in one reply. The oldest batches, which run first, come
// first.
const maxTextless = 8192

// textlessKeys returns the text keys of the items that have no text and do not run.
func (r *Runner) textlessKeys() []string {
	var keys []string
	for _, t := range r.unfinishedTasks() {
		if t.state == statePending && len(t.text.pieces) == 0 && len(keys) < maxTextless {
			keys = append(keys, t.textKey)
		}
	}
	return keys
}

// copyAge returns the time since the latest copy was received, 0 in the worker that
// executes the batches, or a negative value if there was none.
func (r *Runner) copyAge() time.Duration {
	switch {
	case r.active:
		return 0
	case !r.copies.received:
		return -1
	}
	return r.timers.Uptime() - r.copies.latest
}

// mergeText appends a part to the text of an item that does not run here. It
// reports false if the text key is unknown or the part does not continue the text. The
// next run gets a new origin, since the worker that sent the part may go on as well.
func (r *Runner) mergeText(p *Text) bool {
	t := r.findTask(p.GetItem())
	if t == nil {
		return r.crowded() && r.texts.merge(p) // the item may wait in the store
	}
	if t.state != statePending {
		return true
	}
	joined, ok := t.text.join(p)
	if joined.origin == t.text.origin && len(joined.pieces) == len(t.text.pieces) {
		return ok
	}
	if joined.meetsVersion(t.job.batch.MinVersion) {
		t.text, t.activation = joined, 0
		if !r.active {
			r.keepText(t)
		}
	}
	return ok
}

// join returns the text with a part that continues or replaces it. It reports false if the
// part does not.
func (t text) join(p *Text) (text, bool) {
	from := int(p.GetFrom())
	if p.GetOrigin() == t.origin && from+len(p.GetPieces()) <= len(t.pieces) {
		return t, true // a call that was delayed; the text of one origin only grows
	}
	if from > 0 && (p.GetOrigin() != t.origin || from > len(t.pieces)) {
		return t, false
	}
	pieces := append([]string(nil), t.pieces[:from]...)
	return text{
		origin: p.GetOrigin(), pieces: append(pieces, p.GetPieces()...), last: p.GetLast(),
		versions: p.GetVersions(), complete: p.GetComplete(),
	}.withSize(), true
}

// mergeIfLonger continues or replaces the text of an item by another worker's copy if
// the copy has more events.
func (r *Runner) mergeIfLonger(p *Text) {
	t := r.findTask(p.GetItem())
	if t == nil || t.state != statePending || int(p.GetFrom())+len(p.GetPieces()) <= len(t.text.pieces) {
		return
	}
	r.mergeText(p)
}

// collect executes f in the runner's goroutine and returns its result. It reports
// false when ctx ends first.
func (r *Runner) collect(ctx context.Context, f func() []*Text) ([]*Text, bool) {
	collected := make(chan []*Text, 1)
	r.post(ctx, func(context.Context) { collected <- f() })
	select {
	case texts := <-collected:
		return texts, true
	case <-ctx.Done():
		return nil, false
	}
}

// noLimit is a size that no texts exceed.
const noLimit = math.MaxInt

// collectParts returns the parts of texts of at least minEvents events that are not
// in sent yet, and notes them there. If they take more than limit bytes, the parts
// of the longest texts are returned.
func (r *Runner) collectParts(sent map[string]copyState, minEvents, limit int) []*Text {
	type part struct {
		task *task
		text text
		from int
	}
	var parts []part
	for _, t := range r.unfinishedTasks() {
		p := part{task: t, text: t.snapshot()}
		if known := sent[t.textKey]; known.origin == p.text.origin {
			p.from = known.events
		}
		if len(p.text.pieces) >= minEvents && len(p.text.pieces) > p.from {
			parts = append(parts, p)
		}
	}
	slices.SortStableFunc(parts, func(a, b part) int { return cmp.Compare(len(b.text.pieces), len(a.text.pieces)) })
	var texts []*Text
	size := 0
	for _, p := range parts {
		if size += p.text.sizeFrom(p.from); size > limit && len(texts) > 0 {
			break
		}
		texts = append(texts, newTextPart(p.task.textKey, p.text, p.from))
		sent[p.task.textKey] = copyState{origin: p.text.origin, events: len(p.text.pieces)}
	}
	return texts
}
