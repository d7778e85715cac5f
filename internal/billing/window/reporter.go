package window

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/control/leader"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

const (
	// sumDelayFraction is the delay from the end of a window to the summing of
	// its parts, as a fraction of Options.Due. This is near the middle of the
	// time until the report is due.
	sumDelayFraction = 0.4
	// sendRetryInterval is the pause after a failed attempt to report a window.
	sendRetryInterval = 700 * time.Millisecond
	// backlogWindows is the number of past windows that a new leader reports
	// again, in case its predecessor did not.
	backlogWindows = 4
)

// Options configure a reporter. Length is the length of a window, and Due is
// how long after the end of a window its report must have arrived. Encode
// returns the body of a report. Send delivers it and returns nil once the
// recipient has accepted it.
type Options struct {
	Length time.Duration
	Due    time.Duration
	Encode func(number int64, counts map[string]int64) ([]byte, error)
	Send   func(ctx context.Context, epoch uint64, body []byte) error
}

// Reporter sends one report for each window while its process is the leader.
type Reporter struct {
	store   records.Store
	options Options
	timers  *clock.Service
	log     *logrus.Entry
	// seenOld holds the uptime at which each record was first found to be old.
	seenOld map[recordName]time.Duration
}

// NewReporter returns a reporter that reads the counts from store and keeps the
// reports in it.
func NewReporter(store records.Store, options Options, timers *clock.Service, log *logrus.Entry) *Reporter {
	return &Reporter{
		store: store, options: options, timers: timers.WithoutSteps(), log: log, seenOld: map[recordName]time.Duration{},
	}
}

// Run reports each window in the given leader's turn, until ctx ends. A report
// that cannot be sent is retried until twice the due time has passed.
func (r *Reporter) Run(ctx context.Context, turn *leader.Tenure) {
	wait := time.Duration(sumDelayFraction * float64(r.options.Due))
	number := Number(r.timers.Now().Add(-wait), r.options.Length) - backlogWindows
	for ctx.Err() == nil {
		due := end(number, r.options.Length).Add(wait)
		if r.timers.Sleep(ctx, due.Sub(r.timers.Now())) != nil {
			return
		}
		for ctx.Err() == nil {
			err := r.report(ctx, turn, number)
			if err == nil {
				break
			}
			r.log.WithFields(logrus.Fields{logs.Window: number, logs.Cause: err.Error()}).Warn("window not reported")
			if r.timers.Now().After(end(number, r.options.Length).Add(2 * r.options.Due)) {
				break
			}
			_ = r.timers.Sleep(ctx, sendRetryInterval)
		}
		if number%sweepInterval == 0 && turn.Held() {
			r.sweep(ctx, number)
		}
		number++
	}
}

// storedReport is the value of a record of kind "reports".
type storedReport struct {
	Report []byte `json:"report"`
	Epoch  uint64 `json:"epoch"`
}

// report sends the report of a window and creates it first if the store has
// none.
func (r *Reporter) report(ctx context.Context, turn *leader.Tenure, number int64) error {
	name := fmt.Sprintf("%d", number)
	found, err := r.store.Get(ctx, kindReports, name)
	if errors.Is(err, records.ErrMissing) {
		found, err = r.createReport(ctx, name, number, turn.Epoch)
	}
	if err != nil {
		return err
	}
	var s storedReport
	if err := json.Unmarshal(found.Body, &s); err != nil {
		return err
	}
	if !turn.Held() {
		return leader.ErrNotHeld
	}
	held, cancel := turn.Context(ctx)
	defer cancel()
	if err := r.options.Send(held, turn.Epoch, s.Report); err != nil {
		return err
	}
	r.log.WithFields(logrus.Fields{logs.Window: number, logs.Fence: turn.Epoch, "report": string(s.Report)}).Info("window reported")
	return nil
}

// createReport sums the parts of a window and stores the report. If another
// leader has stored one first, it returns that report.
func (r *Reporter) createReport(ctx context.Context, name string, number int64, epoch uint64) (records.Record, error) {
	prefix := name + "."
	parts, err := r.store.ListFrom(ctx, kindCounts, prefix, func(p records.Record) bool {
		return strings.HasPrefix(p.Name, prefix)
	})
	if err != nil {
		return records.Record{}, err
	}
	total := map[string]int64{}
	for _, part := range parts.Records {
		var counts map[string]int64
		if err := json.Unmarshal(part.Body, &counts); err != nil {
			return records.Record{}, err
		}
		for account, count := range counts {
			total[account] += count
		}
	}
	report, err := r.options.Encode(number, total)
	if err != nil {
		return records.Record{}, err
	}
	body, err := json.Marshal(storedReport{Report: report, Epoch: epoch})
	if err != nil {
		return records.Record{}, err
	}
	record := records.Record{Kind: kindReports, Name: name, Body: body}
	if _, err := r.store.Create(ctx, record); err != nil {
		if errors.Is(err, records.ErrConflict) {
			return r.store.Get(ctx, kindReports, name)
		}
		return records.Record{}, err
	}
	return record, nil
}
