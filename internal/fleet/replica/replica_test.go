package replica

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/fleet/ratelimit"
)

// script runs the commands of a testdata script against a fleet with a
// simulated clock.
type script struct {
	fleet  *Fleet
	driver *clock.Driver
	timers *clock.Service
	slots  map[string][]*Slot
}

// TestScripts guards against requests to endpoints that are leaving, out of
// service, cold, loading, failing or not at their address, and against dropping
// endpoints whose entries vanished only because the store was unavailable.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{slots: map[string][]*Slot{}}
		s.timers, s.driver = clock.NewDriven(time.Unix(1000, 0))
		s.fleet = NewFleet(s.timers, Options{Zone: "a", Overcommit: 1})
		s.fleet.SetWarmups(map[string]Warmup{"svc": {Duration: 3 * time.Second, Rate: 4}})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.run(t, d) })
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "put":
		s.fleet.Put(entry(t, d))
	case "remove":
		var id string
		var regained int
		d.ScanArgs(t, "id", &id)
		if d.HasArg("regained-ms") {
			d.ScanArgs(t, "regained-ms", &regained)
			s.fleet.Remove(id, s.timers.Now().Add(-time.Duration(regained)*time.Millisecond))
			break
		}
		s.fleet.Remove(id, time.Time{})
	case "out", "back":
		s.fleet.SetZoneOut(d.CmdArgs[0].Key, d.Cmd == "out")
	case "silent":
		s.fleet.AvoidZone(d.CmdArgs[0].Key)
	case "wait":
		var ms int
		d.ScanArgs(t, "ms", &ms)
		s.driver.Advance(time.Duration(ms) * time.Millisecond)
	case "loading":
		var id, model string
		d.ScanArgs(t, "id", &id)
		d.ScanArgs(t, "model", &model)
		s.fleet.SetLoading(id, model)
	case "pick":
		return s.pick(t, d)
	case "done":
		return s.done(t, d)
	case "leave":
		var id string
		d.ScanArgs(t, "id", &id)
		for _, slot := range s.slots[id] {
			slot.MarkLeaving()
		}
	case "event-time":
		var id string
		var ms int
		d.ScanArgs(t, "id", &id)
		d.ScanArgs(t, "ms", &ms)
		(&Slot{Entry: Entry{ID: id}, fleet: s.fleet}).RecordEventTime(time.Duration(ms) * time.Millisecond)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return "ok"
}

func entry(t *testing.T, d *datadriven.TestData) Entry {
	e := Entry{Service: "svc", Zone: "a", Slots: 2, Models: map[string]int64{}}
	d.ScanArgs(t, "id", &e.ID)
	e.Address = e.ID + ":1"
	var cold int
	for key, target := range map[string]any{
		"zone": &e.Zone, "address": &e.Address, "slots": &e.Slots, "born": &e.Born, "draining": &e.Draining, "cold-ms": &cold,
	} {
		if d.HasArg(key) {
			d.ScanArgs(t, key, target)
		}
	}
	e.Cold = time.Duration(cold) * time.Millisecond
	if d.HasArg("version") {
		var version int64
		d.ScanArgs(t, "version", &version)
		e.Models["m"] = version
	}
	return e
}

