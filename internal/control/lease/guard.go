package lease

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/peer/conn"
)

const answerTimeout = 10 * time.Second

// newClient returns a client whose connections belong to the lease. Each
// request has a connection of its own: a request can then not follow another
// one's bytes into a connection whose guard was set up for an earlier token.
func (l *Lease) newClient() *http.Client {
	transport := &http.Transport{
		DialContext: l.dial, DisableKeepAlives: true, DisableCompression: true,
		ResponseHeaderTimeout: answerTimeout, MaxResponseHeaderBytes: conn.HeadLimit,
	}
	return &http.Client{Transport: transport, Timeout: 2 * answerTimeout}
}

func (l *Lease) dial(ctx context.Context, network, address string) (net.Conn, error) {
	fence, ok := l.Held()
	if !ok {
		return nil, l.notHeldError().WithRun(code.NotRun)
	}
	dialer := &net.Dialer{Timeout: l.manager.drain, Control: l.limitDelivery}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: conn, lease: l, fence: fence}, nil
}

// limitDelivery makes the kernel give up unacknowledged data after the drain
// bound.
func (l *Lease) limitDelivery(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(l.manager.drain.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

func (l *Lease) notHeldError() *code.Error {
	return code.New(code.LeaseLost, "lease %s is not held", l.name)
}

// guardedConn refuses to write once the lease with its token has ended.
type guardedConn struct {
	net.Conn
	lease *Lease
	fence uint64
}

// Write checks the lease as its last step before the system call, and bounds
// the call by the end of the term.
func (g *guardedConn) Write(p []byte) (int, error) {
	h := g.lease.grant.Load()
	if h.fence != g.fence {
		return 0, g.abort()
	}
	left := h.until.Sub(g.lease.manager.timers.Now())
	if err := g.SetWriteDeadline(time.Now().Add(left)); err != nil {
		return 0, err
	}
	if !g.lease.manager.timers.Now().Before(h.until) {
		return 0, g.abort()
	}
	g.lease.afterCheck()
	return g.Conn.Write(p)
}

// abort resets the connection, so that the kernel drops what it still holds.
func (g *guardedConn) abort() error {
	if tcp, ok := g.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = g.Conn.Close()
	return g.lease.notHeldError()
}
