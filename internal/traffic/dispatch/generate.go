package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/engine"
	"github.com/wigeonpin/wigeonpin/internal/traffic/queue"
)

// promptDivisor is about the factor by which prompt tokens are cheaper than
// generated ones, since the prefill processes them in parallel.
const promptDivisor = 8

// bytesPerToken converts prompt bytes to tokens for usage, since engines do not
// report prompt tokens.
const bytesPerToken = 4

// generation is the state of one job across its attempts.
type generation struct {
	d        *Dispatcher
	job      Job
	digest   string
	sink     func(Chunk) error
	text     strings.Builder
	result   Result
	attempts int
	failed   []string
	// sent is set once an engine may have received the job.
	sent       bool
	started    time.Time
	firstToken time.Duration
	interval   *backoff.ExponentialBackOff
	// endpoint is the engine of the current attempt.
	endpoint string
	// crashedAt is when an engine last crashed while it ran the job.
	crashedAt time.Time
	// occupiedEndpoint is the endpoint of the last attempt that found it reserved by
	// another suspect.
	occupiedEndpoint string
}

// ContentDigest returns the digest that identifies a request's content. It stays
// the same when the caller sends the request again.
func ContentDigest(model, prompt string) string {
	sum := sha256.Sum256([]byte(model + "\x00" + prompt))
	return hex.EncodeToString(sum[:])
}

// PromptTokens returns the estimated number of prompt tokens, for usage.
func PromptTokens(prompt string) int64 {
	return int64((len(prompt) + bytesPerToken - 1) / bytesPerToken)
}

func generationCost(prompt string, tokens int) int64 {
	return max(PromptTokens(prompt)/promptDivisor+int64(tokens), 1)
}

// Generate runs the job and passes each chunk to sink. When an engine fails, the
// job is resumed on another one where the text ends, which sink does not notice.
func (d *Dispatcher) Generate(ctx context.Context, job Job, sink func(Chunk) error) (Result, error) {
	ctx, cancel := d.timers.WithTimeout(ctx, job.Deadline.Sub(d.timers.Now()))
	defer cancel()
	digest := ContentDigest(job.Model, job.Prompt)
	g := &generation{d: d, job: job, digest: digest, sink: sink, interval: newInterval()}
	err := g.run(ctx)
	g.result.Text = g.text.String()
	return g.result, g.record(ctx, err)
}

func newInterval() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = 20*time.Millisecond, time.Second
	return b
}

// record records the usage. A complete generation counts as a request; of an
// incomplete one only the delivered tokens count.
func (g *generation) record(ctx context.Context, failure error) error {
	usage := Usage{Account: g.job.Account, Class: g.job.Class, TokensOut: int64(g.result.Tokens)}
	if failure == nil {
		usage.Requests = 1
	}
	if usage.Requests+usage.TokensOut > 0 {
		usage.TokensIn = PromptTokens(g.job.Prompt)
		usage.Cost = generationCost(g.job.Prompt, g.result.Tokens)
		// The record is written even when the caller is gone.
		if err := g.d.seams.Record(context.WithoutCancel(ctx), usage); err != nil {
			g.d.log.WithField(logs.Account, g.job.Account).WithError(err).Error("usage record not written")
		}
	}
	if failure == nil {
		g.d.counts.served.Add(g.job.Account, 1)
	}
	return failure
}

// run makes attempts until one completes the job.
func (g *generation) run(ctx context.Context) error {
	for {
		chosen, err := g.tryEndpoint(ctx)
		if err == nil {
			return nil
		}
		if chosen.slot.Release == nil {
			return g.withRun(err)
		}
		if final := g.retryOrFail(ctx, chosen, err); final != nil {
			return final
		}
		if g.d.timers.Sleep(ctx, g.interval.NextBackOff()) != nil {
			return contextError(ctx, g.runState())
		}
	}
}

// tryEndpoint makes attempts on one endpoint. If it returns an error and no
// endpoint, the error is final. Each call needs a new admission, since the
// request may have become a suspect by the crash of its engine; otherwise a
// request that crashes engines would be passed from one to the next.
func (g *generation) tryEndpoint(ctx context.Context) (pickResult, error) {
	// Engines that crash together, as when a zone is lost, must not be attributed
	// to this request. It waits until the other failures are known.
	if pause := suspectPause - g.d.timers.Since(g.crashedAt); !g.crashedAt.IsZero() && pause > 0 {
		if g.d.timers.Sleep(ctx, pause) != nil {
			return pickResult{}, contextError(ctx, g.runState())
		}
	}
	release, err := g.d.seams.Admit(g.digest)
	if err != nil {
		return pickResult{}, err
	}
	defer release()
	turn, chosen, err := g.acquire(ctx)
	if err != nil {
		return pickResult{}, err
	}
	defer turn.Done()
	leave, err := g.d.seams.Enter(chosen.endpoint.ID, g.digest)
	if err != nil {
		chosen.slot.Release(Outcome{})
		g.occupiedEndpoint = chosen.endpoint.ID
		return chosen, errOccupied
	}
	defer leave()
	g.occupiedEndpoint = ""
	return chosen, g.runInSlot(ctx, turn, chosen)
}

