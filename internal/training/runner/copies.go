package runner

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/conn"
)

const (
	// copyInterval is how often new events are copied to the standbys. It bounds how
	// much is generated again after the loss of the active worker.
	copyInterval = 400 * time.Millisecond
	// copyTimeout bounds one call to a standby.
	copyTimeout = 600 * time.Millisecond
	// copyBytes is the size of the texts from which on a call ends. All texts at once may
	// exceed the limit of 10 MiB for a body.
	copyBytes = 512 << 10
	// maxStandbys is the number of workers that get copies. Each costs the bytes of every
	// event once, mostly between availability zones.
	maxStandbys = 2
	// maxCopyDelay bounds the pause after failed calls to a standby, which begins with
	// copyInterval.
	maxCopyDelay = 5 * time.Second
	// currentCopyAge is the age up to which copies count as current. A successor takes the
	// role about 2 s after the last copies of a lost holder.
	currentCopyAge = 3 * time.Second
	// missingInterval is how often a standby lists the items without a text.
	missingInterval = 4 * time.Second
)

// replaceAfterFailures is the number of failed calls in a row after which another worker
// takes the place of a standby. One call times out on a busy machine, and a new standby
// costs a copy of all texts.
const replaceAfterFailures = 3

// standbyStates is what each standby has of a text, by address.
type standbyStates map[string]copyState

// standbyTarget is a worker to which copies may be sent.
type standbyTarget struct {
	address   string
	standby   Standby
	chosen    bool
	busy      bool // a round runs
	failures  int  // consecutive
	delay     *backoff.ExponentialBackOff
	notBefore time.Duration // uptime of the next round
}

// standbyTargets are the workers to which copies may be sent.
type standbyTargets struct{ all []*standbyTarget }

// update sets the addresses of the other workers, the preferred one first, and chooses
// those that get copies: the ones that have them already and answer, others that answer,
// and those that failed. It returns the addresses that are no longer chosen.
func (s *standbyTargets) update(addresses []string, create func(address string) *standbyTarget) (dropped []string) {
	var targets []*standbyTarget
	for _, address := range addresses {
		i := slices.IndexFunc(s.all, func(t *standbyTarget) bool { return t.address == address })
		if i < 0 {
			targets = append(targets, create(address))
			continue
		}
		targets = append(targets, s.all[i])
	}
	for _, t := range s.all {
		if t.chosen && !slices.Contains(targets, t) {
			dropped = append(dropped, t.address)
		}
	}
	rank := func(t *standbyTarget) int {
		switch {
		case t.chosen && t.failures < replaceAfterFailures:
			return 0
		case t.failures == 0:
			return 1
		case t.chosen:
			return 2
		}
		return 3
	}
	slices.SortStableFunc(targets, func(a, b *standbyTarget) int { return cmp.Compare(rank(a), rank(b)) })
	for i, t := range targets {
		if t.chosen && i >= maxStandbys {
			dropped = append(dropped, t.address)
			// A worker that failed may be tried again when another one fails.
			t.failures = 0
		}
		t.chosen = i < maxStandbys
	}
	s.all = targets
	return dropped
}

// due returns the chosen targets for which a round is due, and marks them as busy.
func (s *standbyTargets) due(now time.Duration) []*standbyTarget {
	var due []*standbyTarget
	for _, t := range s.all {
		if t.chosen && !t.busy && now >= t.notBefore {
			t.busy = true
			due = append(due, t)
		}
	}
	return due
}

// finish notes the end of a round and returns the pause after a failure.
func (t *standbyTarget) finish(err error, now time.Duration) time.Duration {
	t.busy = false
	if err == nil {
		t.failures = 0
		t.delay.Reset()
		return 0
	}
	t.failures++
	pause := t.delay.NextBackOff()
	t.notBefore = now + pause
	return pause
}

