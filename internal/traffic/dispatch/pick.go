package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
	"github.com/wigeonpin/wigeonpin/internal/fleet/cost"
)

// The weights of the endpoint score, of which the lowest wins. A full engine
// scores 1. A call into another zone adds a few milliseconds, which matters less
// than an engine that is a quarter fuller. A fully cached prompt saves most of
// the prefill. The random part keeps instances with the same view from all
// choosing the same endpoint.
const (
	zoneWeight   = 0.25
	priceWeight  = 0.2
	randomWeight = 0.05
	unknownLoad  = 0.5
	// unevenZoneWeight takes the place of zoneWeight while endpoints differ in speed, so
	// that a call goes to another zone, where its bytes are billed, only if it ends sooner
	// there by the usual time of a call.
	unevenZoneWeight = 1.0
)

// endpointRetryAfter is the retry-after time when no endpoint is available or the
// retry budget is used up. New endpoints start within seconds, and the roster
// detects one within about a second.
const endpointRetryAfter = 2 * time.Second

// requirements are the criteria by which a request's endpoint is selected.
type requirements struct {
	account, model string
	// allowCheap allows endpoints that the platform may reclaim on short notice.
	allowCheap bool
	minVersion int
	// excluded lists endpoints that must not be used. failed lists those that failed
	// this request; they are used only if there is no other.
	excluded, failed []string
	// suspect excludes endpoints on which another suspect runs.
	suspect  bool
	prompt   string
	prefixes []prefixHash
	// deadline is when the request has to start at the latest.
	deadline time.Time
	// prefill is the prompt's fraction of the request's cost.
	prefill float64
}

type pickResult struct {
	endpoint roster.Endpoint
	slot     Slot
}

// pick acquires a slot on the best endpoint. It returns false when the request
// has to wait for a slot, and an error when no endpoint is eligible.
func (d *Dispatcher) pick(n requirements) (pickResult, bool, error) {
	eligible := d.eligible(n)
	if len(eligible) == 0 {
		return pickResult{}, false, code.New(code.NoEndpoint, "no endpoint of %q is available", n.model).
			WithRun(code.NotRun).WithRetryAfter(endpointRetryAfter)
	}
	chosen, found := d.acquireFirst(n, d.ranked(n, eligible))
	if found {
		return chosen, true, nil
	}
	return pickResult{}, false, d.checkLimits(n, eligible)
}

// eligible returns the endpoints that may run the request, whether or not they
// have a free slot.
func (d *Dispatcher) eligible(n requirements) []roster.Endpoint {
	current := d.seams.Table()
	var out []roster.Endpoint
	for _, e := range d.seams.Endpoints(n.model) {
		if e.State != roster.StateLive || current.ZoneOut(e.Zone) ||
			(e.Class == roster.ClassCheap && !n.allowCheap) || slices.Contains(n.excluded, e.ID) {
			continue
		}
		out = append(out, e)
	}
	others := slices.DeleteFunc(slices.Clone(out), func(e roster.Endpoint) bool { return slices.Contains(n.failed, e.ID) })
	if len(others) > 0 {
		return others
	}
	return out
}

type candidate struct {
	endpoint roster.Endpoint
	load     float64 // relative to its limit
	pace     float64
	score    float64
}

// ranked returns the endpoints that can start the request now, best first.
func (d *Dispatcher) ranked(n requirements, endpoints []roster.Endpoint) []roster.Endpoint {
	maxPrice := 0.0
	for _, e := range endpoints {
		maxPrice = max(maxPrice, e.PricePerHour)
	}
	now, uneven := d.timers.Now(), false
	all := make([]candidate, 0, len(endpoints))
	for _, e := range endpoints {
		if d.seams.FreeSlots(e.ID) <= 0 {
			continue
		}
		load, known := d.seams.Load(e.ID)
		if (n.minVersion > 0 && load.Version < n.minVersion) ||
			(n.suspect && d.active.suspects(e.ID) > 0) {
			continue
		}
		c := candidate{endpoint: e, load: unknownLoad, pace: d.speeds.pace(e.ID, now)}
		if known && load.Limit > 0 {
			c.load = d.inflight.load(e.ID, load, d.seams.Instances(e.Zone))
		}
		uneven = uneven || c.pace != 1
		all = append(all, c)
	}
	for i := range all {
		all[i].score = d.score(n, all[i], uneven, maxPrice)
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	out := make([]roster.Endpoint, 0, len(all))
	for _, r := range all {
		out = append(out, r.endpoint)
	}
	return out
}

// score rates an endpoint by the expected time until the request ends there, relative to
// that on an idle endpoint of usual speed, and by the preferences. uneven says that some
// endpoints differ in speed. A faster endpoint in another zone is not preferred for its
// speed, since the request would end only a little sooner.
func (d *Dispatcher) score(n requirements, c candidate, uneven bool, maxPrice float64) float64 {
	e, load, pace := c.endpoint, c.load, c.pace
	if _, known := d.seams.Load(e.ID); uneven && !known {
		// Without a load the fastest endpoint would get all requests.
		running := d.inflight.running(e.ID)
		load = float64(running) / float64(max(1, running+d.seams.FreeSlots(e.ID)))
	}
	if e.Zone != d.settings.Zone {
		pace = max(1, pace)
	}
	score := cost.Finish(cost.Queue{Ahead: load, Slots: 1}, 1, pace) - 1
	switch {
	case e.Zone == d.settings.Zone:
	case uneven:
		score += unevenZoneWeight
	default:
		score += zoneWeight
	}
	if maxPrice > 0 {
		score += priceWeight * e.PricePerHour / maxPrice
	}
	if len(n.prefixes) > 0 {
		score -= n.prefill * d.prefixes.match(e.ID, n.prefixes, len(n.prompt))
	}
	return score + randomWeight*rand.Float64()
}
