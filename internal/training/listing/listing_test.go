package listing

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

const (
	// readPause is the shortest time between the starts of two reads of a trainer,
	// and longPoll how long one read waits for a result.
	readPause = 500 * time.Millisecond
	longPoll  = time.Second
	// resolution is the step of the simulated time.
	resolution = 5 * time.Millisecond
)

// replay runs a schedule over results that become ready at given times. A trainer
// reads the pages as they are written.
type replay struct {
	start    time.Time
	due      time.Duration
	wanted   int
	awaited  map[string]bool
	fullFrom int
	results  []result
}

type result struct {
	at    time.Duration
	group string
	size  int
}

// run returns the times of the pages with their numbers of results, and the time
// at which the trainer has read all groups that it waits for.
func (p replay) run() string {
	items := map[string]int{}
	for _, r := range p.results {
		items[r.group]++
	}
	schedule := Schedule{Accepted: p.start, Due: p.due}
	listed, read := NewProgress(p.wanted, items, p.awaited), NewProgress(p.wanted, items, p.awaited)
	var out strings.Builder
	var ready, unread []result
	var since time.Time
	next, readFrom := 0, time.Duration(0)
	for at := time.Duration(0); at < time.Minute; at += resolution {
		now := p.start.Add(at)
		for ; next < len(p.results) && p.results[next].at <= at; next++ {
			if len(ready) == 0 {
				since = now
			}
			ready = append(ready, p.results[next])
			listed.Finish(p.results[next].group)
		}
		size := 0
		for _, r := range ready {
			size += r.size
		}
		state := Ready{
			Since: since, Complete: listed.Complete() || next == len(p.results), Full: p.fullFrom > 0 && size >= p.fullFrom,
		}
		if len(ready) > 0 && !now.Before(schedule.Next(state)) {
			fmt.Fprintf(&out, "%d ms: %d results\n", at.Milliseconds(), len(ready))
			unread, ready = append(unread, ready...), nil
			schedule = schedule.WithPage(now, listed.Complete())
		}
		if at < readFrom {
			continue
		}
		if len(unread) == 0 {
			if at >= readFrom+longPoll {
				readFrom = at
			}
			continue
		}
		for _, r := range unread {
			read.Finish(r.group)
		}
		unread, readFrom = nil, max(at, readFrom+readPause)
		if read.Complete() {
			fmt.Fprintf(&out, "the trainer goes on at %d ms\n", readFrom.Milliseconds())
			return out.String()
		}
	}
	return out.String() + "the trainer never has what it waits for\n"
}

// Guards against pages that make a trainer wait: one just before the page that
// completes its step, and one that comes too late for the due time.
func TestPages(t *testing.T) {
	datadriven.RunTest(t, "testdata/pages", func(t *testing.T, d *datadriven.TestData) string {
		p := replay{start: time.Unix(1000, 0), awaited: map[string]bool{}}
		var due int
		d.ScanArgs(t, "due-ms", &due)
		d.ScanArgs(t, "wanted", &p.wanted)
		p.due = time.Duration(due) * time.Millisecond
		if d.HasArg("full") {
			d.ScanArgs(t, "full", &p.fullFrom)
		}
		if d.HasArg("awaited") {
			var group string
			d.ScanArgs(t, "awaited", &group)
			p.awaited[group] = true
		}
		for _, line := range strings.Split(d.Input, "\n") {
			var at, count, size int
			var group string
			if _, err := fmt.Sscanf(line, "%d ms: %d of %s %d bytes", &at, &count, &group, &size); err != nil {
				t.Fatalf("%q: %v", line, err)
			}
			for range count {
				p.results = append(p.results, result{at: time.Duration(at) * time.Millisecond, group: group, size: size})
			}
		}
		return p.run()
	})
}

// Guards against a step that counts as complete without a group that the trainer
// waits for in any case, or because of items of other groups.
func TestProgress(t *testing.T) {
	p := NewProgress(2, map[string]int{"a": 2, "b": 1, "c": 1}, map[string]bool{"c": true})
	steps := []struct {
		group    string
		complete bool
	}{{"a", false}, {"b", false}, {"a", false}, {"c", true}}
	for i, s := range steps {
		p.Finish(s.group)
		if p.Complete() != s.complete {
			t.Errorf("step %d, group %s: complete %v, want %v", i, s.group, p.Complete(), s.complete)
		}
	}
}
