package usage_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/billing/report"
	"github.com/wigeonpin/wigeonpin/internal/billing/usage"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/peer/fleet"
)

// reporter returns a reporter that always holds the lease and adds its reports to
// intake, by window.
func (c *cluster) reporter(id string, fence uint64, intake map[int64][]string) *report.Reporter {
	settings := setting.Defaults()
	settings.ID = id
	return report.New(settings, c.timers, report.Seams{
		Held: func() (uint64, bool) { return fence, true },
		Get:  c.store.get, Create: c.store.create, List: c.store.list,
		Send: func(_ context.Context, window int64, body []byte, _ uint64, _ string) error {
			intake[window] = append(intake[window], string(body))
			return nil
		},
	}, meter.NewSet(), logs.Discard())
}

func decodeReport(t rapid.TB, raw string) report.Report {
	var body report.Report
	if err := json.Unmarshal([]byte(raw), &body); err != nil {
		t.Fatal(err)
	}
	return body
}

// Guards against records that are lost or counted twice, and against different
// figures for one window. The faults are random kills, cut connections, lost
// answers, outages of the store, live instances missing from the view, and two
// reporters that both hold the lease.
func TestReportsEqualAcknowledgedRecords(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		c := newCluster(t, 4)
		c.dataDirs["i-3"] = t.TempDir()
		c.start(t, "i-3")
		intake := map[int64][]string{}
		reporters := []*report.Reporter{c.reporter("r-1", 1, intake), c.reporter("r-2", 2, intake)}
		replicated := true
		node := func(rt *rapid.T) string {
			if len(c.nodes) == 0 {
				c.driver.Advance(time.Millisecond)
				c.start(t, c.ids[0])
			}
			running := slices.DeleteFunc(slices.Clone(c.ids), func(id string) bool { return c.nodes[id] == nil })
			return rapid.SampledFrom(running).Draw(rt, "instance")
		}
		rt.Repeat(map[string]func(*rapid.T){
			"append":    func(rt *rapid.T) { c.append(node(rt)) },
			"commit":    func(rt *rapid.T) { c.nodes[node(rt)].CommitForTest(ctx) },
			"seal":      func(rt *rapid.T) { c.nodes[node(rt)].SealForTest(ctx) },
			"pass time": func(rt *rapid.T) { c.driver.Advance(time.Duration(rapid.IntRange(1, 90).Draw(rt, "s")) * time.Second) },
			"report":    func(rt *rapid.T) { _ = reporters[rapid.IntRange(0, 1).Draw(rt, "reporter")].Step(ctx) },
			"cut": func(rt *rapid.T) {
				c.cut[[2]string{node(rt), rapid.SampledFrom(c.ids).Draw(rt, "to")}] = rapid.Bool().Draw(rt, "cut")
			},
			"unlist":    func(rt *rapid.T) { c.unlisted[node(rt)] = rapid.Bool().Draw(rt, "unlisted") },
			"outage":    func(rt *rapid.T) { c.store.down = rapid.Bool().Draw(rt, "down") },
			"lose copy": func(*rapid.T) { c.loseNextAnswer = true },
			"lose seal": func(*rapid.T) { c.store.loseNextAnswer = true },
			"drop seal": func(*rapid.T) { c.store.dropNextRequest = true },
			"kill": func(rt *rapid.T) {
				// A record is lost if both holders die before it is sealed or
				// copied again, so all records must be safe between two kills.
				if !replicated {
					return
				}
				id := node(rt)
				if rapid.Bool().Draw(rt, "while sealing") {
					c.store.loseNextAnswer = true
					c.nodes[id].SealForTest(ctx)
				}
				c.kill(id)
				replicated = false
			},
			"restart": func(rt *rapid.T) {
				if id := rapid.SampledFrom(c.ids).Draw(rt, "instance"); c.nodes[id] == nil {
					c.driver.Advance(time.Millisecond)
					c.start(t, id)
				}
			},
			"stabilize": func(*rapid.T) {
				c.stabilize(ctx)
				// A single instance has no peer to copy to.
				replicated = len(c.nodes) > 1
			},
			"": func(rt *rapid.T) {
				for window, bodies := range intake {
					for _, b := range bodies {
						if b != bodies[0] {
							rt.Fatalf("window %d has two different reports: %s and %s", window, bodies[0], b)
						}
					}
				}
			},
		})
		if c.nodes["i-3"] == nil {
			// Some records may exist only in its data folder.
			c.driver.Advance(time.Millisecond)
			c.start(t, "i-3")
		}
		c.stabilize(ctx)
		c.driver.Advance(4 * time.Minute)
		c.stabilize(ctx)
		c.checkCounts(rt, c.sealedCounts(t))
		c.driver.Advance(time.Minute)
		for _, r := range reporters {
			if err := r.Step(ctx); err != nil {
				rt.Fatal(err)
			}
		}
		counted := map[string]int64{}
		for _, bodies := range intake {
			for _, e := range decodeReport(rt, bodies[0]).Entries {
				counted[e.Class] += e.Requests
			}
		}
		c.checkCounts(rt, counted)
		sealed := c.sealedCounts(t)
		if len(sealed) != len(counted) {
			rt.Fatalf("%d records sealed, %d reported", len(sealed), len(counted))
		}
	})
}

