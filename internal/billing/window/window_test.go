package window

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/leader"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
)

const length = 5 * time.Second

// start is the beginning of window 200.
var start = time.Unix(1000, 0)

// fixture has a store, a driven clock and a recipient of reports. The recipient
// rejects reports with sendErr if that is set.
type fixture struct {
	ledger  *ledger.Ledger
	timers  *clock.Service
	driver  *clock.Driver
	sent    []string
	sendErr error
}

func newFixture() *fixture {
	f := &fixture{ledger: ledger.New()}
	f.timers, f.driver = clock.NewDriven(start)
	return f
}

func (f *fixture) counter(name string) *Counter {
	return NewCounter(f.ledger.Store(), name, length, f.timers, logs.Discard())
}

func (f *fixture) reporter() *Reporter {
	return NewReporter(f.ledger.Store(), Options{
		Length: length, Due: 2 * length,
		Encode: func(number int64, counts map[string]int64) ([]byte, error) {
			return json.Marshal(map[string]any{"window": number, "counts": counts})
		},
		Send: func(_ context.Context, _ uint64, body []byte) error {
			if f.sendErr != nil {
				return f.sendErr
			}
			f.sent = append(f.sent, string(body))
			return nil
		},
	}, f.timers, logs.Discard())
}

// withTurn calls f with a leader's turn that is held until f returns.
func withTurn(t *testing.T, f func(turn *leader.Tenure)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := leader.New(ledger.New().Store(), leader.Options{Self: "w", Term: time.Hour}, clock.NewSystem(), logs.Discard())
	l.Run(ctx, func(_ context.Context, turn *leader.Tenure) { f(turn); cancel() })
}

// Guards against requests that are counted in a window other than the one in
// which they began, and against a part that counts twice because its write was
// repeated after a lost answer.
func TestPartsAddUp(t *testing.T) {
	f := newFixture()
	ctx := context.Background()
	first, second := f.counter("a"), f.counter("b")
	first.Add("acme")
	first.Add("acme")
	second.Add("acme")
	second.Add("blue")
	f.driver.Advance(length)
	first.Add("acme")
	f.ledger.SetFault(ledger.LoseResponse)
	first.write(ctx, Number(f.timers.Now(), length))
	first.write(ctx, Number(f.timers.Now(), length))
	second.write(ctx, Number(f.timers.Now(), length))
	withTurn(t, func(turn *leader.Tenure) {
		if err := f.reporter().report(ctx, turn, 200); err != nil {
			t.Fatal(err)
		}
	})
	if want := `{"counts":{"acme":3,"blue":1},"window":200}`; len(f.sent) != 1 || f.sent[0] != want {
		t.Errorf("sent %q, want %s", f.sent, want)
	}
}

// Guards against two different reports for one window. A part that is written
// after the report was created must not change the bytes that this or a later
// leader sends.
func TestReportsAreRepeatedExactly(t *testing.T) {
	f := newFixture()
	ctx := context.Background()
	early, late := f.counter("a"), f.counter("b")
	early.Add("acme")
	late.Add("acme")
	early.write(ctx, 201)
	f.sendErr = errors.New("no answer")
	withTurn(t, func(turn *leader.Tenure) {
		if err := f.reporter().report(ctx, turn, 200); err == nil {
			t.Fatal("report returned no error although sending failed")
		}
	})
	late.write(ctx, 201)
	f.sendErr = nil
	for range 2 {
		withTurn(t, func(turn *leader.Tenure) {
			if err := f.reporter().report(ctx, turn, 200); err != nil {
				t.Fatal(err)
			}
		})
	}
	if len(f.sent) != 2 || f.sent[0] != f.sent[1] || f.sent[0] != `{"counts":{"acme":1},"window":200}` {
		t.Errorf("sent %q, want the report without the late part twice", f.sent)
	}
}

