// Package view keeps a process's copy of the cluster state up to date: the
// manifest in force, the endpoints, and the availability zones out of service.
// All are followed in the store.
//
// # Usage
//
//	v := view.New(store, formats, profile, fleet, timers, log)
//	v.Run(ctx)
//	if v.Synced() { route, found := v.Manifest().Route(host, path) }
package view

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
	"github.com/wigeonpin/wigeonpin/internal/control/mirror"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/node/profile"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

// endpointWatchInterval is the interval at which watches for endpoints begin,
// so that changes of several endpoints arrive in one response.
const endpointWatchInterval = 400 * time.Millisecond

// Formats names the records of the manifest, the endpoints and the zones out of
// service in the store, and holds the functions that decode them.
type Formats struct {
	ManifestKind, ManifestName string
	EndpointKind, ZoneKind     string
	Manifest                   func(records.Record) (*manifest.Manifest, error)
	Endpoint                   func(records.Record) (replica.Entry, error)
}

// View follows the manifest, and the endpoints and zones of a fleet.
type View struct {
	formats   Formats
	fleet     *replica.Fleet
	log       *logrus.Entry
	manifest  atomic.Pointer[manifest.Manifest]
	config    *mirror.Mirror
	endpoints *mirror.Mirror
	zones     *mirror.Mirror
}

// New returns an empty view that Run fills and keeps up to date.
func New(store records.Store, formats Formats, p profile.Profile, fleet *replica.Fleet, timers *clock.Service, log *logrus.Entry) *View {
	v := &View{formats: formats, fleet: fleet, log: log}
	v.config = mirror.New(store, formats.ManifestKind, mirror.Options{
		Wait: mirror.WaitFor(p.MaxConfigDelay), Apply: v.applyManifest,
	}, timers, log)
	v.endpoints = mirror.New(store, formats.EndpointKind, mirror.Options{
		Wait: mirror.WaitFor(p.MaxDrainDelay), WatchInterval: endpointWatchInterval, Apply: v.applyEndpoint,
	}, timers, log)
	v.zones = mirror.New(store, formats.ZoneKind, mirror.Options{
		Wait: mirror.WaitFor(p.MaxZoneDelay), Apply: v.applyZone,
	}, timers, log)
	return v
}

// Run follows the store until ctx ends.
func (v *View) Run(ctx context.Context) {
	go v.config.Run(ctx)
	go v.zones.Run(ctx)
	v.endpoints.Run(ctx)
}

// Manifest returns the manifest in force, or nil while none is known.
func (v *View) Manifest() *manifest.Manifest { return v.manifest.Load() }

// Stale reports whether the process was paused and has not had a response from
// the store since. API keys may have been revoked meanwhile, so that the
// manifest must not be trusted. While the store is known to be unreachable, the
// latest manifest stays in force and Stale is false.
func (v *View) Stale() bool { return v.config.Stale() }

// Synced reports whether a manifest, all endpoints and all zones out of service
// have been read from the store.
func (v *View) Synced() bool {
	return v.Manifest() != nil && v.endpoints.Synced() && v.zones.Synced()
}

func (v *View) applyManifest(r records.Record) {
	if r.Name != v.formats.ManifestName || r.Deleted {
		return
	}
	m, err := v.formats.Manifest(r)
	if err != nil {
		v.log.WithField(logs.Cause, err.Error()).Error("invalid manifest; the previous one stays in force")
		return
	}
	if current := v.manifest.Load(); current != nil && m.Version < current.Version {
		v.log.WithFields(logrus.Fields{"manifest": m.Version, "current": current.Version}).Warn("older manifest ignored")
		return
	}
	v.manifest.Store(m)
	warmups := map[string]replica.Warmup{}
	for _, s := range m.Services() {
		warmups[s.Name] = replica.Warmup{Duration: s.SlowStart, Rate: s.ColdRate}
	}
	v.fleet.SetWarmups(warmups)
	v.log.WithFields(logrus.Fields{"manifest": m.Version, "revision": r.Revision}).Info("manifest in force")
}

func (v *View) applyEndpoint(r records.Record) {
	if r.Deleted {
		v.log.WithField(logs.Endpoint, r.Name).Info("endpoint entry gone")
		v.fleet.Remove(r.Name, v.endpoints.RecoveredAt())
		return
	}
	e, err := v.formats.Endpoint(r)
	if err != nil {
		v.log.WithFields(logrus.Fields{logs.Endpoint: r.Name, logs.Cause: err.Error()}).Warn("invalid endpoint entry ignored")
		v.fleet.Remove(r.Name, time.Time{})
		return
	}
	v.fleet.Put(e)
	v.log.WithFields(logrus.Fields{
		logs.Endpoint: e.ID, "service": e.Service, "address": e.Address, logs.Zone: e.Zone,
		"draining": e.Draining, "cold_ms": e.Cold.Milliseconds(), "revision": r.Revision, "versions": e.Models,
	}).Info("endpoint entry")
}

func (v *View) applyZone(r records.Record) {
	v.fleet.SetZoneOut(r.Name, !r.Deleted)
	v.log.WithFields(logrus.Fields{logs.Zone: r.Name, "out": !r.Deleted, "revision": r.Revision}).Info("availability zone")
}
