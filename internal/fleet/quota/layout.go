package quota

import (
	"slices"
	"strconv"

	"github.com/wigeonpin/wigeonpin/internal/control/member"
)

// cellLayout caches the cells of one list of instances, so that the cell of an
// endpoint is found without splitting the zone again.
type cellLayout struct {
	listed *member.View
	size   int
	zones  map[string]*zoneCells
}

type zoneCells struct {
	cells [][]string
	names []string // the indexes of the cells, as rendezvous hashing needs them
}

func newCellLayout(listed *member.View, size int) *cellLayout {
	return &cellLayout{listed: listed, size: size, zones: map[string]*zoneCells{}}
}

func (l *cellLayout) zone(name string) *zoneCells {
	z, ok := l.zones[name]
	if ok {
		return z
	}
	z = &zoneCells{cells: l.listed.Cells(name, l.size)}
	for i := range z.cells {
		slices.Sort(z.cells[i])
		z.names = append(z.names, strconv.Itoa(i))
	}
	l.zones[name] = z
	return z
}

// cell returns the members of the endpoint's cell, as View.CellOf does.
func (l *cellLayout) cell(zone, endpoint string) []string {
	z := l.zone(zone)
	if len(z.cells) == 0 {
		return nil
	}
	index, _ := strconv.Atoi(member.First(endpoint, z.names))
	return z.cells[index]
}

// homeOf returns the endpoint's home instance: the first by rendezvous hashing
// among the cell's members that answer.
func homeOf(endpoint string, cell []string, alive *member.View) string {
	reachable := make([]string, 0, len(cell))
	for _, id := range cell {
		if _, ok := alive.Instance(id); ok {
			reachable = append(reachable, id)
		}
	}
	return member.First(endpoint, reachable)
}
