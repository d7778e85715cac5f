// Package worker is the process that carries out batches, brings engines to
// the named weights and reports usage. Several run; one holds the role.
//
// # Usage
//
//	w := worker.New(profile, parts, timers, log)
//	w.Handle(ctx, mux)
//	w.Run(ctx)
package worker

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
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
	"github.com/wigeonpin/wigeonpin/internal/training/expiry"
	"github.com/wigeonpin/wigeonpin/internal/training/runner"
)

const (
	// coldShare is the part of what a cold engine bears that the worker sends;
	// the entry processes have the rest.
	coldShare = 0.7
	// workTime is how long one watch for batches or versions waits, and
	// retireTime one for machines that are to be emptied.
	workTime   = 2 * time.Second
	retireTime = 5 * time.Second
	// termShare is the part of the time in which two holders may not take turns
	// that one term takes. Holders can alternate in no less than two terms.
	termShare = 2
	// readRetry is the pause after a batch that could not be read.
	readRetry = 300 * time.Millisecond
	// readTime is how long a new holder waits for the batches and the list of
	// the other workers.
	readTime = time.Second
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
	Peers          func() []string // addresses of the other workers
	PeersKnown     func() bool     // the list of the others was read
	Duties         Duties
	Formats        view.Formats
	Names          headers.Names
	VersionKind    string
	Version        func(records.Record) (model string, version int64, err error)
	RetirementKind string
	Retired        func(records.Record) bool
	Retire         func(records.Record) records.Record
	Meters         *meter.Set
}

// Worker is a worker process. It follows batches, versions and endpoints at all
// times, so that it knows everything when it takes the role.
type Worker struct {
	profile  profile.Profile
	parts    Parts
	timers   *clock.Service
	log      *logrus.Entry
	store    records.Store
	duties   Duties
	view     *view.View
	planner  *weights.Planner
	runner   *runner.Runner
	reporter *window.Reporter
	turn     atomic.Pointer[leader.Tenure]
	accepted atomic.Bool // all batches of the store were read
	shelf    *batch.Store
	expiry   *expiry.Expiry
}

// New returns a worker.
func New(p profile.Profile, parts Parts, timers *clock.Service, log *logrus.Entry) *Worker {
	w := &Worker{profile: p, parts: parts, timers: timers, log: log, store: parts.Store, duties: parts.Duties}
	fleet := replica.NewFleet(timers, replica.Options{ColdShare: replica.Fixed(coldShare), Overcommit: 1})
	pool := exchange.New(exchange.Options{EchoHeader: parts.Names.Request})
	w.view = view.New(w.store, parts.Formats, p, fleet, timers, log)
	w.planner = weights.New(weights.Seams{
		Fleet: fleet, Manifest: w.view.Manifest, Report: w.duties.Report, Send: w.duties.Order,
	}, timers, log)
	w.shelf = batch.NewStore(w.store, p.ValueBytes)
	w.expiry = expiry.New(w.shelf, p.ResultsKept, timers, log)
	w.runner = runner.New(runner.Seams{
		Store: w.shelf, Fleet: fleet, Pool: pool, Names: parts.Names,
		Forwarder: forward.New(forward.Seams{Fleet: fleet, Pool: pool, Names: parts.Names, Meters: parts.Meters}, timers, log),
		Manifest:  w.view.Manifest, ValueBytes: p.ValueBytes, Meters: parts.Meters,
	}, timers, log)
	w.reporter = window.NewReporter(w.store, window.Options{
		Length: p.Window, Due: p.ReportDue, Encode: w.duties.Encode, Send: w.duties.Usage,
	}, timers, log)
	return w
}

// Handle mounts the handler for calls of other workers.
func (w *Worker) Handle(ctx context.Context, mux *http.ServeMux) {
	w.runner.Mount(ctx, mux, func() bool {
		turn := w.turn.Load()
		return turn != nil && turn.Held()
	})
}

// Run campaigns for the role until ctx ends.
func (w *Worker) Run(ctx context.Context) {
	go w.view.Run(ctx)
	go w.runner.Run(ctx)
	go w.runner.CopyToStandby(ctx, w.parts.Peers)
	go w.follow(w.parts.VersionKind, workTime, w.named).Run(ctx)
	go w.batches(ctx)
	l := leader.New(w.store, leader.Options{Self: w.profile.Name, Term: w.profile.Lease / termShare}, w.timers, w.log)
	l.Run(ctx, w.lead)
}

