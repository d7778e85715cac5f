// Package event reads streams of events (text/event-stream) and keeps only
// whole events.
//
// # Usage
//
//	reader := event.NewReader(body, "weight-versions")
//	for {
//		e, err := reader.Next() // io.EOF at the end of the body
//	}
package event

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEvent is the size in bytes of the largest event. A process reads hundreds
// of streams at once.
const maxEvent = 256 << 10

// ErrTooLarge is returned for an event over the largest size.
var ErrTooLarge = errors.New("event: larger than 256 KiB")

// Event is one whole event. Raw holds its bytes with the closing empty line.
// Version is 0 unless the event carries a weight version.
type Event struct {
	ID      int64
	Data    []byte
	Version int64
	Raw     []byte
}

// Progress reports whether the event carries output. Comments and blank lines
// only keep the connection open.
func (e Event) Progress() bool { return e.ID > 0 || e.Data != nil }

// Reader splits a body into events.
type Reader struct {
	buffered   *bufio.Reader
	versionKey string
}

// NewReader returns a reader. versionKey names the field that carries a weight
// version.
func NewReader(body io.Reader, versionKey string) *Reader {
	return &Reader{buffered: bufio.NewReaderSize(body, 2048), versionKey: versionKey}
}

// Next returns the next whole event. At the end of the body it returns the
// body's error, io.EOF for an orderly end; an event that was cut is dropped
// and reported as io.ErrUnexpectedEOF.
func (r *Reader) Next() (Event, error) {
	var e Event
	for {
		start := len(e.Raw)
		if err := r.line(&e); err != nil {
			if errors.Is(err, io.EOF) && len(e.Raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		line := bytes.TrimRight(e.Raw[start:], "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		r.field(&e, line)
	}
}

// line appends the next line to the bytes of the event.
func (r *Reader) line(e *Event) error {
	for {
		part, err := r.buffered.ReadSlice('\n')
		if len(e.Raw)+len(part) > maxEvent {
			return ErrTooLarge
		}
		e.Raw = append(e.Raw, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func (r *Reader) field(e *Event, line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.ID, _ = strconv.ParseInt(string(value), 10, 64)
	case "data":
		if e.Data == nil {
			e.Data = []byte{}
		} else {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
	case r.versionKey:
		e.Version, _ = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	}
}
