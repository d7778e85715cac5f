package stop

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
)

const (
	// Durations are kept in milliseconds up to maxDuration. A class takes 28 KiB.
	maxDuration       = 10 * time.Minute
	significantDigits = 2
	// period is how long durations are collected before they replace those of the
	// period before. It lasts until there are minCount of them.
	period   = 30 * time.Second
	minCount = 50
	// maxClasses bounds the number of classes that are remembered.
	maxClasses = 128
	// onceQuantile is the quantile of the durations that work must have the time for if
	// it may not be repeated, and repeatableQuantile that of other work: a cut request
	// of that kind is sent again and loses only time.
	onceQuantile       = 99
	repeatableQuantile = 90
	// minMargin is the least part that is added to the quantile. With few durations
	// more is added.
	minMargin = 0.1
)

// durations remembers how long work of each class took, and what runs.
type durations struct {
	timers  *clock.Service
	classes *lru.Cache[string, *class]
}

// class holds the durations of one class of work in the current period and the one
// before, and the work that is running.
type class struct {
	current, earlier *hdrhistogram.Histogram
	since            time.Time // start of the current period
	running          map[*Run]struct{}
}

func newDurations(timers *clock.Service) *durations {
	classes, err := lru.New[string, *class](maxClasses)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &durations{timers: timers, classes: classes}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxDuration.Milliseconds(), significantDigits)
}

func (d *durations) class(name string) *class {
	if c, found := d.classes.Get(name); found {
		return c
	}
	c := &class{current: newHistogram(), earlier: newHistogram(), since: d.timers.Now(), running: map[*Run]struct{}{}}
	d.classes.Add(name, c)
	return c
}

func (d *durations) start(r *Run) { d.class(r.class).running[r] = struct{}{} }

// finish adds the duration of a run. A run of a class that was forgotten meanwhile is
// not recorded.
func (d *durations) finish(r *Run) {
	c := d.class(r.class)
	if _, found := c.running[r]; !found {
		return
	}
	delete(c.running, r)
	now := d.timers.Now()
	if now.Sub(c.since) > period && c.current.TotalCount() >= minCount {
		c.current, c.earlier = c.earlier, c.current
		c.current.Reset()
		c.since = now
	}
	record(c.current, now.Sub(r.began))
}

// record adds a duration, clamped into the histogram's range.
func record(h *hdrhistogram.Histogram, took time.Duration) {
	_ = h.RecordValue(min(max(took.Milliseconds(), 1), maxDuration.Milliseconds())) // cannot fail within the range
}

// estimate returns how long work must be expected to last at most. If no work of the
// class has ended yet, it reports false and returns the age of the oldest.
//
// Runs that have lasted longer already count too: a service that has just become
// slower would otherwise be judged by the time before.
func (d *durations) estimate(w Work) (time.Duration, bool) {
	c, found := d.classes.Get(w.Class)
	if !found {
		return 0, false
	}
	now := d.timers.Now()
	all := newHistogram()
	all.Merge(c.earlier)
	all.Merge(c.current)
	count := all.TotalCount()
	quantile := float64(onceQuantile)
	if w.Repeatable {
		quantile = repeatableQuantile
	}
	ended := time.Duration(all.ValueAtQuantile(quantile)) * time.Millisecond
	oldest := time.Duration(0)
	for r := range c.running {
		age := now.Sub(r.began)
		oldest = max(oldest, age)
		if age > ended {
			record(all, age)
		}
	}
	if count == 0 {
		return oldest, false
	}
	longest := time.Duration(all.ValueAtQuantile(quantile)) * time.Millisecond
	return time.Duration(float64(longest) * (1 + max(minMargin, 1/math.Sqrt(float64(count))))), true
}

// snapshot returns a function that makes each estimate once.
func (d *durations) snapshot() func(Work) (time.Duration, bool) {
	type key struct {
		class      string
		repeatable bool
	}
	type value struct {
		expected time.Duration
		known    bool
	}
	made := map[key]value{}
	return func(w Work) (time.Duration, bool) {
		k := key{w.Class, w.Repeatable}
		v, found := made[k]
		if !found {
			v.expected, v.known = d.estimate(w)
			made[k] = v
		}
		return v.expected, v.known
	}
}
