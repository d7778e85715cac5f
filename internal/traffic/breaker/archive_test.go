package breaker

import (
	"context"
	"errors"
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
	"github.com/wigeonpin/wigeonpin/internal/traffic/archive"
)

// archiveFleet is a set of breakers without broadcast, each with an archive in one store.
type archiveFleet struct {
	timers  *clock.Service
	driver  *clock.Driver
	ledger  *ledger.Ledger
	members map[string]*archiveMember
}

// archiveMember is a process with a breaker. Its archive runs in steps: each call of
// settle reads the record if that has not succeeded yet, and saves what is unsaved.
type archiveMember struct {
	breaker *Breaker
	archive *archive.Archive
	loaded  bool
}

func newArchiveFleet() *archiveFleet {
	f := &archiveFleet{ledger: ledger.New(), members: map[string]*archiveMember{}}
	f.timers, f.driver = clock.NewDriven(time.Unix(1000, 0))
	return f
}

func (f *archiveFleet) member(id string) *archiveMember {
	if m, known := f.members[id]; known {
		return m
	}
	b := New(Seams{}, f.timers, logs.Discard())
	f.members[id] = &archiveMember{breaker: b, archive: b.Archive(f.ledger.Store())}
	return f.members[id]
}

func (m *archiveMember) settle() string {
	ctx := context.Background()
	if !m.loaded {
		if err := m.archive.Load(ctx); err != nil {
			return err.Error()
		}
		m.loaded = true
	}
	if err := m.archive.Save(ctx); err != nil {
		return err.Error()
	}
	return "ok"
}

// Guards against contents that crash endpoints again after all processes have ended, and
// against records that hold back a sound content, fail while the store is away, lose
// what another process has written, or cost calls while nothing is held back.
func TestArchive(t *testing.T) {
	faults := map[string]ledger.Fault{
		"none": ledger.None, "refuse": ledger.Refuse, "lose": ledger.LoseResponse, "drop": ledger.DropWrite,
	}
	datadriven.Walk(t, "testdata/archive", func(t *testing.T, path string) {
		f := newArchiveFleet()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			at, content, endpoint, fault, ms := "a", "c", "", "", 0
			for key, value := range map[string]*string{"at": &at, "content": &content, "endpoint": &endpoint, "store": &fault} {
				if d.HasArg(key) {
					d.ScanArgs(t, key, value)
				}
			}
			m := f.member(at)
			switch d.Cmd {
			case "admit":
				if wait := m.breaker.Admit(content, NoLimit); wait > 0 {
					return "held for " + wait.String()
				}
				return "runs"
			case "crashed":
				m.breaker.RecordCrash(content, Incarnation{Endpoint: endpoint, Born: 1})
			case "unreachable":
				m.breaker.RecordUnreachable(content, Incarnation{Endpoint: endpoint, Born: 1})
			case "answered":
				m.breaker.RecordAnswer(content)
			case "settle":
				return m.settle()
			case "kill":
				clear(f.members)
			case "fault":
				f.ledger.SetFault(faults[fault])
			case "malformed":
				f.overwrite(t, "[")
			case "null":
				f.overwrite(t, "null")
			case "calls":
				return fmt.Sprintf("%d reads, %d writes", f.ledger.Calls("get"), f.ledger.Calls("write"))
			case "wait":
				d.ScanArgs(t, "ms", &ms)
				f.driver.Advance(time.Duration(ms) * time.Millisecond)
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			return "ok"
		})
	})
}

func (f *archiveFleet) overwrite(t *testing.T, body string) {
	t.Helper()
	if _, err := f.ledger.Store().Put(context.Background(), records.Record{Kind: archive.Kind, Name: ArchiveName, Body: []byte(body)}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a process that overwrites what another one has written at the same time.
func TestArchivesWriteAtOnce(t *testing.T) {
	const processes = 8
	f := newArchiveFleet()
	store := f.ledger.Store()
	var wg sync.WaitGroup
	for n := range processes {
		b := New(Seams{}, f.timers, logs.Discard())
		a := b.Archive(store)
		for _, endpoint := range []string{"e1", "e2"} {
			b.RecordCrash(fmt.Sprint("c", n), Incarnation{Endpoint: endpoint})
			b.RecordCrash("shared", Incarnation{Endpoint: fmt.Sprint(endpoint, n), Born: int64(n)})
		}
		wg.Go(func() {
			for errors.Is(a.Save(context.Background()), records.ErrConflict) {
			}
		})
	}
	wg.Wait()
	late := f.member("late")
	if got := late.settle(); got != "ok" {
		t.Fatal(got)
	}
	for n := range processes {
		if late.breaker.Admit(fmt.Sprint("c", n), NoLimit) == 0 {
			t.Errorf("the content of process %d is not held back", n)
		}
	}
	if late.breaker.Admit("shared", NoLimit) == 0 {
		t.Error("the content that all processes wrote is not held back")
	}
}

// Guards against a record that grows with the number of contents and crashes, until the
// store takes it no more.
func TestArchiveIsBounded(t *testing.T) {
	f := newArchiveFleet()
	m := f.member("a")
	for n := range 3 * archive.MaxContents {
		for e := range 3 * archive.MaxCrashes {
			m.breaker.RecordCrash(fmt.Sprint("c", n), Incarnation{Endpoint: fmt.Sprint("e", e), Born: int64(e)})
		}
		f.driver.Advance(time.Millisecond)
		if got := m.settle(); got != "ok" {
			t.Fatal(got)
		}
	}
	r, err := f.ledger.Store().Get(context.Background(), archive.Kind, ArchiveName)
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(string(r.Body), `"held"`); got != archive.MaxContents {
		t.Errorf("%d contents are stored, want %d", got, archive.MaxContents)
	}
	if got := strings.Count(string(r.Body), `"endpoint"`); got != archive.MaxContents*archive.MaxCrashes {
		t.Errorf("%d crashes are stored, want %d", got, archive.MaxContents*archive.MaxCrashes)
	}
	if newest := fmt.Sprint("c", 3*archive.MaxContents-1); !strings.Contains(string(r.Body), newest) {
		t.Errorf("the newest content %s is not stored", newest)
	}
}

// Guards against an archive that does not retry while the store is away, at the start
// and later.
func TestArchiveRetries(t *testing.T) {
	l := ledger.New()
	timers := clock.NewSystem()
	first := New(Seams{}, timers, logs.Discard())
	second := New(Seams{}, timers, logs.Discard())
	l.SetFault(ledger.Refuse)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	go first.Archive(l.Store()).Run(ctx)
	first.RecordCrash("c", Incarnation{Endpoint: "e1"})
	first.RecordCrash("c", Incarnation{Endpoint: "e2"})
	go second.Archive(l.Store()).Run(ctx)
	for l.Calls("get") < 4 && ctx.Err() == nil {
		_ = timers.Sleep(ctx, time.Millisecond)
	}
	if !second.Empty() {
		t.Error("the second process knows a content although the store refuses all calls")
	}
	l.SetFault(ledger.None)
	for l.Calls("write") == 0 && ctx.Err() == nil {
		_ = timers.Sleep(ctx, time.Millisecond)
	}
	third := New(Seams{}, timers, logs.Discard())
	go third.Archive(l.Store()).Run(ctx)
	for third.Empty() && ctx.Err() == nil {
		_ = timers.Sleep(ctx, time.Millisecond)
	}
	if third.Admit("c", NoLimit) == 0 {
		t.Error("a process that started after the outage does not hold the content back")
	}
}
