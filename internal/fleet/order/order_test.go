package order

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
	"github.com/wigeonpin/wigeonpin/internal/peer/capacity"
)

// fixture simulates a zone with two instances and a platform that carries out
// orders.
type fixture struct {
	driver       *clock.Driver
	scaler       *Scaler
	lease        Lease
	fence        uint64
	held         bool
	needs        map[string]*Demand
	unreachable  bool
	table        *table.Table
	endpoints    map[string]roster.Endpoint
	revision     uint64
	orderResult  func() error // the platform's answer to the next order
	ignoreOrders bool         // the platform does not carry out orders
	sent         []capacity.Order
	timers       *clock.Service
	known        *roster.Snapshot // an outdated copy of the endpoints; nil for none
	refresh      func() error
}

func newFixture(row string, standard, cheap int) *fixture {
	timers, driver := clock.NewDriven(time.Unix(1000, 0))
	f := &fixture{
		driver: driver, timers: timers, fence: 7, held: true, needs: map[string]*Demand{"a": {Model: "m"}, "b": {Model: "m"}},
		endpoints: map[string]roster.Endpoint{}, orderResult: func() error { return nil },
		refresh: func() error { return nil },
		table:   table.Load(1, []table.Row{{Table: table.Models, Name: "m", Revision: 1, Value: json.RawMessage(row)}}),
	}
	f.apply(capacity.ModelTarget{Model: "m", Standard: standard, Cheap: cheap})
	f.lease = Lease{Held: func() (uint64, bool) { return f.fence, f.held }, Client: http.DefaultClient}
	settings := setting.Defaults()
	settings.ID, settings.Zone = "a", "zone-a"
	f.scaler = New(settings, timers, Seams{
		Members: func() []member.Instance { return []member.Instance{{ID: "a"}, {ID: "b"}} },
		Demand:  func() []*Demand { return []*Demand{f.needs["a"]} },
		Collect: func(context.Context, member.Instance) ([]*Demand, error) {
			if f.unreachable {
				return nil, errors.New("no answer")
			}
			return []*Demand{f.needs["b"]}, nil
		},
		Endpoints: func() *roster.Snapshot {
			if f.known != nil {
				return f.known
			}
			return f.snapshot()
		},
		Refresh: func(context.Context) error { return f.refresh() },
		Table:   func() *table.Table { return f.table },
		Order: func(_ context.Context, _ *http.Client, _ string, o capacity.Order) error {
			f.sent = append(f.sent, o)
			if err := f.orderResult(); err != nil {
				return err
			}
			f.apply(o.Models[0])
			return nil
		},
	}, logs.Discard())
	return f
}

func (f *fixture) snapshot() *roster.Snapshot {
	r := roster.New(setting.Settings{}, f.timers, roster.Seams{ZoneOut: func(string) bool { return false }}, logs.Discard())
	page := roster.Page{Revision: 1, Full: true}
	for _, e := range f.endpoints {
		page.Endpoints = append(page.Endpoints, e)
	}
	r.Merge(page)
	return r.Endpoints()
}

// apply sets the endpoints of the platform to those of an order.
func (f *fixture) apply(m capacity.ModelTarget) {
	if f.ignoreOrders {
		return
	}
	for class, count := range map[string]int{roster.ClassStandard: m.Standard, roster.ClassCheap: m.Cheap} {
		for i := range 200 {
			id := fmt.Sprintf("%s-%d", class, i)
			delete(f.endpoints, id)
			if i < count {
				f.endpoints[id] = roster.Endpoint{ID: id, Zone: "zone-a", Model: "m", Class: class, State: roster.StateLive}
			}
		}
	}
}

func (f *fixture) rounds(n int) capacity.ModelTarget {
	for range n {
		f.driver.Advance(5 * time.Second)
		f.scaler.round(context.Background(), f.lease)
	}
	return f.last()
}

func (f *fixture) last() capacity.ModelTarget {
	if len(f.sent) == 0 {
		return capacity.ModelTarget{}
	}
	return f.sent[len(f.sent)-1].Models[0]
}

func (f *fixture) setDemand(running, queued, fixed int64) {
	for _, d := range f.needs {
		d.Running, d.Queued, d.Fixed = running/2, queued/2, fixed/2
	}
}

// TestOrderIsSentUntilConfirmed guards against an order that is not repeated after
// its answer was lost, and against one that is repeated in every round although
// it was confirmed.
func TestOrderIsSentUntilConfirmed(t *testing.T) {
	f := newFixture(`{"slots":8,"floor":2}`, 2, 0)
	f.setDemand(80, 0, 0)
	f.ignoreOrders = true
	f.orderResult = func() error { return errors.New("answer lost") }
	f.rounds(4)
	if len(f.sent) != 4 {
		t.Fatalf("%d orders were sent while none was confirmed, want 4", len(f.sent))
	}
	for _, o := range f.sent {
		if o.Fence != 7 || o.Holder != "a" {
			t.Fatalf("order %+v, want fencing token 7 and holder a", o)
		}
	}
	f.orderResult, f.ignoreOrders = func() error { return nil }, false
	f.rounds(10)
	before := len(f.sent)
	f.rounds(10)
	if len(f.sent) > before+1 {
		t.Fatalf("%d orders were sent although nothing changed, want at most 1", len(f.sent)-before)
	}
	// Without the lease nothing is ordered.
	f.held = false
	f.setDemand(800, 0, 0)
	before = len(f.sent)
	f.rounds(5)
	if len(f.sent) != before {
		t.Fatal("an order was sent without the lease")
	}
}

