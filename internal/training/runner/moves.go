package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/fleet/reach"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/training/priority"
)

// maxMoves bounds how often an item is moved from a slow or silent engine.
const maxMoves = 3

// moveRules define when a run of a batch without due time is moved to a faster engine:
// after the given time on an engine that is slower by at least the given ratio.
var moveRules = []moveRule{
	{300 * time.Millisecond, 1.8},
	{1500 * time.Millisecond, 1.2},
}

type moveRule struct {
	after time.Duration
	ratio float64
}

// streamLiveness is how recently an engine must have sent an event to count as streaming.
const streamLiveness = 300 * time.Millisecond

// moveRuns cancels the runs that should be moved, those with the least slack first. No
// more of them are moved than there are free slots.
func (r *Runner) moveRuns(now time.Time) {
	pass := movePass{now: now, othersStream: r.mostEnginesStream(now), compared: map[comparedEngine]replica.Comparison{}}
	room := map[*job]int{}
	for _, t := range r.order {
		if t.state != stateRunning || t.moves >= maxMoves {
			continue
		}
		route, found := r.batchRoute(t.job.batch, t.item.Path)
		if !found || route.SingleVersion {
			continue // the text would start over
		}
		want := replica.Requirements{Service: route.SelectService(0), Model: t.job.batch.Model, Version: t.job.batch.MinVersion}
		reason := r.moveReason(t, want, pass)
		if reason == priority.Stay {
			continue
		}
		if _, known := room[t.job]; !known {
			busy, slots := r.seams.Fleet.Occupancy(want)
			room[t.job] = slots - busy
		}
		if room[t.job] <= 0 {
			continue
		}
		room[t.job]--
		if reason == priority.Silent {
			t.cancel(errSilentEngine)
		} else {
			t.cancel(errFasterEngine)
		}
	}
}

// movePass is what the decisions of one check have in common.
type movePass struct {
	now          time.Time
	othersStream bool
	compared     map[comparedEngine]replica.Comparison
}

// comparedEngine identifies a comparison: the items of one model on one engine share it.
type comparedEngine struct {
	endpoint, service, model string
	version                  int64
}

// compare compares the engine with the others.
func (r *Runner) compare(endpoint string, want replica.Requirements, pass movePass) replica.Comparison {
	key := comparedEngine{endpoint, want.Service, want.Model, want.Version}
	c, known := pass.compared[key]
	if !known {
		c = r.seams.Fleet.Compare(endpoint, want, usualEventTime)
		pass.compared[key] = c
	}
	return c
}

// moveReason returns why the run should be moved to another engine, if it should.
func (r *Runner) moveReason(t *task, want replica.Requirements, pass movePass) priority.Reason {
	ran := pass.now.Sub(t.runStart)
	if t.job.schedule.Due <= 0 {
		if r.onSlowEngine(t, want, ran) {
			return priority.Slow
		}
		return priority.Stay
	}
	if t.class == priority.Spare {
		return priority.Stay
	}
	c := r.compare(t.endpoint, want, pass)
	return priority.Move(priority.Run{
		Class: t.class, Slack: t.slack, Ran: ran, Silent: t.silence(r.timers.Uptime()), Started: t.lastEvent.Load() != 0,
		Left: r.lengthsOf(t.job.batch).Remaining(t.item.ExpectedTokens, len(t.snapshot().pieces)),
		Here: c.Here, There: c.There, Loading: c.Loading, OthersStream: pass.othersStream,
	})
}

// onSlowEngine reports whether the moveRules apply to a run.
func (r *Runner) onSlowEngine(t *task, want replica.Requirements, ran time.Duration) bool {
	if ran < moveRules[0].after {
		return false
	}
	slowness := r.seams.Fleet.Slowness(t.endpoint, want)
	return slices.ContainsFunc(moveRules, func(rule moveRule) bool { return ran >= rule.after && slowness >= rule.ratio })
}

// silence returns the time since the latest event of the run, or since its start.
func (t *task) silence(uptime time.Duration) time.Duration {
	silent := uptime - time.Duration(t.lastActivity.Load())
	if t.lastEvent.Load() == 0 {
		silent += firstEventTimeout - stallTimeout
	}
	return silent
}

// mostEnginesStream reports whether most engines from which streams have begun sent
// events just now. Otherwise this process itself may be paused or cut off.
func (r *Runner) mostEnginesStream(now time.Time) bool {
	streaming := r.streamingEngines()
	heard := 0
	for _, s := range streaming {
		if now.Sub(s.Heard) <= streamLiveness {
			heard++
		}
	}
	return heard > 0 && 2*heard >= len(streaming)
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
