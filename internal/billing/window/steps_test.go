package window

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/control/leader"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

// step is by how much the time of day is wrong: more windows than are retained.
const step = (retainedWindows + sweepInterval) * length

// sentWindows returns the numbers of the windows in the order of their reports.
func (f *fixture) sentWindows(t *testing.T) []int64 {
	t.Helper()
	var numbers []int64
	for _, report := range f.sent {
		var sent struct{ Window int64 }
		if err := json.Unmarshal([]byte(report), &sent); err != nil {
			t.Fatal(err)
		}
		numbers = append(numbers, sent.Window)
	}
	return numbers
}

// Guards against reports of windows that have not ended, which a holder sends whose time
// of day is set ahead for a while, and against windows that it does not report after it
// was set back.
func TestWrongTimeOfDayReportsNoOpenWindow(t *testing.T) {
	f := newFixture()
	withTurn(t, func(turn *leader.Tenure) {
		ctx, cancel := context.WithCancel(context.Background())
		reporter, ended := f.reporter(), make(chan struct{})
		go func() { defer close(ended); reporter.Run(ctx, turn) }()
		advance := func(seconds int) {
			for range seconds {
				f.awaitWaiting()
				f.driver.Advance(time.Second)
			}
			f.awaitWaiting()
		}
		advance(30)
		f.driver.SetBy(step)
		advance(20)
		f.driver.SetBy(-step)
		advance(8)
		cancel()
		<-ended
	})
	want := []int64{195, 196, 197, 198, 199, 200, 201, 202, 203, 204, 205, 206, 207, 208, 209}
	if got := f.sentWindows(t); !slices.Equal(got, want) {
		t.Errorf("windows %v were reported, want %v", got, want)
	}
}

// awaitWaiting waits until a goroutine waits for the driven clock.
func (f *fixture) awaitWaiting() {
	for f.driver.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against requests that count in windows far ahead, and so in no report for a
// long time, since the time of day was wrong when they began.
func TestWrongTimeOfDayCountsInTheRightWindow(t *testing.T) {
	f := newFixture()
	ctx := context.Background()
	c := f.counter("a")
	f.driver.Advance(time.Minute)
	c.Add("acme")
	f.driver.SetBy(step)
	c.Add("acme")
	f.driver.SetBy(-step)
	f.driver.Advance(length)
	c.Add("acme")
	c.write(ctx, 214)
	withTurn(t, func(turn *leader.Tenure) {
		for _, number := range []int64{212, 213} {
			if err := f.reporter().report(ctx, turn, number); err != nil {
				t.Fatal(err)
			}
		}
	})
	if want := []string{`{"counts":{"acme":2},"window":212}`, `{"counts":{"acme":1},"window":213}`}; !slices.Equal(f.sent, want) {
		t.Errorf("sent %q, want %q", f.sent, want)
	}
}

// Guards against reports that are sent again with other counts (ONE): a holder whose
// time of day is wrong takes the records of the present windows for old and removes them.
func TestWrongTimeOfDaySweepsNoPresentWindow(t *testing.T) {
	f := newFixture()
	ctx, store := context.Background(), f.ledger.Store()
	for _, name := range []string{"200.a.x", "201.a.x"} {
		if _, err := store.Create(ctx, records.Record{Kind: kindCounts, Name: name}); err != nil {
			t.Fatal(err)
		}
	}
	r := f.reporter()
	wrong, right := 200+int64(step/length), int64(200)
	for _, current := range []int64{wrong, wrong, right, wrong} {
		r.sweep(ctx, current)
	}
	f.driver.Advance(sweepInterval * length / 4)
	r.sweep(ctx, wrong)
	page, err := store.List(ctx, kindCounts, "")
	if err != nil {
		t.Fatal(err)
	}
	if len(page.Records) != 2 {
		t.Errorf("%d records are left, want 2", len(page.Records))
	}
}
