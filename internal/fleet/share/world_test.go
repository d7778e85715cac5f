package share

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
)

// world is a zone in one process: instances with their own views, endpoints
// that count what runs on them, and messages that get lost or come late.
type world struct {
	timers *clock.Service
	driver *clock.Driver
	nodes  map[string]*node
	dead   map[string]bool
	listed *member.View // the platform's list
	backs  map[string]*back
	cut    map[[2]string]bool
	mute   func() bool // whether the next answer is lost
	late   []func()
	limit  int
	size   int
	// carry, if set, carries the reports instead of a direct call.
	carry func(to string, r *Report) (*Answer, error)
	// highs holds the ramps of the home instances over time, by endpoint.
	highs map[string][]high
	// exceeded describes the first time at which an endpoint ran too much.
	exceeded string
}

type high struct {
	at    time.Time
	value int
}

// node is one instance.
type node struct {
	id      string
	pool    *Pool
	listed  *member.View
	checked time.Time // when listed was the platform's list for the last time
	queued  []Queued
	slots   []*Slot
	refused map[string]bool
	roster  *roster.Roster
	// current: the roster has the endpoints of the world.
	current  bool
	revision uint64
}

// back is an endpoint.
type back struct {
	endpoint roster.Endpoint
	running  int
}

const zone = "zone-a"

func newWorld(endpoints, limit int) *world {
	timers, driver := clock.NewDriven(time.Unix(1000, 0))
	w := &world{
		timers: timers, driver: driver, nodes: map[string]*node{}, dead: map[string]bool{}, limit: limit, size: 8,
		listed: member.NewView(nil), backs: map[string]*back{}, cut: map[[2]string]bool{}, highs: map[string][]high{}, mute: func() bool { return false },
	}
	for i := range endpoints {
		w.addEndpoint(fmt.Sprintf("e-%d", i))
	}
	return w
}

func (w *world) addEndpoint(id string) {
	w.backs[id] = &back{endpoint: roster.Endpoint{
		ID: id, Zone: zone, Address: "127.0.0.1:1", Kind: roster.KindEngine, Model: "tagger", State: roster.StateLive,
	}}
}

// join starts an instance of the zone that reads the platform's list at once.
func (w *world) join(id string) *node { return w.joinZone(id, zone) }

func (w *world) joinZone(id, zone string) *node {
	w.listed = w.listed.With(member.Instance{ID: id, Zone: zone, State: member.StateLive})
	delete(w.dead, id)
	settings := setting.Defaults()
	settings.ID, settings.Zone, settings.CellSize = id, zone, w.size
	n := &node{id: id, listed: w.listed, checked: w.timers.Now(), refused: map[string]bool{}}
	n.roster = roster.New(settings, w.timers, roster.Seams{ZoneOut: func(string) bool { return false }}, logs.Discard())
	n.pool = New(settings, w.timers, Seams{
		Listed:  func() *member.View { return n.listed },
		ListAge: func() time.Duration { return w.timers.Since(n.checked) },
		Alive:   func() *member.View { return n.alive(w) },
		Dead:    func(peer string) bool { return w.dead[peer] && n.refused[peer] },
		Outcome: func(peer string, err error) {
			n.refused[peer] = errors.Is(err, errRefused)
		},
		Endpoints: func() *roster.Snapshot { return w.snapshot(n) },
		Learn:     n.roster.Learn,
		Probe:     func(string) {},
		Slots:     func(string) int { return w.limit },
		Queued:    func() []Queued { return n.queued },
		Call:      func(_ context.Context, to member.Instance, r *Report) (*Answer, error) { return w.call(n.id, to.ID, r) },
	}, logs.Discard())
	w.nodes[id] = n
	return n
}

// alive is the view without the instances that this one cannot reach.
func (n *node) alive(w *world) *member.View {
	view := n.listed
	for _, id := range n.listed.IDs() {
		if id != n.id && (w.dead[id] || w.cut[[2]string{n.id, id}]) {
			view = view.Without(id)
		}
	}
	return view
}

var (
	errRefused = errors.New("connection refused")
	errLost    = errors.New("lost")
)

func (w *world) call(from, to string, r *Report) (*Answer, error) {
	n, ok := w.nodes[to]
	switch {
	case w.dead[to]:
		return nil, errRefused
	case !ok || w.cut[[2]string{from, to}]:
		return nil, errLost
	case w.mute():
		// The report arrives, now or later, and the answer is lost.
		w.late = append(w.late, func() { _, _ = n.pool.Serve(r) })
		return nil, errLost
	}
	if w.carry != nil {
		return w.carry(to, r)
	}
	return n.pool.Serve(r)
}

