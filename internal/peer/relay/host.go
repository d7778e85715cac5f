package relay

import (
	"context"
	"time"
)

const (
	// HostSlack is the slack of processes that host no watches.
	HostSlack = 300 * time.Millisecond
	// ChainSlack is the slack of processes that host watches and let another
	// make them. They find another way before those that they serve give up.
	ChainSlack = 150 * time.Millisecond
	// firstShun and lastShun bound how long a host that failed is not asked; the
	// time doubles with each failure in a row.
	firstShun = 2 * time.Second
	lastShun  = 30 * time.Second
)

// shun is until when a host is not asked.
type shun struct {
	till time.Time
	last time.Duration
}

// hosted lets a host make a watch, so that many processes cost the store one
// call. It reports whether the host served it, or failed.
func (r *Route) hosted(ctx context.Context, call Call) (reply Reply, served, failed bool) {
	address := r.host()
	if address == "" {
		return Reply{}, false, false
	}
	limit := call.Wait + r.seams.HostSlack
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := r.seams.Ask(limited, address, call, limit)
	if ctx.Err() != nil {
		return Reply{}, false, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil && !reply.refused() {
		delete(r.shunned, address)
		return reply, true, false
	}
	last := min(lastShun, max(firstShun, 2*r.shunned[address].last))
	r.shunned[address] = shun{till: r.timers.Now().Add(last), last: last}
	return Reply{}, false, true
}

// check tries the direct way once, before a watch would wait on it.
func (r *Route) check(ctx context.Context) {
	if _, lost := r.state(); lost {
		return
	}
	limited, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	reply, err := r.seams.Direct(limited, r.seams.Probe)
	if ctx.Err() == nil && (err != nil || reply.refused()) {
		r.missed(reply, err)
	}
}

// host returns the preferred host that did not fail lately.
func (r *Route) host() string {
	if r.seams.Hosts == nil {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, address := range r.seams.Hosts() {
		if !r.timers.Now().Before(r.shunned[address].till) {
			return address
		}
	}
	return ""
}
