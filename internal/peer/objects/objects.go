// Package objects is the client of the platform's object API and of its
// instance list.
//
// # Usage
//
//	store := objects.New(settings.Platform, timers)
//	head, found, err := store.Get(ctx, "config", "head")
//	head, err = store.Put(ctx, "config", "head", head.Revision, value)
//	if current, isConflict := objects.Conflict(err); isConflict {
//		// another write came first; current is the object after it
//	}
//
// If NotApplied returns true for the error of a write, the write had no effect.
// After any other error it may have taken effect or may still do so.
package objects

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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
	// callTimeout is the timeout of a call, in addition to the time that the call
	// asks the platform to wait. A healthy platform responds within milliseconds.
	callTimeout = time.Second
	idleTimeout = 20 * time.Second
	idleConns   = 8
)

// Object is one object of the platform's store. Revision is that of its last
// change; the whole store has a single revision counter.
type Object struct {
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// Page is the response to a list call: the objects that changed after the given
// revision, in order of revision, and the store's current revision.
type Page struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Client calls the object API of one platform.
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
	return &Client{base: "http://" + address, http: &http.Client{Transport: conn.LimitResponses(transport, conn.PeerBodyLimit)}, timers: timers}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// conflictError is the error of a conditional write whose condition did not hold.
type conflictError struct{ current Object }

func (e *conflictError) Error() string {
	return fmt.Sprintf("object %s/%s has revision %d", e.current.Kind, e.current.Name, e.current.Revision)
}

// NewConflictError returns the error of a conditional write that the given
// current object prevented. It is meant for functions that replace those of a
// client.
func NewConflictError(current Object) error { return &conflictError{current: current} }

// Conflict reports whether err is that of a conditional write whose condition did
// not hold, and returns the object as it was at that time. Its revision is 0 when
// the object did not exist.
func Conflict(err error) (Object, bool) {
	var conflict *conflictError
	if errors.As(err, &conflict) {
		return conflict.current, true
	}
	return Object{}, false
}

// NotApplied reports whether err proves that a write had no effect: the
// connection was refused, the condition did not hold, the request was invalid, or
// the rate limit was reached. Status 503 proves nothing, since an intermediary may
// send it after the store has applied the write.
func NotApplied(err error) bool {
	if _, isConflict := Conflict(err); isConflict {
		return true
	}
	status := codec.StatusOf(err)
	return errors.Is(err, syscall.ECONNREFUSED) || status == http.StatusTooManyRequests || status == http.StatusBadRequest
}

// RetryAfter returns how long the platform asked to wait before a retry, or 0.
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

// Get reads one object and reports whether it exists.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, bool, error) {
	object, err := call[Object](ctx, c, 0, http.MethodGet, c.path(kind, name), nil)
	if codec.StatusOf(err) == http.StatusNotFound {
		return Object{}, false, nil
	}
	return object, err == nil && !object.Deleted, err
}

// List returns the objects of a kind that changed after a revision. When there
// are none, the platform delays its response for up to wait, rounded down to
// whole seconds.
func (c *Client) List(ctx context.Context, kind string, after uint64, wait time.Duration) (Page, error) {
	seconds := int64(wait / time.Second)
	address := fmt.Sprintf("%s/v1/objects/%s?after=%d&wait=%d", c.base, url.PathEscape(kind), after, seconds)
	return call[Page](ctx, c, wait, http.MethodGet, address, nil)
}

// Put writes an object if its current revision is the given one. Revision 0 means
// that the object must not exist yet.
func (c *Client) Put(ctx context.Context, kind, name string, revision uint64, value []byte) (Object, error) {
	address := c.path(kind, name) + "?if=" + strconv.FormatUint(revision, 10)
	object, err := call[Object](ctx, c, 0, http.MethodPut, address, value)
	return object, asConflict(err, kind, name)
}

// Delete removes an object if its current revision is the given one.
func (c *Client) Delete(ctx context.Context, kind, name string, revision uint64) error {
	address := c.path(kind, name) + "?if=" + strconv.FormatUint(revision, 10)
	_, err := call[Object](ctx, c, 0, http.MethodDelete, address, nil)
	return asConflict(err, kind, name)
}

// asConflict replaces a response with status 409 by a conflictError with the
// current object from its body, and returns other errors unchanged.
func asConflict(err error, kind, name string) error {
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

// Instances returns the platform's list of instances. An entry that cannot be read,
// for example of another writer, names no instance and does not affect the others.
func (c *Client) Instances(ctx context.Context) ([]member.Instance, error) {
	body, err := c.exchange(ctx, 0, http.MethodGet, c.base+"/v1/instances", nil)
	if err != nil {
		return nil, err
	}
	var entries []json.RawMessage
	var invalid error
	err = codec.SplitObject(body, func(key string, value json.RawMessage) {
		if key == "instances" {
			entries, invalid = codec.SplitArray(value)
		}
	})
	if err = errors.Join(err, invalid); err != nil {
		return nil, &callError{cause: eris.Wrap(err, "decode instance list")}
	}
	var list []member.Instance
	for _, entry := range entries {
		var i member.Instance
		if json.Unmarshal(entry, &i) == nil && i.ID != "" {
			list = append(list, i)
		}
	}
	return list, nil
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

// call sends one request and decodes the response. Errors have the code
// platform_unavailable and keep their cause in the chain.
func call[Response any](ctx context.Context, c *Client, wait time.Duration, method, address string, body []byte) (Response, error) {
	var response Response
	raw, err := c.exchange(ctx, wait, method, address, body)
	if err != nil {
		return response, err
	}
	if len(raw) == 0 {
		return response, nil
	}
	if err := json.Unmarshal(raw, &response); err != nil {
		return response, &callError{cause: eris.Wrap(err, "decode answer")}
	}
	return response, nil
}

// exchange sends one request, with a timeout on the client's timer service, and
// returns the body of the response. Its errors are as those of call.
func (c *Client) exchange(ctx context.Context, wait time.Duration, method, address string, body []byte) ([]byte, error) {
	ctx, cancel := c.timers.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	raw, err := codec.Exchange(ctx, c.http, method, address, nil, reader)
	if err != nil {
		return nil, &callError{cause: err}
	}
	return raw, nil
}

// callError gives a failed call the code platform_unavailable.
type callError struct{ cause error }

func (e *callError) Error() string { return "platform: " + e.cause.Error() }

// Unwrap returns the cause and the coded error.
func (e *callError) Unwrap() []error {
	coded := code.New(code.PlatformUnavailable, "%s", e.cause).WithRetryAfter(max(RetryAfter(e.cause), time.Second))
	return []error{e.cause, coded}
}
