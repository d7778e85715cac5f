// Package worker implements the process that runs batches, rolls out weight
// versions to the engines and reports usage. Several workers run; the one that
// holds the worker role does this work, and the others are standbys.
//
// # Usage
//
//	w := worker.New(profile, deps, timers, log)
//	w.Mount(ctx, mux)
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
	"github.com/wigeonpin/wigeonpin/internal/fleet/ratelimit"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
	"github.com/wigeonpin/wigeonpin/internal/fleet/weights"
	"github.com/wigeonpin/wigeonpin/internal/node/profile"
	"github.com/wigeonpin/wigeonpin/internal/node/view"
	"github.com/wigeonpin/wigeonpin/internal/peer/exchange"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
	"github.com/wigeonpin/wigeonpin/internal/traffic/breaker"
	"github.com/wigeonpin/wigeonpin/internal/traffic/forward"
	"github.com/wigeonpin/wigeonpin/internal/traffic/headers"
	"github.com/wigeonpin/wigeonpin/internal/training/batch"
	"github.com/wigeonpin/wigeonpin/internal/training/expiry"
	"github.com/wigeonpin/wigeonpin/internal/training/runner"
)

const (
	// watchTimeout is how long one watch for batches or versions waits, and
	// retirementWatchTimeout one for retirement requests of machines.
	watchTimeout           = 2 * time.Second
	retirementWatchTimeout = 5 * time.Second
	// termsPerLease is the number of lease terms in the profile's Lease, which
	// is the minimum time in which the role may alternate between two holders.
	// Package leader ensures that this takes at least two terms.
	termsPerLease = 2
	// readRetryDelay is the delay before another attempt to read a batch.
	readRetryDelay = 300 * time.Millisecond
	// pollInterval is the polling interval while a worker waits until records
	// have been read.
	pollInterval = 20 * time.Millisecond
)

// Duties are the calls that only the holder of the worker role makes.
type Duties struct {
	// Report asks an engine for its weights.
	Report func(ctx context.Context, e replica.Entry) (weights.Report, error)
	// Order sends an order to load weights to an engine.
	Order func(ctx context.Context, e replica.Entry, order weights.Order) (weights.Verdict, error)
	// EncodeUsage returns the body of the usage report of a window.
	EncodeUsage func(number int64, counts map[string]int64) ([]byte, error)
	// SendUsage sends the body of a usage report. The epoch is the fencing
	// token.
	SendUsage func(ctx context.Context, epoch uint64, body []byte) error
}

// Dependencies connect a worker to the platform and to the other workers.
type Dependencies struct {
	Store       records.Store
	Peers       func() []string // addresses of the other workers
	PeersSynced func() bool     // whether the list of the other workers has been read
	// ExpirePeers removes the records of processes that are gone until ctx ends, while
	// held reports true.
	ExpirePeers    func(ctx context.Context, held func() bool)
	Duties         Duties
	Formats        view.Formats
	Names          headers.Names
	VersionKind    string                                                        // kind of the records that name weight versions
	DecodeVersion  func(records.Record) (model string, version int64, err error) // decodes such a record
	RetirementKind string                                                        // kind of the records that request the retirement of a machine
	IsRetired      func(records.Record) bool                                     // whether such a request is answered
	MarkRetired    func(records.Record) records.Record                           // returns the request with the answer in its status
	Meters         *meter.Set
	Limiter        *ratelimit.Limiter // shares the request rates of limited and cold endpoints
	Breaker        *breaker.Breaker   // knows the items and scoring calls whose content crashes endpoints
}

// Worker is a worker process. It follows batches, versions and endpoints also
// while it does not hold the role, so that it can take over at once.
type Worker struct {
	profile       profile.Profile
	deps          Dependencies
	timers        *clock.Service
	log           *logrus.Entry
	store         records.Store
	duties        Duties
	view          *view.View
	planner       *weights.Planner
	runner        *runner.Runner
	reporter      *window.Reporter
	tenure        atomic.Pointer[leader.Tenure]
	batchesSynced atomic.Bool // all batches in the store have been read
	batches       *batch.Store
	expiry        *expiry.Expiry
}

