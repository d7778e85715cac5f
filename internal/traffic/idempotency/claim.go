package idempotency

import (
	"context"
	"net/http"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
)

// outcomeOf returns the answer in the record of a request that ran.
func outcomeOf(record *Record) Outcome {
	header := http.Header{}
	for _, h := range record.Header {
		header[h.Name] = h.Values
	}
	return Outcome{Run: code.Ran, Status: int(record.Status), Header: header, Body: record.Body, Whole: record.Whole}
}

// register adds a running claim to the claims of this instance. It fails when
// there are recordsLimit of them.
func (r *Records) register(record *Record) (*Claim, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.claims) >= recordsLimit {
		return nil, recordUnsure(code.MaybeRun, retryAfter, "too many idempotency keys are in use")
	}
	now := r.timers.Now()
	c := &Claim{records: r, record: record, acked: map[string]bool{}, changed: now, sent: now}
	r.claims[record.Token] = c
	return c, nil
}

// acknowledge notes that a home holds the record, unless a later record has
// replaced it.
func (r *Records) acknowledge(c *Claim, home string, record *Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.record == record {
		c.acked[home] = true
	}
}

// release releases a claim whose request did not run. The claimer keeps the
// released record, since a home may miss the call of Drop.
func (r *Records) release(ctx context.Context, c *Claim) {
	r.update(c, func(record *Record) { record.State = State_RELEASED })
	r.replicate(ctx, c)
}

// Done records how the request ended and sends that to the homes. It returns
// when they have answered or after a second. Run repeats failed calls and sends
// the record to later homes.
func (c *Claim) Done(ctx context.Context, outcome Outcome) {
	if c.replay != nil {
		return
	}
	r := c.records
	r.update(c, func(record *Record) {
		switch outcome.Run {
		case code.NotRun:
			record.State = State_RELEASED
		case code.Ran:
			record.State, record.Status = State_RAN, int32(outcome.Status)
			if outcome.Whole && len(outcome.Body) <= BodyLimit && r.bytes+len(outcome.Body) <= bodiesLimit {
				record.Body, record.Whole = outcome.Body, true
				r.bytes += len(outcome.Body)
				for name, values := range outcome.Header {
					record.Header = append(record.Header, &Header{Name: name, Values: values})
				}
			}
		default:
			record.State = State_MAY_HAVE_RUN
		}
	})
	r.replicate(context.WithoutCancel(ctx), c)
}

// update replaces the claim's record by a changed copy, which no home has
// acknowledged yet.
func (r *Records) update(c *Claim, change func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := proto.Clone(c.record).(*Record)
	change(next)
	previous := c.acked
	c.record, c.acked, c.changed = next, map[string]bool{}, r.timers.Now()
	// Every instance that acknowledged the claim has to get its final record,
	// also when it is no longer a home.
	for home := range previous {
		c.acked[home] = false
	}
}

// replicate sends the claim's record to all homes that have not acknowledged it.
func (r *Records) replicate(ctx context.Context, c *Claim) {
	view := r.seams.View()
	r.mu.Lock()
	record := c.record
	targets := map[string]bool{}
	for _, home := range view.Homes(record.Id, homeCount) {
		targets[home] = true
	}
	for home, acked := range c.acked {
		targets[home] = !acked
	}
	c.sent = r.timers.Now()
	r.mu.Unlock()
	var calls sync.WaitGroup
	for home, missing := range targets {
		if missing {
			calls.Go(func() { r.send(ctx, view, c, home, record) })
		}
	}
	calls.Wait()
}

// send sends the record to one home. A home that is dead or no longer listed
// counts as having acknowledged it.
func (r *Records) send(ctx context.Context, view *member.View, c *Claim, home string, record *Record) {
	_, err := call(ctx, r, view, home, func(ctx context.Context, peer Once) (struct{}, error) {
		var err error
		if record.State == State_RELEASED {
			_, err = peer.Drop(ctx, &DropRequest{Id: record.Id, Token: record.Token})
		} else {
			_, err = peer.Put(ctx, &PutRequest{Record: record})
		}
		return struct{}{}, err
	})
	_, listed := view.Instance(home)
	if err == nil || !listed || r.seams.Refused(err) {
		r.acknowledge(c, home, record)
	}
}

// Run observes changes of the homes, sends records to the homes that lack them
// and removes expired records, until ctx ends.
func (r *Records) Run(ctx context.Context) error {
	// Calls to silent instances may take seconds, in which the homes have to be
	// observed.
	var observer sync.WaitGroup
	defer observer.Wait()
	observer.Go(func() {
		r.eachTick(ctx, func() {
			r.observe()
			r.store.expire()
		})
	})
	r.eachTick(ctx, func() { r.maintain(ctx) })
	return ctx.Err()
}

// eachTick calls f once in each period until ctx ends.
func (r *Records) eachTick(ctx context.Context, f func()) {
	ticks := r.timers.Subscribe(tickPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			f()
		}
	}
}

// maxConcurrentSends bounds the claims and records that are sent to homes at the
// same time.
const maxConcurrentSends = 16

// maintain sends the claims of this instance to the homes that lack them, and
// the records that it holds as home to new homes.
func (r *Records) maintain(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	slots := make(chan struct{}, maxConcurrentSends)
	start := func(f func()) {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			f()
		})
	}
	for _, c := range r.due() {
		start(func() { r.replicate(ctx, c) })
	}
	view := r.seams.View()
	for _, h := range r.store.handoffs(r.settings.ID, view) {
		start(func() {
			_, err := call(ctx, r, view, h.home, func(ctx context.Context, peer Once) (*PutAnswer, error) {
				return peer.Put(ctx, &PutRequest{Record: h.record})
			})
			if err == nil || r.seams.Refused(err) {
				r.store.markHandedOff(h)
			}
		})
	}
}

// due returns the claims that some home has not acknowledged, and removes
// expired ones. A running claim is sent again four times in a resend window, so
// that a home that lost its records in a restart holds the claim again before
// it covers the id.
func (r *Records) due() []*Claim {
	window := setting.Milliseconds(r.settings.ResendMS)
	view := r.seams.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*Claim
	for token, c := range r.claims {
		running := c.record.State == State_RUNNING
		if !running && r.timers.Since(c.changed) > window {
			r.bytes -= len(c.record.Body)
			delete(r.claims, token)
			continue
		}
		if running && r.timers.Since(c.sent) > window/4 {
			c.acked = map[string]bool{}
		}
		if r.unacknowledged(c, view) && r.timers.Since(c.sent) >= callTimeout {
			out = append(out, c)
		}
	}
	return out
}

// unacknowledged reports whether a home has not acknowledged the claim's record.
// The caller holds r.mu.
func (r *Records) unacknowledged(c *Claim, view *member.View) bool {
	for _, home := range view.Homes(c.record.Id, homeCount) {
		if !c.acked[home] {
			return true
		}
	}
	for _, acked := range c.acked {
		if !acked {
			return true
		}
	}
	return false
}

// ownRecord returns the record of this instance's claim with the token, or nil.
// The record is shared and must not be changed.
func (r *Records) ownRecord(token string) *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.claims[token]; ok {
		return c.record
	}
	return nil
}
