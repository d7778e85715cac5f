// Package callers holds the connections of callers. It bounds their number,
// and ends those that no request uses without cutting a request that arrives
// at the same moment, as http.Server's own shutdown may.
//
// # Usage
//
//	s := callers.New(handler, callers.Options{Most: 2000, Idle: 90 * time.Second}, timers, log)
//	go s.Serve(listener) // returns http.ErrServerClosed after Close
//	err := s.Drain(ctx)  // at a planned stop; the handler asks callers to leave
//	s.Close()
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
	// readHeaderTimeout bounds the time in which a request's head must arrive.
	readHeaderTimeout = 10 * time.Second
	// maxHeaderBytes bounds the head of a request in bytes.
	maxHeaderBytes = 64 << 10
	// drainInterval is how often a drain looks for unused connections.
	drainInterval = 50 * time.Millisecond
	// quietPeriod is how long no connection must have come before a drain closes
	// the listener, which resets those that wait to be accepted. lastCall bounds
	// this phase, so that a caller that ignores the stop does not prolong it.
	quietPeriod     = 300 * time.Millisecond
	maxAcceptPeriod = 600 * time.Millisecond
	// firstRequestTimeout is how long a drain waits for the first request of a new
	// connection.
	firstRequestTimeout = time.Second
	// warnInterval is the least time between two log lines about too many
	// connections.
	warnInterval = 5 * time.Second
)

// Options configure a server. Most bounds the open connections; 0 means no
// bound. Idle is how long a connection may stay unused.
type Options struct {
	Most int
	Idle time.Duration
}

// Server serves callers' connections.
type Server struct {
	options Options
	timers  *clock.Service
	log     *logrus.Entry
	http    *http.Server

	mu             sync.Mutex
	open           map[*connection]struct{}
	lastAccept     time.Time // when a connection came last
	listener       net.Listener
	listenerClosed bool      // the listener is closed
	lastWarning    time.Time // when too many connections were logged last
}

// New returns a server of the handler.
func New(handler http.Handler, options Options, timers *clock.Service, log *logrus.Entry) *Server {
	s := &Server{options: options, timers: timers, log: log, open: map[*connection]struct{}{}}
	s.http = &http.Server{
		Handler: handler, IdleTimeout: options.Idle, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.connStateChanged,
	}
	return s
}

// Serve accepts connections until Close.
func (s *Server) Serve(l net.Listener) error {
	if !s.setListener(l) {
		_ = l.Close() // the drain began before
		return http.ErrServerClosed
	}
	return s.http.Serve(&listener{Listener: l, server: s})
}

func (s *Server) setListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	return !s.listenerClosed
}

// Close closes the listeners and all connections.
func (s *Server) Close() error { return s.http.Close() }

// Drain ends connections once no request uses them. It accepts further ones
// until none comes any more, and then closes the listener. It returns ctx's
// error when requests still run at its end.
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

// closeUnused ends the connections without a request, and closes the listener
// when it is time. It returns the number of open connections, the listener
// included.
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

// admit adds a connection, at the limit in place of the one that has been
// unused the longest. It returns false when all are in use.
func (s *Server) admit(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timers.Now()
	s.lastAccept, c.idleSince = now, now
	if s.options.Most > 0 && len(s.open) >= s.options.Most && !s.evictUnused(now) {
		return false
	}
	s.open[c] = struct{}{}
	return true
}

// evictUnused ends the connection that has been unused the longest. Connections
// that have sent nothing yet go after those that were served.
func (s *Server) evictUnused(now time.Time) bool {
	if now.Sub(s.lastWarning) > warnInterval {
		s.lastWarning = now
		s.log.WithField("open", len(s.open)).Warn("too many connections of callers; unused ones are closed")
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

// connStateChanged follows the states of the connections.
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
		s.open[c] = struct{}{} // a request may have come just when the connection was ended
	case http.StateClosed, http.StateHijacked:
		delete(s.open, c)
	case http.StateNew, http.StateActive:
	}
}

type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection for which there is room. Others are
// closed before anything was read, which tells their callers that nothing ran.
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

// acceptError tells the end of a drain apart from a failure.
func (s *Server) acceptError(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listenerClosed {
		return http.ErrServerClosed
	}
	return err
}
