// Package exchange is an HTTP/1.1 client with a pool of persistent connections,
// each of which carries one exchange at a time. Unlike net/http's transport it
// sends a request twice only if the caller says that it may be repeated, checks
// that an idle connection is open and has no unread bytes before it is reused, and
// reports for each failure whether the request may have been sent.
//
// # Usage
//
//	pool := exchange.New(exchange.Options{EchoHeader: "X-Request-Id"})
//	answer, err := pool.Do(ctx, "10.0.0.7:8000", exchange.Request{Method: "GET", Path: "/healthz"})
//	if err != nil { ... exchange.NotSent(err) ... }
//	defer answer.Close()
//	body, err := answer.ReadAll(1 << 20)
//
// # Errors
//
// All errors of Do are *Error. Framed is false for an answer whose end cannot be
// distinguished from a broken connection; reads of its body fail if the
// connection is reset.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wigeonpin/wigeonpin/internal/peer/conn"
)

const (
	// dialTimeout covers one lost SYN, whose retransmission follows after 1 s.
	dialTimeout = 1300 * time.Millisecond
	// TCPUserTimeout is the time after which the kernel closes a connection whose
	// written data stays unacknowledged (TCP_USER_TIMEOUT). It is a last resort:
	// callers time out earlier and reset the connection, since data that the
	// kernel has given up on may still be delivered when a partition ends.
	TCPUserTimeout = 15 * time.Second
	// keepAlivePeriod and keepAliveProbes let the kernel close an idle connection
	// whose peer no longer responds.
	keepAlivePeriod = 5 * time.Second
	keepAliveProbes = 3
	// idleMargin is how long before the peer's announced idle timeout a
	// connection expires, to allow for the network delay.
	idleMargin = 400 * time.Millisecond
	// defaultIdleTimeout applies to peers that announce no idle timeout.
	defaultIdleTimeout = 20 * time.Second
	// maxInlineWrite is the size in bytes up to which an encoded request fits the
	// socket buffers and is written before the answer is read. A larger one is
	// written while the answer is read.
	maxInlineWrite = 16 << 10
	// maxStrayAnswers is how many answers to other requests one call skips.
	maxStrayAnswers = 2
	// maxStrayBody is the largest body of a skipped answer, in bytes.
	maxStrayBody = 1 << 20
	// maxRecentIDs is the number of request ids that a connection remembers.
	maxRecentIDs = 4
)

// Request is one call. Path is the escaped path, sent as it is. ForceQuery sends an empty
// query too. A connection serves requests of one group only. A repeatable request may be
// sent twice.
type Request struct {
	Method, Path, Query, Host string
	ForceQuery                bool
	Group                     string
	Repeatable                bool
	Header                    http.Header
	Body                      []byte
}

// WithTarget returns the request with the path and the query of a request target, the part
// of the request line after the method.
func (r Request) WithTarget(target string) Request {
	path, query, found := strings.Cut(target, "?")
	r.Path, r.Query, r.ForceQuery = path, query, found && query == ""
	return r
}

func (r Request) target() string {
	if r.Query != "" || r.ForceQuery {
		return r.Path + "?" + r.Query
	}
	return r.Path
}

// ErrUnwritable is the cause of a failed exchange whose request cannot be written: its path
// does not begin with a slash, or has a space or control character, or its host is none.
// No endpoint is at fault.
var ErrUnwritable = errors.New("the request cannot be written")

// Error is a failed exchange. Sent reports that bytes of the request may have
// left this process. Dialed is false if no connection was made. Reused reports
// that the connection had served an earlier request.
type Error struct {
	Sent, Dialed, Reused bool
	cause                error
}

