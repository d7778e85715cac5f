package roster

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
)

type fixture struct {
	roster      *Roster
	driver      *clock.Driver
	zonesOut    map[string]bool
	unreachable map[string]bool
	isHome      bool
}

func newFixture() *fixture {
	timers, driver := clock.NewDriven(time.Unix(1000, 0))
	f := &fixture{driver: driver, zonesOut: map[string]bool{}, unreachable: map[string]bool{}, isHome: true}
	f.roster = New(setting.Defaults(), timers, Seams{
		ZoneOut: func(zone string) bool { return f.zonesOut[zone] },
		IsHome:  func(Endpoint) bool { return f.isHome },
		Load: func(_ context.Context, e Endpoint) (Load, error) {
			if f.unreachable[e.ID] {
				return Load{}, errors.New("connection refused")
			}
			return Load{Running: 1, Limit: 8}, nil
		},
	}, logs.Discard())
	return f
}

func (f *fixture) probe(after time.Duration) {
	f.driver.Advance(after)
	f.roster.probeDue(context.Background(), 0)
}

func newPage(revision uint64, states map[string]string) Page {
	page := Page{Revision: revision, Full: revision == 1}
	for id, state := range states {
		page.Endpoints = append(page.Endpoints, Endpoint{ID: id, Zone: "zone-" + id[:1], Model: "m", State: state, Revision: revision})
	}
	return page
}

// Guards against new work on an endpoint that is starting, leaving or gone
// (invariant 15), or whose zone is out of service (invariant 11).
func TestOnlyLiveEndpointsOfZonesInServiceAreUsable(t *testing.T) {
	f := newFixture()
	f.roster.Merge(newPage(1, map[string]string{"a1": StateLive, "a2": StateStarting, "b1": StateLive}))
	if got := f.roster.Endpoints().Live("m"); len(got) != 2 {
		t.Fatalf("usable: %v, want a1 and b1", got)
	}
	f.roster.Merge(newPage(2, map[string]string{"a1": StateLeaving}))
	f.zonesOut["zone-b"] = true
	f.roster.refreshZones()
	s := f.roster.Endpoints()
	if len(s.Live("m")) != 0 || s.Usable("a1") || s.Usable("b1") || len(s.LiveInZone("m", "zone-b")) != 0 {
		t.Fatalf("usable: %v, want none", s.Live("m"))
	}
	f.roster.Merge(newPage(3, map[string]string{"b2": StateLive, "a1": StateGone}))
	if f.roster.Endpoints().Usable("b2") {
		t.Fatal("a new endpoint in a zone out of service is usable")
	}
	if _, ok := f.roster.Endpoints().Get("a1"); ok {
		t.Fatal("an endpoint that is gone is still listed")
	}
}

// Guards against pages that arrive late or out of order and restore an older
// state, and against a peer that never learns that an endpoint is gone.
func TestPagesInAnyOrderLeadToTheSameList(t *testing.T) {
	f, g := newFixture(), newFixture()
	f.roster.Merge(newPage(1, map[string]string{"a1": StateLive, "a2": StateLive}))
	g.roster.Merge(f.roster.Since(0))
	f.roster.Merge(newPage(3, map[string]string{"a1": StateGone}))
	f.roster.Merge(newPage(2, map[string]string{"a1": StateLive}))
	if f.roster.Endpoints().Usable("a1") {
		t.Fatal("an older page restored an endpoint that is gone")
	}
	g.roster.Merge(f.roster.Since(1))
	if g.roster.Endpoints().Usable("a1") || !g.roster.Endpoints().Usable("a2") {
		t.Fatalf("the peer's usable endpoints: %v, want a2 only", g.roster.Endpoints().Live("m"))
	}
	// An instance that started later has no tombstone of a1 to send.
	joined := newFixture()
	joined.roster.Merge(g.roster.Since(0))
	if page := joined.roster.Since(2); !page.Full {
		t.Fatalf("page of an instance without the tombstone: %+v, want the whole list", page)
	}
	// Without the tombstone, only the whole list shows that a1 is gone.
	f.probe(tombstoneRetention + time.Second)
	if page := f.roster.Since(1); !page.Full || len(page.Endpoints) != 1 {
		t.Fatalf("page after the tombstone expired: %+v, want the whole list with one endpoint", page)
	}
}

// Guards against new work on an endpoint that does not answer, against an
// endpoint that stays unusable after it has recovered, and against concurrent
// failures that count more than once and so lengthen the backoff.
func TestFailedEndpointReturnsOnceItAnswers(t *testing.T) {
	f := newFixture()
	f.roster.Merge(newPage(1, map[string]string{"a1": StateLive}))
	f.unreachable["a1"] = true
	for range 5 {
		f.roster.MarkFailed("a1", errors.New("reset"))
	}
	if f.roster.Endpoints().Usable("a1") {
		t.Fatal("a failed endpoint is usable")
	}
	f.probe(minBackoff)
	if f.roster.Endpoints().Usable("a1") {
		t.Fatal("an endpoint that does not answer is usable")
	}
	f.unreachable["a1"] = false
	f.probe(2 * minBackoff)
	if !f.roster.Endpoints().Usable("a1") {
		t.Fatal("the endpoint answers again and is not usable")
	}
	// On an instance that is not the endpoint's home, the failure mark ends with
	// the backoff.
	f.isHome = false
	f.roster.MarkFailed("a1", errors.New("reset"))
	f.probe(maxBackoff)
	if !f.roster.Endpoints().Usable("a1") {
		t.Fatal("the endpoint is not usable after the backoff")
	}
}

// BenchmarkMemory measures the memory of the roster and the time to add a load
// report against the number of endpoints of the fleet. In the fleet, an instance
// requests the reports of an eighth of the 133 endpoints of its cell.
func BenchmarkMemory(b *testing.B) {
	for _, count := range []int{100, 500, 1000, 2500, 6500} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			page := Page{Revision: 1, Full: true}
			for i := range count {
				page.Endpoints = append(page.Endpoints, Endpoint{
					ID: fmt.Sprintf("endpoint-%05d", i), Zone: fmt.Sprintf("zone-%d", i%7), Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
					Kind: KindEngine, Model: fmt.Sprintf("model-%d", i%5), Class: ClassStandard, State: StateLive, Revision: uint64(i),
				})
			}
			var bytes, published float64
			for b.Loop() {
				before := heap()
				f := newFixture()
				f.roster.Merge(page)
				bytes = float64(heap() - before)
				at := time.Now()
				for range 100 {
					f.roster.MergeLoad("endpoint-00007", Load{At: f.roster.timers.Now()})
					f.driver.Advance(time.Millisecond)
				}
				published = float64(time.Since(at).Nanoseconds()) / 100
				runtime.KeepAlive(f)
			}
			b.ReportMetric(bytes, "B")
			b.ReportMetric(bytes/float64(count), "B/endpoint")
			b.ReportMetric(published, "ns/report")
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
