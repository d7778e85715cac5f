package main

import (
	"context"

	"github.com/wigeonpin/wigeonpin/internal/node/entry"
	"github.com/wigeonpin/wigeonpin/platform"
)

type entryCommand struct{}

func (entryCommand) run(ctx context.Context) error {
	n, err := startNode(context.WithoutCancel(ctx), roleEntry)
	if err != nil {
		return err
	}
	e := entry.New(n.source.Current(), entry.Dependencies{
		Store: n.store, Formats: formats(), Names: platform.Headers(), API: platform.BatchAPI(), Meters: n.meters,
		Isolated: n.isolated, Outage: n.outage, StoreDisconnected: n.directLost,
		Workers: func() []string { return n.peers.Addresses(roleWorker) }, Limiter: n.limiter, Shares: n.newShares(ctx),
		Breaker: n.breaker,
	}, n.timers, n.log)
	err = e.Run(ctx)
	n.logStopped()
	return err
}
