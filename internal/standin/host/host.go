// Package host runs a stand-in as an HTTP server that injects faults on request:
// it can go down, freeze, and silence the connections that are open.
//
// # Usage
//
//	h := host.New(host.Options{Name: "engine", Listen: "127.0.0.1:7101", Handler: e.Handler()})
//	if err := h.Start(); err != nil {
//		return err
//	}
//	defer h.Close()
//	h.Down(2 * time.Second) // connections are reset, new ones refused
//
// Faults are controlled by switches, each a POST /fake/NAME. The host serves the
// switches crash, up, freeze and silence; other names go to the handler. With a
// control address, the switches stay reachable there while the main address is
// down or frozen.
package host

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Options configure a host.
type Options struct {
	Name    string
	Listen  string
	Control string
	Handler http.Handler
	// OnDown is called when the host goes down, before it may come up again.
	OnDown func()
	// OnUp is called when the host has come up again.
	OnUp func()
	// HandlerCrash lets the handler serve the switch crash instead of the host.
	HandlerCrash bool
	// Exit is called when the switch crash has exit set; the default is os.Exit.
	Exit func(code int)
}

// Host is the server of one stand-in.
type Host struct {
	options Options
	server  *http.Server
	control *http.Server
	address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	frozen   chan struct{} // nil, or closed when the host is thawed
	down     bool
	closed   bool
	epoch    int // number of calls of Down
}

// New returns a host that does not listen yet.
func New(options Options) *Host {
	if options.Exit == nil {
		options.Exit = os.Exit
	}
	h := &Host{options: options, address: options.Listen, conns: map[*conn]struct{}{}}
	handler := h.handler()
	h.server = &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ConnContext: h.withConn}
	if options.Control != "" {
		h.control = &http.Server{Addr: options.Control, Handler: handler, ReadHeaderTimeout: time.Minute}
	}
	return h
}

type connKey struct{}

// withConn stores the connection in the context of its requests.
func (h *Host) withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Start listens and serves until Close.
func (h *Host) Start() error {
	if err := h.listen(); err != nil {
		return err
	}
	if h.control == nil {
		return nil
	}
	l, err := net.Listen("tcp", h.control.Addr)
	if err != nil {
		h.Close()
		return eris.Wrapf(err, "%s: listen on control address", h.options.Name)
	}
	h.control.Addr = l.Addr().String()
	go func() { _ = h.control.Serve(l) }()
	return nil
}

// Run starts the host, prints its address and serves until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	if err := h.Start(); err != nil {
		return err
	}
	fmt.Printf("standin %s listening on %s\n", h.options.Name, h.Address())
	<-ctx.Done()
	h.Close()
	return nil
}

// Address returns the address that the host listens on.
func (h *Host) Address() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.address
}

// Control returns the address that serves the switches. It is known once the
// host has started.
func (h *Host) Control() string {
	if h.control == nil {
		return h.Address()
	}
	return h.control.Addr
}

func (h *Host) listen() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", h.address)
	if err != nil {
		return eris.Wrapf(err, "%s: listen", h.options.Name)
	}
	// Keep a port chosen by the system for when the host comes up again.
	h.address = l.Addr().String()
	h.listener = l
	go func() { _ = h.server.Serve(&listener{Listener: l, host: h}) }()
	return nil
}

// Close stops the host for good.
func (h *Host) Close() {
	h.mu.Lock()
	h.closed = true
	h.thaw()
	h.mu.Unlock()
	h.drop()
	_ = h.server.Close()
	if h.control != nil {
		_ = h.control.Close()
	}
}

// drop closes the listener and resets all connections.
func (h *Host) drop() {
	h.mu.Lock()
	l := h.listener
	h.listener = nil
	conns := make([]*conn, 0, len(h.conns))
	for c := range h.conns {
		conns = append(conns, c)
	}
	h.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
	for _, c := range conns {
		c.reset()
	}
}

