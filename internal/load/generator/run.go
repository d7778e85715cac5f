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
	// maxIdleConns applies to each address.
	maxIdleConns = 256
	// minResendDelay applies when a response sets no longer retry delay.
	minResendDelay = 100 * time.Millisecond
)

// Run sends the load of the plan and returns its result. It returns when all
// requests have ended, at the latest after the plan's duration plus its grace
// period.
func Run(ctx context.Context, plan Plan) (*Result, error) {
	duration := time.Duration(plan.Seconds * float64(time.Second))
	runCtx, stop := context.WithTimeout(ctx, duration+time.Duration(plan.GraceMS)*time.Millisecond)
	defer stop()
	g := &generator{
		plan: plan, duration: duration, result: newResult(plan),
		inFlight: make(chan struct{}, plan.MaxInFlight),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: 20 * time.Second, DisableCompression: true,
		}},
	}
	g.ready.Store(&plan.Addresses)
	probeCtx, stopProbes := context.WithCancel(runCtx)
	defer stopProbes()
	g.probe(probeCtx)
	go g.probeLoop(probeCtx)
	g.start = time.Now()
	var group sync.WaitGroup
	for i, a := range plan.Accounts {
		group.Go(func() { g.sendArrivals(runCtx, i, a) })
	}
	group.Wait()
	g.requests.Wait()
	g.result.finish(time.Since(g.start))
	return g.result, ctx.Err()
}

type generator struct {
	plan     Plan
	duration time.Duration
	start    time.Time
	client   *http.Client
	result   *Result
	// inFlight is the semaphore that limits concurrent requests.
	inFlight chan struct{}
	ready    atomic.Pointer[[]string]
	// next counts the requests for the round-robin choice of an address.
	next     atomic.Uint64
	requests sync.WaitGroup
}

// probe updates the list of ready addresses. If no address passes its readiness
// probe, requests go to all of them.
func (g *generator) probe(ctx context.Context) {
	found := make([]bool, len(g.plan.Addresses))
	var group sync.WaitGroup
	for i, address := range g.plan.Addresses {
		group.Go(func() {
			requestCtx, stop := context.WithTimeout(ctx, probeTimeout)
			defer stop()
			req, err := http.NewRequestWithContext(requestCtx, http.MethodGet, "http://"+address+"/readyz", nil)
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

func (g *generator) probeLoop(ctx context.Context) {
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

func (g *generator) nextAddress() string {
	ready := *g.ready.Load()
	return ready[g.next.Add(1)%uint64(len(ready))]
}

// sendArrivals starts an account's requests at their intended times.
func (g *generator) sendArrivals(ctx context.Context, index int, a Account) {
	random := rand.New(rand.NewPCG(g.plan.Seed, uint64(index)))
	until := g.duration
	if a.Until > 0 {
		until = min(until, seconds(a.Until))
	}
	at := seconds(a.From)
	for n := 0; ; n++ {
		at += seconds(random.ExpFloat64() / a.Rate)
		job, intended := newJob(g.plan, index, n, a, random), at
		if at >= until || !sleepUntil(ctx, g.start.Add(at)) {
			return
		}
		job.intended = g.start.Add(at)
		select {
		case g.inFlight <- struct{}{}:
		default:
			g.result.add(index, intended, outcome{kind: unsent, code: "unsent"})
			continue
		}
		g.requests.Go(func() {
			defer func() { <-g.inFlight }()
			out := g.send(ctx, job)
			out.latency = time.Since(job.intended)
			g.result.add(index, intended, out)
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

// job is one request to be sent.
type job struct {
	account Account
	id      string
	prompt  string
	// maxTokens is sent as max_tokens.
	maxTokens int
	// intended is the start time that the latency is measured from.
	intended time.Time
}

func newJob(plan Plan, index, n int, a Account, random *rand.Rand) job {
	j := job{account: a, id: fmt.Sprintf("%d-%d-%s-%d", plan.Seed, index, a.Name, n)}
	tokens := max(1, a.Tokens/2+random.IntN(a.Tokens+1))
	j.maxTokens = max(1, a.Tokens*2)
	shared := fmt.Sprintf("prefix %s %d ", a.Name, random.IntN(a.Prefixes))
	if len(shared) < a.SharedBytes {
		shared += strings.Repeat("p", a.SharedBytes-len(shared))
	}
	// The engine stand-in takes the length of its response from the marker
	// "len=N " in the prompt.
	unique := fmt.Sprintf(" request %s len=%d ", j.id, tokens)
	j.prompt = shared + unique
	if len(j.prompt) < a.PromptBytes {
		j.prompt += strings.Repeat("q", a.PromptBytes-len(j.prompt))
	}
	return j
}
