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

// CheckStatus returns a transport whose responses have a final status. Another one fails
// with ErrInvalidStatus, and its body is closed unread, which closes the connection. A
// response without a body leaves it open; net/http closes it once unexpected bytes arrive.
func CheckStatus(next *http.Transport) http.RoundTripper { return newStatusTransport(next) }

func newStatusTransport(next *http.Transport) *statusTransport { return &statusTransport{next: next} }

type statusTransport struct{ next *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *statusTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(r)
	if err != nil || isFinal(response.StatusCode) {
		return response, err
	}
	_ = response.Body.Close()
	return nil, invalidStatus(response)
}

// CloseIdleConnections lets http.Client.CloseIdleConnections reach the wrapped
// transport.
func (t *statusTransport) CloseIdleConnections() { t.next.CloseIdleConnections() }
