// Package host runs a stand-in as a server that fails on request: it can go
// down, freeze, and silence the connections that are open.
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
// The switches crash, up, freeze and silence are served under /fake/ next to those
// of the handler. With a control address, /fake/ is reachable there while the
// main address is down or frozen.
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
	// OwnCrash leaves the switch crash to the handler.
	OwnCrash bool
	// Exit is called by a crash with exit; the default is os.Exit.
	Exit func(code int)
}

// Host serves one stand-in.
type Host struct {
	options Options
	server  *http.Server
	control *http.Server
	address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	frozen   chan struct{}
	down     bool
	closed   bool
	epoch    int
}

// New returns a host that does not listen yet.
func New(options Options) *Host {
	if options.Exit == nil {
		options.Exit = os.Exit
	}
	h := &Host{options: options, address: options.Listen, conns: map[*conn]struct{}{}}
	handler := h.handler()
	h.server = &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ConnContext: h.remember}
	if options.Control != "" {
		h.control = &http.Server{Addr: options.Control, Handler: handler, ReadHeaderTimeout: time.Minute}
	}
	return h
}

type connKey struct{}

func (h *Host) remember(ctx context.Context, c net.Conn) context.Context {
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

// Control returns the address of the switches, once the host has started.
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
	// A port chosen by the system is kept when the host comes up again.
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
		time.AfterFunc(d, func() { h.upIf(epoch) })
	}
}

func (h *Host) upIf(epoch int) {
	h.mu.Lock()
	same := h.epoch == epoch && h.down
	h.mu.Unlock()
	if same {
		_ = h.Up()
	}
}

// Up listens again after Down.
func (h *Host) Up() error {
	h.mu.Lock()
	was := h.down
	h.down = false
	h.mu.Unlock()
	if err := h.listen(); err != nil {
		return err
	}
	if was && h.options.OnUp != nil {
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

func (h *Host) thaw() {
	if h.frozen != nil {
		close(h.frozen)
		h.frozen = nil
	}
}

func (h *Host) gate() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.frozen
}

// Silence makes all open connections but one silent for good: they stay open
// and carry nothing more. New connections work.
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

// Reset closes the request's connection without an answer.
func Reset(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.reset()
	}
	panic(http.ErrAbortHandler)
}

type crashBody struct {
	// MS is how long the host is down; with 0 it is down until the switch up.
	MS int64 `json:"ms"`
	// Exit ends the process.
	Exit bool `json:"exit"`
}

type silenceAnswer struct {
	Silenced int `json:"silenced"`
}

func (h *Host) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := strings.CutPrefix(r.URL.Path, "/fake/")
		if !ok || r.Method != http.MethodPost || !h.fake(w, r, name) {
			h.options.Handler.ServeHTTP(w, r)
		}
	})
}

// fake serves the switches that every host has.
func (h *Host) fake(w http.ResponseWriter, r *http.Request, name string) bool {
	switch name {
	case "crash":
		if h.options.OwnCrash {
			return false
		}
		Switch(w, r, crashBody{MS: 1000}, func(b crashBody) (any, error) {
			if b.Exit {
				time.AfterFunc(exitDelay, func() { h.options.Exit(3) })
			} else {
				time.AfterFunc(exitDelay, func() { h.Down(milliseconds(b.MS)) })
			}
			return b, nil
		})
	case "up":
		Switch(w, r, struct{}{}, func(b struct{}) (any, error) { return b, h.Up() })
	case "freeze":
		Switch(w, r, OnBody{On: true}, func(b OnBody) (any, error) {
			if b.On {
				time.AfterFunc(exitDelay, func() { h.Freeze(milliseconds(b.MS)) })
			} else {
				h.Thaw()
			}
			return b, nil
		})
	case "silence":
		Switch(w, r, struct{}{}, func(struct{}) (any, error) {
			own, _ := r.Context().Value(connKey{}).(net.Conn)
			return silenceAnswer{h.Silence(own)}, nil
		})
	default:
		return false
	}
	return true
}

// exitDelay lets the answer to a switch leave before the failure begins.
const exitDelay = 20 * time.Millisecond

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

var errDown = errors.New("connection reset by stand-in")
