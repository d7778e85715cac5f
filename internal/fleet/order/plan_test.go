package order

import (
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/control/table"
)

// Guards against a zone that gives up standard endpoints for cheap ones which
// the platform does not have, and stays short of endpoints.
func TestCheapEndpointsThatDoNotCome(t *testing.T) {
	p, now := &plan{}, time.Unix(0, 0)
	have := present{standard: 2, cheap: 1}
	for range 30 {
		order := p.decide(inputs{
			now: now, row: table.Model{Slots: 16, Floor: 1, Ceiling: 3, Cheap: true},
			need: need{running: 36}, have: have, lead: coldStart,
		})
		// The platform has two standard endpoints and one cheap one.
		have = present{standard: min(order.Standard, 2), cheap: min(order.Cheap, 1)}
		now = now.Add(5 * time.Second)
	}
	if have.standard+have.cheap != 3 {
		t.Fatalf("the zone has %d standard and %d cheap endpoints, 3 are needed", have.standard, have.cheap)
	}
}
