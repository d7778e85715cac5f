package callers

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connection is a net.Conn that records whether bytes of a request have been
// read from it.
type connection struct {
	net.Conn

	// served and idleSince are guarded by Server.mu.
	served    bool      // at least one request has been answered
	idleSince time.Time // when it was accepted, or when its latest request was answered

	mu             sync.Mutex
	requestStarted bool // bytes have been read since the latest response
	closing        bool // closeIfUnused has interrupted the pending read
	limited        bool // LimitDelivery is in force
}

type connectionKey struct{}

// LimitDelivery bounds how long the answer to the request of ctx may stay
// unacknowledged, once it is written. The kernel then closes the connection and stops
// sending the answer again. The limit ends when the caller sends its next request. It has
// no effect on requests of other servers.
func LimitDelivery(ctx context.Context, limit time.Duration) {
	c, found := ctx.Value(connectionKey{}).(*connection)
	if !found {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limited = true
	c.setUserTimeout(max(limit, time.Millisecond))
}

// setUserTimeout sets TCP_USER_TIMEOUT; 0 restores the system's default.
func (c *connection) setUserTimeout(limit time.Duration) {
	socket, found := c.Conn.(syscall.Conn)
	if !found {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return // the connection is closed
	}
	_ = raw.Control(func(fd uintptr) { // fails only on a closed connection
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds())) // known since Linux 2.6.37
	})
}

// Read reads from the caller. If bytes arrive although closeIfUnused was called,
// they belong to a request that must be served, so Read cancels the closing.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestStarted = true
	if c.limited {
		c.limited = false
		c.setUserTimeout(0)
	}
	if c.closing {
		c.closing = false
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
	return n, err
}

// requestDone records that the latest request has been answered.
func (c *connection) requestDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestStarted = false
}

// unused reports whether no request is in progress.
func (c *connection) unused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.requestStarted
}

// closeIfUnused interrupts the pending read with an error, so that the reading
// goroutine itself closes the connection, between two requests. It returns
// false if a request is in progress.
func (c *connection) closeIfUnused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestStarted {
		return false
	}
	c.closing = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	return true
}

// evictBefore reports whether the connection is to be evicted before other:
// served connections go first, then those that have been idle longer.
func (c *connection) evictBefore(other *connection) bool {
	if c.served != other.served {
		return c.served
	}
	return c.idleSince.Before(other.idleSince)
}

// CloseWrite closes the sending side. net/http uses it to close a connection
// without a reset.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
