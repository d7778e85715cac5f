// Package cost estimates the work of requests and the speed of endpoints, and decides
// which endpoint should get a request. It takes values and returns values: it has no
// access to a network or a clock, and no locks.
//
// All estimates are relative to the mean work of a service's requests on an endpoint of
// usual speed, so that a process that has learned nothing counts every request as 1 and
// every endpoint as equally fast.
//
// # Usage
//
//	work := model.Relative("catalog example.org/")
//	finish := cost.Finish(cost.Queue{Ahead: 4, Slots: 6}, work, speed.Pace(now))
//	...
//	model.Observe(cost.Class{Name: "catalog example.org/"}, took, speed.Reported(now))
package cost

import (
	"math"
	"time"
)

const (
	// outlierFactor bounds the effect of one sample on an average: a sample counts as
	// at most this multiple of the average, and as at least the same part of it.
	outlierFactor = 3
	// settledSamples is the number of samples from which on an average bounds samples.
	settledSamples = 4
	// workWeight is the weight of a new sample in the average work of a class. Work
	// changes with releases of a service, not within seconds.
	workWeight = 0.05
	// minWork and maxWork bound the relative work of a request, so that a class with
	// few and unusual samples cannot decide alone.
	minWork, maxWork = 0.1, 20
	// maxClasses bounds the memory for classes. Further ones count as 1.
	maxClasses = 1000
)

// Average is a moving geometric mean of positive samples, robust against outliers. The
// zero value has no samples.
type Average struct {
	value float64
	count int
}

// With returns the average with one more sample. Samples that are not positive and
// finite are ignored. The first samples count equally, later ones have the weight.
func (a Average) With(sample, weight float64) Average {
	if !(sample > 0) || math.IsInf(sample, 0) {
		return a
	}
	if a.count == 0 {
		return Average{value: sample, count: 1}
	}
	ratio := sample / a.value
	if a.count >= settledSamples {
		ratio = min(max(ratio, 1.0/outlierFactor), outlierFactor)
	}
	a.count++
	a.value *= math.Pow(ratio, max(weight, 1/float64(a.count)))
	return a
}

// Value returns the average, or 0 without samples.
func (a Average) Value() float64 { return a.value }

// Count returns the number of samples.
func (a Average) Count() int { return a.count }

// Class identifies requests of similar work. Remote requests are those sent to another
// availability zone: their times include the way there and are averaged separately, so
// that an endpoint does not count as slow for its distance.
type Class struct {
	Name   string
	Remote bool
}

// Model learns the work of the requests of one service. It is not safe for concurrent
// use. The zero value has learned nothing.
type Model struct {
	all     Average
	classes map[Class]Average
}

// Observe records how long an answered request took at an endpoint that reported the
// pace (1 if it reported none).
func (m *Model) Observe(c Class, took time.Duration, pace float64) {
	if m.classes == nil {
		m.classes = map[Class]Average{}
	}
	average, known := m.classes[c]
	if !known && len(m.classes) >= maxClasses {
		return
	}
	sample := took.Seconds() / pace
	m.classes[c] = average.With(sample, workWeight)
	m.all = m.all.With(sample, workWeight)
}

// Ratio returns the time of a request relative to the usual one of its class. It returns
// false while the class has too few samples.
func (m *Model) Ratio(c Class, took time.Duration) (float64, bool) {
	average := m.classes[c]
	if average.count < settledSamples {
		return 1, false
	}
	return took.Seconds() / average.value, true
}

// Work returns the expected time of a request of the class on an endpoint of usual
// speed, or 0 when it is unknown.
func (m *Model) Work(name string) time.Duration {
	return time.Duration(m.average(name).value * float64(time.Second))
}

// Relative returns the expected work of a request of the class relative to the mean work
// of the service; 1 when it is unknown or deviates as little as that of equal requests.
func (m *Model) Relative(name string) float64 {
	average := m.average(name)
	if average.count < settledSamples {
		return 1
	}
	relative := average.value / m.all.value
	if !deviates(relative) {
		return 1
	}
	return min(max(relative, minWork), maxWork)
}

func (m *Model) average(name string) Average {
	if local, known := m.classes[Class{Name: name}]; known {
		return local
	}
	return m.classes[Class{Name: name, Remote: true}]
}

// Works returns the expected time of a request of each class, for display.
func (m *Model) Works() map[string]time.Duration {
	out := make(map[string]time.Duration, len(m.classes))
	for c := range m.classes {
		out[c.Name] = m.Work(c.Name)
	}
	return out
}