// New returns a worker that Run starts.
func New(p profile.Profile, deps Dependencies, timers *clock.Service, log *logrus.Entry) *Worker {
	w := &Worker{profile: p, deps: deps, timers: timers, log: log, store: deps.Store, duties: deps.Duties}
	fleet := replica.NewFleet(timers, replica.Options{Overcommit: 1, Limiter: deps.Limiter})
	pool := exchange.New(exchange.Options{EchoHeader: deps.Names.Request})
	w.view = view.New(w.store, deps.Formats, p, fleet, timers, log)
	demand := weights.NewDemand(timers)
	w.planner = weights.New(weights.Seams{
		Fleet: fleet, Manifest: w.view.Manifest, Report: w.duties.Report, Send: w.duties.Order, Demand: demand,
	}, timers, log)
	w.batches = batch.NewStore(w.store, p.MaxValueBytes)
	w.expiry = expiry.New(w.batches, p.ResultRetention, timers, log)
	w.runner = runner.New(runner.Seams{
		Store: w.batches, Fleet: fleet, Pool: pool, Names: deps.Names,
		Forwarder: forward.New(forward.Seams{
			Fleet: fleet, Pool: pool, Names: deps.Names, Meters: deps.Meters, Breaker: deps.Breaker,
		}, timers, log),
		Manifest: w.view.Manifest, ValueBytes: p.MaxValueBytes, Meters: deps.Meters,
		OnBatch: demand.Add, Role: w.role, Memory: p.MemoryBytes, Breaker: deps.Breaker,
	}, timers, log)
	w.reporter = window.NewReporter(w.store, window.Options{
		Length: p.Window, Due: p.MaxReportDelay, Encode: w.duties.EncodeUsage, Send: w.duties.SendUsage,
	}, timers, log)
	return w
}

// Mount registers the handlers for calls of other processes on mux.
func (w *Worker) Mount(ctx context.Context, mux *http.ServeMux) {
	w.runner.Mount(ctx, mux)
}

// role returns what this worker knows of the worker role.
func (w *Worker) role() runner.Role {
	tenure := w.tenure.Load()
	if tenure == nil {
		return runner.Role{}
	}
	return runner.Role{Epoch: tenure.Epoch, Held: tenure.Held()}
}

// Run follows the store and campaigns for the worker role until ctx ends.
func (w *Worker) Run(ctx context.Context) {
	go w.view.Run(ctx)
	go w.runner.Run(ctx)
	go w.runner.CopyToStandby(ctx, w.deps.Peers)
	go w.runner.SaveTexts(ctx)
	go w.follow(w.deps.VersionKind, watchTimeout, w.applyVersion).Run(ctx)
	go w.followBatches(ctx)
	l := leader.New(w.store, leader.Options{
		Self: w.profile.Name, Term: w.profile.Lease / termsPerLease, Ready: w.synced,
	}, w.timers, w.log)
	l.Run(ctx, w.lead)
}

// lead does the work of the role until ctx ends with the tenure.
func (w *Worker) lead(ctx context.Context, tenure *leader.Tenure) {
	w.tenure.Store(tenure)
	var running sync.WaitGroup
	running.Go(func() {
		w.follow(w.deps.RetirementKind, retirementWatchTimeout, w.answerRetirements(ctx, tenure)).Run(ctx)
	})
	running.Go(func() { w.reporter.Run(ctx, tenure) })
	running.Go(func() { w.expiry.Run(ctx, tenure.Held) })
	running.Go(func() { w.deps.ExpirePeers(ctx, tenure.Held) })
	running.Go(func() {
		if !w.synced() {
			w.log.Warn("role taken before all batches and peers were read")
		}
		if w.await(ctx, w.view.Synced) {
			w.runner.Resume(ctx, w.deps.Peers())
			w.planner.Run(ctx, tenure)
		}
	})
	running.Wait()
	// When the process ends, the runner may have stopped already and never take
	// the call; the timeout keeps lead from blocking then.
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	w.runner.SetActive(limited, false)
}

