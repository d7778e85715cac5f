package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
)

// fakeStore stands for a connection to the store, whose calls end as its mode
// says.
type fakeStore struct {
	mode  atomic.Value // "ok", "refuse", "unsent", "silent"
	calls atomic.Int64
}

func newFakeStore(mode string) *fakeStore {
	s := &fakeStore{}
	s.mode.Store(mode)
	return s
}

func (s *fakeStore) call(ctx context.Context, _ Call) (Reply, error) {
	s.calls.Add(1)
	switch s.mode.Load() {
	case "refuse":
		return Reply{Status: http.StatusServiceUnavailable}, nil
	case "unsent":
		return Reply{}, NewError(false, errors.New("no connection"))
	case "silent":
		<-ctx.Done()
		return Reply{}, NewError(true, ctx.Err())
	}
	return Reply{Status: http.StatusOK, Body: []byte("answer")}, nil
}

// servePeer starts a peer that makes its calls to the given store.
func servePeer(t *testing.T, store *fakeStore, otherZone bool) Peer {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(RelayPathPrefix, NewServer(store.call, store.call))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return Peer{Address: strings.TrimPrefix(server.URL, "http://"), OtherZone: otherZone}
}

// goneAddress returns an address at which nothing listens. A socket stays bound to it, so
// that no server of another test gets the port meanwhile.
func goneAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
}

func newTestRoute(own *fakeStore, peers ...Peer) *Route {
	return NewRoute(Seams{
		Direct: own.call, Ask: NewAsk(), Peers: func() []Peer { return peers },
	}, clock.NewSystem(), logs.Discard())
}

// Guards against a failure of the direct call after which no peer is asked, and
// against an error with a wrong Sent.
func TestFallbackToPeers(t *testing.T) {
	cases := []struct {
		name, own, peer string
		answered        bool
		sent            bool
	}{
		{"direct works", "ok", "unsent", true, false},
		{"store refuses this process", "refuse", "ok", true, false},
		{"store is silent to this process", "silent", "ok", true, false},
		{"no connection", "unsent", "ok", true, false},
		{"nobody reaches the store", "unsent", "unsent", false, false},
		{"silent to both", "silent", "unsent", false, true},
		{"peer may have done it", "unsent", "silent", false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			route := newTestRoute(newFakeStore(c.own), servePeer(t, newFakeStore(c.peer), true))
			reply, err := route.Call(context.Background(), Call{Method: http.MethodPut})
			if answered := err == nil && reply.Status == http.StatusOK; answered != c.answered {
				t.Fatalf("reply %d, error %v", reply.Status, err)
			}
			if err != nil && mayHaveSent(err) != c.sent {
				t.Errorf("sent %v, want %v", mayHaveSent(err), c.sent)
			}
		})
	}
}

// Guards against a refusal of the store that is hidden by an error when peers
// are refused too: the refusal proves that the call was not executed.
func TestRefusalIsPassedOn(t *testing.T) {
	route := newTestRoute(newFakeStore("refuse"), servePeer(t, newFakeStore("refuse"), true))
	reply, err := route.Call(context.Background(), Call{})
	if err != nil || !reply.refused() {
		t.Errorf("reply %d, error %v", reply.Status, err)
	}
}

// Guards against peers being asked for each call while the store is down for
// all processes: every call to the store has a price.
func TestOutageDoesNotMultiplyCalls(t *testing.T) {
	peer := newFakeStore("refuse")
	route := newTestRoute(newFakeStore("refuse"), servePeer(t, peer, true))
	for range 20 {
		_, _ = route.Call(context.Background(), Call{})
	}
	if calls := peer.calls.Load(); calls > 3 {
		t.Errorf("the peer was asked %d times", calls)
	}
}

