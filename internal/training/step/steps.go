package step

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
	"github.com/wigeonpin/wigeonpin/internal/peer/fleet"
	"github.com/wigeonpin/wigeonpin/internal/peer/scorer"
)

const (
	sweepInterval = 10 * time.Second
	// maxCallWait is the longest time that one call to a home instance waits for
	// finished groups. A home instance that has not responded callGrace after the
	// end of the pull, or 2*callGrace after the wait of the call, is avoided for
	// avoidDuration.
	maxCallWait   = 2 * time.Second
	callGrace     = time.Second
	avoidDuration = 10 * time.Second
	// gatherDelay is how long a pull waits for groups of other home instances
	// after it has received the first groups.
	gatherDelay = 20 * time.Millisecond
	// responseTextLimit limits the size of the texts in one response in bytes. Each
	// home instance may exceed its share to return at least one group. The next
	// pull returns the rest.
	responseTextLimit = 8 << 20
)

// Seams holds the functions of other components that Steps calls.
type Seams struct {
	// View returns the live members.
	View func() *member.View
	// Client sends calls to other instances.
	Client *http.Client
	// Generate runs a job, passes each chunk to sink in order and stops when sink
	// returns an error.
	Generate func(ctx context.Context, job Job, sink func(Chunk) error) (Result, error)
	// Score returns the scores in the order of the samples. If nil, samples are not
	// scored.
	Score func(ctx context.Context, samples []scorer.Sample) ([]float64, error)
	// CheckAllowed returns an error if a trainer may no longer generate; may be nil.
	CheckAllowed func(trainer string) error
	// Get and Put access the platform's store. Put writes only if the object has
	// the given revision, or does not exist when the revision is 0.
	Get func(ctx context.Context, kind, name string) (value []byte, revision uint64, found bool, err error)
	Put func(ctx context.Context, kind, name string, value []byte, revision uint64) (written bool, err error)
	// Report records the outcome of a call to an instance; may be nil.
	Report func(id string, alive, refused bool)
	// Call calls the Run method of an instance. If nil, it is called with Client.
	Call func(ctx context.Context, to member.Instance, request *RunRequest) (*RunResponse, error)
}

// Steps serves the pulls of trainers and generates the groups that have this
// instance as their home instance.
type Steps struct {
	settings setting.Settings
	timers   *clock.Service
	seams    Seams
	log      *logrus.Entry
	home     *home

	// baseCtx is the context of all running groups.
	baseCtx context.Context
	cancel  context.CancelFunc
	runs    sync.WaitGroup

	mu           sync.Mutex
	unresponsive map[string]time.Time // when a home instance last failed to respond

	delivered, discarded, dropped, refused, hedged, scoreFailed *meter.Counter
}

// New returns a Steps without groups. Run must be called to drop groups that are
// no longer needed.
func New(settings setting.Settings, timers *clock.Service, seams Seams, meters *meter.Set, log *logrus.Entry) *Steps {
	s := &Steps{
		settings: settings, timers: timers, seams: seams, log: log, unresponsive: map[string]time.Time{},
		delivered: meters.Counter("samples_delivered"), discarded: meters.Counter("samples_discarded"),
		dropped: meters.Counter("groups_dropped"), refused: meters.Counter("groups_refused"), hedged: meters.Counter("samples_hedged"),
		scoreFailed: meters.Counter("score_failures"),
	}
	s.baseCtx, s.cancel = context.WithCancel(context.Background())
	s.home = newHome(s)
	if s.seams.Report == nil {
		s.seams.Report = func(string, bool, bool) {}
	}
	if s.seams.Call == nil {
		s.seams.Call = func(ctx context.Context, to member.Instance, r *RunRequest) (*RunResponse, error) {
			return NewHomesProtobufClient(fleet.URL(to.Peer), seams.Client).Run(ctx, r)
		}
	}
	return s
}

// Server returns the twirp handler for the calls of other instances.
func (s *Steps) Server() http.Handler { return NewHomesServer(s.home) }

// Run periodically drops groups that are no longer needed. When ctx ends, it stops
// all groups and returns.
func (s *Steps) Run(ctx context.Context) error {
	ticks := s.timers.Subscribe(sweepInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			s.Close()
			return ctx.Err()
		case <-ticks.C:
			s.home.sweep()
		}
	}
}

// Close stops all groups, waits for them and prevents new ones from starting.
func (s *Steps) Close() {
	s.home.mu.Lock()
	s.cancel()
	s.home.mu.Unlock()
	s.runs.Wait()
}

