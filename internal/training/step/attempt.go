package step

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
)

const (
	// watchInterval is how often a running group checks its deadline and looks for
	// stragglers.
	watchInterval = 250 * time.Millisecond
	// minRateDuration is how long a stream must run before its rate is used.
	minRateDuration = time.Second
	// hedgeDivisor limits the hedged attempts of a group to len(samples)/hedgeDivisor
	// at a time, but at least one. Without this limit a shortage of engines would
	// make every sample a straggler and double the load.
	hedgeDivisor = 4
)

// attempt is one try at generating a sample.
type attempt struct {
	run        *groupRun
	index      int
	minVersion int
	builder    sampleBuilder
	// hedge receives the endpoint to avoid when a hedged attempt must start. It is
	// nil in a hedged attempt.
	hedge chan string

	mu             sync.Mutex
	firstChunkAt   time.Time // when the first chunk arrived
	tokens         int
	endpoint       string
	hedgeRequested bool
}

type attemptResult struct {
	sample *Sample
	err    error
}

// generateHedged generates a sample and starts a hedged attempt if the first one
// is a straggler. The first complete sample wins and the other attempt is
// cancelled.
func (r *groupRun) generateHedged(ctx context.Context, k, try int) (*Sample, error) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan attemptResult, 2)
	first := &attempt{run: r, index: k, hedge: make(chan string, 1)}
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	defer r.releaseHedge(first)
	start := func(suffix string, a *attempt, avoid []string) {
		running.Go(func() {
			s, err := a.generate(ctx, r.requestID(k, try)+suffix, avoid)
			results <- attemptResult{s, err}
		})
	}
	start("", first, nil)
	pending := 1
	var errs error
	for pending > 0 {
		select {
		case endpoint := <-first.hedge:
			r.home.steps.hedged.Add(r.group.key.trainer, 1)
			pending++
			var avoid []string
			if endpoint != "" {
				avoid = []string{endpoint}
			}
			start("h", &attempt{run: r, index: k}, avoid)
		case result := <-results:
			pending--
			if result.err == nil {
				return result.sample, nil
			}
			errs = errors.Join(errs, result.err)
		}
	}
	return nil, errs
}

// generate waits for a free slot and runs the attempt.
func (a *attempt) generate(ctx context.Context, request string, avoid []string) (*Sample, error) {
	r := a.run
	defer r.remove(a)
	if err := r.home.slots.Acquire(ctx, 1); err != nil {
		return nil, err
	}
	defer r.home.slots.Release(1)
	g := r.group
	deadline, minVersion := r.home.limits(g)
	a.minVersion = minVersion
	a.builder.maxTokens = g.maxTokens
	r.add(a)
	result, err := r.home.steps.seams.Generate(ctx, Job{
		Request: request, Account: g.account, Model: g.model, Class: Class, Prompt: g.prompt,
		MaxTokens: g.maxTokens, Seed: int64(xxhash.Sum64String(request) >> 1),
		Deadline: deadline, MinVersion: max(minVersion, 0), Avoid: avoid, Check: a.check,
	}, a.sink)
	if err != nil {
		return nil, err
	}
	s, err := a.builder.build(r.sampleID(a.index), result)
	if err != nil {
		return nil, err
	}
	if err := a.checkAge(); err != nil {
		return nil, err
	}
	a.recordRate()
	return &s, nil
}

// check rejects a job if the lowest allowed version rose while the job was
// queued, since an engine with the old bound might now produce a sample that is too
// old. The next attempt uses the new bound.
func (a *attempt) check() error {
	if err := a.run.checkAllowed(); err != nil {
		return err
	}
	if _, minVersion := a.run.home.limits(a.run.group); minVersion > a.minVersion {
		return code.New(code.SampleTooOld, "the trainer moved on while the sample waited").WithRun(code.NotRun)
	}
	return nil
}

