package roster

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Snapshot is the immutable state of all endpoints at one time.
type Snapshot struct {
	*index
	loads map[string]Load
}

// index is the part of a snapshot that changes only with the platform's list,
// the zones out of service and the failed endpoints. Load reports do not change
// it, so that the cost of a report depends on the number of endpoints of the
// cell, not of the fleet.
type index struct {
	revision    uint64
	byID        map[string]Endpoint
	all         []Endpoint
	byModel     map[string][]Endpoint
	byModelZone map[modelZone][]Endpoint
	failedUntil map[string]time.Time
	zonesOut    map[string]bool
}

type modelZone struct{ model, zone string }

func emptySnapshot() *Snapshot { return &Snapshot{index: buildIndex(0, nil, nil, nil)} }

// buildIndex indexes the endpoints that are not gone. The maps failedUntil and
// zonesOut become part of the index and must not be changed afterwards.
func buildIndex(revision uint64, all map[string]Endpoint, failedUntil map[string]time.Time, zonesOut map[string]bool) *index {
	x := &index{
		revision: revision, byID: make(map[string]Endpoint, len(all)), failedUntil: failedUntil, zonesOut: zonesOut,
		byModel: map[string][]Endpoint{}, byModelZone: map[modelZone][]Endpoint{},
	}
	for id, e := range all {
		if e.State != StateGone {
			x.byID[id] = e
		}
	}
	x.all = slices.SortedFunc(maps.Values(x.byID), func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	for _, e := range x.all {
		if x.Usable(e.ID) {
			x.byModel[e.Model] = append(x.byModel[e.Model], e)
			key := modelZone{e.Model, e.Zone}
			x.byModelZone[key] = append(x.byModelZone[key], e)
		}
	}
	return x
}

// Revision returns the revision of the platform's list.
func (x *index) Revision() uint64 { return x.revision }

// Get returns an endpoint that is not gone.
func (x *index) Get(id string) (Endpoint, bool) { e, ok := x.byID[id]; return e, ok }

// All returns the endpoints that are not gone, sorted by id. The slice must not
// be changed.
func (x *index) All() []Endpoint { return x.all }

// Usable reports whether new work may start on the endpoint: it is live, its
// zone is in service and it does not count as failed.
func (x *index) Usable(id string) bool {
	e, ok := x.byID[id]
	return ok && e.State == StateLive && !x.zonesOut[e.Zone] && !x.Failed(id)
}

// Failed reports whether the endpoint counts as failed.
func (x *index) Failed(id string) bool { _, failed := x.failedUntil[id]; return failed }

// Live returns the usable endpoints of a model, sorted by id. The slice must
// not be changed.
func (x *index) Live(model string) []Endpoint { return x.byModel[model] }

// LiveInZone returns the usable endpoints of a model in one zone, sorted by id.
// The slice must not be changed.
func (x *index) LiveInZone(model, zone string) []Endpoint {
	return x.byModelZone[modelZone{model, zone}]
}

// EqualExceptLoads reports whether the snapshots are equal except for load
// reports.
func (s *Snapshot) EqualExceptLoads(other *Snapshot) bool {
	return other != nil && s.index == other.index
}

// Load returns the last load report of an endpoint.
func (s *Snapshot) Load(id string) (Load, bool) { l, ok := s.loads[id]; return l, ok }
