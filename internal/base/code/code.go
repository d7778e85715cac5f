// Package code defines the numbered result codes of responses and logs. A test
// generates the table in docs/codes.md from them.
//
// # Usage
//
//	return code.New(code.QueueFull, "the queue of account %s is full", account).
//		WithRun(code.NotRun).
//		WithRetryAfter(2 * time.Second)
//
// Use code.Of to find the coded error in a chain of wrapped errors.
package code

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code is a result code. Its hundreds digit gives the area: 1 input, 2 keys,
// 3 admission, 4 endpoints, 5 configuration, 6 training, 7 usage, 9 internal.
type Code int

// The result codes.
const (
	OK Code = 0

	BadRequest    Code = 101
	UnknownField  Code = 102
	BodyTooLarge  Code = 103
	UnknownRoute  Code = 104
	BadMethod     Code = 105
	SlowCaller    Code = 106
	OutOfRange    Code = 107
	MissingObject Code = 108

	KeyMissing   Code = 201
	KeyMalformed Code = 202
	KeyUnknown   Code = 203
	KeyWithdrawn Code = 204
	KeyForbidden Code = 205
	KeysStale    Code = 206

	QueueFull    Code = 301
	WaitTooLong  Code = 302
	DeadlinePast Code = 303
	Draining     Code = 304
	NotReady     Code = 305
	RetryBudget  Code = 306
	CallerGone   Code = 307
	MemoryFull   Code = 308

	NoEndpoint       Code = 401
	EndpointFailed   Code = 402
	AnswerIncomplete Code = 403
	AnswerCrossed    Code = 404
	MayHaveRun       Code = 405
	AlreadyRunning   Code = 406
	RecordUnsure     Code = 407
	SuspectRequest   Code = 408
	KeyReused        Code = 409
	ContentHeld      Code = 410
	Stopped          Code = 411
	EndpointLimited  Code = 412

	EditConflict        Code = 501
	EditInvalid         Code = 502
	EditUncertain       Code = 503
	PlatformUnavailable Code = 504
	PlatformBehind      Code = 505
	LeaseLost           Code = 506
	PlatformLate        Code = 507

	UnknownTrainer   Code = 601
	StepInvalid      Code = 602
	SampleTooOld     Code = 603
	SampleUnlabelled Code = 604
	ScoreFailed      Code = 605

	UsageConflict Code = 701
	UsageUncopied Code = 702

	PeerRefused Code = 901
	Internal    Code = 999
)

type entry struct {
	name    string
	status  int
	meaning string
}

