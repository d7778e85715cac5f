// Package front is the HTTP front end for callers of an entry process: it finds
// the route and the client account of a request, forwards plain requests and
// streams, accepts batches and returns their results.
//
// # Usage
//
//	f := front.New(front.Seams{...}, timers, log)
//	server := &http.Server{Handler: f}
//	readiness := &http.Server{Handler: f.Readiness()}
//	f.Stop() // at the start of a planned shutdown
package front

import (
	"context"
	"io"
	"iter"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/traffic/forward"
	"github.com/wigeonpin/wigeonpin/internal/traffic/headers"
	"github.com/wigeonpin/wigeonpin/internal/traffic/memory"
	"github.com/wigeonpin/wigeonpin/internal/traffic/stop"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

const (
	// defaultTimeout is the time limit of requests that set none.
	defaultTimeout = 30 * time.Second
	// maxBody is the size limit of one body in bytes, even if the manifest allows
	// more.
	maxBody = 16 << 20
	// notReadyRetryAfter is the Retry-After delay while this process has no
	// configuration yet, or reads the keys again after a pause.
	notReadyRetryAfter = 500 * time.Millisecond
)

// Operation is an operation on an accepted batch.
type Operation int

// The operations. NoBatch means that the request is not about an accepted batch.
// API.Parse never returns Resubmit, the operation of a request that may submit an
// accepted batch again whose route is gone.
const (
	NoBatch Operation = iota
	ReadResults
	ReadItem
	EndBatch
	Resubmit
)

// API defines the paths and encodings of the calls about batches, and the path of
// the readiness check.
type API struct {
	// Parse returns the operation and the ID of its batch.
	Parse func(method, path string) (Operation, string)
	// Decode decodes a batch without its items, and returns these one after the other.
	Decode    func(body []byte) (*batch.Batch, iter.Seq2[batch.Item, error], error)
	Encode    func(total, next int, results []batch.Result) ([]byte, error)
	ReadyPath string // path of the readiness check
}

// Outage tells what is known of the path to the store. Isolation returns a channel
// that is closed once it is certain that no process in reach can reach the store.
// Restored returns a channel that is closed once the store can be reached again, or
// nil if it is not known to be out of reach, and LostFor how long it has been.
type Outage struct {
	Isolation func() <-chan struct{}
	Restored  func() <-chan struct{}
	LostFor   func() time.Duration
}

// Seams are the dependencies of a Front.
type Seams struct {
	Manifest  func() *manifest.Manifest
	Ready     func() bool
	Outage    Outage
	Stale     func() bool // the keys of the manifest may be out of date after a pause of the process
	Forwarder *forward.Forwarder
	Shelf     *batch.Store
	Reader    *batch.Reader
	Names     headers.Names
	API       API
	Meters    *meter.Set
	Memory    *memory.Budget // for the bodies of requests
	// Stop is the planned stop of the process, the same as the Forwarder's; nil if
	// there is none.
	Stop *stop.Plan
	// LimitDelivery bounds how long the answer to the request of ctx is sent again to a
	// caller that does not acknowledge it. It may be nil.
	LimitDelivery func(ctx context.Context, limit time.Duration)
}

// Front is the HTTP handler for callers.
type Front struct {
	seams   Seams
	timers  *clock.Service
	log     *logrus.Entry
	stopped atomic.Bool
	served  *meter.Counter
	failed  *meter.Counter
	latency *meter.Histogram

	absenceAge, absenceWrite *meter.Histogram
	late                     *meter.Counter
}

// New returns a Front with its metrics registered in seams.Meters.
func New(seams Seams, timers *clock.Service, log *logrus.Entry) *Front {
	if seams.Stop == nil {
		seams.Stop = stop.New(timers, seams.Meters)
	}
	if seams.LimitDelivery == nil {
		seams.LimitDelivery = func(context.Context, time.Duration) {}
	}
	return &Front{
		seams: seams, timers: timers, log: log,
		served:  seams.Meters.Counter("requests_served"),
		failed:  seams.Meters.Counter("requests_failed"),
		latency: seams.Meters.Histogram("request_us"),

		absenceAge: seams.Meters.Histogram(histogramAbsenceAge), absenceWrite: seams.Meters.Histogram(histogramAbsenceWrite),
		late: seams.Meters.Counter(countLate),
	}
}

// Stop makes the readiness check fail. Requests are still served, with the header
// "Connection: close".
func (f *Front) Stop() { f.stopped.Store(true) }

// Readiness returns the handler of the load balancer's readiness check. The check
// fails while seams.Ready reports false, and after Stop.
func (f *Front) Readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		if r.URL.Path != f.seams.API.ReadyPath {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if f.stopped.Load() || !f.seams.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// ServeHTTP answers one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	limitBody(w, r)
	w = newDeadlineWriter(w)
	w.Header()["Date"] = nil
	if f.stopped.Load() {
		w.Header().Set("Connection", "close")
	}
	q := f.parseRequest(r)
	if err := f.admit(r, q); err != nil {
		f.refuse(w, q, err)
		return
	}
	switch {
	case q.operation == Resubmit:
		f.resubmit(w, r, q)
	case q.operation != NoBatch:
		f.batchCall(w, r, q)
	case q.route.Kind == manifest.Rollout:
		f.submit(w, r, q)
	default:
		f.forward(w, r, q)
	}
}

func (f *Front) forward(w http.ResponseWriter, r *http.Request, q *callerRequest) {
	names := f.seams.Names
	header := names.ForwardRequest(r.Header)
	if q.account.Name != "" {
		header.Set(names.Account, q.account.Name)
	}
	call := forward.Call{
		ID: q.id, Account: q.account.Name, Route: q.route, Service: q.route.SelectService(rand.Float64()),
		Deadline: q.deadline,
		Request:  exchange.Request{Method: r.Method, Host: q.host, Header: header}.WithTarget(q.target),
	}
	share := f.seams.Memory.Share()
	defer share.Release()
	body, ok := f.receiveBody(w, r, q, share, call.Work())
	if !ok {
		return
	}
	call.Request.Body = body
	answer, err := f.seams.Forwarder.Send(r.Context(), call)
	if err != nil {
		f.refuse(w, q, err)
		return
	}
	defer answer.Close()
	f.deliver(w, r, q, call, answer)
}

// deliver passes an endpoint's answer on to the caller, without hop-by-hop header
// fields.
func (f *Front) deliver(w http.ResponseWriter, r *http.Request, q *callerRequest, call forward.Call, answer *forward.Answer) {
	out := w.Header()
	for name, values := range f.seams.Names.ForwardAnswer(answer.Header) {
		out[name] = values
	}
	if out["Content-Type"] == nil {
		out["Content-Type"] = nil // keeps net/http from guessing one
	}
	if answer.Rest != nil && q.route.Kind == manifest.Stream && answer.Status < 300 {
		f.stream(w, r, q, call, answer)
		return
	}
	if answer.Rest == nil && r.Method != http.MethodHead {
		out.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	w.WriteHeader(answer.Status)
	_, err := w.Write(answer.Body)
	if err == nil && answer.Rest != nil {
		_, err = io.Copy(w, answer.Rest)
	}
	if err != nil {
		f.breakOff(q, "answer broke off", err)
		panic(http.ErrAbortHandler) // closes the connection, so that the answer does not look complete
	}
	f.recordServed(q, answer.Status)
}

func (f *Front) recordServed(q *callerRequest, status int) {
	label := q.account.Name
	if label == "" {
		label = "open"
	}
	f.seams.Stop.Count(stop.Finished)
	f.served.Add(label, 1)
	f.latency.Record(label, f.timers.Since(q.began).Microseconds())
	if status >= 500 {
		f.failed.Add(label, 1)
	}
}

func (f *Front) logFailure(q *callerRequest, message string, err error) {
	f.log.WithFields(logrus.Fields{
		logs.Request: q.id, logs.Account: q.account.Name, "route": q.route.Name, logs.Cause: err.Error(),
		"batch": q.batch, "took_ms": f.timers.Since(q.began).Milliseconds(), "manifest": version(q.manifest),
	}).Warn(message)
}

func version(m *manifest.Manifest) int64 {
	if m == nil {
		return 0
	}
	return m.Version
}

// breakOff logs an answer that cannot be completed.
func (f *Front) breakOff(q *callerRequest, message string, err error) {
	f.logFailure(q, message, err)
	f.seams.Stop.Count(stop.Cut)
}

// refuse logs an error of this process and answers with it.
func (f *Front) refuse(w http.ResponseWriter, q *callerRequest, err error) {
	f.logFailure(q, "request refused", err)
	switch code.Of(err).Code {
	case code.Draining:
		f.seams.Stop.Count(stop.Refused)
	case code.Stopped:
		f.seams.Stop.Count(stop.Cut)
	default:
		f.seams.Stop.Count(stop.Finished)
	}
	f.failed.Add(code.Of(err).Code.String(), 1)
	coded := code.Of(err)
	if coded.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(coded.RetryAfter.Seconds(), 'f', 3, 64))
	}
	writeJSON(w, coded.Code.Status(), errorBody{Code: int(coded.Code), Name: coded.Code.String(), Message: coded.Message, Run: string(coded.Run)})
}
