package forward

import (
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
)

const (
	// workWeight is the weight of a new measurement in the moving average.
	workWeight = 0.05
	// defaultWork is the expected work of a request on a route that has not been used.
	defaultWork = 50 * time.Millisecond
	// minWork and maxWork bound one measurement, so that a stalled answer does not
	// decide the average.
	minWork = time.Millisecond
	maxWork = 10 * time.Second
	// maxWorkClasses bounds the number of averages.
	maxWorkClasses = 4096
)

// workClass is a set of requests that take about the same work.
type workClass struct{ service, host, prefix string }

// workModel estimates the work of a request in microseconds as the moving average of
// the times for which requests of its route occupied an endpoint of the service.
type workModel struct {
	mu       sync.Mutex
	averages map[workClass]time.Duration
}

func newWorkModel() *workModel { return &workModel{averages: map[workClass]time.Duration{}} }

func classOf(route manifest.Route, service string) workClass {
	return workClass{service: service, host: route.Host, prefix: route.Prefix}
}

// expected returns the expected work of a request in microseconds.
func (w *workModel) expected(route manifest.Route, service string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if average, known := w.averages[classOf(route, service)]; known {
		return average.Microseconds()
	}
	return defaultWork.Microseconds()
}

// observe records how long an answered request took at its endpoint.
func (w *workModel) observe(route manifest.Route, service string, took time.Duration) {
	took = min(max(took, minWork), maxWork)
	class := classOf(route, service)
	w.mu.Lock()
	defer w.mu.Unlock()
	average, known := w.averages[class]
	if !known {
		if len(w.averages) >= maxWorkClasses {
			clear(w.averages) // the manifest names other routes than it did
		}
		average = took
	}
	w.averages[class] = average + time.Duration(workWeight*float64(took-average))
}
