// Package report sends one usage report for each window to the usage intake.
//
// The report of window W is stored as the object report/W. It is created
// conditionally, from the segments with revisions after those of report W-1, and
// only then sent, so two reporters can never send different figures. Every
// window from the first on has a report, which may be empty. The object
// report/W-sent is the sent marker: it records that the intake has confirmed the
// report. Report W+1 is created only after that, and a new reporter sends again
// only a report without this marker.
//
// # Usage
//
//	reporter := report.New(settings, timers, report.Seams{Held: lease.Held, Send: client.Send, Get: get, Create: create, List: list}, meters, logger)
//	go reporter.Run(ctx)
package report

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/billing/usage"
)

const (
	// Kind is the kind of the objects that hold reports.
	Kind = "report"
	// Lease is the name of the lease that a reporter must hold to send reports.
	Lease = "report"

	firstWindowName = "first"
	sentSuffix      = "-sent"

	stepInterval = time.Second
	// delayDivisor sets the delay of a report after the end of its window: the
	// window's length divided by it. This is twice the time over which instances
	// spread their sealing.
	delayDivisor = 6
)

// Seams are the functions that a reporter needs.
type Seams struct {
	// Held returns the fencing token of the lease and whether it is held.
	Held   func() (fence uint64, ok bool)
	Get    func(ctx context.Context, kind, name string) (value []byte, found bool, err error)
	Create usage.Create
	// List returns the objects of a kind changed after a revision.
	List func(ctx context.Context, kind string, after uint64) ([]Object, error)
	// Send sends a report to the intake. It must use a connection that refuses to
	// write once the lease is lost.
	Send func(ctx context.Context, window int64, body []byte, fence uint64, holder string) error
}

// Reporter creates and sends reports while its instance holds the lease.
type Reporter struct {
	settings setting.Settings
	timers   *clock.Service
	seams    Seams
	log      *logrus.Entry

	fence uint64 // the fencing token under which last was read; 0 if none
	last  storedReport

	sent, late, invalid *meter.Counter
}

// storedReport is a report that exists in the store.
type storedReport struct {
	window  int64
	through uint64
	body    []byte
	// sent means that the intake has confirmed the report; recorded means that
	// the sent marker is in the store too.
	sent, recorded bool
}

// New returns a reporter that sends nothing until Run or Step is called.
func New(settings setting.Settings, timers *clock.Service, seams Seams, meters *meter.Set, log *logrus.Entry) *Reporter {
	return &Reporter{
		settings: settings, timers: timers.WithoutSteps(), seams: seams, log: log,
		sent: meters.Counter("usage_reports"), late: meters.Counter("usage_late_entries"),
		invalid: meters.Counter("usage_invalid_segments"),
	}
}

// Run calls Step once a second until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	ticks := r.timers.Subscribe(stepInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
		}
		if err := r.Step(ctx); err != nil {
			r.log.WithField(logs.Window, r.last.window).WithField(logs.Cause, err.Error()).Warn("usage report is delayed")
		}
	}
}

// Step creates and sends all reports that are due, if the lease is held. Under
// a new fencing token it first reads the last report from the store.
func (r *Reporter) Step(ctx context.Context) error {
	fence, held := r.seams.Held()
	if !held {
		r.fence = 0
		return nil
	}
	if fence != r.fence {
		last, err := r.findLast(ctx)
		if err != nil {
			return err
		}
		r.last, r.fence = last, fence
	}
	for {
		if err := r.deliver(ctx); err != nil {
			return err
		}
		if r.last.window >= r.lastDueWindow() {
			return nil
		}
		if err := r.create(ctx, r.last.window+1); err != nil {
			return err
		}
	}
}

// lastDueWindow returns the last window whose report is due.
func (r *Reporter) lastDueWindow() int64 {
	delay := r.settings.WindowMS / delayDivisor
	return (r.timers.Now().UnixMilli()-delay)/r.settings.WindowMS - 1
}

