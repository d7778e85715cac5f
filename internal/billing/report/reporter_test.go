package report

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/billing/usage"
	"github.com/wigeonpin/wigeonpin/internal/peer/intake"
)

var errLost = errors.New("no answer")

// scene has a store, an intake over HTTP, a lease and a driven clock.
type scene struct {
	timers  *clock.Service
	driver  *clock.Driver
	intake  *httptest.Server
	mu      sync.Mutex
	objects []Object
	holder  string // who holds the lease
	fence   uint64
	// created runs after a report object was created and before its creator
	// gets the answer.
	created func(by string) error
	// dialed runs before a connection to the intake is used.
	dialed func(by string)
	// loseSend drops the intake's answer after it took the report.
	loseSend bool
	// stale hides objects after this revision from reads, if not 0.
	stale    uint64
	received map[string][]string // by window: "holder fence body"
}

func newScene(t testing.TB) *scene {
	s := &scene{received: map[string][]string{}, fence: 1, holder: "a"}
	s.timers, s.driver = clock.NewDriven(time.Unix(1_700_000_000, 0))
	s.intake = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		defer s.mu.Unlock()
		window := strings.TrimPrefix(r.URL.Path, "/v1/usage/")
		s.received[window] = append(s.received[window],
			r.Header.Get(intake.HeaderHolder)+" "+r.Header.Get(intake.HeaderFence)+" "+string(body))
		if s.loseSend {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(s.intake.Close)
	return s
}

func (s *scene) find(kind, name string) ([]byte, bool) {
	for _, o := range s.objects {
		if o.Name == kind+"/"+name && (s.stale == 0 || o.Revision <= s.stale) {
			return o.Value, true
		}
	}
	return nil, false
}

func (s *scene) create(by, kind, name string, value []byte) ([]byte, bool, error) {
	s.mu.Lock()
	stale := s.stale
	s.stale = 0 // writes are never stale
	held, found := s.find(kind, name)
	s.stale = stale
	if !found {
		// A store may return the JSON value with other spacing later on.
		held = []byte(strings.ReplaceAll(string(value), `,"`, `, "`))
		s.objects = append(s.objects, Object{Name: kind + "/" + name, Revision: uint64(len(s.objects) + 1), Value: held})
	}
	hook := s.created
	s.mu.Unlock()
	if !found {
		held = value
	}
	if !found && hook != nil && kind == Kind && name != firstName && !strings.HasSuffix(name, sentSuffix) {
		if err := hook(by); err != nil {
			return nil, false, err
		}
	}
	return held, !found, nil
}

func (s *scene) segment(first uint64, window int64) {
	value, _ := json.Marshal(usage.Segment{Window: window, First: first, Last: first, Totals: []usage.Record{{Account: "acme", Class: fmt.Sprint("c", first), Requests: 1}}})
	_, _, _ = s.create("", usage.Kind, fmt.Sprint(first), value)
}

// reporter returns an instance's reporter. Its connections check the lease at
// each write, as those of the lease package do.
func (s *scene) reporter(id string) *Reporter {
	settings := setting.Defaults()
	settings.ID = id
	held := func() (uint64, bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.fence, s.holder == id || s.holder == "both"
	}
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			s.mu.Lock()
			hook := s.dialed
			s.mu.Unlock()
			if hook != nil {
				hook(id)
			}
			return guarded{conn, held}, err
		},
	}}
	return New(settings, s.timers, Seams{
		Held: held,
		Send: intake.New(s.intake.Listener.Addr().String(), client).Send,
		Get: func(_ context.Context, kind, name string) ([]byte, bool, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			value, found := s.find(kind, name)
			return value, found, nil
		},
		Create: func(_ context.Context, kind, name string, value []byte) ([]byte, bool, error) {
			return s.create(id, kind, name, value)
		},
		List: func(_ context.Context, kind string, after uint64) ([]Object, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			var out []Object
			for _, o := range s.objects {
				if strings.HasPrefix(o.Name, kind+"/") && o.Revision > after && (s.stale == 0 || o.Revision <= s.stale) {
					out = append(out, o)
				}
			}
			return out, nil
		},
	}, meter.NewSet(), logs.Discard())
}

