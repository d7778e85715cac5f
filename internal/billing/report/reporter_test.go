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
	"strconv"
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

var errNoAnswer = errors.New("no answer")

// fixture has a store in memory, an intake over HTTP, a lease and a driven
// clock.
type fixture struct {
	timers  *clock.Service
	driver  *clock.Driver
	intake  *httptest.Server
	mu      sync.Mutex
	objects []Object
	holder  string // ID of the reporter that holds the lease, or "both"
	fence   uint64
	// onCreate runs after a report object was created and before its creator
	// receives the answer. by is the creator's ID.
	onCreate func(by string) error
	// onDial runs before a connection to the intake is used.
	onDial func(by string)
	// dropIntakeAnswer drops the intake's answer after it has received the report.
	dropIntakeAnswer bool
	// readLimit makes reads stale: if it is not 0, they see no object with a
	// greater revision.
	readLimit uint64
	received  map[string][]string // by window: "holder fence body"
}

func newFixture(t testing.TB) *fixture {
	f := &fixture{received: map[string][]string{}, fence: 1, holder: "a"}
	f.timers, f.driver = clock.NewDriven(time.Unix(1_700_000_000, 0))
	f.intake = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		f.mu.Lock()
		defer f.mu.Unlock()
		window := strings.TrimPrefix(r.URL.Path, "/v1/usage/")
		f.received[window] = append(f.received[window],
			r.Header.Get(intake.HeaderHolder)+" "+r.Header.Get(intake.HeaderFence)+" "+string(body))
		if f.dropIntakeAnswer {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(f.intake.Close)
	return f
}

func (f *fixture) find(kind, name string) ([]byte, bool) {
	for _, o := range f.objects {
		if o.Name == kind+"/"+name && (f.readLimit == 0 || o.Revision <= f.readLimit) {
			return o.Value, true
		}
	}
	return nil, false
}

func (f *fixture) create(by, kind, name string, value []byte) ([]byte, bool, error) {
	f.mu.Lock()
	limit := f.readLimit
	f.readLimit = 0 // writes are never stale
	stored, found := f.find(kind, name)
	f.readLimit = limit
	if !found {
		// Later reads return the JSON value with other spacing, as a real store
		// may.
		stored = []byte(strings.ReplaceAll(string(value), `,"`, `, "`))
		f.objects = append(f.objects, Object{Name: kind + "/" + name, Revision: uint64(len(f.objects) + 1), Value: stored})
	}
	hook := f.onCreate
	f.mu.Unlock()
	if !found {
		stored = value
	}
	if !found && hook != nil && kind == Kind && name != firstWindowName && !strings.HasSuffix(name, sentSuffix) {
		if err := hook(by); err != nil {
			return nil, false, err
		}
	}
	return stored, !found, nil
}

// addSegment stores a segment with one record, whose class is unique so that the
// record can be found in the reports.
func (f *fixture) addSegment(first uint64, window int64) {
	value, _ := json.Marshal(usage.Segment{Window: window, First: first, Last: first, Totals: []usage.Record{{Account: "acme", Class: fmt.Sprint("c", first), Requests: 1}}})
	_, _, _ = f.create("", usage.Kind, fmt.Sprint(first), value)
}

// reporter returns a new reporter of the given instance. Its connections check
// the lease at each write, as those of the lease package do.
func (f *fixture) reporter(id string) *Reporter {
	settings := setting.Defaults()
	settings.ID = id
	held := func() (uint64, bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.fence, f.holder == id || f.holder == "both"
	}
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			f.mu.Lock()
			hook := f.onDial
			f.mu.Unlock()
			if hook != nil {
				hook(id)
			}
			return leaseConn{conn, held}, err
		},
	}}
	return New(settings, f.timers, Seams{
		Held: held,
		Send: intake.New(f.intake.Listener.Addr().String(), client).Send,
		Get: func(_ context.Context, kind, name string) ([]byte, bool, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			value, found := f.find(kind, name)
			return value, found, nil
		},
		Create: func(_ context.Context, kind, name string, value []byte) ([]byte, bool, error) {
			return f.create(id, kind, name, value)
		},
		List: func(_ context.Context, kind string, after uint64) ([]Object, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			var out []Object
			for _, o := range f.objects {
				if strings.HasPrefix(o.Name, kind+"/") && o.Revision > after && (f.readLimit == 0 || o.Revision <= f.readLimit) {
					out = append(out, o)
				}
			}
			return out, nil
		},
	}, meter.NewSet(), logs.Discard())
}

