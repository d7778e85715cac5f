package share

import (
	"cmp"
	"slices"
)

// demand is the work of one account on one member.
type demand struct {
	account, member string
	requests        int
	weight          float64
}

// divide splits whole slots over the members: max-min fair over the accounts
// by weight, and within an account in proportion to the members' demand. The
// sum of the parts is at most slots. The turn decides who gets what is left
// over by rounding, so that over time all get their part.
func divide(slots int, demands []demand, turn int) map[string]int {
	accounts := map[string]*want{}
	for _, d := range demands {
		if d.requests <= 0 {
			continue
		}
		w, ok := accounts[d.account]
		if !ok {
			w = &want{weight: max(d.weight, 1e-6)}
			accounts[d.account] = w
		}
		w.demand += float64(d.requests)
	}
	fill(float64(slots), accounts)
	exact := map[string]float64{}
	for _, d := range demands {
		if w := accounts[d.account]; w != nil && d.requests > 0 {
			exact[d.member] += w.share * float64(d.requests) / w.demand
		}
	}
	return round(slots, exact, turn)
}

type want struct{ weight, demand, share float64 }

// fill gives each account the smaller of its demand and its weighted level.
func fill(slots float64, accounts map[string]*want) {
	open := make([]*want, 0, len(accounts))
	total := 0.0
	for _, w := range accounts {
		open = append(open, w)
		total += w.weight
	}
	slices.SortFunc(open, func(a, b *want) int { return cmp.Compare(a.demand/a.weight, b.demand/b.weight) })
	for _, w := range open {
		w.share = min(w.demand, slots*w.weight/total)
		slots -= w.share
		total -= w.weight
	}
}

// round turns the parts into whole slots by largest remainder. Equal
// remainders take turns.
func round(slots int, exact map[string]float64, turn int) map[string]int {
	const slack = 1e-9
	type part struct {
		member    string
		remainder float64
		place     int
	}
	out := make(map[string]int, len(exact))
	parts := make([]part, 0, len(exact))
	sum, total := 0, 0.0
	for member, x := range exact {
		whole := int(x + slack)
		out[member] = whole
		sum += whole
		total += x
		parts = append(parts, part{member: member, remainder: x - float64(whole)})
	}
	slices.SortFunc(parts, func(a, b part) int { return cmp.Compare(a.member, b.member) })
	for i := range parts {
		parts[i].place = ((i-turn)%len(parts) + len(parts)) % len(parts)
	}
	// With fewer slots than members the remainders hardly differ and the turn
	// alone decides, or the member with the largest part would keep the slot.
	slices.SortFunc(parts, func(a, b part) int {
		if slots < len(parts) {
			return cmp.Compare(a.place, b.place)
		}
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(a.place, b.place))
	})
	left := min(slots, int(total+1-slack)) - sum
	for _, q := range parts {
		if left <= 0 {
			break
		}
		if q.remainder > slack || slots < len(parts) && out[q.member] == 0 {
			out[q.member]++
			left--
		}
	}
	return out
}
