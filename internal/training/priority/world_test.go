package priority

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The world is a model of trainers and engines in steps of one event.
const (
	eventTime   = 50 * time.Millisecond
	startEvents = 3   // the time from the start of a run to its first event, in events
	dueEvents   = 164 // 7.5 s and 0.7 s
	periodTicks = 80  // 4 s between two batches of a trainer
	openBatches = 2   // of a trainer
	worldTicks  = 1600
	reorderTick = 4
)

// scenario is a load. Hints are the caller's: "weak" ones do not foresee stragglers.
type scenario struct {
	trainers, groups, groupSize int
	slots                       func(tick int) int
	hints                       string
}

type worldItem struct {
	hint           int64
	length, events int
	starting       int
	state          State
	group          int
}

type worldBatch struct {
	begun   int
	items   []*worldItem
	awaited []bool
	wanted  int
}

type world struct {
	scenario
	present       bool // orders as before this package
	random        *rand.Rand
	lengths       *Lengths
	batches       [][]*worldBatch  // by trainer
	carried       [][][]*worldItem // groups by trainer
	last          []int            // tick of the latest batch by trainer
	steps, inTime int
	longest       time.Duration // of the steps
	order         []*worldItem
}

func (w *world) newItem(group int) *worldItem {
	const mean = 20.0 / (11.0/12 + 5.0/12)
	length := mean * math.Exp(lengthSpread*w.random.NormFloat64()-lengthSpread*lengthSpread/2)
	known := length
	if w.random.IntN(12) == 0 {
		length *= 5
	}
	length = max(1, min(147, length))
	if w.hints != "weak" {
		known = length
	}
	item := &worldItem{length: int(math.Ceil(length)), group: group}
	if noise := math.Exp(hintSpread * w.random.NormFloat64()); w.hints != "none" {
		item.hint = max(1, int64(tokensPerEvent*known*noise))
	}
	return item
}

func (w *world) submit(trainer, tick int) {
	b := &worldBatch{begun: tick, awaited: make([]bool, w.groups)}
	for g := range w.groups {
		if g < len(w.carried[trainer]) {
			b.awaited[g] = true
			for _, item := range w.carried[trainer][g] {
				item.group = g
				b.items = append(b.items, item)
			}
			continue
		}
		for range w.groupSize {
			b.items = append(b.items, w.newItem(g))
		}
	}
	b.wanted = int(math.Ceil(0.9 * float64(w.groups)))
	w.carried[trainer] = w.carried[trainer][min(len(w.carried[trainer]), w.groups):]
	w.batches[trainer] = append(w.batches[trainer], b)
	w.last[trainer] = tick
}

// open returns all open batches, the oldest first.
func (w *world) open() []*worldBatch {
	all := slices.Concat(w.batches...)
	slices.SortStableFunc(all, func(a, b *worldBatch) int { return a.begun - b.begun })
	return all
}

func (w *world) step(b *worldBatch, tick int) Step {
	s := Step{Due: time.Duration(b.begun+dueEvents-tick) * eventTime, Wanted: b.wanted, Awaited: b.awaited}
	for _, item := range b.items {
		left := w.lengths.Remaining(item.hint, item.events) + float64(item.starting)
		if item.state == Waiting {
			left += startEvents
		}
		s.Items = append(s.Items, Item{Group: item.group, State: item.state, Left: time.Duration(left * float64(eventTime))})
	}
	return s
}

// reorder returns the items in the order of starts.
func (w *world) reorder(tick int) []*worldItem {
	var order []*worldItem
	open := w.open()
	if w.present {
		for _, b := range open {
			items := slices.Clone(b.items)
			slices.SortStableFunc(items, func(a, b *worldItem) int { return cmp.Compare(b.hint, a.hint) })
			order = append(order, items...)
		}
		return order
	}
	var steps []Step
	for _, b := range open {
		steps = append(steps, w.step(b, tick))
	}
	for _, p := range Order(steps) {
		order = append(order, open[p.Step].items[p.Item])
	}
	return order
}

func (w *world) play() {
	for tick := range worldTicks {
		submitted := false
		for t := range w.trainers {
			if len(w.batches[t]) < openBatches && tick-w.last[t] >= periodTicks && tick >= t*17 {
				w.submit(t, tick)
				submitted = true
			}
		}
		if submitted || tick%reorderTick == 0 {
			w.order = w.reorder(tick)
		}
		w.start(w.slots(tick))
		w.advance()
		for t := range w.trainers {
			w.endComplete(t, tick)
		}
	}
}

// start starts items while slots are free. Runs on lost slots go on elsewhere later.
func (w *world) start(slots int) {
	var running []*worldItem
	for _, b := range w.open() {
		for _, item := range b.items {
			if item.state == Running {
				running = append(running, item)
			}
		}
	}
	w.random.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	for _, item := range running[min(len(running), slots):] {
		item.state = Waiting
	}
	free := slots - len(running)
	for _, item := range w.order {
		if free <= 0 {
			break
		}
		if item.state == Waiting {
			item.state, item.starting = Running, startEvents
			free--
		}
	}
}

func (w *world) advance() {
	for _, b := range w.open() {
		for _, item := range b.items {
			switch {
			case item.state != Running:
			case item.starting > 0:
				item.starting--
			default:
				if item.events++; item.events == item.length {
					item.state = Finished
					w.lengths.Observe(item.hint, item.length)
				}
			}
		}
	}
}

// endComplete ends the batches of a trainer that have what it waits for.
func (w *world) endComplete(trainer, tick int) {
	var open []*worldBatch
	for _, b := range w.batches[trainer] {
		groups := make([][]*worldItem, w.groups)
		unfinished := make([]bool, w.groups)
		for _, item := range b.items {
			groups[item.group] = append(groups[item.group], item)
			unfinished[item.group] = unfinished[item.group] || item.state != Finished
		}
		complete, ready := 0, true
		for g := range groups {
			if !unfinished[g] {
				complete++
			}
			ready = ready && !(unfinished[g] && b.awaited[g])
		}
		if !ready || complete < b.wanted {
			open = append(open, b)
			continue
		}
		w.steps++
		w.longest = max(w.longest, time.Duration(tick-b.begun)*eventTime)
		if tick-b.begun <= dueEvents {
			w.inTime++
		}
		for g := range groups {
			if unfinished[g] {
				w.carry(trainer, groups[g])
			}
		}
	}
	w.batches[trainer] = open
}

func (w *world) carry(trainer int, group []*worldItem) {
	for _, item := range group {
		if item.state == Running {
			item.state = Waiting
		}
	}
	w.carried[trainer] = append(w.carried[trainer], group)
}

// result is the share of the steps in time, the number of steps and the longest step.
type result struct {
	share   float64
	steps   int
	longest time.Duration
}

// playScenario plays a scenario with some seeds.
func playScenario(s scenario, present bool) result {
	var r result
	inTime := 0
	for seed := range uint64(4) {
		w := &world{
			scenario: s, present: present, random: rand.New(rand.NewPCG(seed, 1)), lengths: NewLengths(),
			batches: make([][]*worldBatch, s.trainers), carried: make([][][]*worldItem, s.trainers), last: make([]int, s.trainers),
		}
		for t := range w.last {
			w.last[t] = -periodTicks
		}
		w.play()
		r.steps, inTime, r.longest = r.steps+w.steps, inTime+w.inTime, max(r.longest, w.longest)
	}
	r.share = float64(inTime) / float64(r.steps)
	return r
}