// leaseConn is a connection that refuses to write while the lease is not held.
type leaseConn struct {
	net.Conn
	held func() (uint64, bool)
}

func (c leaseConn) Write(b []byte) (int, error) {
	if _, ok := c.held(); !ok {
		return 0, errors.New("the lease is lost")
	}
	return c.Conn.Write(b)
}

// transferLease gives the lease to another reporter under a new fencing token.
func (f *fixture) transferLease(holder string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holder, f.fence = holder, f.fence+1
}

// update calls change under the lock.
func (f *fixture) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// check fails if the intake has received two bodies for a window, if an entry is
// in two reports or if their number is wrong. It returns the senders of each
// window.
func (f *fixture) check(t *testing.T, entries int) map[string][]string {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	holders, counted := map[string][]string{}, map[string]int{}
	for window, all := range f.received {
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
		t.Fatalf("%d entries reported, want %d", len(counted), entries)
	}
	for class, n := range counted {
		if n != 1 {
			t.Fatalf("entry %s is in %d reports, want 1", class, n)
		}
	}
	return holders
}

const firstWindow = 1_700_000_000 / 60

// Guards against different figures for one window when two reporters both
// believe that they hold the lease and new segments appear between their
// listings.
func TestTwoReportersWithTheLease(t *testing.T) {
	f := newFixture(t)
	a, b := f.reporter("a"), f.reporter("b")
	f.update(func() { f.holder = "both" })
	n := 0
	addNext := func() { n++; f.addSegment(uint64(n), firstWindow+int64(n/2)) }
	f.onCreate = func(by string) error {
		// The other reporter finds the new report before its creator sends it.
		if addNext(); by == "a" && n%3 > 0 {
			_ = b.Step(t.Context())
		}
		return nil
	}
	for range 20 {
		addNext()
		_ = a.Step(t.Context())
		addNext()
		_ = b.Step(t.Context())
		f.driver.Advance(45 * time.Second)
	}
	f.driver.Advance(2 * time.Minute)
	f.onCreate = nil
	_, _ = a.Step(t.Context()), b.Step(t.Context())
	f.check(t, n)
}

// Guards against a reporter that freezes between creating and sending a report,
// loses the lease meanwhile and sends the report when it resumes. The intake
// must receive each window from one lease holder only.
func TestReporterFrozenBeforeSending(t *testing.T) {
	for _, point := range []string{"after creation", "after the check of the lease"} {
		t.Run(point, func(t *testing.T) {
			f := newFixture(t)
			a, b := f.reporter("a"), f.reporter("b")
			frozen, wake := make(chan struct{}), make(chan struct{})
			_ = a.Step(t.Context())
			freeze := func(by string) {
				if by == "a" {
					close(frozen)
					<-wake
				}
			}
			f.update(func() {
				if point == "after creation" {
					f.onCreate = func(by string) error { freeze(by); return nil }
				} else {
					f.onDial = freeze
				}
			})
			f.addSegment(1, firstWindow)
			f.driver.Advance(70 * time.Second)
			done := make(chan error)
			go func() { done <- a.Step(t.Context()) }()
			<-frozen
			f.addSegment(2, firstWindow)
			f.transferLease("b")
			if err := b.Step(t.Context()); err != nil {
				t.Fatal(err)
			}
			close(wake)
			if err := <-done; err == nil {
				t.Error("Step returned no error although the lease was lost before sending")
			}
			f.driver.Advance(time.Minute)
			_, _ = a.Step(t.Context()), b.Step(t.Context())
			for window, holders := range f.check(t, 2) {
				if len(holders) != 1 {
					t.Errorf("window %s was sent by %v, want one holder", window, holders)
				}
			}
		})
	}
}

