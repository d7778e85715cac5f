package suspect

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
)

// zone is a set of instances whose broadcasts are delivered to all of them at
// once. Calls of Enter to an unreachable instance fail.
type zone struct {
	driver      *clock.Driver
	view        *member.View
	suspects    map[string]*Suspects
	receivers   []func(string, []byte)
	unreachable map[string]bool
}

func newZone(ids ...string) *zone {
	timers, driver := clock.NewDriven(time.Unix(1000, 0))
	z := &zone{driver: driver, suspects: map[string]*Suspects{}, unreachable: map[string]bool{}}
	var list []member.Instance
	for _, id := range ids {
		list = append(list, member.Instance{ID: id, Zone: "zone-a"})
	}
	z.view = member.NewView(list)
	for _, id := range ids {
		settings := setting.Defaults()
		settings.ID = id
		z.suspects[id] = New(settings, timers, Seams{
			Post: func(_, key string, payload []byte, _ time.Duration) {
				for _, receive := range z.receivers {
					receive(key, payload)
				}
			},
			Subscribe: func(_ string, receive func(string, []byte)) { z.receivers = append(z.receivers, receive) },
			View:      func() *member.View { return z.view },
			Enter: func(_ context.Context, peer member.Instance, r *EnterRequest) (*EnterAnswer, error) {
				if z.unreachable[peer.ID] {
					return nil, errors.New("no answer")
				}
				return z.suspects[peer.ID].grantLease(r), nil
			},
			Leave: func(_ context.Context, peer member.Instance, r *LeaveRequest) error {
				z.suspects[peer.ID].endLease(r)
				return nil
			},
		}, logs.Discard())
		z.suspects[id].leases.update(z.view, timers.Now())
	}
	driver.Advance(leaseTerm)
	return z
}

// request is one request of a caller, which resends it until it is done or
// refused for long.
type request struct {
	digest   string
	instance *Suspects
	endpoint string
	releases []func()
	// rounds is how many rounds the current attempt has run.
	rounds  int
	done    bool
	refused bool
}

// start runs the request on the first endpoint for which ReserveEndpoint
// succeeds, beginning with the one at index turn.
func (r *request) start(endpoints []string, turn int) {
	release, err := r.instance.Admit(r.digest)
	if err != nil {
		// Only a blocked digest is refused for more than some seconds.
		r.refused = code.Of(err).RetryAfter > time.Minute
		return
	}
	for i := range endpoints {
		e := endpoints[(i+turn)%len(endpoints)]
		if releaseEndpoint, err := r.instance.ReserveEndpoint(e, r.digest); err == nil {
			r.endpoint, r.rounds, r.releases = e, 0, []func(){releaseEndpoint, release}
			return
		}
	}
	release()
}

func (r *request) stop() {
	for _, release := range r.releases {
		release()
	}
	r.endpoint, r.releases = "", nil
}

// Guards against a request that crashes one endpoint after another while its
// caller resends it through every instance, and against refusing the other
// requests that ran on the same endpoints.
func TestCrashingRequestCostsTwoEndpoints(t *testing.T) {
	z := newZone("a", "b", "c", "d")
	endpoints := []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"}
	requests := []*request{{digest: "poison", instance: z.suspects["a"]}}
	for i := range 40 {
		requests = append(requests, &request{digest: fmt.Sprintf("good-%d", i), instance: z.suspects[string(rune('a'+i%4))]})
	}
	lost := 0
	for round := range 60 {
		if round == 1 {
			for _, id := range []string{"b", "c", "d"} {
				requests = append(requests, &request{digest: "poison", instance: z.suspects[id]})
			}
		}
		for i, r := range requests {
			if r.endpoint == "" && !r.done && !r.refused {
				r.start(endpoints, i+round)
			}
		}
		crashed := map[string]bool{}
		for _, r := range requests {
			if r.digest == "poison" && r.endpoint != "" {
				crashed[r.endpoint] = true
			}
		}
		lost += len(crashed)
		z.crash(crashed, requests)
		for _, r := range requests {
			if r.rounds++; r.endpoint != "" && r.rounds > 1 {
				r.instance.Completed(r.digest)
				r.stop()
				r.done = true
			}
		}
		z.driver.Advance(time.Second)
	}
	if lost != 2 {
		t.Errorf("%d endpoints were lost, want 2", lost)
	}
	for _, r := range requests {
		if r.digest == "poison" && !r.refused || r.digest != "poison" && !r.done {
			t.Errorf("request %s: done is %v and refused is %v at the end", r.digest, r.done, r.refused)
		}
	}
	for id, s := range z.suspects {
		if s.IsSuspect("good-0") {
			t.Errorf("digest good-0 is still a suspect at instance %s after it completed", id)
		}
	}
	z.driver.Advance(10 * time.Minute)
	if _, err := z.suspects["b"].Admit("poison"); err != nil {
		t.Errorf("digest is still refused after its record expired: %v", err)
	}
}