// Pull returns finished groups that the trainer does not have. It waits for the
// first one for at most the wait of the request.
func (s *Steps) Pull(ctx context.Context, trainer table.Trainer, request Pull) (Groups, error) {
	if err := request.check(); err != nil {
		return Groups{}, err
	}
	missing := request.missing()
	if len(missing) == 0 {
		return Groups{Groups: []Group{}, Complete: true}, nil
	}
	p := s.newPullState(trainer, request)
	groups, err := p.gather(ctx, missing)
	if err != nil {
		return Groups{}, err
	}
	for _, g := range groups {
		s.delivered.Add(trainer.Name, int64(len(g.Samples)))
	}
	return Groups{Groups: groups, Complete: len(groups) == len(missing)}, nil
}

// pullState is the state of one pull.
type pullState struct {
	steps     *Steps
	trainer   table.Trainer
	request   Pull
	waitEnd   time.Time
	deadline  time.Time
	results   chan callResult
	pending   map[string]int // calls without a result, by instance
	textLimit int64          // largest size of the texts in one response
}

// homeCall is a call to the home instance of groups.
type homeCall struct {
	to           member.Instance
	groups       []int
	promptsKnown bool // the home instance has the prompts
	isRetry      bool // the call repeats one whose response was lost
}

type callResult struct {
	homeCall
	response *RunResponse
	err      error
	// responseLost reports a failure other than a refused connection or a timeout,
	// after which the home instance may be healthy. The call is then repeated there
	// once, because another home instance would generate the groups again.
	responseLost bool
}

func (s *Steps) newPullState(trainer table.Trainer, request Pull) *pullState {
	now := s.timers.Now()
	limit := setting.Milliseconds(s.settings.DeadlineMaxMS)
	if requested := setting.Milliseconds(request.DeadlineMS); requested > 0 {
		limit = min(limit, requested)
	}
	return &pullState{
		steps: s, trainer: trainer, request: request, results: make(chan callResult), pending: map[string]int{},
		waitEnd:  now.Add(min(limit, setting.Milliseconds(request.WaitMS))),
		deadline: now.Add(limit),
	}
}

// gather calls the home instances of the groups until the first groups are
// finished or the wait is over.
func (p *pullState) gather(ctx context.Context, missing []int) ([]Group, error) {
	ctx, cancel := context.WithCancel(ctx)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	start := func(c homeCall) {
		p.pending[c.to.ID]++
		calls.Go(func() { p.call(ctx, c) })
	}
	first := p.assign(missing)
	p.textLimit = responseTextLimit / int64(max(1, len(first)))
	for _, c := range first {
		start(c)
	}
	if len(p.pending) == 0 {
		return nil, code.New(code.NotReady, "no instance is listed").WithRetryAfter(time.Second)
	}
	timeout := p.steps.timers.After(p.waitEnd.Sub(p.steps.timers.Now()) + callGrace)
	defer func() { timeout.Stop() }()
	groups := []Group{}
	var lastErr error
	for len(p.pending) > 0 {
		select {
		case r := <-p.results:
			if p.pending[r.to.ID]--; p.pending[r.to.ID] == 0 {
				delete(p.pending, r.to.ID)
			}
			found := p.deliverable(r.response)
			if len(found) > 0 && len(groups) == 0 {
				timeout.Stop()
				timeout = p.steps.timers.After(gatherDelay)
			}
			groups = append(groups, found...)
			if r.err != nil {
				lastErr = r.err
			}
			for _, next := range p.followUps(r) {
				start(next)
			}
		case <-timeout.C:
			if len(groups) == 0 {
				p.avoidPending()
			}
			return groups, nil
		case <-ctx.Done():
			return groups, eris.Wrap(ctx.Err(), "pull")
		}
	}
	if len(groups) == 0 && lastErr != nil {
		return nil, code.New(code.NotReady, "no home instance answers: %s", lastErr).WithRetryAfter(time.Second)
	}
	return groups, nil
}

// assign distributes groups to their home instances. It skips instances that
// recently failed to respond while there are others.
func (p *pullState) assign(groups []int) []homeCall {
	view := p.steps.seams.View()
	ids := p.steps.homeCandidates(view)
	byHome := map[string]int{}
	var calls []homeCall
	for _, g := range groups {
		home := member.First(groupName(p.trainer.Name, p.request.Step, g), ids)
		if home == "" {
			return nil
		}
		index, ok := byHome[home]
		if !ok {
			to, _ := view.Instance(home)
			index = len(calls)
			byHome[home] = index
			calls = append(calls, homeCall{to: to})
		}
		calls[index].groups = append(calls[index].groups, g)
	}
	return calls
}

