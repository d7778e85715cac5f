package dispatch

import "sync"

const (
	// The credit that a budget starts with lets a few requests be repeated
	// before there were any successes, and all streams of one engine be resumed.
	firstCredit = 32
	// The highest credit bounds the burst after a long time without failures.
	highestCredit = 128
)

// budgets limit repeated attempts to a share of the successes, per client
// account and per endpoint. Without a limit, repeated attempts multiply the
// load exactly when endpoints fail because of it.
type budgets struct {
	mu      sync.Mutex
	gain    float64
	credits map[string]float64
}

func newBudgets(percent int) *budgets {
	return &budgets{gain: float64(percent) / 100, credits: map[string]float64{}}
}

func budgetKeys(account, endpoint string) [2]string {
	return [2]string{"account/" + account, "endpoint/" + endpoint}
}

func (b *budgets) credit(key string) float64 {
	if c, ok := b.credits[key]; ok {
		return c
	}
	return firstCredit
}

// success adds credit for one completed request.
func (b *budgets) success(account, endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range budgetKeys(account, endpoint) {
		b.credits[key] = min(b.credit(key)+b.gain, highestCredit)
	}
}

// take uses credit for one more attempt after a failure on the endpoint.
func (b *budgets) take(account, endpoint string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	keys := budgetKeys(account, endpoint)
	for _, key := range keys {
		if b.credit(key) < 1 {
			return false
		}
	}
	for _, key := range keys {
		b.credits[key] = b.credit(key) - 1
	}
	return true
}

// forget removes the credit of an endpoint that is gone.
func (b *budgets) forget(endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.credits, "endpoint/"+endpoint)
}
