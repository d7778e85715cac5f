package forward

import (
	"time"

	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
)

// defaultWork is the expected work of a request on a route whose work is not known. Only
// its ratio to that of other routes matters.
const defaultWork = 50 * time.Millisecond

// Work returns the expected time of a request on a route at an endpoint of usual speed of
// the service, or 0 when it is not known.
func (f *Forwarder) Work(route manifest.Route, service string) time.Duration {
	return f.work(service, Call{Route: route, Service: service}.Class())
}

// expectedWork returns the expected work of a call in microseconds.
func (f *Forwarder) expectedWork(call Call) int64 {
	work := f.Work(call.Route, call.Service)
	if work <= 0 {
		work = defaultWork
	}
	return max(1, work.Microseconds())
}
