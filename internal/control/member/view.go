package member

import (
	"slices"
	"strconv"
)

// The states of an instance in the platform's list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Instance is one instance of the fleet.
type Instance struct {
	ID    string `json:"id"`
	Zone  string `json:"zone"`
	Peer  string `json:"peer_address"`
	State string `json:"state"`
}

// View is an immutable set of instances.
type View struct {
	instances map[string]Instance
	zones     map[string][]string
	ids       []string
}

// NewView returns the view that consists of the given instances.
func NewView(list []Instance) *View {
	v := &View{instances: map[string]Instance{}, zones: map[string][]string{}}
	for _, i := range list {
		if _, duplicate := v.instances[i.ID]; duplicate {
			continue
		}
		v.instances[i.ID] = i
		v.zones[i.Zone] = append(v.zones[i.Zone], i.ID)
		v.ids = append(v.ids, i.ID)
	}
	for _, ids := range v.zones {
		slices.Sort(ids)
	}
	slices.Sort(v.ids)
	return v
}

// With returns a copy of the view with one instance added or replaced.
func (v *View) With(instance Instance) *View {
	list := v.Without(instance.ID).Instances()
	return NewView(append(list, instance))
}

// Without returns a copy of the view without the instance with this id.
func (v *View) Without(id string) *View {
	list := slices.DeleteFunc(v.Instances(), func(i Instance) bool { return i.ID == id })
	return NewView(list)
}

// Instances returns all instances in order of their ids.
func (v *View) Instances() []Instance {
	list := make([]Instance, 0, len(v.ids))
	for _, id := range v.ids {
		list = append(list, v.instances[id])
	}
	return list
}

// IDs returns all ids in order. The slice must not be changed.
func (v *View) IDs() []string { return v.ids }

// Instance returns the instance with this id, if the view has it.
func (v *View) Instance(id string) (Instance, bool) { i, ok := v.instances[id]; return i, ok }

// Zone returns the ids of an availability zone's instances in order. The slice
// must not be changed.
func (v *View) Zone(zone string) []string { return v.zones[zone] }

// Zones returns the names of the availability zones in order.
func (v *View) Zones() []string {
	names := make([]string, 0, len(v.zones))
	for name := range v.zones {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Tree returns a zone's instances in the order of its control tree. The first
// two are the relays; the parent of position i is at Parent(i).
func (v *View) Tree(zone string) []string { return Rank(zone, v.zones[zone]) }

// TreeFanout is the number of children of an instance in the control tree. It
// bounds the control traffic of one instance.
const TreeFanout = 4

// Parent returns the position of the parent of position i > 0 in the tree.
func Parent(i int) int { return (i - 1) / TreeFanout }

// Cells splits the zone's instances into groups of at most size. The number of
// cells depends on the size of the zone, and each instance is assigned to a
// cell by rendezvous hashing, so that few instances move when one joins or
// leaves.
func (v *View) Cells(zone string, size int) [][]string {
	ids := v.zones[zone]
	count := (len(ids) + size - 1) / size
	if count == 0 {
		return nil
	}
	cells := make([][]string, count)
	names := cellNames(count)
	for _, id := range ids {
		at := firstCellWithRoom(id, names, cells, size)
		cells[at] = append(cells[at], id)
	}
	return cells
}

// firstCellWithRoom returns the first cell in the instance's rendezvous order
// that has fewer than size instances.
func firstCellWithRoom(id string, names []string, cells [][]string, size int) int {
	for _, name := range Rank(id, names) {
		at, _ := strconv.Atoi(name)
		if len(cells[at]) < size {
			return at
		}
	}
	return 0
}

func cellNames(count int) []string {
	names := make([]string, 0, count)
	for i := range count {
		names = append(names, strconv.Itoa(i))
	}
	return names
}

// CellOf returns the ids of the cell that serves an endpoint of the zone, in
// order.
func (v *View) CellOf(zone, endpoint string, size int) []string {
	cells := v.Cells(zone, size)
	if len(cells) == 0 {
		return nil
	}
	at, _ := strconv.Atoi(First(endpoint, cellNames(len(cells))))
	cell := slices.Clone(cells[at])
	slices.Sort(cell)
	return cell
}

// Homes returns the ids of the count home instances of key. They are in
// distinct availability zones, unless there are fewer zones than count.
func (v *View) Homes(key string, count int) []string {
	ranked := Rank(key, v.ids)
	homes := make([]string, 0, count)
	used := map[string]bool{}
	for _, id := range ranked {
		if zone := v.instances[id].Zone; len(homes) < count && !used[zone] {
			used[zone] = true
			homes = append(homes, id)
		}
	}
	for _, id := range ranked {
		if len(homes) < count && !slices.Contains(homes, id) {
			homes = append(homes, id)
		}
	}
	return homes
}

// Equal reports whether both views hold the same instances.
func (v *View) Equal(other *View) bool {
	return slices.EqualFunc(v.Instances(), other.Instances(), func(a, b Instance) bool {
		return a == b
	})
}
