package platform

import (
	"bytes"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/standin/host"
)

// withFaults wraps a handler with fault injection: an outage, the rate limit,
// slow responses, and responses that are dropped after the write took effect.
func (p *Platform) withFaults(part string, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		write := r.Method != http.MethodGet
		limit, delay := p.countCall(part, r.Method, write)
		if p.outage[part].On() {
			codec.Write(w, http.StatusServiceUnavailable, map[string]string{"message": "the platform is down"})
			return
		}
		if !limit.Allow() {
			host.TooManyRequests(w, "rate limit of the platform")
			return
		}
		if p.slow[part].On() && !sleep(r, delay) {
			return
		}
		if write && p.lostResponses.Take() {
			handle(&discardWriter{header: http.Header{}}, r)
			host.ResetConn(r)
		}
		handle(w, r)
	}
}

// countCall counts a call and returns the rate limiter that applies to it and the
// delay of slow responses.
func (p *Platform) countCall(part, method string, write bool) (*rate.Limiter, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[part+" "+method]++
	if write {
		return p.writes, p.slowDelay
	}
	return p.reads, p.slowDelay
}

// sleep waits for d and reports whether the client is still connected.
func sleep(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// discardWriter is a response writer whose response never reaches the caller.
type discardWriter struct {
	header http.Header
	body   bytes.Buffer
}

// Header returns headers that are not sent.
func (d *discardWriter) Header() http.Header { return d.header }

// Write buffers the body without sending it.
func (d *discardWriter) Write(b []byte) (int, error) { return d.body.Write(b) }

// WriteHeader ignores the status.
func (d *discardWriter) WriteHeader(int) {}
