package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/gorilla/mux"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
	"github.com/wigeonpin/wigeonpin/internal/traffic/dispatch"
	"github.com/wigeonpin/wigeonpin/internal/traffic/idempotency"
	"github.com/wigeonpin/wigeonpin/internal/traffic/stop"
)

const (
	headerIdempotency      = "Idempotency-Key"
	maxIdempotencyKeyBytes = 256
	relayBufferBytes       = 64 << 10
)

// service forwards a request to a plain service.
func (e *Entry) service(w http.ResponseWriter, r *http.Request, c *caller) error {
	name := mux.Vars(r)["route"]
	current := e.seams.Table()
	route, ok := current.Route(name)
	if !ok {
		return code.New(code.UnknownRoute, "no route has this name").WithRun(code.NotRun)
	}
	if !route.Open {
		if err := e.authenticate(r, c, checkRouteAccess(name)); err != nil {
			return err
		}
	}
	call, err := e.readCall(w, r, c, route)
	if err != nil {
		return err
	}
	defer e.plan.Start(stop.Work{Class: "route " + route.Name}).Finish()
	id := r.Header.Get(headerIdempotency)
	if route.Repeatable || id == "" {
		return e.forward(w, r, c, call)
	}
	return e.forwardOnce(w, r, c, call, name, id)
}

// checkRouteAccess returns a function that checks whether an account may use the
// route according to the given table.
func checkRouteAccess(name string) func(account string, current *table.Table) error {
	return func(account string, current *table.Table) error {
		route, ok := current.Route(name)
		if !ok {
			return code.New(code.UnknownRoute, "no route has this name").WithRun(code.NotRun)
		}
		if len(route.Accounts) > 0 && !slices.Contains(route.Accounts, account) {
			return code.New(code.KeyForbidden, "the account may not use this route").WithRun(code.NotRun)
		}
		return nil
	}
}