// Down resets all connections and refuses new ones until Up is called or, when
// d is positive, d has passed.
func (h *Host) Down(d time.Duration) {
	h.mu.Lock()
	h.down = true
	h.epoch++
	epoch := h.epoch
	h.mu.Unlock()
	h.drop()
	if h.options.OnDown != nil {
		h.options.OnDown()
	}
	if d > 0 {
		time.AfterFunc(d, func() { h.endOutage(epoch) })
	}
}

// endOutage brings the host up unless the outage has ended or been followed by
// another one since.
func (h *Host) endOutage(epoch int) {
	h.mu.Lock()
	current := h.epoch == epoch && h.down
	h.mu.Unlock()
	if current {
		_ = h.Up()
	}
}

// Up listens again after Down.
func (h *Host) Up() error {
	h.mu.Lock()
	wasDown := h.down
	h.down = false
	h.mu.Unlock()
	if err := h.listen(); err != nil {
		return err
	}
	if wasDown && h.options.OnUp != nil {
		h.options.OnUp()
	}
	return nil
}

// Freeze stops all traffic, of open and of new connections, until Thaw is
// called or, when d is positive, d has passed.
func (h *Host) Freeze(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.frozen != nil {
		return
	}
	gate := make(chan struct{})
	h.frozen = gate
	if d > 0 {
		time.AfterFunc(d, h.Thaw)
	}
}

// Thaw ends Freeze.
func (h *Host) Thaw() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.thaw()
}

// thaw ends Freeze; the caller holds the lock.
func (h *Host) thaw() {
	if h.frozen != nil {
		close(h.frozen)
		h.frozen = nil
	}
}

// gate returns a channel that is closed when the host is thawed, or nil if it
// is not frozen.
func (h *Host) gate() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.frozen
}

// Silence permanently silences all open connections except one: they stay open
// but carry no more data. New connections work. It returns the number of
// connections that it silenced.
func (h *Host) Silence(except net.Conn) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for c := range h.conns {
		if net.Conn(c) != except && !c.silent.Swap(true) {
			n++
		}
	}
	return n
}

// ResetConn resets the request's connection without a response. It panics with
// http.ErrAbortHandler and so does not return.
func ResetConn(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.reset()
	}
	panic(http.ErrAbortHandler)
}

type crashBody struct {
	// MS is how long the host is down; 0 means until the switch up is used.
	MS int64 `json:"ms"`
	// Exit ends the process instead.
	Exit bool `json:"exit"`
}

type silenceResponse struct {
	Silenced int `json:"silenced"`
}

func (h *Host) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := strings.CutPrefix(r.URL.Path, "/fake/")
		if !ok || r.Method != http.MethodPost || !h.serveSwitch(w, r, name) {
			h.options.Handler.ServeHTTP(w, r)
		}
	})
}

// serveSwitch serves the switches of the host. It returns false if the switch
// with this name belongs to the handler.
func (h *Host) serveSwitch(w http.ResponseWriter, r *http.Request, name string) bool {
	switch name {
	case "crash":
		if h.options.HandlerCrash {
			return false
		}
		Switch(w, r, crashBody{MS: 1000}, func(b crashBody) (any, error) {
			if b.Exit {
				time.AfterFunc(faultDelay, func() { h.options.Exit(3) })
			} else {
				time.AfterFunc(faultDelay, func() { h.Down(milliseconds(b.MS)) })
			}
			return b, nil
		})
	case "up":
		Switch(w, r, struct{}{}, func(b struct{}) (any, error) { return b, h.Up() })
	case "freeze":
		Switch(w, r, ToggleBody{On: true}, func(b ToggleBody) (any, error) {
			if b.On {
				time.AfterFunc(faultDelay, func() { h.Freeze(milliseconds(b.MS)) })
			} else {
				h.Thaw()
			}
			return b, nil
		})
	case "silence":
		Switch(w, r, struct{}{}, func(struct{}) (any, error) {
			own, _ := r.Context().Value(connKey{}).(net.Conn)
			return silenceResponse{h.Silence(own)}, nil
		})
	default:
		return false
	}
	return true
}

// faultDelay is the time between the request of a fault and its start, so that
// the response to the switch is sent first.
const faultDelay = 20 * time.Millisecond

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

var errReset = errors.New("connection reset by stand-in")
