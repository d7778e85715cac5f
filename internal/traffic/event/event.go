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

// maxEvent is the size in bytes of the largest event.
const maxEvent = 1 << 20

// ErrTooLarge is returned for an event over the largest size.
var ErrTooLarge = errors.New("event: larger than 1 MiB")

// Event is one whole event. Raw holds its bytes with the closing empty line.
// Version is 0 unless the event carries a weight version.
type Event struct {
	ID      int64
	Data    []byte
	Version int64
	Raw     []byte
}

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
		line, err := r.buffered.ReadBytes('\n')
		if err != nil {
			if errors.Is(err, io.EOF) && len(line)+len(e.Raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		e.Raw = append(e.Raw, line...)
		if len(e.Raw) > maxEvent {
			return Event{}, ErrTooLarge
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		r.field(&e, line)
	}
}

func (r *Reader) field(e *Event, line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.ID, _ = strconv.ParseInt(string(value), 10, 64)
	case "data":
		if e.Data != nil {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
	case r.versionKey:
		e.Version, _ = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	}
}
