// Package usage keeps the usage records of an instance until they are sealed
// in the platform's store, and second copies of other instances' records.
//
// A record is appended to the instance's log under an increasing index. It is
// copied to a second instance, in another availability zone if there is one, or
// to the data folder. When a window has passed, its records are sealed: their
// totals are stored as one object, a segment. The object's name contains only the
// first index, so two sealers of the same range compete for one name, and the
// loser continues after the winner's last index. Both the owner and any holder of
// a copy may therefore seal at any time without a lease.
//
// # Usage
//
//	log := usage.New(settings, timers, usage.Seams{View: directory.View, Client: client, Create: create}, meters, logger)
//	router.Handle(usage.CopiesPathPrefix, log.Server())
//	go log.Run(ctx)
//	err := log.Append(ctx, usage.Record{Account: "acme", Class: "generate", Requests: 1})
package usage

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"
)

// Kind is the kind of the objects that hold segments.
const Kind = "usage"

// Record is the usage of one or more requests.
type Record struct {
	Account   string `json:"account"`
	Class     string `json:"class"`
	Requests  int64  `json:"requests"`
	TokensIn  int64  `json:"tokens_in"`
	TokensOut int64  `json:"tokens_out"`
	Cost      int64  `json:"cost"`
}

// Plus returns the record with the amounts of other added.
func (r Record) Plus(other Record) Record {
	r.Requests += other.Requests
	r.TokensIn += other.TokensIn
	r.TokensOut += other.TokensOut
	r.Cost += other.Cost
	return r
}

// Totals sums records by account and class and sorts the sums in that order.
func Totals(records []Record) []Record {
	type key struct{ account, class string }
	sums := map[key]Record{}
	for _, r := range records {
		k := key{r.Account, r.Class}
		sums[k] = Record{Account: r.Account, Class: r.Class}.Plus(sums[k]).Plus(r)
	}
	out := make([]Record, 0, len(sums))
	for _, r := range sums {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Class, b.Class))
	})
	return out
}

// Rows are totals that are encoded compactly: each row is an array of account,
// class, requests, tokens in, tokens out and cost. A reporter reads a segment of
// each instance in each window; encoded as objects, the totals of 8 accounts took
// 2.1 times the bytes.
type Rows []Record

// MarshalJSON encodes the rows as arrays.
func (r Rows) MarshalJSON() ([]byte, error) {
	out := make([][6]any, 0, len(r))
	for _, t := range r {
		out = append(out, [6]any{t.Account, t.Class, t.Requests, t.TokensIn, t.TokensOut, t.Cost})
	}
	return json.Marshal(out)
}

// UnmarshalJSON decodes rows that are arrays of six values.
func (r *Rows) UnmarshalJSON(raw []byte) error {
	var rows []json.RawMessage
	if err := json.Unmarshal(raw, &rows); err != nil {
		return err
	}
	*r = make(Rows, len(rows))
	for i, row := range rows {
		t := &(*r)[i]
		fields := []any{&t.Account, &t.Class, &t.Requests, &t.TokensIn, &t.TokensOut, &t.Cost}
		if err := json.Unmarshal(row, &fields); err != nil {
			return err
		}
		if len(fields) != 6 {
			return eris.Errorf("totals row has %d values, want 6", len(fields))
		}
	}
	return nil
}

// Segment is the value of a sealed object. It covers the records First to Last of
// one incarnation of an instance, all of one window. Sealer is the instance that
// created it.
type Segment struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	Window      int64  `json:"window"`
	First       uint64 `json:"first"`
	Last        uint64 `json:"last"`
	Sealer      string `json:"sealer"`
	Totals      Rows   `json:"totals"`
}

// SegmentName returns the object name of the segment that starts at index first.
func SegmentName(instance, incarnation string, first uint64) string {
	return instance + "-" + incarnation + "-" + strconv.FormatUint(first, 10)
}

// Create stores an object unless one with that name exists. It returns the value
// in the store after the call and whether this call created it.
type Create func(ctx context.Context, kind, name string, value []byte) (stored []byte, created bool, err error)

// entry is a record and the window to which it belongs.
type entry struct {
	window int64
	record Record
}

// tail is the unsealed end of an incarnation's log: a contiguous range of records
// that are not known to be sealed. base is the index of the first one. It is
// always a possible start of a segment, that is, 1 or the index after the last one
// of an existing segment.
type tail struct {
	owner       string
	incarnation string
	base        uint64
	entries     []entry
}

// through returns the index of the last record, or base-1 if there is none.
func (t *tail) through() uint64 { return t.base + uint64(len(t.entries)) - 1 }

// trim drops the entries up to index through and moves base after it.
func (t *tail) trim(through uint64) {
	if through < t.base {
		return
	}
	n := min(through-t.base+1, uint64(len(t.entries)))
	t.entries = slices.Clone(t.entries[n:])
	t.base = through + 1
}

// seal creates the segments of the entries before the given window and returns the
// last sealed index. It may be after the end of the tail if another sealer had
// more records.
func (t tail) seal(ctx context.Context, create Create, sealer string, before int64) (uint64, error) {
	for len(t.entries) > 0 && t.entries[0].window < before {
		sealed, err := t.sealWindow(ctx, create, sealer)
		if err != nil {
			return t.base - 1, err
		}
		t.trim(sealed)
	}
	return t.base - 1, nil
}

// sealWindow creates the segment of the leading entries that belong to one window
// and returns its last index. If another sealer has created the segment, that is
// the last index of its segment.
func (t tail) sealWindow(ctx context.Context, create Create, sealer string) (uint64, error) {
	window := t.entries[0].window
	records := make([]Record, 0, len(t.entries))
	for _, e := range t.entries {
		if e.window != window {
			break
		}
		records = append(records, e.record)
	}
	segment := Segment{
		Instance: t.owner, Incarnation: t.incarnation, Window: window,
		First: t.base, Last: t.base + uint64(len(records)) - 1, Sealer: sealer, Totals: Totals(records),
	}
	value, err := json.Marshal(segment)
	if err != nil {
		return 0, eris.Wrap(err, "encode segment")
	}
	name := SegmentName(t.owner, t.incarnation, t.base)
	stored, created, err := create(ctx, Kind, name, value)
	if err != nil {
		return 0, eris.Wrapf(err, "create segment %s", name)
	}
	if created {
		return segment.Last, nil
	}
	var winner Segment
	if err := json.Unmarshal(stored, &winner); err != nil {
		return 0, eris.Wrapf(err, "decode segment %s", name)
	}
	if winner.First != t.base || winner.Last < winner.First {
		return 0, eris.Errorf("segment %s has the invalid range %d to %d", name, winner.First, winner.Last)
	}
	return winner.Last, nil
}
