// Package conn makes the TCP connections to endpoints: dialers with keepalive
// and TCP_USER_TIMEOUT, connections that count what was written to them, and
// the pooled transport.
//
// # Usage
//
//	client := &http.Client{Transport: conn.Transport(settings)}
//	counted, err := conn.Dial(ctx, settings, "10.0.0.7:8000")
//	if counted.Written() == 0 { /* the peer cannot have received anything */ }
package conn

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wigeonpin/wigeonpin/internal/base/setting"
)

const (
	// An endpoint is at most a few milliseconds away; a second covers one lost
	// SYN, whose first retransmission the kernel sends after one second.
	dialTimeout      = 1500 * time.Millisecond
	keepAlivePeriod  = 2 * time.Second
	keepAliveProbes  = 3
	idleConnsPerHost = 32
)

// Dialer returns a dialer whose connections fail once written data or
// keepalive probes stay unacknowledged for the silence timeout.
func Dialer(settings setting.Settings) *net.Dialer {
	userTimeout := int(settings.SilenceMS)
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeout)
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}

// Transport returns a pooled transport. It never compresses, so that the
// length of an answer can be checked.
func Transport(settings setting.Settings) *http.Transport {
	return &http.Transport{
		DialContext:         Dialer(settings).DialContext,
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     setting.Milliseconds(settings.IdleMS),
		DisableCompression:  true,
		// A faulty endpoint must not fill the memory with its head.
		MaxResponseHeaderBytes: HeadLimit,
	}
}

// Counted is a connection that counts the bytes handed to the kernel.
type Counted struct {
	net.Conn
	written atomic.Int64
}

// Dial opens a new connection.
func Dial(ctx context.Context, settings setting.Settings, address string) (*Counted, error) {
	c, err := Dialer(settings).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Counted{Conn: c}, nil
}

// Write writes and counts.
func (c *Counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// Written returns the number of bytes handed to the kernel so far.
func (c *Counted) Written() int64 { return c.written.Load() }
