package step

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/scorer"
)

const (
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
	// maxRetryAfter limits the retry-after time of an error, so that a group soon
	// notices new capacity.
	maxRetryAfter = 5 * time.Second
)

// group is a sample group at its home instance. The fields that change are
// guarded by the mutex of home; a groupRun works on its own copy of the samples.
type group struct {
	key            groupKey
	account, model string
	prompt         string
	maxTokens      int
	maxAge         int
	// version is the highest version of the pulls that requested the group.
	version       int
	deadline      time.Time
	lastRequested time.Time
	running       bool
	done          bool
	cancel        context.CancelFunc
	samples       []*Sample
	// shared is set when another group had the same position at the creation, and
	// superseded while another one was requested later.
	shared, superseded bool
}

func newGroup(key groupKey, r *RunRequest, prompt string) *group {
	return &group{
		key: key, account: r.Account, model: r.Model, prompt: prompt,
		maxTokens: int(r.MaxTokens), samples: make([]*Sample, r.GroupSize),
	}
}

// abandoned reports whether another group has replaced this one and no pull waits
// for it.
func (g *group) abandoned(now time.Time) bool {
	return g.superseded && now.Sub(g.lastRequested) >= evictAfter
}

// size returns the memory that the group is accounted for, in bytes.
func (g *group) size() int64 {
	size := groupOverhead + len(g.prompt)
	for _, s := range g.samples {
		if s == nil {
			size += missingOverhead
			continue
		}
		size += groupOverhead + len(s.Text)
	}
	return int64(size)
}

// start runs the group in the background unless the service is closing. The
// caller holds mu.
func (h *home) start(g *group) {
	if h.steps.baseCtx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(h.steps.baseCtx)
	g.running, g.cancel = true, cancel
	r := &groupRun{home: h, group: g, samples: make([]*Sample, len(g.samples)), attempts: map[*attempt]struct{}{}}
	copy(r.samples, g.samples)
	h.steps.runs.Go(func() {
		defer cancel()
		err := r.complete(ctx)
		h.finish(r, err)
	})
}

// finish stores the samples of a run, also if the run failed. Samples that are
// complete are not generated again.
func (h *home) finish(r *groupRun, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := r.group
	g.running, g.cancel = false, nil
	if h.groups[g.key] != g {
		return
	}
	before := g.size()
	g.samples = r.samples
	h.bytes += g.size() - before
	if err != nil {
		h.steps.log.WithField(logs.Trainer, g.key.trainer).WithField(logs.Step, g.key.step).
			WithField(logs.Cause, err.Error()).Warn("sample group stopped before all its samples were complete")
		return
	}
	g.done = true
	h.notifyFinished(stepKey{g.key.trainer, g.key.step})
}

// limits returns the group's deadline and the lowest version that a new sample
// may have. That version follows the trainer's newest known version.
func (h *home) limits(g *group) (deadline time.Time, minVersion int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return g.deadline, h.trainers[g.key.trainer].version - g.maxAge
}

// groupRun generates the missing samples of a group.
type groupRun struct {
	home    *home
	group   *group
	samples []*Sample // each element is written by one goroutine

	mu       sync.Mutex
	attempts map[*attempt]struct{}
	rates    []float64 // tokens per second of complete attempts
	hedges   int       // running hedged attempts
}

// complete generates and scores samples until all of them are complete and recent
// enough. It generates samples again that became too old meanwhile.
func (r *groupRun) complete(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var watcher sync.WaitGroup
	watcher.Go(func() { r.watch(ctx, cancel) })
	defer watcher.Wait()
	defer cancel(nil)
	for {
		if err := r.generateMissing(ctx); err != nil {
			return err
		}
		if err := r.score(ctx); err != nil {
			return err
		}
		if r.discardOld() == 0 {
			return nil
		}
	}
}

// checkAllowed returns an error if the trainer may no longer generate.
func (r *groupRun) checkAllowed() error {
	if r.home.steps.seams.CheckAllowed == nil {
		return nil
	}
	return r.home.steps.seams.CheckAllowed(r.group.key.trainer)
}

// generateMissing generates all missing samples in parallel.
func (r *groupRun) generateMissing(ctx context.Context) error {
	errs := make([]error, len(r.samples))
	var workers sync.WaitGroup
	for k, s := range r.samples {
		if s == nil {
			workers.Go(func() { r.samples[k], errs[k] = r.generateSample(ctx, k) })
		}
	}
	workers.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// discardOld discards the samples that became too old while others were generated
// or scored, and returns their number.
func (r *groupRun) discardOld() int {
	_, minVersion := r.home.limits(r.group)
	n := 0
	for k, s := range r.samples {
		if s.oldestVersion() < minVersion {
			r.samples[k] = nil
			n++
			r.home.steps.discarded.Add("age_at_completion", 1)
		}
	}
	return n
}

// generateSample generates one sample and retries until it succeeds or ctx ends.
func (r *groupRun) generateSample(ctx context.Context, k int) (*Sample, error) {
	delays := newBackoff()
	for try := 0; ; try++ {
		s, err := r.generateHedged(ctx, k, try)
		if err == nil {
			return s, nil
		}
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		r.home.steps.discarded.Add(code.Of(err).Code.String(), 1)
		if err := r.home.steps.timers.Sleep(ctx, retryDelay(err, delays)); err != nil {
			return nil, context.Cause(ctx)
		}
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initialRetryDelay, maxRetryDelay
	return b
}

// retryDelay returns the time to wait after an error: its retry-after time with
// jitter, or else the next interval of the backoff.
func retryDelay(err error, b *backoff.ExponentialBackOff) time.Duration {
	if after := min(code.Of(err).RetryAfter, maxRetryAfter); after > 0 {
		return after + rand.N(after/4+1)
	}
	return b.NextBackOff()
}

// score requests scores for the samples that have none and retries until it
// succeeds or ctx ends. Without a scorer all scores are zero.
func (r *groupRun) score(ctx context.Context) error {
	score := r.home.steps.seams.Score
	if score == nil {
		return nil
	}
	var pending []scorer.Sample
	var indexes []int
	for k, s := range r.samples {
		if !s.scored {
			pending = append(pending, scorer.Sample{ID: s.ID, Prompt: r.group.prompt, Text: s.Text})
			indexes = append(indexes, k)
		}
	}
	if len(pending) == 0 {
		return nil
	}
	for delays := newBackoff(); ; {
		scores, err := score(ctx, pending)
		if err == nil && len(scores) != len(pending) {
			err = code.New(code.ScoreFailed, "%d scores for %d samples", len(scores), len(pending))
		}
		if err == nil {
			for i, k := range indexes {
				scored := *r.samples[k]
				scored.Score, scored.scored = scores[i], true
				r.samples[k] = &scored
			}
			return nil
		}
		r.home.steps.scoreFailed.Add(r.group.key.trainer, 1)
		if r.home.steps.timers.Sleep(ctx, retryDelay(err, delays)) != nil {
			return context.Cause(ctx)
		}
	}
}

// requestID returns the id of a generation. Engines cancel generations by id, so
// that those of two groups with the same position must differ.
func (r *groupRun) requestID(k, try int) string {
	if r.group.shared {
		key := r.group.key
		return fmt.Sprintf("%s/%x.%d.%d/%d", r.sampleID(k), key.digest, key.size, key.maxTokens, try)
	}
	return fmt.Sprintf("%s/%d", r.sampleID(k), try)
}

func (r *groupRun) sampleID(k int) string {
	return fmt.Sprintf("%s/%s/%d/%d", r.group.key.trainer, r.group.key.step, r.group.key.group, k)
}
