package step

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
)

const (
	// watchInterval is how often a running group looks for stragglers.
	watchInterval = 250 * time.Millisecond
	// minRateDuration is how long a stream runs before its rate counts.
	minRateDuration = time.Second
	// hedgeDivisor is the part of a group that may have a hedged attempt at a
	// time, at least one. Without this bound a shortage of engines would make
	// every sample a straggler and double the load.
	hedgeDivisor = 4
)

// attempt is one generation of one sample.
type attempt struct {
	run        *groupRun
	index      int
	minVersion int
	builder    sampleBuilder
	// hedge receives the endpoint to avoid when a second attempt is due.
	hedge chan string

	mu             sync.Mutex
	firstChunkAt   time.Time // when the first chunk came
	tokens         int
	endpoint       string
	hedgeRequested bool // a hedged attempt was asked for
}

type attemptResult struct {
	sample *Sample
	err    error
}

// generateHedged generates a sample, with a hedged attempt if the first one is a
// straggler. The first complete sample wins and the other attempt is cancelled.
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
			s, err := a.generate(ctx, r.sampleID(k)+"/"+strconv.Itoa(try)+suffix, avoid)
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

// generate runs the attempt when a slot is free.
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

// check refuses a job that has waited while the trainer moved on: its lowest
// version may now be too old. The next attempt has the new bound.
func (a *attempt) check() error {
	if err := a.run.checkAllowed(); err != nil {
		return err
	}
	if _, minVersion := a.run.home.limits(a.run.group); minVersion > a.minVersion {
		return code.New(code.SampleTooOld, "the trainer moved on while the sample waited").WithRun(code.NotRun)
	}
	return nil
}

// checkAge returns an error once a part of the sample is too old.
func (a *attempt) checkAge() error {
	_, minVersion := a.run.home.limits(a.run.group)
	if oldest := a.builder.oldestVersion(); oldest != 0 && oldest < minVersion {
		return code.New(code.SampleTooOld, "the sample has version %d, the lowest allowed is %d", oldest, minVersion)
	}
	return nil
}

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

// rate returns the tokens per second of a stream that runs long enough.
func (a *attempt) rate(now time.Time) (float64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	elapsed := now.Sub(a.firstChunkAt)
	if a.firstChunkAt.IsZero() || elapsed < minRateDuration {
		return 0, false
	}
	return float64(a.tokens) / elapsed.Seconds(), true
}

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

// releaseHedge frees the place of an attempt's hedged one.
func (r *groupRun) releaseHedge(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.hedgeRequested {
		r.hedges--
	}
}

// watch stops the run at the group's deadline and asks for hedged attempts.
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

// hedgeStragglers starts second attempts of samples that would not be complete
// well before the deadline or that run much slower than the group's others.
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

// needsHedge reports once whether the attempt needs a hedged one.
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