// checkAge returns an error if a part of the sample is too old.
func (a *attempt) checkAge() error {
	_, minVersion := a.run.home.limits(a.run.group)
	if oldest := a.builder.oldestVersion(); oldest != 0 && oldest < minVersion {
		return code.New(code.SampleTooOld, "the sample has version %d, the lowest allowed is %d", oldest, minVersion)
	}
	return nil
}

// sink receives the chunks of the stream.
func (a *attempt) sink(c Chunk) error {
	if err := a.builder.add(c); err != nil {
		return err
	}
	a.mu.Lock()
	if a.firstChunkAt.IsZero() {
		a.firstChunkAt = a.run.home.steps.timers.Now()
	}
	a.tokens = a.builder.tokens
	if c.Endpoint != "" {
		a.endpoint = c.Endpoint
	}
	a.mu.Unlock()
	return a.checkAge()
}

// rate returns the tokens per second of the stream, and false if it has not run
// for minRateDuration yet.
func (a *attempt) rate(now time.Time) (float64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	elapsed := now.Sub(a.firstChunkAt)
	if a.firstChunkAt.IsZero() || elapsed < minRateDuration {
		return 0, false
	}
	return float64(a.tokens) / elapsed.Seconds(), true
}

// recordRate adds the rate of a complete attempt to those of the group.
func (a *attempt) recordRate() {
	now := a.run.home.steps.timers.Now()
	a.mu.Lock()
	elapsed, tokens := now.Sub(a.firstChunkAt), a.tokens
	a.mu.Unlock()
	if elapsed <= 0 {
		return
	}
	a.run.mu.Lock()
	defer a.run.mu.Unlock()
	a.run.rates = append(a.run.rates, float64(tokens)/elapsed.Seconds())
}

func (r *groupRun) add(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[a] = struct{}{}
}

func (r *groupRun) remove(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.attempts, a)
}

// releaseHedge decrements the number of hedged attempts if the attempt had one.
func (r *groupRun) releaseHedge(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.hedgeRequested {
		r.hedges--
	}
}

// watch hedges stragglers and stops the run at the group's deadline or when the
// trainer may no longer generate.
func (r *groupRun) watch(ctx context.Context, stop context.CancelCauseFunc) {
	ticks := r.home.steps.timers.Subscribe(watchInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		now := r.home.steps.timers.Now()
		deadline, _ := r.home.limits(r.group)
		if !now.Before(deadline) {
			stop(code.New(code.DeadlinePast, "the step's deadline has passed"))
			return
		}
		if err := r.checkAllowed(); err != nil {
			stop(err)
			return
		}
		r.hedgeStragglers(now, deadline)
	}
}

// hedgeStragglers requests hedged attempts for samples that would not be complete
// well before the deadline or that run much slower than the rest of the group.
func (r *groupRun) hedgeStragglers(now, deadline time.Time) {
	if r.home.steps.settings.Policy == setting.PolicyPlain {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rates := slices.Clone(r.rates)
	for a := range r.attempts {
		if rate, ok := a.rate(now); ok {
			rates = append(rates, rate)
		}
	}
	if len(rates) == 0 {
		return
	}
	slices.Sort(rates)
	median := rates[len(rates)/2]
	limit := max(1, len(r.samples)/hedgeDivisor)
	for a := range r.attempts {
		if r.hedges >= limit {
			return
		}
		if endpoint, due := a.needsHedge(now, deadline, median, len(rates)); due {
			r.hedges++
			a.hedge <- endpoint
		}
	}
}

// needsHedge reports whether a hedged attempt must start, at most once for each
// attempt, and returns the endpoint that it must avoid.
func (a *attempt) needsHedge(now, deadline time.Time, median float64, rates int) (string, bool) {
	rate, known := a.rate(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hedge == nil || a.hedgeRequested || median <= 0 {
		return "", false
	}
	remaining := time.Duration(float64(a.run.group.maxTokens-a.tokens) / median * float64(time.Second))
	late := deadline.Sub(now) < 2*remaining
	slow := known && rates > 1 && rate < median/2
	if !late && !slow {
		return "", false
	}
	a.hedgeRequested = true
	return a.endpoint, true
}
