package weights

import (
	"context"
	"errors"

	"github.com/wigeonpin/wigeonpin/internal/control/leader"
)

// The reasons for which a load is not carried out.
var (
	errTurnOver = errors.New("the role is no longer held")
	errBusy     = errors.New("the engine carries out another order")
	errRefused  = errors.New("the engine refused the order")
	errTooLong  = errors.New("the load takes too long")
)

// carryOut makes one load. An order names the engine's count of orders, so
// that an order that is carried out late, after a newer one, has no effect.
func (p *Planner) carryOut(ctx context.Context, turn *leader.Turn, s step) error {
	report, err := p.seams.Report(ctx, s.entry)
	if err != nil {
		return err
	}
	if report.Versions[s.model] >= s.version {
		p.seams.Fleet.Learn(s.entry.ID, s.model, report.Versions[s.model])
		return nil
	}
	if report.Busy {
		return p.await(ctx, s, errBusy)
	}
	if !turn.Held() {
		return errTurnOver
	}
	p.seams.Fleet.SetLoading(s.entry.ID, s.model)
	verdict, err := p.seams.Send(ctx, s.entry, Order{
		Model: s.model, Version: s.version, Keep: s.keep, Epoch: turn.Epoch, Expected: report.Sequence,
	})
	if err != nil {
		// The order may be carried out all the same, now or seconds later.
		return p.await(ctx, s, err)
	}
	if verdict == Refused {
		return errRefused
	}
	if verdict == Accepted {
		return p.await(ctx, s, nil)
	}
	// The answers of engines to orders and reports bear no id: what looks like the
	// answer may be a late copy of another one.
	return p.await(ctx, s, errRefused)
}

// await watches the engine until it has the version. When doubt is set and
// the engine shows no load, it returns doubt.
func (p *Planner) await(ctx context.Context, s step, doubt error) error {
	start := p.timers.Now()
	if doubt == nil {
		if err := p.timers.Sleep(ctx, loadTime); err != nil {
			return err
		}
	}
	for p.timers.Since(start) < loadLimit {
		report, err := p.seams.Report(ctx, s.entry)
		if err == nil && report.Versions[s.model] >= s.version {
			p.seams.Fleet.Learn(s.entry.ID, s.model, report.Versions[s.model])
			return nil
		}
		if doubt != nil && (err != nil || !report.Busy) {
			return doubt
		}
		if err := p.timers.Sleep(ctx, reportPeriod); err != nil {
			return err
		}
	}
	return errTooLong
}
