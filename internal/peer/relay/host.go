package relay

import (
	"context"
	"errors"
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
	// maxFailedProofs is how many more hosts one call tries of those that are asked again
	// after an outage. Each that was lost costs FollowerSlack.
	maxFailedProofs = 1
)

// hostBackoff is the state of a host that failed: it is not asked before until.
// delay is the length of the current backoff. noStore reports that the host answered,
// but did not reach the store; resumed, that the backoff ended for that reason and the
// host has not answered since.
type hostBackoff struct {
	until            time.Time
	delay            time.Duration
	noStore, resumed bool
}

// callHost lets a host make a watch or shared call, so that equal ones of many
// processes cost one call to the store. It reports whether the host answered or failed;
// both are false if there is no host to ask or ctx has ended.
func (r *Route) callHost(ctx context.Context, call Call) (reply Reply, served, failed bool) {
	address, resumed := r.availableHost()
	for proofs := 0; resumed && !r.proveHost(ctx, address); proofs++ {
		if ctx.Err() != nil || proofs == maxFailedProofs {
			return Reply{}, false, ctx.Err() == nil
		}
		address, resumed = r.availableHost()
	}
	if address == "" {
		return Reply{}, false, false
	}
	limit := call.Wait + r.seams.HostSlack
	if call.Wait == 0 {
		limit = FollowerSlack // a slow store answers within 250 ms
	}
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := r.seams.Ask(limited, address, call, limit)
	if ctx.Err() != nil {
		return Reply{}, false, false
	}
	if r.noteHost(address, reply, err) {
		return reply, true, false
	}
	return Reply{}, false, true
}

// noteHost notes the reply or error of a host, and reports whether it served the call.
func (r *Route) noteHost(address string, reply Reply, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil && !reply.refused() {
		delete(r.hostBackoffs, address)
		return true
	}
	delay := min(maxHostBackoff, max(minHostBackoff, 2*r.hostBackoffs[address].delay))
	r.hostBackoffs[address] = hostBackoff{
		until: r.timers.Now().Add(delay), delay: delay, noStore: err == nil || errors.Is(err, errPeerNoStore),
	}
	return false
}

// proveHost reports whether a host that answered during an outage still answers a call
// that does not wait, also if it does not reach the store yet. The host may have been lost
// meanwhile, and a watch would wait for it until its time is up while the changes of the
// outage are not known.
func (r *Route) proveHost(ctx context.Context, address string) bool {
	limited, cancel := context.WithTimeout(ctx, FollowerSlack)
	defer cancel()
	probe := r.seams.Probe
	probe.Shared = true
	reply, err := r.seams.Ask(limited, address, probe, FollowerSlack)
	if errors.Is(err, errPeerNoStore) || err == nil && reply.refused() {
		return true
	}
	return ctx.Err() == nil && r.noteHost(address, reply, err)
}

// resumeHosts ends the backoffs of hosts that did not reach the store. Without it, all
// processes made their watches themselves for up to maxHostBackoff after an outage. It
// must be called with mu locked.
func (r *Route) resumeHosts() {
	for address, backoff := range r.hostBackoffs {
		if backoff.noStore {
			r.hostBackoffs[address] = hostBackoff{resumed: true}
		}
	}
}

// directCheck is a probe of the direct path in progress.
type directCheck struct{ finished chan struct{} }

// checkDirect probes the direct path once, so that a watch does not wait on a
// path that is down. Watches that fail at the same time share one probe.
func (r *Route) checkDirect(ctx context.Context) {
	r.mu.Lock()
	if !r.lostSince.IsZero() {
		r.mu.Unlock()
		return
	}
	check := r.check
	if check == nil {
		check = &directCheck{finished: make(chan struct{})}
		r.check = check
		go r.runCheck(check)
	}
	r.mu.Unlock()
	select {
	case <-check.finished:
	case <-ctx.Done():
	}
}

// runCheck makes the probe of checkDirect.
func (r *Route) runCheck(check *directCheck) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	reply, err := r.seams.Direct(ctx, r.seams.Probe)
	if err != nil || reply.refused() {
		r.markDirectLost(reply, err)
	}
	r.mu.Lock()
	r.check = nil
	r.mu.Unlock()
	close(check.finished)
}

// availableHost returns the first of the hosts that is not in backoff, or "", and whether
// it has not answered since an outage.
func (r *Route) availableHost() (address string, resumed bool) {
	if r.seams.Hosts == nil {
		return "", false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, address := range r.seams.Hosts() {
		if backoff := r.hostBackoffs[address]; !r.timers.Now().Before(backoff.until) {
			return address, backoff.resumed
		}
	}
	return "", false
}
