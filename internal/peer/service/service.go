// Package service is the client of plain services.
//
// # Usage
//
//	client := service.New(settings)
//	answer, err := client.SendOnce(ctx, endpoint.Address, request)  // sent at most once
//	answer, err = client.SendPooled(ctx, endpoint.Address, request) // may be repeated by the caller
//	defer answer.Close()
//
// Errors are *code.Error whose Run reports whether the service may have executed
// the request.
package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/peer/conn"
)

// MaxBufferedAnswer is the size in bytes up to which an answer is read
// completely before it is returned.
const MaxBufferedAnswer = 1 << 20

// Request is one call. Path is the escaped path, with a leading slash. ID is sent
// in a header that the answer must echo.
type Request struct {
	ID       string
	Method   string
	Path     string
	RawQuery string
	Header   http.Header
	Body     []byte
}

// Answer is the answer of a service. Body holds the complete body if Rest is nil.
// Otherwise Body holds its start and Rest the remainder, whose reads fail if the
// connection ends early.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.Reader
	close  func()
}

// Close releases the connection. It needs to be called only once.
func (a *Answer) Close() {
	if a.close != nil {
		a.close()
	}
}

// OnClose returns a copy whose Close also calls f.
func (a *Answer) OnClose(f func()) *Answer {
	c := *a
	c.close = func() { a.Close(); f() }
	return &c
}

// Client calls plain services by their addresses.
type Client struct {
	settings setting.Settings
	pooled   *http.Client
}

// New returns a client.
func New(settings setting.Settings) *Client {
	return &Client{settings: settings, pooled: &http.Client{
		Transport: conn.CheckStatus(conn.Transport(settings)),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

func (r Request) build(ctx context.Context, address string) (*http.Request, error) {
	target := &url.URL{Scheme: "http", Host: address, RawQuery: r.RawQuery}
	path, err := url.PathUnescape(r.Path)
	if err != nil {
		return nil, err
	}
	target.Path, target.RawPath = path, r.Path
	var body io.Reader
	if len(r.Body) > 0 {
		body = bytes.NewReader(r.Body)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, target.String(), body)
	if err != nil {
		return nil, err
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	req.Header.Set(codec.HeaderRequest, r.ID)
	return req, nil
}

// SendPooled sends the request over a pooled connection. The transport may
// resend the request by itself if an idle connection turns out to be closed, so
// SendPooled is only for requests that may be repeated.
func (c *Client) SendPooled(ctx context.Context, address string, request Request) (*Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	var used net.Conn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { used = info.Conn },
	})
	req, err := request.build(ctx, address)
	if err != nil {
		cancel()
		return nil, requestError(err)
	}
	resp, err := c.pooled.Do(req)
	if err != nil {
		cancel()
		return nil, endpointError(err, !dialFailed(err))
	}
	answer, err := receive(request, resp, func() { _ = resp.Body.Close(); cancel() })
	if err != nil {
		// net/http keeps a connection whose body has ended, for example after an
		// answer without a body to another request. The answer to this request may
		// still arrive on it.
		_ = used.Close()
	}
	return answer, err
}

// receive checks that the answer belongs to the request and reads its body up to
// MaxBufferedAnswer bytes. stop releases the connection; it is called on
// errors and at the end of the body, or by Close if a remainder is left.
func receive(request Request, resp *http.Response, stop func()) (*Answer, error) {
	if resp.Header.Get(codec.HeaderRequest) != request.ID {
		stop()
		return nil, code.New(code.AnswerCrossed, "the endpoint answered another request").WithRun(code.MaybeRun)
	}
	if !conn.EndIsMarked(resp) {
		stop()
		return nil, code.New(code.AnswerIncomplete, "the answer has neither a length nor chunks, so its end cannot be told from a cut").
			WithRun(code.MaybeRun)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBufferedAnswer+1))
	if err != nil {
		stop()
		return nil, code.New(code.AnswerIncomplete, "the answer ended early").WithRun(code.MaybeRun)
	}
	answer := &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, close: stop}
	if len(body) > MaxBufferedAnswer {
		answer.Rest = resp.Body
		return answer, nil
	}
	stop()
	answer.close = nil
	return answer, nil
}

func dialFailed(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

func requestError(err error) error {
	return code.New(code.BadRequest, "the request cannot be forwarded: %s", err).WithRun(code.NotRun)
}

func endpointError(err error, sent bool) error {
	if !sent {
		return code.New(code.NoEndpoint, "no connection to the endpoint: %s", reason(err)).WithRun(code.NotRun)
	}
	return code.New(code.EndpointFailed, "the endpoint failed: %s", reason(err)).WithRun(code.MaybeRun)
}

// reason returns the innermost text of an error, which contains no address.
func reason(err error) string {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return "cancelled"
	}
	var failed *net.OpError
	if errors.As(err, &failed) {
		return failed.Op + ": " + failed.Err.Error()
	}
	var target *url.Error
	if errors.As(err, &target) {
		return target.Err.Error()
	}
	return err.Error()
}