// synced reports whether all batches and the list of the other workers have been
// read. The runner drops texts of unknown batches, and asks no unknown worker.
func (w *Worker) synced() bool { return w.batchesSynced.Load() && w.deps.PeersSynced() }

// follow returns a mirror of a kind of records. wait is how long one watch
// waits.
func (w *Worker) follow(kind string, wait time.Duration, apply func(records.Record)) *mirror.Mirror {
	return mirror.New(w.store, kind, mirror.Options{Wait: wait, Apply: apply}, w.timers, w.log)
}

// await polls the condition until it holds or ctx ends, and reports whether it
// holds.
func (w *Worker) await(ctx context.Context, condition func() bool) bool {
	for !condition() {
		if w.timers.Sleep(ctx, pollInterval) != nil {
			return false
		}
	}
	return ctx.Err() == nil
}

// followBatches follows the batches and their end markers. It reads the end
// markers first, so that an ended batch is not started.
func (w *Worker) followBatches(ctx context.Context) {
	endMarkers := w.follow(batch.KindEndings, mirror.WaitFor(w.profile.MaxCancelDelay), func(record records.Record) {
		if record.Deleted {
			w.expiry.EndMarkerRemoved(record.Name)
			w.runner.Forget(ctx, record.Name)
			return
		}
		w.expiry.Ended(record.Name)
		w.runner.End(ctx, record.Name)
	})
	go endMarkers.Run(ctx)
	if !w.await(ctx, endMarkers.Synced) {
		return
	}
	var batches *mirror.Mirror
	batches = w.follow(batch.KindBatches, watchTimeout, func(record records.Record) {
		if record.Deleted {
			w.expiry.Removed(record.Name)
			return
		}
		if b := w.readBatch(ctx, record); b != nil {
			w.expiry.Accepted(b.ID, b.Time)
			w.runner.Add(ctx, b, batches.Synced())
		}
	})
	go func() { w.batchesSynced.Store(w.await(ctx, batches.Synced)) }()
	batches.Run(ctx)
}

// readBatch decodes a batch, without the items of its parts. It retries while the store is
// unreachable, and returns nil for an invalid record or when ctx ends.
func (w *Worker) readBatch(ctx context.Context, record records.Record) *batch.Batch {
	for ctx.Err() == nil {
		b, err := w.batches.FromRecord(ctx, record)
		if err == nil {
			return b
		}
		w.log.WithFields(logrus.Fields{"batch": record.Name, logs.Cause: err.Error()}).Error("failed to read batch")
		if !errors.Is(err, records.ErrRefused) && !errors.Is(err, records.ErrUnknownOutcome) {
			return nil
		}
		_ = w.timers.Sleep(ctx, readRetryDelay)
	}
	return nil
}

// applyVersion passes the weight version that a record names to the planner.
func (w *Worker) applyVersion(record records.Record) {
	if record.Deleted {
		return
	}
	model, version, err := w.deps.DecodeVersion(record)
	if err != nil {
		w.log.WithField(logs.Cause, err.Error()).Warn("invalid version record ignored")
		return
	}
	w.log.WithFields(logrus.Fields{logs.Model: model, "version": version, "revision": record.Revision}).Info("version named")
	w.planner.Announce(model, version)
}

// answerRetirements returns a function that answers requests to retire a
// machine with a disk. The system keeps no durable data on such machines, so
// that there is nothing to move away and each request is answered at once.
func (w *Worker) answerRetirements(ctx context.Context, tenure *leader.Tenure) func(records.Record) {
	return func(record records.Record) {
		for !record.Deleted && !w.deps.IsRetired(record) && tenure.Held() && ctx.Err() == nil {
			_, err := w.store.PutStatus(ctx, w.deps.MarkRetired(record))
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
