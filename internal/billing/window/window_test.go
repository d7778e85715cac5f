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

type bench struct {
	ledger *ledger.Ledger
	timers *clock.Service
	driver *clock.Driver
	sent   []string
	fail   error
}

func newBench() *bench {
	b := &bench{ledger: ledger.New()}
	b.timers, b.driver = clock.NewDriven(start)
	return b
}

func (b *bench) counter(name string) *Counter {
	return NewCounter(b.ledger.Store(), name, length, b.timers, logs.Discard())
}

func (b *bench) reporter() *Reporter {
	return NewReporter(b.ledger.Store(), Options{
		Length: length, Due: 2 * length,
		Encode: func(number int64, counts map[string]int64) ([]byte, error) {
			return json.Marshal(map[string]any{"window": number, "counts": counts})
		},
		Send: func(_ context.Context, _ uint64, body []byte) error {
			if b.fail != nil {
				return b.fail
			}
			b.sent = append(b.sent, string(body))
			return nil
		},
	}, b.timers, logs.Discard())
}

// hold calls f while it holds the role.
func hold(t *testing.T, f func(turn *leader.Tenure)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := leader.New(ledger.New().Store(), leader.Options{Self: "w", Term: time.Hour}, clock.NewSystem(), logs.Discard())
	l.Run(ctx, func(_ context.Context, turn *leader.Tenure) { f(turn); cancel() })
}

// The parts of all processes add up, each request in the window in which it
// began, and a part that is written twice counts once.
func TestPartsAddUp(t *testing.T) {
	b := newBench()
	ctx := context.Background()
	first, second := b.counter("a"), b.counter("b")
	first.Add("acme")
	first.Add("acme")
	second.Add("acme")
	second.Add("blue")
	b.driver.Advance(length)
	first.Add("acme")
	b.ledger.Fail(ledger.LoseWrite)
	first.write(ctx, Number(b.timers.Now(), length))
	first.write(ctx, Number(b.timers.Now(), length))
	second.write(ctx, Number(b.timers.Now(), length))
	hold(t, func(turn *leader.Tenure) {
		if err := b.reporter().report(ctx, turn, 200); err != nil {
			t.Fatal(err)
		}
	})
	if want := `{"counts":{"acme":3,"blue":1},"window":200}`; len(b.sent) != 1 || b.sent[0] != want {
		t.Errorf("sent %q, want %s", b.sent, want)
	}
}

// A window has one report: what is sent again, by the same holder or the next,
// has the same bytes, though another part has turned up.
func TestReportsAreRepeatedExactly(t *testing.T) {
	b := newBench()
	ctx := context.Background()
	early, late := b.counter("a"), b.counter("b")
	early.Add("acme")
	late.Add("acme")
	early.write(ctx, 201)
	b.fail = errors.New("no answer")
	hold(t, func(turn *leader.Tenure) {
		if err := b.reporter().report(ctx, turn, 200); err == nil {
			t.Fatal("the report counts as sent")
		}
	})
	late.write(ctx, 201)
	b.fail = nil
	for range 2 {
		hold(t, func(turn *leader.Tenure) {
			if err := b.reporter().report(ctx, turn, 200); err != nil {
				t.Fatal(err)
			}
		})
	}
	if len(b.sent) != 2 || b.sent[0] != b.sent[1] || b.sent[0] != `{"counts":{"acme":1},"window":200}` {
		t.Errorf("sent %q", b.sent)
	}
}

// Nothing is sent once the role is no longer held.
func TestNoReportWithoutTheRole(t *testing.T) {
	b := newBench()
	var former *leader.Tenure
	hold(t, func(turn *leader.Tenure) { former = turn })
	if err := b.reporter().report(context.Background(), former, 200); err == nil || len(b.sent) != 0 {
		t.Errorf("error %v, sent %q", err, b.sent)
	}
}

// Guards against counts and reports that stay for ever, that go while a new
// holder may still need them, and against names of other writers in the way.
func TestOldRecordsGo(t *testing.T) {
	b := newBench()
	ctx, store := context.Background(), b.ledger.Store()
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
	b.reporter().sweep(ctx, current)
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
		t.Errorf("left are %v, want %v", left, want)
	}
}
