package order

import (
	"math"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/control/table"
	"github.com/wigeonpin/wigeonpin/internal/peer/capacity"
)

const (
	// utilisation is the share of the slots that is planned to be in use. The rest
	// covers the variation between two decisions.
	utilisation = 0.8
	// riseWeight and fallWeight are the weights of a new value above or below the
	// moving average.
	riseWeight = 0.6
	fallWeight = 0.2
	// shrinkDelay is how long fewer endpoints must have been sufficient before an
	// order shrinks, and maxShrinkShare the share that one decision gives up. A
	// zone that has shrunk pays a cold start when the load returns.
	shrinkDelay    = time.Minute
	maxShrinkShare = 0.25
	// minGrowthLimit and the present size bound the growth of one decision: it
	// adds at most the larger of the two, so that one wrong figure cannot order a
	// whole zone.
	minGrowthLimit = 4
	// reclaimCooldown is how long standard endpoints replace reclaimed cheap ones.
	reclaimCooldown = 5 * time.Minute
)

// need is the demand for one model in the zone.
type need struct {
	running, queued, queuedCost, fixed, served int64
}

// endpointCounts counts the endpoints of a model that the platform lists as
// starting or live.
type endpointCounts struct {
	standard, cheap int
	// reclaimed counts the cheap endpoints that the platform took back since the
	// last decision.
	reclaimed int
}

// plan is the state of the decisions for one model. A zero plan starts from the
// existing endpoints.
type plan struct {
	started     bool
	at          time.Time
	served      int64
	speed       float64   // cost per second of one slot in use
	slots       float64   // moving average of the demand in slots
	trend       float64   // change of the demand per second
	shrinkSince time.Time // start of the current shrinkDelay
	peakNeed    int       // highest need since shrinkSince
	// total is the number of endpoints needed. While ordered cheap endpoints
	// do not exist yet, standard and cheap add up to more.
	total    int
	standard int
	cheap    int
	reclaims []reclaim
}

type reclaim struct {
	at    time.Time
	count int
}

// inputs are the inputs of one decision.
type inputs struct {
	now      time.Time
	row      table.Model
	need     need
	existing endpointCounts
	lead     time.Duration
	// partial means that not all instances of the zone have answered.
	partial bool
}

// decide returns the desired number of standard and cheap endpoints.
func (p *plan) decide(in inputs) capacity.ModelTarget {
	if !p.started {
		p.started, p.at, p.served = true, in.now, in.need.served
		p.standard, p.cheap, p.total = in.existing.standard, in.existing.cheap, in.existing.standard+in.existing.cheap
		p.slots, p.shrinkSince = p.demand(in), in.now
	}
	p.smooth(in)
	if in.existing.reclaimed > 0 {
		p.reclaims = append(p.reclaims, reclaim{in.now, in.existing.reclaimed})
	}
	predicted := p.slots + max(p.trend, 0)*in.lead.Seconds()
	total := endpointsFor(predicted, in.row)
	total = p.limitChange(in, total)
	p.splitClasses(in, total)
	return capacity.ModelTarget{Model: in.row.Name, Standard: p.standard, Cheap: p.cheap}
}

// demand returns the number of slots that the running requests use and that the
// queued requests need to be done within the lead time, in which a new endpoint
// starts.
func (p *plan) demand(in inputs) float64 {
	queued := float64(in.need.queued)
	if p.speed > 0 && in.lead > 0 {
		queued = min(queued, float64(in.need.queuedCost)/(p.speed*in.lead.Seconds()))
	}
	return float64(in.need.running) + queued
}

// smooth updates the moving averages of the speed, the demand and its trend.
func (p *plan) smooth(in inputs) {
	elapsed := in.now.Sub(p.at).Seconds()
	if elapsed <= 0 {
		return
	}
	if served := in.need.served - p.served; served > 0 && in.need.running > 0 && !in.partial {
		speed := float64(served) / elapsed / float64(in.need.running)
		if p.speed == 0 {
			p.speed = speed
		}
		p.speed += fallWeight * (speed - p.speed)
	}
	p.served, p.at = in.need.served, in.now
	demand, before := p.demand(in), p.slots
	weight := fallWeight
	if demand > p.slots {
		weight = riseWeight
	}
	p.slots += weight * (demand - p.slots)
	p.trend += fallWeight * ((p.slots-before)/elapsed - p.trend)
}

// endpointsFor returns the number of endpoints that provide the slots at the
// planned utilisation.
func endpointsFor(slots float64, row table.Model) int {
	const slack = 1e-9
	return int(math.Ceil(slots/(float64(max(row.Slots, 1))*utilisation) - slack))
}

// limitChange applies the growth limit, the shrink delay and the shrink limit to
// the number of endpoints.
func (p *plan) limitChange(in inputs, total int) int {
	current := p.total
	if total >= current || in.partial {
		p.shrinkSince, p.peakNeed = in.now, 0
		return min(max(total, current), current+max(current, minGrowthLimit))
	}
	p.peakNeed = max(p.peakNeed, total)
	if in.now.Sub(p.shrinkSince) < shrinkDelay {
		return current
	}
	lowest := current - max(int(float64(current)*maxShrinkShare), 1)
	total = max(p.peakNeed, lowest)
	p.shrinkSince, p.peakNeed = in.now, 0
	return total
}

// splitClasses divides the endpoints into standard and cheap ones. Standard ones
// cover the model's floor, the requests that may not run on cheap ones, and the
// cheap ones that the platform has reclaimed within reclaimCooldown.
func (p *plan) splitClasses(in inputs, total int) {
	reclaimed := 0
	kept := p.reclaims[:0]
	for _, r := range p.reclaims {
		if in.now.Sub(r.at) < reclaimCooldown {
			kept = append(kept, r)
			reclaimed += r.count
		}
	}
	p.reclaims = kept
	floor := max(in.row.Floor, endpointsFor(float64(in.need.fixed), in.row))
	total = min(max(total, floor), in.row.Ceiling)
	p.total = total
	if !in.row.Cheap {
		p.standard, p.cheap = total, 0
		return
	}
	minStandard := min(floor+reclaimed, total)
	// Standard endpoints are kept until the cheap ones that replace them exist:
	// the platform may have none left.
	standard := max(total-in.existing.cheap, minStandard)
	if surplus := p.standard - standard; surplus > 0 {
		step := max(int(float64(p.standard)*maxShrinkShare), 1)
		if in.partial {
			step = 0
		}
		standard = min(p.standard-min(surplus, step), total)
	}
	p.standard, p.cheap = standard, total-minStandard
	if reclaimed > 0 {
		// No further cheap endpoints are ordered within reclaimCooldown.
		p.cheap = min(p.cheap, in.existing.cheap)
	}
}
