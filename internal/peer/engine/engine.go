// Package engine is the client of model engines.
//
// # Usage
//
//	client := engine.New(settings, timers)
//	done, err := client.Generate(ctx, endpoint.Address, engine.Request{...}, func(c engine.Chunk) error {
//		return deliver(c.Text)
//	})
//	report, err := client.Load(ctx, endpoint.Address)
//	err = client.Order(ctx, endpoint.Address, engine.Order{Action: engine.ActionLoad, ...})
//
// Generate reports why a stream ended early with one of the errors of this
// package, so that the caller can resume it with the text received so far.
package engine

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/peer/conn"
)

// Client calls engines by their addresses.
type Client struct {
	settings setting.Settings
	timers   *clock.Service
	streams  *http.Client
	control  *http.Client
}

// New returns a client. Each stream has a connection of its own: net/http
// reuses a connection as soon as a body was read to its end, before it can be
// known whether its lines were the right ones, and a pooled connection may
// have gone silent, which shows only after the silence timeout.
func New(settings setting.Settings, timers *clock.Service) *Client {
	streams := conn.Transport(settings)
	streams.DisableKeepAlives = true
	return &Client{
		settings: settings, timers: timers,
		streams: &http.Client{Transport: streams},
		control: &http.Client{Transport: conn.Transport(settings)},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.control.CloseIdleConnections() }

// Cancel tells the engine to stop a request.
func (c *Client) Cancel(ctx context.Context, address, request string) error {
	_, err := codec.Exchange(ctx, c.control, http.MethodDelete, base(address)+"/v1/generate/"+url.PathEscape(request), nil, nil)
	return err
}

// Report is what an engine says about its load.
type Report struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Limit   int     `json:"limit"`
	Version int     `json:"version"`
	KVUsed  float64 `json:"kv_used"`
	AgeMS   int64   `json:"age_ms"`
}

// Load asks for the engine's load report.
func (c *Client) Load(ctx context.Context, address string) (Report, error) {
	return codec.Call[Report](ctx, c.control, http.MethodGet, base(address)+"/v1/load", nil, nil)
}

// How often a probe is repeated while its outcome proves nothing.
const probeInterval = 20 * time.Millisecond

// Dead reports whether the engine's process has died: its port is closed, or a
// new connection is reset before the answer. It uses new connections, since a
// pooled one fails without proof, and asks again until the engine answers, its
// death shows, or ctx ends. A reset counts because an engine that restarts fast
// may answer again before its port is seen closed.
func (c *Client) Dead(ctx context.Context, address string) bool {
	for {
		_, err := codec.Exchange(ctx, c.streams, http.MethodGet, base(address)+"/v1/load", nil, nil)
		if err == nil || codec.StatusOf(err) != 0 {
			return false
		}
		if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
			return true
		}
		if c.timers.Sleep(ctx, probeInterval) != nil {
			return false
		}
	}
}

// CacheEvent says that a prompt prefix entered or left the engine's cache.
type CacheEvent struct {
	N      uint64 `json:"n"`
	Prefix string `json:"prefix"`
	Stored bool   `json:"stored"`
}

type cacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// CacheEvents returns the events after number n. They arrive late and with gaps.
func (c *Client) CacheEvents(ctx context.Context, address string, n uint64) ([]CacheEvent, error) {
	answer, err := codec.Call[cacheEvents](ctx, c.control, http.MethodGet,
		base(address)+"/v1/cache/events?after="+strconv.FormatUint(n, 10), nil, nil)
	return answer.Events, err
}

// The actions of a version order.
const (
	ActionLoad   = "load"
	ActionSwitch = "switch"
)

// Order is a version order. Fence and Holder prove the lease.
type Order struct {
	Action  string `json:"action"`
	Trainer string `json:"trainer"`
	Version int    `json:"version"`
	Fence   uint64 `json:"fence"`
	Holder  string `json:"holder"`
}

// Order sends a version order over the holder's guarded client. An engine
// that checks fencing tokens answers an old one with status 409, which
// codec.StatusOf finds in the error.
func (c *Client) Order(ctx context.Context, guarded *http.Client, address string, order Order) error {
	_, err := codec.Call[struct{}](ctx, guarded, http.MethodPost, base(address)+"/v1/versions", nil, order)
	return err
}

// Versions is the state of an engine's weights.
type Versions struct {
	Active  int   `json:"active"`
	Loaded  []int `json:"loaded"`
	Loading int   `json:"loading"`
}

// Versions asks for the state of the engine's weights.
func (c *Client) Versions(ctx context.Context, address string) (Versions, error) {
	return codec.Call[Versions](ctx, c.control, http.MethodGet, base(address)+"/v1/versions", nil, nil)
}

func base(address string) string { return "http://" + address }

func (c *Client) silence() time.Duration { return setting.Milliseconds(c.settings.SilenceMS) }
