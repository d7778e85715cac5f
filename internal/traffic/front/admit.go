package front

import (
	"net/http"
	"strings"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/traffic/headers"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

// callerRequest is what is known of a caller's request. parseRequest fills the
// first fields, admit the others.
type callerRequest struct {
	id, host            string
	target, path, query string // the request target, and its parts
	began               time.Time
	manifest            *manifest.Manifest
	route               manifest.Route
	routed              bool // route is set; for a call about a batch, it is the plain route of the same path
	account             manifest.Account
	keyError            error // the refusal of a call without a key, if a public route admits it all the same
	operation           Operation
	batch               string
	deadline            time.Time // the earlier of the caller's and the route's time limit
}

// withoutBatch returns the request as one that is not about a batch. On a public
// route, its client account is not looked at.
func (q *callerRequest) withoutBatch() *callerRequest {
	plain := *q
	plain.operation, plain.batch = NoBatch, ""
	if q.route.Public {
		plain.account = manifest.Account{}
	}
	return &plain
}

func (f *Front) parseRequest(r *http.Request) *callerRequest {
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	path, query, _ := strings.Cut(target, "?")
	return &callerRequest{
		id: r.Header.Get(f.seams.Names.Request), host: r.Host, target: target, path: path, query: query,
		began: f.timers.Now(), manifest: f.seams.Manifest(),
	}
}

// admit finds the route and the client account of a request, or the operation on
// a batch. Its errors state that the request did not run.
func (f *Front) admit(r *http.Request, q *callerRequest) error {
	if q.manifest == nil {
		return code.New(code.NotReady, "the configuration is not known yet").WithRun(code.NotRun).WithRetryAfter(notReadyRetryAfter)
	}
	f.classify(r, q)
	q.deadline = f.deadline(r, q)
	if q.operation == NoBatch && !q.routed {
		return f.refuseRoute(q)
	}
	if !q.manifest.Keyed || (!q.aboutBatch() && q.route.Public) {
		return nil
	}
	err := f.authenticate(r, q)
	if err == nil || code.Of(err).Code == code.KeysStale {
		return err
	}
	return q.admitWithoutAccount(err)
}

// aboutBatch reports whether the request submits a batch or is about an accepted one.
// The key of such a request tells its client account also on a public route, where the
// key of a plain request is not looked at: the account that submits a batch reads it
// and ends it.
func (q *callerRequest) aboutBatch() bool {
	return q.operation != NoBatch || q.route.Kind == manifest.Rollout
}

// admitWithoutAccount admits a call about batches without a key where a public route allows
// it, and returns its refusal otherwise. A key that no account holds is refused on all
// routes for batches: it may be withdrawn, or so new that this process does not know its
// account yet.
func (q *callerRequest) admitWithoutAccount(keyError error) error {
	open := q.operation == NoBatch && q.route.Public || q.operation != NoBatch && q.manifest.HasPublicBatchRoute(q.host)
	switch {
	case open && code.Is(keyError, code.KeyMissing):
		q.keyError = keyError
		return nil
	case q.operation == Resubmit:
		return errNoRoute(q)
	case q.operation != NoBatch && q.routed && q.route.Public:
		q.operation, q.batch = NoBatch, ""
		return nil
	}
	return keyError
}

// mayUse reports whether the caller may read, end and submit again a stored batch. A
// manifest without client accounts asks for no keys, so that every caller may.
func (q *callerRequest) mayUse(b *batch.Batch) bool {
	return !q.manifest.Keyed || b.OpenTo(q.account.Name)
}

// classify finds out what the request is about. Accepted batches stay with their
// client accounts although the operator removes or moves their routes, so the calls
// about them are told by their path alone. On a host without a route for batches,
// such a path may also have a plain route: it serves the request unless there is a
// batch of the caller.
func (f *Front) classify(r *http.Request, q *callerRequest) {
	q.operation, q.batch = f.seams.API.Parse(r.Method, q.path)
	if q.operation != NoBatch && q.manifest.HasBatchRoute(q.host) {
		return
	}
	q.route, q.routed = q.manifest.Route(q.host, q.path)
	if q.operation == NoBatch && !q.routed && r.Method == http.MethodPost && q.id != "" {
		q.operation, q.batch = Resubmit, q.id
	}
}

func errNoRoute(q *callerRequest) error {
	return code.New(code.UnknownRoute, "no route for %s%s", q.host, q.path).WithRun(code.NotRun)
}

// refuseRoute returns the refusal of a request without a route. After a pause the
// manifest may lack a route that others know.
func (f *Front) refuseRoute(q *callerRequest) error {
	if f.seams.Stale() {
		return code.New(code.NotReady, "the process was paused and reads the routes again").WithRun(code.NotRun).WithRetryAfter(notReadyRetryAfter)
	}
	return errNoRoute(q)
}

// authenticate finds the client account that holds the key of the request.
func (f *Front) authenticate(r *http.Request, q *callerRequest) error {
	if f.seams.Stale() {
		return code.New(code.KeysStale, "the process was paused and reads the keys again").WithRun(code.NotRun).WithRetryAfter(notReadyRetryAfter)
	}
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		return code.New(code.KeyMissing, "the route needs a key").WithRun(code.NotRun)
	}
	q.account, found = q.manifest.Account(key)
	if !found {
		return code.New(code.KeyUnknown, "no client account has this key").WithRun(code.NotRun)
	}
	return nil
}

// deadline returns when the time limit of the caller or, if shorter, that of the
// route ends. The route's limit does not apply to rollouts.
func (f *Front) deadline(r *http.Request, q *callerRequest) time.Time {
	limit, found := headers.Millis(r.Header, f.seams.Names.Deadline)
	if !found || limit <= 0 {
		limit = defaultTimeout
	}
	if q.route.Timeout > 0 && q.route.Kind != manifest.Rollout {
		limit = min(limit, q.route.Timeout)
	}
	return q.began.Add(limit)
}