// crash ends the requests on the crashed endpoints. Each instance reports the
// digests of its own requests.
func (z *zone) crash(crashed map[string]bool, requests []*request) {
	for e := range crashed {
		for _, s := range z.suspects {
			var digests []string
			for _, r := range requests {
				if r.endpoint == e && r.instance == s {
					digests = append(digests, r.digest)
				}
			}
			s.Crashed(e, digests)
		}
	}
	for _, r := range requests {
		if crashed[r.endpoint] {
			r.stop()
		}
	}
}

// Guards against a suspect that runs twice at the same time because its home
// instance does not answer or has just changed, and against a suspect that
// cannot run again after its lease has expired.
func TestSuspectRunsOnceAtATime(t *testing.T) {
	z := newZone("a", "b", "c")
	home := homeInstance(z.view, "digest/x")
	z.suspects["a"].Crashed("e1", []string{"x"})
	release, err := z.suspects["b"].Admit("x")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := z.suspects["c"].Admit("x"); !code.Is(err, code.SuspectRequest) {
		t.Fatalf("second run of a running suspect: error %v, want %s", err, code.SuspectRequest)
	}
	z.unreachable[home] = true
	for id, s := range z.suspects {
		if _, err := s.Admit("x"); id != home && !code.Is(err, code.SuspectRequest) {
			t.Fatalf("instance %s while the home instance does not answer: error %v, want %s", id, err, code.SuspectRequest)
		}
	}
	// The next home instance does not know the leases of the earlier one and
	// grants none until those have expired.
	z.view = z.view.Without(home)
	var other *Suspects
	for id, s := range z.suspects {
		if id != home {
			other = s
		}
	}
	if _, err := other.Admit("x"); !code.Is(err, code.SuspectRequest) {
		t.Fatalf("right after the change of the home instance: error %v, want %s", err, code.SuspectRequest)
	}
	// The owner renews its lease at the next home instance.
	if answer := z.suspects[homeInstance(z.view, "digest/x")].grantLease(&EnterRequest{Key: "digest/x", Owner: "b/2", Renewal: true}); !answer.Entered {
		t.Fatal("the owner could not renew its lease at the next home instance")
	}
	z.driver.Advance(leaseTerm - time.Second)
	if _, err := other.Admit("x"); !code.Is(err, code.SuspectRequest) {
		t.Fatalf("while the owner renews its lease: error %v, want %s", err, code.SuspectRequest)
	}
	release()
	z.driver.Advance(leaseTerm)
	releaseAgain, err := other.Admit("x")
	if err != nil {
		t.Fatalf("after the lease expired: %v", err)
	}
	releaseAgain()
}

// Guards against a blocked content that takes down endpoints again after all instances were
// killed, and against one that stays blocked beyond the retention time, whatever the clock
// of the instance that stored it.
func TestBlockedContentOutlivesAllInstances(t *testing.T) {
	ctx, l := context.Background(), ledger.New()
	former := newZone("i1")
	stored := former.suspects["i1"].Archive(l.Store())
	crash := func(digest string) {
		release, err := former.suspects["i1"].Admit(digest)
		if err != nil {
			t.Fatal(err)
		}
		former.suspects["i1"].Crashed("e1", []string{digest})
		release()
	}
	crash("poison")
	crash("poison")
	crash("coincidence") // a single crash blocks nothing and is not stored
	if err := stored.Save(ctx); err != nil {
		t.Fatal(err)
	}
	next := newZone("i1")
	suspects := next.suspects["i1"]
	if err := suspects.Archive(l.Store()).Load(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err := suspects.Admit("poison"); !code.Is(err, code.SuspectRequest) {
		t.Errorf("the blocked content is admitted: %v", err)
	}
	if suspects.IsSuspect("coincidence") {
		t.Error("a content with a single crash is a suspect")
	}
	retention := setting.Milliseconds(setting.Defaults().SuspectMS)
	next.driver.Advance(retention)
	if suspects.IsSuspect("poison") {
		t.Errorf("the content is blocked after %v", retention)
	}
	late := newZone("i1") // its clock is an hour behind that of the instance that stored it
	late.driver.SetBy(-time.Hour)
	if err := late.suspects["i1"].Archive(l.Store()).Load(ctx); err != nil {
		t.Fatal(err)
	}
	late.driver.Advance(retention)
	if late.suspects["i1"].IsSuspect("poison") {
		t.Errorf("the content is blocked after %v by a clock that is behind", retention)
	}
}
