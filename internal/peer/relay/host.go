package relay

import (
	"context"
	"time"
)

const (
	// FollowerSlack is the value of Seams.HostSlack for processes that host no
	// watches.
	FollowerSlack = 300 * time.Millisecond
	// ChainSlack is the value of Seams.HostSlack for processes that host watches
	// and let another host make them. It is shorter than FollowerSlack, so that
	// they can fall back before the processes that they serve time out.
	ChainSlack = 150 * time.Millisecond
	// minHostBackoff and maxHostBackoff bound how long a host that failed is not
	// asked. The time doubles with each consecutive failure.
	minHostBackoff = 2 * time.Second
	maxHostBackoff = 30 * time.Second
)

// hostBackoff is the state of a host that failed: it is not asked before until.
// delay is the length of the current backoff.
type hostBackoff struct {
	until time.Time
	delay time.Duration
}

// callHost lets a host make a watch, so that equal watches of many processes
// cost one call to the store. It reports whether the host answered or failed;
// both are false if there is no host to ask or ctx has ended.
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

// checkDirect probes the direct path once, so that a watch does not wait on a
// path that is down.
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

// availableHost returns the first of the hosts that is not in backoff, or "".
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
