package step

import (
	"context"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"golang.org/x/sync/semaphore"

	"github.com/wigeonpin/wigeonpin/internal/base/setting"
)

const (
	// keepVersions is the number of versions after which results are dropped.
	keepVersions = 2
	// idleTimeout is how long a group stays without being asked for.
	idleTimeout = 10 * time.Minute
	// maxGroups and maxBytes bound the memory for groups on one instance.
	maxGroups = 32_768
	maxBytes  = 64 << 20
	// maxGenerations bounds the generations that one instance has started and
	// that run or wait in the queue. It is above the share of a step of 4,096
	// samples on one of 6 instances, so that steps of several trainers meet in
	// the queue, which is fair, and not here.
	maxGenerations = 2048
	// evictAfter is how long a finished group stays at least since a pull asked
	// for it, more than the interval at which a waiting pull asks again.
	evictAfter = 2 * maxCallWait
	// groupOverhead is the accounted size of a group and of a sample besides
	// its text.
	groupOverhead = 512
)

type groupKey struct {
	trainer, step string
	group         int
}

type stepKey struct{ trainer, step string }

// trainerState is the newest version known of a trainer.
type trainerState struct {
	version  int
	lastSeen time.Time
}

// home generates the groups of which this instance is the home.
type home struct {
	steps *Steps
	slots *semaphore.Weighted

	mu       sync.Mutex
	groups   map[groupKey]*group
	trainers map[string]trainerState
	finished map[stepKey]chan struct{} // closed when a group of the step finishes
	bytes    int64
}

func newHome(s *Steps) *home {
	return &home{
		steps: s, slots: semaphore.NewWeighted(maxGenerations), groups: map[groupKey]*group{},
		trainers: map[string]trainerState{}, finished: map[stepKey]chan struct{}{},
	}
}

// observe raises the trainer's version. The caller holds mu.
func (h *home) observe(trainer string, version int) {
	h.trainers[trainer] = trainerState{max(h.trainers[trainer].version, version), h.steps.timers.Now()}
}

// currentVersion returns the newest version known of a trainer.
func (h *home) currentVersion(trainer string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.trainers[trainer].version
}

// Run joins or starts the groups and returns those that are finished.
func (h *home) Run(ctx context.Context, r *RunRequest) (*RunResponse, error) {
	if r.Trainer == "" || r.Step == "" || r.Version <= 0 || r.GroupSize <= 0 || r.MaxTokens <= 0 {
		return nil, twirp.InvalidArgumentError("trainer", "the request must name trainer, step, version, size and tokens")
	}
	timeout := h.steps.timers.After(setting.Milliseconds(r.WaitMs))
	defer timeout.Stop()
	first := true
	for {
		response, changed := h.collect(r, first)
		if len(response.Groups) > 0 || len(response.Unknown) > 0 {
			return response, nil
		}
		first = false
		select {
		case <-changed:
		case <-timeout.C:
			return response, nil
		case <-ctx.Done():
			return nil, twirp.NewError(twirp.Canceled, ctx.Err().Error())
		}
	}
}

// collect returns the finished groups and a channel that is closed when
// another group of the step finishes. Groups that are neither running nor
// finished are started as far as there is room; the others wait, since an error
// would withhold the groups that are finished.
func (h *home) collect(r *RunRequest, setDeadline bool) (*RunResponse, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observe(r.Trainer, int(r.Version))
	response := &RunResponse{}
	size, full := int64(0), false
	for _, p := range r.Groups {
		g := h.join(r, p, setDeadline, &full)
		if g == nil && p.Prompt == nil {
			response.Unknown = append(response.Unknown, p.Group)
		}
		if g == nil || !g.done || (size > 0 && size+g.size() > r.Limit) {
			continue
		}
		size += g.size()
		response.Groups = append(response.Groups, finishedMessage(g))
	}
	key := stepKey{r.Trainer, r.Step}
	if h.finished[key] == nil {
		h.finished[key] = make(chan struct{})
	}
	return response, h.finished[key]
}

