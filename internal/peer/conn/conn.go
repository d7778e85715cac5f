// Package conn makes TCP connections to endpoints and to other processes of
// the system: dialers with keepalive and TCP_USER_TIMEOUT, connections that
// count the written bytes, readers with a limit, and HTTP transports that bound
// the size of responses.
//
// # Usage
//
//	client := &http.Client{Transport: conn.CheckResponses(conn.Transport(settings))}
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
	// The round trip to an endpoint takes at most a few milliseconds. The timeout
	// allows for one lost SYN, which the kernel retransmits after one second.
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
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeout)
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
}

// Transport returns a transport with a connection pool. Compression is disabled
// so that the length of a response can be checked.
func Transport(settings setting.Settings) *http.Transport {
	return &http.Transport{
		DialContext:         Dialer(settings).DialContext,
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     setting.Milliseconds(settings.IdleMS),
		DisableCompression:  true,
		// Without a limit a faulty endpoint could exhaust the memory with headers.
		MaxResponseHeaderBytes: HeaderLimit,
	}
}

// CountingConn is a connection that counts the bytes handed to the kernel.
type CountingConn struct {
	net.Conn
	written atomic.Int64
}

// Dial opens a connection with the options of Dialer.
func Dial(ctx context.Context, settings setting.Settings, address string) (*CountingConn, error) {
	c, err := Dialer(settings).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &CountingConn{Conn: c}, nil
}

// Write writes p and counts the bytes that the kernel accepted, also when the
// write fails.
func (c *CountingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// Written returns the number of bytes handed to the kernel so far.
func (c *CountingConn) Written() int64 { return c.written.Load() }