// call makes one call and sends its result to p.results unless the pull is over.
func (p *pullState) call(ctx context.Context, c homeCall) {
	s := p.steps
	now := s.timers.Now()
	wait := max(0, min(p.waitEnd.Sub(now), maxCallWait))
	r := &RunRequest{
		Trainer: p.trainer.Name, Account: p.trainer.Account, Model: p.trainer.Model, MaxAge: int32(p.trainer.MaxAge),
		Step: p.request.Step, Version: int32(p.request.Version), GroupSize: int32(p.request.GroupSize),
		MaxTokens: int32(p.request.MaxTokens), WaitMs: wait.Milliseconds(),
		DeadlineMs: p.deadline.Sub(now).Milliseconds(), Limit: p.textLimit,
	}
	for _, g := range c.groups {
		prompt := &Prompt{Group: int32(g)}
		if c.promptsKnown {
			prompt.Digest = xxhash.Sum64String(p.request.Prompts[g])
		} else {
			prompt.Prompt = &p.request.Prompts[g]
		}
		r.Groups = append(r.Groups, prompt)
	}
	result := callResult{homeCall: c}
	if c.to.ID == s.settings.ID {
		result.response, result.err = s.home.Run(ctx, r)
	} else {
		callCtx, cancel := s.timers.WithTimeout(ctx, wait+2*callGrace)
		result.response, result.err = s.seams.Call(callCtx, c.to, r)
		result.responseLost = result.err != nil && !c.isRetry && callCtx.Err() == nil && !fleet.IsConnRefused(result.err)
		cancel()
		if result.err == nil || ctx.Err() == nil {
			s.seams.Report(c.to.ID, result.err == nil, fleet.IsConnRefused(result.err))
		}
		if result.err != nil && !result.responseLost && ctx.Err() == nil {
			s.avoid(c.to.ID)
		}
	}
	select {
	case p.results <- result:
	case <-ctx.Done():
	}
}

// followUps returns the calls to make after the result of a call: the same call
// again if the response was lost, calls to other home instances if the call
// failed, a call with the prompts that the home instance lacks, or a call that
// waits further.
func (p *pullState) followUps(r callResult) []homeCall {
	if p.waitEnd.Sub(p.steps.timers.Now()) <= 0 && r.response != nil && len(r.response.Unknown) == 0 {
		return nil
	}
	switch {
	case r.responseLost:
		again := r.homeCall
		again.isRetry = true
		return []homeCall{again}
	case r.err != nil && r.to.ID != p.steps.settings.ID && p.steps.timers.Now().Before(p.waitEnd):
		return p.assign(r.groups)
	case r.err != nil || len(r.response.Groups) > 0:
		return nil
	case len(r.response.Unknown) > 0:
		again := homeCall{to: r.to}
		for _, g := range r.response.Unknown {
			again.groups = append(again.groups, int(g))
		}
		return []homeCall{again}
	default:
		return []homeCall{{to: r.to, groups: r.groups, promptsKnown: true}}
	}
}

// deliverable converts the groups of a response and discards incomplete or too old
// ones. The age is checked again because this is the last point before delivery.
func (p *pullState) deliverable(r *RunResponse) []Group {
	if r == nil {
		return nil
	}
	var out []Group
	for _, f := range r.Groups {
		g := Group{Group: int(f.Group)}
		valid := len(f.Samples) == p.request.GroupSize
		for _, m := range f.Samples {
			s := Sample{ID: m.Id, Text: m.Text, Score: m.Score, Tokens: int(m.Tokens)}
			for _, v := range m.Versions {
				s.Versions = append(s.Versions, Range{Version: int(v.Version), From: int(v.From), To: int(v.To)})
			}
			valid = valid && len(s.Versions) > 0 && !tooOld(s.oldestVersion(), p.request.Version, p.trainer.MaxAge)
			g.Samples = append(g.Samples, s)
		}
		if valid {
			out = append(out, g)
		} else {
			p.steps.discarded.Add("refused_at_delivery", 1)
		}
	}
	return out
}

// avoidPending marks the instances that did not respond within the wait.
func (p *pullState) avoidPending() {
	for id := range p.pending {
		if id != p.steps.settings.ID {
			p.steps.avoid(id)
		}
	}
}

// avoid records that an instance did not respond.
func (s *Steps) avoid(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive[id] = s.timers.Now()
}

// homeCandidates returns the ids of the instances that are live and did not
// recently fail to respond, or all ids if there is none. Leaving instances are
// excluded because they would lose the groups that they start.
func (s *Steps) homeCandidates(view *member.View) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timers.Now()
	for id, at := range s.unresponsive {
		if now.Sub(at) >= avoidDuration {
			delete(s.unresponsive, id)
		}
	}
	out := make([]string, 0, len(view.IDs()))
	for _, id := range view.IDs() {
		_, failed := s.unresponsive[id]
		if i, _ := view.Instance(id); !failed && i.State == member.StateLive {
			out = append(out, id)
		}
	}
	if len(out) == 0 {
		return view.IDs()
	}
	return out
}

// groupName returns the rendezvous hashing key of a group.
func groupName(trainer, step string, group int) string {
	return trainer + "/" + step + "/" + strconv.Itoa(group)
}
