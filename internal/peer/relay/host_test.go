package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
)

// Guards against a watch that waits for a host that was lost during an outage of the store
// (CONFIG). The host had answered that it does not reach the store, so that it is asked
// again as soon as the store is back; until the watch has timed out there, the process
// does not know what changed during the outage.
func TestHostLostDuringAnOutage(t *testing.T) {
	var down, lost atomic.Bool
	var watchesAtLostHost atomic.Int64
	down.Store(true)
	route := NewRoute(Seams{
		Direct: func(context.Context, Call) (Reply, error) {
			if down.Load() {
				return Reply{Status: http.StatusServiceUnavailable}, nil
			}
			return Reply{Status: http.StatusOK, Body: []byte("change")}, nil
		},
		Ask: func(ctx context.Context, _ string, call Call, _ time.Duration) (Reply, error) {
			if !lost.Load() {
				return Reply{}, NewError(false, errPeerNoStore)
			}
			if call.Wait > 0 {
				watchesAtLostHost.Add(1)
			}
			<-ctx.Done()
			return Reply{}, NewError(false, ctx.Err())
		},
		Probe: Call{Method: http.MethodGet, Path: "probe"},
		Peers: func() []Peer { return nil }, Hosts: func() []string { return []string{"host"} }, HostSlack: FollowerSlack,
	}, clock.NewSystem(), logs.Discard())
	watch := Call{Method: http.MethodGet, Path: "config", Wait: time.Hour}
	if reply, err := route.Call(t.Context(), watch); err == nil && !reply.refused() {
		t.Fatalf("reply %d during the outage", reply.Status)
	}
	restored := route.Restored()
	if restored == nil {
		t.Fatal("the outage was not noticed")
	}
	lost.Store(true)
	down.Store(false)
	route.ProbeNow()
	<-restored
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	reply, err := route.Call(ctx, watch)
	if err != nil || string(reply.Body) != "change" {
		t.Errorf("reply %q, error %v, want the change", reply.Body, err)
	}
	if n := watchesAtLostHost.Load(); n != 0 {
		t.Errorf("%d watches waited at the lost host, want none", n)
	}
}

// Guards against a host that answers again after an outage and is left out all the same,
// so that each process makes its watches itself.
func TestHostServesAgainAfterAnOutage(t *testing.T) {
	var down atomic.Bool
	var served atomic.Int64
	down.Store(true)
	store := func(context.Context, Call) (Reply, error) {
		if down.Load() {
			return Reply{Status: http.StatusServiceUnavailable}, nil
		}
		return Reply{Status: http.StatusOK}, nil
	}
	route := NewRoute(Seams{
		Direct: store,
		Ask: func(ctx context.Context, _ string, call Call, _ time.Duration) (Reply, error) {
			reply, err := store(ctx, call)
			if reply.refused() {
				return Reply{}, NewError(false, errPeerNoStore)
			}
			if call.Wait > 0 {
				served.Add(1)
			}
			return reply, err
		},
		Probe: Call{Method: http.MethodGet, Path: "probe"},
		Peers: func() []Peer { return nil }, Hosts: func() []string { return []string{"host"} }, HostSlack: FollowerSlack,
	}, clock.NewSystem(), logs.Discard())
	watch := Call{Method: http.MethodGet, Path: "config", Wait: time.Second}
	_, _ = route.Call(t.Context(), watch) // fails, which begins the outage
	restored := route.Restored()
	if restored == nil {
		t.Fatal("the outage was not noticed")
	}
	down.Store(false)
	route.ProbeNow()
	<-restored
	for range 3 {
		if _, err := route.Call(t.Context(), watch); err != nil {
			t.Fatal(err)
		}
	}
	if n := served.Load(); n != 3 {
		t.Errorf("the host served %d of 3 watches", n)
	}
}
