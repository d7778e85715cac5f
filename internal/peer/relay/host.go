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
)

// hostBackoff is the state of a host that failed: it is not asked before until.
// delay is the length of the current backoff. noStore reports that the host answered,
// but did not reach the store.
type hostBackoff struct {
	until   time.Time
	delay   time.Duration
	noStore bool
}

// callHost lets a host make a watch or shared call, so that equal ones of many
// processes cost one call to the store. It reports whether the host answered or failed;
// both are false if there is no host to ask or ctx has ended.
func (r *Route) callHost(ctx context.Context, call Call) (reply Reply, served, failed bool) {
	address := r.availableHost()
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
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil && !reply.refused() {
		delete(r.hostBackoffs, address)
		return reply, true, false
	}
	delay := min(maxHostBackoff, max(minHostBackoff, 2*r.hostBackoffs[address].delay))
	r.hostBackoffs[address] = hostBackoff{
		until: r.timers.Now().Add(delay), delay: delay, noStore: err == nil || errors.Is(err, errPeerNoStore),
	}
	return Reply{}, false, true
}

// resumeHosts ends the backoffs of hosts that did not reach the store. Without it, all
// processes made their watches themselves for up to maxHostBackoff after an outage. It
// must be called with mu locked.
func (r *Route) resumeHosts() {
	for address, backoff := range r.hostBackoffs {
		if backoff.noStore {
			delete(r.hostBackoffs, address)
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
