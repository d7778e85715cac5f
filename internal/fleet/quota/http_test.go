package quota

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
	"github.com/wigeonpin/wigeonpin/internal/peer/fleet"
)

// Guards against data races, lock cycles with the roster and the queue, leaked
// goroutines, and an exceeded limit when the exchange runs over HTTP on the
// system clock with many goroutines.
func TestPoolsOverHTTP(t *testing.T) {
	defer goleak.VerifyNone(t)
	const limit = 8
	ctx, cancel := context.WithCancel(context.Background())
	timers := clock.NewSystem()
	var list []member.Instance
	servers, pools := map[string]*httptest.Server{}, map[string]*atomic.Pointer[Pool]{}
	for _, id := range []string{"a", "b", "c"} {
		slot := &atomic.Pointer[Pool]{}
		pools[id] = slot
		servers[id] = httptest.NewServer(fleet.RequireSecret("the fleet's secret", meter.NewSet(), deferredHandler(slot)))
		list = append(list, member.Instance{ID: id, Zone: zone, Peer: servers[id].Listener.Addr().String()})
	}
	view := member.NewView(list)
	var running atomic.Int64
	var goroutines sync.WaitGroup
	full := make(chan struct{})
	reached := sync.OnceFunc(func() { close(full) })
	for _, i := range list {
		settings := setting.Defaults()
		settings.ID, settings.Zone, settings.Secret = i.ID, zone, "the fleet's secret"
		settings.ExchangeMS, settings.ShareMS, settings.ListLagMS = 50, 250, 300
		client := fleet.NewClient(settings, meter.NewSet())
		defer client.CloseIdleConnections()
		var pool *Pool
		list := roster.New(settings, timers, roster.Seams{
			Relay: func() bool { return false },
			FetchFromPeer: func(context.Context, uint64) (roster.Page, error) {
				return roster.Page{Revision: 1, Full: true, Endpoints: []roster.Endpoint{
					{ID: "e", Zone: zone, Kind: roster.KindEngine, Model: "m", State: roster.StateLive, Revision: 1},
				}}, nil
			},
			Load: func(context.Context, roster.Endpoint) (roster.Load, error) {
				return roster.Load{Running: int(running.Load()), Limit: limit}, nil
			},
			IsHome:  func(e roster.Endpoint) bool { return pool.IsHome(e) },
			ZoneOut: func(string) bool { return false }, TableChanged: func() <-chan struct{} { return nil },
		}, logs.Discard())
		all := func() *member.View { return view }
		pool = New(settings, timers, Seams{
			Listed: all, Alive: all, ListAge: func() time.Duration { return 0 }, Dead: func(string) bool { return false },
			CallDone: func(string, error) {}, Endpoints: list.Endpoints, Learn: list.MergeLoad, Probe: list.RequestProbe,
			SlotLimit: func(string) int { return limit },
			Queued:    func() []Backlog { return []Backlog{{Model: "m", Account: "acme", Requests: 20, Weight: 1}} },
			Call:      Call(client),
		}, logs.Discard())
		pools[i.ID].Store(pool)
		goroutines.Go(func() { _ = list.Run(ctx) })
		goroutines.Go(func() { _ = pool.Run(ctx) })
		for range 8 {
			goroutines.Go(func() {
				for ctx.Err() == nil {
					changed := pool.Changed()
					slot, ok := pool.Take("e", "acme")
					if !ok {
						pool.RequestSlots("e")
						select {
						case <-changed:
						case <-ctx.Done():
						}
						continue
					}
					now := running.Add(1)
					if now > limit {
						t.Errorf("%d requests run, limit %d", now, limit)
					}
					if now == limit {
						reached()
					}
					_ = timers.Sleep(ctx, time.Duration(1+rand.IntN(20))*time.Millisecond)
					running.Add(-1)
					slot.Release(Outcome{FirstToken: time.Millisecond, Took: time.Millisecond})
				}
			})
		}
	}
	select {
	case <-full:
	case <-time.After(60 * time.Second):
		t.Error("the limit was never reached")
	}
	for deadline := time.Now().Add(60 * time.Second); ; <-pools["a"].Load().Changed() {
		if pools["a"].Load().RemoteCost("acme") > 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Error("the running cost of the other members is not known")
			break
		}
	}
	cancel()
	goroutines.Wait()
	for _, s := range servers {
		s.Close()
	}
}

func deferredHandler(pool *atomic.Pointer[Pool]) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p := pool.Load(); p != nil {
			p.Server().ServeHTTP(w, r)
		}
	})
}
