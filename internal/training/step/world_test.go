package step

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
	"github.com/wigeonpin/wigeonpin/internal/peer/scorer"
)

var (
	errDown     = errors.New("connection refused")
	testTrainer = table.Trainer{Name: "t", Account: "acme", Model: "m", MaxAge: 1}
)

// Guards against goroutines that outlive their group, call or instance. Idle
// connections of the HTTP client may stay.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"))
}

// generator stands for dispatch: it produces chunks of one token each.
type generator struct {
	mu      sync.Mutex
	version int
	jobs    []Job
	started map[string]bool
	// before runs before the job's check.
	before func(j Job)
	// chunk may change or fail a chunk; n counts from 0.
	chunk func(ctx context.Context, j Job, n int, c Chunk) (Chunk, error)
	// result may change the result.
	result func(j Job, r Result) Result
}

func (g *generator) generate(ctx context.Context, j Job, sink func(Chunk) error) (Result, error) {
	g.mu.Lock()
	g.jobs = append(g.jobs, j)
	g.mu.Unlock()
	if g.before != nil {
		g.before(j)
	}
	if err := j.Check(); err != nil {
		return Result{}, err
	}
	g.mu.Lock()
	g.started[j.Request] = true
	g.mu.Unlock()
	var r Result
	for n := range j.MaxTokens {
		g.mu.Lock()
		c := Chunk{Text: "x", Tokens: 1, Version: g.version, Endpoint: "e-1"}
		g.mu.Unlock()
		if g.chunk != nil {
			var err error
			if c, err = g.chunk(ctx, j, n, c); err != nil {
				return Result{}, err
			}
		}
		if err := sink(c); err != nil {
			return Result{}, err
		}
		r.Text += c.Text
		r.Tokens += c.Tokens
	}
	if g.result != nil {
		r = g.result(j, r)
	}
	return r, ctx.Err()
}

func (g *generator) set(version int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.version = version
}

func (g *generator) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.jobs)
}

// world is a fleet of steps on a driven clock that a goroutine advances while
// somebody waits, so that no test depends on real time.
type world struct {
	timers *clock.Service
	driver *clock.Driver
	gen    *generator
	mu     sync.Mutex
	nodes  map[string]*Steps
	down   map[string]bool
	// answer may lose the answer of a call to a home instance.
	answer func(ctx context.Context, home string) error
	score  func(samples []scorer.Sample) ([]float64, error)
}

func newWorld(t testing.TB, size int) *world {
	w := &world{gen: &generator{version: 1, started: map[string]bool{}}, nodes: map[string]*Steps{}, down: map[string]bool{}}
	w.timers, w.driver = clock.NewDriven(time.Unix(1_700_000_000, 0))
	var list []member.Instance
	for i := range size {
		list = append(list, member.Instance{ID: fmt.Sprintf("i-%d", i), Zone: "z", State: member.StateLive})
	}
	view := member.NewView(list)
	for _, i := range list {
		settings := setting.Defaults()
		settings.ID = i.ID
		w.nodes[i.ID] = New(settings, w.timers, Seams{
			View: func() *member.View { return view }, Generate: w.gen.generate, Call: w.call,
			Score: func(_ context.Context, samples []scorer.Sample) ([]float64, error) {
				if w.score != nil {
					return w.score(samples)
				}
				return make([]float64, len(samples)), nil
			},
		}, meter.NewSet(), logs.Discard())
	}
	done := make(chan struct{})
	var moving sync.WaitGroup
	moving.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
				w.driver.Advance(20 * time.Millisecond)
			}
		}
	})
	t.Cleanup(func() {
		for _, s := range w.nodes {
			s.Close()
		}
		close(done)
		moving.Wait()
	})
	return w
}

func (w *world) call(ctx context.Context, to member.Instance, r *RunRequest) (*RunResponse, error) {
	w.mu.Lock()
	down, answer := w.down[to.ID], w.answer
	w.mu.Unlock()
	if down {
		return nil, errDown
	}
	response, err := w.nodes[to.ID].home.Run(ctx, r)
	if err == nil && answer != nil {
		err = answer(ctx, to.ID)
	}
	return response, err
}

func pullOf(version, groups, size int) Pull {
	p := Pull{
		Step: "s", Version: version, Groups: groups, GroupSize: size, MaxTokens: 4,
		Have: make([]byte, (groups+7)/8), WaitMS: 30_000, DeadlineMS: 300_000,
	}
	for i := range groups {
		p.Prompts = append(p.Prompts, fmt.Sprint("prompt ", i))
	}
	return p
}

// pullAll pulls at the instances in turn until the step is complete and
// returns the samples by id. It fails when a group comes twice.
func (w *world) pullAll(t testing.TB, p Pull, ids ...string) map[string]Sample {
	t.Helper()
	got := map[string]Sample{}
	for n := 0; n < 1000; n++ {
		out, err := w.nodes[ids[n%len(ids)]].Pull(context.Background(), testTrainer, p)
		if err != nil {
			continue
		}
		for _, g := range out.Groups {
			if p.Have[g.Group/8]&(1<<(g.Group%8)) != 0 {
				t.Fatalf("group %d is delivered twice", g.Group)
			}
			p.Have[g.Group/8] |= 1 << (g.Group % 8)
			for _, s := range g.Samples {
				got[s.ID] = s
			}
		}
		if out.Complete {
			return got
		}
	}
	t.Fatalf("the step is not complete after 1000 pulls; %d samples", len(got))
	return nil
}