var entries = map[Code]entry{
	OK:                  {"ok", http.StatusOK, "The request succeeded."},
	BadRequest:          {"bad_request", http.StatusBadRequest, "The body or a header does not have the documented form."},
	UnknownField:        {"unknown_field", http.StatusBadRequest, "The body has a field that the request does not know."},
	BodyTooLarge:        {"body_too_large", http.StatusRequestEntityTooLarge, "The body exceeds the route's limit."},
	UnknownRoute:        {"unknown_route", http.StatusNotFound, "No route has this path."},
	BadMethod:           {"bad_method", http.StatusMethodNotAllowed, "The route does not take this method."},
	SlowCaller:          {"slow_caller", http.StatusRequestTimeout, "The caller sent its request or read its answer too slowly."},
	OutOfRange:          {"out_of_range", http.StatusBadRequest, "A value lies outside its allowed range."},
	MissingObject:       {"missing_object", http.StatusNotFound, "The named object does not exist."},
	KeyMissing:          {"key_missing", http.StatusUnauthorized, "The route needs a key and none came."},
	KeyMalformed:        {"key_malformed", http.StatusUnauthorized, "The key does not have the form of a key."},
	KeyUnknown:          {"key_unknown", http.StatusUnauthorized, "No client account has this key."},
	KeyWithdrawn:        {"key_withdrawn", http.StatusUnauthorized, "The key was withdrawn."},
	KeyForbidden:        {"key_forbidden", http.StatusForbidden, "The key's account may not use this route or trainer."},
	KeysStale:           {"keys_stale", http.StatusServiceUnavailable, "The instance cannot prove that its view of the keys is fresh."},
	QueueFull:           {"queue_full", http.StatusTooManyRequests, "The account's queue limit is reached."},
	WaitTooLong:         {"wait_too_long", http.StatusTooManyRequests, "The expected wait exceeds the request's deadline."},
	DeadlinePast:        {"deadline_past", http.StatusGatewayTimeout, "The request's deadline passed."},
	Draining:            {"draining", http.StatusServiceUnavailable, "The instance is stopping and takes no new work."},
	NotReady:            {"not_ready", http.StatusServiceUnavailable, "The instance has no configuration yet, or its zone is out."},
	RetryBudget:         {"retry_budget", http.StatusServiceUnavailable, "The retry budget of the account or endpoint is used up."},
	CallerGone:          {"caller_gone", 499, "The caller closed its connection."},
	MemoryFull:          {"memory_full", http.StatusServiceUnavailable, "Bodies of other requests hold the memory that this one needs."},
	NoEndpoint:          {"no_endpoint", http.StatusServiceUnavailable, "No endpoint can take the request."},
	EndpointFailed:      {"endpoint_failed", http.StatusBadGateway, "The endpoint failed while it ran the request."},
	AnswerIncomplete:    {"answer_incomplete", http.StatusBadGateway, "The endpoint's answer ended early."},
	AnswerCrossed:       {"answer_crossed", http.StatusBadGateway, "The endpoint answered another request."},
	MayHaveRun:          {"may_have_run", http.StatusBadGateway, "The non-repeatable request may have run; it was not sent again."},
	AlreadyRunning:      {"already_running", http.StatusConflict, "The request with this idempotency key is still running."},
	RecordUnsure:        {"record_unsure", http.StatusServiceUnavailable, "The record of this idempotency key cannot be settled now."},
	SuspectRequest:      {"suspect_request", http.StatusUnprocessableEntity, "Requests with this content crashed endpoints and are refused."},
	KeyReused:           {"key_reused", http.StatusUnprocessableEntity, "The idempotency key came before with other content."},
	ContentHeld:         {"content_held", http.StatusServiceUnavailable, "Requests with this content ended endpoints and are held back for a time."},
	Stopped:             {"stopped", http.StatusBadGateway, "The instance stopped before the endpoint answered; the request may have run."},
	EndpointLimited:     {"endpoint_limited", http.StatusServiceUnavailable, "All endpoints have had the requests per second that they take."},
	EditConflict:        {"edit_conflict", http.StatusConflict, "Another edit of the row was accepted first."},
	EditInvalid:         {"edit_invalid", http.StatusUnprocessableEntity, "The row has an invalid field."},
	EditUncertain:       {"edit_uncertain", http.StatusServiceUnavailable, "It is not yet known whether the edit was accepted; ask again with its id."},
	PlatformUnavailable: {"platform_unavailable", http.StatusServiceUnavailable, "The platform does not answer."},
	PlatformBehind:      {"platform_behind", http.StatusServiceUnavailable, "The platform answers with older data than was accepted."},
	LeaseLost:           {"lease_lost", http.StatusConflict, "The instance does not hold the lease for this order."},
	PlatformLate:        {"platform_late", http.StatusServiceUnavailable, "The platform's answer was too old to be passed on."},
	UnknownTrainer:      {"unknown_trainer", http.StatusNotFound, "No trainer has this name."},
	StepInvalid:         {"step_invalid", http.StatusUnprocessableEntity, "The step's description is invalid."},
	SampleTooOld:        {"sample_too_old", http.StatusConflict, "The sample is older than the trainer's bound."},
	SampleUnlabelled:    {"sample_unlabelled", http.StatusBadGateway, "The engine did not name the weight versions of the sample."},
	ScoreFailed:         {"score_failed", http.StatusBadGateway, "The scoring service failed."},
	UsageConflict:       {"usage_conflict", http.StatusConflict, "The range of usage records was sealed before."},
	UsageUncopied:       {"usage_uncopied", http.StatusServiceUnavailable, "No second holder took the usage record in time."},
	PeerRefused:         {"peer_refused", http.StatusForbidden, "The instance does not belong to this fleet."},
	Internal:            {"internal", http.StatusInternalServerError, "The instance failed in an unexpected way."},
}

// String returns the code's name.
func (c Code) String() string {
	if e, ok := entries[c]; ok {
		return e.name
	}
	return fmt.Sprintf("code_%d", int(c))
}

// Status returns the HTTP status of the code.
func (c Code) Status() int {
	if e, ok := entries[c]; ok {
		return e.status
	}
	return http.StatusInternalServerError
}

// Meaning returns the description of the code in the documentation.
func (c Code) Meaning() string { return entries[c].meaning }

// All returns every defined code, in no particular order.
func All() []Code {
	codes := make([]Code, 0, len(entries))
	for c := range entries {
		codes = append(codes, c)
	}
	return codes
}

// Run states whether a request was run. Callers use it to decide whether a
// retry is safe.
type Run string

// Values of Run. RunUnknown is left out of responses.
const (
	NotRun     Run = "not_run"
	Ran        Run = "ran"
	MaybeRun   Run = "may_have_run"
	RunUnknown Run = ""
)

// Error is a coded error. It is immutable; the With methods return copies.
type Error struct {
	Code       Code
	Message    string
	Run        Run
	RetryAfter time.Duration
}

// New returns a coded error with a formatted message.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Message: fmt.Sprintf(format, args...)}
}

// Error returns the code's name and the message.
func (e *Error) Error() string { return e.Code.String() + ": " + e.Message }

// WithRun returns a copy that states whether the request ran.
func (e *Error) WithRun(run Run) *Error {
	c := *e
	c.Run = run
	return &c
}

// WithRetryAfter returns a copy with the delay after which the caller may retry.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	c := *e
	c.RetryAfter = wait
	return &c
}

// Of returns the coded error in err's chain, or an Internal one with err's
// text. It returns nil for a nil error.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded
	}
	return New(Internal, "%s", err.Error())
}

// Is reports whether err's chain holds a coded error with code c.
func Is(err error, c Code) bool {
	var coded *Error
	return errors.As(err, &coded) && coded.Code == c
}
