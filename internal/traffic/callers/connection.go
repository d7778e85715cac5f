package callers

import (
	"net"
	"sync"
	"time"
)

// connection knows whether bytes of a request have been read from it.
type connection struct {
	net.Conn

	// The fields below belong to the server's lock.
	served    bool      // a request was answered on it
	idleSince time.Time // when it came, or when its latest request was answered

	mu             sync.Mutex
	requestStarted bool // bytes were read since the latest answer
	closing        bool
}

// Read reads from the caller. Bytes that arrived before the connection was
// ended are a request that must be served.
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

// requestDone notes that the latest request was answered.
func (c *connection) requestDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestStarted = false
}

// unused reports whether no byte of a request has been read.
func (c *connection) unused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.requestStarted
}

// closeIfUnused wakes the pending read with an error, so that the goroutine that reads
// closes the connection itself, between two requests. It reports whether the
// connection was unused.
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

// evictBefore reports whether the connection is ended sooner than another one.
func (c *connection) evictBefore(other *connection) bool {
	if c.served != other.served {
		return c.served
	}
	return c.idleSince.Before(other.idleSince)
}

// CloseWrite closes the sending side, which lets net/http end a connection
// without a reset.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
