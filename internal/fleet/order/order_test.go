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

// fixture is a zone with two instances and a platform that follows orders.
type fixture struct {
	driver   *clock.Driver
	orders   *Orders
	lease    Lease
	fence    uint64
	held     bool
	needs    map[string]*Demand
	silent   bool
	table    *table.Table
	backs    map[string]roster.Endpoint
	revision uint64
	answers  func() error // the fate of the next order's answer
	deaf     bool         // the platform does not follow orders
	sent     []capacity.Order
	timers   *clock.Service
}

func newFixture(row string, standard, cheap int) *fixture {
	timers, driver := clock.NewDriven(time.Unix(1000, 0))
	f := &fixture{
		driver: driver, timers: timers, fence: 7, held: true, needs: map[string]*Demand{"a": {Model: "m"}, "b": {Model: "m"}},
		backs: map[string]roster.Endpoint{}, answers: func() error { return nil },
		table: table.Load(1, []table.Row{{Table: table.Models, Name: "m", Revision: 1, Value: json.RawMessage(row)}}),
	}
	f.follow(capacity.Model{Model: "m", Standard: standard, Cheap: cheap})
	f.lease = Lease{Held: func() (uint64, bool) { return f.fence, f.held }, Client: http.DefaultClient}
	settings := setting.Defaults()
	settings.ID, settings.Zone = "a", "zone-a"
	f.orders = New(settings, timers, Seams{
		Members: func() []member.Instance { return []member.Instance{{ID: "a"}, {ID: "b"}} },
		Demand:  func() []*Demand { return []*Demand{f.needs["a"]} },
		Collect: func(context.Context, member.Instance) ([]*Demand, error) {
			if f.silent {
				return nil, errors.New("no answer")
			}
			return []*Demand{f.needs["b"]}, nil
		},
		Endpoints: f.snapshot,
		Table:     func() *table.Table { return f.table },
		Order: func(_ context.Context, _ *http.Client, _ string, o capacity.Order) error {
			f.sent = append(f.sent, o)
			if err := f.answers(); err != nil {
				return err
			}
			f.follow(o.Models[0])
			return nil
		},
	}, logs.Discard())
	return f
}

func (f *fixture) snapshot() *roster.Snapshot {
	r := roster.New(setting.Settings{}, f.timers, roster.Seams{ZoneOut: func(string) bool { return false }}, logs.Discard())
	page := roster.Page{Revision: 1, Full: true}
	for _, e := range f.backs {
		page.Endpoints = append(page.Endpoints, e)
	}
	r.Merge(page)
	return r.Endpoints()
}

// follow makes the platform's endpoints those of an order.
func (f *fixture) follow(m capacity.Model) {
	if f.deaf {
		return
	}
	for class, count := range map[string]int{roster.ClassStandard: m.Standard, roster.ClassCheap: m.Cheap} {
		for i := range 200 {
			id := fmt.Sprintf("%s-%d", class, i)
			delete(f.backs, id)
			if i < count {
				f.backs[id] = roster.Endpoint{ID: id, Zone: "zone-a", Model: "m", Class: class, State: roster.StateLive}
			}
		}
	}
}

func (f *fixture) rounds(n int) capacity.Model {
	for range n {
		f.driver.Advance(5 * time.Second)
		f.orders.round(context.Background(), f.lease)
	}
	return f.last()
}

func (f *fixture) last() capacity.Model {
	if len(f.sent) == 0 {
		return capacity.Model{}
	}
	return f.sent[len(f.sent)-1].Models[0]
}

func (f *fixture) work(running, queued, fixed int64) {
	for _, d := range f.needs {
		d.Running, d.Queued, d.Fixed = running/2, queued/2, fixed/2
	}
}

// Guards against an order that stays open after its answer was lost, and
// against one that is sent all the time although it was confirmed.
func TestOrderIsSentUntilConfirmed(t *testing.T) {
	f := newFixture(`{"slots":8,"floor":2}`, 2, 0)
	f.work(80, 0, 0)
	f.deaf = true
	f.answers = func() error { return errors.New("answer lost") }
	f.rounds(4)
	if len(f.sent) != 4 {
		t.Fatalf("%d orders were sent while none was confirmed, want 4", len(f.sent))
	}
	for _, o := range f.sent {
		if o.Fence != 7 || o.Holder != "a" {
			t.Fatalf("order %+v without the holder's token", o)
		}
	}
	f.answers, f.deaf = func() error { return nil }, false
	f.rounds(10)
	before := len(f.sent)
	f.rounds(10)
	if len(f.sent) > before+1 {
		t.Fatalf("%d orders were sent without change", len(f.sent)-before)
	}
	// Without the lease nothing is ordered.
	f.held = false
	f.work(800, 0, 0)
	before = len(f.sent)
	f.rounds(5)
	if len(f.sent) != before {
		t.Fatal("an order was sent without the lease")
	}
}

