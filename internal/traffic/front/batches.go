package front

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/traffic/headers"
	"github.com/wigeonpin/wigeonpin/internal/traffic/stop"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

const (
	// maxResultBytes bounds the outputs in one answer with results. A single
	// larger result is still sent.
	maxResultBytes = 900 << 10
	// maxResultWait bounds how long a long poll waits for a result.
	maxResultWait = time.Second
	// storeTimeout bounds all calls to the store for one request. Each record of a
	// batch but the first has recordTimeout more, as a slow store answers within 250 ms.
	storeTimeout  = 2500 * time.Millisecond
	recordTimeout = 250 * time.Millisecond
	// storeRetryAfter is the Retry-After delay while the store is unavailable, and
	// maxOutageRetryAfter the longest one in an outage.
	storeRetryAfter     = 400 * time.Millisecond
	maxOutageRetryAfter = 2 * time.Second
	// isolatedRetryAfter is the Retry-After delay of a process that is cut off from
	// the store. Processes in other availability zones can serve the call.
	isolatedRetryAfter = 200 * time.Millisecond
)

// batchWork returns what decides whether a call about batches can still end within a
// planned stop. Such calls may be repeated, and end with the time for the store.
func (f *Front) batchWork(q *callerRequest) stop.Work {
	deadline := f.timers.Now().Add(storeTimeout)
	if q.deadline.Before(deadline) {
		deadline = q.deadline
	}
	return stop.Work{Class: "batches", Deadline: deadline, Repeatable: true}
}

// isolated reports whether it is certain that calls to the store cannot succeed.
func (f *Front) isolated() bool {
	select {
	case <-f.seams.Outage.Isolation():
		return true
	default:
		return false
	}
}

// withStoreTimeout returns a context for all calls to the store for one request.
// It also ends when it turns out that such calls cannot succeed, so that only what
// is cached here is still served, and at the end of a planned stop.
func (f *Front) withStoreTimeout(parent context.Context) (context.Context, context.CancelFunc) {
	return f.withTimeout(parent, storeTimeout)
}

// acceptTimeout returns the time for the calls to the store that accept a batch of a number
// of records. It exceeds storeTimeout only as far as the caller waits.
func (f *Front) acceptTimeout(q *callerRequest, records int) time.Duration {
	limit := max(storeTimeout, q.deadline.Sub(f.timers.Now()))
	return min(limit, storeTimeout+time.Duration(records-1)*recordTimeout)
}

// withTimeout is withStoreTimeout with another timeout.
func (f *Front) withTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, release := f.seams.Stop.Context(parent)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	isolation := f.seams.Outage.Isolation()
	go func() {
		select {
		case <-isolation:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, func() {
		cancel()
		release()
	}
}

// errIsolated is the refusal of a process that is cut off from the store.
func errIsolated() error {
	return code.New(code.PlatformUnavailable, "this process is cut off from the store").WithRun(code.NotRun).WithRetryAfter(isolatedRetryAfter)
}

// retryAfterOutage returns when a caller is to come back that was refused because
// the store is out of reach: the longer the outage, the longer it is expected to go
// on.
func (f *Front) retryAfterOutage() time.Duration {
	return min(maxOutageRetryAfter, max(storeRetryAfter, f.seams.Outage.LostFor()/2))
}

// storeError returns the error for a failed write to the store. Only a write that
// the store refused is certain not to take effect.
func (f *Front) storeError(err error) error {
	if errors.Is(err, records.ErrRefused) {
		return code.New(code.PlatformUnavailable, "%s", err).WithRun(code.NotRun).WithRetryAfter(f.retryAfterOutage())
	}
	return code.New(code.DeadlinePast, "%s", err).WithRun(code.MaybeRun)
}

// readError returns the error for a failed read. A read runs nothing, so 503 with
// NotRun is correct for every cause.
func readError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), stop.ErrEnded) {
		return stop.Refusal()
	}
	if errors.Is(err, records.ErrMissing) {
		return code.New(code.MissingObject, "no such batch").WithRun(code.NotRun)
	}
	return code.New(code.PlatformUnavailable, "%s", err).WithRun(code.NotRun).WithRetryAfter(storeRetryAfter)
}

// errLate is the refusal of a read that found nothing, whose proofs were all too old.
func errLate() error {
	return code.New(code.PlatformLate, "the answer of the store came too late to be passed on").WithRun(code.NotRun).WithRetryAfter(lateRetryAfter)
}

// batchCall serves an operation on an accepted batch. A batch of another client
// account looks like a missing one; a caller without an account is asked for a key. If
// the caller has no such batch, the plain route of the path serves the request, if it
// has one.
func (f *Front) batchCall(w http.ResponseWriter, r *http.Request, q *callerRequest) {
	if !f.seams.Stop.CanEnd(f.batchWork(q)) {
		f.refuse(w, q, stop.Refusal())
		return
	}
	ctx, cancel := f.withStoreTimeout(r.Context())
	defer cancel()
	wait, _ := headers.Millis(r.Header, f.seams.Names.Wait)
	wait = min(wait, maxResultWait)
	f.serveProved(ctx, w, q, errLate(), func() bool {
		served := f.serveBatch(ctx, w, r, q, wait)
		wait = 0
		return served
	})
}

