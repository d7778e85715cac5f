package front

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/traffic/memory"
)

const (
	// bodyTimeout bounds the time that a body may take to arrive.
	bodyTimeout = 15 * time.Second
	// batchCopies is the number of copies of a batch's body in memory while it is
	// accepted: as received, decoded, and as records for the store.
	batchCopies = 3
	// memoryRetryAfter is the Retry-After delay when the bodies of other requests
	// use up the memory budget.
	memoryRetryAfter = time.Second
)

// limitBody sets a read deadline for the body. It must also be set for a request
// that is refused before its body is read, because net/http goes on reading for a
// while after the handler returns.
func limitBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout)) // a failure also fails the read
	}
}

// readBody reads the whole body of a request and charges it to share.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, q *callerRequest, share *memory.Share) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	limit := int64(maxBody)
	if allowed := q.manifest.Limits.MaxBodyBytes; allowed > 0 {
		limit = min(limit, allowed)
	}
	control := http.NewResponseController(w)
	if q.deadline.Before(time.Now().Add(bodyTimeout)) {
		_ = control.SetReadDeadline(q.deadline) // a failure also fails the read
	}
	body, err := share.ReadAll(r.Body, r.ContentLength, limit)
	if err != nil {
		w.Header().Set("Connection", "close") // the rest of the body is not read
		return nil, bodyError(err, limit)
	}
	_ = control.SetReadDeadline(time.Time{}) // otherwise net/http would take the expired deadline for a closed connection
	return body, nil
}

func bodyError(err error, limit int64) error {
	var timeout net.Error
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return code.New(code.BodyTooLarge, "the body exceeds %d bytes", limit).WithRun(code.NotRun)
	case errors.Is(err, memory.ErrFull):
		return code.New(code.MemoryFull, "no memory is left for the body").WithRun(code.NotRun).WithRetryAfter(memoryRetryAfter)
	case errors.As(err, &timeout) && timeout.Timeout():
		return code.New(code.SlowCaller, "the body did not arrive in time").WithRun(code.NotRun)
	}
	return code.New(code.CallerGone, "the body did not arrive").WithRun(code.NotRun)
}
