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

// answerTimeout bounds the wait for the response headers. A whole request may
// take twice as long.
const answerTimeout = 10 * time.Second

// newClient returns a client whose connections belong to the lease.
func (l *Lease) newClient() *http.Client {
	return &http.Client{Transport: conn.CheckResponses(l.newTransport()), Timeout: 2 * answerTimeout}
}

// newTransport returns a transport that opens a connection for each request, so that
// none is sent on a connection that was opened under an earlier token.
func (l *Lease) newTransport() *http.Transport {
	return &http.Transport{
		DialContext: l.dial, DisableKeepAlives: true, DisableCompression: true,
		ResponseHeaderTimeout: answerTimeout, MaxResponseHeaderBytes: conn.HeaderLimit,
	}
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

// limitDelivery sets TCP_USER_TIMEOUT, so that the kernel drops data that is
// not acknowledged within the drain bound.
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

// guardedConn is a connection that refuses writes once the lease has ended or
// has another token than at the dial.
type guardedConn struct {
	net.Conn
	lease *Lease
	fence uint64
}

// Write checks the lease immediately before the system call, and sets the end
// of the term as the deadline of the call.
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

// abort resets the connection, so that the kernel drops the data in its send
// buffer.
func (g *guardedConn) abort() error {
	if tcp, ok := g.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = g.Conn.Close()
	return g.lease.notHeldError()
}