// Guards against a watch that stays on an unresponsive connection although
// another call has found the direct path lost.
func TestWatchEndsWhenDirectPathIsLost(t *testing.T) {
	own := newFakeStore("silent")
	route := newTestRoute(own, servePeer(t, newFakeStore("ok"), true))
	watched := make(chan error, 1)
	go func() {
		_, err := route.Call(context.Background(), Call{Wait: 39 * time.Second})
		watched <- err
	}()
	for own.calls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if _, err := route.Call(context.Background(), Call{}); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-watched:
		if err != nil {
			t.Errorf("the watch failed: %v", err)
		}
	case <-time.After(30 * time.Second):
		t.Error("the watch still waits on the lost direct path")
	}
}

// Guards against calls that still go through peers once a probe has shown that
// the direct path works again.
func TestDirectPathIsRestored(t *testing.T) {
	own := newFakeStore("unsent")
	peer := newFakeStore("ok")
	route := newTestRoute(own, servePeer(t, peer, true))
	if _, err := route.Call(context.Background(), Call{}); err != nil {
		t.Fatal(err)
	}
	own.mode.Store("ok")
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if _, lost := route.directState(); !lost {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the direct path was not restored")
		}
	}
	before := peer.calls.Load()
	if _, err := route.Call(context.Background(), Call{}); err != nil || peer.calls.Load() != before {
		t.Errorf("error %v; the peer was asked although the direct path works", err)
	}
}

// Guards against a process that does not count as isolated although it reaches
// neither the store nor another availability zone, and against one that does
// only because the store is down for all processes.
func TestIsolated(t *testing.T) {
	gone := Peer{Address: goneAddress(t), OtherZone: true}
	cases := []struct {
		name     string
		peers    func(t *testing.T) []Peer
		isolated bool
	}{
		{"other zones unreachable", func(t *testing.T) []Peer { return []Peer{gone, servePeer(t, newFakeStore("unsent"), false)} }, true},
		{"store down for all", func(t *testing.T) []Peer { return []Peer{servePeer(t, newFakeStore("unsent"), true)} }, false},
		{"only one zone", func(t *testing.T) []Peer { return []Peer{servePeer(t, newFakeStore("unsent"), false)} }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			own := newFakeStore("unsent")
			route := newTestRoute(own, c.peers(t)...)
			_, _ = route.Call(context.Background(), Call{})
			if !route.DirectLost() {
				t.Error("the direct path does not count as lost")
			}
			if got := route.Isolated(); got != c.isolated {
				t.Errorf("isolated %v, want %v", got, c.isolated)
			}
			own.mode.Store("ok")
			route.markDirectRestored()
			if route.Isolated() || route.DirectLost() {
				t.Error("isolated or lost although the store answers")
			}
		})
	}
}

// Guards against a process that stays ready until the first peer has answered:
// if its zone is partitioned, that takes until the call to the peer times out.
func TestIsolatedUntilAPeerAnswers(t *testing.T) {
	var route *Route
	isolated := make(chan bool, 16) // the peer is asked more than once
	mux := http.NewServeMux()
	answer := func(context.Context, Call) (Reply, error) {
		isolated <- route.Isolated()
		return Reply{Status: http.StatusOK}, nil
	}
	mux.Handle(RelayPathPrefix, NewServer(answer, answer))
	server := httptest.NewServer(mux)
	defer server.Close()
	route = newTestRoute(newFakeStore("unsent"), Peer{Address: strings.TrimPrefix(server.URL, "http://"), OtherZone: true})
	if _, err := route.Call(context.Background(), Call{}); err != nil {
		t.Fatal(err)
	}
	if !<-isolated {
		t.Error("not isolated while no peer has answered")
	}
	if route.Isolated() {
		t.Error("isolated although a peer in another zone reaches the store")
	}
}

// waitFor waits until the condition holds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waited in vain until %s", what)
		}
	}
}

// Guards against a process that finds out only with its next calls, one peer after
// the other, that its zone is cut off: a trainer there waited 2.5 s for each refusal
// (kolil-hq trouble-1).
func TestIsolationIsFoundByTheLossAlone(t *testing.T) {
	silent := newFakeStore("silent")
	gone := Peer{Address: goneAddress(t), OtherZone: true}
	route := newTestRoute(newFakeStore("unsent"), gone, servePeer(t, silent, false))
	isolation := route.Isolation()
	route.markDirectLost(Reply{}, errors.New("cut off"))
	select {
	case <-isolation:
	case <-time.After(30 * time.Second):
		t.Fatal("the process does not know that it is cut off")
	}
	route.markDirectRestored()
	select {
	case <-route.Isolation():
		t.Error("still cut off although the direct path works")
	default:
	}
}

