package order

import (
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/control/table"
)

// TestCheapEndpointsThatDoNotCome guards against a zone that gives up standard
// endpoints for cheap ones which the platform does not have, and so remains short
// of endpoints.
func TestCheapEndpointsThatDoNotCome(t *testing.T) {
	p, now := &plan{}, time.Unix(0, 0)
	existing := endpointCounts{standard: 2, cheap: 1}
	for range 30 {
		order := p.decide(inputs{
			now: now, row: table.Model{Slots: 16, Floor: 1, Ceiling: 3, Cheap: true},
			need: need{running: 36}, existing: existing, lead: startupTime,
		})
		// The platform has two standard endpoints and one cheap one.
		existing = endpointCounts{standard: min(order.Standard, 2), cheap: min(order.Cheap, 1)}
		now = now.Add(5 * time.Second)
	}
	if existing.standard+existing.cheap != 3 {
		t.Fatalf("the zone has %d standard and %d cheap endpoints, 3 are needed", existing.standard, existing.cheap)
	}
}
