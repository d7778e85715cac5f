package config

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/peer/objects"
)

// platform is an in-process object API with injected faults.
type platform struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]objects.Object
	history  map[uint64]map[string]objects.Object
	calls    int
	outage   bool
	// loseAnswers is the number of coming writes that take effect but whose
	// answers are lost.
	loseAnswers int
	// onLostAnswer runs after such a write.
	onLostAnswer func()
	// listedBytes counts the bytes of the values that list calls returned.
	listedBytes int
	// staleRevision makes reads show the store as it was at this revision, if not
	// 0.
	staleRevision uint64
	instances     []member.Instance
}

func newPlatform() *platform {
	return &platform{objects: map[string]objects.Object{}, history: map[uint64]map[string]objects.Object{0: {}}}
}

func (p *platform) beginCall() error {
	p.calls++
	if p.outage {
		return &codec.StatusError{Status: http.StatusServiceUnavailable}
	}
	return nil
}

func (p *platform) visible() (uint64, map[string]objects.Object) {
	if p.staleRevision > 0 {
		return p.staleRevision, p.history[p.staleRevision]
	}
	return p.revision, p.objects
}

func (p *platform) get(_ context.Context, kind, name string) (objects.Object, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.beginCall(); err != nil {
		return objects.Object{}, false, err
	}
	_, all := p.visible()
	o, ok := all[kind+"/"+name]
	return o, ok, nil
}

func (p *platform) listPage(_ context.Context, kind string, after uint64, _ time.Duration) (objects.Page, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.beginCall(); err != nil {
		return objects.Page{}, err
	}
	revision, all := p.visible()
	out := objects.Page{Revision: revision}
	for _, o := range all {
		if o.Kind == kind && o.Revision > after {
			p.listedBytes += len(o.Value)
			out.Objects = append(out.Objects, o)
		}
	}
	slices.SortFunc(out.Objects, func(a, b objects.Object) int { return int(a.Revision) - int(b.Revision) })
	return out, nil
}

// put checks its condition against the current store even while reads are stale.
func (p *platform) put(_ context.Context, kind, name string, revision uint64, value []byte) (objects.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.beginCall(); err != nil {
		return objects.Object{}, err
	}
	key := kind + "/" + name
	if held := p.objects[key]; held.Revision != revision {
		return objects.Object{}, objects.NewConflictError(held)
	}
	p.revision++
	o := objects.Object{Kind: kind, Name: name, Revision: p.revision, Value: slices.Clone(value)}
	p.objects[key] = o
	p.recordHistory()
	if p.loseAnswers > 0 {
		p.loseAnswers--
		if p.onLostAnswer != nil {
			p.onLostAnswer()
		}
		return objects.Object{}, errors.New("the answer was lost")
	}
	return o, nil
}

func (p *platform) remove(_ context.Context, kind, name string, _ uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.beginCall(); err != nil {
		return err
	}
	p.revision++
	delete(p.objects, kind+"/"+name)
	p.recordHistory()
	return nil
}

func (p *platform) recordHistory() {
	all := map[string]objects.Object{}
	for k, o := range p.objects {
		all[k] = o
	}
	p.history[p.revision] = all
}

// node is one instance of a test fleet.
type node struct {
	*Config
	id, zone  string
	directory *member.Directory
	handler   http.Handler
	dead      bool
	stop      context.CancelFunc
	done      chan struct{}
	round     int
}

// testFleet is a set of instances on one driven clock that call each other and
// the platform without sockets.
type testFleet struct {
	t        testing.TB
	timers   *clock.Service
	driver   *clock.Driver
	platform *platform
	nodes    map[string]*node
	order    []string
	mu       sync.Mutex
	// cuts holds pairs of names that cannot reach each other: instances, zones,
	// or "platform".
	cuts      map[[2]string]bool
	wireBytes atomic.Int64
	calls     atomic.Int64
	// countBytes makes wireBytes count the bytes that calls take on a connection.
	countBytes bool
	// adjust changes the settings of an instance before it starts.
	adjust func(*setting.Settings)
}

