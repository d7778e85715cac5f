package conn

import (
	"errors"
	"io"
	"math"
	"net/http"
)

// ErrEndless is returned by reads past the limit of a Limited reader.
var ErrEndless = errors.New("conn: the peer sends more than is allowed")

// Limited reads from a peer that may send without end. Reads fail with
// ErrEndless once the bytes that Allow granted are used up. It is not safe for
// concurrent use.
type Limited struct {
	source io.Reader
	left   int64
}

// NewLimited returns a reader that allows nothing yet.
func NewLimited(source io.Reader) *Limited { return &Limited{source: source} }

// Allow sets the number of bytes that may still be read.
func (l *Limited) Allow(count int64) { l.left = count }

// AllowAll lifts the limit, for a body whose reader has a bound of its own.
func (l *Limited) AllowAll() { l.left = math.MaxInt64 }

// Read reads at most the bytes that are allowed.
func (l *Limited) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, ErrEndless
	}
	if int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.source.Read(p)
	l.left -= int64(n)
	return n, err
}

const (
	// HeadLimit bounds the head of an answer in bytes, interim answers included.
	HeadLimit = 64 << 10
	// PeerLimit bounds the body of a call between processes of the system, and
	// of its answer, in bytes. It exceeds the largest answer of the store, which
	// a relay passes on.
	PeerLimit = 10 << 20
)

// Bounded returns a round tripper whose answers have heads of at most HeadLimit
// bytes and bodies that fail with ErrEndless past limit bytes.
func Bounded(transport *http.Transport, limit int64) http.RoundTripper {
	transport.MaxResponseHeaderBytes = HeadLimit
	return &bounded{next: transport, limit: limit}
}

type bounded struct {
	next  *http.Transport
	limit int64
}

// RoundTrip makes one call.
func (b *bounded) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := b.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	limited := NewLimited(resp.Body)
	limited.Allow(b.limit)
	resp.Body = &boundedBody{Limited: limited, Closer: resp.Body}
	return resp, nil
}

// CloseIdleConnections closes the kept connections.
func (b *bounded) CloseIdleConnections() { b.next.CloseIdleConnections() }

type boundedBody struct {
	*Limited
	io.Closer
}
