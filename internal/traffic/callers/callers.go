// Package callers provides an HTTP server that limits its number of connections
// and closes idle ones. Unlike http.Server.Shutdown, it never drops a request
// that arrives on a connection while that connection is being closed. Handlers can
// bound how long an answer is sent again to a caller that does not acknowledge it.
//
// # Usage
//
//	s := callers.New(handler, callers.Options{MaxConnections: 2000, IdleTimeout: 90 * time.Second}, timers, log)
//	go s.Serve(listener) // returns http.ErrServerClosed after Close
//	err := s.Drain(ctx)  // at a planned stop; the handler sends "Connection: close"
//	s.Close()
//	callers.LimitDelivery(request.Context(), time.Second) // in the handler
package callers

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
)

const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	// drainInterval is the time between two checks for unused connections.
	drainInterval = 50 * time.Millisecond
	// A drain closes the listener once no connection has arrived for
	// quietPeriod, because closing it resets connections that wait to be
	// accepted. It does so after maxAcceptPeriod at the latest, so that callers
	// that keep opening connections do not prolong the drain.
	quietPeriod     = 300 * time.Millisecond
	maxAcceptPeriod = 600 * time.Millisecond
	// firstRequestTimeout is how long a drain waits for the first request on a
	// new connection.
	firstRequestTimeout = time.Second
	// warnInterval is the minimum time between two warnings about the
	// connection limit.
	warnInterval = 5 * time.Second
)

// Options configure a server.
type Options struct {
	MaxConnections int           // maximum number of open connections; 0 means no limit
	IdleTimeout    time.Duration // how long a connection may stay idle between requests
}

// Server is an HTTP server that tracks its connections. It is safe for
// concurrent use.
type Server struct {
	options Options
	timers  *clock.Service
	log     *logrus.Entry
	http    *http.Server

	mu             sync.Mutex
	open           map[*connection]struct{}
	lastAccept     time.Time
	listener       net.Listener
	listenerClosed bool      // also set when a drain began before Serve
	lastWarning    time.Time // time of the latest warning about the connection limit
}

// New returns a server that passes requests to handler.
func New(handler http.Handler, options Options, timers *clock.Service, log *logrus.Entry) *Server {
	s := &Server{options: options, timers: timers, log: log, open: map[*connection]struct{}{}}
	s.http = &http.Server{
		Handler: handler, IdleTimeout: options.IdleTimeout, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.connStateChanged,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		},
	}
	return s
}

// Serve accepts connections on l until Close is called or a drain closes l, and
// then returns http.ErrServerClosed. It returns any other error of l as it is.
func (s *Server) Serve(l net.Listener) error {
	if !s.setListener(l) {
		_ = l.Close() // a drain already refuses new connections
		return http.ErrServerClosed
	}
	return s.http.Serve(&listener{Listener: l, server: s})
}

// setListener stores the listener that a drain closes. It returns false when a
// drain is already past that point.
func (s *Server) setListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	return !s.listenerClosed
}

// Close closes the listener and all connections at once, also those with
// requests in progress.
func (s *Server) Close() error { return s.http.Close() }

// Drain closes each connection once no request uses it. It keeps accepting new
// connections until none has arrived for a short time, and then closes the
// listener. It returns ctx's error if connections are still open when ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	ticks := s.timers.Subscribe(drainInterval)
	defer ticks.Stop()
	start := s.timers.Now()
	for {
		if s.closeUnused(start) == 0 {
			return nil
		}
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// closeUnused closes the connections without a request in progress, and the
// listener once it is due. It returns the number of open connections plus one
// if the listener is still open.
func (s *Server) closeUnused(start time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timers.Now()
	if !s.listenerClosed && (now.Sub(s.lastAccept) > quietPeriod || now.Sub(start) > maxAcceptPeriod) {
		s.listenerClosed = true
		if s.listener != nil {
			_ = s.listener.Close() // fails only if it is closed
		}
	}
	for c := range s.open {
		if c.served || now.Sub(c.idleSince) > firstRequestTimeout {
			c.closeIfUnused()
		}
	}
	if !s.listenerClosed {
		return len(s.open) + 1
	}
	return len(s.open)
}

// admit adds a connection. At the connection limit it evicts the one that has
// been unused the longest, and returns false if all are in use.
func (s *Server) admit(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timers.Now()
	s.lastAccept, c.idleSince = now, now
	if s.options.MaxConnections > 0 && len(s.open) >= s.options.MaxConnections && !s.evictUnused(now) {
		return false
	}
	s.open[c] = struct{}{}
	return true
}

// evictUnused closes the connection that has been unused the longest. It
// prefers connections that have been served to those that have not sent a
// request yet. It returns false if all connections are in use.
func (s *Server) evictUnused(now time.Time) bool {
	if now.Sub(s.lastWarning) > warnInterval {
		s.lastWarning = now
		s.log.WithField("open", len(s.open)).Warn("limit of caller connections reached; closing unused connections")
	}
	var oldest *connection
	for c := range s.open {
		if c.unused() && (oldest == nil || c.evictBefore(oldest)) {
			oldest = c
		}
	}
	if oldest == nil || !oldest.closeIfUnused() {
		return false
	}
	delete(s.open, oldest)
	return true
}

// connStateChanged is the server's http.Server.ConnState callback.
func (s *Server) connStateChanged(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*connection)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.requestDone()
		c.served, c.idleSince = true, s.timers.Now()
		// An evicted connection stays open if a request arrived on it before
		// the eviction took effect.
		s.open[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.open, c)
	case http.StateNew, http.StateActive:
	}
}

// listener applies the connection limit of its server.
type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection that fits within the connection limit. It
// closes the others before reading from them, so that their callers know that
// no request ran.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, l.server.acceptError(err)
		}
		c := &connection{Conn: raw}
		if l.server.admit(c) {
			return c, nil
		}
		_ = raw.Close()
	}
}

// acceptError returns http.ErrServerClosed if a drain closed the listener, and
// err otherwise.
func (s *Server) acceptError(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listenerClosed {
		return http.ErrServerClosed
	}
	return err
}