func newFleet(t testing.TB) *testFleet {
	f := &testFleet{t: t, platform: newPlatform(), nodes: map[string]*node{}, cuts: map[[2]string]bool{}}
	f.timers, f.driver = clock.NewDriven(time.Unix(1000, 0))
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.shutDown()
		}
	})
	return f
}

func (n *node) shutDown() {
	n.stop()
	<-n.done
}

// setCut cuts or heals the network between two names.
func (f *testFleet) setCut(a, b string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[[2]string{a, b}] = cut
}

func (f *testFleet) isCut(a, b *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range []string{a.id, a.zone} {
		for _, y := range []string{b.id, b.zone} {
			if f.cuts[[2]string{x, y}] || f.cuts[[2]string{y, x}] {
				return true
			}
		}
	}
	return false
}

// roundTrip calls another instance's handler directly.
func (n *node) roundTrip(f *testFleet, r *http.Request) (*http.Response, error) {
	f.mu.Lock()
	target := f.nodes[r.URL.Hostname()]
	f.mu.Unlock()
	if target == nil || target.dead {
		return nil, syscall.ECONNREFUSED
	}
	if n.dead || f.isCut(n, target) {
		return nil, errors.New("no answer")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	in := r.Clone(r.Context())
	in.Body = io.NopCloser(bytes.NewReader(body))
	recorder := httptest.NewRecorder()
	target.handler.ServeHTTP(recorder, in)
	f.calls.Add(1)
	if f.countBytes {
		f.wireBytes.Add(wireSize(r, recorder.Result(), len(body), recorder.Body.Len()))
	}
	return recorder.Result(), nil
}

type roundTripper func(*http.Request) (*http.Response, error)

func (r roundTripper) RoundTrip(q *http.Request) (*http.Response, error) { return r(q) }

// start starts an instance. Of its loops only the writer runs by itself; the test
// drives the others.
func (f *testFleet) start(id, zone string) *node {
	settings := setting.Defaults()
	settings.ID, settings.Zone, settings.Peer = id, zone, id+":1"
	if f.adjust != nil {
		f.adjust(&settings)
	}
	n := &node{id: id, zone: zone, done: make(chan struct{})}
	reach := func(call func() error) error {
		if n.dead || f.isCut(n, &node{id: "platform", zone: "platform"}) {
			return errors.New("no answer")
		}
		return call()
	}
	peers := &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) { return n.roundTrip(f, r) })}
	n.directory = member.NewDirectory(settings, f.timers, member.Seams{
		Fetch: func(context.Context) (list []member.Instance, err error) {
			err = reach(func() error {
				f.platform.mu.Lock()
				defer f.platform.mu.Unlock()
				list = slices.Clone(f.platform.instances)
				return f.platform.beginCall()
			})
			return list, err
		},
		Ping: func(ctx context.Context, i member.Instance) error {
			_, err := n.exchange(ctx, i)
			return err
		},
		Refused: func(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) },
	}, logs.Discard())
	n.Config = New(settings, f.timers, Seams{Peers: peers, Directory: n.directory, Store: Store{
		Get: func(ctx context.Context, kind, name string) (o objects.Object, ok bool, err error) {
			err = reach(func() error { o, ok, err = f.platform.get(ctx, kind, name); return err })
			return o, ok, err
		},
		List: func(ctx context.Context, kind string, after uint64, wait time.Duration) (p objects.Page, err error) {
			err = reach(func() error { p, err = f.platform.listPage(ctx, kind, after, wait); return err })
			return p, err
		},
		Put: func(ctx context.Context, kind, name string, revision uint64, value []byte) (o objects.Object, err error) {
			err = reach(func() error { o, err = f.platform.put(ctx, kind, name, revision, value); return err })
			return o, err
		},
		Delete: func(ctx context.Context, kind, name string, revision uint64) error {
			return reach(func() error { return f.platform.remove(ctx, kind, name, revision) })
		},
	}}, logs.Discard())
	n.restore()
	n.handler = n.Server()
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() {
		defer close(n.done)
		n.writeLoop(ctx)
		n.mu.Lock()
		n.Config.stop()
		n.mu.Unlock()
		n.tasks.Wait()
	}()
	f.mu.Lock()
	f.nodes[id] = n
	f.mu.Unlock()
	if !slices.Contains(f.order, id) {
		f.order = append(f.order, id)
	}
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	f.platform.instances = slices.DeleteFunc(f.platform.instances, func(i member.Instance) bool { return i.ID == id })
	f.platform.instances = append(f.platform.instances, member.Instance{ID: id, Zone: zone, Peer: settings.Peer, State: member.StateLive})
	return n
}

