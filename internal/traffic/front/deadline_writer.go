package front

import (
	"net/http"
	"time"
)

const (
	// writeTimeout is how long a caller may take no byte of its answer.
	writeTimeout = 10 * time.Second
	// maxWriteChunk is the number of bytes that are written under one deadline, so
	// that a slow caller which goes on reading is not cut.
	maxWriteChunk = 32 << 10
)

// deadlineWriter gives up on a caller that stops reading its answer.
type deadlineWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

func newDeadlineWriter(w http.ResponseWriter) *deadlineWriter {
	return &deadlineWriter{ResponseWriter: w, control: http.NewResponseController(w)}
}

// Unwrap returns the writer below, for http.ResponseController.
func (d *deadlineWriter) Unwrap() http.ResponseWriter { return d.ResponseWriter }

func (d *deadlineWriter) extendDeadline() {
	_ = d.control.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
}

// WriteHeader sends the status.
func (d *deadlineWriter) WriteHeader(status int) {
	d.extendDeadline()
	d.ResponseWriter.WriteHeader(status)
}

// Write sends the bytes in pieces, each with its own deadline.
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

// FlushError sends what is buffered.
func (d *deadlineWriter) FlushError() error {
	d.extendDeadline()
	return d.control.Flush()
}
