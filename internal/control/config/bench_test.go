package config

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wigeonpin/wigeonpin/internal/control/table"
)

// fleetSizes holds numbers of instances and zones. The first is a present
// deployment, the last the target scale.
var fleetSizes = []struct{ instances, zones int }{{6, 3}, {48, 3}, {144, 7}, {360, 7}}

func benchFleet(b *testing.B, instances, zones, rows int) *testFleet {
	f := newFleet(b)
	for i := range instances {
		f.start(fmt.Sprintf("instance-%04d", i), fmt.Sprintf("zone-%d", i%zones))
	}
	for range 4 {
		f.step()
	}
	n := f.nodes[f.order[0]]
	for from := 0; from < rows; from += maxBatchEdits {
		done := make(chan error)
		count := min(maxBatchEdits, rows-from)
		for i := range count {
			row := table.Row{Table: table.Accounts, Name: fmt.Sprintf("account-%06d", from+i), Value: rawJSON(`{"weight":1.5,"queue":200}`)}
			go func() {
				_, err := n.Edit(context.Background(), "fill-"+row.Name, row)
				done <- err
			}()
		}
		for range count {
			if err := <-done; err != nil {
				b.Error(err)
			}
		}
		f.awaitPushes()
		f.step()
	}
	for range 4 {
		f.step()
	}
	return f
}

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var usage unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// wireSize returns the number of bytes that a call takes on a connection, with the
// headers that the fleet's client and server add.
func wireSize(r *http.Request, w *http.Response, request, answer int) int64 {
	r = r.Clone(context.Background())
	r.Body, r.ContentLength = http.NoBody, 0
	r.Header.Set("Authorization", "Bearer "+strings.Repeat("s", 32))
	r.Header.Set("Wigeonpin-Instance", "instance-0000")
	r.Header.Set("Content-Length", fmt.Sprint(request))
	var total byteCounter
	_ = r.Write(&total)
	head := http.Response{StatusCode: w.StatusCode, ProtoMajor: 1, ProtoMinor: 1, Header: w.Header.Clone(), Body: http.NoBody}
	head.Header.Set("Date", "Thu, 01 Jan 1970 00:00:00 GMT")
	_ = head.Write(&total)
	return int64(total) + int64(request+answer)
}

type byteCounter int64

func (c *byteCounter) Write(p []byte) (int, error) { *c += byteCounter(len(p)); return len(p), nil }

// BenchmarkSteadyState measures one second of the control plane without edits:
// exchanges along the trees and between the zones, and polls of the platform.
func BenchmarkSteadyState(b *testing.B) {
	for _, outage := range []bool{false, true} {
		for _, s := range fleetSizes {
			b.Run(fmt.Sprintf("outage=%v/instances=%d", outage, s.instances), func(b *testing.B) {
				f := benchFleet(b, s.instances, s.zones, 200)
				f.platform.outage = outage
				for range 6 {
					f.step()
				}
				f.countBytes = true
				f.wireBytes.Store(0)
				f.calls.Store(0)
				f.platform.calls = 0
				f.step()
				bytes, calls, reads := f.wireBytes.Load(), f.calls.Load(), f.platform.calls
				f.countBytes = false
				start := cpuTime()
				for b.Loop() {
					f.step()
				}
				used := cpuTime() - start
				per := float64(s.instances)
				b.ReportMetric(float64(bytes)/per, "wire-B/instance/s")
				b.ReportMetric(float64(calls)/per, "calls/instance/s")
				b.ReportMetric(float64(bytes)/float64(max(calls, 1)), "wire-B/exchange")
				b.ReportMetric(float64(reads), "platform-calls/s")
				b.ReportMetric(float64(used.Microseconds())/float64(b.N)/per, "cpu-us/instance/s")
				b.ReportMetric(float64(used.Microseconds())/float64(b.N)/float64(max(calls, 1)), "cpu-us/exchange")
			})
		}
	}
}

// BenchmarkEdit measures one edit at an instance that is no relay, until all
// instances hold it.
func BenchmarkEdit(b *testing.B) {
	for _, s := range fleetSizes {
		for _, rows := range []int{200, 5000} {
			b.Run(fmt.Sprintf("instances=%d/rows=%d", s.instances, rows), func(b *testing.B) {
				f := benchFleet(b, s.instances, s.zones, rows)
				var n *node
				for _, id := range f.order {
					if n = f.nodes[id]; !n.directory.Relay() {
						break
					}
				}
				f.countBytes = true
				f.wireBytes.Store(0)
				f.calls.Store(0)
				f.platform.calls = 0
				start, edits := cpuTime(), 0
				for b.Loop() {
					edits++
					row := table.Row{Table: table.Accounts, Name: fmt.Sprintf("new-%d", edits), Value: rawJSON(`{"weight":1.5,"queue":200}`)}
					if _, err := n.Edit(context.Background(), row.Name, row); err != nil {
						b.Fatal(err)
					}
					want := n.Sequence()
					f.await("all instances hold the edit", func() bool {
						for _, m := range f.nodes {
							if m.Sequence() < want {
								return false
							}
						}
						return true
					})
					f.awaitPushes()
				}
				used := cpuTime() - start
				per := float64(edits) * float64(s.instances)
				b.ReportMetric(float64(f.platform.calls)/float64(edits), "platform-calls/edit")
				b.ReportMetric(float64(f.calls.Load())/per, "pushes/instance/edit")
				b.ReportMetric(float64(f.wireBytes.Load())/per, "wire-B/instance/edit")
				b.ReportMetric(float64(used.Microseconds())/per, "cpu-us/instance/edit")
			})
		}
	}
}
