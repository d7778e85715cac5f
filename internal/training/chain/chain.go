// Package chain reconstructs from the logs of the processes what became of each
// batch: when it was accepted, started, interrupted and ended, and how many calls to
// the store the processes made meanwhile. It reads nothing but logs, so that it works
// on those of any run.
//
// # Usage
//
//	report := chain.NewReport()
//	for scanner.Scan() {
//		report.Add(scanner.Text())
//	}
//	for _, b := range report.Batches() { ... }
//
// # Log lines
//
// A line may have a prefix before its JSON object, such as that of a log collector.
// Lines that are no JSON object are left out. The lines of one process must come in
// their order, those of different processes in any.
package chain

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"
)

// Batch is the history of one batch. Started is when a worker first started it, and
// Restarts how often one did again, at another worker or after a change of the role.
// Broken, Slow and Silent count its runs that broke, that moved to a faster engine
// and that left a silent availability zone. Late counts its results that came late,
// and Waited is the longest time that one of these had waited for its first run.
// Ended is zero while neither end nor completion is known.
type Batch struct {
	ID, Model                  string
	Step                       int64
	Accepted, Started, Ended   time.Time
	Restarts                   int
	Broken, Slow, Silent, Late int
	Waited                     time.Duration
	Complete                   bool // all its items were listed
	Causes                     map[string]int
}

// Took returns the time from the acceptance to the end, or 0 while one is unknown.
func (b Batch) Took() time.Duration {
	if b.Accepted.IsZero() || b.Ended.IsZero() {
		return 0
	}
	return b.Ended.Sub(b.Accepted)
}

// Report collects the histories of batches and the calls to the store. It is not safe
// for concurrent use.
type Report struct {
	batches map[string]*Batch
	latest  map[string]map[string]int64 // latest store calls by process
	calls   map[string]int64            // store calls of ended processes
}

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{batches: map[string]*Batch{}, latest: map[string]map[string]int64{}, calls: map[string]int64{}}
}

// line has the fields of the log lines that a report reads.
type line struct {
	Time     time.Time        `json:"time"`
	Instance string           `json:"instance"`
	Message  string           `json:"msg"`
	Batch    string           `json:"batch"`
	Model    string           `json:"model"`
	Step     int64            `json:"step"`
	Age      int64            `json:"age_ms"`
	Waited   int64            `json:"waited_ms"`
	Cause    string           `json:"cause"`
	Calls    map[string]int64 `json:"store_calls"`
}

// Add adds a log line.
func (r *Report) Add(text string) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return
	}
	var l line
	if json.Unmarshal([]byte(text[start:]), &l) != nil {
		return
	}
	switch l.Message {
	case "started":
		r.sumUp(l.Instance)
	case "summary":
		if l.Calls != nil {
			r.latest[l.Instance] = l.Calls
		}
	}
	if l.Batch != "" {
		r.addToBatch(l)
	}
}

// sumUp adds the calls of the former process of an instance, whose counters start
// anew.
func (r *Report) sumUp(instance string) {
	for call, count := range r.latest[instance] {
		r.calls[call] += count
	}
	delete(r.latest, instance)
}

func (r *Report) addToBatch(l line) {
	b, known := r.batches[l.Batch]
	if !known {
		b = &Batch{ID: l.Batch, Causes: map[string]int{}}
		r.batches[l.Batch] = b
	}
	switch l.Message {
	case "batch accepted":
		b.Accepted = earliest(b.Accepted, l.Time)
	case "batch started":
		b.Model, b.Step = l.Model, l.Step
		b.Accepted = earliest(b.Accepted, l.Time.Add(-time.Duration(l.Age)*time.Millisecond))
		if !b.Started.IsZero() {
			b.Restarts++
		}
		b.Started = earliest(b.Started, l.Time)
	case "run ended early":
		b.Broken++
		b.Causes[l.Cause]++
	case "run moved to a faster engine":
		b.Slow++
	case "run moved out of a silent zone":
		b.Silent++
	case "late result":
		b.Late++
		b.Waited = max(b.Waited, time.Duration(l.Waited)*time.Millisecond)
	case "batch complete", "batch ended":
		b.Complete = b.Complete || l.Message == "batch complete"
		b.Ended = earliest(b.Ended, l.Time)
	}
}

// earliest returns the earlier of two times, where the zero time is unknown.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// Batches returns the batches that a worker started, by model and step.
func (r *Report) Batches() []Batch {
	var list []Batch
	for _, b := range r.batches {
		if !b.Started.IsZero() {
			list = append(list, *b)
		}
	}
	slices.SortFunc(list, func(a, b Batch) int {
		return cmp.Or(strings.Compare(a.Model, b.Model), cmp.Compare(a.Step, b.Step), a.Accepted.Compare(b.Accepted))
	})
	return list
}

// Calls returns the number of calls to the store by method and kind, as far as the
// processes have logged them.
func (r *Report) Calls() map[string]int64 {
	total := maps.Clone(r.calls)
	for _, calls := range r.latest {
		for call, count := range calls {
			total[call] += count
		}
	}
	return total
}
