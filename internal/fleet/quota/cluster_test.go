package quota

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

// cluster simulates a zone in one process: instances with their own views,
// endpoints that count their running requests, and messages that are lost or
// delayed.
type cluster struct {
	timers     *clock.Service
	driver     *clock.Driver
	nodes      map[string]*node
	dead       map[string]bool
	listed     *member.View // the platform's list
	endpoints  map[string]*fakeEndpoint
	cutLinks   map[[2]string]bool
	dropAnswer func() bool // reports whether the next answer is lost
	delayed    []func()
	limit      int
	cellSize   int
	// send, if set, replaces the direct call that delivers a report.
	send func(to string, r *Report) (*Answer, error)
	// ramps holds the ramps of the home instances over time, by endpoint.
	ramps map[string][]rampSample
	// violation describes the first violation of the limit or of the sum of
	// shares.
	violation string
}

type rampSample struct {
	at    time.Time
	value int
}

// node is one simulated instance.
type node struct {
	id            string
	pool          *Pool
	listed        *member.View
	listCheckedAt time.Time // last time at which listed was the platform's list
	queued        []Backlog
	slots         []*Slot
	refused       map[string]bool
	roster        *roster.Roster
	// rosterCurrent is set while the roster has the endpoints of the cluster.
	rosterCurrent bool
	revision      uint64
}

// fakeEndpoint is an endpoint that counts its running requests.
type fakeEndpoint struct {
	endpoint roster.Endpoint
	running  int
}

const zone = "zone-a"

func newCluster(endpoints, limit int) *cluster {
	timers, driver := clock.NewDriven(time.Unix(1000, 0))
	c := &cluster{
		timers: timers, driver: driver, nodes: map[string]*node{}, dead: map[string]bool{}, limit: limit, cellSize: 8,
		listed: member.NewView(nil), endpoints: map[string]*fakeEndpoint{}, cutLinks: map[[2]string]bool{}, ramps: map[string][]rampSample{}, dropAnswer: func() bool { return false },
	}
	for i := range endpoints {
		c.addEndpoint(fmt.Sprintf("e-%d", i))
	}
	return c
}

func (c *cluster) addEndpoint(id string) {
	c.endpoints[id] = &fakeEndpoint{endpoint: roster.Endpoint{
		ID: id, Zone: zone, Address: "127.0.0.1:1", Kind: roster.KindEngine, Model: "tagger", State: roster.StateLive,
	}}
}

// join starts an instance of the zone that reads the platform's list at once.
func (c *cluster) join(id string) *node { return c.joinZone(id, zone) }

func (c *cluster) joinZone(id, zone string) *node {
	c.listed = c.listed.With(member.Instance{ID: id, Zone: zone, State: member.StateLive})
	delete(c.dead, id)
	settings := setting.Defaults()
	settings.ID, settings.Zone, settings.CellSize = id, zone, c.cellSize
	n := &node{id: id, listed: c.listed, listCheckedAt: c.timers.Now(), refused: map[string]bool{}}
	n.roster = roster.New(settings, c.timers, roster.Seams{ZoneOut: func(string) bool { return false }}, logs.Discard())
	n.pool = New(settings, c.timers, Seams{
		Listed:  func() *member.View { return n.listed },
		ListAge: func() time.Duration { return c.timers.Since(n.listCheckedAt) },
		Alive:   func() *member.View { return n.alive(c) },
		Dead:    func(peer string) bool { return c.dead[peer] && n.refused[peer] },
		CallDone: func(peer string, err error) {
			n.refused[peer] = errors.Is(err, errRefused)
		},
		Endpoints: func() *roster.Snapshot { return c.snapshot(n) },
		Learn:     n.roster.MergeLoad,
		Probe:     func(string) {},
		SlotLimit: func(string) int { return c.limit },
		Queued:    func() []Backlog { return n.queued },
		Call:      func(_ context.Context, to member.Instance, r *Report) (*Answer, error) { return c.call(n.id, to.ID, r) },
	}, logs.Discard())
	c.nodes[id] = n
	return n
}

// alive returns the view without the instances that this one cannot reach.
func (n *node) alive(c *cluster) *member.View {
	view := n.listed
	for _, id := range n.listed.IDs() {
		if id != n.id && (c.dead[id] || c.cutLinks[[2]string{n.id, id}]) {
			view = view.Without(id)
		}
	}
	return view
}

var (
	errRefused = errors.New("connection refused")
	errLost    = errors.New("lost")
)

func (c *cluster) call(from, to string, r *Report) (*Answer, error) {
	n, ok := c.nodes[to]
	switch {
	case c.dead[to]:
		return nil, errRefused
	case !ok || c.cutLinks[[2]string{from, to}]:
		return nil, errLost
	case c.dropAnswer():
		// The report arrives, now or later, and the answer is lost.
		c.delayed = append(c.delayed, func() { _, _ = n.pool.HandleReport(r) })
		return nil, errLost
	}
	if c.send != nil {
		return c.send(to, r)
	}
	return n.pool.HandleReport(r)
}

