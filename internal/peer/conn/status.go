package conn

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
)

// ErrInvalidStatus is the error of a response whose status is neither a final HTTP
// status nor that of an interim response that may precede one.
var ErrInvalidStatus = errors.New("conn: invalid response status")

// Final statuses, see RFC 9110, section 15.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// ReadResponse reads the head of the final response to a request. Interim (1xx)
// responses are skipped, except one that switches protocols, which no request of this
// program asks for, and one that announces a body: its bytes would be read as the next
// response. Both have ErrInvalidStatus, as has a status that is not from 100 to 599.
func ReadResponse(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, err
		}
		if isFinal(response.StatusCode) {
			return response, nil
		}
		if !isInterim(response) {
			return nil, invalidStatus(response)
		}
	}
}

func isFinal(status int) bool { return status >= minFinalStatus && status <= maxFinalStatus }

func isInterim(r *http.Response) bool {
	if r.StatusCode < http.StatusContinue || r.StatusCode >= minFinalStatus || r.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	return r.Header.Get("Content-Length") == "" && len(r.TransferEncoding) == 0 && r.Header.Get("Transfer-Encoding") == ""
}

func invalidStatus(r *http.Response) error { return fmt.Errorf("%w: %q", ErrInvalidStatus, r.Status) }

// ErrNoEnd is the error of a response without a length or chunks to a request with a body.
// When the peer resets the connection while the body is written, the kernel tells the
// write of it, and the read finds an end: the response looks whole, though it was cut.
// net/http does not tell of the failed write then.
var ErrNoEnd = errors.New("conn: the response has neither a length nor chunks, so its end cannot be told from a cut")

// CheckStatus returns a transport whose responses have a final status. Another one fails
// with ErrInvalidStatus, and its body is closed unread, which closes the connection. A
// response without a body leaves it open; net/http closes it once unexpected bytes arrive.
func CheckStatus(next *http.Transport) http.RoundTripper { return &checkedTransport{next: next} }

// CheckResponses is like CheckStatus. Besides, the end of each response to a request with a
// body is marked; another one fails with ErrNoEnd.
func CheckResponses(next *http.Transport) http.RoundTripper { return newCheckedTransport(next) }

func newCheckedTransport(next *http.Transport) *checkedTransport {
	return &checkedTransport{next: next, checkEnd: true}
}

type checkedTransport struct {
	next     *http.Transport
	checkEnd bool
}

// RoundTrip implements http.RoundTripper.
func (t *checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	switch {
	case !isFinal(response.StatusCode):
		err = invalidStatus(response)
	case t.checkEnd && r.Body != nil && r.Body != http.NoBody && !EndIsMarked(response):
		err = ErrNoEnd
	default:
		return response, nil
	}
	_ = response.Body.Close()
	return nil, err
}

// EndIsMarked reports whether the end of a response can be told from a cut: it has a length
// or chunks, or it never has a body.
func EndIsMarked(r *http.Response) bool {
	if r.Request != nil && r.Request.Method == http.MethodHead || r.StatusCode == http.StatusNoContent || r.StatusCode == http.StatusNotModified {
		return true
	}
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// CloseIdleConnections lets http.Client.CloseIdleConnections reach the wrapped
// transport.
func (t *checkedTransport) CloseIdleConnections() { t.next.CloseIdleConnections() }