// CopyToStandby sends the texts of the active worker to the standbys until ctx ends. peers
// returns the addresses of the other workers, the preferred one first. Each standby has
// its own rounds, so that one that does not answer delays no other.
func (r *Runner) CopyToStandby(ctx context.Context, peers func() []string) {
	ticks := r.timers.Subscribe(copyInterval)
	defer ticks.Stop()
	client := conn.NewPeerClient(dialTimeout, http.DefaultMaxIdleConnsPerHost)
	create := func(address string) *standbyTarget {
		delay := backoff.NewExponentialBackOff()
		delay.InitialInterval, delay.MaxInterval, delay.Multiplier = copyInterval, maxCopyDelay, 2
		return &standbyTarget{address: address, standby: NewStandbyProtobufClient("http://"+address, client), delay: delay}
	}
	type result struct {
		target *standbyTarget
		err    error
	}
	results := make(chan result)
	var targets standbyTargets
	for {
		select {
		case <-ctx.Done():
			return
		case done := <-results:
			pause := done.target.finish(done.err, r.timers.Uptime())
			if done.err != nil {
				r.copyCounters.failures.Add(done.target.address, 1)
				r.log.WithFields(logrus.Fields{
					logs.Peer: done.target.address, logs.Cause: done.err.Error(), "failures": done.target.failures, "retry_ms": pause.Milliseconds(),
				}).Warn("texts not copied to the standby")
			}
		case <-ticks.C:
			for _, address := range targets.update(peers(), create) {
				r.post(ctx, func(context.Context) { r.forgetStandby(address) })
			}
			for _, t := range targets.due(r.timers.Uptime()) {
				go func() {
					select {
					case results <- result{t, r.copyTo(ctx, t.address, t.standby)}:
					case <-ctx.Done():
					}
				}()
			}
		}
	}
}

// errNoneKept is the error of a worker that took no text of a call: it executes the batches
// itself, or does not know them yet.
var errNoneKept = errors.New("the worker took none of the texts: it is active or does not know their batches")

// copyTo sends the events that the standby does not have, the longest texts first, and a
// request without texts at the end.
func (r *Runner) copyTo(ctx context.Context, address string, standby Standby) error {
	var parts []textPart
	needed := false
	_, ok := r.collect(ctx, func() []*Text {
		needed = r.active && len(r.unfinishedTasks()) > 0
		if needed {
			parts = r.partsFor(address)
		}
		return nil
	})
	if !ok || !needed {
		return nil
	}
	for _, texts := range append(splitParts(parts, copyBytes), nil) {
		limited, cancel := context.WithTimeout(ctx, copyTimeout)
		reply, err := standby.Keep(limited, &KeepRequest{Texts: texts})
		cancel()
		if err != nil {
			return err
		}
		r.copyCounters.copied.Add(address, int64(len(texts)))
		r.post(ctx, func(context.Context) { r.noteCopied(address, texts, reply.GetMissing()) })
		if fromStart := slices.ContainsFunc(texts, func(p *Text) bool { return p.GetFrom() == 0 }); fromStart && len(reply.GetMissing()) >= len(texts) {
			return errNoneKept
		}
	}
	return nil
}

// partsFor returns the parts of texts that the standby does not have.
func (r *Runner) partsFor(address string) []textPart {
	var parts []textPart
	for _, t := range r.unfinishedTasks() {
		p := textPart{key: t.textKey, text: t.snapshot()}
		if has := r.copied[t.textKey][address]; has.origin == p.text.origin {
			p.from = has.events
		}
		if len(p.text.pieces) >= minCopyEvents && len(p.text.pieces) > p.from {
			parts = append(parts, p)
		}
	}
	return parts
}

// noteCopied records what the standby has after it took the texts, of which it misses
// some.
func (r *Runner) noteCopied(address string, texts []*Text, missing []string) {
	for _, p := range texts {
		if r.findTask(p.GetItem()) == nil {
			continue // the batch has ended
		}
		if r.copied[p.GetItem()] == nil {
			r.copied[p.GetItem()] = standbyStates{}
		}
		r.copied[p.GetItem()][address] = copyState{origin: p.GetOrigin(), events: int(p.GetFrom()) + len(p.GetPieces())}
	}
	for _, key := range missing {
		delete(r.copied[key], address)
	}
}

// forgetStandby drops the state of a worker that gets no more copies.
func (r *Runner) forgetStandby(address string) {
	for _, states := range r.copied {
		delete(states, address)
	}
}
