package exchange

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/peer/conn"
)

// ErrTooLarge is returned by ReadAll for a body that exceeds the limit.
var ErrTooLarge = errors.New("exchange: the body is larger than the limit")

const (
	// discardLimit is the number of bytes that Discard reads at most in order to
	// reuse the connection.
	discardLimit = 64 << 10
	// unwrittenWait is how long the end of an answer that has no mark waits for the end
	// of the write of its request.
	unwrittenWait = 500 * time.Millisecond
)

// errUnwritten is the cause of an answer without a mark that ended while the request was
// still being written.
var errUnwritten = errors.New("the answer ended before the request was written")

// Answer is an answer whose body can still be read. Framed reports whether the
// end of the body is marked, by a length or by chunked encoding.
type Answer struct {
	Status int
	Header http.Header
	Framed bool

	body        io.Reader
	complete    bool
	unverified  bool // the connection is not reused
	readFailed  bool
	closeOnce   sync.Once
	pool        *Pool
	connection  *connection
	response    *http.Response
	stop        func() bool
	writeResult <-chan error
}

func newAnswer(p *Pool, c *connection, r *http.Response, stop func() bool, writeResult <-chan error) *Answer {
	return &Answer{
		Status: r.StatusCode, Header: r.Header, Framed: conn.EndIsMarked(r),
		body: r.Body, pool: p, connection: c, response: r, stop: stop, writeResult: writeResult,
	}
}

// Read reads from the body. It returns io.EOF only at the body's marked end, or at a
// graceful close of the connection when the answer is not framed. Such an answer is not
// whole unless the whole request was written: when the peer resets the connection, the
// kernel tells a write that runs beside the read, and the read finds an end.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) && !a.Framed && !a.complete {
		if failure := a.awaitWrite(); failure != nil {
			err = fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, failure)
		}
	}
	switch {
	case errors.Is(err, io.EOF):
		a.complete = true
		if !a.unverified {
			a.Close()
		}
	case err != nil:
		a.readFailed = true
	}
	return n, err
}

// awaitWrite waits for the end of the write of the request and returns its error. A peer
// that closed only its own half may leave the write waiting.
func (a *Answer) awaitWrite() error {
	timer := time.NewTimer(unwrittenWait)
	defer timer.Stop()
	select {
	case err := <-a.writeResult:
		return err
	case <-timer.C:
		return errUnwritten
	}
}

// ReadAll reads the rest of the body, at most limit bytes, and closes the
// answer.
func (a *Answer) ReadAll(limit int64) ([]byte, error) {
	return a.ReadVerified(limit, func([]byte) bool { return true })
}

// ReadVerified reads like ReadAll. The connection is closed unless verify reports that
// the body answers the request: the answer that was expected may still follow.
func (a *Answer) ReadVerified(limit int64, verify func(body []byte) bool) ([]byte, error) {
	a.unverified = true
	defer a.Close()
	body, err := io.ReadAll(io.LimitReader(a, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, ErrTooLarge
	}
	a.unverified = !verify(body)
	return body, nil
}

// Discard reads and drops the rest of the body, at most discardLimit bytes, and
// closes the answer.
func (a *Answer) Discard() {
	defer a.Close()
	_, _ = io.CopyN(io.Discard, a, discardLimit) // Close drops the connection if this fails
}

// Complete reports whether the body was read to its end.
func (a *Answer) Complete() bool { return a.complete }

// ReadFailed reports whether a read of the body failed.
func (a *Answer) ReadFailed() bool { return a.readFailed }

// Close ends the exchange. The connection is returned to the pool if the answer
// was read to its marked end, no bytes followed it, the whole request was
// written and ReadVerified did not reject the body; otherwise it is closed.
func (a *Answer) Close() {
	a.closeOnce.Do(func() {
		stopped := a.stop()
		if !stopped || !a.complete {
			a.connection.abort()
			return
		}
		if !a.reusable() {
			_ = a.connection.Close()
			return
		}
		a.pool.putIdle(a.connection, idleTimeout(a.response))
	})
}

func (a *Answer) reusable() bool {
	if a.unverified || !a.Framed || a.response.Close || a.connection.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-a.writeResult:
		return err == nil
	default:
		return false
	}
}
