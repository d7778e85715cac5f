package stop

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
)

// Guards against requests that are taken in a planned stop although they cannot end
// within it, and against refusals of requests that can. The scripts drive the clock.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		timers, driver := clock.NewDriven(time.Unix(1000, 0))
		p := New(timers, meter.NewSet())
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			duration := func(name string) time.Duration {
				var text string
				d.ScanArgs(t, name, &text)
				value, err := time.ParseDuration(text)
				if err != nil {
					t.Fatalf("%s: %v", d.Pos, err)
				}
				return value
			}
			work := func() Work {
				w := Work{Class: "other", Repeatable: d.HasArg("repeatable"), Open: d.HasArg("open"), Deadline: timers.Now().Add(time.Hour)}
				d.MaybeScanArgs(t, "class", &w.Class)
				if d.HasArg("limit") {
					w.Deadline = timers.Now().Add(duration("limit"))
				}
				return w
			}
			switch d.Cmd {
			case "ended":
				var count int
				d.ScanArgs(t, "count", &count)
				for range count {
					run := p.Start(work())
					driver.Advance(duration("took"))
					run.Finish()
				}
			case "start":
				var count int
				d.ScanArgs(t, "count", &count)
				for range count {
					p.Start(work())
				}
			case "advance":
				driver.Advance(duration("by"))
			case "begin":
				p.Begin(duration("limit"))
			case "ask":
				return fmt.Sprintln(p.CanEnd(work()))
			default:
				t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
			}
			return ""
		})
	})
}

// Guards against work that still waits at the end of a stop, and against a wait that
// is ended after its request went on.
func TestWaitsEndInTime(t *testing.T) {
	timers, driver := clock.NewDriven(time.Unix(1000, 0))
	p := New(timers, meter.NewSet())
	for range 200 {
		run := p.Start(Work{Class: "long"})
		driver.Advance(4 * time.Second)
		run.Finish()
	}
	var long, short, gone atomic.Bool
	far := timers.Now().Add(time.Hour)
	defer p.Await(Work{Class: "long", Deadline: far}, func() { long.Store(true) })()
	defer p.Await(Work{Class: "short", Deadline: far, Repeatable: true}, func() { short.Store(true) })()
	p.Await(Work{Class: "long", Deadline: far}, func() { gone.Store(true) })()
	ctx, cancel := p.Context(context.Background())
	defer cancel()
	p.Begin(7 * time.Second)
	// The latest start of long work is 4.4 s before the end, that of short work 1 s.
	advance := func(to time.Duration) {
		for end := timers.Now().Add(to); timers.Now().Before(end); {
			driver.Advance(checkInterval)
			time.Sleep(time.Millisecond) // lets the goroutine of the plan take the tick
		}
	}
	advance(2500 * time.Millisecond)
	if long.Load() || short.Load() {
		t.Error("a wait was ended early")
	}
	advance(300 * time.Millisecond)
	if !long.Load() || short.Load() {
		t.Errorf("2.8 s after the signal: long work given up: %v, short work given up: %v", long.Load(), short.Load())
	}
	advance(3300 * time.Millisecond)
	if !short.Load() || ctx.Err() != nil {
		t.Errorf("6.1 s after the signal: short work given up: %v, context %v", short.Load(), ctx.Err())
	}
	advance(time.Second)
	<-ctx.Done()
	if context.Cause(ctx) != ErrEnded {
		t.Errorf("the context ended with %v", context.Cause(ctx))
	}
	if gone.Load() {
		t.Error("a wait that had ended was given up")
	}
}

// Guards against a refusal without its promise or without a short delay.
func TestRefusal(t *testing.T) {
	refusal := code.Of(Refusal())
	if refusal.Code.Status() != 503 || refusal.Run != code.NotRun || refusal.RetryAfter <= 0 || refusal.RetryAfter > time.Second {
		t.Errorf("%+v", refusal)
	}
}