// Guards against a process that counts as cut off, or makes no calls, because the
// first peers that it asks share its partition: the holder of the role was partitioned
// from the store and from all workers, and its relays were restarted one after the
// other (kolil-hq-grown trouble-2).
func TestOtherPeersAreFoundInAPartition(t *testing.T) {
	gone := Peer{Address: goneAddress(t), OtherZone: true}
	for range 20 { // the peers that are asked are chosen at random
		first, second := newFakeStore("ok"), newFakeStore("unsent")
		near, far := servePeer(t, first, true), servePeer(t, second, true)
		route := newTestRoute(newFakeStore("unsent"), gone, gone, near, far)
		route.markDirectLost(Reply{}, errors.New("partitioned"))
		lastPeer := func() string {
			route.mu.Lock()
			defer route.mu.Unlock()
			return route.lastPeer
		}
		waitFor(t, "the peer that reaches the store is found", func() bool { return lastPeer() == near.Address })
		if route.Isolated() {
			t.Error("isolated although a peer reaches the store")
		}
		first.mode.Store("unsent")
		second.mode.Store("ok")
		_, _ = route.Call(context.Background(), Call{}) // may fail, since the peer that it uses does
		waitFor(t, "the other peer is found without more calls", func() bool { return lastPeer() == far.Address })
	}
}

// Guards against processes of a zone that each find out on their own that it is cut
// off: the first one that does makes the others check their path.
func TestLossIsFoundByTheZone(t *testing.T) {
	other := newTestRoute(newFakeStore("unsent"))
	mux := http.NewServeMux()
	mux.Handle(RelayPathPrefix, NewServer(other.CallForPeer, other.CallForPeer))
	server := httptest.NewServer(mux)
	defer server.Close()
	first := newTestRoute(newFakeStore("unsent"), Peer{Address: strings.TrimPrefix(server.URL, "http://")})
	first.markDirectLost(Reply{}, errors.New("cut off"))
	waitFor(t, "the other process has found the loss", other.DirectLost)
}

// Guards against calls that each process makes on its own while it knows that the
// store does not answer, and against one that is not refused as unsent.
func TestNoCallsWhileThePathIsLost(t *testing.T) {
	own := newFakeStore("refuse")
	route := newTestRoute(own, servePeer(t, newFakeStore("refuse"), true))
	_, _ = route.Call(context.Background(), Call{})
	waitFor(t, "the loss is found", route.DirectLost)
	before := own.calls.Load()
	for range 50 {
		if _, err := route.Call(context.Background(), Call{}); err == nil || mayHaveSent(err) {
			t.Fatalf("error %v, want one that says that nothing was sent", err)
		}
	}
	if calls := own.calls.Load() - before; calls > 5 { // the probes of the path go on
		t.Errorf("%d calls to the store", calls)
	}
}