type guarded struct {
	net.Conn
	held func() (uint64, bool)
}

func (g guarded) Write(b []byte) (int, error) {
	if _, ok := g.held(); !ok {
		return 0, errors.New("the lease is lost")
	}
	return g.Conn.Write(b)
}

func (s *scene) give(holder string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder, s.fence = holder, s.fence+1
}

func (s *scene) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// check fails when a window has two bodies or an entry is in two reports, and
// returns the holders seen for each window.
func (s *scene) check(t *testing.T, entries int) map[string][]string {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	holders, counted := map[string][]string{}, map[string]int{}
	for window, all := range s.received {
		bodies := map[string]bool{}
		for _, r := range all {
			part := strings.SplitN(r, " ", 3)
			bodies[part[2]] = true
			if !slices.Contains(holders[window], part[0]) {
				holders[window] = append(holders[window], part[0])
			}
		}
		if len(bodies) != 1 {
			t.Fatalf("window %s has %d different bodies: %v", window, len(bodies), bodies)
		}
		var report Report
		if err := json.Unmarshal([]byte(strings.SplitN(all[0], " ", 3)[2]), &report); err != nil {
			t.Fatal(err)
		}
		for _, e := range report.Entries {
			counted[e.Class]++
		}
	}
	if len(counted) != entries {
		t.Fatalf("%d entries are reported, want %d", len(counted), entries)
	}
	for class, n := range counted {
		if n != 1 {
			t.Fatalf("%s is in %d reports", class, n)
		}
	}
	return holders
}

const firstWindow = 1_700_000_000 / 60

// Guards against two figures for one window when two reporters both believe
// they are in charge and the segments change between their listings.
func TestTwoReportersInCharge(t *testing.T) {
	s := newScene(t)
	a, b := s.reporter("a"), s.reporter("b")
	s.set(func() { s.holder = "both" })
	n := 0
	more := func() { n++; s.segment(uint64(n), firstWindow+int64(n/2)) }
	s.created = func(by string) error {
		// The other one finds the new report before its creator sends it.
		if more(); by == "a" && n%3 > 0 {
			_ = b.Step(t.Context())
		}
		return nil
	}
	for range 20 {
		more()
		_ = a.Step(t.Context())
		more()
		_ = b.Step(t.Context())
		s.driver.Advance(45 * time.Second)
	}
	s.driver.Advance(2 * time.Minute)
	s.created = nil
	_, _ = a.Step(t.Context()), b.Step(t.Context())
	s.check(t, n)
}

// Guards against a reporter that freezes between creation and sending, loses
// the lease and sends when it wakes up: the intake must see each window from
// one holder only.
func TestReporterFrozenBeforeSending(t *testing.T) {
	for _, point := range []string{"after creation", "after the check of the lease"} {
		t.Run(point, func(t *testing.T) {
			s := newScene(t)
			a, b := s.reporter("a"), s.reporter("b")
			frozen, wake := make(chan struct{}), make(chan struct{})
			_ = a.Step(t.Context())
			freeze := func(by string) {
				if by == "a" {
					close(frozen)
					<-wake
				}
			}
			s.set(func() {
				if point == "after creation" {
					s.created = func(by string) error { freeze(by); return nil }
				} else {
					s.dialed = freeze
				}
			})
			s.segment(1, firstWindow)
			s.driver.Advance(70 * time.Second)
			done := make(chan error)
			go func() { done <- a.Step(t.Context()) }()
			<-frozen
			s.segment(2, firstWindow)
			s.give("b")
			if err := b.Step(t.Context()); err != nil {
				t.Fatal(err)
			}
			close(wake)
			if err := <-done; err == nil {
				t.Error("a reporter without lease has sent a report")
			}
			s.driver.Advance(time.Minute)
			_, _ = a.Step(t.Context()), b.Step(t.Context())
			for window, holders := range s.check(t, 2) {
				if len(holders) != 1 {
					t.Errorf("window %s came from %v", window, holders)
				}
			}
		})
	}
}

