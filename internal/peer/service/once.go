package service

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/peer/conn"
)

// SendOnce sends the request at most once, over a new connection. It does not
// use http.Transport, which resends some requests by itself, among them those
// with an Idempotency-Key. If no byte of the request was written, the Run of the
// error is code.NotRun.
func (c *Client) SendOnce(ctx context.Context, address string, request Request) (*Answer, error) {
	req, err := request.build(ctx, address)
	if err != nil {
		return nil, requestError(err)
	}
	// The connection serves this request only.
	req.Close = true
	counted, err := conn.Dial(ctx, c.settings, address)
	if err != nil {
		return nil, endpointError(err, false)
	}
	// A cancelled context interrupts reads and writes.
	stop := context.AfterFunc(ctx, func() { _ = counted.SetDeadline(time.Unix(1, 0)) })
	closeConn := func() { stop(); _ = counted.Close() }
	resp, err := roundTrip(counted, req)
	if err != nil {
		closeConn()
		return nil, roundTripError(counted, err)
	}
	return receive(request, resp, closeConn)
}

func roundTripError(counted *conn.CountingConn, err error) error {
	if counted.Written() == 0 {
		return endpointError(err, false)
	}
	return code.New(code.MayHaveRun, "the request was sent and no answer came: %s", reason(err)).WithRun(code.MaybeRun)
}

// roundTrip writes the request and reads the head of the answer.
func roundTrip(counted *conn.CountingConn, req *http.Request) (*http.Response, error) {
	// The service may answer before it has read the whole request. A write that
	// failed after some bytes is therefore ignored if an answer follows.
	writeErr := req.Write(counted)
	if writeErr != nil && counted.Written() == 0 {
		return nil, writeErr
	}
	limited := conn.NewLimitedReader(counted)
	limited.Allow(conn.HeaderLimit)
	reader := bufio.NewReader(limited)
	resp, err := conn.ReadResponse(reader, req)
	if err != nil {
		return nil, errors.Join(err, writeErr)
	}
	limited.AllowAll()
	return resp, nil
}
