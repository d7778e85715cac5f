package order

import (
	"errors"
	"testing"

	"github.com/wigeonpin/wigeonpin/internal/peer/capacity"
)

// TestNewHolderReadsTheEndpoints guards against a zone that loses its endpoints when
// the lease passes on: an order states the whole zone, and a new holder counted the
// endpoints of an outdated copy, or none, as those that the zone is to keep.
func TestNewHolderReadsTheEndpoints(t *testing.T) {
	for name, outdated := range map[string]int{"nothing read": 0, "outdated copy": 3} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(`{"slots":8,"floor":2,"ceiling":50}`, outdated, 0)
			f.setDemand(80, 0, 0)
			f.known = f.snapshot()
			f.apply(capacity.ModelTarget{Model: "m", Standard: 20}) // by the former holder
			reads := 0
			f.refresh = func() error {
				if reads++; reads == 1 {
					return errors.New("no answer")
				}
				f.known = nil
				return nil
			}
			f.rounds(3)
			if len(f.sent) == 0 {
				t.Fatal("no order after the endpoints were read")
			}
			for _, o := range f.sent {
				if got := o.Models[0].Standard; got < 20 {
					t.Errorf("the first orders of a new holder ask for %d endpoints, the zone has 20", got)
				}
			}
			if reads != 2 {
				t.Errorf("the endpoints were read %d times, want once after the failure", reads)
			}
		})
	}
}
