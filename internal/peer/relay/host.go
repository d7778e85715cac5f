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
	// minHostBackoff and maxHostBackoff bound how long a host that failed is not asked; the
	// time doubles with each failure in a row.
	minHostBackoff = 2 * time.Second
	maxHostBackoff = 30 * time.Second
)

// hostBackoff is until when a host is not asked.
type hostBackoff struct {
	until time.Time
	delay time.Duration
}

// callHost lets a host make a watch, so that many processes cost the store one
// call. It reports whether the host served it, or failed.
func (r *Route) callHost(ctx context.Context, call Call) (reply Reply, served, failed bool) {
	address := r.availableHost()
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
		delete(r.hostBackoffs, address)
		return reply, true, false
	}
	delay := min(maxHostBackoff, max(minHostBackoff, 2*r.hostBackoffs[address].delay))
	r.hostBackoffs[address] = hostBackoff{until: r.timers.Now().Add(delay), delay: delay}
	return Reply{}, false, true
}

// checkDirect tries the direct way once, before a watch would wait on it.
func (r *Route) checkDirect(ctx context.Context) {
	if _, lost := r.directState(); lost {
		return
	}
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := r.seams.Direct(limited, r.seams.Probe)
	if ctx.Err() == nil && (err != nil || reply.refused()) {
		r.markDirectLost(reply, err)
	}
}

// availableHost returns the preferred host that did not fail lately.
func (r *Route) availableHost() string {
	if r.seams.Hosts == nil {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, address := range r.seams.Hosts() {
		if !r.timers.Now().Before(r.hostBackoffs[address].until) {
			return address
		}
	}
	return ""
}
