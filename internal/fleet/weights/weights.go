// Package weights brings the engines to the weight versions that trainers
// name. Where engines serve several models, each engine follows one of them,
// so that a version is loaded by a share of the engines only. Few engines load
// at a time.
//
// # Usage
//
//	p := weights.New(seams, timers, log)
//	p.Name("model-a", 7)
//	p.Run(ctx, turn)
package weights

import (
	"context"
	"maps"
	"math"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/leader"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
)

const (
	// loadShare is the part of a service's engines that load at a time. The
	// others serve meanwhile, and loads get slower when more run.
	loadShare = 0.2
	// idlePeriod is how often the plan is checked without a change.
	idlePeriod = 250 * time.Millisecond
	// loadTime is the shortest duration of a load, and reportPeriod the pause
	// between two looks whether it is complete.
	loadTime     = 950 * time.Millisecond
	reportPeriod = 150 * time.Millisecond
	// loadLimit is how long a load may take before it is ordered anew.
	loadLimit = 5 * time.Second
	// failurePause keeps an engine that did not take an order out of the plan.
	failurePause = time.Second
)

// Report is what an engine says of its weights. Sequence counts the orders
// that it has accepted.
type Report struct {
	Versions map[string]int64
	Busy     bool
	Sequence int64
}

// Order asks an engine for a version of a model. Keep lets running requests go
// on under the new version; otherwise they finish first.
type Order struct {
	Model    string
	Version  int64
	Keep     bool
	Epoch    uint64
	Expected int64
}

// Verdict is an engine's answer to an order.
type Verdict int

// The verdicts.
const (
	Accepted Verdict = iota
	Holds            // the engine has that version
	Refused
)

// Seams are the functions that a planner needs.
type Seams struct {
	Fleet    *replica.Fleet
	Manifest func() *manifest.Manifest
	Report   func(ctx context.Context, e replica.Entry) (Report, error)
	Send     func(ctx context.Context, e replica.Entry, order Order) (Verdict, error)
}

// Planner orders loads.
type Planner struct {
	seams  Seams
	timers *clock.Service
	log    *logrus.Entry
	wake   chan struct{}

	mu     sync.Mutex
	named  map[string]int64
	busy   map[string]bool      // engines with a load under way
	pauses map[string]time.Time // engines that failed lately
	// follows holds the model of each engine, by service.
	follows map[string]map[string]string
}

// New returns a planner.
func New(seams Seams, timers *clock.Service, log *logrus.Entry) *Planner {
	return &Planner{
		seams: seams, timers: timers, log: log, wake: make(chan struct{}, 1),
		named: map[string]int64{}, busy: map[string]bool{},
		pauses: map[string]time.Time{}, follows: map[string]map[string]string{},
	}
}

// Name notes a version that a trainer has named.
func (p *Planner) Name(model string, version int64) {
	p.mu.Lock()
	p.named[model] = max(p.named[model], version)
	p.mu.Unlock()
	p.poke()
}

func (p *Planner) poke() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run orders loads while the turn is held, until ctx ends.
func (p *Planner) Run(ctx context.Context, turn *leader.Turn) {
	ticks := p.timers.Subscribe(idlePeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		case <-p.wake:
		}
		for _, next := range p.plan() {
			go p.load(ctx, turn, next)
		}
	}
}

// step is one load to be ordered.
type step struct {
	entry   replica.Entry
	model   string
	version int64
	keep    bool
}

// behind returns by how many versions the engine is behind.
func (s step) behind() int64 { return s.version - s.entry.Models[s.model] }

// plan picks the engines that load next: those with the oldest weights first.
func (p *Planner) plan() []step {
	m := p.seams.Manifest()
	if m == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timers.Now()
	maps.DeleteFunc(p.pauses, func(_ string, till time.Time) bool { return now.After(till) })
	var planned []step
	for _, service := range m.Services() {
		if len(service.Models) == 0 {
			continue
		}
		entries := p.seams.Fleet.Entries(service.Name)
		follows := p.assign(service, entries)
		due := p.due(entries, follows, !m.Pure(service.Name))
		for _, s := range due[:min(p.free(entries), len(due))] {
			p.busy[s.entry.ID] = true
			planned = append(planned, s)
		}
	}
	return planned
}

