package generator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	probePeriod  = 250 * time.Millisecond
	probeTimeout = time.Second
	idleConns    = 256
	resendPause  = 100 * time.Millisecond
)

// Run sends the plan's load and returns what came of it. It ends when all
// requests have ended, at the latest the plan's time plus its grace.
func Run(ctx context.Context, plan Plan) (*Result, error) {
	length := time.Duration(plan.SecondsOf * float64(time.Second))
	bounded, stop := context.WithTimeout(ctx, length+time.Duration(plan.GraceMS)*time.Millisecond)
	defer stop()
	g := &generator{
		plan: plan, length: length, result: newResult(plan),
		flight: make(chan struct{}, plan.Flight),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: idleConns, IdleConnTimeout: 20 * time.Second, DisableCompression: true,
		}},
	}
	g.ready.Store(&plan.Addresses)
	probes, stopProbes := context.WithCancel(bounded)
	defer stopProbes()
	g.probe(probes)
	go g.probeAlways(probes)
	g.start = time.Now()
	var group sync.WaitGroup
	for i, a := range plan.Accounts {
		group.Go(func() { g.arrivals(bounded, i, a) })
	}
	group.Wait()
	g.requests.Wait()
	g.result.finish(time.Since(g.start))
	return g.result, ctx.Err()
}

type generator struct {
	plan     Plan
	length   time.Duration
	start    time.Time
	client   *http.Client
	result   *Result
	flight   chan struct{}
	ready    atomic.Pointer[[]string]
	turn     atomic.Uint64
	requests sync.WaitGroup
}

// probe keeps the addresses that answer their readiness probe. When none does,
// requests go to all of them.
func (g *generator) probe(ctx context.Context) {
	found := make([]bool, len(g.plan.Addresses))
	var group sync.WaitGroup
	for i, address := range g.plan.Addresses {
		group.Go(func() {
			bounded, stop := context.WithTimeout(ctx, probeTimeout)
			defer stop()
			req, err := http.NewRequestWithContext(bounded, http.MethodGet, "http://"+address+"/readyz", nil)
			if err != nil {
				return
			}
			resp, err := g.client.Do(req)
			if err != nil {
				return
			}
			_ = resp.Body.Close()
			found[i] = resp.StatusCode == http.StatusOK
		})
	}
	group.Wait()
	var ready []string
	for i, ok := range found {
		if ok {
			ready = append(ready, g.plan.Addresses[i])
		}
	}
	if len(ready) == 0 {
		ready = g.plan.Addresses
	}
	g.ready.Store(&ready)
}

func (g *generator) probeAlways(ctx context.Context) {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.probe(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (g *generator) address() string {
	ready := *g.ready.Load()
	return ready[g.turn.Add(1)%uint64(len(ready))]
}

// arrivals starts an account's requests at their intended times.
func (g *generator) arrivals(ctx context.Context, index int, a Account) {
	random := rand.New(rand.NewPCG(g.plan.Seed, uint64(index)))
	until := g.length
	if a.Until > 0 {
		until = min(until, seconds(a.Until))
	}
	at := seconds(a.From)
	for n := 0; ; n++ {
		at += seconds(random.ExpFloat64() / a.Rate)
		job, begun := newJob(g.plan, index, n, a, random), at
		if at >= until || !sleepUntil(ctx, g.start.Add(at)) {
			return
		}
		job.intended = g.start.Add(at)
		select {
		case g.flight <- struct{}{}:
		default:
			g.result.add(index, begun, outcome{kind: unsent, code: "unsent"})
			continue
		}
		g.requests.Go(func() {
			defer func() { <-g.flight }()
			out := g.send(ctx, job)
			out.took = time.Since(job.intended)
			g.result.add(index, begun, out)
		})
	}
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// job is one request with what its answer must be.
type job struct {
	account  Account
	id       string
	prompt   string
	max      int
	want     int
	intended time.Time
}

func newJob(plan Plan, index, n int, a Account, random *rand.Rand) job {
	j := job{account: a, id: fmt.Sprintf("%d-%d-%s-%d", plan.Seed, index, a.Name, n)}
	j.want = max(1, a.Tokens/2+random.IntN(a.Tokens+1))
	j.max = max(1, a.Tokens*2)
	shared := fmt.Sprintf("prefix %s %d ", a.Name, random.IntN(a.Prefixes))
	if len(shared) < a.Shared {
		shared += strings.Repeat("p", a.Shared-len(shared))
	}
	// The mark "len=N " sets the length of the answer of the engine stand-in.
	own := fmt.Sprintf(" request %s len=%d ", j.id, j.want)
	j.prompt = shared + own
	if len(j.prompt) < a.PromptBytes {
		j.prompt += strings.Repeat("q", a.PromptBytes-len(j.prompt))
	}
	return j
}
