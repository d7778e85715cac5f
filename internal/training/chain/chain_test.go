package chain

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// Guards against a report that blames the wrong cause for a late step: interruptions
// that are missed or counted twice, a restart that is taken for the start, and calls
// of a process that are lost when it starts again.
func TestReport(t *testing.T) {
	datadriven.RunTest(t, "testdata/logs", func(_ *testing.T, d *datadriven.TestData) string {
		report := NewReport()
		for _, text := range strings.Split(d.Input, "\n") {
			report.Add(text)
		}
		var out strings.Builder
		for _, b := range report.Batches() {
			fmt.Fprintf(&out, "%s step %d: %s started after %v, took %v, complete %v, restarts %d, broken %v, slow %d, silent %d, late %d, waited %v\n",
				b.Model, b.Step, b.ID, b.Started.Sub(b.Accepted), b.Took(), b.Complete, b.Restarts, b.Causes, b.Slow, b.Silent, b.Late, b.Waited)
		}
		calls := report.Calls()
		for _, call := range slices.Sorted(maps.Keys(calls)) {
			fmt.Fprintf(&out, "%s: %d\n", call, calls[call])
		}
		return out.String()
	})
}