// findLast returns the last report in the store. Reports have no gaps, so it
// does a binary search from the first window to the last due one. A stale read
// may make it return an earlier report; create then finds that the next report
// exists and continues from there.
func (r *Reporter) findLast(ctx context.Context) (storedReport, error) {
	first, err := r.firstWindow(ctx)
	if err != nil {
		return storedReport{}, err
	}
	last := storedReport{window: first - 1, sent: true, recorded: true}
	low, high := first, max(r.lastDueWindow(), first)
	for low <= high {
		middle := (low + high) / 2
		value, found, err := r.seams.Get(ctx, Kind, objectName(middle))
		if err != nil {
			return storedReport{}, eris.Wrapf(err, "read report %d", middle)
		}
		if !found {
			high = middle - 1
			continue
		}
		if last, err = decodeReport(middle, value); err != nil {
			return storedReport{}, err
		}
		low = middle + 1
	}
	if last.window >= first {
		err = r.readSentMarker(ctx, &last)
	}
	return last, err
}

// readSentMarker sets sent and recorded from the marker in the store.
func (r *Reporter) readSentMarker(ctx context.Context, stored *storedReport) error {
	_, found, err := r.seams.Get(ctx, Kind, objectName(stored.window)+sentSuffix)
	stored.sent, stored.recorded = found, found
	return eris.Wrapf(err, "read the sent marker of report %d", stored.window)
}

// firstWindow returns the first window with a report. Conditional creation makes
// reporters that start at the same time agree on it.
func (r *Reporter) firstWindow(ctx context.Context) (int64, error) {
	value := []byte(`{"window":` + strconv.FormatInt(r.lastDueWindow(), 10) + `}`)
	value, _, err := r.seams.Create(ctx, Kind, firstWindowName, value)
	if err != nil {
		return 0, eris.Wrap(err, "create the first window object")
	}
	var first struct {
		Window int64 `json:"window"`
	}
	return first.Window, eris.Wrap(json.Unmarshal(value, &first), "decode the first window object")
}

// create stores the report of a window, or reads the one that another reporter
// has stored first.
func (r *Reporter) create(ctx context.Context, window int64) error {
	segments, err := r.seams.List(ctx, usage.Kind, r.last.through)
	if err != nil {
		return eris.Wrap(err, "list segments")
	}
	report, invalid := build(window, r.last.through, segments)
	for _, err := range invalid {
		r.invalid.Add("", 1)
		r.log.WithField(logs.Cause, err.Error()).Error("skipping invalid usage segment")
	}
	value, err := json.Marshal(report)
	if err != nil {
		return eris.Wrap(err, "encode report")
	}
	stored, created, err := r.seams.Create(ctx, Kind, objectName(window), value)
	if err != nil {
		return eris.Wrapf(err, "create report %d", window)
	}
	if created {
		for _, e := range report.Entries {
			if e.Window < window {
				r.late.Add(e.Account, 1)
			}
		}
	}
	last, err := decodeReport(window, stored)
	if err == nil && !created {
		err = r.readSentMarker(ctx, &last)
	}
	if err == nil {
		r.last = last
	}
	return err
}

// deliver sends the last report unless the intake has confirmed it, and records
// the confirmation in the store. The body is always the stored value in compact
// form, because a store may return the same JSON value with other spacing.
func (r *Reporter) deliver(ctx context.Context) error {
	if r.last.recorded {
		return nil
	}
	fence, held := r.seams.Held()
	if !held || fence != r.fence {
		return eris.New("the lease is lost")
	}
	if !r.last.sent {
		if err := r.seams.Send(ctx, r.last.window, r.last.body, fence, r.settings.ID); err != nil {
			return err
		}
		r.last.sent = true
		r.sent.Add("", 1)
	}
	marker := []byte(`{"holder":` + strconv.Quote(r.settings.ID) + `,"fence":` + strconv.FormatUint(fence, 10) + `}`)
	_, _, err := r.seams.Create(ctx, Kind, objectName(r.last.window)+sentSuffix, marker)
	r.last.recorded = err == nil
	return eris.Wrapf(err, "create the sent marker of report %d", r.last.window)
}

func objectName(window int64) string { return strconv.FormatInt(window, 10) }

// decodeReport parses a stored report and compacts its body.
func decodeReport(window int64, value []byte) (storedReport, error) {
	var report Report
	if err := json.Unmarshal(value, &report); err != nil {
		return storedReport{}, eris.Wrapf(err, "decode report %d", window)
	}
	var body bytes.Buffer
	if err := json.Compact(&body, value); err != nil {
		return storedReport{}, eris.Wrapf(err, "compact report %d", window)
	}
	return storedReport{window: window, through: report.Through, body: body.Bytes()}, nil
}
