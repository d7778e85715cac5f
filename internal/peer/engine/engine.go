// Package engine is the client of model engines.
//
// # Usage
//
//	client := engine.New(settings, timers)
//	done, err := client.Generate(ctx, endpoint.Address, engine.Request{...}, func(c engine.Chunk) error {
//		return deliver(c.Text)
//	})
//	report, err := client.LoadReport(ctx, endpoint.Address)
//	err = client.SendOrder(ctx, endpoint.Address, engine.VersionOrder{Action: engine.ActionLoad, ...})
//
// When a stream ends early, Generate returns one of the errors of this package,
// so that the caller can resume the generation with the text received so far.
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

// Client calls model engines, each by its address.
type Client struct {
	settings setting.Settings
	timers   *clock.Service
	streams  *http.Client
	control  *http.Client
}

// New returns a client. Each stream uses a new connection, for two reasons:
// net/http reuses a connection as soon as the body has been read to its end,
// before the client has checked that all its lines belong to the request; and a
// pooled connection may be dead, which is detected only after the silence
// timeout.
func New(settings setting.Settings, timers *clock.Service) *Client {
	streams := conn.Transport(settings)
	streams.DisableKeepAlives = true
	return &Client{
		settings: settings, timers: timers,
		// A stream has a last line of its own, so that its end needs no other mark.
		streams: &http.Client{Transport: conn.CheckStatus(streams)},
		control: &http.Client{Transport: conn.CheckResponses(conn.Transport(settings))},
	}
}

// Close closes the idle connections of the pool for control calls.
func (c *Client) Close() { c.control.CloseIdleConnections() }

// Cancel tells the engine to stop a request.
func (c *Client) Cancel(ctx context.Context, address, request string) error {
	_, err := codec.Exchange(ctx, c.control, http.MethodDelete, baseURL(address)+"/v1/generate/"+url.PathEscape(request), nil, nil)
	return err
}

// LoadReport is an engine's load report.
type LoadReport struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Limit   int     `json:"limit"`
	Version int     `json:"version"`
	KVUsed  float64 `json:"kv_used"`
	AgeMS   int64   `json:"age_ms"`
}

// LoadReport fetches the engine's load report.
func (c *Client) LoadReport(ctx context.Context, address string) (LoadReport, error) {
	return codec.Call[LoadReport](ctx, c.control, http.MethodGet, baseURL(address)+"/v1/load", nil, nil)
}

// probeInterval is the time between two probes of Dead.
const probeInterval = 20 * time.Millisecond

// Dead reports whether the engine's process has died: its port is closed, or a
// new connection is reset before the response. It repeats the probe until the
// engine responds, is found dead, or ctx ends. It uses new connections, since the
// failure of a pooled one proves nothing. A reset counts as proof because an
// engine that restarts quickly may listen again before a probe finds its port
// closed.
func (c *Client) Dead(ctx context.Context, address string) bool {
	for {
		_, err := codec.Exchange(ctx, c.streams, http.MethodGet, baseURL(address)+"/v1/load", nil, nil)
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

// CacheEvent reports that a prompt prefix was stored in the engine's cache or
// evicted from it.
type CacheEvent struct {
	Number uint64 `json:"n"`
	Prefix string `json:"prefix"`
	Stored bool   `json:"stored"`
}

type cacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// CacheEvents returns the events with a number above n. Events may be late, and
// some may be missing.
func (c *Client) CacheEvents(ctx context.Context, address string, n uint64) ([]CacheEvent, error) {
	response, err := codec.Call[cacheEvents](ctx, c.control, http.MethodGet,
		baseURL(address)+"/v1/cache/events?after="+strconv.FormatUint(n, 10), nil, nil)
	return response.Events, err
}

// The actions of a version order: load the weights of a version, or switch to a
// loaded version.
const (
	ActionLoad   = "load"
	ActionSwitch = "switch"
)

// VersionOrder tells an engine to load or activate a version of the weights.
// Fence and Holder are the fencing token and the holder of the lease.
type VersionOrder struct {
	Action  string `json:"action"`
	Trainer string `json:"trainer"`
	Version int    `json:"version"`
	Fence   uint64 `json:"fence"`
	Holder  string `json:"holder"`
}

// SendOrder sends a version order. The guarded client is that of the lease,
// whose connections refuse to write once the lease is lost. An engine that
// checks fencing tokens rejects an old one with status 409, which
// codec.StatusOf returns for the error.
func (c *Client) SendOrder(ctx context.Context, guarded *http.Client, address string, order VersionOrder) error {
	_, err := codec.Call[struct{}](ctx, guarded, http.MethodPost, baseURL(address)+"/v1/versions", nil, order)
	return err
}

// Versions lists the weight versions of an engine: the active one, the loaded
// ones, and the one being loaded.
type Versions struct {
	Active  int   `json:"active"`
	Loaded  []int `json:"loaded"`
	Loading int   `json:"loading"`
}

// Versions fetches the weight versions of the engine.
func (c *Client) Versions(ctx context.Context, address string) (Versions, error) {
	return codec.Call[Versions](ctx, c.control, http.MethodGet, baseURL(address)+"/v1/versions", nil, nil)
}

func baseURL(address string) string { return "http://" + address }

func (c *Client) silenceTimeout() time.Duration { return setting.Milliseconds(c.settings.SilenceMS) }
