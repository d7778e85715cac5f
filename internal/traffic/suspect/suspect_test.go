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
)

// zone is a set of instances with a bulletin that delivers to all.
type zone struct {
	driver    *clock.Driver
	view      *member.View
	suspects  map[string]*Suspects
	receivers []func(string, []byte)
	silent    map[string]bool
}

func newZone(ids ...string) *zone {
	timers, driver := clock.NewDriven(time.Unix(1000, 0))
	z := &zone{driver: driver, suspects: map[string]*Suspects{}, silent: map[string]bool{}}
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
				if z.silent[peer.ID] {
					return nil, errors.New("no answer")
				}
				return z.suspects[peer.ID].enter(r), nil
			},
			Leave: func(_ context.Context, peer member.Instance, r *LeaveRequest) error {
				z.suspects[peer.ID].leave(r)
				return nil
			},
		}, logs.Discard())
		z.suspects[id].places.follow(z.view, timers.Now())
	}
	driver.Advance(placeTerm)
	return z
}

// request is one request of a caller; it is sent again until it is done.
type request struct {
	digest   string
	at       *Suspects
	endpoint string
	ends     []func()
	rounds   int
	done     bool
	refused  bool
}

// start runs the request on the first endpoint that takes it.
func (r *request) start(endpoints []string, turn int) {
	release, err := r.at.Admit(r.digest)
	if err != nil {
		// Only a condemned digest is refused for long.
		r.refused = code.Of(err).RetryAfter > time.Minute
		return
	}
	for i := range endpoints {
		e := endpoints[(i+turn)%len(endpoints)]
		if leave, err := r.at.Enter(e, r.digest); err == nil {
			r.endpoint, r.rounds, r.ends = e, 0, []func(){leave, release}
			return
		}
	}
	release()
}

func (r *request) stop() {
	for _, end := range r.ends {
		end()
	}
	r.endpoint, r.ends = "", nil
}

// Guards against a request that crashes one endpoint after the other while its
// caller sends it again through every instance, and against neighbours of such
// a request that are refused with it.
func TestCrashingRequestCostsTwoEndpoints(t *testing.T) {
	z := newZone("a", "b", "c", "d")
	endpoints := []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"}
	requests := []*request{{digest: "poison", at: z.suspects["a"]}}
	for i := range 40 {
		requests = append(requests, &request{digest: fmt.Sprintf("good-%d", i), at: z.suspects[string(rune('a'+i%4))]})
	}
	lost := 0
	for round := range 60 {
		if round == 1 {
			for _, id := range []string{"b", "c", "d"} {
				requests = append(requests, &request{digest: "poison", at: z.suspects[id]})
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
				r.at.Completed(r.digest)
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
			t.Errorf("%s: done %v, refused %v", r.digest, r.done, r.refused)
		}
	}
	for id, s := range z.suspects {
		if s.Suspect("good-0") {
			t.Errorf("%s still suspects a request that completed", id)
		}
	}
	z.driver.Advance(10 * time.Minute)
	if _, err := z.suspects["b"].Admit("poison"); err != nil {
		t.Errorf("the digest is still refused after its time: %v", err)
	}
}

// crash ends the requests on the endpoints; each instance reports its own.
func (z *zone) crash(crashed map[string]bool, requests []*request) {
	for e := range crashed {
		for _, s := range z.suspects {
			var digests []string
			for _, r := range requests {
				if r.endpoint == e && r.at == s {
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

// Guards against a suspect that runs in two places because its home instance
// does not answer or has just changed, and against one that stays blocked
// after its holder died.
func TestSuspectRunsInOnePlace(t *testing.T) {
	z := newZone("a", "b", "c")
	home := homeOf(z.view, "digest/x")
	z.suspects["a"].Crashed("e1", []string{"x"})
	release, err := z.suspects["b"].Admit("x")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := z.suspects["c"].Admit("x"); !code.Is(err, code.SuspectRequest) {
		t.Fatalf("second place: %v, want a refusal", err)
	}
	z.silent[home] = true
	for id, s := range z.suspects {
		if _, err := s.Admit("x"); id != home && !code.Is(err, code.SuspectRequest) {
			t.Fatalf("%s without the home instance: %v, want a refusal", id, err)
		}
	}
	// The next home instance does not know who holds the digest until the
	// term of a holder at the earlier one has passed.
	z.view = z.view.Without(home)
	var other *Suspects
	for id, s := range z.suspects {
		if id != home {
			other = s
		}
	}
	if _, err := other.Admit("x"); !code.Is(err, code.SuspectRequest) {
		t.Fatalf("right after the change: %v, want a refusal", err)
	}
	// The holder renews at the next home instance.
	if answer := z.suspects[homeOf(z.view, "digest/x")].enter(&EnterRequest{Key: "digest/x", Owner: "b/2", Renewal: true}); !answer.Entered {
		t.Fatal("the holder could not renew at the next home instance")
	}
	z.driver.Advance(placeTerm - time.Second)
	if _, err := other.Admit("x"); !code.Is(err, code.SuspectRequest) {
		t.Fatalf("while the holder renews: %v, want a refusal", err)
	}
	release()
	z.driver.Advance(placeTerm)
	again, err := other.Admit("x")
	if err != nil {
		t.Fatalf("after the term: %v", err)
	}
	again()
}
