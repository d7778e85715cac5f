package runner

import (
	"context"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

// passed are the lengths of time that the scheduler lets pass at once, and stretches the
// numbers of stages of calls.
var (
	passed    = []time.Duration{10 * time.Millisecond, 200 * time.Millisecond, 460 * time.Millisecond, 1010 * time.Millisecond}
	stretches = []int{1, 2, 4, 7}
)

// maxOptions is the usual number of possible events.
const maxOptions = 96

// option is a possible next event. Its weight is its share of the choices.
type option struct {
	name   string
	weight float64
	run    func()
}

// place returns the place of the option in the order of a choice; the first one is
// chosen. It depends on this option alone, so that a choice stays the same if another
// event is left out before it.
func (o option) place(choice uint16) float64 {
	hash := xxhash.Sum64String(o.name) ^ uint64(choice)*0x9e3779b97f4a7c15
	hash = (hash ^ hash>>31) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>29) * 0x94d049bb133111eb
	hash ^= hash >> 32
	return -math.Log((float64(hash>>11)+0.5)/(1<<53)) / o.weight
}

// step executes one event of those that are possible. A choice of 0 is the one without
// a fault: a call proceeds, or time passes.
func (w *world) step(choice uint16) {
	w.settle()
	if choice == 0 {
		w.proceedOrAdvance()
		return
	}
	first, at := option{}, math.Inf(1)
	for _, o := range w.options() {
		if place := o.place(choice); place < at {
			first, at = o, place
		}
	}
	first.run()
}

// proceedOrAdvance lets the oldest call that can proceed reach its next stage, or time
// pass.
func (w *world) proceedOrAdvance() {
	if f := w.oldest(); f != nil {
		w.proceed(f)
		return
	}
	w.advance(passed[0])
}

// options returns the possible events in a fixed order.
func (w *world) options() []option {
	options := make([]option, 0, maxOptions)
	for _, by := range passed {
		options = append(options, option{"pass " + by.String(), 10, func() { w.run(by) }})
	}
	for _, count := range stretches {
		options = append(options, option{"proceed " + strconv.Itoa(count), 6, func() {
			for range count {
				w.proceedOrAdvance()
				w.settle()
			}
		}})
	}
	for _, f := range w.flights {
		options = append(options, w.flightOptions(f)...)
	}
	for _, f := range w.late {
		options = append(options, option{"apply " + f.what, 4, func() { w.applyLate(f) }})
	}
	if !w.submitted {
		options = append(options, option{"submit", 10, func() { w.submit(w.entries[0]) }})
	}
	for _, p := range slices.Concat(w.entries, w.workers) {
		options = append(options, w.pauseOption(p))
	}
	for _, p := range w.workers {
		options = append(options, w.workerOptions(p)...)
	}
	return append(options, w.readOptions()...)
}

// readOptions returns the reads that may begin.
func (w *world) readOptions() []option {
	var options []option
	if w.reads == searchReads {
		return options
	}
	positions := searchItems
	if w.theme.firstOnly() {
		positions = 1
	}
	for _, p := range w.entries {
		for after := range positions {
			weight, name := 5/float64(positions), p.name+" "+strconv.Itoa(after)
			options = append(options, option{"read " + name, weight, func() { w.read(p, after, 0, false) }})
			if !w.theme.shortReads() {
				options = append(options, option{"wait " + name, weight, func() { w.read(p, after, time.Second, false) }})
			}
		}
	}
	return options
}

// flightOptions returns what may happen to a call.
func (w *world) flightOptions(f *flight) []option {
	var options []option
	name := f.process.name + " " + f.what
	if f.canProceed() {
		options = append(options, option{"proceed " + name, 2, func() { w.proceed(f) }})
	}
	if f.stages[0].at == f.process && !f.process.paused {
		options = append(options, option{"pause at " + name, 2, func() { w.pause(f.process) }})
	}
	if f.lost || f.unsent || w.theme.reliable() {
		return options
	}
	if f.refuse != nil {
		options = append(options, option{"refuse " + name, 2, func() {
			w.notef("call %d of %s (%s): the store refuses it", f.number, f.process.name, f.what)
			f.refuse()
		}})
	}
	if !f.deadline.IsZero() {
		options = append(options, option{"lose " + name, 4, func() {
			w.notef("call %d of %s (%s): nothing of it arrives any more", f.number, f.process.name, f.what)
			f.lost = true
		}})
	}
	return options
}

func (w *world) pauseOption(p *process) option {
	if !p.paused {
		weight := 2.0
		if w.theme.manyPauses() {
			weight = 6
		}
		return option{"pause " + p.name, weight, func() { w.pause(p) }}
	}
	return option{"wake " + p.name, 6, func() {
		w.notef("%s wakes up", p.name)
		p.paused = false
		for _, f := range w.flights {
			if f.process == p {
				f.unsent = false
			}
		}
	}}
}

func (w *world) pause(p *process) {
	w.notef("%s is paused", p.name)
	p.paused = true
}

// workerOptions returns what may happen to a worker.
func (w *world) workerOptions(p *process) []option {
	var options []option
	if !p.held.Load() && !p.paused && !w.theme.stableRole() {
		options = append(options, option{"role " + p.name, 3, func() { w.takeRole(p) }})
	}
	if p.active && !p.held.Load() && !p.paused {
		options = append(options, option{"lost " + p.name, 3, func() {
			w.notef("%s learns that it has lost the role", p.name)
			p.active = false
			p.runner.SetActive(w.ctx, false)
		}})
	}
	if p.paused || w.written[batch.KindBatches+"/b1"].IsZero() {
		return options
	}
	if !p.knows {
		return append(options, option{"batch " + p.name, 20, func() { w.tellOfBatch(p) }})
	}
	if p.active && !p.ended {
		for i := range searchItems {
			if !p.done[i] {
				options = append(options, option{"item " + strconv.Itoa(i) + " " + p.name, 6, func() { w.finish(p, i) }})
			}
		}
	}
	if p.ended && w.removable() {
		options = append(options, option{"remove " + p.name, 8, func() { w.remove(p) }})
	}
	if !p.ended {
		options = append(options, option{"end " + p.name, 2, func() {
			w.notef("%s learns that the batch has ended", p.name)
			p.ended = true
			p.runner.End(w.ctx, "b1")
		}})
	}
	return options
}

// removable reports whether a worker removes the batch now.
func (w *world) removable() bool {
	if w.removing || w.acceptedAt.IsZero() {
		return false
	}
	return w.variant == wrongClock || time.Since(w.acceptedAt) > w.theme.retention()+searchMargin
}

// tellOfBatch makes a worker learn of the batch by its watch.
func (w *world) tellOfBatch(p *process) {
	w.notef("%s learns of the batch", p.name)
	p.knows = true
	r, err := w.ledger.Store().Get(w.ctx, batch.KindBatches, "b1")
	if err != nil {
		return
	}
	b, err := batch.NewStore(w.ledger.Store(), 1<<20).FromRecord(w.ctx, r)
	if err != nil {
		panic(err) // the batch has no parts
	}
	p.runner.Add(w.ctx, b, true)
}

// finish makes the result of an item ready at a worker.
func (w *world) finish(p *process, number int) {
	p.done[number] = true
	id := "item" + strconv.Itoa(number+1)
	w.notef("%s completes %s", p.name, id)
	p.runner.post(w.ctx, func(context.Context) {
		j := p.runner.findJob("b1")
		if j == nil || !j.loaded || j.byID[id].state != statePending {
			return
		}
		p.runner.completeItem(j.byID[id], batch.Result{ID: id, Done: true, Output: "by " + p.name})
	})
}
