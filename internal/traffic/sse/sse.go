// Package sse parses streams of server-sent events (text/event-stream) and
// returns only complete events.
//
// An endpoint that fails may write other text into its answer: the text or the whole
// head of an error. The end of an answer without a length is the end of its
// connection, so that nothing else marks such bytes. Next therefore accepts only lines
// that a stream of events can have: comments, the fields of the format, the field with
// the weight version, and fields of extensions, whose names have lower-case letters,
// digits and hyphens.
//
// # Usage
//
//	reader := sse.NewReader(body, "weight-versions")
//	for {
//		e, err := reader.Next() // io.EOF at the end of the body
//	}
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes is the maximum size of an event. It bounds the memory of a
// process, which reads hundreds of streams at once.
const maxEventBytes = 256 << 10

// ErrTooLarge is returned for an event larger than the maximum size.
var ErrTooLarge = errors.New("event: larger than 256 KiB")

// ErrNotEvent is returned for text that is no event.
var ErrNotEvent = errors.New("event: the text is no event")

// Event is one complete event. Raw holds its bytes, including the empty line
// that ends it. Version is 0 unless the event carries a weight version.
type Event struct {
	ID      int64
	Data    []byte
	Version int64
	Raw     []byte
}

// HasOutput reports whether the event carries output. Comments and blank lines
// only keep the connection alive.
func (e Event) HasOutput() bool { return e.ID > 0 || e.Data != nil }

// Reader splits a response body into events. It is not safe for concurrent use.
type Reader struct {
	buffered   *bufio.Reader
	versionKey string
}

// NewReader returns a reader of body. versionKey is the name of the event field
// that carries a weight version.
func NewReader(body io.Reader, versionKey string) *Reader {
	return &Reader{buffered: bufio.NewReaderSize(body, 2048), versionKey: versionKey}
}

// Next returns the next complete event. At the end of the body it returns the
// error of the underlying reader, which is io.EOF for an orderly end. If the
// body ends within an event, Next drops that event and returns
// io.ErrUnexpectedEOF. It returns ErrNotEvent for other text.
func (r *Reader) Next() (Event, error) {
	var e Event
	known, extended := false, false // whether the event has fields of the format, or of extensions
	for {
		start := len(e.Raw)
		if err := r.readLine(&e); err != nil {
			if errors.Is(err, io.EOF) && len(e.Raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		line := bytes.TrimRight(e.Raw[start:], "\r\n")
		if len(line) == 0 {
			if extended && !known {
				return Event{}, ErrNotEvent
			}
			return e, nil
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case r.isKnown(string(name)):
			known = true
		case isExtension(name):
			extended = true
		default:
			return Event{}, ErrNotEvent
		}
		r.parseField(&e, string(name), value)
	}
}

// isKnown reports whether the format defines the field. A comment has an empty name.
func (r *Reader) isKnown(name string) bool {
	switch name {
	case "", "id", "data", "event", "retry", r.versionKey:
		return true
	}
	return false
}

// isExtension reports whether a field of an extension may have the name.
func isExtension(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// readLine appends the next line to e.Raw.
func (r *Reader) readLine(e *Event) error {
	for {
		part, err := r.buffered.ReadSlice('\n')
		if len(e.Raw)+len(part) > maxEventBytes {
			return ErrTooLarge
		}
		e.Raw = append(e.Raw, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func (r *Reader) parseField(e *Event, name string, value []byte) {
	value = bytes.TrimPrefix(value, []byte(" "))
	switch name {
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
