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

// Guards against a comparison that misses a difference, such as an account that
// was reported but not served, or that mishandles a late entry or a window with
// conflicting reports.
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

// Guards against figures in which other accounts mask the worst-served account, or
// in which endpoint time without work is free.
func TestMeasure(t *testing.T) {
	var r generator.Result
	if err := json.Unmarshal([]byte(`{"accounts":{
		"large":{"sent":90,"whole":90,"tokens":900,"p99_ms":10},
		"small":{"sent":10,"whole":5,"tokens":50,"p99_ms":80,"refusal_p99_ms":2,"wrong":{"damaged":1}},
		"absent":{}}}`), &r); err != nil {
		t.Fatal(err)
	}
	trainers := []trainer.Summary{{IdleShare: 0.5, MeanAge: 1, Samples: 4, Tokens: 50, Duplicates: 1}, {IdleShare: 0.1}}
	f := Measure([]*generator.Result{&r}, trainers, 3, 0.002, map[string]float64{"cheap": 25, "standard": 75})
	want := Figures{
		Whole: 0.95, Worst: 0.5, P99MS: 80, RefusalMS: 2, Wrong: 1, Idle: 0.3, Age: 0.5, Samples: 4, Faulty: 1,
		Price: 2, Cheap: 0.25, Unreported: 3,
	}
	if fmt.Sprintf("%.6v", f) != fmt.Sprintf("%.6v", want) {
		t.Fatalf("Measure gave %+v, want %+v", f, want)
	}
}