// suspectPause is the minimum time between the crash of a request's engine and
// the next attempt. It is longer than instances take to inform each other of
// failed engines.
const suspectPause = time.Second

// errOccupied is returned when another suspect runs on the chosen endpoint.
var errOccupied = errors.New("another suspect runs on the endpoint")

// withRun adds to an error of the admission or the queue whether earlier attempts
// may have run.
func (g *generation) withRun(err error) error { return code.Of(err).WithRun(g.runState()) }

func (g *generation) runState() code.Run {
	if g.sent {
		return code.MaybeRun
	}
	return code.NotRun
}

// acquire waits for the job's turn and a slot on an endpoint.
func (g *generation) acquire(ctx context.Context) (*queue.Turn, pickResult, error) {
	var chosen pickResult
	account, _ := g.d.seams.Table().Account(g.job.Account)
	n := g.requirements()
	g.d.waiting.Add(n.model, 1)
	defer g.d.waiting.Add(n.model, -1)
	turn, err := g.d.seams.Wait(ctx, queue.Item{
		Account: g.job.Account, Model: g.job.Model, Weight: account.Weight,
		MaxWaiting: account.MaxWaiting, MaxRunning: account.MaxRunning,
		Cost: generationCost(g.job.Prompt, g.job.MaxTokens-g.result.Tokens), Deadline: g.job.Deadline,
		Front: g.attempts > 0, Check: attemptCheck(g.job.Check, g.sent),
		Start: func() (ok bool, err error) {
			chosen, ok, err = g.d.pick(n)
			return ok, err
		},
	})
	return turn, chosen, err
}

// attemptCheck returns the check for the next attempt. A request that has already
// run in part continues while this instance's view of the keys is stale, but not
// after its key was withdrawn.
func attemptCheck(check func() error, running bool) func() error {
	if check == nil || !running {
		return check
	}
	return func() error {
		if err := check(); !code.Is(err, code.KeysStale) {
			return err
		}
		return nil
	}
}

func (g *generation) requirements() requirements {
	return requirements{
		account: g.job.Account, model: g.job.Model, allowCheap: true, minVersion: g.job.MinVersion,
		excluded: slices.Concat(g.job.Avoid, []string{g.occupiedEndpoint}), failed: g.failed, suspect: g.d.seams.Suspect(g.digest),
		prompt: g.job.Prompt, prefixes: hashPrefixes(g.job.Prompt),
		prefill:  float64(PromptTokens(g.job.Prompt)) / promptDivisor / float64(generationCost(g.job.Prompt, g.job.MaxTokens)),
		deadline: g.job.Deadline,
	}
}

// runInSlot runs up to two attempts on one endpoint in one slot. The second one
// uses a new connection and follows when the first connection went silent.
func (g *generation) runInSlot(ctx context.Context, turn *queue.Turn, chosen pickResult) error {
	began := g.d.timers.Now()
	before := g.result.Tokens
	g.firstToken = 0
	err := g.attempt(ctx, chosen)
	if errors.Is(err, engine.ErrSilent) && ctx.Err() == nil && g.d.budgets.spend(g.job.Account, chosen.endpoint.ID) &&
		g.d.takeAgain(chosen.endpoint) {
		g.d.counts.retried.Add(g.job.Account, 1)
		err = g.attempt(ctx, chosen)
	}
	turn.DoneAfter(func() {
		chosen.slot.Release(Outcome{
			FirstToken: g.firstToken, Took: g.d.timers.Since(began), Failed: endpointFault(err),
			Cost: generationCost(g.job.Prompt, g.result.Tokens-before),
		})
	})
	if err == nil {
		g.result.Endpoint = chosen.endpoint.ID
		g.d.budgets.success(g.job.Account, chosen.endpoint.ID)
		g.d.prefixes.set(chosen.endpoint.ID, g.job.Prompt, true)
		g.d.seams.Completed(g.digest)
	}
	return err
}

// endpointFault reports whether err is a failure of the endpoint.
func endpointFault(err error) bool {
	return errors.Is(err, engine.ErrSilent) || errors.Is(err, engine.ErrIncomplete) ||
		errors.Is(err, engine.ErrUnsent) || errors.Is(err, engine.ErrCrossed) || errors.Is(err, engine.ErrTooLong) || codec.StatusOf(err) >= 500
}

