// Package codec reads and writes the JSON bodies of HTTP requests and answers.
//
// # Usage
//
//	body, err := codec.Read[pullRequest](r, 1<<20)
//	if err != nil {
//		codec.WriteError(w, err)
//		return
//	}
//	codec.Write(w, http.StatusOK, answer)
//
// Clients of the outside systems use Call.
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

// The headers that answers carry.
const (
	HeaderRun     = "Wigeonpin-Run"
	HeaderCode    = "Wigeonpin-Code"
	HeaderRequest = "Wigeonpin-Request"
)

// Read decodes the request's body, at most limit bytes, and refuses unknown
// fields and trailing data. Its errors carry result codes.
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

// Decode decodes strict JSON: unknown fields and trailing data are errors.
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

// Write sends value as JSON with the given status.
func Write(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		WriteError(w, eris.Wrap(err, "encode answer"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A failed write means that the caller is gone; nobody is left to tell.
	_, _ = w.Write(body)
}

type errorBody struct {
	Code         int    `json:"code"`
	Name         string `json:"name"`
	Message      string `json:"message"`
	Run          string `json:"run,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// WriteError sends the coded error behind err with its status, the header
// Wigeonpin-Run and, when there is a time to come back, Retry-After in whole
// seconds, rounded up.
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

// StatusError is an answer of an outside system with a status other than 2xx.
type StatusError struct {
	Status     int
	Body       []byte
	RetryAfter time.Duration
}

// Error names the status and the start of the body.
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

const answerLimit = 64 << 20

// Call sends one JSON request and decodes the JSON answer. A nil request sends
// no body. Answers other than 2xx become a StatusError; any other error means
// that the outcome is not known unless the connection could not be made.
func Call[Answer any](ctx context.Context, client *http.Client, method, url string, header http.Header, request any) (Answer, error) {
	var answer Answer
	var body io.Reader
	if request != nil {
		raw, err := json.Marshal(request)
		if err != nil {
			return answer, eris.Wrap(err, "encode request")
		}
		body = bytes.NewReader(raw)
	}
	raw, err := Exchange(ctx, client, method, url, header, body)
	if err != nil || len(raw) == 0 {
		return answer, err
	}
	return answer, eris.Wrapf(json.Unmarshal(raw, &answer), "decode answer of %s %s", method, url)
}

// Exchange sends one request and reads its whole answer.
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
	raw, err := io.ReadAll(io.LimitReader(resp.Body, answerLimit))
	if err != nil {
		return nil, eris.Wrapf(err, "answer of %s %s", method, url)
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
