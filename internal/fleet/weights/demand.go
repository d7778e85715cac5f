package weights

import (
	"math"
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
)

// demandHalfLife is the time after which accepted work counts half.
const demandHalfLife = 20 * time.Second

// Demand measures the work that arrives for each model. Trainers that share the
// engines of a service differ in the length and number of their texts, so that an
// equal number of engines for each leaves one short of them and another idle.
type Demand struct {
	timers *clock.Service

	mu     sync.Mutex
	at     time.Time          // time for which tokens is valid
	tokens map[string]float64 // by model, with older work counting less
}

// NewDemand returns a Demand without any work.
func NewDemand(timers *clock.Service) *Demand {
	return &Demand{timers: timers, tokens: map[string]float64{}}
}

// Add records that work of an expected number of tokens has arrived for a model.
func (d *Demand) Add(model string, tokens int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay()
	d.tokens[model] += float64(tokens)
}

// Shares returns the share of each of the models in the work. Each has an equal
// share while there is none.
func (d *Demand) Shares(models []string) map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay()
	total := 0.0
	for _, model := range models {
		total += d.tokens[model]
	}
	shares := make(map[string]float64, len(models))
	for _, model := range models {
		shares[model] = 1 / float64(len(models))
		if total > 0 {
			shares[model] = d.tokens[model] / total
		}
	}
	return shares
}

// decay must be called with mu locked.
func (d *Demand) decay() {
	now := d.timers.Now()
	factor := math.Exp2(-now.Sub(d.at).Seconds() / demandHalfLife.Seconds())
	for model := range d.tokens {
		d.tokens[model] *= factor
	}
	d.at = now
}
