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
	// headTime bounds the time in which a request's head must arrive.
	headTime = 10 * time.Second
	// headLimit bounds the head of a request in bytes.
	headLimit = 64 << 10
	// drainPeriod is how often a drain looks for unused connections.
	drainPeriod = 50 * time.Millisecond
	// quietTime is how long no connection must have come before a drain closes
	// the listener, which resets those that wait to be accepted. lastCall bounds
	// this phase, so that a caller that ignores the stop does not prolong it.
	quietTime = 300 * time.Millisecond
	lastCall  = 600 * time.Millisecond
	// firstRequest is how long a drain waits for the first request of a new
	// connection.
	firstRequest = time.Second
	// noticePeriod is the least time between two log lines about too many
	// connections.
	noticePeriod = 5 * time.Second
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

	mu     sync.Mutex
	open   map[*connection]struct{}
	latest time.Time // when a connection came last
	listen net.Listener
	closed bool      // the listener is closed
	noted  time.Time // when too many connections were logged last
}

// New returns a server of the handler.
func New(handler http.Handler, options Options, timers *clock.Service, log *logrus.Entry) *Server {
	s := &Server{options: options, timers: timers, log: log, open: map[*connection]struct{}{}}
	s.http = &http.Server{
		Handler: handler, IdleTimeout: options.Idle, ReadHeaderTimeout: headTime, MaxHeaderBytes: headLimit,
		ConnState: s.changed,
	}
	return s
}

// Serve accepts connections until Close.
func (s *Server) Serve(l net.Listener) error {
	if !s.use(l) {
		_ = l.Close() // the drain began before
		return http.ErrServerClosed
	}
	return s.http.Serve(&listener{Listener: l, server: s})
}

func (s *Server) use(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listen = l
	return !s.closed
}

// Close closes the listeners and all connections.
func (s *Server) Close() error { return s.http.Close() }

// Drain ends connections once no request uses them. It accepts further ones
// until none comes any more, and then closes the listener. It returns ctx's
// error when requests still run at its end.
func (s *Server) Drain(ctx context.Context) error {
	ticks := s.timers.Subscribe(drainPeriod)
	defer ticks.Stop()
	start := s.timers.Now()
	for {
		if s.endUnused(start) == 0 {
			return nil
		}
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// endUnused ends the connections without a request, and closes the listener
// when it is time. It returns the number of open connections, the listener
// included.
func (s *Server) endUnused(start time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timers.Now()
	if !s.closed && (now.Sub(s.latest) > quietTime || now.Sub(start) > lastCall) {
		s.closed = true
		if s.listen != nil {
			_ = s.listen.Close() // fails only if it is closed
		}
	}
	for c := range s.open {
		if c.served || now.Sub(c.since) > firstRequest {
			c.end()
		}
	}
	if !s.closed {
		return len(s.open) + 1
	}
	return len(s.open)
}

// accepted adds a connection, at the limit in place of the one that has been
// unused the longest. It returns false when all are in use.
func (s *Server) accepted(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timers.Now()
	s.latest, c.since = now, now
	if s.options.Most > 0 && len(s.open) >= s.options.Most && !s.makeRoom(now) {
		return false
	}
	s.open[c] = struct{}{}
	return true
}

// makeRoom ends the connection that has been unused the longest. Connections
// that have sent nothing yet go after those that were served.
func (s *Server) makeRoom(now time.Time) bool {
	if now.Sub(s.noted) > noticePeriod {
		s.noted = now
		s.log.WithField("open", len(s.open)).Warn("too many connections of callers; unused ones are closed")
	}
	var oldest *connection
	for c := range s.open {
		if c.unused() && (oldest == nil || c.before(oldest)) {
			oldest = c
		}
	}
	if oldest == nil || !oldest.end() {
		return false
	}
	delete(s.open, oldest)
	return true
}

// changed follows the states of the connections.
func (s *Server) changed(raw net.Conn, state http.ConnState) {
	c, ours := raw.(*connection)
	if !ours {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.rest()
		c.served, c.since = true, s.timers.Now()
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
		if l.server.accepted(c) {
			return c, nil
		}
		_ = raw.Close()
	}
}

// acceptError tells the end of a drain apart from a failure.
func (s *Server) acceptError(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return http.ErrServerClosed
	}
	return err
}
