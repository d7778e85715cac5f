package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
)

// fleetStore is a store for a whole fleet, which counts its calls by path. Its one
// change is that of the revision; a watch of an earlier one is answered at once, others
// wait for their whole time. During an outage it refuses all calls.
type fleetStore struct {
	mu       sync.Mutex
	calls    map[string]int
	outage   chan struct{} // closed while there is an outage
	revision int
}

func newFleetStore() *fleetStore {
	return &fleetStore{calls: map[string]int{}, outage: make(chan struct{})}
}

func (s *fleetStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down {
		close(s.outage)
	} else {
		s.outage = make(chan struct{})
		s.revision++
	}
}

// change changes the revision; watches that wait already do not learn of it.
func (s *fleetStore) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
}

// take returns the calls since the last take.
func (s *fleetStore) take() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.calls = map[string]int{}
	return calls
}

func (s *fleetStore) call(ctx context.Context, call Call) (Reply, error) {
	s.mu.Lock()
	s.calls[call.Path]++
	outage, revision := s.outage, strconv.Itoa(s.revision)
	s.mu.Unlock()
	wait := 3 * time.Millisecond
	if call.Wait > 0 && call.Query == revision {
		wait = call.Wait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-outage:
		return Reply{Status: http.StatusServiceUnavailable}, nil
	case <-timer.C:
		return Reply{Status: http.StatusOK, Body: []byte(revision)}, nil
	case <-ctx.Done():
		return Reply{}, NewError(true, ctx.Err())
	}
}

// testProcess is a process of a test fleet. Its cut flag makes it alone lose the store.
type testProcess struct {
	address string
	zone    int
	worker  bool
	route   *Route
	watch   CallFunc
	stop    func() // ends its server
	cut     atomic.Bool
}

// testFleet is a fleet of processes that watch the same kinds.
type testFleet struct {
	store     *fleetStore
	processes []*testProcess
	restored  atomic.Int64 // Unix time in nanoseconds of the latest event of a restoration
}

// newTestFleet starts three workers and the given number of entry processes in three
// zones.
func newTestFleet(t *testing.T, entries int) *testFleet {
	f := &testFleet{store: newFleetStore()}
	var muxes []*http.ServeMux
	for i := range entries + 3 {
		mux := http.NewServeMux()
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		muxes = append(muxes, mux)
		f.processes = append(f.processes, &testProcess{address: strings.TrimPrefix(server.URL, "http://"), zone: i % 3, worker: i < 3, stop: func() {
			server.CloseClientConnections()
			_ = server.Listener.Close()
		}})
	}
	for i, p := range f.processes {
		f.connect(i, p, muxes[i])
	}
	return f
}

// connect gives a process its paths, as the program does.
func (f *testFleet) connect(i int, p *testProcess, mux *http.ServeMux) {
	direct := NewSharedCalls(func(ctx context.Context, call Call) (Reply, error) {
		if p.cut.Load() {
			return Reply{}, NewError(false, errors.New("cut off"))
		}
		return f.store.call(ctx, call)
	}, DirectTimeout, nil)
	slack := FollowerSlack
	if p.worker {
		slack = ChainSlack
	}
	p.route = NewRoute(Seams{
		Direct: direct.Call, Ask: NewAsk(), Probe: Call{Method: "GET", Path: "probe"}, HostSlack: slack,
		OnDirectLost:     direct.Cancel,
		OnDirectRestored: func() { f.tellRestored(p) },
		Peers: func() []Peer {
			var peers []Peer
			for _, other := range f.processes {
				if other != p {
					peers = append(peers, Peer{Address: other.address, OtherZone: other.zone != p.zone})
				}
			}
			return peers
		},
		Hosts: func() []string { return f.hosts(i) },
	}, clock.NewSystem(), logs.Discard())
	routed := NewSharedCalls(p.route.Call, slack+DirectTimeout, reuseChanges)
	p.watch = routed.Call
	shared := direct.Call
	if p.worker {
		shared = routed.Call
	}
	reads := NewSharedCalls(p.route.CallForPeer, DirectTimeout, reuseChanges)
	mux.Handle(RelayPathPrefix, NewServer(p.route.CallForPeer, func(ctx context.Context, call Call) (Reply, error) {
		if call.Wait > 0 {
			return shared(ctx, call)
		}
		return reads.Call(ctx, call)
	}))
}

