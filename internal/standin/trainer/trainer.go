// Package trainer is a stand-in for a trainer: it pulls steps, announces new
// weight versions, sends its calls to several instances in turn and checks every
// sample that it receives.
//
// # Usage
//
//	t := trainer.New(trainer.Options{Addresses: addresses, Trainer: "t1", Key: key, Steps: 10})
//	summary, err := t.Run(ctx)
//	if summary.Violations() > 0 {
//		return errors.New("samples violate the protocol")
//	}
//
// Each pull carries a bitmap of the groups that the trainer already has: bit i, in
// byte i/8 with the value 1<<(i%8), is set for group i of the step.
package trainer

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/standin/engine"
)

// Options describe a trainer's run.
type Options struct {
	// Addresses are the instances' client addresses, used in turn.
	Addresses []string
	// Trainer is the name of the trainer, Key the API key of its client account.
	Trainer, Key string
	// WeightStore is the address of the weight store; when empty, no weights are put.
	WeightStore string
	// Steps and MaxDuration end the run, whichever is reached first; 0 means no bound.
	Steps       int
	MaxDuration time.Duration
	// Grace is the time after MaxDuration in which started steps can be completed.
	Grace time.Duration
	// Groups is the number of groups in a step, each of GroupSize samples.
	Groups, GroupSize int
	// MeanTokens is the usual length of a sample: lengths vary around this mean. On
	// average one group in TailEvery has 6 times that length; 0 means none.
	MeanTokens, TailEvery int
	// TrainTime is how long training on one step takes.
	TrainTime time.Duration
	// PrefetchSteps is the number of steps pulled while training on an earlier one.
	PrefetchSteps int
	// Version is the first weight version. A new one is announced after every
	// StepsPerVersion steps; 0 means never.
	Version, StepsPerVersion int
	// MaxAge is the maximum age of a sample in versions, as configured in the
	// trainer's row.
	MaxAge int
	// PullWait is how long the instance may hold a pull open, StepTimeout the time
	// for a whole step.
	PullWait, StepTimeout time.Duration
	// Seed determines the lengths of the samples.
	Seed uint64
}

const (
	defaultRetryDelay = 200 * time.Millisecond
	// emptyPullDelay is the delay after a pull without groups; it prevents a tight
	// loop against an instance that responds at once.
	emptyPullDelay = 20 * time.Millisecond
	putTimeout     = 5 * time.Second
	// pullTimeoutMargin is how long a pull may take beyond Options.PullWait.
	pullTimeoutMargin = 10 * time.Second
	// tailFactor is the length of a long sample in multiples of Options.MeanTokens.
	tailFactor = 6
	// maxRetryDelay bounds the delay that a Retry-After header can demand.
	maxRetryDelay = 5 * time.Second
)

// Trainer is the stand-in. Run runs it once.
type Trainer struct {
	options Options
	client  *http.Client

	mu           sync.Mutex
	version      int
	addressIndex int
	// seen holds the IDs of all samples received.
	seen    map[string]bool
	summary Summary
}

// New returns a trainer that has not pulled a step yet.
func New(options Options) *Trainer {
	return &Trainer{
		options: options, version: options.Version, seen: map[string]bool{},
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 20 * time.Second}},
		summary: newSummary(options.Trainer),
	}
}

// Run pulls and trains until Options.Steps or Options.MaxDuration ends the run,
// and returns the summary.
func (t *Trainer) Run(ctx context.Context) (Summary, error) {
	began := time.Now()
	// After the limit no step is started. Those already started are completed
	// within the grace time, so that all generated samples are also received.
	startCtx, stop := context.WithCancel(ctx)
	defer stop()
	if t.options.MaxDuration > 0 {
		startCtx, stop = context.WithTimeout(ctx, t.options.MaxDuration)
		defer stop()
		ctx, stop = context.WithTimeout(ctx, t.options.MaxDuration+t.options.Grace)
		defer stop()
	}
	if err := t.announce(ctx, t.options.Version); err != nil {
		return t.Summary(), err
	}
	// Each ticket allows one step to be pulled; a trained step returns its ticket.
	tickets := make(chan struct{}, t.options.PrefetchSteps+1)
	for range t.options.PrefetchSteps + 1 {
		tickets <- struct{}{}
	}
	steps := make(chan struct{}, t.options.PrefetchSteps+1)
	go t.pullSteps(ctx, startCtx, tickets, steps)
	err := t.trainSteps(ctx, tickets, steps)
	t.mu.Lock()
	t.summary.RunMS = time.Since(began).Milliseconds()
	t.mu.Unlock()
	return t.Summary(), err
}