// Guards against a reporter that dies after sending or loses answers: the
// window is then sent again with the same bytes, and windows that are known to
// be sent are not sent again by the successor.
func TestReporterDiesOrLosesAnswers(t *testing.T) {
	s := newScene(t)
	a := s.reporter("a")
	_ = a.Step(t.Context())
	s.segment(1, firstWindow)
	s.driver.Advance(70 * time.Second)
	s.set(func() { s.loseSend = true })
	if err := a.Step(t.Context()); err == nil {
		t.Fatal("a lost answer of the intake went unnoticed")
	}
	s.segment(2, firstWindow)
	s.give("b")
	b := s.reporter("b")
	s.set(func() { s.loseSend = false })
	if err := b.Step(t.Context()); err != nil {
		t.Fatal(err)
	}
	s.driver.Advance(time.Minute)
	s.set(func() { s.created = func(string) error { return errLost } })
	if err := b.Step(t.Context()); err == nil {
		t.Fatal("a lost answer of the store went unnoticed")
	}
	s.segment(3, firstWindow+1)
	s.driver.Advance(time.Minute)
	s.set(func() { s.created = nil })
	if err := b.Step(t.Context()); err != nil {
		t.Fatal(err)
	}
	s.give("c")
	if err := s.reporter("c").Step(t.Context()); err != nil {
		t.Fatal(err)
	}
	for window, holders := range s.check(t, 3) {
		if slices.Contains(holders, "c") {
			t.Errorf("window %s was sent again by the successor", window)
		}
	}
	if n := len(s.received[fmt.Sprint(int64(firstWindow))]); n != 2 {
		t.Errorf("the window with the lost answer was sent %d times, want 2", n)
	}
}

// Guards against reports built from an older state of the store: no segment
// may be left out for good or counted twice.
func TestOutdatedReads(t *testing.T) {
	s := newScene(t)
	a := s.reporter("a")
	for i := range 6 {
		_ = a.Step(t.Context())
		s.segment(uint64(i+1), firstWindow+int64(i))
		s.set(func() { s.stale = uint64(max(1, len(s.objects)-3*(i%3))) })
		if i%2 == 1 {
			a = s.reporter("a")
		}
		s.driver.Advance(time.Minute)
	}
	s.set(func() { s.stale = 0 })
	s.driver.Advance(time.Minute)
	if err := s.reporter("a").Step(t.Context()); err != nil {
		t.Fatal(err)
	}
	s.check(t, 6)
}

// Guards against a report above the store's limit for a value: segments that
// do not fit must come with the next report.
func TestLargeReportIsSplit(t *testing.T) {
	var objects []Object
	for i := range 12 {
		segment := usage.Segment{Window: 1}
		for k := range 1000 {
			segment.Totals = append(segment.Totals, usage.Record{Account: fmt.Sprint("account-", i, "-", k), Class: "generate", Requests: 1})
		}
		value, _ := json.Marshal(segment)
		objects = append(objects, Object{Name: fmt.Sprint(i), Revision: uint64(i + 1), Value: value})
	}
	count, after := 0, uint64(0)
	for window := int64(1); window <= 12 && after < 12; window++ {
		report, invalid := build(window, after, objects)
		value, _ := json.Marshal(report)
		if len(value) > 1_000_000 || report.Through == after || len(invalid) > 0 {
			t.Fatalf("report %d has %d bytes and ends at %d", window, len(value), report.Through)
		}
		count, after = count+len(report.Entries), report.Through
	}
	if count != 12_000 {
		t.Fatalf("%d entries, want 12000", count)
	}
}
