package dispatch

import "sync"

const (
	// firstCredit is the initial credit of a budget. It allows a few retries before
	// the first success, and is enough to resume all streams of one engine.
	firstCredit = 32
	// highestCredit bounds the burst of retries after a long time without failures.
	highestCredit = 128
)

// budgets limit retries to a percentage of the successes, per client account and
// per endpoint. Without a limit, retries multiply the load exactly when endpoints
// fail because of it.
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

// success adds the credit of one completed request.
func (b *budgets) success(account, endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range budgetKeys(account, endpoint) {
		b.credits[key] = min(b.credit(key)+b.gain, highestCredit)
	}
}

// take spends credit for one retry after a failure on the endpoint. It returns
// false when the budget of the account or the endpoint is used up.
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

// forget removes the budget of an endpoint that no longer exists.
func (b *budgets) forget(endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.credits, "endpoint/"+endpoint)
}
