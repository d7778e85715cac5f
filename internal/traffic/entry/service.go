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
	"github.com/wigeonpin/wigeonpin/internal/traffic/once"
)

const (
	headerIdempotency = "Idempotency-Key"
	idempotencyLimit  = 256
	pieceBytes        = 64 << 10
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
		if err := e.identify(r, c, mayUse(name)); err != nil {
			return err
		}
	}
	call, err := e.call(w, r, c, route)
	if err != nil {
		return err
	}
	id := r.Header.Get(headerIdempotency)
	if route.Repeatable || id == "" {
		return e.forward(w, r, c, call)
	}
	return e.forwardOnce(w, r, c, call, name, id)
}

// mayUse checks that the account may use the route, in each table anew.
func mayUse(name string) func(account string, current *table.Table) error {
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

// call reads the request and removes keys and the headers of the connection.
func (e *Entry) call(w http.ResponseWriter, r *http.Request, c *caller, route table.Route) (dispatch.ServiceCall, error) {
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
	current := e.seams.Table()
	for _, text := range []struct{ place, text string }{{"path", path}, {"path", r.URL.Path}, {"body", string(body)}} {
		if err := refuseKey(text.place, text.text, c, current); err != nil {
			return dispatch.ServiceCall{}, err
		}
	}
	return dispatch.ServiceCall{
		Request: newRequestID(), Account: c.account, Model: route.Model, Class: route.Name,
		Method: r.Method, Path: path, RawQuery: stripQuery(r.URL.RawQuery), Header: stripHeader(r.Header), Body: body,
		Repeatable: route.Repeatable, Deadline: deadline, Check: e.check(c),
	}, nil
}

// forwardOnce claims the idempotency key before it forwards the call.
func (e *Entry) forwardOnce(w http.ResponseWriter, r *http.Request, c *caller, call dispatch.ServiceCall, route, id string) error {
	if len(id) > idempotencyLimit {
		return code.New(code.OutOfRange, "the header %s is longer than %d bytes", headerIdempotency, idempotencyLimit).WithRun(code.NotRun)
	}
	if holdsKey(id) {
		// The id goes to other instances.
		return code.New(code.BadRequest, "the header %s holds a key", headerIdempotency).WithRun(code.NotRun)
	}
	// Keys of different routes do not collide.
	claim, err := e.seams.Claim(r.Context(), c.account, route+"\x00"+id, callDigest(call))
	if err != nil {
		return err
	}
	if replay, ok := claim.Replay(); ok {
		c.begun = true
		e.limitWrite(w)
		writeHead(w, replay.Status, replay.Header, code.Ran)
		_, _ = w.Write(replay.Body)
		return nil
	}
	outcome := once.Outcome{Run: code.MaybeRun}
	defer func() { claim.Done(r.Context(), outcome) }()
	// A caller that resends has often lost its connection. The call goes on
	// without it, so that the resend finds the answer.
	answer, err := e.seams.Forward(context.WithoutCancel(r.Context()), call)
	if err != nil {
		outcome.Run = code.Of(err).Run
		return err
	}
	defer answer.Close()
	outcome = stored(answer)
	if c.permitted != nil {
		if err := c.allowed(e.seams.Table()); err != nil {
			return code.Of(err).WithRun(code.Ran)
		}
	}
	return e.answer(w, r, c, answer)
}

// callDigest identifies a call's content across resends.
func callDigest(call dispatch.ServiceCall) string {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(call.Method), []byte(call.Path), []byte(call.RawQuery), call.Body} {
		_, _ = hash.Write([]byte(strconv.Itoa(len(part)) + ":"))
		_, _ = hash.Write(part)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// forward runs a call without a claim.
func (e *Entry) forward(w http.ResponseWriter, r *http.Request, c *caller, call dispatch.ServiceCall) error {
	answer, err := e.seams.Forward(r.Context(), call)
	if err != nil {
		return err
	}
	defer answer.Close()
	return e.answer(w, r, c, answer)
}

// answer passes a service's answer on to the caller.
func (e *Entry) answer(w http.ResponseWriter, r *http.Request, c *caller, answer *dispatch.Answer) error {
	header := answerHeader(answer.Header)
	if answer.Rest == nil && r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	e.limitWrite(w)
	writeHead(w, answer.Status, header, code.Ran)
	if answer.Rest == nil {
		c.begun = true
		_, _ = w.Write(answer.Body)
		return nil
	}
	return e.relay(w, c, answer)
}

func stored(answer *dispatch.Answer) once.Outcome {
	s := once.Outcome{Run: code.Ran, Status: answer.Status, Header: answerHeader(answer.Header)}
	if answer.Rest == nil && len(answer.Body) <= once.BodyLimit {
		s.Body, s.Whole = answer.Body, true
	}
	return s
}

// relay sends a long answer in pieces. When the endpoint's answer ends early
// the caller's connection is cut, so that the caller sees an incomplete answer.
func (e *Entry) relay(w http.ResponseWriter, c *caller, answer *dispatch.Answer) error {
	out := e.writer(w, c)
	if out.write(answer.Body) != nil {
		return nil
	}
	piece := make([]byte, pieceBytes)
	for {
		n, err := answer.Rest.Read(piece)
		if n > 0 && out.write(piece[:n]) != nil {
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

// answerHeader returns the headers that go on to the caller.
func answerHeader(in http.Header) http.Header {
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
