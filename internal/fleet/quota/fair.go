package quota

import (
	"cmp"
	"slices"
)

// demand is the queued and running work of one account on one member, for one
// model.
type demand struct {
	account, member string
	requests        int
	weight          float64
}

// divideSlots divides whole slots between the members: max-min fair over the
// accounts by weight, and within an account in proportion to the members'
// demand. The sum of the results is at most slots. The rotation decides which
// members get the slots left over by rounding, so that over time all get their
// share.
func divideSlots(slots int, demands []demand, rotation int) map[string]int {
	accounts := map[string]*accountDemand{}
	for _, d := range demands {
		if d.requests <= 0 {
			continue
		}
		a, ok := accounts[d.account]
		if !ok {
			a = &accountDemand{weight: max(d.weight, 1e-6)}
			accounts[d.account] = a
		}
		a.demand += float64(d.requests)
	}
	waterFill(float64(slots), accounts)
	fractions := map[string]float64{}
	for _, d := range demands {
		if a := accounts[d.account]; a != nil && d.requests > 0 {
			fractions[d.member] += a.share * float64(d.requests) / a.demand
		}
	}
	return roundLargestRemainder(slots, fractions, rotation)
}

type accountDemand struct{ weight, demand, share float64 }

// waterFill gives each account the smaller of its demand and its weighted part
// of the slots still left, in order of rising demand per weight.
func waterFill(slots float64, accounts map[string]*accountDemand) {
	sorted := make([]*accountDemand, 0, len(accounts))
	total := 0.0
	for _, a := range accounts {
		sorted = append(sorted, a)
		total += a.weight
	}
	slices.SortFunc(sorted, func(a, b *accountDemand) int { return cmp.Compare(a.demand/a.weight, b.demand/b.weight) })
	for _, a := range sorted {
		a.share = min(a.demand, slots*a.weight/total)
		slots -= a.share
		total -= a.weight
	}
}

// roundLargestRemainder rounds the fractions to whole slots by the largest
// remainder method. Equal remainders are served in rotation.
func roundLargestRemainder(slots int, fractions map[string]float64, rotation int) map[string]int {
	const epsilon = 1e-9
	type part struct {
		member    string
		remainder float64
		order     int
	}
	out := make(map[string]int, len(fractions))
	parts := make([]part, 0, len(fractions))
	sum, total := 0, 0.0
	for member, fraction := range fractions {
		whole := int(fraction + epsilon)
		out[member] = whole
		sum += whole
		total += fraction
		parts = append(parts, part{member: member, remainder: fraction - float64(whole)})
	}
	slices.SortFunc(parts, func(a, b part) int { return cmp.Compare(a.member, b.member) })
	for i := range parts {
		parts[i].order = ((i-rotation)%len(parts) + len(parts)) % len(parts)
	}
	// With fewer slots than members the remainders hardly differ, and the
	// rotation alone decides. Otherwise the member with the largest fraction
	// would keep the slot.
	slices.SortFunc(parts, func(a, b part) int {
		if slots < len(parts) {
			return cmp.Compare(a.order, b.order)
		}
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(a.order, b.order))
	})
	leftover := min(slots, int(total+1-epsilon)) - sum
	for _, pt := range parts {
		if leftover <= 0 {
			break
		}
		if pt.remainder > epsilon || slots < len(parts) && out[pt.member] == 0 {
			out[pt.member]++
			leftover--
		}
	}
	return out
}