// snapshot is the roster of an instance: all endpoints, with the load that each
// reported at its last poll.
func (w *world) snapshot(n *node) *roster.Snapshot {
	if !n.current {
		n.current = true
		n.revision++
		page := roster.Page{Revision: n.revision, Full: true}
		for _, b := range w.backs {
			b.endpoint.Revision = n.revision
			page.Endpoints = append(page.Endpoints, b.endpoint)
		}
		n.roster.Merge(page)
	}
	return n.roster.Endpoints()
}

// poll lets an instance ask the endpoints for their load.
func (n *node) poll(w *world) {
	for id, b := range w.backs {
		n.roster.Learn(id, roster.Load{Running: b.running, Limit: w.limit, At: w.timers.Now()})
	}
}

func (w *world) take(n *node, endpoint, account string) bool {
	slot, ok := n.pool.Take(endpoint, account)
	if !ok {
		return false
	}
	n.slots = append(n.slots, slot)
	b := w.backs[endpoint]
	b.running++
	if highest := w.highest(endpoint); b.running > highest && w.exceeded == "" {
		w.exceeded = fmt.Sprintf("%s runs %d, limit %d, %v after the start", endpoint, b.running, highest, w.timers.Since(time.Unix(1000, 0)))
	}
	return true
}

// observe records the ramps of the home instances and adds up the shares that
// they hold.
func (w *world) observe() {
	now := w.timers.Now()
	for endpoint := range w.backs {
		shares := 0.0
		for _, n := range w.nodes {
			l, ok := n.pool.ledgers[endpoint]
			if !ok {
				continue
			}
			w.highs[endpoint] = append(w.highs[endpoint], high{now, l.ramp.value})
			for _, e := range l.entries {
				if e.parts > 0 && now.Before(e.partsUntil) {
					shares += 1 / float64(e.parts)
				}
			}
		}
		if shares > 1+1e-9 && w.exceeded == "" {
			w.exceeded = fmt.Sprintf("the shares of %s that home instances hold add up to %.2f", endpoint, shares)
		}
	}
}

// highest is the highest ramp of the last two terms: a grant that was made
// under it may still be used.
func (w *world) highest(endpoint string) int {
	w.observe()
	now, best := w.timers.Now(), 0
	kept := w.highs[endpoint][:0]
	for _, h := range w.highs[endpoint] {
		if now.Sub(h.at) <= 3*time.Second {
			kept = append(kept, h)
			best = max(best, h.value)
		}
	}
	w.highs[endpoint] = kept
	return best
}

// finish ends the work on the oldest slot.
func (w *world) finish(n *node, outcome Outcome) {
	if len(n.slots) == 0 {
		return
	}
	slot := n.slots[0]
	n.slots = n.slots[1:]
	w.backs[slot.hold.endpoint].running--
	slot.Release(outcome)
}

// freeAll ends all work of an instance well.
func (w *world) freeAll(n *node) {
	for len(n.slots) > 0 {
		w.finish(n, Outcome{FirstToken: 50 * time.Millisecond})
	}
}

// die ends an instance; its work ends with its connections.
func (w *world) die(id string) {
	n := w.nodes[id]
	for len(n.slots) > 0 {
		w.finish(n, Outcome{})
	}
	w.dead[id] = true
	delete(w.nodes, id)
}

// exchange lets an instance read its lists and exchange with all peers once.
func (w *world) exchange(n *node) {
	n.pool.reconcile()
	for _, id := range n.pool.targets(w.timers.Now()) {
		n.pool.Exchange(context.Background(), id)
	}
	w.observe()
}

// sync lets an instance read the platform's list.
func (w *world) sync(n *node) {
	if !n.listed.Equal(w.listed) {
		n.listed = w.listed
	}
	n.checked = w.timers.Now()
}

func (w *world) ids() []string {
	ids := make([]string, 0, len(w.nodes))
	for id := range w.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// period passes one exchange period for all instances.
func (w *world) period() {
	w.driver.Advance(time.Second)
	for _, id := range w.ids() {
		w.sync(w.nodes[id])
		w.nodes[id].poll(w)
		w.exchange(w.nodes[id])
	}
}
