package balance

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/wigeonpin/wigeonpin/internal/load/generator"
	"github.com/wigeonpin/wigeonpin/internal/standin/trainer"
)

// Guards against a comparison that misses a difference: an account that was
// reported but not served, a late entry, a window with two sets of figures.
func TestCompare(t *testing.T) {
	datadriven.RunTest(t, "testdata/compare", func(t *testing.T, d *datadriven.TestData) string {
		bodies := map[string][]map[string]any{}
		served := Served{}
		for _, line := range strings.Split(d.Input, "\n") {
			kind, rest, _ := strings.Cut(line, " ")
			switch kind {
			case "report":
				window, body, _ := strings.Cut(rest, " ")
				bodies[window] = append(bodies[window], map[string]any{"body": body, "kept": len(bodies[window]) == 0})
			case "load":
				var r generator.Result
				if err := json.Unmarshal([]byte(rest), &r); err != nil {
					t.Fatal(err)
				}
				served.AddLoad(&r)
			case "trainer":
				var s trainer.Summary
				if err := json.Unmarshal([]byte(rest), &s); err != nil {
					t.Fatal(err)
				}
				served.AddTrainer("lab", s)
			}
		}
		raw, err := json.Marshal(map[string]any{"windows": bodies})
		if err != nil {
			t.Fatal(err)
		}
		reported, err := ParseUsage(raw)
		if err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintln(reported.Windows, "windows") + strings.Join(append(Compare(served, reported), ""), "\n")
	})
}
