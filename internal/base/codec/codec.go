// Package codec reads and writes the JSON bodies of HTTP requests and responses.
//
// # Usage
//
//	body, err := codec.Read[pullRequest](r, 1<<20)
//	if err != nil {
//		codec.WriteError(w, err)
//		return
//	}
//	codec.Write(w, http.StatusOK, response)
//
// Clients of external systems use Call.
package codec

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
)

// Names of response headers.
const (
	HeaderRun     = "Wigeonpin-Run"
	HeaderCode    = "Wigeonpin-Code"
	HeaderRequest = "Wigeonpin-Request"
	// HeaderLimit is the requests per second that an endpoint takes from all instances
	// together, for as long as its answers name them.
	HeaderLimit = "Wigeonpin-Limit"
)

// Read decodes the request body, which may have at most limit bytes, and rejects
// unknown fields and trailing data. Its errors carry result codes.
func Read[T any](r *http.Request, limit int64) (T, error) {
	var value T
	raw, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	if err != nil {
		return value, readError(err, limit)
	}
	err = Decode(raw, &value)
	return value, err
}

func readError(err error, limit int64) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return code.New(code.BodyTooLarge, "the body exceeds %d bytes", limit).WithRun(code.NotRun)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return code.New(code.SlowCaller, "the body did not arrive in time").WithRun(code.NotRun)
	}
	return code.New(code.BadRequest, "the body ended early").WithRun(code.NotRun)
}

// Decode decodes one JSON value and rejects unknown fields and trailing data.
func Decode(raw []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return code.New(code.BadRequest, "data follows the JSON value").WithRun(code.NotRun)
	}
	return nil
}

func decodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return code.New(code.BadRequest, "field %q must be %s, not %s",
			wrongType.Field, wrongType.Type, wrongType.Value).WithRun(code.NotRun)
	}
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return code.New(code.UnknownField, "unknown field %s", field).WithRun(code.NotRun)
	}
	return code.New(code.BadRequest, "the body is not valid JSON: %s", err).WithRun(code.NotRun)
}

// Write writes value as a JSON response with the given status.
func Write(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		WriteError(w, eris.Wrap(err, "encode answer"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A failed write means that the caller has disconnected, so that the error
	// cannot be reported to it.
	_, _ = w.Write(body)
}

type errorBody struct {
	Code         int    `json:"code"`
	Name         string `json:"name"`
	Message      string `json:"message"`
	Run          string `json:"run,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// WriteError writes the coded error in err's chain with its HTTP status, the
// headers Wigeonpin-Code and Wigeonpin-Run and, if the error has a retry delay,
// Retry-After in whole seconds, rounded up.
func WriteError(w http.ResponseWriter, err error) {
	coded := code.Of(err)
	w.Header().Set(HeaderCode, strconv.Itoa(int(coded.Code)))
	if coded.Run != code.RunUnknown {
		w.Header().Set(HeaderRun, string(coded.Run))
	}
	if coded.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(coded.RetryAfter.Seconds()))))
	}
	Write(w, coded.Code.Status(), ErrorBody(coded))
}

// ErrorBody returns the JSON form of a coded error.
func ErrorBody(coded *code.Error) any {
	return errorBody{
		Code: int(coded.Code), Name: coded.Code.String(), Message: coded.Message,
		Run: string(coded.Run), RetryAfterMS: coded.RetryAfter.Milliseconds(),
	}
}

// StatusError reports a response of an external system with a status other than
// 2xx.
type StatusError struct {
	Status     int
	Body       []byte
	RetryAfter time.Duration
}

// Error returns the status and the first 200 characters of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %.200s", e.Status, e.Body)
}

// StatusOf returns the status of a StatusError in err's chain, or 0.
func StatusOf(err error) int {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status
	}
	return 0
}

// maxResponseBytes is the largest response body that is read. A faulty server may send
// bytes without end, to many calls at a time.
const maxResponseBytes = 8 << 20

// Call sends one JSON request and decodes the JSON response. A nil request sends
// no body. A status other than 2xx gives a StatusError. After any other error,
// the external system may have processed the request unless the connection could
// not be established.
func Call[Response any](ctx context.Context, client *http.Client, method, url string, header http.Header, request any) (Response, error) {
	var response Response
	var body io.Reader
	if request != nil {
		raw, err := json.Marshal(request)
		if err != nil {
			return response, eris.Wrap(err, "encode request")
		}
		body = bytes.NewReader(raw)
	}
	raw, err := Exchange(ctx, client, method, url, header, body)
	if err != nil || len(raw) == 0 {
		return response, err
	}
	return response, eris.Wrapf(json.Unmarshal(raw, &response), "decode answer of %s %s", method, url)
}

// Exchange sends one request and returns the response body. A status other than
// 2xx gives a StatusError.
func Exchange(ctx context.Context, client *http.Client, method, url string, header http.Header, body io.Reader) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, eris.Wrapf(err, "request %s %s", method, url)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, eris.Wrapf(err, "%s %s", method, url)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, eris.Wrapf(err, "answer of %s %s", method, url)
	}
	if len(raw) > maxResponseBytes {
		return nil, eris.Errorf("answer of %s %s exceeds %d bytes", method, url, maxResponseBytes)
	}
	if resp.StatusCode/100 != 2 {
		return nil, &StatusError{Status: resp.StatusCode, Body: raw, RetryAfter: retryAfter(resp)}
	}
	return raw, nil
}

func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
