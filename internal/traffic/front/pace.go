package front

import (
	"net/http"
	"time"
)

const (
	// readerStall is how long a caller may take no byte of its answer.
	readerStall = 10 * time.Second
	// writePiece is the number of bytes that are written under one deadline, so
	// that a slow caller which goes on reading is not cut.
	writePiece = 32 << 10
)

// pacedWriter gives up on a caller that stops reading its answer.
type pacedWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

func newPacedWriter(w http.ResponseWriter) *pacedWriter {
	return &pacedWriter{ResponseWriter: w, control: http.NewResponseController(w)}
}

// Unwrap returns the writer below, for http.ResponseController.
func (p *pacedWriter) Unwrap() http.ResponseWriter { return p.ResponseWriter }

func (p *pacedWriter) extend() {
	_ = p.control.SetWriteDeadline(time.Now().Add(readerStall)) // fails only on a closed connection
}

// WriteHeader sends the status.
func (p *pacedWriter) WriteHeader(status int) {
	p.extend()
	p.ResponseWriter.WriteHeader(status)
}

// Write sends the bytes in pieces, each with its own deadline.
func (p *pacedWriter) Write(b []byte) (int, error) {
	written := 0
	for {
		piece := b[written:min(len(b), written+writePiece)]
		p.extend()
		n, err := p.ResponseWriter.Write(piece)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// FlushError sends what is buffered.
func (p *pacedWriter) FlushError() error {
	p.extend()
	return p.control.Flush()
}
