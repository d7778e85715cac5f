package exchange

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// ErrTooLarge is returned by ReadAll for a body over the limit.
var ErrTooLarge = errors.New("exchange: the body is larger than the limit")

// Answer is an answer whose body is still being read. Framed tells that its
// end is marked by a length or by chunks.
type Answer struct {
	Status int
	Header http.Header
	Framed bool

	body     io.Reader
	whole    bool
	release  sync.Once
	pool     *Pool
	channel  *channel
	response *http.Response
	stop     func() bool
	written  <-chan error
}

func newAnswer(p *Pool, c *channel, r *http.Response, stop func() bool, written <-chan error) *Answer {
	return &Answer{
		Status: r.StatusCode, Header: r.Header, Framed: framed(r),
		body: r.Body, pool: p, channel: c, response: r, stop: stop, written: written,
	}
}

// Read reads from the body. It returns io.EOF only at the body's marked end,
// or at the orderly end of the connection when the answer is not framed.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.whole = true
		a.Close()
	}
	return n, err
}

// ReadAll reads the rest of the body, at most limit bytes, and closes the
// answer.
func (a *Answer) ReadAll(limit int64) ([]byte, error) {
	defer a.Close()
	body, err := io.ReadAll(io.LimitReader(a, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, ErrTooLarge
	}
	return body, nil
}

// Close ends the exchange. The connection is kept when the answer was read to
// its marked end, nothing followed it and the whole request was written.
func (a *Answer) Close() {
	a.release.Do(func() {
		stopped := a.stop()
		if !stopped || !a.whole {
			a.channel.abort()
			return
		}
		if !a.reusable() {
			_ = a.channel.Close()
			return
		}
		a.pool.put(a.channel, keepFor(a.response))
	})
}

func (a *Answer) reusable() bool {
	if !a.Framed || a.response.Close || a.channel.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}
