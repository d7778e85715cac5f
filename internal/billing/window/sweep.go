package window

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

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
	// confirmWindows is the number of windows for which a record must have been old
	// until it is removed. A time of day that is wrong for less than that removes none.
	confirmWindows = sweepInterval / 2
)

// recordName identifies a record.
type recordName struct{ kind, name string }

// sweep removes the counts and reports of windows older than retainedWindows that an
// earlier sweep of this process has found as well.
func (r *Reporter) sweep(ctx context.Context, current int64) {
	oldest := current - retainedWindows
	seenOld := map[recordName]time.Duration{}
	for _, kind := range []string{kindCounts, kindReports} {
		// Names begin with the window number, so the oldest records are listed
		// first.
		listed, err := r.store.ListFrom(ctx, kind, "", func(p records.Record) bool {
			window, known := windowOf(p.Name)
			return !known || window < oldest
		})
		for _, old := range listed.Records {
			if _, known := windowOf(old.Name); !known {
				continue
			}
			id := recordName{kind, old.Name}
			seenOld[id] = r.oldSince(id)
			if err == nil && r.confirmed(seenOld[id]) {
				err = r.remove(ctx, id)
			}
		}
		if err != nil {
			r.log.WithFields(logrus.Fields{"kind": kind, logs.Cause: err.Error()}).Warn("old records not removed")
		}
	}
	r.seenOld = seenOld
}

// remove deletes a record, which may be missing.
func (r *Reporter) remove(ctx context.Context, id recordName) error {
	if err := r.store.Delete(ctx, id.kind, id.name); !errors.Is(err, records.ErrMissing) {
		return err
	}
	return nil
}

// oldSince returns the uptime at which a record that is old was first found to be so.
func (r *Reporter) oldSince(id recordName) time.Duration {
	if since, known := r.seenOld[id]; known {
		return since
	}
	return r.timers.Uptime()
}

// confirmed reports whether a record that is old since the given uptime may be removed.
func (r *Reporter) confirmed(since time.Duration) bool {
	return r.timers.Uptime()-since >= confirmWindows*r.options.Length
}

// windowOf returns the window number at the start of a record name. known is
// false for a name that this package did not write.
func windowOf(name string) (window int64, known bool) {
	number, _, _ := strings.Cut(name, ".")
	window, err := strconv.ParseInt(number, 10, 64)
	return window, err == nil
}