// due returns the loads that the engines need, those with the oldest weights
// first.
func (p *Planner) due(entries []replica.Entry, follows map[string]string, keep bool) []step {
	var due []step
	for _, e := range entries {
		model := follows[e.ID]
		version := p.named[model]
		if version > e.Models[model] && !p.busy[e.ID] && p.pauses[e.ID].IsZero() {
			due = append(due, step{entry: e, model: model, version: version, keep: keep})
		}
	}
	sort.SliceStable(due, func(i, j int) bool { return due[i].behind() > due[j].behind() })
	return due
}

// free returns how many more of the engines may load now.
func (p *Planner) free(entries []replica.Entry) int {
	loading := 0
	for _, e := range entries {
		if p.busy[e.ID] {
			loading++
		}
	}
	return max(0, max(1, int(math.Round(loadShare*float64(len(entries)))))-loading)
}

// assign lets each engine follow one model. Engines keep their model; new ones
// follow the model with the fewest engines, and one engine moves when a model
// has two more than another. It returns the model of each of the service's
// engines.
func (p *Planner) assign(service manifest.Service, entries []replica.Entry) map[string]string {
	models, former := service.Models, p.follows[service.Name]
	follows := make(map[string]string, len(entries))
	p.follows[service.Name] = follows
	sort.Slice(entries, func(i, j int) bool {
		if entries[i].Zone != entries[j].Zone {
			return entries[i].Zone < entries[j].Zone
		}
		return entries[i].ID < entries[j].ID
	})
	count := map[string]int{}
	for _, e := range entries {
		model, known := former[e.ID]
		if !known {
			model = newest(e, models)
		}
		if model != "" {
			follows[e.ID] = model
			count[model]++
		}
	}
	for _, e := range entries {
		fewest, most := extremes(models, count)
		current, known := follows[e.ID]
		if !known || (current == most && count[most] > count[fewest]+1) {
			if known {
				count[current]--
			}
			follows[e.ID] = fewest
			count[fewest]++
		}
	}
	return follows
}

// newest returns the model of which an engine has a later version than of the
// others: the one that it followed for an earlier holder of the role.
func newest(e replica.Entry, models []string) string {
	best, tie := "", false
	for _, model := range models {
		switch {
		case best == "" || e.Models[model] > e.Models[best]:
			best, tie = model, false
		case e.Models[model] == e.Models[best]:
			tie = true
		}
	}
	if tie {
		return ""
	}
	return best
}

func extremes(models []string, count map[string]int) (fewest, most string) {
	fewest, most = models[0], models[0]
	for _, model := range models {
		if count[model] < count[fewest] {
			fewest = model
		}
		if count[model] > count[most] {
			most = model
		}
	}
	return fewest, most
}

// load orders one load and waits until it is complete.
func (p *Planner) load(ctx context.Context, turn *leader.Turn, s step) {
	start := p.timers.Now()
	err := p.carryOut(ctx, turn, s)
	p.seams.Fleet.SetLoading(s.entry.ID, "")
	fields := logrus.Fields{
		logs.Endpoint: s.entry.ID, logs.Model: s.model, "version": s.version,
		"had": s.entry.Models[s.model], "took_ms": p.timers.Since(start).Milliseconds(),
	}
	p.mu.Lock()
	delete(p.busy, s.entry.ID)
	if err != nil {
		p.pauses[s.entry.ID] = p.timers.Now().Add(failurePause)
	}
	p.mu.Unlock()
	if err != nil {
		p.log.WithFields(fields).WithField(logs.Cause, err.Error()).Warn("weights not changed")
	} else {
		p.log.WithFields(fields).Info("weights changed")
	}
	p.poke()
}