// Guards against the loss of a record that is written to the data folder while
// earlier ones are being sealed: sealing empties the file afterwards.
func TestFolderKeepsRecordsAddedWhileSealing(t *testing.T) {
	ctx := context.Background()
	c := newCluster(t, 1)
	c.dataDirs["i-0"] = t.TempDir()
	c.start(t, "i-0")
	c.append("i-0")
	c.nodes["i-0"].CommitForTest(ctx)
	c.driver.Advance(time.Minute)
	c.store.onCreate = func() {
		c.append("i-0")
		c.nodes["i-0"].CommitForTest(ctx)
	}
	c.nodes["i-0"].SealForTest(ctx)
	c.store.onCreate = nil
	c.kill("i-0")
	c.driver.Advance(time.Millisecond)
	c.start(t, "i-0")
	c.nodes["i-0"].SealForTest(ctx)
	c.checkCounts(t, c.sealedCounts(t))
}

// Guards against second copies in the owner's availability zone although there
// are instances in other zones.
func TestSecondCopyIsInAnotherZone(t *testing.T) {
	c := newCluster(t, 10)
	for _, id := range c.ids {
		c.append(id)
		c.nodes[id].CommitForTest(t.Context())
	}
	c.driver.Advance(10 * time.Second)
	for _, id := range c.ids {
		c.nodes[id].SealForTest(t.Context())
	}
	segments := c.store.segments(t)
	for _, s := range segments {
		if c.zone(s.Instance) == c.zone(s.Sealer) {
			t.Errorf("the records of %s were copied to %s in the same zone", s.Instance, s.Sealer)
		}
	}
	if len(segments) != len(c.ids) {
		t.Errorf("%d segments, want %d", len(segments), len(c.ids))
	}
}

