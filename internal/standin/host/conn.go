package host

import (
	"net"
	"sync"
	"sync/atomic"
)

type listener struct {
	net.Listener
	host *Host
}

// Accept wraps each connection so that the host can make it fail.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, host: l.host, closed: make(chan struct{})}
	l.host.mu.Lock()
	l.host.conns[c] = struct{}{}
	l.host.mu.Unlock()
	return c, nil
}

// conn is a connection whose traffic the host can stop.
type conn struct {
	net.Conn
	host   *Host
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

// wait blocks while the host is frozen or the connection is silent. It returns
// an error if the connection was closed meanwhile.
func (c *conn) wait() error {
	for {
		if c.silent.Load() {
			<-c.closed
			return errReset
		}
		gate := c.host.gate()
		if gate == nil {
			return nil
		}
		select {
		case <-gate:
		case <-c.closed:
			return errReset
		}
	}
}

// Read returns no data while the host is frozen or the connection is silent.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if failed := c.wait(); failed != nil {
		return 0, failed
	}
	return n, err
}

// Write discards the data if the connection is silent, like a network that loses
// all packets. It blocks while the host is frozen.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	if err := c.wait(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close closes the connection unless it is silent: a silent connection stays
// open.
func (c *conn) Close() error {
	if c.silent.Load() {
		return nil
	}
	return c.close(false)
}

func (c *conn) reset() { _ = c.close(true) }

func (c *conn) close(abort bool) error {
	var err error
	c.once.Do(func() {
		close(c.closed)
		c.host.mu.Lock()
		delete(c.host.conns, c)
		c.host.mu.Unlock()
		if tcp, ok := c.Conn.(*net.TCPConn); ok && abort {
			_ = tcp.SetLinger(0)
		}
		err = c.Conn.Close()
	})
	return err
}
