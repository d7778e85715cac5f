package dispatch

import "sync"

const (
	// initialCredit allows a few retries before the first success, and is enough to
	// resume all streams of one engine.
	initialCredit = 32
	// maxCredit bounds the burst of retries after a long time without failures.
	maxCredit = 128
)

// budgets limit retries to a percentage of the successes, per client account and
// per endpoint. Without a limit, retries multiply the load exactly when endpoints
// fail because of it.
type budgets struct {
	mu      sync.Mutex
	ratio   float64
	credits map[string]float64
}

func newBudgets(percent int) *budgets {
	return &budgets{ratio: float64(percent) / 100, credits: map[string]float64{}}
}

func budgetKeys(account, endpoint string) [2]string {
	return [2]string{"account/" + account, "endpoint/" + endpoint}
}

func (b *budgets) credit(key string) float64 {
	if c, ok := b.credits[key]; ok {
		return c
	}
	return initialCredit
}

// success adds the credit of one completed request.
func (b *budgets) success(account, endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range budgetKeys(account, endpoint) {
		b.credits[key] = min(b.credit(key)+b.ratio, maxCredit)
	}
}

// spend spends credit for one retry after a failure on the endpoint. It returns
// false when the budget of the account or the endpoint is used up.
func (b *budgets) spend(account, endpoint string) bool {
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

// forget removes the budget of an endpoint that no longer exists.
func (b *budgets) forget(endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.credits, "endpoint/"+endpoint)
}