// newNetworkedLog returns the log of an instance whose only peer is a holder in
// another zone, reached over loopback. It also returns the instance's meters and
// the holder's server.
func newNetworkedLog(t testing.TB, timers *clock.Service, listen func(net.Listener) net.Listener) (*usage.Log, *meter.Set, *httptest.Server) {
	start := func(id string, view *member.View) (*usage.Log, *meter.Set) {
		settings := setting.Defaults()
		settings.ID, settings.Zone, settings.Secret = id, id, secret
		meters := meter.NewSet()
		log, err := usage.New(settings, timers, usage.Seams{
			View: func() *member.View { return view }, Client: fleet.NewClient(settings, meter.NewSet()), Create: (&store{}).create,
		}, meters, logs.Discard())
		if err != nil {
			t.Fatal(err)
		}
		return log, meters
	}
	holder, meters := start("i-1", member.NewView(nil))
	server := httptest.NewUnstartedServer(fleet.RequireSecret(secret, meters, holder.Server()))
	server.Listener = listen(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	log, meters := start("i-0", member.NewView([]member.Instance{
		{ID: "i-1", Zone: "i-1", State: member.StateLive, Peer: server.Listener.Addr().String()},
	}))
	return log, meters, server
}

const secret = "0123456789abcdef"

// Guards against an Append that waits longer than the copy time when no second
// holder answers, and against copy calls that do not reach a holder over the
// network.
func TestAppendOverTheNetwork(t *testing.T) {
	timers, driver := clock.NewDriven(time.Unix(1_700_000_000, 0))
	log, meters, holder := newNetworkedLog(t, timers, func(l net.Listener) net.Listener { return l })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- log.Run(ctx) }()
	if err := log.Append(ctx, usage.Record{Account: "acme"}); err != nil {
		t.Fatal(err)
	}
	if n := meters.Counter("usage_single_copy").Value(""); n != 0 {
		t.Fatal("record has a single copy although the holder answers")
	}
	holder.Close()
	go func() { done <- log.Append(ctx, usage.Record{Account: "acme"}) }()
	for {
		select {
		case err := <-done:
			if err != nil || meters.Counter("usage_single_copy").Value("") != 1 {
				t.Fatalf("Append returned %v with %d single copies, want no error and 1", err, meters.Counter("usage_single_copy").Value(""))
			}
			cancel()
			<-done
			return
		case <-time.After(time.Millisecond):
			driver.Advance(10 * time.Millisecond)
		}
	}
}

// Guards against an Append that gives up on a second copy although a holder
// becomes available within the copy time.
func TestAppendRetriesWithinTheCopyTime(t *testing.T) {
	c := newCluster(t, 2)
	settings := setting.Defaults()
	// The copy time is shorter than confirmInterval, because a confirmation
	// copies as well and would hide a missing retry.
	settings.ID, settings.CopyMS = "i-9", 900
	meters, attempts := meter.NewSet(), 0
	log, err := usage.New(settings, c.timers, usage.Seams{
		View: c.view, Create: c.store.create,
		Hold: func(_ context.Context, _ member.Instance, r *usage.HoldRequest) (*usage.HoldResponse, error) {
			if attempts++; attempts <= 4 {
				return nil, errNoAnswer
			}
			return &usage.HoldResponse{Through: r.From + uint64(len(r.Entries)) - 1}, nil
		},
	}, meters, logs.Discard())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended, done := make(chan struct{}), make(chan error, 1)
	go func() { _ = log.Run(ctx); close(ended) }()
	go func() { done <- log.Append(ctx, usage.Record{Account: "acme"}) }()
	for {
		select {
		case <-done:
			cancel()
			<-ended
			if n := meters.Counter("usage_single_copy").Value(""); n != 0 {
				t.Errorf("record has a single copy after %d attempts", attempts)
			}
			return
		case <-time.After(time.Millisecond):
			c.driver.Advance(time.Millisecond)
		}
	}
}

// Guards against records that are sealed minutes late, in a later window, since the time
// of day was set ahead for a while.
func TestWrongTimeOfDayDelaysNoRecord(t *testing.T) {
	const step = 15 * time.Minute
	c := newCluster(t, 2)
	ctx := context.Background()
	c.driver.Advance(time.Minute) // for which the time of day was right
	c.append("i-0")
	c.driver.SetBy(step)
	c.append("i-0")
	c.driver.SetBy(-step)
	c.append("i-0")
	c.driver.Advance(time.Minute)
	c.stabilize(ctx)
	counted := c.sealedCounts(t)
	for _, r := range c.records {
		if counted[r.class] != 1 {
			t.Errorf("record %s was sealed %d times a minute later, want 1", r.class, counted[r.class])
		}
	}
	for _, s := range c.store.segments(t) {
		if last := c.timers.Now().UnixMilli() / 60_000; s.Window > last {
			t.Errorf("a segment is in window %d, and the present one is %d", s.Window, last)
		}
	}
}
