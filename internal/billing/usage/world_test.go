package usage_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/billing/report"
	"github.com/wigeonpin/wigeonpin/internal/billing/usage"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
)

var errCut = errors.New("no answer")

// store is an object store with faults.
type store struct {
	objects  []report.Object // in order of revision
	down     bool
	loseNext bool // apply the next creation, then lose its answer
	dropNext bool // lose the next creation
	during   func()
}

func (s *store) create(_ context.Context, kind, name string, value []byte) ([]byte, bool, error) {
	if s.during != nil {
		s.during()
	}
	if s.down || s.dropNext {
		s.dropNext = false
		return nil, false, errCut
	}
	for _, o := range s.objects {
		if o.Name == kind+"/"+name {
			return o.Value, false, nil
		}
	}
	s.objects = append(s.objects, report.Object{Name: kind + "/" + name, Revision: uint64(len(s.objects) + 1), Value: value})
	if s.loseNext {
		s.loseNext = false
		return nil, false, errCut
	}
	return value, true, nil
}

func (s *store) get(_ context.Context, kind, name string) ([]byte, bool, error) {
	if s.down {
		return nil, false, errCut
	}
	for _, o := range s.objects {
		if o.Name == kind+"/"+name {
			return o.Value, true, nil
		}
	}
	return nil, false, nil
}

func (s *store) list(_ context.Context, kind string, after uint64) ([]report.Object, error) {
	var out []report.Object
	if s.down {
		return nil, errCut
	}
	for _, o := range s.objects {
		if o.Revision > after && len(o.Name) > len(kind) && o.Name[:len(kind)+1] == kind+"/" {
			out = append(out, o)
		}
	}
	return out, nil
}

// segments returns the sealed segments.
func (s *store) segments(t rapid.TB) []usage.Segment {
	var out []usage.Segment
	objects, _ := s.list(context.Background(), usage.Kind, 0)
	for _, o := range objects {
		var segment usage.Segment
		if err := json.Unmarshal(o.Value, &segment); err != nil {
			t.Fatal(err)
		}
		out = append(out, segment)
	}
	return out
}

// world is a fleet of logs with one store and a driven clock.
type world struct {
	timers   *clock.Service
	driver   *clock.Driver
	store    *store
	nodes    map[string]*usage.Log
	unlisted map[string]bool
	cut      map[[2]string]bool
	loseNext bool // deliver the next copy, then lose its answer
	data     map[string]string
	ids      []string
	records  []*record
}

// record is an appended record with a class of its own, so that each can be
// found in the reports.
type record struct {
	class  string
	window int64
	done   <-chan struct{}
	acked  bool
}

func newWorld(t rapid.TB, size int) *world {
	w := &world{store: &store{}, nodes: map[string]*usage.Log{}, unlisted: map[string]bool{}, cut: map[[2]string]bool{}, data: map[string]string{}}
	w.timers, w.driver = clock.NewDriven(time.Unix(1_700_000_000, 0))
	for i := range size {
		w.ids = append(w.ids, fmt.Sprintf("i-%d", i))
	}
	for _, id := range w.ids {
		w.start(t, id)
	}
	return w
}

func (w *world) zone(id string) string { return "z" + string(id[2]%3+'0') }

func (w *world) view() *member.View {
	var list []member.Instance
	for _, id := range w.ids {
		if w.nodes[id] != nil && !w.unlisted[id] {
			list = append(list, member.Instance{ID: id, Zone: w.zone(id), Peer: id, State: member.StateLive})
		}
	}
	return member.NewView(list)
}

func (w *world) start(t rapid.TB, id string) {
	settings := setting.Defaults()
	settings.ID, settings.Zone, settings.Data = id, w.zone(id), w.data[id]
	log, err := usage.New(settings, w.timers, usage.Seams{
		View: w.view, Create: w.store.create,
		Hold: func(ctx context.Context, to member.Instance, r *usage.HoldRequest) (*usage.HoldResponse, error) {
			if w.nodes[to.ID] == nil || w.cut[[2]string{id, to.ID}] {
				return nil, errCut
			}
			response, err := w.nodes[to.ID].HolderForTest().Hold(ctx, r)
			if w.loseNext {
				w.loseNext = false
				return nil, errCut
			}
			return response, err
		},
	}, meter.NewSet(), logs.Discard())
	if err != nil {
		t.Fatal(err)
	}
	w.nodes[id] = log
}

func (w *world) append(id string) *record {
	r := &record{class: fmt.Sprintf("c%d", len(w.records)), window: w.timers.Now().UnixMilli() / 60_000}
	r.done = w.nodes[id].AddForTest(usage.Record{Account: "acme", Class: r.class, Requests: 1, Cost: 7})
	w.records = append(w.records, r)
	return r
}

// noteAcks records which appends have returned. It is called before a kill,
// because nothing is acknowledged after it.
func (w *world) noteAcks() {
	for _, r := range w.records {
		select {
		case <-r.done:
			r.acked = true
		default:
		}
	}
}

func (w *world) kill(id string) {
	w.noteAcks()
	delete(w.nodes, id)
}

// settle ends all faults and lets every instance copy and seal.
func (w *world) settle(ctx context.Context) {
	w.store.down, w.store.loseNext, w.store.dropNext, w.loseNext = false, false, false, false
	w.cut, w.unlisted = map[[2]string]bool{}, map[string]bool{}
	for range 2 {
		w.driver.Advance(6 * time.Second)
		for _, id := range w.ids {
			if w.nodes[id] != nil {
				w.nodes[id].CommitForTest(ctx)
				w.nodes[id].SealForTest(ctx)
			}
		}
	}
}

// check compares what was counted with the records: each acknowledged record
// exactly once, each other one at most once.
func (w *world) check(t rapid.TB, counted map[string]int64) {
	w.noteAcks()
	for _, r := range w.records {
		n := counted[r.class]
		if n > 1 || (r.acked && n == 0) {
			t.Fatalf("record %s, acknowledged %v, is counted %d times", r.class, r.acked, n)
		}
	}
}

func (w *world) sealed(t rapid.TB) map[string]int64 {
	counted := map[string]int64{}
	for _, s := range w.store.segments(t) {
		for _, r := range s.Totals {
			counted[r.Class] += r.Requests
		}
	}
	return counted
}