// lead does the work of the role for one tenure.
func (w *Worker) lead(ctx context.Context, turn *leader.Tenure) {
	w.turn.Store(turn)
	var running sync.WaitGroup
	running.Go(func() { w.follow(w.parts.RetirementKind, retireTime, w.retire(ctx, turn)).Run(ctx) })
	running.Go(func() { w.reporter.Run(ctx, turn) })
	running.Go(func() { w.expiry.Run(ctx, turn.Held) })
	running.Go(func() {
		w.recall(ctx)
		if w.await(ctx, w.view.Known) {
			w.runner.SetActive(ctx, true)
			w.planner.Run(ctx, turn)
		}
	})
	running.Wait()
	// The runner may have ended with the process and read nothing more.
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	w.runner.SetActive(limited, false)
}

// recall asks the other workers for the texts of open batches. A worker that
// has just started takes the role before it has read the batches and the list
// of the others; texts that came before would be dropped.
func (w *Worker) recall(ctx context.Context) {
	limited, cancel := w.timers.WithTimeout(ctx, readTime)
	defer cancel()
	if !w.await(limited, func() bool { return w.accepted.Load() && w.parts.PeersKnown() }) {
		w.log.Warn("role taken without all batches or peers")
	}
	w.runner.Recall(ctx, w.parts.Peers())
}

func (w *Worker) follow(kind string, wait time.Duration, apply func(records.Record)) *mirror.Mirror {
	return mirror.New(w.store, kind, mirror.Options{Wait: wait, Apply: apply}, w.timers, w.log)
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
func (w *Worker) batches(ctx context.Context) {
	endings := w.follow(batch.KindEndings, mirror.WaitFor(w.profile.CancelDue), func(record records.Record) {
		if record.Deleted {
			w.expiry.EndMarkerRemoved(record.Name)
			w.runner.Forget(ctx, record.Name)
			return
		}
		w.expiry.Ended(record.Name)
		w.runner.End(ctx, record.Name)
	})
	go endings.Run(ctx)
	if !w.await(ctx, endings.Synced) {
		return
	}
	var accepted *mirror.Mirror
	accepted = w.follow(batch.KindBatches, workTime, func(record records.Record) {
		if record.Deleted {
			w.expiry.Removed(record.Name)
			return
		}
		if b := w.complete(ctx, record); b != nil {
			w.expiry.Accepted(b.ID, b.Time)
			w.runner.Add(ctx, b, accepted.Synced())
		}
	})
	go func() { w.accepted.Store(w.await(ctx, accepted.Synced)) }()
	accepted.Run(ctx)
}

// complete reads a batch with all its items. It tries again while the store is
// away, and returns nil for a record that is no batch or when ctx ends.
func (w *Worker) complete(ctx context.Context, record records.Record) *batch.Batch {
	for ctx.Err() == nil {
		b, err := w.shelf.FromRecord(ctx, record)
		if err == nil {
			return b
		}
		w.log.WithFields(logrus.Fields{"batch": record.Name, logs.Cause: err.Error()}).Error("batch not read")
		if !errors.Is(err, records.ErrRefused) && !errors.Is(err, records.ErrUnknownOutcome) {
			return nil
		}
		_ = w.timers.Sleep(ctx, readRetry)
	}
	return nil
}

// named passes a version that a trainer has named to the planner.
func (w *Worker) named(record records.Record) {
	if record.Deleted {
		return
	}
	model, version, err := w.parts.Version(record)
	if err != nil {
		w.log.WithField(logs.Cause, err.Error()).Warn("version passed over")
		return
	}
	w.log.WithFields(logrus.Fields{logs.Model: model, "version": version, "revision": record.Revision}).Info("version named")
	w.planner.Announce(model, version)
}

// retire answers requests to empty a machine with a disk. Nothing that lasts
// lies on such a machine, so that each is empty at once.
func (w *Worker) retire(ctx context.Context, turn *leader.Tenure) func(records.Record) {
	return func(record records.Record) {
		for !record.Deleted && !w.parts.Retired(record) && turn.Held() && ctx.Err() == nil {
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
