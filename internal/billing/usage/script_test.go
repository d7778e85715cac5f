package usage_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/wigeonpin/wigeonpin/internal/billing/report"
)

// Runs the scripts in testdata. Each begins with the failure it guards against.
// In the output, windows are numbered relative to the first one, and records are
// named by their class.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{intake: map[int64][]string{}, reporters: map[string]*report.Reporter{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				s.run(t, d.Cmd, strings.Fields(line), &out)
			}
			return out.String()
		})
	})
}

// script is the state of one script. intake holds the received reports by window.
type script struct {
	*cluster
	intake    map[int64][]string
	reporters map[string]*report.Reporter
}

func (s *script) run(t *testing.T, command string, args []string, out *strings.Builder) {
	ctx := context.Background()
	if command == "show" {
		s.show(t, args, out)
		return
	}
	if command == "fleet" {
		s.cluster = newCluster(t, 3)
		for _, id := range args {
			s.dataDirs[id] = t.TempDir()
			s.start(t, id)
		}
		return
	}
	for len(args) > 0 {
		verb, id := args[0], args[1]
		args = args[2:]
		switch verb {
		case "append":
			s.append(id)
		case "commit":
			s.nodes[id].CommitForTest(ctx)
		case "seal":
			s.nodes[id].SealForTest(ctx)
		case "close":
			_ = s.nodes[id].Close(ctx)
			s.kill(id)
		case "kill":
			s.kill(id)
		case "start":
			s.start(t, id)
		case "cut", "heal":
			for _, to := range s.ids {
				s.cut[[2]string{id, to}] = verb == "cut"
			}
		case "advance":
			step, _ := time.ParseDuration(id)
			s.driver.Advance(step)
		case "lose":
			s.loseNextAnswer = s.loseNextAnswer || id == "copy-answer"
			s.store.loseNextAnswer = s.store.loseNextAnswer || id == "seal-answer"
			s.store.dropNextRequest = s.store.dropNextRequest || id == "seal-request"
		case "report":
			if s.reporters[id] == nil {
				s.reporters[id] = s.reporter(id, uint64(len(s.reporters)+1), s.intake)
			}
			if err := s.reporters[id].Step(ctx); err != nil {
				fmt.Fprintf(out, "%s: %s\n", id, strings.SplitN(err.Error(), ":", 2)[0])
			}
		default:
			t.Fatalf("unknown verb %q", verb)
		}
	}
}

func (s *script) show(t *testing.T, what []string, out *strings.Builder) {
	const first = 1_700_000_000 / 60
	switch strings.Join(what, " ") {
	case "acknowledged":
		s.recordAcks()
		for _, r := range s.records {
			if r.acked {
				fmt.Fprintf(out, "%s ", r.class)
			}
		}
		fmt.Fprintln(out)
	case "segments":
		for _, g := range s.store.segments(t) {
			fmt.Fprintf(out, "%s %d-%d window %d by %s\n", g.Instance, g.First, g.Last, g.Window-first, g.Sealer)
		}
	case "exact":
		s.checkCounts(t, s.sealedCounts(t))
		fmt.Fprintln(out, "every acknowledged record is sealed once")
	case "intake":
		windows := make([]int64, 0, len(s.intake))
		for w := range s.intake {
			windows = append(windows, w)
		}
		slices.Sort(windows)
		for _, w := range windows {
			bodies := s.intake[w]
			fmt.Fprintf(out, "window %d, received %d times, %d bodies:", w-first, len(bodies), len(slices.Compact(slices.Clone(bodies))))
			for _, e := range decodeReport(t, bodies[0]).Entries {
				fmt.Fprintf(out, " %s of window %d", e.Class, e.Window-first)
			}
			fmt.Fprintln(out)
		}
	}
}
