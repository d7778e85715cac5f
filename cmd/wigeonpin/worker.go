package main

import (
	"context"
	"net"

	"github.com/wigeonpin/wigeonpin/internal/node/members"
	"github.com/wigeonpin/wigeonpin/internal/node/worker"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/platform"
)

type workerCommand struct{}

func (workerCommand) run(ctx context.Context) error {
	n, err := startNode(context.WithoutCancel(ctx), roleWorker)
	if err != nil {
		return err
	}
	p := n.source.Current()
	d := platform.Duties{Pool: exchange.New(exchange.Options{}), Holder: p.Name, Address: n.source.CloudAddress}
	w := worker.New(p, worker.Dependencies{
		Store:       n.store,
		Peers:       func() []string { return n.peers.Addresses(roleWorker) },
		PeersSynced: n.peers.Synced,
		ExpirePeers: members.NewExpiry(n.peers, accepts).Run,
		Duties:      worker.Duties{Report: d.Report, Order: d.Order, EncodeUsage: platform.EncodeUsage, SendUsage: d.SendUsage},
		Formats:     formats(), Names: platform.Headers(),
		VersionKind: platform.KindVersions, DecodeVersion: platform.DecodeVersion,
		RetirementKind: platform.KindRetirements, IsRetired: platform.IsRetired, MarkRetired: platform.MarkRetired,
		Meters: n.meters, Limiter: n.limiter, Breaker: n.breaker,
	}, n.timers, n.log)
	w.Mount(ctx, n.mux)
	w.Run(ctx)
	n.logStopped()
	return nil
}

// accepts reports whether a process accepts connections at the address. One that is
// paused does.
func accepts(ctx context.Context, address string) bool {
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = connection.Close() // nothing was sent
	return true
}