// Guards against different bytes for one window after a reporter dies before it
// records the confirmation, or after an answer of the intake or the store is
// lost. Also guards against a successor that sends windows again although the
// store has their sent marker.
func TestReporterDiesOrLosesAnswers(t *testing.T) {
	f := newFixture(t)
	a := f.reporter("a")
	_ = a.Step(t.Context())
	f.addSegment(1, firstWindow)
	f.driver.Advance(70 * time.Second)
	f.update(func() { f.dropIntakeAnswer = true })
	if err := a.Step(t.Context()); err == nil {
		t.Fatal("Step returned no error although the answer of the intake was lost")
	}
	f.addSegment(2, firstWindow)
	f.transferLease("b")
	b := f.reporter("b")
	f.update(func() { f.dropIntakeAnswer = false })
	if err := b.Step(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.driver.Advance(time.Minute)
	f.update(func() { f.onCreate = func(string) error { return errNoAnswer } })
	if err := b.Step(t.Context()); err == nil {
		t.Fatal("Step returned no error although the answer of the store was lost")
	}
	f.addSegment(3, firstWindow+1)
	f.driver.Advance(time.Minute)
	f.update(func() { f.onCreate = nil })
	if err := b.Step(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.transferLease("c")
	if err := f.reporter("c").Step(t.Context()); err != nil {
		t.Fatal(err)
	}
	for window, holders := range f.check(t, 3) {
		if slices.Contains(holders, "c") {
			t.Errorf("window %s was sent again by the successor", window)
		}
	}
	if n := len(f.received[fmt.Sprint(int64(firstWindow))]); n != 2 {
		t.Errorf("the window with the lost answer was sent %d times, want 2", n)
	}
}

// Guards against segments that are never reported or are counted twice when
// reports are built from stale reads of the store.
func TestOutdatedReads(t *testing.T) {
	f := newFixture(t)
	a := f.reporter("a")
	for i := range 6 {
		_ = a.Step(t.Context())
		f.addSegment(uint64(i+1), firstWindow+int64(i))
		f.update(func() { f.readLimit = uint64(max(1, len(f.objects)-3*(i%3))) })
		if i%2 == 1 {
			a = f.reporter("a")
		}
		f.driver.Advance(time.Minute)
	}
	f.update(func() { f.readLimit = 0 })
	f.driver.Advance(time.Minute)
	if err := f.reporter("a").Step(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.check(t, 6)
}

// Guards against a report above the store's size limit for a value. Segments
// that do not fit must be in the next report.
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
			t.Fatalf("report %d has %d bytes, ends at revision %d and has %d invalid segments", window, len(value), report.Through, len(invalid))
		}
		count, after = count+len(report.Entries), report.Through
	}
	if count != 12_000 {
		t.Fatalf("%d entries, want 12000", count)
	}
}

// Guards against reports of windows that have not ended, and against windows without a
// report for as long, since the time of day was set ahead for a while.
func TestWrongTimeOfDayReportsNoOpenWindow(t *testing.T) {
	const step, windows = 15 * time.Minute, 3
	f := newFixture(t)
	r := f.reporter("a")
	f.driver.Advance(time.Minute) // for which the time of day was right
	for n := range windows {
		f.addSegment(uint64(n+1), firstWindow+int64(n))
		f.driver.SetBy(step)
		_ = r.Step(t.Context())
		f.driver.Advance(20 * time.Second)
		_ = r.Step(t.Context())
		f.driver.SetBy(-step)
		f.driver.Advance(40 * time.Second)
		_ = r.Step(t.Context())
	}
	f.driver.Advance(time.Minute)
	if err := r.Step(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.check(t, windows)
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.timers.Now().Unix()/60 - 1
	for window := range f.received {
		if number, err := strconv.ParseInt(window, 10, 64); err != nil || number > last {
			t.Errorf("window %s was reported, and the last one that has ended is %d", window, last)
		}
	}
	if len(f.received) < windows {
		t.Errorf("%d windows were reported, want %d at least", len(f.received), windows)
	}
}
