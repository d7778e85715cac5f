package order

import (
	"math"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/control/table"
	"github.com/wigeonpin/wigeonpin/internal/peer/capacity"
)

const (
	// utilisation is the part of the slots that is planned to be in use; the
	// rest covers the variation between two decisions.
	utilisation = 0.8
	// rise and fall weight a new value above or below the smoothed one.
	rise = 0.6
	fall = 0.2
	// shrinkAfter is how long less must have been enough before an order
	// shrinks, and shrinkPart the part that one decision gives up. A shrunk
	// zone pays a cold start when the work comes back.
	shrinkAfter = time.Minute
	shrinkPart  = 0.25
	// growLeast bounds the growth of one decision together with the present
	// size, so that one wrong figure cannot order a whole zone.
	growLeast = 4
	// distrust is how long standard endpoints stand in for reclaimed cheap
	// ones.
	distrust = 5 * time.Minute
)

// need is the demand for one model in the zone.
type need struct {
	running, queued, queuedCost, fixed, served int64
}

// present counts the endpoints that the platform lists as starting or live.
type present struct {
	standard, cheap int
	// reclaimed counts the cheap endpoints that left in the last period.
	reclaimed int
}

// plan is the state of the decisions for one model. Its zero value starts from
// the endpoints that are present.
type plan struct {
	started bool
	at      time.Time
	served  int64
	speed   float64 // cost per second of one slot in use
	slots   float64 // smoothed demand in slots
	trend   float64 // change of the demand per second
	enough  time.Time
	peak    int // highest need since enough
	// total is the number of endpoints needed. While cheap ones have not come,
	// more are ordered in sum.
	total    int
	standard int
	cheap    int
	losses   []loss
}

type loss struct {
	at    time.Time
	count int
}

// inputs are what one decision is made from.
type inputs struct {
	now  time.Time
	row  table.Model
	need need
	have present
	lead time.Duration
	// partial: not all instances of the zone have answered.
	partial bool
}

// decide returns the desired number of endpoints.
func (p *plan) decide(in inputs) capacity.Model {
	if !p.started {
		p.started, p.at, p.served = true, in.now, in.need.served
		p.standard, p.cheap, p.total = in.have.standard, in.have.cheap, in.have.standard+in.have.cheap
		p.slots, p.enough = p.demand(in), in.now
	}
	p.follow(in)
	if in.have.reclaimed > 0 {
		p.losses = append(p.losses, loss{in.now, in.have.reclaimed})
	}
	ahead := p.slots + max(p.trend, 0)*in.lead.Seconds()
	total := endpoints(ahead, in.row)
	total = p.steady(in, total)
	p.split(in, total)
	return capacity.Model{Model: in.row.Name, Standard: p.standard, Cheap: p.cheap}
}

// demand is the number of slots that the running work uses and the queued work
// needs to be done within the lead time, which a new endpoint takes to start.
func (p *plan) demand(in inputs) float64 {
	queued := float64(in.need.queued)
	if p.speed > 0 && in.lead > 0 {
		queued = min(queued, float64(in.need.queuedCost)/(p.speed*in.lead.Seconds()))
	}
	return float64(in.need.running) + queued
}

func (p *plan) follow(in inputs) {
	elapsed := in.now.Sub(p.at).Seconds()
	if elapsed <= 0 {
		return
	}
	if served := in.need.served - p.served; served > 0 && in.need.running > 0 && !in.partial {
		speed := float64(served) / elapsed / float64(in.need.running)
		if p.speed == 0 {
			p.speed = speed
		}
		p.speed += fall * (speed - p.speed)
	}
	p.served, p.at = in.need.served, in.now
	demand, before := p.demand(in), p.slots
	weight := fall
	if demand > p.slots {
		weight = rise
	}
	p.slots += weight * (demand - p.slots)
	p.trend += fall * ((p.slots-before)/elapsed - p.trend)
}

func endpoints(slots float64, row table.Model) int {
	const slack = 1e-9
	return int(math.Ceil(slots/(float64(max(row.Slots, 1))*utilisation) - slack))
}

// steady applies the limits and the hysteresis to the number of endpoints.
func (p *plan) steady(in inputs, total int) int {
	now := p.total
	if total >= now || in.partial {
		p.enough, p.peak = in.now, 0
		return min(max(total, now), now+max(now, growLeast))
	}
	p.peak = max(p.peak, total)
	if in.now.Sub(p.enough) < shrinkAfter {
		return now
	}
	least := now - max(int(float64(now)*shrinkPart), 1)
	total = max(p.peak, least)
	p.enough, p.peak = in.now, 0
	return total
}

// split divides the endpoints into standard and cheap ones. Standard ones
// carry the model's floor, the work that may not run on cheap ones, and what
// the platform has reclaimed lately.
func (p *plan) split(in inputs, total int) {
	lost := 0
	kept := p.losses[:0]
	for _, l := range p.losses {
		if in.now.Sub(l.at) < distrust {
			kept = append(kept, l)
			lost += l.count
		}
	}
	p.losses = kept
	floor := max(in.row.Floor, endpoints(float64(in.need.fixed), in.row))
	total = min(max(total, floor), in.row.Ceiling)
	p.total = total
	if !in.row.Cheap {
		p.standard, p.cheap = total, 0
		return
	}
	least := min(floor+lost, total)
	// Standard endpoints stay until the cheap ones that replace them are there:
	// the platform may have none left.
	standard := max(total-in.have.cheap, least)
	if less := p.standard - standard; less > 0 {
		step := max(int(float64(p.standard)*shrinkPart), 1)
		if in.partial {
			step = 0
		}
		standard = min(p.standard-min(less, step), total)
	}
	p.standard, p.cheap = standard, total-least
	if lost > 0 {
		// After a reclaim no further cheap endpoints are ordered for a time.
		p.cheap = min(p.cheap, in.have.cheap)
	}
}