// Guards against a former leader that still sends reports.
func TestNoReportWithoutTheRole(t *testing.T) {
	f := newFixture()
	var former *leader.Tenure
	withTurn(t, func(turn *leader.Tenure) { former = turn })
	if err := f.reporter().report(context.Background(), former, 200); err == nil || len(f.sent) != 0 {
		t.Errorf("report without the role returned error %v and sent %q, want an error and nothing sent", err, f.sent)
	}
}

// Guards against counts and reports that are never removed or are removed while
// a new leader may still need them, and against a sweep that stops at a name of
// another writer or removes it.
func TestOldRecordsAreRemoved(t *testing.T) {
	f := newFixture()
	ctx, store := context.Background(), f.ledger.Store()
	const current = 1000
	for _, name := range []string{"!foreign", "100.a.x", "879.a.x", "880.a.x", "999.a.x"} {
		if _, err := store.Create(ctx, records.Record{Kind: kindCounts, Name: name}); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range []string{"100", "880"} {
		if _, err := store.Create(ctx, records.Record{Kind: kindReports, Name: name}); err != nil {
			t.Fatal(err)
		}
	}
	r := f.reporter()
	r.sweep(ctx, current)
	f.driver.Advance(confirmWindows * length)
	r.sweep(ctx, current)
	var left []string
	for _, kind := range []string{kindCounts, kindReports} {
		page, err := store.List(ctx, kind, "")
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range page.Records {
			left = append(left, kind+"/"+r.Name)
		}
	}
	if want := []string{"counts/!foreign", "counts/880.a.x", "counts/999.a.x", "reports/880"}; !slices.Equal(left, want) {
		t.Errorf("records after the sweep: %v, want %v", left, want)
	}
}

// Guards against a report that reaches its recipient after the role has passed on: a
// connection that is opened while the network is cut may come about a second after
// the tenure has lapsed, and the call must have been given up by then.
func TestReportEndsWithTheTenure(t *testing.T) {
	f := newFixture()
	store := ledger.New().Store()
	store.Put = func(context.Context, records.Record) (records.Record, error) {
		return records.Record{}, records.ErrRefused
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := leader.New(store, leader.Options{Self: "w", Term: 300 * time.Millisecond}, clock.NewSystem(), logs.Discard())
	l.Run(ctx, func(_ context.Context, turn *leader.Tenure) {
		defer cancel()
		r := f.reporter()
		r.options.Send = func(ctx context.Context, _ uint64, _ []byte) error {
			select {
			case <-ctx.Done():
				if turn.Held() {
					t.Error("the call ended although the role is held")
				}
				return context.Cause(ctx)
			case <-time.After(20 * time.Second):
				t.Error("the call goes on after the tenure has lapsed")
				return nil
			}
		}
		if err := r.report(context.Background(), turn, 200); !errors.Is(err, leader.ErrNotHeld) {
			t.Errorf("report returned %v, want %v", err, leader.ErrNotHeld)
		}
	})
}

// Guards against a request that is counted in no report: a process that was paused
// adds it to a window whose part has been written already, or is being written anew
// after a lost answer. It counts in the next window then.
func TestLateRequestIsCounted(t *testing.T) {
	f := newFixture()
	ctx := context.Background()
	c := f.counter("a")
	c.Add("acme")
	f.ledger.SetFault(ledger.LoseResponse)
	c.write(ctx, 201)
	c.Add("acme")
	c.write(ctx, 201)
	c.Add("acme")
	f.driver.Advance(length)
	c.Add("acme")
	c.write(ctx, 202)
	withTurn(t, func(turn *leader.Tenure) {
		for _, number := range []int64{200, 201} {
			if err := f.reporter().report(ctx, turn, number); err != nil {
				t.Fatal(err)
			}
		}
	})
	if want := []string{`{"counts":{"acme":1},"window":200}`, `{"counts":{"acme":3},"window":201}`}; !slices.Equal(f.sent, want) {
		t.Errorf("sent %q, want %q", f.sent, want)
	}
}
