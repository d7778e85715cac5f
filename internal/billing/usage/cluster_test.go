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

var errNoAnswer = errors.New("no answer")

// store is an object store in memory that can fail on demand.
type store struct {
	objects         []report.Object // in order of revision
	down            bool
	loseNextAnswer  bool // apply the next creation, then drop its answer
	dropNextRequest bool // drop the next creation request
	onCreate        func()
}

func (s *store) create(_ context.Context, kind, name string, value []byte) ([]byte, bool, error) {
	if s.onCreate != nil {
		s.onCreate()
	}
	if s.down || s.dropNextRequest {
		s.dropNextRequest = false
		return nil, false, errNoAnswer
	}
	for _, o := range s.objects {
		if o.Name == kind+"/"+name {
			return o.Value, false, nil
		}
	}
	s.objects = append(s.objects, report.Object{Name: kind + "/" + name, Revision: uint64(len(s.objects) + 1), Value: value})
	if s.loseNextAnswer {
		s.loseNextAnswer = false
		return nil, false, errNoAnswer
	}
	return value, true, nil
}

func (s *store) get(_ context.Context, kind, name string) ([]byte, bool, error) {
	if s.down {
		return nil, false, errNoAnswer
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
		return nil, errNoAnswer
	}
	for _, o := range s.objects {
		if o.Revision > after && len(o.Name) > len(kind) && o.Name[:len(kind)+1] == kind+"/" {
			out = append(out, o)
		}
	}
	return out, nil
}

// segments returns all segments in the store.
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

// cluster is a set of instances, each with its usage log, that share one store
// and a driven clock.
type cluster struct {
	timers         *clock.Service
	driver         *clock.Driver
	store          *store
	nodes          map[string]*usage.Log
	unlisted       map[string]bool
	cut            map[[2]string]bool
	loseNextAnswer bool // deliver the next copy, then drop its answer
	dataDirs       map[string]string
	ids            []string
	records        []*record
}

// record is an appended record. Its class is unique, so that the record can be
// found in the segments and reports.
type record struct {
	class  string
	window int64
	done   <-chan struct{}
	acked  bool
}

func newCluster(t rapid.TB, size int) *cluster {
	c := &cluster{store: &store{}, nodes: map[string]*usage.Log{}, unlisted: map[string]bool{}, cut: map[[2]string]bool{}, dataDirs: map[string]string{}}
	c.timers, c.driver = clock.NewDriven(time.Unix(1_700_000_000, 0))
	for i := range size {
		c.ids = append(c.ids, fmt.Sprintf("i-%d", i))
	}
	for _, id := range c.ids {
		c.start(t, id)
	}
	return c
}

func (c *cluster) zone(id string) string { return "z" + string(id[2]%3+'0') }

func (c *cluster) view() *member.View {
	var list []member.Instance
	for _, id := range c.ids {
		if c.nodes[id] != nil && !c.unlisted[id] {
			list = append(list, member.Instance{ID: id, Zone: c.zone(id), Peer: id, State: member.StateLive})
		}
	}
	return member.NewView(list)
}

func (c *cluster) start(t rapid.TB, id string) {
	settings := setting.Defaults()
	settings.ID, settings.Zone, settings.Data = id, c.zone(id), c.dataDirs[id]
	log, err := usage.New(settings, c.timers, usage.Seams{
		View: c.view, Create: c.store.create,
		Hold: func(ctx context.Context, to member.Instance, r *usage.HoldRequest) (*usage.HoldResponse, error) {
			if c.nodes[to.ID] == nil || c.cut[[2]string{id, to.ID}] {
				return nil, errNoAnswer
			}
			response, err := c.nodes[to.ID].HolderForTest().Hold(ctx, r)
			if c.loseNextAnswer {
				c.loseNextAnswer = false
				return nil, errNoAnswer
			}
			return response, err
		},
	}, meter.NewSet(), logs.Discard())
	if err != nil {
		t.Fatal(err)
	}
	c.nodes[id] = log
}

func (c *cluster) append(id string) *record {
	r := &record{class: fmt.Sprintf("c%d", len(c.records)), window: c.timers.Now().UnixMilli() / 60_000}
	r.done = c.nodes[id].AddForTest(usage.Record{Account: "acme", Class: r.class, Requests: 1, Cost: 7})
	c.records = append(c.records, r)
	return r
}

// recordAcks records which appends have been acknowledged. It must be called
// before an instance is killed: a killed instance acknowledges nothing more.
func (c *cluster) recordAcks() {
	for _, r := range c.records {
		select {
		case <-r.done:
			r.acked = true
		default:
		}
	}
}

func (c *cluster) kill(id string) {
	c.recordAcks()
	delete(c.nodes, id)
}

// stabilize ends all faults and makes every instance copy and seal.
func (c *cluster) stabilize(ctx context.Context) {
	c.store.down, c.store.loseNextAnswer, c.store.dropNextRequest, c.loseNextAnswer = false, false, false, false
	c.cut, c.unlisted = map[[2]string]bool{}, map[string]bool{}
	for range 2 {
		c.driver.Advance(6 * time.Second)
		for _, id := range c.ids {
			if c.nodes[id] != nil {
				c.nodes[id].CommitForTest(ctx)
				c.nodes[id].SealForTest(ctx)
			}
		}
	}
}

// checkCounts fails unless each acknowledged record is counted exactly once and
// each other record at most once. counted is by class.
func (c *cluster) checkCounts(t rapid.TB, counted map[string]int64) {
	c.recordAcks()
	for _, r := range c.records {
		n := counted[r.class]
		if n > 1 || (r.acked && n == 0) {
			t.Fatalf("record %s (acknowledged: %v) was counted %d times", r.class, r.acked, n)
		}
	}
}

// sealedCounts returns the number of sealed requests by class.
func (c *cluster) sealedCounts(t rapid.TB) map[string]int64 {
	counted := map[string]int64{}
	for _, s := range c.store.segments(t) {
		for _, r := range s.Totals {
			counted[r.Class] += r.Requests
		}
	}
	return counted
}
