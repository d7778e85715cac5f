// Package entry serves the HTTP routes for callers. It checks keys and input,
// removes keys from forwarded requests, and turns results into responses.
//
// # Usage
//
//	e := entry.New(settings, timers, meters, log, entry.Seams{...})
//	go e.Run(ctx)
//	server := e.Server()
//	go server.Serve(listener)
//	...
//	err := e.Drain(ctx) // planned stop: not ready, wait, finish running requests
package entry

import (
	"context"
	"expvar"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
	"github.com/wigeonpin/wigeonpin/internal/traffic/dispatch"
	"github.com/wigeonpin/wigeonpin/internal/traffic/idempotency"
	"github.com/wigeonpin/wigeonpin/internal/traffic/stop"
)

// Seams are the functions of other packages that the entry calls.
type Seams struct {
	// Table returns the current snapshot of the configuration.
	Table func() *table.Table
	// Fresh reports whether the instance's view of the keys is fresh, and if
	// not, after what time a caller should retry.
	Fresh func() (ok bool, wait time.Duration)
	// Changed returns a channel that is closed at the next change of the table.
	Changed func() <-chan struct{}
	// Ready returns an error that says why the instance cannot serve, or nil.
	Ready    func() error
	Generate func(ctx context.Context, job dispatch.Job, sink func(dispatch.Chunk) error) (dispatch.Result, error)
	Forward  func(ctx context.Context, call dispatch.ServiceCall) (*dispatch.Answer, error)
	Claim    func(ctx context.Context, account, id, digest string) (*idempotency.Claim, error)
	Announce func(ctx context.Context, trainer table.Trainer, version int) error
	Pull     func(ctx context.Context, trainer table.Trainer, pull Pull) (any, error)
}

// Entry handles the requests of callers.
type Entry struct {
	settings setting.Settings
	timers   *clock.Service
	log      *logrus.Entry
	seams    Seams
	refused  *meter.Counter
	latency  *meter.Histogram
	active   activeRequests
	drain    drain
	plan     *stop.Plan
}

// New returns an entry that registers its metrics in meters. Run must run for
// requests to be cancelled when their keys are withdrawn.
func New(settings setting.Settings, timers *clock.Service, meters *meter.Set, log *logrus.Entry, seams Seams) *Entry {
	e := &Entry{
		settings: settings, timers: timers, log: log, seams: seams,
		refused: meters.Counter("requests_refused"), latency: meters.Histogram("request_us"),
		active: activeRequests{requests: map[*caller]struct{}{}},
		plan:   stop.New(timers, meters),
	}
	meters.Gauge("requests_running", func() any { return e.active.count() })
	return e
}

// Handler returns a handler for all routes.
func (e *Entry) Handler() http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.Handle("/v1/generate", e.wrap(e.generate)).Methods(http.MethodPost)
	router.Handle("/v1/trainers/{trainer}/version", e.wrap(e.announceVersion)).Methods(http.MethodPut)
	router.Handle("/v1/trainers/{trainer}/steps/{step}/pull", e.wrap(e.pull)).Methods(http.MethodPost)
	router.PathPrefix("/s/{route}").Handler(e.wrap(e.service))
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		codec.Write(w, http.StatusOK, map[string]bool{"ok": true})
	}).Methods(http.MethodGet)
	router.HandleFunc("/readyz", e.ready).Methods(http.MethodGet)
	router.Handle("/debug/vars", expvar.Handler()).Methods(http.MethodGet)
	router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		e.refuse(w, "", code.New(code.UnknownRoute, "no route has this path").WithRun(code.NotRun))
	})
	router.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		e.refuse(w, "", code.New(code.BadMethod, "the route does not take this method").WithRun(code.NotRun))
	})
	return router
}

const (
	maxHeaderBytes = 64 << 10
	// callerIdleTimeout is how long a connection may stay idle between requests.
	callerIdleTimeout = 2 * time.Minute
)

// Server returns an HTTP server for the routes, with the time and size limits
// that apply to callers.
func (e *Entry) Server() *http.Server {
	return &http.Server{
		Handler:           e.Handler(),
		ReadHeaderTimeout: setting.Milliseconds(e.settings.HeaderMS),
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          nil,
	}
}

// handler serves one route. A returned error is sent to the caller as the
// response. Once the handler has started its own response it returns nil.
type handler func(w http.ResponseWriter, r *http.Request, c *caller) error

// wrap returns an http.Handler for a route that runs work. It counts the
// request as running, turns errors into responses and recovers from panics, so
// that a fault in one request does not affect others.
func (e *Entry) wrap(next handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.setReadDeadline(w)
		if e.drain.isUnready() {
			w.Header().Set("Connection", "close") // the next request goes to another instance
		}
		leave, err := e.drain.enter()
		if err != nil {
			e.refuse(w, "", err)
			e.plan.Count(stop.Refused)
			return
		}
		defer leave()
		ctx, release := e.plan.Context(r.Context())
		defer release()
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		c := &caller{cancel: cancel}
		defer e.active.remove(c)
		defer e.recoverPanic(w, c)
		start := e.timers.Now()
		if err := next(w, r.WithContext(ctx), c); err != nil {
			e.refuse(w, c.account, e.stopError(ctx, err))
		} else {
			e.plan.Count(outcome(ctx))
		}
		e.latency.Record(c.account, e.timers.Since(start).Microseconds())
	})
}

// recoverPanic responds to a request whose handler panicked. If the response has
// started, it aborts the connection instead.
func (e *Entry) recoverPanic(w http.ResponseWriter, c *caller) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	e.log.WithField("cause", cause).WithField("stack", string(debug.Stack())).Error("request handler panicked")
	if c.responseStarted {
		panic(http.ErrAbortHandler)
	}
	e.refuse(w, c.account, code.New(code.Internal, "the instance failed").WithRun(code.MaybeRun))
}

// refuse responds with a coded error and counts it by account and code.
func (e *Entry) refuse(w http.ResponseWriter, account string, err error) {
	coded := code.Of(err)
	e.refused.Add(account+"/"+coded.Code.String(), 1)
	e.setWriteDeadline(w)
	codec.WriteError(w, coded)
}

func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	if e.drain.isUnready() {
		codec.WriteError(w, code.New(code.Draining, "the instance is stopping"))
		return
	}
	if err := e.seams.Ready(); err != nil {
		codec.WriteError(w, err)
		return
	}
	codec.Write(w, http.StatusOK, map[string]bool{"ready": true})
}

// Run cancels running requests whose keys are withdrawn or whose accounts lose
// access, until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	for {
		changed := e.seams.Changed()
		e.active.cancelRevoked(e.seams.Table())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// activeRequests is the set of running requests that presented a valid key.
type activeRequests struct {
	mu       sync.Mutex
	requests map[*caller]struct{}
}

func (a *activeRequests) add(c *caller) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests[c] = struct{}{}
}

func (a *activeRequests) remove(c *caller) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.requests, c)
}

func (a *activeRequests) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.requests)
}

// cancelRevoked cancels the requests that the given table no longer allows.
func (a *activeRequests) cancelRevoked(current *table.Table) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.requests {
		if err := c.checkAccess(current); err != nil {
			c.cancel(err)
		}
	}
}
