package once

import (
	"context"
	"net/http"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
)

func storedOf(record *Record) Stored {
	header := http.Header{}
	for _, h := range record.Header {
		header[h.Name] = h.Values
	}
	return Stored{Run: code.Ran, Status: int(record.Status), Header: header, Body: record.Body, Whole: record.Whole}
}

// open registers an own claim.
func (r *Records) open(record *Record) (*Claim, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.claims) >= recordsLimit {
		return nil, unsure(code.MaybeRun, retryReturn, "too many idempotency keys are in use")
	}
	now := r.timers.Now()
	c := &Claim{records: r, record: record, acked: map[string]bool{}, changed: now, pushed: now}
	r.claims[record.Token] = c
	return c, nil
}

func (r *Records) acknowledge(c *Claim, home string, record *Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.record == record {
		c.acked[home] = true
	}
}

// release gives a claim up whose request did not run. The claimer remembers
// that, since a home may miss the drop.
func (r *Records) release(ctx context.Context, c *Claim) {
	r.settle(c, func(record *Record) { record.State = State_RELEASED })
	r.spread(ctx, c)
}

// Done records how the request ended. It returns once the homes were told, or
// after a second; later changes of homes are followed in the background.
func (c *Claim) Done(ctx context.Context, answer Stored) {
	if c.replay != nil {
		return
	}
	r := c.records
	r.settle(c, func(record *Record) {
		switch answer.Run {
		case code.NotRun:
			record.State = State_RELEASED
		case code.Ran:
			record.State, record.Status = State_RAN, int32(answer.Status)
			if answer.Whole && len(answer.Body) <= BodyLimit && r.bytes+len(answer.Body) <= bodiesLimit {
				record.Body, record.Whole = answer.Body, true
				r.bytes += len(answer.Body)
				for name, values := range answer.Header {
					record.Header = append(record.Header, &Header{Name: name, Values: values})
				}
			}
		default:
			record.State = State_MAY_HAVE_RUN
		}
	})
	r.spread(context.WithoutCancel(ctx), c)
}

// settle replaces the claim's record by a changed copy.
func (r *Records) settle(c *Claim, change func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := proto.Clone(c.record).(*Record)
	change(next)
	told := c.acked
	c.record, c.acked, c.changed = next, map[string]bool{}, r.timers.Now()
	// The homes that know the claim have to learn its end, also when they are
	// no longer homes.
	for home := range told {
		c.acked[home] = false
	}
}

// spread sends the claim's record to all homes that do not hold it.
func (r *Records) spread(ctx context.Context, c *Claim) {
	view := r.seams.View()
	r.mu.Lock()
	record := c.record
	targets := map[string]bool{}
	for _, home := range view.Homes(record.Id, homes) {
		targets[home] = true
	}
	for home, acked := range c.acked {
		targets[home] = !acked
	}
	c.pushed = r.timers.Now()
	r.mu.Unlock()
	var calls sync.WaitGroup
	for home, missing := range targets {
		if missing {
			calls.Go(func() { r.push(ctx, view, c, home, record) })
		}
	}
	calls.Wait()
}

func (r *Records) push(ctx context.Context, view *member.View, c *Claim, home string, record *Record) {
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

// Run follows the changes of homes, repeats what a home has missed and removes
// expired records, until ctx ends.
func (r *Records) Run(ctx context.Context) error {
	ticks := r.timers.Subscribe(tickPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
			r.observe()
			r.store.expire()
			r.maintain(ctx)
		}
	}
}

// The number of claims whose homes are told at the same time.
const maintainers = 16

func (r *Records) maintain(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	slots := make(chan struct{}, maintainers)
	start := func(f func()) {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			f()
		})
	}
	for _, c := range r.due() {
		start(func() { r.spread(ctx, c) })
	}
	view := r.seams.View()
	for _, h := range r.store.handoffs(r.settings.ID, view) {
		start(func() {
			_, err := call(ctx, r, view, h.home, func(ctx context.Context, peer Once) (*PutAnswer, error) {
				return peer.Put(ctx, &PutRequest{Record: h.record})
			})
			if err == nil || r.seams.Refused(err) {
				r.store.tell(h)
			}
		})
	}
}

// due returns the claims that some home does not hold, and forgets expired
// ones. A running claim is refreshed several times in a resend window, so that
// a home which lost its records by a restart holds it again before it covers
// the id.
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
		if running && r.timers.Since(c.pushed) > window/4 {
			c.acked = map[string]bool{}
		}
		if r.behind(c, view) && r.timers.Since(c.pushed) >= callLimit {
			out = append(out, c)
		}
	}
	return out
}

func (r *Records) behind(c *Claim, view *member.View) bool {
	for _, home := range view.Homes(c.record.Id, homes) {
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

// own returns a copy-free view of the claimer's record, or nil.
func (r *Records) own(token string) *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.claims[token]; ok {
		return c.record
	}
	return nil
}