// Error returns the text of the cause.
func (e *Error) Error() string { return "exchange: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// NotSent reports whether err is a failed exchange whose request did not leave
// this process.
func NotSent(err error) bool {
	var failed *Error
	return errors.As(err, &failed) && !failed.Sent
}

// ConnectionRefused reports whether the address refused the connection, so that
// nothing listens there.
func ConnectionRefused(err error) bool { return NotSent(err) && errors.Is(err, syscall.ECONNREFUSED) }

// Options configure a pool. EchoHeader is the header that an answer must echo
// from its request; if it is empty, answers are not checked. OnConnect is called
// after each new connection.
type Options struct {
	EchoHeader string
	OnConnect  func(address string)
}

// Pool keeps idle connections by address and group. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer
	mu      sync.Mutex
	idle    map[target][]*connection
}

// target is what the requests of a connection have in common.
type target struct {
	address, group string
}

type connection struct {
	net.Conn
	limited   *conn.LimitedReader
	reader    *bufio.Reader
	target    target
	expires   time.Time
	recentIDs []string // ids of the latest requests
}

func newConnection(c net.Conn, to target) *connection {
	limited := conn.NewLimitedReader(c)
	return &connection{Conn: c, limited: limited, reader: bufio.NewReaderSize(limited, 4096), target: to}
}

// sentRecently reports whether a request with this id was one of the latest on
// this connection. If it were sent here again, a late duplicate of the first
// answer would be taken for the answer to the repetition.
func (c *connection) sentRecently(id string) bool {
	return id != "" && slices.Contains(c.recentIDs, id)
}

func (c *connection) remember(id string) {
	if id == "" {
		return
	}
	if len(c.recentIDs) == maxRecentIDs {
		c.recentIDs = slices.Delete(c.recentIDs, 0, 1)
	}
	c.recentIDs = append(c.recentIDs, id)
}

// abort resets the connection and discards the data that the kernel has not
// delivered. Otherwise an abandoned request could still arrive seconds later,
// when a partition ends.
func (c *connection) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close()
}

// New returns an empty pool.
func New(options Options) *Pool {
	p := &Pool{options: options, idle: map[target][]*connection{}}
	p.dialer = net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveProbes,
		},
		Control: setUserTimeout,
	}
	return p
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(TCPUserTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	var idle []*connection
	p.mu.Lock()
	for to, list := range p.idle {
		if to.address == address {
			idle = append(idle, list...)
			delete(p.idle, to)
		}
	}
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// Do sends the request and reads the head of its answer. The caller must close the
// answer. The connection is reset when ctx ends. The request is sent once, but a
// repeatable one is sent again on a new connection if one that was idle breaks: a peer
// that was out of reach may have forgotten all idle connections, which are closed then.
func (p *Pool) Do(ctx context.Context, address string, request Request) (*Answer, error) {
	answer, err := p.send(ctx, address, request)
	var failed *Error
	if !request.Repeatable || ctx.Err() != nil || !errors.As(err, &failed) || !failed.Reused {
		return answer, err
	}
	p.CloseIdle(address)
	return p.send(ctx, address, request)
}

// send sends the request once.
func (p *Pool) send(ctx context.Context, address string, request Request) (*Answer, error) {
	message, err := encode(request)
	if err != nil {
		return nil, &Error{cause: err}
	}
	id := p.id(request)
	c, reused, err := p.acquire(ctx, target{address, request.Group}, id)
	if err != nil {
		return nil, &Error{cause: err}
	}
	c.remember(id)
	fail := func(sent bool, err error) (*Answer, error) {
		c.abort()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Sent: sent, Dialed: true, Reused: reused, cause: err}
	}
	stop := context.AfterFunc(ctx, c.abort)
	writeResult := make(chan error, 1)
	if len(message) <= maxInlineWrite {
		if n, err := c.Write(message); err != nil {
			stop()
			return fail(n > 0, err)
		}
		writeResult <- nil
	} else {
		go func() { _, err := c.Write(message); writeResult <- err }()
	}
	response, err := p.readHead(c, request)
	if err != nil {
		stop()
		return fail(true, err)
	}
	return newAnswer(p, c, response, stop, writeResult), nil
}

