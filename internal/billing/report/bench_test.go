package report

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/wigeonpin/wigeonpin/internal/billing/usage"
)

// BenchmarkReport measures building and encoding one report from the segments of
// a window, with two classes for each account.
func BenchmarkReport(b *testing.B) {
	for _, c := range []struct{ instances, accounts int }{{6, 8}, {36, 8}, {120, 8}, {360, 8}, {360, 64}, {360, 512}} {
		b.Run(fmt.Sprintf("instances=%d/accounts=%d", c.instances, c.accounts), func(b *testing.B) {
			var objects []Object
			read := 0
			for i := range c.instances {
				segment := usage.Segment{Instance: fmt.Sprint("i-", i), Window: 28_333_333, First: 1, Last: 1320}
				for k := range 2 * c.accounts {
					segment.Totals = append(segment.Totals, usage.Record{
						Account: fmt.Sprint("account-", k/2), Class: []string{"generate", "training"}[k%2],
						Requests: 82, TokensIn: 57_400, TokensOut: 24_600, Cost: 31_775,
					})
				}
				value, _ := json.Marshal(segment)
				objects = append(objects, Object{Name: segment.Instance, Revision: uint64(i + 1), Value: value})
				read += len(value)
			}
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				report, _ := build(28_333_333, 0, objects)
				value, _ := json.Marshal(report)
				size = len(value)
			}
			b.ReportMetric(float64(size), "B/report")
			b.ReportMetric(float64(read), "B/segments")
		})
	}
}
