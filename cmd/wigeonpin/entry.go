package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/node/entry"
	"github.com/wigeonpin/wigeonpin/internal/node/profile"
	"github.com/wigeonpin/wigeonpin/internal/node/view"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/platform"
)

// memoryShare is the part of a process's memory limit that the Go heap may
// take before the collector works harder.
const memoryShare = 0.7

type entryCommand struct{}

// prepare reads the settings and sets the process up.
func prepare() (profile.Profile, *logrus.Entry, error) {
	p, err := platform.LoadProfile()
	if err != nil {
		return profile.Profile{}, nil, err
	}
	if p.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(p.MemoryBytes)))
	}
	log, err := logs.New(logs.NewBounded(os.Stdout), "info", p.Name, p.Zone)
	return p, log, err
}

func formats() view.Formats {
	return view.Formats{
		ManifestKind: platform.KindConfig, ManifestName: platform.NameConfig,
		EndpointKind: platform.KindServers, ZoneKind: platform.KindEvacuations,
		Manifest: platform.Manifest, Endpoint: platform.Endpoint,
	}
}

func (entryCommand) run(ctx context.Context) error {
	p, log, err := prepare()
	if err != nil {
		return err
	}
	log.WithField("role", "entry").Info("started")
	e := entry.New(p, entry.Parts{
		Open:    func(pool *exchange.Pool) records.Store { return platform.NewStore(p.Store, pool) },
		Formats: formats(), Names: platform.Headers(), Calls: platform.Calls(),
	}, clock.NewSystem(), log)
	err = e.Run(ctx)
	log.WithField("role", "entry").Info("stopped")
	return err
}
