package step

import (
	"context"
	"fmt"
	"net/http/httptest"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/peer/fleet"
)

// startInstances starts instances that call each other over loopback.
func startInstances(t testing.TB, size int, generate func(context.Context, Job, func(Chunk) error) (Result, error)) []*Steps {
	var list []member.Instance
	var nodes []*Steps
	for i := range size {
		settings := setting.Defaults()
		settings.ID, settings.Secret = fmt.Sprint("i-", i), "0123456789abcdef"
		meters := meter.NewSet()
		s := New(settings, clock.NewSystem(), Seams{
			View:   func() *member.View { return member.NewView(list) },
			Client: fleet.NewClient(settings, meter.NewSet()), Generate: generate,
		}, meters, logs.Discard())
		server := httptest.NewServer(fleet.RequireSecret(settings.Secret, meters, s.Server()))
		t.Cleanup(server.Close)
		t.Cleanup(s.Close)
		list = append(list, member.Instance{ID: settings.ID, Zone: "z", State: member.StateLive, Peer: server.Listener.Addr().String()})
		nodes = append(nodes, s)
	}
	return nodes
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkPull measures a step of groups of 8 samples with texts of 2,000 bytes
// on three instances in one process. "step" measures until all groups are
// generated and pulled, "kept" one pull of groups that are all finished and kept.
// The generator takes no time, so the figures are those of the control plane.
func BenchmarkPull(b *testing.B) {
	text := strings.Repeat("x", 500)
	generate := func(_ context.Context, _ Job, sink func(Chunk) error) (Result, error) {
		for range 4 {
			if err := sink(Chunk{Text: text, Tokens: 125, Version: 1}); err != nil {
				return Result{}, err
			}
		}
		return Result{Tokens: 500}, nil
	}
	for _, groups := range []int{8, 32, 128, 512} {
		for _, kind := range []string{"step", "kept"} {
			b.Run(fmt.Sprintf("%s/groups=%d", kind, groups), func(b *testing.B) {
				nodes := startInstances(b, 3, generate)
				p := newPull(1, groups, 8)
				p.MaxTokens = 500
				runtime.GC()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				if kind == "kept" {
					pullStep(b, nodes, p)
				}
				b.ReportAllocs()
				start, n := cpuTime(), 0
				for b.Loop() {
					if kind == "step" {
						p.Step = fmt.Sprint(n)
					}
					pullStep(b, nodes, p)
					n++
				}
				cpu := cpuTime() - start
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(cpu.Microseconds())/float64(n), "cpu_us/op")
				held := 1
				if kind == "step" {
					held = n
				}
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(held), "held_B/step")
			})
		}
	}
}

// pullStep pulls until the trainer has the whole step.
func pullStep(t testing.TB, nodes []*Steps, p Pull) {
	p.Have = make([]byte, (p.Groups+7)/8)
	for n := 0; ; n++ {
		out, err := nodes[n%len(nodes)].Pull(context.Background(), testTrainer, p)
		if err != nil {
			t.Fatal(err)
		}
		for _, g := range out.Groups {
			p.Have[g.Group/8] |= 1 << (g.Group % 8)
		}
		if out.Complete {
			return
		}
	}
}

// Guards against calls between instances that work in process but fail over HTTP.
func TestPullOverTheNetwork(t *testing.T) {
	nodes := startInstances(t, 3, (&generator{version: 1, started: map[string]bool{}}).generate)
	pullStep(t, nodes, newPull(1, 16, 2))
	groups := 0
	for _, s := range nodes {
		groups += len(s.home.groups)
	}
	if groups != 16 || len(nodes[0].home.groups) == 16 {
		t.Errorf("%d groups are held, %d of them at the first instance", groups, len(nodes[0].home.groups))
	}
}
