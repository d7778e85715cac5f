package serve

import (
	"context"
	"slices"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
	"github.com/wigeonpin/wigeonpin/internal/peer/fleet"
	"github.com/wigeonpin/wigeonpin/internal/peer/objects"
)

const (
	// leaseCandidates is the number of instances that campaign for a lease. A
	// low number bounds the reads of the lease object; 3 leaves two successors.
	leaseCandidates = 3
	peerCallTimeout = 2 * time.Second
)

// ping exchanges configuration with another instance to check whether it
// answers. It is a method because the directory is built before i.config.
func (i *instance) ping(ctx context.Context, peer member.Instance) error {
	return i.config.Ping(ctx, peer)
}

// eligible reports whether this instance campaigns for a lease. The candidates
// are the first instances in the rendezvous order of the live instances: those
// of the zone for the zone's order lease, and of the whole fleet otherwise.
func (i *instance) eligible(name string) bool {
	view := i.directory.View()
	ids := view.IDs()
	if name == i.orderLease() {
		ids = view.Zone(i.settings.Zone)
	}
	ranked := member.Rank(name, ids)
	return slices.Contains(ranked[:min(len(ranked), leaseCandidates)], i.settings.ID)
}

func (i *instance) orderLease() string { return "orders-" + i.settings.Zone }

func (i *instance) zoneOut(zone string) bool { return i.config.Table().ZoneOut(zone) }

func (i *instance) tableFresh() bool {
	ok, _ := i.config.Fresh()
	return ok
}

// ready returns an error while the load balancer must not send requests to this
// instance.
func (i *instance) ready() error {
	if !i.config.Ready() {
		return code.New(code.NotReady, "the instance has no configuration yet").WithRun(code.NotRun).WithRetryAfter(time.Second)
	}
	if i.zoneOut(i.settings.Zone) {
		return code.New(code.NotReady, "availability zone %s is out of service", i.settings.Zone).
			WithRun(code.NotRun).WithRetryAfter(time.Second)
	}
	return nil
}

// fetchEndpoints requests the endpoints that changed from the parent in the
// control tree or, if that fails, from another ancestor. The relays of other
// zones are last: a relay needs them if it cannot reach the platform and has no
// other relay in its zone.
func (i *instance) fetchEndpoints(ctx context.Context, after uint64) (roster.Page, error) {
	for _, peer := range slices.Concat(i.directory.Parents(), i.directory.RemoteRelays()) {
		callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		page, err := roster.FetchSince(callCtx, i.peers, peer, after)
		cancel()
		i.reportOutcome(peer.ID, err)
		if err == nil {
			return page, nil
		}
	}
	return roster.Page{}, code.New(code.PlatformUnavailable, "no instance passed the endpoint list on")
}

// isHome reports whether this instance is the endpoint's home instance, which
// requests its load reports on behalf of the cell. It is a method because the
// pool is built after the roster.
func (i *instance) isHome(e roster.Endpoint) bool { return i.pool.IsHome(e) }

// listAge returns the time for which the platform's list may have changed
// without this instance having learned of it. While no instance reaches the
// platform, no instance can have learned of a change, so the time up to which
// the table was complete counts for the list too.
//
// An availability zone that is cut off from everything else keeps serving: while
// all listed members of the zone answer or are proved dead, none of them knows a
// later list, and the list counts as current. One case remains: an instance that
// joins the zone, reaches the platform and reaches none of the other members. It
// sees their work only in the load reports of the endpoints.
func (i *instance) listAge() time.Duration {
	at := i.directory.List().RequestedAt
	if complete := i.config.CompleteAsOf(); complete.After(at) {
		at = complete
	}
	if i.zoneReachable() {
		return 0
	}
	return i.timers.Since(at)
}

// zoneReachable reports whether every other listed member of the zone answers or
// is proved dead.
func (i *instance) zoneReachable() bool {
	for _, id := range i.directory.Listed().Zone(i.settings.Zone) {
		if id == i.settings.ID {
			continue
		}
		if silence, refused := i.directory.Silence(id); silence > 0 && !refused {
			return false
		}
	}
	return true
}

// isDead reports whether the process of an instance is proved to be gone.
func (i *instance) isDead(id string) bool {
	_, refused := i.directory.Silence(id)
	return refused
}

func (i *instance) reportOutcome(id string, err error) {
	i.directory.Report(id, err == nil, fleet.IsConnRefused(err))
}

// getValue, putValue and create adapt the object API for components that work
// with plain values.
func (i *instance) getValue(ctx context.Context, kind, name string) (value []byte, revision uint64, found bool, err error) {
	object, found, err := i.store.Get(ctx, kind, name)
	return object.Value, object.Revision, found, err
}

func (i *instance) putValue(ctx context.Context, kind, name string, value []byte, revision uint64) (done bool, err error) {
	_, err = i.store.Put(ctx, kind, name, revision, value)
	if _, lost := objects.Conflict(err); lost {
		return false, nil
	}
	return err == nil, err
}

func (i *instance) create(ctx context.Context, kind, name string, value []byte) (held []byte, created bool, err error) {
	object, err := i.store.Put(ctx, kind, name, 0, value)
	if winner, lost := objects.Conflict(err); lost {
		return winner.Value, false, nil
	}
	return object.Value, err == nil, err
}
