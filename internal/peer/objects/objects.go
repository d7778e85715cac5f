// Package objects is the client of the platform's object API and of its
// instance list.
//
// # Usage
//
//	store := objects.New(settings.Platform, timers)
//	head, found, err := store.Get(ctx, "config", "head")
//	head, err = store.Put(ctx, "config", "head", head.Revision, value)
//	if winner, lost := objects.Conflict(err); lost {
//		// winner is the object that was there instead
//	}
//
// An error that NotApplied accepts proves that a write had no effect. After any
// other error the write may have taken effect, or may still do so.
package objects

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/peer/conn"
)

const (
	dialTimeout = time.Second
	// callTimeout bounds a call beyond the time that it asks the platform to
	// wait. The platform answers in milliseconds when it is well.
	callTimeout = time.Second
	idleTimeout = 20 * time.Second
	idleConns   = 8
)

// Object is one object of the platform's store. The revision is a counter over
// the whole store.
type Object struct {
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// Page is the answer to a list call: the objects changed after the given
// revision, in order of revision, and the store's current revision.
type Page struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Client calls the platform.
type Client struct {
	base   string
	http   *http.Client
	timers *clock.Service
}

// New returns a client of the platform at an address of the form IP:PORT.
func New(address string, timers *clock.Service) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: callTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
	return &Client{base: "http://" + address, http: &http.Client{Transport: conn.Bounded(transport, conn.PeerLimit)}, timers: timers}
}

// Close drops the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// conflictError is a refused conditional write with the current object.
type conflictError struct{ current Object }

func (e *conflictError) Error() string {
	return fmt.Sprintf("object %s/%s has revision %d", e.current.Kind, e.current.Name, e.current.Revision)
}

// Refusal returns the error of a conditional write that found another object,
// for functions that take the place of a client's.
func Refusal(current Object) error { return &conflictError{current: current} }

// Conflict reports whether err is a refused conditional write, and returns the
// object as it was then. Its revision is 0 when there was no such object.
func Conflict(err error) (Object, bool) {
	var conflict *conflictError
	if errors.As(err, &conflict) {
		return conflict.current, true
	}
	return Object{}, false
}

// NotApplied reports whether err proves that a write had no effect: the
// connection was refused, the condition did not hold, or the rate limit was
// reached. A status of 503 is no proof, since an intermediary may send it
// after the store has applied the write.
func NotApplied(err error) bool {
	if _, lost := Conflict(err); lost {
		return true
	}
	status := codec.StatusOf(err)
	return errors.Is(err, syscall.ECONNREFUSED) || status == http.StatusTooManyRequests || status == http.StatusBadRequest
}

// RetryAfter returns the time that the platform asked to wait, or 0.
func RetryAfter(err error) time.Duration {
	var status *codec.StatusError
	if errors.As(err, &status) {
		return status.RetryAfter
	}
	return 0
}

func (c *Client) path(kind, name string) string {
	return c.base + "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// Get reads one object. It returns false when there is none.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, bool, error) {
	object, err := call[Object](ctx, c, 0, http.MethodGet, c.path(kind, name), nil)
	if codec.StatusOf(err) == http.StatusNotFound {
		return Object{}, false, nil
	}
	return object, err == nil && !object.Deleted, err
}

// List returns the objects of a kind that changed after a revision. When there
// are none the platform waits for up to wait, in whole seconds, before it answers.
func (c *Client) List(ctx context.Context, kind string, after uint64, wait time.Duration) (Page, error) {
	seconds := int64(wait / time.Second)
	address := fmt.Sprintf("%s/v1/objects/%s?after=%d&wait=%d", c.base, url.PathEscape(kind), after, seconds)
	return call[Page](ctx, c, wait, http.MethodGet, address, nil)
}

// Put writes an object on the condition that its revision is the given one; 0
// only creates it.
func (c *Client) Put(ctx context.Context, kind, name string, revision uint64, value []byte) (Object, error) {
	address := c.path(kind, name) + "?if=" + strconv.FormatUint(revision, 10)
	object, err := call[Object](ctx, c, 0, http.MethodPut, address, value)
	return object, conflictOf(err, kind, name)
}

// Delete removes an object on the condition that its revision is the given one.
func (c *Client) Delete(ctx context.Context, kind, name string, revision uint64) error {
	address := c.path(kind, name) + "?if=" + strconv.FormatUint(revision, 10)
	_, err := call[Object](ctx, c, 0, http.MethodDelete, address, nil)
	return conflictOf(err, kind, name)
}

func conflictOf(err error, kind, name string) error {
	var status *codec.StatusError
	if !errors.As(err, &status) || status.Status != http.StatusConflict {
		return err
	}
	current := Object{}
	if json.Unmarshal(status.Body, &current) != nil || current.Deleted {
		current = Object{Revision: current.Revision, Deleted: current.Deleted}
	}
	current.Kind, current.Name = kind, name
	return &conflictError{current: current}
}

type instanceList struct {
	Instances []member.Instance `json:"instances"`
}

// Instances returns the platform's list of instances.
func (c *Client) Instances(ctx context.Context) ([]member.Instance, error) {
	list, err := call[instanceList](ctx, c, 0, http.MethodGet, c.base+"/v1/instances", nil)
	return list.Instances, err
}

// Register adds or updates an instance in the platform's list.
func (c *Client) Register(ctx context.Context, instance member.Instance) error {
	body, err := json.Marshal(instance)
	if err != nil {
		return eris.Wrap(err, "register instance")
	}
	_, err = call[json.RawMessage](ctx, c, 0, http.MethodPost, c.base+"/v1/instances", body)
	return err
}

// call sends one request, bounded in time on the client's timer service.
// Errors carry the code platform_unavailable; their cause stays in the chain.
func call[Answer any](ctx context.Context, c *Client, wait time.Duration, method, address string, body []byte) (Answer, error) {
	var answer Answer
	ctx, cancel := c.timers.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	var raw []byte
	var err error
	if body == nil {
		raw, err = codec.Exchange(ctx, c.http, method, address, nil, nil)
	} else {
		raw, err = codec.Exchange(ctx, c.http, method, address, nil, bytes.NewReader(body))
	}
	if err != nil {
		return answer, &callError{cause: err}
	}
	if len(raw) == 0 {
		return answer, nil
	}
	if err := json.Unmarshal(raw, &answer); err != nil {
		return answer, &callError{cause: eris.Wrap(err, "decode answer")}
	}
	return answer, nil
}

// callError gives a failed call the code platform_unavailable.
type callError struct{ cause error }

func (e *callError) Error() string { return "platform: " + e.cause.Error() }

// Unwrap returns the cause and the coded error.
func (e *callError) Unwrap() []error {
	coded := code.New(code.PlatformUnavailable, "%s", e.cause).WithRetryAfter(max(RetryAfter(e.cause), time.Second))
	return []error{e.cause, coded}
}
