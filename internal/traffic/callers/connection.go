package callers

import (
	"net"
	"sync"
	"time"
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