// attempt runs one stream.
func (g *generation) attempt(ctx context.Context, chosen pickResult) error {
	if g.attempts > 0 && g.result.Tokens >= g.job.MaxTokens {
		// The previous attempt delivered all tokens and lacked only the final line.
		g.result.Reason = "length"
		return nil
	}
	g.attempts++
	e := chosen.endpoint
	active := &activeAttempt{digest: g.digest, suspect: g.d.seams.Suspect(g.digest)}
	end := g.d.active.start(e.ID, active)
	defer end()
	// Each attempt has its own id, so that late lines of an earlier one on the
	// same engine are recognised. It contains the instance, because two instances
	// with diverging views may both consider themselves the home instance of a
	// sample and run the same job. Slashes are replaced, since they would not match
	// the path of the engine's cancel call.
	id := strings.ReplaceAll(fmt.Sprintf("%s.%s.%d", g.d.settings.ID, g.job.Request, g.attempts), "/", "-")
	if g.result.Tokens > 0 {
		g.result.Resumed++
		g.d.counts.resumed.Add(g.job.Account, 1)
	}
	g.started, g.endpoint = g.d.timers.Now(), e.ID
	sentAt := g.d.timers.Uptime()
	done, err := g.d.engines.Generate(ctx, e.Address, engine.Request{
		Request: id, Model: g.job.Model, Prompt: g.job.Prompt, MaxTokens: g.job.MaxTokens,
		Priority: g.job.Priority, Seed: g.job.Seed, Resume: g.text.String(), ResumeTokens: g.result.Tokens,
		OnHeader: func(h http.Header) { g.d.observeLimit(e, h, sentAt) },
	}, g.receive)
	if err == nil {
		g.result.Reason = done.Reason
		return nil
	}
	g.handleFailure(chosen, id, err)
	return err
}

// receive appends a chunk to the text and passes it to the sink.
func (g *generation) receive(c engine.Chunk) error {
	if g.firstToken == 0 {
		g.firstToken = max(g.d.timers.Since(g.started), 1)
		g.d.counts.firstToken.Record(g.job.Account, g.firstToken.Microseconds())
	}
	g.sent = true
	g.text.WriteString(c.Text)
	g.addRange(c)
	if err := g.sink(Chunk{Text: c.Text, Tokens: c.Tokens, Version: c.Version, Endpoint: g.endpoint}); err != nil {
		return &sinkError{err}
	}
	return nil
}

// addRange adds the tokens of a chunk to the version ranges.
func (g *generation) addRange(c engine.Chunk) {
	from := g.result.Tokens
	g.result.Tokens += c.Tokens
	if c.Tokens == 0 {
		return
	}
	if last := len(g.result.Ranges) - 1; last >= 0 && g.result.Ranges[last].Version == c.Version {
		g.result.Ranges[last].To = g.result.Tokens
		return
	}
	g.result.Ranges = append(g.result.Ranges, Range{Version: c.Version, From: from, To: g.result.Tokens})
}

// sinkError wraps an error of the sink, which ends the job.
type sinkError struct{ err error }

func (s *sinkError) Error() string { return s.err.Error() }
func (s *sinkError) Unwrap() error { return s.err }

// handleFailure reports a failed attempt and cancels it on the engine, which may
// still be running it.
func (g *generation) handleFailure(chosen pickResult, id string, err error) {
	e := chosen.endpoint
	if errors.Is(err, engine.ErrUnsent) {
		g.d.seams.Failed(e.ID, err)
		return
	}
	if status := codec.StatusOf(err); status == 0 || status/100 == 5 && status != http.StatusServiceUnavailable {
		g.sent = true
	}
	if !errors.Is(err, engine.ErrIncomplete) {
		g.d.runInBackground(func(ctx context.Context) { _ = g.d.engines.Cancel(ctx, e.Address, id) })
	}
	if !endpointFault(err) {
		return
	}
	g.d.counts.failed.Add(e.ID, 1)
	g.d.log.WithField(logs.Endpoint, e.ID).WithField(logs.Request, id).WithError(err).Warn("attempt failed")
	if errors.Is(err, engine.ErrIncomplete) {
		g.reportCrash(chosen, err)
	}
}

// reportCrash checks whether the engine has crashed. If so, all requests that ran
// on it are reported and become suspects.
func (g *generation) reportCrash(chosen pickResult, err error) {
	ctx, cancel := g.d.timers.WithTimeout(context.Background(), backgroundTimeout)
	defer cancel()
	e := chosen.endpoint
	if g.d.engines.Dead(ctx, e.Address) {
		g.crashedAt = g.d.timers.Now()
		g.d.seams.Failed(e.ID, err)
		g.d.active.reportCrash(e.ID, func(digests []string) { g.d.seams.Crashed(e.ID, digests) })
	}
}

// retryOrFail returns the job's final error after a failed attempt, or nil when
// another attempt may follow. A retry after a failure spends retry budget.
func (g *generation) retryOrFail(ctx context.Context, chosen pickResult, err error) error {
	if errors.Is(err, errOccupied) {
		return nil
	}
	var sinkErr *sinkError
	if errors.As(err, &sinkErr) {
		return code.Of(sinkErr.err).WithRun(g.runState())
	}
	if ctx.Err() != nil {
		return contextError(ctx, g.runState())
	}
	status := codec.StatusOf(err)
	if status/100 == 4 && status != http.StatusTooManyRequests && status != http.StatusConflict {
		return code.New(code.EndpointFailed, "the engine refused the request with status %d", status).WithRun(g.runState())
	}
	id := chosen.endpoint.ID
	if !g.d.budgets.spend(g.job.Account, id) {
		return code.New(code.RetryBudget, "an engine failed and the retry budget is used up").
			WithRun(g.runState()).WithRetryAfter(endpointRetryAfter)
	}
	g.failed = append(g.failed, id)
	g.d.counts.retried.Add(g.job.Account, 1)
	return nil
}
