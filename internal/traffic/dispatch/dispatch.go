// Package dispatch runs requests on endpoints. It selects the endpoint, retries
// within budgets, resumes interrupted streams on other engines and labels the
// generated tokens with the weight versions that produced them.
//
// # Usage
//
//	runner := dispatch.New(settings, timers, meters, log, engines, services, dispatch.Seams{...})
//	result, err := runner.Generate(ctx, job, func(c dispatch.Chunk) error { return write(c) })
//	answer, err := runner.Forward(ctx, call)
//	defer answer.Close()
//
// Errors are *code.Error and state whether the request ran, did not run, or may
// have run.
package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
	"github.com/wigeonpin/wigeonpin/internal/fleet/ratelimit"
	"github.com/wigeonpin/wigeonpin/internal/peer/engine"
	"github.com/wigeonpin/wigeonpin/internal/peer/service"
	"github.com/wigeonpin/wigeonpin/internal/traffic/breaker"
	"github.com/wigeonpin/wigeonpin/internal/traffic/queue"
)

// Job is a request to generate text.
type Job struct {
	Request, Account, Model, Class, Prompt string
	MaxTokens, Priority                    int
	Seed                                   int64
	Deadline                               time.Time
	// MinVersion is the minimum active weight version of an engine that starts
	// the job; 0 allows any.
	MinVersion int
	// Avoid lists endpoints that must not run the job.
	Avoid []string
	// Check is called whenever the job leaves the queue. If it returns an error,
	// the job is refused with it.
	Check func() error
}

// Chunk is a piece of generated text. Version is 0 when the engine reported none.
type Chunk struct {
	Text    string
	Tokens  int
	Version int
	// Endpoint is the engine that generated the chunk.
	Endpoint string
}

// Range is a half-open range [From, To) of tokens that one weight version
// generated.
type Range struct {
	Version int `json:"version"`
	From    int `json:"from"`
	To      int `json:"to"`
}

// Result is the outcome of a job. Resumed is the number of times that its stream
// was resumed after an interruption.
type Result struct {
	Text     string
	Tokens   int
	Ranges   []Range
	Endpoint string
	Resumed  int
	Reason   string
}

// ServiceCall is a request to a plain service. Model is the service's name.
type ServiceCall struct {
	Request, Account, Model, Class string
	Method, Path, RawQuery         string
	Header                         map[string][]string
	Body                           []byte
	Repeatable                     bool
	Deadline                       time.Time
	Check                          func() error
}

// Answer is a service's answer. The caller must close it.
type Answer = service.Answer

// Outcome reports how the request in a slot ended.
type Outcome struct {
	FirstToken, Took time.Duration
	Failed           bool
	Cost             int64
}

// Slot is the permission to run one request on an endpoint. Release must be
// called when the request has ended.
type Slot struct {
	Release func(Outcome)
}

// Usage is the billable usage of one request.
type Usage struct {
	Account, Class                      string
	Requests, TokensIn, TokensOut, Cost int64
}

// Seams are the functions that the dispatcher needs.
type Seams struct {
	// Endpoints returns all endpoints of a model, whatever their state.
	Endpoints func(model string) []roster.Endpoint
	Load      func(endpoint string) (roster.Load, bool)
	// Instances returns the number of live instances in an availability zone.
	Instances func(zone string) int
	Failed    func(endpoint string, err error)
	FreeSlots func(endpoint string) int
	Acquire   func(endpoint, account string) (Slot, bool)
	Wait      func(ctx context.Context, item queue.Item) (*queue.Turn, error)
	Table     func() *table.Table
	// Admit admits a request with this content digest until release is called.
	Admit   func(digest string) (release func(), err error)
	Suspect func(digest string) bool
	// Enter reserves an endpoint for a suspect until leave is called. It does
	// nothing for other requests.
	Enter     func(endpoint, digest string) (leave func(), err error)
	Crashed   func(endpoint string, digests []string)
	Completed func(digest string)
	// Limiter shares the request rates that endpoints name; nil means a limiter of this
	// instance alone.
	Limiter *ratelimit.Limiter
	// Breaker holds back contents of service calls that crash services.
	Breaker *breaker.Breaker
	// Record stores the usage. It returns once the usage is durable, or with an
	// error when it cannot be stored.
	Record func(ctx context.Context, usage Usage) error
}

// Dispatcher runs the requests of one instance.
type Dispatcher struct {
	settings setting.Settings
	timers   *clock.Service
	log      *logrus.Entry
	engines  *engine.Client
	services *service.Client
	seams    Seams
	budgets  *budgets
	prefixes *prefixes
	active   *activeAttempts
	inflight *inflight
	speeds   *speeds
	waiting  ratelimit.Waiting
	counts   counts
	// background counts cancellations and other calls that outlive their requests.
	background sync.WaitGroup
}

type counts struct {
	resumed, retried, failed, served *meter.Counter
	firstToken                       *meter.Histogram
}

// New returns a dispatcher.
func New(settings setting.Settings, timers *clock.Service, meters *meter.Set, log *logrus.Entry,
	engines *engine.Client, services *service.Client, seams Seams,
) *Dispatcher {
	if seams.Limiter == nil {
		seams.Limiter = ratelimit.NewLocal(timers)
	}
	d := &Dispatcher{
		settings: settings, timers: timers, log: log, engines: engines, services: services, seams: seams,
		budgets: newBudgets(settings.RetryPercent), prefixes: newPrefixes(), active: newActiveAttempts(), inflight: newInflight(),
		speeds: newSpeeds(settings.Zone),
		counts: counts{
			resumed: meters.Counter("streams_resumed"), retried: meters.Counter("attempts_repeated"),
			failed: meters.Counter("attempts_failed"), served: meters.Counter("requests_served"),
			firstToken: meters.Histogram("first_token_us"),
		},
	}
	meters.Gauge("endpoint_paces", func() any { return d.speeds.paces(timers.Now()) })
	meters.Gauge("request_work_us", func() any { return d.speeds.works() })
	return d
}

// Close waits for background calls, each of which has a deadline.
func (d *Dispatcher) Close() { d.background.Wait() }

// RecordCacheEvent records that an engine stored or evicted a prompt prefix.
func (d *Dispatcher) RecordCacheEvent(endpoint, prefix string, stored bool) {
	d.prefixes.set(endpoint, prefix, stored)
}

// Forget removes the state of an endpoint that no longer exists.
func (d *Dispatcher) Forget(endpoint string) {
	d.budgets.forget(endpoint)
	d.inflight.forget(endpoint)
	d.speeds.forget(endpoint)
}

// backgroundTimeout is the timeout of calls that no request waits for.
const backgroundTimeout = time.Second

// runInBackground runs f in the background with a deadline of its own.
func (d *Dispatcher) runInBackground(f func(ctx context.Context)) {
	d.background.Go(func() {
		ctx, cancel := d.timers.WithTimeout(context.Background(), backgroundTimeout)
		defer cancel()
		f(ctx)
	})
}

// contextError returns the error of a request whose context is done.
func contextError(ctx context.Context, run code.Run) error {
	cause := context.Cause(ctx)
	var coded *code.Error
	switch {
	case errors.As(cause, &coded):
		return coded.WithRun(run)
	case errors.Is(cause, context.DeadlineExceeded):
		return code.New(code.DeadlinePast, "the request's deadline passed").WithRun(run)
	default:
		return code.New(code.CallerGone, "the caller is gone").WithRun(run)
	}
}
