package main

import (
	"context"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/node/worker"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/platform"
)

type workerCommand struct{}

func (workerCommand) run(ctx context.Context) error {
	p, log, err := prepare()
	if err != nil {
		return err
	}
	log.WithField("role", "worker").Info("started")
	w := worker.New(p, worker.Parts{
		Open: func(pool *exchange.Pool) records.Store { return platform.NewStore(p.Store, pool) },
		Duties: func(pool *exchange.Pool) worker.Duties {
			d := platform.Duties{Pool: pool, Holder: p.Name, Address: p.Cloud}
			return worker.Duties{Report: d.Report, Order: d.Order, Encode: platform.EncodeUsage, Usage: d.SendUsage}
		},
		Formats: formats(), Names: platform.Headers(),
		VersionKind: platform.KindVersions, Version: platform.Named,
		RetirementKind: platform.KindRetirements, Retired: platform.Retired, Retire: platform.RetirementDone,
	}, clock.NewSystem(), log)
	w.Run(ctx)
	return nil
}