// pullSteps pulls one step after another, each with a ticket, until startCtx ends
// or Options.Steps is reached.
func (t *Trainer) pullSteps(ctx, startCtx context.Context, tickets, steps chan struct{}) {
	defer close(steps)
	for step := 1; t.options.Steps == 0 || step <= t.options.Steps; step++ {
		select {
		case <-tickets:
		case <-startCtx.Done():
			return
		}
		if startCtx.Err() != nil || !t.pullStep(ctx, step) {
			return
		}
		steps <- struct{}{}
	}
}

// trainSteps trains on the pulled steps. The time that it waits for a step or for
// the announcement of new weights counts as idle time.
func (t *Trainer) trainSteps(ctx context.Context, tickets, steps chan struct{}) error {
	for done := 1; ; done++ {
		waited := time.Now()
		_, more := <-steps
		t.mu.Lock()
		t.summary.IdleMS += time.Since(waited).Milliseconds()
		t.mu.Unlock()
		if !more {
			return nil
		}
		if !sleep(ctx, t.options.TrainTime) {
			return nil
		}
		t.mu.Lock()
		t.summary.Steps++
		version := t.version
		t.mu.Unlock()
		if t.options.StepsPerVersion > 0 && done%t.options.StepsPerVersion == 0 {
			// Training does not go on before the new weights are announced, so
			// the announcement counts as idle time.
			waited := time.Now()
			err := t.announce(ctx, version+1)
			t.update(func(s *Summary) { s.IdleMS += time.Since(waited).Milliseconds() })
			if err != nil && ctx.Err() == nil {
				return err
			}
		}
		tickets <- struct{}{}
	}
}

type versionBody struct {
	Version int `json:"version"`
}

// announce puts the weights into the weight store and announces their version to
// the instances in turn until one accepts it.
func (t *Trainer) announce(ctx context.Context, version int) error {
	if t.options.WeightStore != "" {
		url := fmt.Sprintf("http://%s/v1/weights/%s/%d", t.options.WeightStore, t.options.Trainer, version)
		if err := t.retry(ctx, url, func() error {
			_, err := codec.Exchange(ctx, t.client, http.MethodPut, url, nil, bytes.NewReader([]byte("weights")))
			return err
		}); err != nil {
			return err
		}
	}
	if err := t.retry(ctx, "version", func() error {
		callCtx, stop := context.WithTimeout(ctx, putTimeout)
		defer stop()
		url := fmt.Sprintf("http://%s/v1/trainers/%s/version", t.nextAddress(), t.options.Trainer)
		_, err := codec.Call[struct{}](callCtx, t.client, http.MethodPut, url, t.authHeader(), versionBody{version})
		return err
	}); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version = version
	t.summary.Announced = append(t.summary.Announced, version)
	return nil
}

// retry repeats a call until it succeeds or ctx ends.
func (t *Trainer) retry(ctx context.Context, name string, call func() error) error {
	for {
		err := call()
		if err == nil {
			return nil
		}
		t.countError(err)
		if !sleep(ctx, retryDelay(err)) {
			return eris.Wrapf(err, "announce %s", name)
		}
	}
}

func (t *Trainer) authHeader() http.Header {
	return http.Header{"Authorization": {"Bearer " + t.options.Key}}
}

// nextAddress returns the address of the next instance in turn.
func (t *Trainer) nextAddress() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addressIndex++
	return t.options.Addresses[t.addressIndex%len(t.options.Addresses)]
}

type pullBody struct {
	Version    int      `json:"version"`
	Groups     int      `json:"groups"`
	GroupSize  int      `json:"group_size"`
	Prompts    []string `json:"prompts"`
	MaxTokens  int      `json:"max_tokens"`
	Have       string   `json:"have"`
	WaitMS     int64    `json:"wait_ms"`
	DeadlineMS int64    `json:"deadline_ms"`
}

type pullResponse struct {
	Groups []struct {
		Group   int      `json:"group"`
		Samples []sample `json:"samples"`
	} `json:"groups"`
	Complete bool `json:"complete"`
}

type sample struct {
	ID       string  `json:"id"`
	Text     string  `json:"text"`
	Score    float64 `json:"score"`
	Tokens   int     `json:"tokens"`
	Versions []span  `json:"versions"`
}

type span struct {
	Version int `json:"version"`
	From    int `json:"from"`
	To      int `json:"to"`
}

// prompts returns the prompts of a step, which contain the lengths of their
// samples, and the maximum length.
func (t *Trainer) prompts(step int) ([]string, int) {
	random := rand.New(rand.NewPCG(t.options.Seed, uint64(step)))
	prompts := make([]string, 0, t.options.Groups)
	for g := range t.options.Groups {
		length := t.options.MeanTokens/2 + random.IntN(t.options.MeanTokens+1)
		if t.options.TailEvery > 0 && random.IntN(t.options.TailEvery) == 0 {
			length = t.options.MeanTokens * tailFactor
		}
		prompts = append(prompts, fmt.Sprintf("trainer %s step %d group %d len=%d ", t.options.Trainer, step, g, max(length, 1)))
	}
	return prompts, t.options.MeanTokens * tailFactor
}

