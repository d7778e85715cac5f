// Package rollout rolls new weights out to all engines of a trainer's model. The
// holder of the trainer's lease first has each engine load the new version beside
// the running one, then has all engines switch at the same time.
//
// # Usage
//
//	rollout := rollout.New(settings, timers, seams, log)
//	go rollout.Run(ctx)
//
// Calls to an engine that fails are retried until it has the version or a later
// version is announced. Engines report the version of each chunk, so no sample is
// mislabelled in the meantime.
package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
)

// candidates is the number of instances that campaign for a trainer's lease.
// More candidates would only add calls to the platform.
const candidates = 3

// Status is an engine's report of its weight versions.
type Status struct {
	Active  int
	Loaded  []int
	Loading int
}

// has reports whether the version is loaded or active.
func (s Status) has(version int) bool {
	if s.Active == version {
		return true
	}
	for _, v := range s.Loaded {
		if v == version {
			return true
		}
	}
	return false
}

// Lease is the part of a lease that a roll-out uses. Held returns the fencing
// token, and whether this instance holds the lease.
type Lease struct {
	Held func() (fence uint64, ok bool)
}

// Seams are the functions that a Rollout depends on.
type Seams struct {
	// Hold campaigns for a lease until ctx ends.
	Hold      func(ctx context.Context, name string) Lease
	View      func() *member.View
	Table     func() *table.Table
	Endpoints func() *roster.Snapshot
	// Version returns the version that the trainer announced last, and Changed
	// a channel that is closed at the next announcement of any trainer.
	Version func(trainer string) (version int, ok bool)
	Changed func() <-chan struct{}
	// Refresh reads the announced versions from the store.
	Refresh func(ctx context.Context) error
	// CheckStored checks the weight store for a version; nil means that it is there.
	CheckStored func(ctx context.Context, trainer string, version int) error
	// Load orders an engine to load a version, Switch to serve it. Status
	// returns the engine's versions.
	Load   func(ctx context.Context, endpoint roster.Endpoint, trainer string, version int, fence uint64) error
	Switch func(ctx context.Context, endpoint roster.Endpoint, trainer string, version int, fence uint64) error
	Status func(ctx context.Context, endpoint roster.Endpoint) (Status, error)
	// RateLimited reports whether err comes from a rate limit, and the wait that the
	// answer asks for, if any.
	RateLimited func(err error) (wait time.Duration, limited bool)
}

// Rollout runs the roll-outs of the trainers whose leases this instance holds.
type Rollout struct {
	settings setting.Settings
	timers   *clock.Service
	seams    Seams
	log      *logrus.Entry

	mu       sync.Mutex
	progress map[string]Progress
}

// Progress is the state of a trainer's roll-out. Engines, Loaded and Switched
// count engines. SwitchDelay is the time from Began until the engines may switch,
// and TotalTime the time until all of them have switched.
type Progress struct {
	Version     int           `json:"version"`
	Engines     int           `json:"engines"`
	Loaded      int           `json:"loaded"`
	Switched    int           `json:"switched"`
	Began       time.Time     `json:"began"`
	SwitchDelay time.Duration `json:"together"`
	TotalTime   time.Duration `json:"whole"`
}

// New returns a Rollout.
func New(settings setting.Settings, timers *clock.Service, seams Seams, log *logrus.Entry) *Rollout {
	return &Rollout{settings: settings, timers: timers, seams: seams, log: log, progress: map[string]Progress{}}
}

// Progress returns the state of the latest roll-out of each trainer for which
// this instance runs or ran one.
func (r *Rollout) Progress() map[string]Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]Progress, len(r.progress))
	for name, p := range r.progress {
		out[name] = p
	}
	return out
}

func (r *Rollout) updateProgress(trainer string, change func(*Progress)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.progress[trainer]
	change(&p)
	r.progress[trainer] = p
}

// Run campaigns for the leases of the trainers for which this instance is a
// candidate, until ctx ends.
func (r *Rollout) Run(ctx context.Context) error {
	ticks := r.timers.Subscribe(setting.Milliseconds(r.settings.ExchangeMS))
	defer ticks.Stop()
	running := map[string]context.CancelFunc{}
	var trainers sync.WaitGroup
	defer trainers.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		candidacies := r.candidacies()
		for name, stop := range running {
			if !candidacies[name] {
				stop()
				delete(running, name)
			}
		}
		for name := range candidacies {
			if running[name] == nil {
				trainerCtx, stop := context.WithCancel(ctx)
				running[name] = stop
				trainers.Go(func() { r.runTrainer(trainerCtx, name) })
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
		}
	}
}

// candidacies returns the trainers for whose lease this instance campaigns.
func (r *Rollout) candidacies() map[string]bool {
	out := map[string]bool{}
	ids := r.seams.View().IDs()
	for name := range r.seams.Table().Trainers() {
		for rank, id := range member.Rank(LeaseName(name), ids) {
			if rank < candidates && id == r.settings.ID {
				out[name] = true
			}
		}
	}
	return out
}

// LeaseName returns the name of the lease for the weights of a trainer.
func LeaseName(trainer string) string { return "weights-" + trainer }

// runTrainer runs the roll-outs of one trainer, one version after another. A
// roll-out ends when a later version is announced or the lease is lost. Under a new
// fencing token the stored versions are read first, since an earlier holder may have
// ordered a version of which this instance has not heard.
func (r *Rollout) runTrainer(ctx context.Context, name string) {
	lease := r.seams.Hold(ctx, LeaseName(name))
	ticks := r.timers.Subscribe(watchPeriod)
	defer ticks.Stop()
	var current *run
	var readFence, lastFence uint64
	stop := func() {
		if current != nil {
			current.end()
			current = nil
		}
	}
	defer stop()
	for {
		changed := r.seams.Changed()
		fence, held := lease.Held()
		version, known := r.seams.Version(name)
		row, exists := r.seams.Table().Trainer(name)
		if current != nil && (!held || !exists || fence != current.fence || version != current.version || row.Model != current.model) {
			stop()
		}
		if held && exists && fence != readFence {
			err := r.seams.Refresh(ctx)
			if err == nil {
				readFence = fence
				continue
			}
			r.log.WithField(logs.Trainer, name).WithError(err).Warn("no roll-out before the announced versions are read")
		}
		if current == nil && held && known && exists && fence == readFence {
			current = r.begin(ctx, name, row.Model, version, fence, lease, fence != lastFence)
			lastFence = fence
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticks.C:
		}
	}
}

func (r *Rollout) begin(ctx context.Context, trainer, model string, version int, fence uint64, lease Lease, inherited bool) *run {
	u := r.prepare(trainer, model, version, fence, lease, inherited)
	u.context, u.cancel = context.WithCancel(ctx)
	u.done.Go(u.drive)
	return u
}

func (r *Rollout) prepare(trainer, model string, version int, fence uint64, lease Lease, inherited bool) *run {
	u := &run{
		rollout: r, trainer: trainer, model: model, version: version, fence: fence, lease: lease,
		began: r.timers.Now(), engines: map[string]*engine{}, loadLimit: initialLoadLimit, inherited: inherited,
		log: r.log.WithField(logs.Trainer, trainer).WithField("version", version).WithField(logs.Fence, fence),
	}
	r.updateProgress(trainer, func(p *Progress) { *p = Progress{Version: version, Began: u.began} })
	return u
}
