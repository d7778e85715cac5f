package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/fleet/reach"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
)

// maxMoves bounds how often an item is moved to a faster engine.
const maxMoves = 3

// moveRules define when a run is moved to a faster engine: after the given time
// on an engine that is slower by at least the given ratio.
var moveRules = []struct {
	after time.Duration
	ratio float64
}{
	{300 * time.Millisecond, 1.8},
	{1500 * time.Millisecond, 1.2},
}

// shouldMove reports whether the item should be moved to a faster engine.
func (r *Runner) shouldMove(t *task, now time.Time) bool {
	if t.moves >= maxMoves {
		return false
	}
	route, found := r.batchRoute(t.job.batch, t.item.Path)
	if !found || route.SingleVersion {
		return false
	}
	want := replica.Requirements{Service: route.SelectService(0), Model: t.job.batch.Model, Version: t.job.batch.MinVersion}
	slowness := 0.0
	for _, rule := range moveRules {
		if now.Sub(t.runStart) < rule.after {
			break
		}
		if slowness == 0 {
			slowness = r.seams.Fleet.Slowness(t.endpoint, want)
		}
		if slowness >= rule.ratio {
			return true
		}
	}
	return false
}

// streamingEngines returns the engines from which streams of items have begun.
func (r *Runner) streamingEngines() []reach.Streaming {
	byID := map[string]reach.Streaming{}
	for _, j := range r.jobs {
		for _, t := range j.tasks {
			last := t.lastEvent.Load()
			if t.state != stateRunning || last == 0 {
				continue
			}
			if s := byID[t.endpoint]; s.Heard.UnixNano() < last || s.Endpoint == "" {
				byID[t.endpoint] = reach.Streaming{Endpoint: t.endpoint, Zone: t.zone, Heard: time.Unix(0, last)}
			}
		}
	}
	return slices.Collect(maps.Values(byID))
}

// leaveSilentZones cancels the runs in availability zones that are out of reach
// and keeps other work away from there.
func (r *Runner) leaveSilentZones(now time.Time) {
	for _, zone := range r.reach.Check(now, r.streamingEngines()) {
		r.seams.Fleet.AvoidZone(zone)
		cancelled := 0
		for _, j := range r.jobs {
			for _, t := range j.tasks {
				if t.state == stateRunning && t.zone == zone {
					t.cancel(errZoneSilent)
					cancelled++
				}
			}
		}
		r.log.WithFields(logrus.Fields{logs.Zone: zone, "runs": cancelled}).Warn("availability zone is silent")
	}
}
