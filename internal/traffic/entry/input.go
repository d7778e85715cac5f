package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
)

const headerDeadline = "Wigeonpin-Deadline-Ms"

func newRequestID() string { return ulid.Make().String() }

// deadline returns the request's deadline, from the caller's header or the
// default of the settings.
func (e *Entry) deadline(r *http.Request) (time.Time, error) {
	limit := e.settings.DeadlineMS
	if raw := r.Header.Get(headerDeadline); raw != "" {
		ms, err := strconv.ParseInt(raw, 10, 64)
		if err != nil {
			return time.Time{}, code.New(code.BadRequest, "the header %s must be a number of milliseconds", headerDeadline).WithRun(code.NotRun)
		}
		if ms < 1 || ms > e.settings.DeadlineMaxMS {
			return time.Time{}, code.New(code.OutOfRange, "the header %s has value %d, must be from 1 to %d",
				headerDeadline, ms, e.settings.DeadlineMaxMS).WithRun(code.NotRun)
		}
		limit = ms
	}
	return e.timers.Now().Add(setting.Milliseconds(limit)), nil
}

// ioDeadline returns the deadline for one read from or write to a caller. It
// uses the system clock, since connection deadlines are compared with it.
func (e *Entry) ioDeadline() time.Time {
	return time.Now().Add(setting.Milliseconds(e.settings.HeaderMS))
}

// setReadDeadline limits the time for reading the request's body. The deadline
// must stay in force when the body has not been read to its end: the server
// reads the rest before it sends the response, and would otherwise wait forever
// for a caller that sends nothing.
func (e *Entry) setReadDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(e.ioDeadline())
}

// clearReadDeadline removes the read deadline once the body has been read. While
// the request runs the server keeps reading, to notice a disconnected caller.
func clearReadDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
}

// setWriteDeadline limits the time for writing a response that is sent as a
// whole. The deadline is later than the read deadline, up to which the server
// may first wait for the rest of an unread body.
func (e *Entry) setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(e.ioDeadline().Add(setting.Milliseconds(e.settings.HeaderMS)))
}

// readJSON reads the body of a request, at most limit bytes, and decodes it.
func readJSON[T any](e *Entry, w http.ResponseWriter, r *http.Request, limit int64) (T, error) {
	var value T
	raw, err := e.readBody(w, r, limit)
	if err != nil {
		return value, err
	}
	return value, codec.Decode(raw, &value)
}

// readBody reads the body of a request, at most limit bytes. On an error it asks
// for the connection to be closed, since the rest of the body was not read.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		clearReadDeadline(w)
		return raw, nil
	}
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, code.New(code.BodyTooLarge, "the body exceeds %d bytes", limit).WithRun(code.NotRun)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, code.New(code.SlowCaller, "the body did not arrive in time").WithRun(code.NotRun)
	default:
		return nil, code.New(code.BadRequest, "the body ended early").WithRun(code.NotRun)
	}
}

// streamWriter writes a response chunk by chunk. A write fails if the caller
// does not read in time.
type streamWriter struct {
	entry      *Entry
	caller     *caller
	w          http.ResponseWriter
	controller *http.ResponseController
}

func (e *Entry) newStreamWriter(w http.ResponseWriter, c *caller) *streamWriter {
	return &streamWriter{entry: e, caller: c, w: w, controller: http.NewResponseController(w)}
}

// write sends a chunk and flushes it.
func (o *streamWriter) write(chunk []byte) error {
	o.caller.responseStarted = true
	_ = o.controller.SetWriteDeadline(o.entry.ioDeadline())
	_, err := o.w.Write(chunk)
	if err == nil {
		err = o.controller.Flush()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return code.New(code.SlowCaller, "the caller reads too slowly")
	}
	if err != nil {
		return code.New(code.CallerGone, "the caller is gone")
	}
	return nil
}
