package serve

import (
	"context"
	"sync"

	"github.com/wigeonpin/wigeonpin/internal/control/roster"
	"github.com/wigeonpin/wigeonpin/internal/traffic/dispatch"
	"github.com/wigeonpin/wigeonpin/internal/traffic/queue"
)

// plainPolicy implements the plain policy, the baseline of measurements:
// round-robin choice of endpoints, one queue for all client accounts, a limit
// for each endpoint that each instance applies by itself, no hedged attempts and
// no scaling (all endpoints are always on). The guarantees for keys, samples,
// calls and usage hold under this policy too.
type plainPolicy struct {
	instance  *instance
	mu        sync.Mutex
	nextIndex map[string]int
	running   map[string]int
	changed   chan struct{}
}

func newPlainPolicy(i *instance) *plainPolicy {
	return &plainPolicy{instance: i, nextIndex: map[string]int{}, running: map[string]int{}, changed: make(chan struct{})}
}

// endpoints returns the next endpoint of the model in round-robin order.
func (p *plainPolicy) endpoints(model string) []roster.Endpoint {
	all := p.instance.endpoints(model)
	if len(all) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextIndex[model]++
	return all[p.nextIndex[model]%len(all):][:1]
}

func (p *plainPolicy) limit(id string) int {
	e, _ := p.instance.roster.Endpoints().Get(id)
	return p.instance.slots(e.Model)
}

func (p *plainPolicy) freeSlots(id string) int {
	limit := p.limit(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	return limit - p.running[id]
}

func (p *plainPolicy) acquire(id, _ string) (dispatch.Slot, bool) {
	if p.freeSlots(id) <= 0 {
		return dispatch.Slot{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[id]++
	return dispatch.Slot{Release: func(dispatch.Outcome) { p.release(id) }}, true
}

// wait queues the requests of all accounts in one queue, in order of arrival.
func (p *plainPolicy) wait(ctx context.Context, item queue.Item) (*queue.Turn, error) {
	item.Account, item.Weight, item.MaxWaiting, item.MaxRunning = "", 1, 0, 0
	return p.instance.queue.Wait(ctx, item)
}

// slotFreed returns a channel that is closed when a slot becomes free.
func (p *plainPolicy) slotFreed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

func (p *plainPolicy) release(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[id]--
	close(p.changed)
	p.changed = make(chan struct{})
}
