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
	c := &conn{Conn: raw, host: l.host, gone: make(chan struct{})}
	l.host.mu.Lock()
	l.host.conns[c] = struct{}{}
	l.host.mu.Unlock()
	return c, nil
}

type conn struct {
	net.Conn
	host   *Host
	silent atomic.Bool
	once   sync.Once
	gone   chan struct{}
}

// wait blocks while the host is frozen or the connection is silent.
func (c *conn) wait() error {
	for {
		if c.silent.Load() {
			<-c.gone
			return errDown
		}
		gate := c.host.gate()
		if gate == nil {
			return nil
		}
		select {
		case <-gate:
		case <-c.gone:
			return errDown
		}
	}
}

// Read reads nothing while the host is frozen or the connection silent.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if failed := c.wait(); failed != nil {
		return 0, failed
	}
	return n, err
}

// Write drops what is written to a silent connection, as a network that loses
// all packets would.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	if err := c.wait(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close closes the connection, but leaves a silent one open.
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
		close(c.gone)
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
