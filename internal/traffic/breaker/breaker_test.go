package breaker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
)

// message is an event that an instance posted.
type message struct {
	key     string
	payload []byte
}

// fleet is a set of breakers. Events are delivered only when the script says so.
type fleet struct {
	timers  *clock.Service
	driver  *clock.Driver
	members map[string]*Breaker
	receive map[string]func(string, []byte)
	posted  []message
	ended   map[string]bool // endpoints that refuse connections from all instances
}

func newFleet() *fleet {
	f := &fleet{members: map[string]*Breaker{}, receive: map[string]func(string, []byte){}, ended: map[string]bool{}}
	f.timers, f.driver = clock.NewDriven(time.Unix(1000, 0))
	return f
}

func (f *fleet) member(id string) *Breaker {
	if b, known := f.members[id]; known {
		return b
	}
	f.members[id] = New(Seams{
		Post: func(_, key string, payload []byte, _ time.Duration) {
			f.posted = append(f.posted, message{key, payload})
		},
		Subscribe: func(_ string, receive func(string, []byte)) { f.receive[id] = receive },
	}, f.timers, logs.Discard())
	f.members[id].VerifyBy(func(i Incarnation) bool { return f.ended[i.Endpoint] })
	return f.members[id]
}

// deliver delivers all posted events to all instances, the newest first if
// reversed.
func (f *fleet) deliver(reversed bool) {
	for i := range f.posted {
		if reversed {
			i = len(f.posted) - 1 - i
		}
		for _, receive := range f.receive {
			receive(f.posted[i].key, f.posted[i].payload)
		}
	}
	for _, b := range f.members {
		b.verifying.Wait()
	}
}

// Guards against contents that crash one endpoint after the other, also when
// each request goes to another instance, and against harmless contents that stay
// held back.
func TestBreaker(t *testing.T) {
	datadriven.Walk(t, "testdata/events", func(t *testing.T, path string) {
		f := newFleet()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return f.run(t, d) })
	})
}

func (f *fleet) run(t *testing.T, d *datadriven.TestData) string {
	var at, endpoint string
	var ms int
	if d.HasArg("at") {
		d.ScanArgs(t, "at", &at)
	}
	switch d.Cmd {
	case "admit":
		if wait := f.member(at).Admit("c", NoLimit); wait > 0 {
			return "held for " + wait.String()
		}
		return "runs"
	case "crashed":
		d.ScanArgs(t, "endpoint", &endpoint)
		f.member(at).RecordCrash("c", Incarnation{Endpoint: endpoint, Born: 1})
	case "unreachable":
		d.ScanArgs(t, "endpoint", &endpoint)
		f.member(at).RecordUnreachable("c", Incarnation{Endpoint: endpoint, Born: 1})
	case "ended":
		d.ScanArgs(t, "endpoint", &endpoint)
		f.ended[endpoint] = true
	case "answered":
		f.member(at).RecordAnswer("c")
	case "deliver":
		f.deliver(d.HasArg("reversed"))
	case "start":
		delete(f.members, at)
		f.member(at)
	case "wait":
		d.ScanArgs(t, "ms", &ms)
		f.driver.Advance(time.Duration(ms) * time.Millisecond)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return "ok"
}

// Guards against instances whose crash counts differ because they received the
// same events in another order, or twice.
func TestEventsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		for i := range rapid.IntRange(1, 12).Draw(t, "steps") {
			at := f.member(fmt.Sprint("i", rapid.IntRange(0, 2).Draw(t, "instance")))
			if rapid.Bool().Draw(t, "answered") {
				at.RecordAnswer("c")
			} else {
				at.RecordCrash("c", Incarnation{Endpoint: fmt.Sprint("e", rapid.IntRange(0, i).Draw(t, "endpoint"))})
			}
		}
		order := rapid.Permutation(f.posted).Draw(t, "order")
		f.deliver(false)
		late := f.member("late")
		for _, n := range append(order, order...) {
			f.receive["late"](n.key, n.payload)
		}
		for id, b := range f.members {
			if a, b := crashCount(b), crashCount(late); a != b {
				t.Errorf("%s counts %d crashes, the instance that received the events in another order %d", id, a, b)
			}
		}
	})
}

func crashCount(b *Breaker) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.lookup("c"); r != nil {
		return r.count(b.timers.Now())
	}
	return 0
}

// Guards against memory use that grows with the number of contents.
func TestMemoryIsBounded(t *testing.T) {
	f := newFleet()
	b := f.member("a")
	for i := range maxRecords + 10 {
		b.RecordCrash(strings.Repeat("x", i), Incarnation{Endpoint: "e"})
	}
	if b.records.Len() != maxRecords {
		t.Errorf("%d records are kept, want %d", b.records.Len(), maxRecords)
	}
	if New(Seams{}, f.timers, logs.Discard()).Empty() == b.Empty() {
		t.Error("Empty returns the same for an empty and a full breaker")
	}
}
