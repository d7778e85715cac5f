package mirror

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
)

// follower is a mirror that runs against a ledger, with the state that results
// from the records it has applied.
type follower struct {
	mirror *Mirror
	mu     sync.Mutex
	state  map[string]string
}

func (f *follower) apply(r records.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Deleted {
		delete(f.state, r.Name)
		return
	}
	f.state[r.Name] = string(r.Body)
}

func (f *follower) sortedState() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var lines []string
	for _, name := range []string{"a", "b", "c"} {
		if body, known := f.state[name]; known {
			lines = append(lines, name+"="+body)
		}
	}
	return strings.Join(lines, " ")
}

// TestScripts guards against records that are missed, kept after their removal
// or set back to an earlier version, when reads fail or the history is dropped.
// The command "expect" waits until the mirror has the given state.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		l := ledger.New()
		f := &follower{state: map[string]string{}}
		f.mirror = New(l.Store(), "things", Options{Wait: 50 * time.Millisecond, Apply: f.apply}, clock.NewSystem(), logs.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		finished := make(chan struct{})
		go func() { defer close(finished); f.mirror.Run(ctx) }()
		defer func() { cancel(); <-finished }()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return runCommand(t, l, f, d)
		})
	})
}

func runCommand(t *testing.T, l *ledger.Ledger, f *follower, d *datadriven.TestData) string {
	store := l.Store()
	switch d.Cmd {
	case "put":
		for _, arg := range d.CmdArgs {
			r := records.Record{Kind: "things", Name: arg.Key, Body: []byte(arg.Vals[0])}
			if _, err := store.Create(context.Background(), r); err != nil {
				if _, err = store.Put(context.Background(), r); err != nil {
					return err.Error()
				}
			}
		}
	case "delete":
		if err := store.Delete(context.Background(), "things", d.CmdArgs[0].Key); err != nil {
			return err.Error()
		}
	case "compact":
		l.Compact()
	case "fail-reads":
		l.SetFault(ledger.RefuseListAndWatch)
	case "recover":
		l.SetFault(ledger.None)
	case "expect":
		want := strings.TrimSpace(d.Input)
		for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			if f.sortedState() == want {
				return "yes"
			}
		}
		return "no: " + f.sortedState()
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return "ok"
}

// Guards against a record that is set back by an older version which arrives
// late.
func TestOlderRevisionIsIgnored(t *testing.T) {
	f := &follower{state: map[string]string{}}
	m := New(records.Store{}, "things", Options{Apply: f.apply}, clock.NewSystem(), logs.Discard())
	for _, revision := range []uint64{5, 7, 6, 7, 5} {
		m.apply(records.Record{Kind: "things", Name: "a", Revision: revision, Body: fmt.Append(nil, revision)})
	}
	if got := f.sortedState(); got != "a=7" {
		t.Errorf("state %q, want a=7", got)
	}
}

// Guards against a watch that is too long for the next one to return a change
// within its bound. The next one is needed since a store that drops its history
// may leave a waiting watch without the change (CONFIG, scale-1 of both sites).
func TestWatchEndsWithinTheBound(t *testing.T) {
	const callTime = 500 * time.Millisecond // a call through another process
	for _, due := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second} {
		if WaitFor(due)+callTime >= due {
			t.Errorf("a watch of %v leaves too little of %v", WaitFor(due), due)
		}
	}
}