// step lets one exchange period pass at all instances, parents before children.
func (f *testFleet) step() {
	for half := range 2 {
		f.driver.Advance(500 * time.Millisecond)
		for _, id := range f.treeOrder() {
			n := f.nodes[id]
			if n.dead {
				continue
			}
			n.round++
			n.pollRound(context.Background(), n.round)
			if half == 0 {
				n.directory.Step(context.Background(), n.round)
				n.exchangeRound(context.Background())
			}
		}
	}
	f.awaitPushes()
}

// treeOrder returns the ids in the order of the zones' trees, so that exchanges
// run as they do when each instance follows its parent.
func (f *testFleet) treeOrder() []string {
	var out []string
	view := member.NewView(f.platform.instances)
	for _, zone := range view.Zones() {
		out = append(out, view.Tree(zone)...)
	}
	return slices.DeleteFunc(out, func(id string) bool { return f.nodes[id] == nil })
}

// awaitPushes waits until no push is running.
func (f *testFleet) awaitPushes() {
	f.t.Helper()
	f.await("pushes end", func() bool {
		for _, n := range f.nodes {
			n.mu.Lock()
			busy := false
			for _, b := range n.pushing {
				busy = busy || b
			}
			n.mu.Unlock()
			if busy {
				return false
			}
		}
		return true
	})
}

func (f *testFleet) await(what string, ok func() bool) {
	f.t.Helper()
	for limit := time.Now().Add(20 * time.Second); !ok(); time.Sleep(200 * time.Microsecond) {
		if time.Now().After(limit) {
			f.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// runWithClock runs work while it advances the clock, and returns when work has
// ended.
func (f *testFleet) runWithClock(work func()) {
	done := make(chan struct{})
	go func() { defer close(done); work() }()
	for limit := time.Now().Add(20 * time.Second); ; {
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
			f.driver.Advance(20 * time.Millisecond)
		}
		if time.Now().After(limit) {
			f.t.Fatal("work did not end within 20 s")
		}
	}
}

// describe returns each instance's sequence and freshness.
func (f *testFleet) describe() string {
	var out strings.Builder
	seen := map[uint64]string{}
	for _, id := range f.order {
		n := f.nodes[id]
		if n.dead {
			fmt.Fprintf(&out, "%s dead\n", id)
			continue
		}
		fresh, _ := n.Fresh()
		fmt.Fprintf(&out, "%s sequence=%d ready=%v fresh=%v\n", id, n.Sequence(), n.Ready(), fresh)
		rows, _ := json.Marshal(n.Table().Rows())
		if held, ok := seen[n.Sequence()]; ok && held != string(rows) {
			fmt.Fprintf(&out, "DIFFERENT TABLES at sequence %d: %s and %s\n", n.Sequence(), held, rows)
		}
		seen[n.Sequence()] = string(rows)
	}
	return out.String()
}

func rawJSON(value string) json.RawMessage { return json.RawMessage(value) }