// pullStep pulls one step until all its groups are received or the instance
// reports the step as complete. It returns false if ctx ended first.
func (t *Trainer) pullStep(ctx context.Context, step int) bool {
	began := time.Now()
	prompts, maxTokens := t.prompts(step)
	received := make([]byte, (t.options.Groups+7)/8)
	for remaining := t.options.Groups; remaining > 0; {
		t.mu.Lock()
		version := t.version
		t.summary.Pulls++
		t.mu.Unlock()
		response, err := t.pull(ctx, step, pullBody{
			Version: version, Groups: t.options.Groups, GroupSize: t.options.GroupSize, Prompts: prompts,
			MaxTokens: maxTokens, Have: base64.StdEncoding.EncodeToString(received), WaitMS: t.options.PullWait.Milliseconds(),
			DeadlineMS: max(t.options.StepTimeout-time.Since(began), time.Second).Milliseconds(),
		})
		if err != nil {
			if ctx.Err() != nil {
				return false
			}
			t.countError(err)
			if !sleep(ctx, retryDelay(err)) {
				return false
			}
			continue
		}
		for _, g := range response.Groups {
			if g.Group < 0 || g.Group >= t.options.Groups || received[g.Group/8]&(1<<(g.Group%8)) != 0 {
				t.update(func(s *Summary) { s.Duplicates += len(g.Samples) })
				continue
			}
			received[g.Group/8] |= 1 << (g.Group % 8)
			remaining--
			t.checkSamples(version, prompts[g.Group], maxTokens, g.Samples)
		}
		if len(response.Groups) == 0 && !response.Complete && !sleep(ctx, emptyPullDelay) {
			return false
		}
		if response.Complete && remaining > 0 {
			t.update(func(s *Summary) { s.Missing += remaining * t.options.GroupSize })
			return true
		}
	}
	t.update(func(s *Summary) { s.StepMS = append(s.StepMS, time.Since(began).Milliseconds()) })
	return true
}

func (t *Trainer) pull(ctx context.Context, step int, body pullBody) (pullResponse, error) {
	callCtx, stop := context.WithTimeout(ctx, t.options.PullWait+pullTimeoutMargin)
	defer stop()
	url := fmt.Sprintf("http://%s/v1/trainers/%s/steps/%d/pull", t.nextAddress(), t.options.Trainer, step)
	return codec.Call[pullResponse](callCtx, t.client, http.MethodPost, url, t.authHeader(), body)
}

// checkSamples checks the samples of a group: each must be new, have the text and
// length that belong to the prompt, be labelled with versions and be within the
// maximum age.
func (t *Trainer) checkSamples(version int, prompt string, maxTokens int, samples []sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.summary
	if missing := t.options.GroupSize - len(samples); missing > 0 {
		s.Missing += missing
	} else {
		s.Duplicates -= missing
	}
	tokens, _ := engine.Length(prompt, maxTokens)
	for _, v := range samples {
		if t.seen[v.ID] {
			s.Duplicates++
			s.addExample("sample %s came twice", v.ID)
			continue
		}
		t.seen[v.ID] = true
		s.Samples++
		s.Tokens += int64(v.Tokens)
		if v.Tokens != tokens || v.Text != engine.Text(prompt, 0, tokens) {
			s.Wrong++
			s.addExample("sample %s: %d tokens, want %d, text starts %.40q, has %d bytes, ends %q, versions %v",
				v.ID, v.Tokens, tokens, v.Text, len(v.Text), v.Text[max(0, len(v.Text)-40):], v.Versions)
		}
		if !isLabelled(v) {
			s.Unlabelled++
			s.addExample("sample %s: versions do not cover its %d tokens: %v", v.ID, v.Tokens, v.Versions)
			continue
		}
		oldest := slices.MinFunc(v.Versions, func(a, b span) int { return a.Version - b.Version }).Version
		age := max(version-oldest, 0)
		s.Ages[age]++
		s.Versions[oldest]++
		if age > t.options.MaxAge {
			s.TooOld++
			s.addExample("sample %s is too old: pulled with version %d, versions %v", v.ID, version, v.Versions)
		}
	}
}

// isLabelled reports whether the version spans cover all tokens of the sample in
// order and without gaps.
func isLabelled(v sample) bool {
	at := 0
	for _, s := range v.Versions {
		if s.From != at || s.To <= s.From || s.Version <= 0 {
			return false
		}
		at = s.To
	}
	return at == v.Tokens && at > 0
}