// Guards against calls to the store for peers by processes that know that it does
// not answer them: in an outage each call of one process cost up to four.
func TestNoCallForPeersWhileThePathIsLost(t *testing.T) {
	store := newFakeStore("refuse")
	route := newTestRoute(store)
	if _, err := route.CallForPeer(context.Background(), Call{}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the loss is found", route.DirectLost)
	before := store.calls.Load()
	for range 20 {
		if _, err := route.CallForPeer(context.Background(), Call{}); err == nil || mayHaveSent(err) {
			t.Fatalf("error %v, want one that says that nothing was sent", err)
		}
	}
	if calls := store.calls.Load() - before; calls > 2 { // the probes of the path go on
		t.Errorf("%d calls to the store for peers", calls)
	}
}

// Guards against equal watches of many processes that each cost the store a call
// although a host could make them once.
func TestHostedWatches(t *testing.T) {
	store := &fakeStore{}
	store.mode.Store("ok")
	release := make(chan struct{})
	shared := NewSharedCalls(func(ctx context.Context, call Call) (Reply, error) {
		reply, err := store.call(ctx, call)
		select {
		case <-release:
		case <-ctx.Done():
		}
		return reply, err
	}, DirectTimeout, nil)
	mux := http.NewServeMux()
	mux.Handle(RelayPathPrefix, NewServer(shared.Call, shared.Call))
	host := httptest.NewServer(mux)
	defer host.Close()
	own := newFakeStore("ok")
	const followers = 20
	results := make(chan error, followers)
	for range followers {
		route := NewRoute(Seams{
			Direct: own.call, Ask: NewAsk(), Peers: func() []Peer { return nil },
			Hosts:     func() []string { return []string{strings.TrimPrefix(host.URL, "http://")} },
			HostSlack: FollowerSlack,
		}, clock.NewSystem(), logs.Discard())
		go func() {
			_, err := route.Call(context.Background(), Call{Method: "GET", Path: "/k", Query: "watch=1", Wait: 30 * time.Second})
			results <- err
		}()
	}
	for deadline := time.Now().Add(20 * time.Second); store.calls.Load() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	time.AfterFunc(300*time.Millisecond, func() { close(release) })
	for range followers {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	if own.calls.Load() != 0 || store.calls.Load() > followers/2 {
		t.Errorf("%d own calls and %d of the host for %d watches", own.calls.Load(), store.calls.Load(), followers)
	}
}

// Guards against a failed host that is asked again for each watch: it is left
// out for the time of its backoff.
func TestFailedHostBacksOff(t *testing.T) {
	var asked atomic.Int64
	ask := NewAsk()
	own := newFakeStore("ok")
	gone := goneAddress(t)
	route := NewRoute(Seams{
		Direct: own.call, Peers: func() []Peer { return nil },
		Hosts:     func() []string { return []string{gone} },
		HostSlack: FollowerSlack,
		Ask: func(ctx context.Context, address string, call Call, limit time.Duration) (Reply, error) {
			asked.Add(1)
			return ask(ctx, address, call, limit)
		},
	}, clock.NewSystem(), logs.Discard())
	for range 5 {
		if _, err := route.Call(context.Background(), Call{Wait: time.Second}); err != nil {
			t.Fatal(err)
		}
	}
	if asked.Load() != 1 || own.calls.Load() != 6 {
		t.Errorf("the host was asked %d times, the store %d times; want 1, and 6 including the probe of the direct path", asked.Load(), own.calls.Load())
	}
}

// Guards against a partitioned zone that is noticed only when the watches time
// out: a host that loses its direct path must end the watches of its followers,
// and a follower whose direct path is lost too must then count as isolated.
func TestPartitionedZoneIsDetectedAtOnce(t *testing.T) {
	silent := newFakeStore("silent")
	shared := NewSharedCalls(silent.call, DirectTimeout, nil)
	mux := http.NewServeMux()
	mux.Handle(RelayPathPrefix, NewServer(shared.Call, shared.Call))
	host := httptest.NewServer(mux)
	defer host.Close()
	gone := Peer{Address: goneAddress(t), OtherZone: true}
	follower := NewRoute(Seams{
		Direct: newFakeStore("unsent").call, Ask: NewAsk(),
		Peers:     func() []Peer { return []Peer{gone} },
		Hosts:     func() []string { return []string{strings.TrimPrefix(host.URL, "http://")} },
		HostSlack: FollowerSlack,
	}, clock.NewSystem(), logs.Discard())
	watched := make(chan struct{})
	go func() {
		_, _ = follower.Call(context.Background(), Call{Wait: 39 * time.Second})
		close(watched)
	}()
	for silent.calls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	shared.Cancel()
	select {
	case <-watched:
	case <-time.After(30 * time.Second):
		t.Fatal("the follower still waits for the host")
	}
	if !follower.Isolated() {
		t.Error("the follower is not isolated")
	}
}

// testHost is a host that lets earlier hosts make its watches.
type testHost struct {
	own     *fakeStore
	server  *httptest.Server
	watches *SharedCalls
}

func newTestHost(t *testing.T, own *fakeStore, earlier ...*testHost) *testHost {
	h := &testHost{own: own}
	shared := NewSharedCalls(own.call, DirectTimeout, nil)
	var hosts []string
	for _, other := range earlier {
		hosts = append(hosts, strings.TrimPrefix(other.server.URL, "http://"))
	}
	route := NewRoute(Seams{
		Direct: shared.Call, Ask: NewAsk(), Peers: func() []Peer { return nil },
		Hosts: func() []string { return hosts }, HostSlack: ChainSlack,
	}, clock.NewSystem(), logs.Discard())
	h.watches = NewSharedCalls(route.Call, ChainSlack+DirectTimeout, nil)
	mux := http.NewServeMux()
	mux.Handle(RelayPathPrefix, NewServer(shared.Call, h.watches.Call))
	h.server = httptest.NewServer(mux)
	t.Cleanup(h.server.Close)
	return h
}

// Guards against hosts that each make the same watch, against followers of the
// second host that fail with the first one, and against a direct call for a peer
// (Call.DirectOnly) that a host passes on.
func TestHostsWatchThroughTheFirst(t *testing.T) {
	first := newTestHost(t, newFakeStore("ok"))
	second := newTestHost(t, newFakeStore("ok"), first)
	followerStore := newFakeStore("ok")
	follow := func() (Reply, error) {
		route := NewRoute(Seams{
			Direct: followerStore.call, Ask: NewAsk(), Peers: func() []Peer { return nil }, HostSlack: FollowerSlack,
			Hosts: func() []string { return []string{strings.TrimPrefix(second.server.URL, "http://")} },
		}, clock.NewSystem(), logs.Discard())
		return route.Call(context.Background(), Call{Method: "GET", Path: "/k", Query: "watch=1", Wait: time.Second})
	}
	if _, err := follow(); err != nil || first.own.calls.Load() != 1 || second.own.calls.Load() != 0 || followerStore.calls.Load() != 0 {
		t.Errorf("watch: %v; calls of the first %d, the second %d, the follower %d; want 1, 0, 0",
			err, first.own.calls.Load(), second.own.calls.Load(), followerStore.calls.Load())
	}
	call := Call{Method: "GET", Path: "/k", Wait: time.Second, DirectOnly: true}
	if _, err := NewAsk()(context.Background(), strings.TrimPrefix(second.server.URL, "http://"), call, time.Second); err != nil || second.own.calls.Load() != 1 {
		t.Errorf("direct call for a peer: %v; the second made %d calls, want 1", err, second.own.calls.Load())
	}
	first.server.Close()
	if _, err := follow(); err != nil || followerStore.calls.Load() != 0 || second.own.calls.Load() == 1 {
		t.Errorf("first host gone: %v; the follower made %d calls, want 0, the second %d", err, followerStore.calls.Load(), second.own.calls.Load())
	}
}

// Guards against followers that time out on a host while it waits for the first
// host, which does not respond.
func TestSilentFirstHost(t *testing.T) {
	released := make(chan struct{})
	silent := &testHost{server: httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-released }))}
	defer silent.server.Close()
	defer close(released)
	second := newTestHost(t, newFakeStore("ok"), silent)
	followerStore := newFakeStore("ok")
	route := NewRoute(Seams{
		Direct: followerStore.call, Ask: NewAsk(), Peers: func() []Peer { return nil }, HostSlack: FollowerSlack,
		Hosts: func() []string { return []string{strings.TrimPrefix(second.server.URL, "http://")} },
	}, clock.NewSystem(), logs.Discard())
	if _, err := route.Call(context.Background(), Call{Wait: 500 * time.Millisecond}); err != nil || followerStore.calls.Load() != 0 {
		t.Errorf("%v; the follower made %d calls of its own, want 0", err, followerStore.calls.Load())
	}
}