// reuseChanges is a ReuseFunc: a reply may be reused if it tells of another revision.
func reuseChanges(call Call, reply Reply) time.Duration {
	if reply.Status != http.StatusOK || call.Wait > 0 && string(reply.Body) == call.Query {
		return 0
	}
	return 400 * time.Millisecond
}

// hosts returns the hosts of a process: for a worker those before it, for an entry
// process that of its zone first.
func (f *testFleet) hosts(i int) []string {
	if i < 3 {
		var earlier []string
		for _, p := range f.processes[:i] {
			earlier = append(earlier, p.address)
		}
		return earlier
	}
	own := f.processes[i].zone
	return []string{f.processes[own].address, f.processes[(own+1)%3].address, f.processes[(own+2)%3].address}
}

// tellRestored tells all other processes that the store answers, as the broadcaster
// does.
func (f *testFleet) tellRestored(from *testProcess) {
	now := time.Now().UnixNano()
	last := f.restored.Load()
	if now-last < int64(2*time.Second) || !f.restored.CompareAndSwap(last, now) {
		return
	}
	for _, p := range f.processes {
		if p != from {
			time.AfterFunc(rand.N(30*time.Millisecond), p.route.ProbeNow)
		}
	}
}

// follow makes a process watch a kind like a mirror until ctx ends. It calls answered
// for each change of the revision.
func (p *testProcess) follow(ctx context.Context, kind string, wait time.Duration, answered func()) {
	revision := "0"
	backoff := 100 * time.Millisecond
	for ctx.Err() == nil {
		reply, err := p.watch(ctx, Call{Method: "GET", Path: kind, Query: revision, Wait: wait})
		pause := time.Duration(0)
		if err != nil || reply.refused() {
			pause = backoff/2 + rand.N(backoff/2)
			backoff = min(2*backoff, 800*time.Millisecond)
		} else {
			backoff = 100 * time.Millisecond
			if string(reply.Body) != revision {
				answered()
			}
			revision = string(reply.Body)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// run makes all processes watch three kinds until the test ends. It returns the times at
// which each process learned of the latest change of the first kind.
func (f *testFleet) run(t *testing.T) (answers []*atomic.Int64) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	for _, p := range f.processes {
		last := &atomic.Int64{}
		answers = append(answers, last)
		for kind, wait := range map[string]time.Duration{"config": 1650 * time.Millisecond, "servers": 400 * time.Millisecond, "evacuations": 2750 * time.Millisecond} {
			running.Go(func() {
				p.follow(ctx, kind, wait, func() {
					if kind == "config" {
						last.Store(time.Now().UnixNano())
					}
				})
			})
		}
	}
	return answers
}

// total returns the number of calls without the probes of the direct path.
func total(calls map[string]int) int {
	n := 0
	for path, count := range calls {
		if path != "probe" {
			n += count
		}
	}
	return n
}

// Guards against calls to the store that grow with the fleet in an outage and after it:
// once the store answered again, each process made its watches itself, since the hosts
// had failed (three outages of one day cost 2,300 watches of endpoints, zones and the
// manifest beyond those of a calm day). All processes must get answers within
// the shortest bound, also if a host is lost meanwhile.
func TestCallsOfAnOutage(t *testing.T) {
	for _, hostLost := range []bool{false, true} {
		t.Run(fmt.Sprintf("host lost %v", hostLost), func(t *testing.T) {
			f := newTestFleet(t, 53)
			answers := f.run(t)
			time.Sleep(2 * time.Second)
			f.store.take()
			f.store.setDown(true)
			time.Sleep(4 * time.Second)
			during := f.store.take()
			if hostLost {
				f.processes[0].stop()
			}
			f.store.setDown(false)
			restored := time.Now()
			time.Sleep(3 * time.Second)
			after := f.store.take()
			t.Logf("calls in 4 s of the outage: %v, in the 3 s after it: %v", during, after)
			if n := total(during); n > 60 {
				t.Errorf("%d calls but probes in the outage", n)
			}
			// Each process probes once as it finds the outage, and then at random intervals
			// of at least three quarters of the mean one.
			rounds := int(4*time.Second/minProbeInterval) + 1
			if n, limit := during["probe"], len(f.processes)+rounds*probersPerInterval*4/3; n > limit {
				t.Errorf("%d probes in the outage, want at most %d", n, limit)
			}
			if n := total(after); n > 150 {
				t.Errorf("%d calls but probes after the outage", n)
			}
			var latest time.Duration
			for i, last := range answers {
				took := time.Unix(0, last.Load()).Sub(restored)
				latest = max(latest, took)
				if took < 0 && (i > 0 || !hostLost) {
					t.Errorf("process %d does not know of the change 3 s after the outage", i)
				}
			}
			t.Logf("the last process knew of the change after %v", latest)
		})
	}
}

// Guards against a single process that is cut off from the store and neither goes on
// through others nor notices that its own path works again.
func TestSingleProcessCutOff(t *testing.T) {
	for _, index := range []int{0, 1, 10} { // the first host, a second one, an entry process
		f := newTestFleet(t, 20)
		answers := f.run(t)
		time.Sleep(time.Second)
		p := f.processes[index]
		p.cut.Store(true)
		_, _ = p.route.Call(context.Background(), Call{Method: "GET", Path: "k"})
		cut := time.Now()
		waitFor(t, "the loss is found", p.route.DirectLost)
		f.store.change()
		waitFor(t, "all processes have an answer", func() bool {
			for _, last := range answers {
				if time.Unix(0, last.Load()).Before(cut) {
					return false
				}
			}
			return true
		})
		if took := time.Since(cut); took > 4*time.Second {
			t.Errorf("process %d cut off: answers after %v", index, took)
		}
		if _, err := p.route.Call(context.Background(), Call{Method: "GET", Path: "k"}); err != nil {
			t.Errorf("process %d makes no call through others: %v", index, err)
		}
		p.cut.Store(false)
		waitFor(t, "the path is restored", func() bool { return !p.route.DirectLost() })
	}
}

// Guards against lists that each process makes itself: at a start, after the loss of the
// history and while processes are replaced. A host that is gone or silent must delay a
// list by a bounded time only, and an old answer must not be reused.
func TestSharedLists(t *testing.T) {
	f := newTestFleet(t, 53)
	list := func() (longest time.Duration) {
		var took [56]time.Duration
		var listing sync.WaitGroup
		for i, p := range f.processes {
			listing.Go(func() {
				time.Sleep(rand.N(300 * time.Millisecond))
				began := time.Now()
				if _, err := p.watch(t.Context(), Call{Method: "GET", Path: "servers", Shared: true}); err != nil {
					t.Errorf("process %d: %v", i, err)
				}
				took[i] = time.Since(began)
			})
		}
		listing.Wait()
		return slices.Max(took[:])
	}
	longest := list()
	calls := f.store.take()
	t.Logf("56 lists in 0.3 s: %v, the longest %v", calls, longest)
	if n := calls["servers"]; n > 6 {
		t.Errorf("%d lists at the store for 56 processes", n)
	}
	time.Sleep(450 * time.Millisecond)
	f.store.change()
	reply, err := f.processes[10].watch(t.Context(), Call{Method: "GET", Path: "servers", Shared: true})
	if err != nil || string(reply.Body) != "1" {
		t.Errorf("revision %q, error %v after 450 ms, want that of a new list", reply.Body, err)
	}
	time.Sleep(450 * time.Millisecond)
	f.processes[0].stop()
	f.store.take()
	longest = list()
	calls = f.store.take()
	t.Logf("with a host gone: %v, the longest %v", calls, longest)
	if n := calls["servers"]; n > 8 {
		t.Errorf("%d lists at the store for 56 processes without the first host", n)
	}
	released := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-released }))
	defer silent.Close()
	defer close(released)
	own := newFakeStore("ok")
	route := NewRoute(Seams{
		Direct: own.call, Ask: NewAsk(), Peers: func() []Peer { return nil }, HostSlack: FollowerSlack,
		Hosts: func() []string { return []string{strings.TrimPrefix(silent.URL, "http://")} },
	}, clock.NewSystem(), logs.Discard())
	began := time.Now()
	if _, err := route.Call(t.Context(), Call{Method: "GET", Path: "servers", Shared: true}); err != nil || own.calls.Load() != 1 || time.Since(began) > 2*time.Second {
		t.Errorf("silent host: %v, %d own calls after %v", err, own.calls.Load(), time.Since(began))
	}
}

