package runner

import (
	"time"

	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
)

// newHarnessStore returns an empty store in memory.
func newHarnessStore() *batch.Store { return batch.NewStore(ledger.New().Store(), 1<<20) }

// newEmptyFleet returns a fleet without endpoints.
func newEmptyFleet(r *Runner) *replica.Fleet {
	return replica.NewFleet(r.timers, replica.Options{Overcommit: 1})
}

// noManifest returns a manifest that lets the items of newBatch wait for an engine.
func noManifest() *manifest.Manifest {
	route := manifest.Route{Host: host, Prefix: "/gen/", Kind: manifest.Rollout, ItemTimeout: time.Minute}
	return manifest.New(1, []manifest.Route{route}, nil, nil, manifest.Limits{})
}
