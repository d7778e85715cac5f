package front

import (
	"net/http"
	"time"
)

const (
	// writeTimeout bounds the write of one chunk to the caller.
	writeTimeout = 10 * time.Second
	// maxWriteChunk is the number of bytes that are written under one deadline. A
	// single deadline for the whole answer would cut off slow callers that keep
	// reading.
	maxWriteChunk = 32 << 10
)

// deadlineWriter is a ResponseWriter that sets a new write deadline for each
// chunk, so that writes to a caller that stops reading fail.
type deadlineWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

func newDeadlineWriter(w http.ResponseWriter) *deadlineWriter {
	return &deadlineWriter{ResponseWriter: w, control: http.NewResponseController(w)}
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (d *deadlineWriter) Unwrap() http.ResponseWriter { return d.ResponseWriter }

func (d *deadlineWriter) extendDeadline() {
	_ = d.control.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
}

// WriteHeader sends the status under a new deadline.
func (d *deadlineWriter) WriteHeader(status int) {
	d.extendDeadline()
	d.ResponseWriter.WriteHeader(status)
}

// Write sends the bytes in chunks of at most maxWriteChunk, each with its own
// deadline.
func (d *deadlineWriter) Write(b []byte) (int, error) {
	written := 0
	for {
		chunk := b[written:min(len(b), written+maxWriteChunk)]
		d.extendDeadline()
		n, err := d.ResponseWriter.Write(chunk)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// FlushError sends buffered data under a new deadline.
func (d *deadlineWriter) FlushError() error {
	d.extendDeadline()
	return d.control.Flush()
}