// pick reserves slots and returns how many each endpoint got.
func (s *script) pick(t *testing.T, d *datadriven.TestData) string {
	count := 1
	want := Requirements{Service: "svc"}
	if d.HasArg("count") {
		d.ScanArgs(t, "count", &count)
	}
	if d.HasArg("min-version") {
		want.Model = "m"
		d.ScanArgs(t, "min-version", &want.Version)
	}
	got := map[string]int{}
	for range count {
		slot, found := s.fleet.Pick(want)
		if !found {
			got["none"]++
			continue
		}
		got[slot.Entry.ID]++
		s.slots[slot.Entry.ID] = append(s.slots[slot.Entry.ID], slot)
	}
	var parts []string
	for id, n := range got {
		parts = append(parts, fmt.Sprintf("%s:%d", id, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

func (s *script) done(t *testing.T, d *datadriven.TestData) string {
	var id, outcome string
	d.ScanArgs(t, "id", &id)
	d.ScanArgs(t, "as", &outcome)
	for _, slot := range s.slots[id] {
		slot.Done(map[string]Outcome{"answered": Answered, "rejected": Rejected, "failed": Failed, "unreached": Unreached, "misdirected": Misdirected}[outcome])
	}
	s.slots[id] = nil
	return "ok"
}

// TestColdWithoutLimit guards against cold endpoints that get no requests at
// all because their service sets no limit for cold endpoints.
func TestColdWithoutLimit(t *testing.T) {
	timers, _ := clock.NewDriven(time.Unix(1000, 0))
	f := NewFleet(timers, Options{Overcommit: 1})
	f.SetWarmups(map[string]Warmup{"svc": {}})
	f.Put(Entry{ID: "e1", Service: "svc", Slots: 4, Cold: time.Minute})
	for i := range 4 {
		if _, found := f.Pick(Requirements{Service: "svc"}); !found {
			t.Fatalf("request %d found no endpoint", i)
		}
	}
}

// newSharedFleets returns the fleets of several processes whose limiters can call each
// other, on the clock of a synctest bubble.
func newSharedFleets(timers *clock.Service, processes int) []*Fleet {
	limiters := map[string]*ratelimit.Limiter{}
	var all []member.Instance
	for i := range processes {
		all = append(all, member.Instance{ID: fmt.Sprint("p", i)})
	}
	seams := ratelimit.Seams{
		Members: func() []member.Instance { return all },
		Refused: func(error) bool { return false },
		Ask: func(ctx context.Context, to member.Instance, in *ratelimit.AskRequest) (*ratelimit.AskReply, error) {
			return limiters[to.ID].HandleAsk(ctx, in), nil
		},
		Claim: func(_ context.Context, to member.Instance, in *ratelimit.ClaimRequest) (*ratelimit.ClaimReply, error) {
			return limiters[to.ID].HandleClaim(in), nil
		},
	}
	var fleets []*Fleet
	for _, m := range all {
		limiters[m.ID] = ratelimit.New(ratelimit.Options{Self: m.ID}, seams, timers, logs.Discard())
		fleets = append(fleets, NewFleet(timers, Options{Overcommit: 1, Limiter: limiters[m.ID]}))
	}
	return fleets
}

// TestColdRateIsShared guards against processes that each take a part of a cold
// endpoint's rate for themselves: with many processes the sum is a multiple of the
// rate, with few the endpoint stays idle. Each process here has more requests than it
// may send.
func TestColdRateIsShared(t *testing.T) {
	const (
		rate    = 12.0 // requests a second
		coldFor = 5 * time.Second
		step    = 20 * time.Millisecond
	)
	for _, processes := range []int{1, 2, 10, 80} {
		t.Run(fmt.Sprint(processes, " processes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				timers := clock.NewSystem().WithUptime(func() time.Duration { return time.Since(start) })
				fleets := newSharedFleets(timers, processes)
				for _, f := range fleets {
					f.SetWarmups(map[string]Warmup{"svc": {Duration: coldFor, Rate: rate}})
				}
				entry := Entry{ID: "e1", Service: "svc", Slots: 100}
				var sent []time.Time
				for elapsed := time.Duration(0); elapsed < coldFor; elapsed += step {
					entry.Cold = coldFor - elapsed
					for _, f := range fleets {
						f.Put(entry) // entries are also updated for other reasons
						if slot, found := f.Pick(Requirements{Service: "svc"}); found {
							slot.Done(Answered)
							sent = append(sent, timers.Now())
						}
					}
					time.Sleep(step)
				}
				for i := range sent {
					count := 0
					for _, at := range sent[i:] {
						if at.Sub(sent[i]) < time.Second {
							count++
						}
					}
					if most := int(1.5*rate + 5); count > most {
						t.Fatalf("%d requests within a second, want at most %d", count, most)
					}
				}
				if least := int(rate * coldFor.Seconds() / 2); len(sent) < least {
					t.Errorf("%d requests in %v, want at least %d", len(sent), coldFor, least)
				}
			})
		})
	}
}

// TestUnexpectedEndsAreReported guards against reporting an end for endpoints
// that announced their departure or whose entry vanished while the store was
// unavailable, and against ends that are not reported.
func TestUnexpectedEndsAreReported(t *testing.T) {
	timers, _ := clock.NewDriven(time.Unix(1000, 0))
	entry := func(born int64) Entry { return Entry{ID: "e1", Service: "svc", Slots: 4, Born: born} }
	cases := []struct {
		name   string
		ended  bool
		action func(f *Fleet)
	}{
		{"gone", true, func(f *Fleet) { f.Remove("e1", time.Time{}) }},
		{"restarted", true, func(f *Fleet) { f.Put(entry(2)) }},
		{"entry updated", false, func(f *Fleet) { f.Put(entry(1)) }},
		{"gone while the store was unavailable", false, func(f *Fleet) { f.Remove("e1", timers.Now()) }},
		{"drained", false, func(f *Fleet) {
			e := entry(1)
			e.Draining = true
			f.Put(e)
			f.Remove("e1", time.Time{})
		}},
		{"departure announced", false, func(f *Fleet) {
			slot, _ := f.Pick(Requirements{Service: "svc"})
			slot.MarkLeaving()
			f.Remove("e1", time.Time{})
		}},
		{"unknown", false, func(f *Fleet) { f.Remove("e2", time.Time{}) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := NewFleet(timers, Options{Overcommit: 1})
			var ended []Entry
			f.OnUnexpectedEnd(func(e Entry) { ended = append(ended, e) })
			f.Put(entry(1))
			c.action(f)
			if c.ended != (len(ended) == 1 && ended[0].Born == 1) || len(ended) > 1 {
				t.Errorf("reported ends %+v, want one: %v", ended, c.ended)
			}
		})
	}
}
