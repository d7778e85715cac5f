package quota

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/control/roster"
	"github.com/wigeonpin/wigeonpin/internal/peer/fleet"
)

// countedListener counts the bytes of its connections in both directions.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l.bytes}, err
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkExchange measures the cost of one period's exchanges per instance,
// over HTTP on loopback, for different numbers of members and endpoints of the
// cell: bytes sent and received, and the time of both ends on one core. Each
// member runs work on the endpoints and has the queues of 8 accounts. The home
// instances have new load reports of a fifth of their endpoints.
func BenchmarkExchange(b *testing.B) {
	for _, members := range []int{2, 4, 6, 8} {
		for _, endpoints := range []int{6, 17, 50, 133, 250} {
			b.Run(fmt.Sprintf("members=%d/endpoints=%d", members, endpoints), func(b *testing.B) {
				benchmarkExchange(b, members, endpoints)
			})
		}
	}
}

func benchmarkExchange(b *testing.B, members, endpoints int) {
	c := newCluster(endpoints, 16)
	var bytes atomic.Int64
	urls := map[string]string{}
	settings := setting.Defaults()
	settings.ID, settings.Secret = "bench", "a secret of the fleet"
	client := fleet.NewClient(settings, meter.NewSet())
	call := Call(client)
	for i := range members {
		n := c.join(fmt.Sprintf("instance-%d", i))
		for a := range 8 {
			n.queued = append(n.queued, Backlog{Model: "tagger", Account: fmt.Sprintf("account-%d", a), Requests: 3, Weight: 1})
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		server := httptest.NewUnstartedServer(fleet.RequireSecret(settings.Secret, meter.NewSet(), n.pool.Server()))
		server.Listener = countedListener{listener, &bytes}
		server.Start()
		b.Cleanup(server.Close)
		urls[n.id] = listener.Addr().String()
	}
	c.send = func(to string, r *Report) (*Answer, error) {
		return call(context.Background(), member.Instance{ID: to, Peer: urls[to]}, r)
	}
	for range 30 {
		c.runPeriod()
		c.runWork()
	}
	var elapsed time.Duration
	bytes.Store(0)
	periods := 0
	for b.Loop() {
		c.driver.Advance(time.Second)
		periods++
		c.reportLoads(periods)
		c.runWork()
		start := time.Now()
		for _, n := range c.nodes {
			n.listCheckedAt = c.timers.Now()
			n.pool.reconcile()
			for _, id := range n.pool.targets(c.timers.Now()) {
				n.pool.Exchange(context.Background(), id)
			}
		}
		elapsed += time.Since(start)
	}
	client.CloseIdleConnections()
	// Every byte is sent by one instance and received by another one.
	b.ReportMetric(2*float64(bytes.Load())/float64(periods*members), "B/instance")
	b.ReportMetric(float64(elapsed.Microseconds())/float64(periods*members), "us/instance")
}

// runWork lets each instance end its oldest work and take a slot on half of the
// endpoints.
func (c *cluster) runWork() {
	for i, id := range c.ids() {
		n := c.nodes[id]
		for len(n.slots) > len(c.endpoints)/2 {
			c.finish(n, Outcome{FirstToken: 50 * time.Millisecond})
		}
		for j := range len(c.endpoints) {
			if j%2 == i%2 {
				c.take(n, fmt.Sprintf("e-%d", j), fmt.Sprintf("account-%d", j%8))
			}
		}
	}
}

// reportLoads gives the home instances new load reports of a fifth of the endpoints.
func (c *cluster) reportLoads(period int) {
	for i := range len(c.endpoints) {
		if (i+period)%5 != 0 {
			continue
		}
		id := fmt.Sprintf("e-%d", i)
		for _, n := range c.nodes {
			if d, ok := n.pool.delegations[id]; ok && d.home == n.id {
				n.roster.MergeLoad(id, roster.Load{Running: c.endpoints[id].running, Limit: c.limit, At: c.timers.Now()})
			}
		}
	}
}
