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
	served bool      // a request was answered on it
	since  time.Time // when it came, or when its latest request was answered

	mu     sync.Mutex
	fed    bool // bytes were read since the latest answer
	ending bool
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
	c.fed = true
	if c.ending {
		c.ending = false
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
	return n, err
}

// rest notes that the latest request was answered.
func (c *connection) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fed = false
}

// unused reports whether no byte of a request has been read.
func (c *connection) unused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.fed
}

// end wakes the pending read with an error, so that the goroutine that reads
// closes the connection itself, between two requests. It reports whether the
// connection was unused.
func (c *connection) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fed {
		return false
	}
	c.ending = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	return true
}

// before reports whether the connection is ended sooner than another one.
func (c *connection) before(other *connection) bool {
	if c.served != other.served {
		return c.served
	}
	return c.since.Before(other.since)
}

// CloseWrite closes the sending side, which lets net/http end a connection
// without a reset.
func (c *connection) CloseWrite() error {
	if half, can := c.Conn.(interface{ CloseWrite() error }); can {
		return half.CloseWrite()
	}
	return nil
}
