package weights

import (
	"context"
	"errors"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/control/leader"
)

// The errors of a load that was not completed.
var (
	errBusy        = errors.New("the engine is busy with another order")
	errRefused     = errors.New("the engine refused the order")
	errLoadTimeout = errors.New("the load did not complete in time")
)

// runLoad orders one load and waits until it is complete. The order names the
// number of orders that the engine has accepted, so that an order that arrives
// late, after a newer one, has no effect.
func (p *Planner) runLoad(ctx context.Context, turn *leader.Tenure, s loadTask) error {
	report, err := p.seams.Report(ctx, s.entry)
	if err != nil {
		return err
	}
	if report.Versions[s.model] >= s.version {
		p.seams.Fleet.RecordVersion(s.entry.ID, s.model, report.Versions[s.model])
		return nil
	}
	if report.Busy {
		return p.awaitLoad(ctx, s, errBusy)
	}
	if !turn.Held() {
		return leader.ErrNotHeld
	}
	p.seams.Fleet.SetLoading(s.entry.ID, s.model)
	held, cancel := turn.Context(ctx)
	verdict, err := p.seams.Send(held, s.entry, Order{
		Model: s.model, Version: s.version, KeepRequests: s.keep, Epoch: turn.Epoch, Expected: report.Sequence,
	})
	cancel()
	if err != nil {
		// The engine may still carry the order out, now or seconds later.
		return p.awaitLoad(ctx, s, err)
	}
	if verdict == Refused {
		return errRefused
	}
	if verdict == Accepted {
		return p.awaitLoad(ctx, s, nil)
	}
	// The answers of engines to orders and reports carry no ID, so this may be a
	// late copy of the answer to another call.
	return p.awaitLoad(ctx, s, errRefused)
}

// awaitLoad polls the engine until it has the version. errIfIdle is not nil when
// it is uncertain whether the engine loads; it is returned when the engine does
// not report that it is busy.
func (p *Planner) awaitLoad(ctx context.Context, s loadTask, errIfIdle error) error {
	start := p.timers.Now()
	if errIfIdle == nil {
		if loaded, err := p.awaitStreams(ctx, s, minLoadTime); loaded || err != nil {
			return err
		}
	}
	for p.timers.Since(start) < loadTimeout {
		report, err := p.seams.Report(ctx, s.entry)
		p.recordAnswer(s.entry.ID, err == nil)
		if err == nil && report.Versions[s.model] >= s.version {
			p.seams.Fleet.RecordVersion(s.entry.ID, s.model, report.Versions[s.model])
			return nil
		}
		if errIfIdle != nil && (err != nil || !report.Busy) {
			return errIfIdle
		}
		if loaded, err := p.awaitStreams(ctx, s, pollPeriod); loaded || err != nil {
			return err
		}
	}
	return errLoadTimeout
}

// recordAnswer records whether an engine with a load in progress answered.
func (p *Planner) recordAnswer(id string, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answered {
		delete(p.silent, id)
		return
	}
	p.silent[id] = true
	p.wakeUp()
}

// awaitStreams waits for the given time, or until a stream of the engine shows the
// version. Streams show it as soon as it is in use, and reports only later.
func (p *Planner) awaitStreams(ctx context.Context, s loadTask, limit time.Duration) (loaded bool, err error) {
	for start := p.timers.Now(); p.timers.Since(start) < limit; {
		if p.seams.Fleet.HasVersion(s.entry.ID, s.model, s.version) {
			return true, nil
		}
		if err := p.timers.Sleep(ctx, streamPollPeriod); err != nil {
			return false, err
		}
	}
	return false, nil
}
