package forward

import "time"

// defaultWork is the expected work of a request on a route whose work is not known.
const defaultWork = 50 * time.Millisecond

// expectedWork returns the expected work of a call in microseconds.
func (f *Forwarder) expectedWork(call Call) int64 {
	work := f.work(call.Service, call.Class())
	if work <= 0 {
		work = defaultWork
	}
	return max(1, work.Microseconds())
}
