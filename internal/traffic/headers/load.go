package headers

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/fleet/replica"
)

const (
	// maxLoadFigure is the highest number of requests or slots that an endpoint may
	// report. Higher figures are faults; sums of accepted ones do not overflow.
	maxLoadFigure = 1_000_000
	// loadFigures is the number of figures that every report has. The pace follows.
	loadFigures = 3
	// quotedBytes is how much of an invalid value an error quotes.
	quotedBytes = 80
	// invalidLoadInterval is the shortest time between two log lines about invalid
	// reports, of which a faulty endpoint sends one with each answer.
	invalidLoadInterval = time.Second
)

// ErrInvalidLoad is returned for a load report that cannot be parsed.
var ErrInvalidLoad = errors.New("invalid load report")

// ReadLoad parses an endpoint's load report, which has the form "running,waiting,slots"
// or "running,waiting,slots,pace" with the pace in percent of the usual time. Further
// figures are ignored. found reports whether there is a load to use; err says what was
// ignored: the whole report, or only its pace. Of several reports the one with the most
// work counts, since a load that is too low attracts requests.
func (n Names) ReadLoad(h http.Header) (load replica.Load, found bool, err error) {
	if n.Load == "" {
		return replica.Load{}, false, nil
	}
	for _, value := range h.Values(n.Load) {
		parsed, usable, failure := parseLoad(value)
		if failure != nil && err == nil {
			err = failure
		}
		if usable && (!found || exceeds(parsed, load)) {
			load, found = parsed, true
		}
	}
	return load, found, err
}

// exceeds reports whether a load is higher than another one.
func exceeds(a, b replica.Load) bool {
	if work, other := a.Running+a.Waiting, b.Running+b.Waiting; work != other {
		return work > other
	}
	return a.Pace > b.Pace
}

func parseLoad(value string) (load replica.Load, usable bool, err error) {
	parts := strings.SplitN(value, ",", loadFigures+2)
	if len(parts) < loadFigures {
		return replica.Load{}, false, invalidLoad(value)
	}
	var numbers [loadFigures]int
	for i := range numbers {
		number, err := strconv.Atoi(textproto.TrimString(parts[i]))
		if err != nil || number < 0 || number > maxLoadFigure {
			return replica.Load{}, false, invalidLoad(value)
		}
		numbers[i] = number
	}
	load = replica.Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}
	if len(parts) == loadFigures {
		return load, true, nil
	}
	percent, err := strconv.ParseFloat(textproto.TrimString(parts[loadFigures]), 64)
	if err != nil || math.IsNaN(percent) || math.IsInf(percent, 0) || percent <= 0 {
		return load, true, invalidLoad(value)
	}
	load.Pace = percent / 100
	return load, true, nil
}

func invalidLoad(value string) error {
	return fmt.Errorf("%w: %.*q", ErrInvalidLoad, quotedBytes, value)
}

// CountInvalidLoads is the name of the counter of invalid load reports by endpoint.
const CountInvalidLoads = "load_reports_invalid"

// InvalidLoads counts and logs load reports that cannot be parsed.
type InvalidLoads struct {
	counter *meter.Counter
	timers  *clock.Service
	log     *logrus.Entry

	mu       sync.Mutex
	loggedAt time.Time
	unlogged int // reports since the latest log line
}

// NewInvalidLoads returns the record of a process.
func NewInvalidLoads(meters *meter.Set, timers *clock.Service, log *logrus.Entry) *InvalidLoads {
	return &InvalidLoads{counter: meters.Counter(CountInvalidLoads), timers: timers, log: log}
}

// Record counts a report of an endpoint that ReadLoad returned an error for. It logs at
// most one line in invalidLoadInterval.
func (i *InvalidLoads) Record(endpoint string, err error) {
	i.counter.Add(endpoint, 1)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.unlogged++
	now := i.timers.Now()
	if !i.loggedAt.IsZero() && now.Sub(i.loggedAt) < invalidLoadInterval {
		return
	}
	i.log.WithFields(logrus.Fields{logs.Endpoint: endpoint, logs.Cause: err.Error(), "count": i.unlogged}).
		Warn("invalid load report of an endpoint")
	i.loggedAt, i.unlogged = now, 0
}
