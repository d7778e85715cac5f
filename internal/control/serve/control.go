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
	// leaseCandidates is the number of instances that campaign for a lease. It
	// bounds the reads of the lease object, and leaves two successors.
	leaseCandidates = 3
	peerCallLimit   = 2 * time.Second
)

// ping exchanges configuration with another instance to learn whether it
// answers. The directory is built before the configuration.
func (i *instance) ping(ctx context.Context, peer member.Instance) error {
	return i.config.Ping(ctx, peer)
}

// eligible reports whether this instance campaigns for a lease: it is among the
// first in the rendezvous order of the live instances of its zone or, for
// leases of the whole fleet, of all instances.
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

func (i *instance) fresh() bool {
	ok, _ := i.config.Fresh()
	return ok
}

// ready tells the load balancer whether to send callers here.
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

// askEndpoints asks the parent in the control tree, or else any ancestor, for
// endpoints that changed. A relay that does not reach the platform and has no
// other relay in its zone asks those of the other zones.
func (i *instance) askEndpoints(ctx context.Context, after uint64) (roster.Page, error) {
	for _, peer := range slices.Concat(i.directory.Parents(), i.directory.Abroad()) {
		limited, cancel := context.WithTimeout(ctx, peerCallLimit)
		page, err := roster.Ask(limited, i.peers, peer, after)
		cancel()
		i.outcome(peer.ID, err)
		if err == nil {
			return page, nil
		}
	}
	return roster.Page{}, code.New(code.PlatformUnavailable, "no instance passed the endpoint list on")
}

// mine reports whether this instance asks the endpoint for its load: its home
// instance does so on behalf of the cell. The pool is built after the roster.
func (i *instance) mine(e roster.Endpoint) bool { return i.pool.IsHome(e) }

// listAge is the time for which the platform's list may have changed without
// this instance's knowledge. While no instance reaches the platform, none can
// have learned of a change either, so a complete table dates the list too.
//
// An availability zone that is cut off from everything goes on serving: while
// all listed members of the zone answer each other or are proved dead, none of
// them knows a later list, and the list counts as current. What remains is an
// instance that joins the same zone, reaches the platform and reaches none of
// the others; it sees their work only in the endpoints' load reports.
func (i *instance) listAge() time.Duration {
	at := i.directory.Roll().At
	if complete := i.config.CompleteAsOf(); complete.After(at) {
		at = complete
	}
	if i.zoneAnswers() {
		return 0
	}
	return i.timers.Since(at)
}

// zoneAnswers reports whether every other listed member of the zone answers or
// is proved dead.
func (i *instance) zoneAnswers() bool {
	for _, id := range i.directory.Listed().Zone(i.settings.Zone) {
		if id == i.settings.ID {
			continue
		}
		if silence, refused := i.directory.Silent(id); silence > 0 && !refused {
			return false
		}
	}
	return true
}

// dead reports whether the process of an instance is proved to be gone.
func (i *instance) dead(id string) bool {
	_, refused := i.directory.Silent(id)
	return refused
}

func (i *instance) outcome(id string, err error) {
	i.directory.Report(id, err == nil, fleet.Refused(err))
}

// getValue, putValue and create adapt the object API to the parts that need
// plain values.
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
