package member

import (
	"fmt"
	"testing"
)

func fleetOf(zones, perZone int) *View {
	var list []Instance
	for z := range zones {
		for i := range perZone {
			list = append(list, Instance{ID: fmt.Sprintf("i-%d-%d", z, i), Zone: fmt.Sprintf("z%d", z), State: StateLive})
		}
	}
	return NewView(list)
}

// Guards against two home instances in the same zone, which would both be lost
// with that zone.
func TestHomesLieInDistinctZones(t *testing.T) {
	v := fleetOf(3, 4)
	for i := range 200 {
		homes := v.Homes(fmt.Sprint("id", i), 2)
		a, _ := v.Instance(homes[0])
		b, _ := v.Instance(homes[1])
		if len(homes) != 2 || a.Zone == b.Zone {
			t.Fatalf("homes are %v, want two instances in distinct zones", homes)
		}
	}
}

// Guards against two views that differ in one instance and have no home
// instance of an id in common: a request that is sent again through the other
// view would then find no record.
func TestHomesOfNeighbouringViewsIntersect(t *testing.T) {
	v := fleetOf(3, 4)
	for _, gone := range v.IDs() {
		other := v.Without(gone)
		for i := range 200 {
			key := fmt.Sprint("id", i)
			before, after := v.Homes(key, 2), other.Homes(key, 2)
			if before[0] != after[0] && before[0] != after[1] && before[1] != after[0] && before[1] != after[1] {
				t.Fatalf("without %s: homes %v and %v have no instance in common", gone, before, after)
			}
		}
	}
}

// Guards against cells that are too large, or that leave out an instance.
func TestCells(t *testing.T) {
	for _, n := range []int{1, 2, 8, 9, 52} {
		v := fleetOf(1, n)
		total := 0
		for _, c := range v.Cells("z0", 8) {
			total += len(c)
			if len(c) > 8 {
				t.Fatalf("cell of %d instances, want at most 8", len(c))
			}
		}
		if total != n {
			t.Fatalf("%d of %d instances are in a cell", total, n)
		}
	}
}
