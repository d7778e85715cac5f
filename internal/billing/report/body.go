package report

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/wigeonpin/wigeonpin/internal/billing/usage"
)

// Object is an object of the platform's store with its revision.
type Object struct {
	Name     string
	Revision uint64
	Value    []byte
	Deleted  bool
}

// Report is the body of the report of one window. It covers the segments with
// revisions greater than After and at most Through.
type Report struct {
	Window   int64   `json:"window"`
	After    uint64  `json:"after"`
	Through  uint64  `json:"through"`
	Segments int     `json:"segments"`
	Entries  []Entry `json:"entries"`
}

// Entry is the usage of an account in one class and window. An entry is late if
// its window is earlier than the report's: its segment was sealed after that
// window's report.
type Entry struct {
	Window int64 `json:"window"`
	usage.Record
}

const (
	// valueLimit keeps a report below the store's limit of 1 MB for a value.
	// Segments that do not fit go into the next report.
	valueLimit = 900_000
	// entrySize is the assumed encoded size of an entry without the names of
	// account and class.
	entrySize = 200
)

// build returns the report of a window from the segments with revisions greater
// than after, and an error for each segment that cannot be decoded. Through is
// the revision of the last segment included, not the revision that the listing
// claims to have reached, because a listing may come from an older state of the
// store.
func build(window int64, after uint64, objects []Object) (Report, []error) {
	report := Report{Window: window, After: after, Through: after, Entries: []Entry{}}
	objects = slices.Clone(objects)
	slices.SortFunc(objects, func(a, b Object) int { return cmp.Compare(a.Revision, b.Revision) })
	type key struct {
		window         int64
		account, class string
	}
	sums := map[key]usage.Record{}
	var invalid []error
	size := 0
	for _, o := range objects {
		if o.Revision <= after || o.Deleted {
			continue
		}
		var segment usage.Segment
		if err := json.Unmarshal(o.Value, &segment); err != nil {
			invalid = append(invalid, eris.Wrapf(err, "decode segment %s", o.Name))
			continue
		}
		for _, t := range segment.Totals {
			if _, ok := sums[key{segment.Window, t.Account, t.Class}]; !ok {
				size += entrySize + len(t.Account) + len(t.Class)
			}
		}
		if size > valueLimit && report.Segments > 0 {
			break
		}
		for _, t := range segment.Totals {
			k := key{segment.Window, t.Account, t.Class}
			sums[k] = usage.Record{Account: t.Account, Class: t.Class}.Plus(sums[k]).Plus(t)
		}
		report.Segments++
		report.Through = o.Revision
	}
	for k, r := range sums {
		report.Entries = append(report.Entries, Entry{k.window, r})
	}
	slices.SortFunc(report.Entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Class, b.Class))
	})
	return report, invalid
}