// snapshot returns the roster of an instance: all endpoints, with the load that
// each reported when it was last polled.
func (c *cluster) snapshot(n *node) *roster.Snapshot {
	if !n.rosterCurrent {
		n.rosterCurrent = true
		n.revision++
		page := roster.Page{Revision: n.revision, Full: true}
		for _, e := range c.endpoints {
			e.endpoint.Revision = n.revision
			page.Endpoints = append(page.Endpoints, e.endpoint)
		}
		n.roster.Merge(page)
	}
	return n.roster.Endpoints()
}

// poll lets an instance ask the endpoints for their load.
func (n *node) poll(c *cluster) {
	for id, e := range c.endpoints {
		n.roster.MergeLoad(id, roster.Load{Running: e.running, Limit: c.limit, At: c.timers.Now()})
	}
}

func (c *cluster) take(n *node, endpoint, account string) bool {
	slot, ok := n.pool.Take(endpoint, account)
	if !ok {
		return false
	}
	n.slots = append(n.slots, slot)
	e := c.endpoints[endpoint]
	e.running++
	if maxRamp := c.maxRecentRamp(endpoint); e.running > maxRamp && c.violation == "" {
		c.violation = fmt.Sprintf("%s runs %d, limit %d, %v after the start", endpoint, e.running, maxRamp, c.timers.Since(time.Unix(1000, 0)))
	}
	return true
}

// observeHomes records the ramps of the home instances and adds up the shares
// that they hold.
func (c *cluster) observeHomes() {
	now := c.timers.Now()
	for endpoint := range c.endpoints {
		shares := 0.0
		for _, n := range c.nodes {
			l, ok := n.pool.ledgers[endpoint]
			if !ok {
				continue
			}
			c.ramps[endpoint] = append(c.ramps[endpoint], rampSample{now, l.ramp.value})
			for _, e := range l.entries {
				if e.divisor > 0 && now.Before(e.shareUntil) {
					shares += 1 / float64(e.divisor)
				}
			}
		}
		if shares > 1+1e-9 && c.violation == "" {
			c.violation = fmt.Sprintf("the shares of %s that home instances hold add up to %.2f", endpoint, shares)
		}
	}
}

// maxRecentRamp returns the highest ramp of the last two terms: a grant made
// under it may still be used.
func (c *cluster) maxRecentRamp(endpoint string) int {
	c.observeHomes()
	now, maxRamp := c.timers.Now(), 0
	kept := c.ramps[endpoint][:0]
	for _, s := range c.ramps[endpoint] {
		if now.Sub(s.at) <= 3*time.Second {
			kept = append(kept, s)
			maxRamp = max(maxRamp, s.value)
		}
	}
	c.ramps[endpoint] = kept
	return maxRamp
}

// finish ends the work on the oldest slot.
func (c *cluster) finish(n *node, outcome Outcome) {
	if len(n.slots) == 0 {
		return
	}
	slot := n.slots[0]
	n.slots = n.slots[1:]
	c.endpoints[slot.slots.endpoint].running--
	slot.Release(outcome)
}

// finishAll ends all work of an instance successfully.
func (c *cluster) finishAll(n *node) {
	for len(n.slots) > 0 {
		c.finish(n, Outcome{FirstToken: 50 * time.Millisecond})
	}
}

// kill ends an instance. Its work ends with its connections.
func (c *cluster) kill(id string) {
	n := c.nodes[id]
	for len(n.slots) > 0 {
		c.finish(n, Outcome{})
	}
	c.dead[id] = true
	delete(c.nodes, id)
}

// exchange lets an instance read its lists and exchange with all peers once.
func (c *cluster) exchange(n *node) {
	n.pool.reconcile()
	for _, id := range n.pool.targets(c.timers.Now()) {
		n.pool.Exchange(context.Background(), id)
	}
	c.observeHomes()
}

// syncList lets an instance read the platform's list.
func (c *cluster) syncList(n *node) {
	if !n.listed.Equal(c.listed) {
		n.listed = c.listed
	}
	n.listCheckedAt = c.timers.Now()
}

func (c *cluster) ids() []string {
	ids := make([]string, 0, len(c.nodes))
	for id := range c.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// runPeriod advances the clock by one exchange period and runs the exchanges of
// all instances.
func (c *cluster) runPeriod() {
	c.driver.Advance(time.Second)
	for _, id := range c.ids() {
		c.syncList(c.nodes[id])
		c.nodes[id].poll(c)
		c.exchange(c.nodes[id])
	}
}