// serveBatch serves a call about an accepted batch. It reports false if the answer would
// rest on a proof that is too old.
func (f *Front) serveBatch(ctx context.Context, w http.ResponseWriter, r *http.Request, q *callerRequest, wait time.Duration) bool {
	b, err := f.seams.Reader.Batch(ctx, q.batch)
	if err == nil && !q.mayUse(b) {
		err = &batch.MissingError{Proof: batch.Proof{Source: batch.ProofOfAccount}}
	}
	if errors.Is(err, records.ErrMissing) && q.keyError != nil {
		f.refuse(w, q, q.keyError) // a key may lead to the batch
		return true
	}
	if errors.Is(err, records.ErrMissing) && q.routed {
		return f.forwardWithoutBatch(w, r, q, err)
	}
	if err != nil {
		return f.refuseBatch(ctx, w, q, err, readError(ctx, err))
	}
	switch q.operation {
	case ReadResults:
		return f.serveResults(ctx, w, q, b, wait)
	case ReadItem:
		return f.serveItem(ctx, w, q, b)
	case EndBatch:
		f.endBatch(ctx, w, q)
	case NoBatch, Resubmit:
	}
	return true
}

// forwardWithoutBatch serves a call by the plain route of its path, since the caller has
// no such batch. It reports false if the proof of that is too old.
func (f *Front) forwardWithoutBatch(w http.ResponseWriter, r *http.Request, q *callerRequest, missing error) bool {
	if a, found := absenceOf(q, missing); found && !f.seams.Reader.Holds(a.proof) {
		return false
	}
	f.forward(w, r, q.withoutBatch())
	return true
}

// serveResults answers with results. It reports false if there are none, and the proof of
// that is too old.
func (f *Front) serveResults(ctx context.Context, w http.ResponseWriter, q *callerRequest, b *batch.Batch, wait time.Duration) bool {
	after, err := resultPosition(q)
	if err != nil || after < 0 {
		f.refuse(w, q, code.New(code.BadRequest, "after must be a whole number from 0").WithRun(code.NotRun))
		return true
	}
	results, proof, err := f.seams.Reader.Results(ctx, b.ID, after, wait)
	if err != nil {
		return f.refuseBatch(ctx, w, q, err, readError(ctx, err))
	}
	if len(results) == 0 {
		results = f.seams.Reader.Known(b, after) // another call may have read some meanwhile
	}
	results = limitResults(results)
	body, err := f.seams.API.Encode(b.Count, after+len(results), results)
	if err != nil {
		f.refuse(w, q, code.New(code.Internal, "%s", err).WithRun(code.NotRun))
		return true
	}
	write := func() {
		writeBytes(w, http.StatusOK, body)
		f.recordServed(q, http.StatusOK)
	}
	if len(results) > 0 {
		write()
		return true
	}
	return f.writeAbsence(ctx, w, absence{status: http.StatusOK, batch: b.ID, position: after, proof: proof}, write)
}

// limitResults returns the first results, as many as fit into maxResultBytes but
// at least one.
func limitResults(results []batch.Result) []batch.Result {
	size := 0
	for i, result := range results {
		size += len(result.Output)
		if i > 0 && size > maxResultBytes {
			return results[:i]
		}
	}
	return results
}

// serveItem answers with the body of an item. It reports false if the batch may have been
// removed and the proof of that is too old.
func (f *Front) serveItem(ctx context.Context, w http.ResponseWriter, q *callerRequest, b *batch.Batch) bool {
	query, err := url.ParseQuery(q.query)
	if err != nil {
		f.refuse(w, q, errNoItem())
		return true
	}
	item, found, err := f.seams.Reader.Item(ctx, b, query.Get("id"))
	if err != nil {
		return f.refuseBatch(ctx, w, q, err, readError(ctx, err))
	}
	if !found {
		f.refuse(w, q, errNoItem())
		return true
	}
	f.recordServed(q, http.StatusOK)
	w.Header()["Content-Type"] = []string{"application/octet-stream"}
	w.Header().Set("Content-Length", strconv.Itoa(len(item.Body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(item.Body) // fails only if the caller is gone
	return true
}

// errNoItem is the refusal of a read of an item that its batch does not have.
func errNoItem() error {
	return code.New(code.MissingObject, "no such item").WithRun(code.NotRun)
}

func (f *Front) endBatch(ctx context.Context, w http.ResponseWriter, q *callerRequest) {
	if err := f.seams.Shelf.End(ctx, q.batch); err != nil {
		f.refuse(w, q, f.storeError(err))
		return
	}
	f.log.WithFields(logrus.Fields{"batch": q.batch, logs.Account: q.account.Name}).Info("end of batch accepted")
	f.recordServed(q, http.StatusOK)
	writeJSON(w, http.StatusOK, struct{}{})
}