// Guards against a list that fails at a host of the previous release. It makes each call
// that does not wait on its own connection, since its server knows no shared ones.
func TestSharedListAtAnOlderHost(t *testing.T) {
	store, own := newFakeStore("ok"), newFakeStore("ok")
	old := servePeer(t, store, false)
	route := NewRoute(Seams{
		Direct: own.call, Ask: NewAsk(), Peers: func() []Peer { return nil }, HostSlack: FollowerSlack,
		Hosts: func() []string { return []string{old.Address} },
	}, clock.NewSystem(), logs.Discard())
	for range 2 {
		if reply, err := route.Call(t.Context(), Call{Method: "GET", Path: "servers", Shared: true}); err != nil || reply.Status != http.StatusOK {
			t.Errorf("reply %d, error %v", reply.Status, err)
		}
	}
	if own.calls.Load() != 0 || store.calls.Load() != 2 {
		t.Errorf("%d own calls and %d of the host, want 0 and 2", own.calls.Load(), store.calls.Load())
	}
}

// Guards against the reuse of replies that must not be: failures, those of a watch
// without a change, and those of calls that are not shared.
func TestReuse(t *testing.T) {
	store := newFleetStore()
	now := time.Duration(0)
	shared := NewSharedCalls(store.call, DirectTimeout, reuseChanges)
	shared.uptime = func() time.Duration { return now }
	for _, step := range []struct {
		name  string
		call  Call
		after time.Duration
		calls int
	}{
		{"a list", Call{Path: "k", Shared: true}, 0, 1},
		{"an equal one", Call{Path: "k", Shared: true}, 399 * time.Millisecond, 0},
		{"when it is old", Call{Path: "k", Shared: true}, time.Millisecond, 1},
		{"another kind", Call{Path: "other", Shared: true}, 0, 1},
		{"an exact one", Call{Path: "k"}, 0, 1},
		{"a watch with a change", Call{Path: "k", Query: "9", Wait: time.Millisecond}, 0, 1},
		{"an equal watch", Call{Path: "k", Query: "9", Wait: time.Millisecond}, 0, 0},
		{"a watch without a change", Call{Path: "k", Query: "0", Wait: time.Millisecond}, 0, 1},
		{"an equal watch again", Call{Path: "k", Query: "0", Wait: time.Millisecond}, 0, 1},
	} {
		now += step.after
		store.take()
		if _, err := shared.Call(t.Context(), step.call); err != nil {
			t.Fatal(err)
		}
		if n := total(store.take()); n != step.calls {
			t.Errorf("%s: %d calls, want %d", step.name, n, step.calls)
		}
	}
	now += time.Second
	store.setDown(true)
	for range 2 {
		_, _ = shared.Call(t.Context(), Call{Path: "k", Shared: true})
	}
	if n := total(store.take()); n != 2 {
		t.Errorf("%d calls for two refused lists, want 2", n)
	}
}
