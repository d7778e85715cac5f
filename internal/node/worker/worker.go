// Package worker is the process that carries out batches, brings engines to
// the named weights and reports usage. Several run; one holds the role.
//
// # Usage
//
//	w := worker.New(profile, parts, timers, log)
//	w.Run(ctx)
package worker

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/billing/window"
	"github.com/wigeonpin/wigeonpin/internal/control/leader"
	"github.com/wigeonpin/wigeonpin/internal/control/mirror"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/fleet/weights"
	"github.com/wigeonpin/wigeonpin/internal/node/profile"
	"github.com/wigeonpin/wigeonpin/internal/node/view"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/traffic/forward"
	"github.com/wigeonpin/wigeonpin/internal/traffic/headers"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
	"github.com/wigeonpin/wigeonpin/internal/training/runner"
)

const (
	// coldShare is the part of what a cold engine bears that the worker sends;
	// the entry processes have the rest.
	coldShare = 0.7
	// watchTime is how long one watch waits.
	watchTime = 2 * time.Second
	// syncPeriod is how often a starting holder looks whether it knows enough.
	syncPeriod = 20 * time.Millisecond
)

// Duties are the calls that only the holder of the role makes.
type Duties struct {
	Report func(ctx context.Context, e replica.Entry) (weights.Report, error)
	Order  func(ctx context.Context, e replica.Entry, order weights.Order) (weights.Verdict, error)
	Encode func(number int64, counts map[string]int64) ([]byte, error)
	Usage  func(ctx context.Context, epoch uint64, body []byte) error
}

// Parts are what a worker gets from the platform's adapter.
type Parts struct {
	Store          records.Store
	Duties         Duties
	Formats        view.Formats
	Names          headers.Names
	VersionKind    string
	Version        func(records.Record) (model string, version int64, err error)
	RetirementKind string
	Retired        func(records.Record) bool
	Retire         func(records.Record) records.Record
}

// Worker is a worker process.
type Worker struct {
	profile profile.Profile
	parts   Parts
	timers  *clock.Service
	log     *logrus.Entry
	store   records.Store
	duties  Duties
	pool    *exchange.Pool
}

// New returns a worker.
func New(p profile.Profile, parts Parts, timers *clock.Service, log *logrus.Entry) *Worker {
	return &Worker{
		profile: p, parts: parts, timers: timers, log: log,
		store: parts.Store, duties: parts.Duties,
		pool: exchange.New(exchange.Options{Match: parts.Names.Request}),
	}
}

// Run campaigns for the role until ctx ends.
func (w *Worker) Run(ctx context.Context) {
	l := leader.New(w.store, leader.Options{Self: w.profile.Name, Term: w.profile.Lease}, w.timers, w.log)
	l.Run(ctx, w.lead)
}

// lead does the work of the role for one turn.
func (w *Worker) lead(ctx context.Context, turn *leader.Turn) {
	fleet := replica.NewFleet(w.timers, replica.Options{ColdShare: coldShare, Ceiling: 1})
	v := view.New(w.store, w.parts.Formats, fleet, w.timers, w.log)
	planner := weights.New(weights.Seams{
		Fleet: fleet, Manifest: v.Manifest, Report: w.duties.Report, Send: w.duties.Order,
	}, w.timers, w.log)
	shelf := batch.NewShelf(w.store)
	forwarder := forward.New(forward.Seams{Fleet: fleet, Pool: w.pool, Names: w.parts.Names}, w.timers, w.log)
	r := runner.New(runner.Seams{
		Shelf: shelf, Fleet: fleet, Pool: w.pool, Forwarder: forwarder, Names: w.parts.Names,
		Manifest: v.Manifest, ValueBytes: w.profile.ValueBytes,
	}, w.timers, w.log)
	reporter := window.NewReporter(w.store, window.Options{
		Length: w.profile.Window, Due: w.profile.ReportDue, Encode: w.duties.Encode, Send: w.duties.Usage,
	}, w.timers, w.log)

	var running sync.WaitGroup
	running.Go(func() { v.Run(ctx) })
	running.Go(func() { w.follow(ctx, w.parts.VersionKind, w.named(planner)).Run(ctx) })
	running.Go(func() { w.follow(ctx, w.parts.RetirementKind, w.retire(ctx, turn)).Run(ctx) })
	running.Go(func() { reporter.Run(ctx, turn) })
	running.Go(func() {
		if w.await(ctx, v.Known) {
			running.Go(func() { r.Run(ctx) })
			running.Go(func() { planner.Run(ctx, turn) })
			w.batches(ctx, r)
		}
	})
	running.Wait()
}

func (w *Worker) follow(_ context.Context, kind string, apply func(records.Record)) *mirror.Mirror {
	return mirror.New(w.store, kind, mirror.Options{Wait: watchTime, Apply: apply}, w.timers, w.log)
}

// await waits until the condition holds or ctx ends.
func (w *Worker) await(ctx context.Context, condition func() bool) bool {
	for !condition() {
		if w.timers.Sleep(ctx, syncPeriod) != nil {
			return false
		}
	}
	return ctx.Err() == nil
}

// batches follows the batches and their endings. The endings are known first,
// so that an ended batch is not started.
func (w *Worker) batches(ctx context.Context, r *runner.Runner) {
	endings := w.follow(ctx, batch.KindEndings, func(record records.Record) {
		if !record.Gone {
			r.End(ctx, record.Name)
		}
	})
	go endings.Run(ctx)
	if !w.await(ctx, endings.Synced) {
		return
	}
	var accepted *mirror.Mirror
	accepted = w.follow(ctx, batch.KindBatches, func(record records.Record) {
		if record.Gone {
			return
		}
		b, err := batch.Decode(record)
		if err != nil {
			w.log.WithField(logs.Cause, err.Error()).Error("batch not understood")
			return
		}
		r.Add(ctx, b, accepted.Synced())
	})
	accepted.Run(ctx)
}

func (w *Worker) named(planner *weights.Planner) func(records.Record) {
	return func(record records.Record) {
		if record.Gone {
			return
		}
		model, version, err := w.parts.Version(record)
		if err != nil {
			w.log.WithField(logs.Cause, err.Error()).Warn("version passed over")
			return
		}
		w.log.WithFields(logrus.Fields{logs.Model: model, "version": version, "revision": record.Revision}).Info("version named")
		planner.Name(model, version)
	}
}

// retire answers requests to empty a machine with a disk. Nothing that lasts
// lies on such a machine, so that each is empty at once.
func (w *Worker) retire(ctx context.Context, turn *leader.Turn) func(records.Record) {
	return func(record records.Record) {
		for !record.Gone && !w.parts.Retired(record) && turn.Held() && ctx.Err() == nil {
			_, err := w.store.PutStatus(ctx, w.parts.Retire(record))
			w.log.WithFields(logrus.Fields{logs.Instance: record.Name, "failed": err != nil}).Info("retirement answered")
			if err == nil {
				return
			}
			_ = w.timers.Sleep(ctx, time.Second)
			if record, err = w.store.Get(ctx, record.Kind, record.Name); err != nil {
				return
			}
		}
	}
}
