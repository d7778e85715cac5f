package usage_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/billing/usage"
)

// countingListener adds the bytes read and written on all accepted connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func cpuTime() time.Duration {
	var used syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &used)
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// BenchmarkSecondCopy measures the latency of Append and the bytes to and from the
// second holder, over loopback, at a constant rate of records.
func BenchmarkSecondCopy(b *testing.B) {
	for _, rate := range []int{10, 100, 1000, 5000, 20000} {
		b.Run(fmt.Sprintf("records/s=%d", rate), func(b *testing.B) {
			var bytes atomic.Int64
			log, meters, _ := newNetworkedLog(b, clock.NewSystem(), func(l net.Listener) net.Listener {
				return countingListener{l, &bytes}
			})
			ctx, cancel := context.WithCancel(b.Context())
			go func() { _ = log.Run(ctx) }()
			var mu sync.Mutex
			latencies := hdrhistogram.New(1, 10_000_000, 3)
			var pending sync.WaitGroup
			begin, cpu := time.Now(), cpuTime()
			for i := range b.N {
				time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / time.Duration(rate))))
				pending.Go(func() {
					at := time.Now()
					_ = log.Append(ctx, usage.Record{Account: fmt.Sprint("account-", i%8), Class: "generate", Requests: 1, TokensIn: 700, TokensOut: 300, Cost: 387})
					mu.Lock()
					defer mu.Unlock()
					_ = latencies.RecordValue(time.Since(at).Microseconds())
				})
			}
			pending.Wait()
			seconds := time.Since(begin).Seconds()
			cancel()
			b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "p50_us")
			b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "p99_us")
			b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(b.N), "cpu_us/record")
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/record")
			b.ReportMetric(float64(bytes.Load())/seconds, "B/s")
			b.ReportMetric(float64(meters.Counter("usage_copies").Value(""))/seconds, "calls/s")
			b.ReportMetric(float64(meters.Counter("usage_single_copy").Value("")), "single")
		})
	}
}

// BenchmarkSegment measures the sealing of one window and the size of its segment.
// It uses 1,320 records (22 a second in a window of 60 s) or two for each account
// and class, if that is more.
func BenchmarkSegment(b *testing.B) {
	for _, accounts := range []int{8, 64, 512, 2048} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			size := 0
			for b.Loop() {
				b.StopTimer()
				c := newCluster(b, 1)
				for i := range max(1320, 4*accounts) {
					c.nodes["i-0"].AddForTest(usage.Record{
						Account: fmt.Sprint("account-", i%accounts), Class: []string{"generate", "training"}[i/accounts%2],
						Requests: 1, TokensIn: 700, TokensOut: 300, Cost: 387,
					})
				}
				b.StartTimer()
				c.nodes["i-0"].SealAllForTest(b.Context())
				size = len(c.store.objects[0].Value)
			}
			b.ReportMetric(float64(size), "B/segment")
		})
	}
}
