package replica

import (
	"fmt"
	"testing"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
)

// BenchmarkPick measures a decision among 16 replicas of a plain service in three zones,
// in a fleet with 45 engines, while each has reported its load.
func BenchmarkPick(b *testing.B) {
	for _, c := range []struct {
		name string
		pace func(i int) float64
	}{
		{"no pace", func(int) float64 { return 0 }},
		{"uneven", func(i int) float64 { return []float64{0.6, 1, 1.6}[i%3] }},
	} {
		b.Run(c.name, func(b *testing.B) {
			f := NewFleet(clock.NewSystem(), Options{Zone: "a", Overcommit: 1.5, Shared: true})
			for i := range 61 {
				e := Entry{ID: fmt.Sprint("e", i), Service: "catalog", Zone: string("abc"[i%3]), Slots: 6}
				if i >= 16 {
					e.Service = "engine"
				}
				f.Put(e)
				slot := &Slot{Entry: e, fleet: f}
				for range 10 {
					slot.Report(Load{Running: i % 4, Slots: 6, Pace: c.pace(i)})
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				slot, found := f.Pick(Requirements{Service: "catalog"})
				if !found {
					b.Fatal("no endpoint")
				}
				slot.Done(Abandoned)
			}
		})
	}
}