// encode returns the bytes of the request, or ErrUnwritable.
func encode(request Request) ([]byte, error) {
	target := request.target()
	if !strings.HasPrefix(target, "/") || strings.ContainsFunc(request.Method+target, isSpaceOrControl) {
		return nil, fmt.Errorf("%w: method %.100q, target %.100q", ErrUnwritable, request.Method, target)
	}
	header := request.Header
	if header == nil {
		header = http.Header{}
	}
	if header["User-Agent"] == nil {
		header["User-Agent"] = []string{""}
	}
	// Package net/url rewrites some targets: one that begins with two slashes names another
	// host for it. A placeholder of the same length is encoded in its place.
	placeholder := "/" + strings.Repeat("x", len(target)-1)
	r := &http.Request{
		Method: request.Method, Host: request.Host, Header: header,
		URL:           &url.URL{Path: placeholder},
		ContentLength: int64(len(request.Body)),
	}
	if len(request.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(request.Body))
	} else if request.Method != http.MethodGet && request.Method != http.MethodHead {
		r.Body = http.NoBody
	}
	var out bytes.Buffer
	if err := r.Write(&out); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnwritable, err)
	}
	message := out.Bytes()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, placeholder, request.Host)
	if !bytes.HasPrefix(message, []byte(head)) {
		return nil, fmt.Errorf("%w: method %.100q, host %.100q", ErrUnwritable, request.Method, request.Host)
	}
	copy(message[len(request.Method)+1:], target)
	return message, nil
}

func isSpaceOrControl(c rune) bool { return c <= ' ' || c == 0x7f }

// readHead reads the head of the answer to the request and skips late answers
// to earlier requests.
func (p *Pool) readHead(c *connection, request Request) (*http.Response, error) {
	id := p.id(request)
	for strays := 0; ; {
		response, err := c.readHead(request.Method)
		if err != nil {
			return nil, err
		}
		if id == "" || response.Header.Get(p.options.EchoHeader) == id {
			c.limited.AllowAll()
			return response, nil
		}
		if strays++; strays > maxStrayAnswers || !conn.EndIsMarked(response) {
			return nil, errors.New("answer to another request")
		}
		c.limited.Allow(maxStrayBody)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
}

// readHead reads the head of the next answer.
func (c *connection) readHead(method string) (*http.Response, error) {
	c.limited.Allow(conn.HeaderLimit)
	return conn.ReadResponse(c.reader, &http.Request{Method: method})
}

// id returns the header value that the answer must echo, or "" if none is
// required.
func (p *Pool) id(request Request) string {
	if p.options.EchoHeader == "" {
		return ""
	}
	return request.Header.Get(p.options.EchoHeader)
}

// acquire returns an idle connection that can serve the request, or a new one.
func (p *Pool) acquire(ctx context.Context, to target, id string) (c *connection, reused bool, err error) {
	for {
		c = p.takeIdle(to, id)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && stillIdle(c.Conn) {
			return c, true, nil
		}
		_ = c.Close()
	}
	dialed, err := p.dialer.DialContext(ctx, "tcp", to.address)
	if err != nil {
		return nil, false, err
	}
	if p.options.OnConnect != nil {
		p.options.OnConnect(to.address)
	}
	return newConnection(dialed, to), false, nil
}

// takeIdle removes and returns the most recently used idle connection on which
// the id was not sent recently, or nil.
func (p *Pool) takeIdle(to target, id string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[to]
	for i := len(idle) - 1; i >= 0; i-- {
		if c := idle[i]; !c.sentRecently(id) {
			p.idle[to] = slices.Delete(idle, i, i+1)
			return c
		}
	}
	return nil
}

// stillIdle reports whether the connection is open and holds no unread bytes.
func stillIdle(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}

func (p *Pool) putIdle(c *connection, timeout time.Duration) {
	c.expires = time.Now().Add(timeout - idleMargin)
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[c.target]
	for len(idle) > 0 && time.Now().After(idle[0].expires) {
		_ = idle[0].Close()
		idle = idle[1:]
	}
	p.idle[c.target] = append(idle, c)
}

// idleTimeout returns how long the peer keeps the connection of the answer open
// while it is idle.
func idleTimeout(r *http.Response) time.Duration {
	for _, part := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(value); found && err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return defaultIdleTimeout
}