// Guards against a zone whose work stops when the platform reclaims all cheap
// endpoints at once: the floor carries what may not run on cheap ones, and
// standard endpoints take the place of the cheap ones.
func TestReclaimOfAllCheapEndpoints(t *testing.T) {
	f := newFixture(`{"slots":8,"floor":2,"cheap":true}`, 2, 0)
	f.work(200, 0, 40)
	before := f.rounds(10)
	if floor := 7; before.Standard < floor || before.Cheap < 20 {
		t.Fatalf("order %+v, want at least %d standard ones for the fixed work and cheap ones for the rest", before, floor)
	}
	for id, e := range f.backs {
		if e.Class == roster.ClassCheap {
			delete(f.backs, id)
		}
	}
	f.deaf = true // The platform has no cheap endpoints for now.
	after := f.rounds(1)
	if after.Standard < before.Standard+before.Cheap || after.Cheap != 0 {
		t.Fatalf("order %+v after the reclaim of %d, want standard ones instead", after, before.Cheap)
	}
	f.deaf = false
	f.follow(after)
	if got := f.rounds(20); got.Standard != after.Standard {
		t.Fatalf("order %+v within the time of distrust, want %+v", got, after)
	}
	if got := f.rounds(200); got.Cheap < 15 || got.Standard < 7 {
		t.Fatalf("order %+v long after, want cheap endpoints again", got)
	}
}

// Guards against endpoints that come and go with each swing of the demand, and
// against a zone that shrinks because an instance does not answer.
func TestShrinkingWaits(t *testing.T) {
	f := newFixture(`{"slots":8,"floor":1}`, 1, 0)
	f.work(160, 0, 0)
	full := f.rounds(30)
	if full.Standard < 25 {
		t.Fatalf("order %+v for 160 slots in use, want at least 25 endpoints", full)
	}
	for i := range 60 { // The demand swings with a period of 40 s.
		f.work(int64(160-100*(i/4%2)), 0, 0)
		if got := f.rounds(1); got.Standard < full.Standard {
			t.Fatalf("order %+v during the swings, want %d", got, full.Standard)
		}
	}
	f.work(0, 0, 0)
	f.silent = true
	full = f.last()
	if got := f.rounds(60); got.Standard < full.Standard {
		t.Fatalf("order %+v while an instance is silent, want %+v", got, full)
	}
	f.silent = false
	if got := f.rounds(400); got.Standard != 1 {
		t.Fatalf("order %+v without demand, want the floor of 1", got)
	}
}

// Guards against a zone that gives its endpoints away while it is out of
// service and has none on its return.
func TestZoneOutOfServiceKeepsItsOrder(t *testing.T) {
	f := newFixture(`{"slots":8,"floor":1}`, 1, 0)
	f.work(160, 0, 0)
	f.rounds(30)
	before := len(f.sent)
	f.table, _ = f.table.With(table.Row{Table: table.Zones, Name: "zone-a", Revision: 2, Value: json.RawMessage(`{"state":"out"}`)})
	f.work(0, 0, 0)
	f.rounds(100)
	if len(f.sent) != before {
		t.Fatalf("order %+v for a zone out of service", f.last())
	}
}

// BenchmarkDecision shows the time of one decision against the number of
// models and endpoints.
func BenchmarkDecision(b *testing.B) {
	for _, count := range []int{12, 100, 500, 930, 6500} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			f := newFixture(`{"slots":8,"floor":1,"cheap":true}`, 0, 0)
			for i := range count {
				id := fmt.Sprintf("endpoint-%05d", i)
				f.backs[id] = roster.Endpoint{ID: id, Zone: "zone-a", Model: "m", Class: roster.ClassCheap, State: roster.StateLive}
			}
			snapshot := f.snapshot()
			f.orders.seams.Endpoints = func() *roster.Snapshot { return snapshot }
			f.work(int64(6*count), 0, 0)
			f.orders.plans, f.orders.cheap = map[string]*plan{}, map[string]string{}
			f.orders.known = map[string]collected{}
			needs := map[string]need{"m": {running: int64(6 * count)}}
			for b.Loop() {
				f.driver.Advance(5 * time.Second)
				f.orders.decide(f.table, needs, false)
			}
		})
	}
}
