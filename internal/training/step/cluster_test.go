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

// TestMain fails if goroutines outlive their group, call or instance. Idle
// connections of the HTTP client are allowed.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"))
}

// generator is a fake of dispatch that produces chunks of one token each.
type generator struct {
	mu      sync.Mutex
	version int
	jobs    []Job
	started map[string]bool
	// beforeCheck is called before the job's check.
	beforeCheck func(j Job)
	// onChunk may change or fail a chunk; n counts from 0.
	onChunk func(ctx context.Context, j Job, n int, c Chunk) (Chunk, error)
	// onResult may change the result.
	onResult func(j Job, r Result) Result
}

func (g *generator) generate(ctx context.Context, j Job, sink func(Chunk) error) (Result, error) {
	g.mu.Lock()
	g.jobs = append(g.jobs, j)
	g.mu.Unlock()
	if g.beforeCheck != nil {
		g.beforeCheck(j)
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
		if g.onChunk != nil {
			var err error
			if c, err = g.onChunk(ctx, j, n, c); err != nil {
				return Result{}, err
			}
		}
		if err := sink(c); err != nil {
			return Result{}, err
		}
		r.Text += c.Text
		r.Tokens += c.Tokens
	}
	if g.onResult != nil {
		r = g.onResult(j, r)
	}
	return r, ctx.Err()
}

func (g *generator) setVersion(version int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.version = version
}

func (g *generator) jobCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.jobs)
}

// testCluster is a set of instances on a driven clock. A goroutine advances the
// clock continuously, so that no test depends on real time.
type testCluster struct {
	timers *clock.Service
	driver *clock.Driver
	gen    *generator
	mu     sync.Mutex
	nodes  map[string]*Steps
	down   map[string]bool
	// afterCall is called after a call to a home instance. Its error replaces the
	// response, as if the response were lost.
	afterCall func(ctx context.Context, home string) error
	score     func(samples []scorer.Sample) ([]float64, error)
}

func newTestCluster(t testing.TB, size int) *testCluster {
	tc := &testCluster{gen: &generator{version: 1, started: map[string]bool{}}, nodes: map[string]*Steps{}, down: map[string]bool{}}
	tc.timers, tc.driver = clock.NewDriven(time.Unix(1_700_000_000, 0))
	var list []member.Instance
	for i := range size {
		list = append(list, member.Instance{ID: fmt.Sprintf("i-%d", i), Zone: "z", State: member.StateLive})
	}
	view := member.NewView(list)
	for _, i := range list {
		settings := setting.Defaults()
		settings.ID = i.ID
		tc.nodes[i.ID] = New(settings, tc.timers, Seams{
			View: func() *member.View { return view }, Generate: tc.gen.generate, Call: tc.call,
			Score: func(_ context.Context, samples []scorer.Sample) ([]float64, error) {
				if tc.score != nil {
					return tc.score(samples)
				}
				return make([]float64, len(samples)), nil
			},
		}, meter.NewSet(), logs.Discard())
	}
	done := make(chan struct{})
	var advancing sync.WaitGroup
	advancing.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
				tc.driver.Advance(20 * time.Millisecond)
			}
		}
	})
	t.Cleanup(func() {
		for _, s := range tc.nodes {
			s.Close()
		}
		close(done)
		advancing.Wait()
	})
	return tc
}

func (tc *testCluster) call(ctx context.Context, to member.Instance, r *RunRequest) (*RunResponse, error) {
	tc.mu.Lock()
	down, afterCall := tc.down[to.ID], tc.afterCall
	tc.mu.Unlock()
	if down {
		return nil, errDown
	}
	response, err := tc.nodes[to.ID].home.Run(ctx, r)
	if err == nil && afterCall != nil {
		err = afterCall(ctx, to.ID)
	}
	return response, err
}

func newPull(version, groups, size int) Pull {
	p := Pull{
		Step: "s", Version: version, Groups: groups, GroupSize: size, MaxTokens: 4,
		Have: make([]byte, (groups+7)/8), WaitMS: 30_000, DeadlineMS: 300_000,
	}
	for i := range groups {
		p.Prompts = append(p.Prompts, fmt.Sprint("prompt ", i))
	}
	return p
}

// pullAll pulls at the instances in turn until the step is complete and returns
// the samples by id. It fails if a group is delivered twice.
func (tc *testCluster) pullAll(t testing.TB, p Pull, ids ...string) map[string]Sample {
	t.Helper()
	got := map[string]Sample{}
	for n := 0; n < 1000; n++ {
		out, err := tc.nodes[ids[n%len(ids)]].Pull(context.Background(), testTrainer, p)
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
