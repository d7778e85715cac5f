// Package meter publishes gauges, counters and latency histograms through
// expvar. Counters and histograms have one value per label, such as the client
// account, the class or the endpoint.
//
// # Usage
//
//	set := meter.NewSet()
//	served := set.Counter("requests_served")
//	served.Add("acme", 1)
//	wait := set.Histogram("queue_wait_us")
//	wait.Record("acme", 1500)
//	set.Publish("wigeonpin")
//
// Histogram values are integers from 1 to 1e9 in the unit given by the suffix of
// the metric's name; values outside this range are clamped.
package meter

import (
	"encoding/json"
	"expvar"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lowestValue       = 1
	highestValue      = 1_000_000_000
	significantDigits = 2
)

// Set is a group of metrics of one instance.
type Set struct {
	mu         sync.Mutex
	counters   map[string]*Counter
	histograms map[string]*Histogram
	gauges     map[string]func() any
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{
		counters:   map[string]*Counter{},
		histograms: map[string]*Histogram{},
		gauges:     map[string]func() any{},
	}
}

// Counter returns the counter with this name and creates it if necessary.
func (s *Set) Counter(name string) *Counter {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.counters[name]
	if !ok {
		c = &Counter{values: map[string]int64{}}
		s.counters[name] = c
	}
	return c
}

// Histogram returns the histogram with this name and creates it if necessary.
func (s *Set) Histogram(name string) *Histogram {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.histograms[name]
	if !ok {
		h = &Histogram{values: map[string]*hdrhistogram.Histogram{}}
		s.histograms[name] = h
	}
	return h
}

// Gauge registers a function that is called for each snapshot.
func (s *Set) Gauge(name string, read func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gauges[name] = read
}

// Publish exports the set under name through expvar. Each name can be published
// only once per process.
func (s *Set) Publish(name string) {
	expvar.Publish(name, expvar.Func(func() any { return s.Snapshot() }))
}

// Snapshot returns the current values, ready for JSON encoding.
func (s *Set) Snapshot() map[string]any {
	s.mu.Lock()
	counters, histograms, gauges := copyMap(s.counters), copyMap(s.histograms), copyMap(s.gauges)
	s.mu.Unlock()
	out := map[string]any{}
	for name, c := range counters {
		out[name] = c.Values()
	}
	for name, h := range histograms {
		out[name] = h.Summaries()
	}
	for name, read := range gauges {
		out[name] = read()
	}
	return out
}

func copyMap[V any](in map[string]V) map[string]V {
	out := make(map[string]V, len(in))
	for k, v := range in {
		out[k] = v
	}
	return out
}

// MarshalJSON encodes the snapshot.
func (s *Set) MarshalJSON() ([]byte, error) { return json.Marshal(s.Snapshot()) }

// Counter holds one count per label.
type Counter struct {
	mu     sync.Mutex
	values map[string]int64
}

// Add adds n to the label's count.
func (c *Counter) Add(label string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values[label] += n
}

// Value returns the label's count, or 0 if nothing was added.
func (c *Counter) Value(label string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.values[label]
}

// Values returns a copy of all counts by label.
func (c *Counter) Values() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return copyMap(c.values)
}

// Histogram holds one distribution of values per label.
type Histogram struct {
	mu     sync.Mutex
	values map[string]*hdrhistogram.Histogram
}

// Record adds a value to the label's histogram.
func (h *Histogram) Record(label string, value int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d, ok := h.values[label]
	if !ok {
		d = hdrhistogram.New(lowestValue, highestValue, significantDigits)
		h.values[label] = d
	}
	// The value is clamped into the histogram's range, so recording cannot fail.
	_ = d.RecordValue(min(max(value, lowestValue), highestValue))
}

// Summary holds the count, mean, quantiles and maximum of one label.
type Summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   int64   `json:"p50"`
	P90   int64   `json:"p90"`
	P99   int64   `json:"p99"`
	Max   int64   `json:"max"`
}

// Summaries returns the summary of each label.
func (h *Histogram) Summaries() map[string]Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]Summary, len(h.values))
	for label, d := range h.values {
		out[label] = Summary{
			Count: d.TotalCount(), Mean: d.Mean(), Max: d.Max(),
			P50: d.ValueAtQuantile(50), P90: d.ValueAtQuantile(90), P99: d.ValueAtQuantile(99),
		}
	}
	return out
}