// TestReclaimOfAllCheapEndpoints guards against a zone that stops serving when the
// platform reclaims all cheap endpoints at once: enough standard endpoints must
// remain for requests that may not run on cheap ones, and standard endpoints must
// replace the cheap ones.
func TestReclaimOfAllCheapEndpoints(t *testing.T) {
	f := newFixture(`{"slots":8,"floor":2,"cheap":true}`, 2, 0)
	f.setDemand(200, 0, 40)
	before := f.rounds(10)
	if floor := 7; before.Standard < floor || before.Cheap < 20 {
		t.Fatalf("order %+v, want at least %d standard endpoints for the fixed requests and at least 20 cheap ones", before, floor)
	}
	for id, e := range f.endpoints {
		if e.Class == roster.ClassCheap {
			delete(f.endpoints, id)
		}
	}
	f.ignoreOrders = true // The platform has no cheap endpoints for now.
	after := f.rounds(1)
	if after.Standard < before.Standard+before.Cheap || after.Cheap != 0 {
		t.Fatalf("order %+v after the reclaim of %d cheap endpoints, want standard ones instead", after, before.Cheap)
	}
	f.ignoreOrders = false
	f.apply(after)
	if got := f.rounds(20); got.Standard != after.Standard {
		t.Fatalf("order %+v within the reclaim cooldown, want %+v", got, after)
	}
	if got := f.rounds(200); got.Cheap < 15 || got.Standard < 7 {
		t.Fatalf("order %+v after the reclaim cooldown, want cheap endpoints again", got)
	}
}

// TestOrdersShrinkOnlyAfterDelay guards against endpoints that start and stop with
// each swing of the demand, and against a zone that shrinks because an instance
// does not answer.
func TestOrdersShrinkOnlyAfterDelay(t *testing.T) {
	f := newFixture(`{"slots":8,"floor":1}`, 1, 0)
	f.setDemand(160, 0, 0)
	full := f.rounds(30)
	if full.Standard < 25 {
		t.Fatalf("order %+v for 160 slots in use, want at least 25 endpoints", full)
	}
	for i := range 60 { // The demand swings with a period of 40 s.
		f.setDemand(int64(160-100*(i/4%2)), 0, 0)
		if got := f.rounds(1); got.Standard < full.Standard {
			t.Fatalf("order %+v during the swings, want %d", got, full.Standard)
		}
	}
	f.setDemand(0, 0, 0)
	f.unreachable = true
	full = f.last()
	if got := f.rounds(60); got.Standard < full.Standard {
		t.Fatalf("order %+v while an instance does not answer, want %+v", got, full)
	}
	f.unreachable = false
	if got := f.rounds(400); got.Standard != 1 {
		t.Fatalf("order %+v without demand, want the floor of 1", got)
	}
}

// TestZoneOutOfServiceKeepsItsOrder guards against a zone that gives up its
// endpoints while it is out of service and has none on its return.
func TestZoneOutOfServiceKeepsItsOrder(t *testing.T) {
	f := newFixture(`{"slots":8,"floor":1}`, 1, 0)
	f.setDemand(160, 0, 0)
	f.rounds(30)
	before := len(f.sent)
	f.table, _ = f.table.With(table.Row{Table: table.Zones, Name: "zone-a", Revision: 2, Value: json.RawMessage(`{"state":"out"}`)})
	f.setDemand(0, 0, 0)
	f.rounds(100)
	if len(f.sent) != before {
		t.Fatalf("order %+v for a zone out of service", f.last())
	}
}

// BenchmarkDecision measures the time of one decision by number of endpoints.
func BenchmarkDecision(b *testing.B) {
	for _, count := range []int{12, 100, 500, 930, 6500} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			f := newFixture(`{"slots":8,"floor":1,"cheap":true}`, 0, 0)
			for i := range count {
				id := fmt.Sprintf("endpoint-%05d", i)
				f.endpoints[id] = roster.Endpoint{ID: id, Zone: "zone-a", Model: "m", Class: roster.ClassCheap, State: roster.StateLive}
			}
			snapshot := f.snapshot()
			f.scaler.seams.Endpoints = func() *roster.Snapshot { return snapshot }
			f.setDemand(int64(6*count), 0, 0)
			f.scaler.plans, f.scaler.lastCheap = map[string]*plan{}, map[string]string{}
			f.scaler.demands = map[string]instanceDemand{}
			needs := map[string]need{"m": {running: int64(6 * count)}}
			for b.Loop() {
				f.driver.Advance(5 * time.Second)
				f.scaler.decide(f.table, needs, false)
			}
		})
	}
}
