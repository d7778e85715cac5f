package serve

import (
	"context"
	"strconv"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/billing/report"
	"github.com/wigeonpin/wigeonpin/internal/billing/usage"
	"github.com/wigeonpin/wigeonpin/internal/control/member"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
	"github.com/wigeonpin/wigeonpin/internal/peer/fleet"
	"github.com/wigeonpin/wigeonpin/internal/peer/intake"
	"github.com/wigeonpin/wigeonpin/internal/traffic/dispatch"
	"github.com/wigeonpin/wigeonpin/internal/traffic/entry"
	"github.com/wigeonpin/wigeonpin/internal/traffic/idempotency"
	"github.com/wigeonpin/wigeonpin/internal/training/step"
	"github.com/wigeonpin/wigeonpin/internal/training/version"
)

func (i *instance) recordUsage(ctx context.Context, u dispatch.Usage) error {
	return i.usage.Append(ctx, usage.Record{
		Account: u.Account, Class: u.Class, Requests: u.Requests, TokensIn: u.TokensIn, TokensOut: u.TokensOut, Cost: u.Cost,
	})
}

func (i *instance) idempotencyClient(peer member.Instance) idempotency.Once {
	return idempotency.NewOnceProtobufClient(fleet.URL(peer.Peer), i.peers)
}

// checkTrainer returns an error if the trainer no longer exists or the table
// is not fresh enough to know. Running groups then start no more samples.
func (i *instance) checkTrainer(name string) error {
	if _, ok := i.config.Table().Trainer(name); !ok {
		return code.New(code.UnknownTrainer, "no trainer has the name %q", name).WithRun(code.NotRun)
	}
	if ok, wait := i.config.Fresh(); !ok {
		return code.New(code.KeysStale, "the view of the trainers is not fresh").WithRun(code.NotRun).WithRetryAfter(wait)
	}
	return nil
}

func (i *instance) announce(ctx context.Context, trainer table.Trainer, number int) error {
	if err := i.steps.Announce(ctx, trainer.Name, number); err != nil {
		return err
	}
	i.versions.Publish(trainer.Name, number)
	return nil
}

func (i *instance) pull(ctx context.Context, trainer table.Trainer, p entry.Pull) (any, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	return i.steps.Pull(ctx, trainer, step.Pull{
		Step: strconv.Itoa(p.Step), Version: p.Version, Groups: p.Groups, GroupSize: p.GroupSize, Prompts: p.Prompts,
		MaxTokens: p.MaxTokens, Have: p.Have, WaitMS: p.Wait.Milliseconds(),
		DeadlineMS: max(p.Deadline.Sub(i.timers.Now()).Milliseconds(), 0),
	})
}

func (i *instance) listVersions(ctx context.Context, after uint64, wait time.Duration) ([]version.Object, uint64, error) {
	page, err := i.store.List(ctx, version.Kind, after, wait)
	if err != nil {
		return nil, 0, err
	}
	out := make([]version.Object, 0, len(page.Objects))
	for _, o := range page.Objects {
		if !o.Deleted {
			out = append(out, version.Object{Name: o.Name, Revision: o.Revision, Value: o.Value})
		}
	}
	return out, page.Revision, nil
}

// runReports reports usage. Without an intake in the settings, it returns at
// once.
func (i *instance) runReports(ctx context.Context) error {
	if i.settings.Intake == "" {
		return nil
	}
	held := i.leases.Hold(ctx, report.Lease)
	client := intake.New(i.settings.Intake, held.Client())
	reporter := report.New(i.settings, i.timers, report.Seams{
		Held: held.Held, Get: i.getReport, Create: i.create, List: i.listReports, Send: client.Send,
	}, i.meters, i.log)
	return reporter.Run(ctx)
}

func (i *instance) getReport(ctx context.Context, kind, name string) (value []byte, found bool, err error) {
	object, found, err := i.store.Get(ctx, kind, name)
	return object.Value, found, err
}

func (i *instance) listReports(ctx context.Context, kind string, after uint64) ([]report.Object, error) {
	page, err := i.store.List(ctx, kind, after, 0)
	if err != nil {
		return nil, err
	}
	out := make([]report.Object, 0, len(page.Objects))
	for _, o := range page.Objects {
		out = append(out, report.Object{Name: o.Name, Revision: o.Revision, Value: o.Value, Deleted: o.Deleted})
	}
	return out, nil
}
