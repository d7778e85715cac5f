package window

import (
	"context"
	"errors"
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/peer/records"
)

const (
	// retainedWindows is the number of past windows whose records are kept. It is
	// far above backlogWindows, so that a new leader still finds all it needs.
	retainedWindows = 120
	// sweepInterval is the number of windows between two sweeps.
	sweepInterval = 60
)

// sweep removes the counts and reports of windows older than retainedWindows.
func (r *Reporter) sweep(ctx context.Context, current int64) {
	oldest := current - retainedWindows
	for _, kind := range []string{kindCounts, kindReports} {
		// Names begin with the window number, so the oldest records are listed
		// first.
		listed, err := r.store.ListFrom(ctx, kind, "", func(p records.Record) bool {
			window, known := windowOf(p.Name)
			return !known || window < oldest
		})
		for _, old := range listed.Records {
			if _, known := windowOf(old.Name); known && err == nil {
				err = r.store.Delete(ctx, kind, old.Name)
			}
			if errors.Is(err, records.ErrMissing) {
				err = nil
			}
		}
		if err != nil {
			r.log.WithFields(logrus.Fields{"kind": kind, logs.Cause: err.Error()}).Warn("old records not removed")
		}
	}
}

// windowOf returns the window number at the start of a record name. known is
// false for a name that this package did not write.
func windowOf(name string) (window int64, known bool) {
	number, _, _ := strings.Cut(name, ".")
	window, err := strconv.ParseInt(number, 10, 64)
	return window, err == nil
}
