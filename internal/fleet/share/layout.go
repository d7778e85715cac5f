package share

import (
	"slices"
	"strconv"

	"github.com/wigeonpin/wigeonpin/internal/control/member"
)

// layout holds the cells of one list of instances, so that the cell of an
// endpoint is found without splitting the zone again.
type layout struct {
	listed *member.View
	size   int
	zones  map[string]*zoneLayout
}

type zoneLayout struct {
	cells [][]string
	names []string
}

func newLayout(listed *member.View, size int) *layout {
	return &layout{listed: listed, size: size, zones: map[string]*zoneLayout{}}
}

func (l *layout) zone(name string) *zoneLayout {
	z, ok := l.zones[name]
	if ok {
		return z
	}
	z = &zoneLayout{cells: l.listed.Cells(name, l.size)}
	for i := range z.cells {
		slices.Sort(z.cells[i])
		z.names = append(z.names, strconv.Itoa(i))
	}
	l.zones[name] = z
	return z
}

// cell returns the members of the endpoint's cell, as View.CellOf does.
func (l *layout) cell(zone, endpoint string) []string {
	z := l.zone(zone)
	if len(z.cells) == 0 {
		return nil
	}
	at, _ := strconv.Atoi(member.First(endpoint, z.names))
	return z.cells[at]
}

// home returns the endpoint's home instance among the cell's members that
// answer.
func home(endpoint string, cell []string, alive *member.View) string {
	best := make([]string, 0, len(cell))
	for _, id := range cell {
		if _, ok := alive.Instance(id); ok {
			best = append(best, id)
		}
	}
	return member.First(endpoint, best)
}
