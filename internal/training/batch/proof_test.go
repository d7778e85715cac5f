package batch_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/peer/relay"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
	"github.com/wigeonpin/wigeonpin/platform"
)

// tooLong is longer than the proof of an answer may be old.
const tooLong = 600 * time.Millisecond

// relayedReader is a reader of a batch of one item without results, whose process reaches
// the store through peers only. Each of delays is how long a peer takes for one read of
// pages; a negative one means that the call fails after that time.
func relayedReader(delays ...time.Duration) *batch.Reader {
	var uptime, calls atomic.Int64
	elapse := func(d time.Duration) { uptime.Add(int64(d)) }
	ask := func(_ context.Context, _ string, call relay.Call, _ time.Duration) (relay.Reply, error) {
		if !strings.Contains(call.Path, batch.KindPages) {
			return relay.Reply{Status: http.StatusOK}, nil
		}
		delay := delays[calls.Add(1)-1]
		elapse(max(delay, -delay))
		if delay < 0 {
			return relay.Reply{}, relay.NewError(true, errors.New("no answer"))
		}
		return relay.Reply{Status: http.StatusNotFound}, nil
	}
	timers := clock.NewSystem()
	route := relay.NewRoute(relay.Seams{
		Direct: func(context.Context, relay.Call) (relay.Reply, error) {
			return relay.Reply{}, relay.NewError(false, errors.New("no connection"))
		},
		Ask:   ask,
		Peers: func() []relay.Peer { return []relay.Peer{{Address: "p1", OtherZone: true}, {Address: "p2"}} },
	}, timers, logs.Discard())
	known := &batch.Batch{ID: "b1", Time: timers.Now(), Items: []batch.Item{{ID: "i1"}}}
	return batch.NewReader(batch.ReaderSeams{
		Store:     batch.NewStore(platform.NewStore(route.Call), 1<<20),
		Find:      func(context.Context, string) (*batch.Batch, bool) { return known, true },
		Follow:    func(context.Context, string, int, time.Duration) batch.Update { return batch.Update{} },
		Retention: time.Hour,
	}, timers.WithUptime(func() time.Duration { return time.Duration(uptime.Load()) }), logs.Discard())
}

// Guards against an empty list from a read that a paused peer answered long after the
// store had looked. A peer that does not answer must not make the read of the next one
// look as old.
func TestProofOfARelayedRead(t *testing.T) {
	for _, c := range []struct {
		name   string
		delays []time.Duration
		path   string
		holds  bool
	}{
		{"in time", []time.Duration{100 * time.Millisecond}, "p1", true},
		{"paused peer", []time.Duration{tooLong}, "p1", false},
		{"silent peer, then another", []time.Duration{-tooLong, 100 * time.Millisecond}, "p2", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			reader := relayedReader(c.delays...)
			results, proof, err := reader.Results(t.Context(), "b1", 0, 0)
			if err != nil || len(results) != 0 {
				t.Fatalf("results %+v, error %v", results, err)
			}
			if reader.Holds(proof) != c.holds || proof.Path != c.path {
				t.Errorf("age %v on path %s; want path %s, holds %v", reader.Age(proof), proof.Path, c.path, c.holds)
			}
		})
	}
}

// Guards against pages out of order that nobody notices, since the reader then goes to
// the store or refuses the call.
func TestMisplacedPagesAreCounted(t *testing.T) {
	meters := meter.NewSet()
	known := &batch.Batch{ID: "b1", Time: time.Now(), Items: []batch.Item{{ID: "i1"}, {ID: "i2"}}}
	misplaced := []byte(`{"metadata":{"name":"b1.000000"},"spec":{"start":1,"results":[{"id":"i2"}]}}`)
	reader := batch.NewReader(batch.ReaderSeams{
		Store: batch.NewStore(platform.NewStore(func(context.Context, relay.Call) (relay.Reply, error) {
			return relay.Reply{Status: http.StatusOK, Body: misplaced}, nil
		}), 1<<20),
		Find: func(context.Context, string) (*batch.Batch, bool) { return known, true },
		Follow: func(context.Context, string, int, time.Duration) batch.Update {
			return batch.Update{Worker: "w", Active: true, Pages: []batch.Page{{Start: 1, Results: []batch.Result{{ID: "i2"}}}}}
		},
		Meters: meters, Retention: time.Hour,
	}, clock.NewSystem(), logs.Discard())
	if results, _, err := reader.Results(t.Context(), "b1", 0, 0); err == nil {
		t.Errorf("results %+v, want an error", results)
	}
	counter := meters.Counter(batch.CountMisplaced)
	for _, source := range []string{batch.PagesOfWorker, batch.PagesOfStore} {
		if count := counter.Value(source); count != 1 {
			t.Errorf("%d pages of the %s counted, want 1", count, source)
		}
	}
}
