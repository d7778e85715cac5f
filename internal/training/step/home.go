package step

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/semaphore"

	"github.com/wigeonpin/wigeonpin/internal/base/setting"
)

const (
	// keepVersions is the number of newer versions after which a group is dropped.
	keepVersions = 2
	// idleTimeout is how long a group is kept without being requested.
	idleTimeout = 10 * time.Minute
	// maxGroups and maxBytes limit the memory for groups on one instance.
	maxGroups = 32_768
	maxBytes  = 64 << 20
	// maxGenerations limits the generations of one instance that run or wait in the
	// queue. It is above the share of one of 6 instances in a step of 4,096 samples,
	// so that steps of several trainers compete in the queue, which is fair, and
	// not for these slots.
	maxGenerations = 2048
	// evictAfter is the shortest time from the last request for a group until its
	// eviction. It is longer than the interval at which a waiting pull repeats its
	// request.
	evictAfter = 2 * maxCallWait
	// groupOverhead is the size in bytes that is accounted for a group and for each
	// sample in addition to its text.
	groupOverhead = 512
	// missingOverhead is the size in bytes that is accounted for a sample that is not
	// complete: its generation waits or runs in a goroutine.
	missingOverhead = 8 << 10
)

// groupPosition is the place of a group among those of a trainer's steps.
type groupPosition struct {
	trainer, step string
	group         int
}

// groupKey identifies a group by its place and its content. A trainer that has
// restarted may use the name of a step again with other content while calls for its
// former pulls still arrive.
type groupKey struct {
	groupPosition
	model           string
	size, maxTokens int
	digest          uint64 // of the prompt
}

func newGroupKey(r *RunRequest, p *Prompt) groupKey {
	digest := p.Digest
	if p.Prompt != nil {
		digest = xxhash.Sum64String(p.GetPrompt())
	}
	return groupKey{
		groupPosition: groupPosition{r.Trainer, r.Step, int(p.Group)},
		model:         r.Model, size: int(r.GroupSize), maxTokens: int(r.MaxTokens), digest: digest,
	}
}

type stepKey struct{ trainer, step string }

// trainerState is the newest known version of a trainer.
type trainerState struct {
	version  int
	lastSeen time.Time
}

// home generates the groups that have this instance as their home instance.
type home struct {
	steps *Steps
	slots *semaphore.Weighted

	mu       sync.Mutex
	groups   map[groupKey]*group
	newest   map[groupPosition]*group // the group that was requested last
	trainers map[string]trainerState
	finished map[stepKey]chan struct{} // closed when a group of the step finishes
	bytes    int64
}

func newHome(s *Steps) *home {
	return &home{
		steps: s, slots: semaphore.NewWeighted(maxGenerations), groups: map[groupKey]*group{},
		newest:   map[groupPosition]*group{},
		trainers: map[string]trainerState{}, finished: map[stepKey]chan struct{}{},
	}
}

// observe raises the trainer's known version. The caller holds mu.
func (h *home) observe(trainer string, version int) {
	h.trainers[trainer] = trainerState{max(h.trainers[trainer].version, version), h.steps.timers.Now()}
}

// currentVersion returns the newest known version of a trainer.
func (h *home) currentVersion(trainer string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.trainers[trainer].version
}

// Run starts the requested groups that are not running yet and returns those that
// are finished. It waits for the first one.
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

// collect returns the finished groups and a channel that is closed when another
// group of the step finishes. Groups that are neither running nor finished are
// started while there is room. The rest wait without an error, because an error
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

// join returns the group and starts it unless it is running, finished or past its
// deadline. It returns nil if the group is unknown and the request has no prompt
// for it or there is no room. In the last case it sets full, so that the search
// for room, which scans all groups, is not repeated for the other groups of the
// request. The caller holds mu.
func (h *home) join(r *RunRequest, p *Prompt, setDeadline bool, full *bool) *group {
	key := newGroupKey(r, p)
	g := h.groups[key]
	if g == nil {
		if p.Prompt == nil || *full {
			return nil
		}
		if *full = !h.makeRoom(); *full {
			return nil
		}
		g = newGroup(key, r, p.GetPrompt())
		g.shared = h.newest[key.groupPosition] != nil
		h.groups[key] = g
		h.bytes += g.size()
	}
	now := h.steps.timers.Now()
	h.supersede(g, now)
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

// supersede makes g the newest group at its position. The former one belongs to
// another pull, whose trainer has restarted. It is dropped unless that pull may
// still be waiting: nobody knows which of the two pulls came first. The caller holds
// mu.
func (h *home) supersede(g *group, now time.Time) {
	former := h.newest[g.key.groupPosition]
	h.newest[g.key.groupPosition] = g
	g.superseded = false
	if former == nil || former == g {
		return
	}
	former.superseded = true
	if former.abandoned(now) {
		h.drop(former)
		h.steps.dropped.Add("superseded", 1)
	}
}

// discardOld discards the samples that are too old for a pull at the given
// version. The group is then incomplete again.
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

// tooOld reports whether a sample whose lowest version is oldest exceeds the age
// bound of a trainer at the given version.
func tooOld(oldest, version, maxAge int) bool { return version-oldest > maxAge }

// makeRoom evicts the least recently requested groups until usage is below the
// limits, and reports whether it succeeded. It spares groups that are running or
// were requested within evictAfter. The caller holds mu.
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

// drop removes a group and stops it if it is running. The caller holds mu.
func (h *home) drop(g *group) {
	if g.cancel != nil {
		g.cancel()
	}
	if h.groups[g.key] == g {
		delete(h.groups, g.key)
		h.bytes -= g.size()
	}
	if h.newest[g.key.groupPosition] == g {
		delete(h.newest, g.key.groupPosition)
	}
}

// sweep drops the groups whose trainer is keepVersions ahead, those that a trainer
// has replaced and those that nobody requested for idleTimeout. It also removes the state of steps without
// groups and of trainers that were not seen for 2*idleTimeout.
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
		case g.abandoned(now):
			h.drop(g)
			h.steps.dropped.Add("superseded", 1)
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

// notifyFinished wakes the calls that wait for groups of the step. The caller
// holds mu.
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
