package reach

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// Guards against runs that stay in a zone that is out of reach, and against a zone
// that is given up because one endpoint is slow or this process was paused. Each
// line of a script is a check: the time, and when each streaming endpoint was last
// heard.
func TestCheck(t *testing.T) {
	datadriven.RunTest(t, "testdata/zones", func(t *testing.T, d *datadriven.TestData) string {
		detector := NewDetector()
		start := time.Unix(1000, 0)
		at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			fields := strings.Fields(line)
			var now int
			if _, err := fmt.Sscanf(fields[0], "%dms", &now); err != nil {
				t.Fatalf("%q: %v", line, err)
			}
			var streaming []Streaming
			for _, field := range fields[1:] {
				var heard int
				name, rest, _ := strings.Cut(field, "@")
				if _, err := fmt.Sscanf(rest, "%d", &heard); err != nil {
					t.Fatalf("%q: %v", field, err)
				}
				zone, _, _ := strings.Cut(name, "-")
				streaming = append(streaming, Streaming{Endpoint: name, Zone: zone, Heard: at(heard)})
			}
			fmt.Fprintf(&out, "%d ms: silent %v\n", now, detector.Check(at(now), streaming))
		}
		return out.String()
	})
}
