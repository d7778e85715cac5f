// Package weights updates the engines to the weight versions that trainers
// announce. Where engines serve several models, each engine is assigned one of
// them, so that only a share of the engines loads a version. Few engines load at
// a time.
//
// # Usage
//
//	p := weights.New(seams, timers, log)
//	p.Announce("model-a", 7)
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
	// maxLoadingShare is the share of a service's engines that load at a time. The
	// others serve in the meantime, and loads slow down when more of them run.
	maxLoadingShare = 0.2
	// planPeriod is the period in which the plan is checked when nothing changes.
	planPeriod = 250 * time.Millisecond
	// minLoadTime is the shortest duration of a load, and pollPeriod the pause
	// between two checks whether it is complete.
	minLoadTime = 950 * time.Millisecond
	pollPeriod  = 150 * time.Millisecond
	// streamPollPeriod is the pause between two checks whether a stream of the
	// engine has shown the version.
	streamPollPeriod = 50 * time.Millisecond
	// loadTimeout is how long a load may take before it is ordered again.
	loadTimeout = 5 * time.Second
	// failureBackoff is how long an engine gets no order after a failed load.
	failureBackoff = time.Second
)

// Report is an engine's report of its weights. Busy means that it carries out an
// order. Sequence counts the orders that it has accepted.
type Report struct {
	Versions map[string]int64
	Busy     bool
	Sequence int64
}

// Order orders an engine to load a version of a model. With KeepRequests, running
// requests continue under the new version; otherwise they finish first. Epoch is the
// fencing token. Expected is the engine's Sequence for which the order is valid.
type Order struct {
	Model        string
	Version      int64
	KeepRequests bool
	Epoch        uint64
	Expected     int64
}

// Verdict is an engine's answer to an order.
type Verdict int

// The verdicts on an order.
const (
	Accepted      Verdict = iota
	AlreadyLoaded         // the engine already has that version
	Refused
)

// Seams are the functions that a Planner depends on.
type Seams struct {
	Fleet    *replica.Fleet
	Manifest func() *manifest.Manifest
	Report   func(ctx context.Context, e replica.Entry) (Report, error)
	Send     func(ctx context.Context, e replica.Entry, order Order) (Verdict, error)
	// Demand measures the work for each model; nil means that all have the same.
	Demand *Demand
}

// Planner plans the loads of weight versions and orders them from the engines.
type Planner struct {
	seams  Seams
	timers *clock.Service
	log    *logrus.Entry
	wake   chan struct{}

	mu           sync.Mutex
	announced    map[string]int64
	loading      map[string]bool      // engines with a load in progress
	silent       map[string]bool      // engines whose load is in progress and that did not answer
	backoffUntil map[string]time.Time // engines with a recent failed load
	// assignments holds the model of each engine, by service and engine ID.
	assignments map[string]map[string]string
	// unbalancedSince is when one model of a service was first found to have too
	// few engines and another one too many.
	unbalancedSince map[string]time.Time
}

// New returns a Planner.
func New(seams Seams, timers *clock.Service, log *logrus.Entry) *Planner {
	if seams.Demand == nil {
		seams.Demand = NewDemand(timers)
	}
	return &Planner{
		seams: seams, timers: timers, log: log, wake: make(chan struct{}, 1),
		announced: map[string]int64{}, loading: map[string]bool{}, silent: map[string]bool{},
		backoffUntil: map[string]time.Time{}, assignments: map[string]map[string]string{},
		unbalancedSince: map[string]time.Time{},
	}
}

// Announce records a version that a trainer has announced.
func (p *Planner) Announce(model string, version int64) {
	p.mu.Lock()
	p.announced[model] = max(p.announced[model], version)
	p.mu.Unlock()
	p.wakeUp()
}

// wakeUp makes Run plan again without waiting for the next planPeriod.
func (p *Planner) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run plans and orders loads until ctx ends. Orders are sent only while turn is
// held.
func (p *Planner) Run(ctx context.Context, turn *leader.Tenure) {
	ticks := p.timers.Subscribe(planPeriod)
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

// loadTask is one load to be ordered from an engine.
type loadTask struct {
	entry   replica.Entry
	model   string
	version int64
	keep    bool
}

// versionsBehind returns by how many versions the engine is behind.
func (s loadTask) versionsBehind() int64 { return s.version - s.entry.Models[s.model] }

// plan picks the engines that load next, those furthest behind first, and marks
// them as loading.
func (p *Planner) plan() []loadTask {
	m := p.seams.Manifest()
	if m == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timers.Now()
	maps.DeleteFunc(p.backoffUntil, func(_ string, until time.Time) bool { return now.After(until) })
	var planned []loadTask
	for _, service := range m.Services() {
		if len(service.Models) == 0 {
			continue
		}
		entries := p.seams.Fleet.Entries(service.Name)
		assigned := p.assignModels(service, entries)
		pending := p.pendingLoads(entries, assigned, !m.SingleVersion(service.Name))
		for _, s := range pending[:min(p.loadCapacity(entries), len(pending))] {
			p.loading[s.entry.ID] = true
			planned = append(planned, s)
		}
	}
	return planned
}

// pendingLoads returns the loads that the engines need, those furthest behind
// first.
func (p *Planner) pendingLoads(entries []replica.Entry, assigned map[string]string, keep bool) []loadTask {
	var pending []loadTask
	for _, e := range entries {
		model := assigned[e.ID]
		version := p.announced[model]
		if version > e.Models[model] && !p.loading[e.ID] && p.backoffUntil[e.ID].IsZero() && !p.seams.Fleet.ZoneAvoided(e.Zone) {
			pending = append(pending, loadTask{entry: e, model: model, version: version, keep: keep})
		}
	}
	sort.SliceStable(pending, func(i, j int) bool { return pending[i].versionsBehind() > pending[j].versionsBehind() })
	return pending
}

// loadCapacity returns how many more of the engines may load now. Engines that do
// not answer while they load do not hold back the others.
func (p *Planner) loadCapacity(entries []replica.Entry) int {
	loading := 0
	for _, e := range entries {
		if p.loading[e.ID] && !p.silent[e.ID] && !p.seams.Fleet.ZoneAvoided(e.Zone) {
			loading++
		}
	}
	return max(0, max(1, int(math.Round(maxLoadingShare*float64(len(entries)))))-loading)
}

// load runs one load and logs the result. After a failure the engine gets no order
// for failureBackoff.
func (p *Planner) load(ctx context.Context, turn *leader.Tenure, s loadTask) {
	start := p.timers.Now()
	err := p.runLoad(ctx, turn, s)
	p.seams.Fleet.SetLoading(s.entry.ID, "")
	fields := logrus.Fields{
		logs.Endpoint: s.entry.ID, logs.Model: s.model, "version": s.version,
		"had": s.entry.Models[s.model], "took_ms": p.timers.Since(start).Milliseconds(),
	}
	p.mu.Lock()
	delete(p.loading, s.entry.ID)
	delete(p.silent, s.entry.ID)
	if err != nil {
		p.backoffUntil[s.entry.ID] = p.timers.Now().Add(failureBackoff)
	}
	p.mu.Unlock()
	if err != nil {
		p.log.WithFields(fields).WithField(logs.Cause, err.Error()).Warn("weights not changed")
	} else {
		p.log.WithFields(fields).Info("weights changed")
	}
	p.wakeUp()
}
