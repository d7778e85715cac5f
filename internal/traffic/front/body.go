package front

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/traffic/memory"
	"github.com/wigeonpin/wigeonpin/internal/traffic/stop"
)

const (
	// bodyTimeout bounds the time that a body may take to arrive.
	bodyTimeout = 15 * time.Second
	// batchCopies is the number of copies of a batch's body in memory while it is
	// accepted: as received, encoded for the store, and as the record that is written.
	batchCopies = 3
	// memoryRetryAfter is the Retry-After delay when the bodies of other requests
	// use up the memory budget.
	memoryRetryAfter = time.Second
	// lingerTime is how long the rest of a body is read after its request was refused.
	// A caller that still sends would get a reset in place of the refusal.
	lingerTime = 1500 * time.Millisecond
)

// limitBody sets a read deadline for the body. It must also be set for a request
// that is refused before its body is read, because net/http goes on reading for a
// while after the handler returns.
func limitBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout)) // a failure also fails the read
	}
}

// receiveBody reads the whole body of a request whose work follows. If that fails, or
// if the work can no longer end within a planned stop, it answers with a refusal and
// reports false.
func (f *Front) receiveBody(w http.ResponseWriter, r *http.Request, q *callerRequest, share *memory.Share, work stop.Work) ([]byte, bool) {
	if !f.seams.Stop.CanEnd(work) {
		f.refuseUnread(w, r, q, func() { _, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxBody)) }) // nobody needs it
		return nil, false
	}
	if r.ContentLength == 0 {
		return nil, true
	}
	control := http.NewResponseController(w)
	if q.deadline.Before(time.Now().Add(bodyTimeout)) {
		_ = control.SetReadDeadline(q.deadline) // a failure also fails the read
	}
	var body []byte
	var err error
	// The body is read in the background, so that a refusal can be sent meanwhile. A read
	// that is interrupted for it could not go on.
	read, late := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(read)
		body, err = readBody(r, q, share)
	}()
	done := f.seams.Stop.Await(work, func() { close(late) })
	defer done()
	select {
	case <-read:
	case <-late:
		f.refuseUnread(w, r, q, func() { <-read })
		return nil, false
	}
	if err != nil {
		w.Header().Set("Connection", "close") // the rest of the body is not read
		f.refuse(w, q, err)
		return nil, false
	}
	_ = control.SetReadDeadline(time.Time{}) // otherwise net/http would take the expired deadline for a closed connection
	return body, true
}

// refuseUnread refuses a request that cannot end within a planned stop, before the
// rest of its body has arrived. It then has the rest read by a function that ends with
// the read deadline, since the caller may still be sending.
func (f *Front) refuseUnread(w http.ResponseWriter, r *http.Request, q *callerRequest, readRest func()) {
	if r.ContentLength == 0 {
		f.refuse(w, q, stop.Refusal())
		return
	}
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex() // always possible with HTTP/1.1
	w.Header().Set("Connection", "close")
	f.refuse(w, q, stop.Refusal())
	_ = control.Flush() // fails only if the caller is gone
	left, _ := f.seams.Stop.Left()
	_ = control.SetReadDeadline(time.Now().Add(min(left, lingerTime))) // a failure also fails the read
	readRest()
}

// readBody reads the whole body of a request and charges it to share.
func readBody(r *http.Request, q *callerRequest, share *memory.Share) ([]byte, error) {
	limit := int64(maxBody)
	if allowed := q.manifest.Limits.MaxBodyBytes; allowed > 0 {
		limit = min(limit, allowed)
	}
	body, err := share.ReadAll(r.Body, r.ContentLength, limit)
	if err != nil {
		return nil, bodyError(err, limit)
	}
	return body, nil
}

// errMemoryFull is the refusal of a request while others use up the memory for bodies.
func errMemoryFull() error {
	return code.New(code.MemoryFull, "no memory is left for the body").WithRun(code.NotRun).WithRetryAfter(memoryRetryAfter)
}

func bodyError(err error, limit int64) error {
	var timeout net.Error
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return code.New(code.BodyTooLarge, "the body exceeds %d bytes", limit).WithRun(code.NotRun)
	case errors.Is(err, memory.ErrFull):
		return errMemoryFull()
	case errors.As(err, &timeout) && timeout.Timeout():
		return code.New(code.SlowCaller, "the body did not arrive in time").WithRun(code.NotRun)
	}
	return code.New(code.CallerGone, "the body did not arrive").WithRun(code.NotRun)
}