// readCall reads the request and removes keys and hop-by-hop headers. It refuses
// requests with a key in the path or body.
func (e *Entry) readCall(w http.ResponseWriter, r *http.Request, c *caller, route table.Route) (dispatch.ServiceCall, error) {
	deadline, err := e.deadline(r)
	if err != nil {
		return dispatch.ServiceCall{}, err
	}
	body, err := e.readBody(w, r, e.settings.BodyBytes)
	if err != nil {
		return dispatch.ServiceCall{}, err
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/s/"+mux.Vars(r)["route"])
	if path == "" {
		path = "/"
	}
	if !strings.HasPrefix(path, "/") {
		return dispatch.ServiceCall{}, code.New(code.UnknownRoute, "no route has this path").WithRun(code.NotRun)
	}
	work := stop.Work{Class: "route " + route.Name, Deadline: deadline, Repeatable: route.Repeatable}
	if err := e.checkEnd(work); err != nil {
		return dispatch.ServiceCall{}, err
	}
	current := e.seams.Table()
	for _, part := range []struct{ location, text string }{{"path", path}, {"path", r.URL.Path}, {"body", string(body)}} {
		if err := rejectKey(part.location, part.text, c, current); err != nil {
			return dispatch.ServiceCall{}, err
		}
	}
	return dispatch.ServiceCall{
		Request: newRequestID(), Account: c.account, Model: route.Model, Class: route.Name,
		Method: r.Method, Path: path, RawQuery: stripQuery(r.URL.RawQuery), Header: stripHeader(r.Header), Body: body,
		Repeatable: route.Repeatable, Deadline: deadline, Check: e.dispatchCheck(c, work),
	}, nil
}

// forwardOnce claims the idempotency key before it forwards the call.
func (e *Entry) forwardOnce(w http.ResponseWriter, r *http.Request, c *caller, call dispatch.ServiceCall, route, id string) error {
	if len(id) > maxIdempotencyKeyBytes {
		return code.New(code.OutOfRange, "the header %s is longer than %d bytes", headerIdempotency, maxIdempotencyKeyBytes).WithRun(code.NotRun)
	}
	if containsKey(id) {
		// The id is sent to other instances, which must not see keys.
		return code.New(code.BadRequest, "the header %s holds a key", headerIdempotency).WithRun(code.NotRun)
	}
	// The route is part of the id, so that the same idempotency key can be used
	// on different routes.
	claim, err := e.seams.Claim(r.Context(), c.account, route+"\x00"+id, callDigest(call))
	if err != nil {
		return err
	}
	if replay, ok := claim.Replay(); ok {
		c.responseStarted = true
		e.setWriteDeadline(w)
		writeHead(w, replay.Status, replay.Header, code.Ran)
		_, _ = w.Write(replay.Body)
		return nil
	}
	outcome := idempotency.Outcome{Run: code.MaybeRun}
	defer func() { claim.Done(r.Context(), outcome) }()
	// Callers often resend because they lost their connection. The call
	// continues without the connection, so that the resend finds the answer.
	ctx, release := e.plan.Context(context.WithoutCancel(r.Context()))
	defer release()
	answer, err := e.seams.Forward(ctx, call)
	if err != nil {
		outcome.Run = code.Of(err).Run
		return err
	}
	defer answer.Close()
	outcome = storedAnswer(answer)
	if c.checkRoute != nil {
		if err := c.checkAccess(e.seams.Table()); err != nil {
			return code.Of(err).WithRun(code.Ran)
		}
	}
	return e.writeAnswer(w, r, c, answer)
}

// callDigest returns a hash of the call's content. It is the same for each
// resend of a request.
func callDigest(call dispatch.ServiceCall) string {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(call.Method), []byte(call.Path), []byte(call.RawQuery), call.Body} {
		_, _ = hash.Write([]byte(strconv.Itoa(len(part)) + ":"))
		_, _ = hash.Write(part)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// forward forwards a call without claiming an idempotency key.
func (e *Entry) forward(w http.ResponseWriter, r *http.Request, c *caller, call dispatch.ServiceCall) error {
	answer, err := e.seams.Forward(r.Context(), call)
	if err != nil {
		return err
	}
	defer answer.Close()
	return e.writeAnswer(w, r, c, answer)
}

// writeAnswer sends a service's answer to the caller.
func (e *Entry) writeAnswer(w http.ResponseWriter, r *http.Request, c *caller, answer *dispatch.Answer) error {
	header := responseHeader(answer.Header)
	if answer.Rest == nil && r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	e.setWriteDeadline(w)
	writeHead(w, answer.Status, header, code.Ran)
	if answer.Rest == nil {
		c.responseStarted = true
		_, _ = w.Write(answer.Body)
		return nil
	}
	return e.relay(w, c, answer)
}

// storedAnswer returns the record of an answer for resends. It includes the body
// if the body is complete and within idempotency.BodyLimit.
func storedAnswer(answer *dispatch.Answer) idempotency.Outcome {
	s := idempotency.Outcome{Run: code.Ran, Status: answer.Status, Header: responseHeader(answer.Header)}
	if answer.Rest == nil && len(answer.Body) <= idempotency.BodyLimit {
		s.Body, s.Whole = answer.Body, true
	}
	return s
}

// relay streams a long answer. If the endpoint's answer ends early, relay aborts
// the caller's connection, so that the caller can tell that the response is
// incomplete.
func (e *Entry) relay(w http.ResponseWriter, c *caller, answer *dispatch.Answer) error {
	out := e.newStreamWriter(w, c)
	if out.write(answer.Body) != nil {
		return nil
	}
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := answer.Rest.Read(buffer)
		if n > 0 && out.write(buffer[:n]) != nil {
			return nil
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			e.refused.Add(c.account+"/"+code.AnswerIncomplete.String(), 1)
			panic(http.ErrAbortHandler)
		}
	}
}

// responseHeader returns the headers of an answer that are sent to the caller.
func responseHeader(in http.Header) http.Header {
	out := stripHeader(in)
	out.Set(codec.HeaderRequest, in.Get(codec.HeaderRequest))
	return out
}

func writeHead(w http.ResponseWriter, status int, header http.Header, run code.Run) {
	for name, values := range header {
		w.Header()[name] = values
	}
	w.Header().Set(codec.HeaderRun, string(run))
	w.WriteHeader(status)
}