// join returns the group, which is running or finished afterwards, or nil when
// the group is unknown and the request has no prompt for it or there is no
// room. It sets full in the last case, because looking for room goes through
// all groups. The caller holds mu.
func (h *home) join(r *RunRequest, p *Prompt, setDeadline bool, full *bool) *group {
	key := groupKey{r.Trainer, r.Step, int(p.Group)}
	g := h.groups[key]
	if g != nil && !g.matches(r, p) {
		// The trainer uses the step's name again, for instance after a restart.
		h.drop(g)
		g = nil
	}
	if g == nil {
		if p.Prompt == nil || *full {
			return nil
		}
		if *full = !h.makeRoom(); *full {
			return nil
		}
		g = newGroup(key, r, p.GetPrompt())
		h.groups[key] = g
		h.bytes += g.size()
	}
	now := h.steps.timers.Now()
	g.lastRequested = now
	g.version = max(g.version, int(r.Version))
	g.maxAge = int(r.MaxAge)
	if setDeadline {
		g.deadline = now.Add(setting.Milliseconds(r.DeadlineMs))
	}
	if g.done {
		h.discardOld(g, int(r.Version))
	}
	if !g.done && !g.running && now.Before(g.deadline) {
		h.start(g)
	}
	return g
}

// discardOld drops the samples that are too old to be delivered to a pull at
// the given version. The group is then incomplete again.
func (h *home) discardOld(g *group, version int) {
	before := g.size()
	for k, s := range g.samples {
		if s != nil && tooOld(s.oldestVersion(), version, g.maxAge) {
			g.samples[k] = nil
			g.done = false
			h.steps.discarded.Add("age_at_delivery", 1)
		}
	}
	h.bytes += g.size() - before
}

// tooOld reports whether a sample whose smallest version is oldest exceeds the
// age bound for a trainer at the given version.
func tooOld(oldest, version, maxAge int) bool { return version-oldest > maxAge }

// makeRoom drops the finished groups that were not asked for the longest while
// the limits are reached, and reports whether there is room. The caller holds
// mu.
func (h *home) makeRoom() bool {
	now := h.steps.timers.Now()
	for len(h.groups) >= maxGroups || h.bytes >= maxBytes {
		var oldest *group
		for _, g := range h.groups {
			if !g.running && now.Sub(g.lastRequested) >= evictAfter && (oldest == nil || g.lastRequested.Before(oldest.lastRequested)) {
				oldest = g
			}
		}
		if oldest == nil {
			h.steps.refused.Add("", 1)
			return false
		}
		h.drop(oldest)
		h.steps.dropped.Add("memory", 1)
	}
	return true
}

// drop removes a group and stops it if it runs. The caller holds mu.
func (h *home) drop(g *group) {
	if g.cancel != nil {
		g.cancel()
	}
	if h.groups[g.key] == g {
		delete(h.groups, g.key)
		h.bytes -= g.size()
	}
}

// sweep drops groups whose trainer is keepVersions further and everything that
// nobody asked for in idleTimeout.
func (h *home) sweep() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.steps.timers.Now()
	used := map[stepKey]bool{}
	for _, g := range h.groups {
		switch {
		case h.trainers[g.key.trainer].version-g.version >= keepVersions:
			h.drop(g)
			h.steps.dropped.Add("version", 1)
		case !g.running && now.Sub(g.lastRequested) >= idleTimeout:
			h.drop(g)
			h.steps.dropped.Add("idle", 1)
		default:
			used[stepKey{g.key.trainer, g.key.step}] = true
		}
	}
	for key, finished := range h.finished {
		if !used[key] {
			close(finished)
			delete(h.finished, key)
		}
	}
	for name, t := range h.trainers {
		if now.Sub(t.lastSeen) >= 2*idleTimeout {
			delete(h.trainers, name)
		}
	}
}

// notifyFinished wakes the calls that wait for groups of the step. The
// caller holds mu.
func (h *home) notifyFinished(key stepKey) {
	if finished := h.finished[key]; finished != nil {
		close(finished)
		delete(h.finished, key)
	}
}

func finishedMessage(g *group) *Finished {
	out := &Finished{Group: int32(g.key.group)}
	for _, s := range g.samples {
		m := &SampleMessage{Id: s.ID, Text: s.Text, Score: s.Score, Tokens: int32(s.Tokens)}
		for _, v := range s.Versions {
			m.Versions = append(m.Versions, &RangeMessage{Version: int32(v.Version), From: int32(v.From), To: int32(v.To)})
		}
		out.Samples = append(out.Samples, m)
	}
	return out
}
