package ratelimit

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/peer/conn"
	"github.com/wigeonpin/wigeonpin/internal/peer/fleet"
)

// startCountedServer serves the calls to a limiter and counts their bytes.
func startCountedServer(b *testing.B, l *Limiter) (to member.Instance, traffic *meter.Counter) {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	meters := meter.NewSet()
	server := &http.Server{Handler: l.Server(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(fleet.NewCountingListener(listener, meters)) }() // until Close
	b.Cleanup(func() { _ = server.Close() })
	return member.Instance{ID: "other", Peer: listener.Addr().String()}, meters.Counter("peer_bytes")
}

func reportBytes(b *testing.B, traffic *meter.Counter) {
	b.Helper()
	b.ReportMetric(float64(traffic.Value("sent")+traffic.Value("received"))/float64(b.N), "wire-B/op")
}

// BenchmarkAsk measures the bytes and the time of one ask, both directions and both
// processes together.
func BenchmarkAsk(b *testing.B) {
	to, traffic := startCountedServer(b, NewLocal(clock.NewSystem()))
	ask, _ := Calls(conn.NewPeerClient(time.Second, 2))
	request := &AskRequest{
		Target:  &Target{Endpoint: "i-0bd818ced3", Born: 1764000000000, Zone: "dixie-a"},
		Account: "kaje80", Count: 1, WaitMs: 75, Hops: 1, Limit: 1e6,
	}
	for b.Loop() {
		if _, err := ask(context.Background(), to, request); err != nil {
			b.Fatal(err)
		}
	}
	reportBytes(b, traffic)
}

// BenchmarkClaim measures the same of one claim of ten endpoints.
func BenchmarkClaim(b *testing.B) {
	to, traffic := startCountedServer(b, NewLocal(clock.NewSystem()))
	_, claim := Calls(conn.NewPeerClient(time.Second, 2))
	request := &ClaimRequest{Claimant: &Process{Name: "edge-dixie-a-2", Zone: "dixie-a", Address: "10.2.0.27:7660"}}
	for range 10 {
		request.Targets = append(request.Targets, &Target{Endpoint: "i-0bd818ced3", Born: 1764000000000, Zone: "dixie-a"})
	}
	for b.Loop() {
		if _, err := claim(context.Background(), to, request); err != nil {
			b.Fatal(err)
		}
	}
	reportBytes(b, traffic)
}
