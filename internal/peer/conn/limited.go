package conn

import (
	"errors"
	"io"
	"math"
	"net/http"
)

// ErrLimitExceeded is returned by reads past the limit of a LimitedReader.
var ErrLimitExceeded = errors.New("conn: the peer sends more than is allowed")

// LimitedReader is a reader that bounds how much a faulty peer can send. Reads
// fail with ErrLimitExceeded once the number of bytes set by Allow has been
// read. It is not safe for concurrent use.
type LimitedReader struct {
	source    io.Reader
	remaining int64
}

// NewLimitedReader returns a reader with a limit of 0 bytes; call Allow before the
// first read.
func NewLimitedReader(source io.Reader) *LimitedReader { return &LimitedReader{source: source} }

// Allow sets the number of bytes that may still be read.
func (l *LimitedReader) Allow(count int64) { l.remaining = count }

// AllowAll removes the limit, for a body whose reader has a limit of its own.
func (l *LimitedReader) AllowAll() { l.remaining = math.MaxInt64 }

// Read reads at most as many bytes as the limit still allows.
func (l *LimitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, ErrLimitExceeded
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.source.Read(p)
	l.remaining -= int64(n)
	return n, err
}

const (
	// HeaderLimit is the maximum size in bytes of the status line and headers of a
	// response, interim (1xx) responses included.
	HeaderLimit = 64 << 10
	// PeerBodyLimit is the maximum size in bytes of the request and response
	// bodies of calls between processes of the system. It exceeds the largest
	// response of the store, since a relay passes that on.
	PeerBodyLimit = 10 << 20
)

// LimitResponses limits the responses of a transport: headers to HeaderLimit
// bytes and bodies to limit bytes, past which reads fail with
// ErrLimitExceeded. They are checked as with CheckResponses.
func LimitResponses(transport *http.Transport, limit int64) http.RoundTripper {
	transport.MaxResponseHeaderBytes = HeaderLimit
	return &limitedTransport{next: newCheckedTransport(transport), limit: limit}
}

type limitedTransport struct {
	next  *checkedTransport
	limit int64
}

// RoundTrip implements http.RoundTripper.
func (t *limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	limited := NewLimitedReader(resp.Body)
	limited.Allow(t.limit)
	resp.Body = &limitedBody{LimitedReader: limited, Closer: resp.Body}
	return resp, nil
}

// CloseIdleConnections lets http.Client.CloseIdleConnections reach the wrapped
// transport.
func (t *limitedTransport) CloseIdleConnections() { t.next.CloseIdleConnections() }

type limitedBody struct {
	*LimitedReader
	io.Closer
}
