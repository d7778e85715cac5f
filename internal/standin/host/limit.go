package host

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/codec"
)

// LimitBody is the request body of the switch limit: the requests per second that the
// stand-in takes from all callers together; 0 names no limit.
type LimitBody struct {
	Rate float64 `json:"rate"`
}

// LimitState is the response of the switch limit: the milliseconds from the previous use
// of the switch to each request that came since.
type LimitState struct {
	ArrivalsMS []int64 `json:"arrivals_ms"`
}

// Limit names a rate limit in answers and records the requests that come meanwhile. It
// does not enforce the limit.
type Limit struct {
	mu       sync.Mutex
	rate     float64
	since    time.Time
	arrivals []int64
}

// Set changes the limit and returns the requests that came under the previous one.
func (l *Limit) Set(b LimitBody) (any, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := LimitState{ArrivalsMS: l.arrivals}
	l.rate, l.since, l.arrivals = b.Rate, time.Now(), nil
	return state, nil
}

// Name records a request and adds the limit to its answer.
func (l *Limit) Name(w http.ResponseWriter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate == 0 {
		return
	}
	l.arrivals = append(l.arrivals, time.Since(l.since).Milliseconds())
	w.Header().Set(codec.HeaderLimit, strconv.FormatFloat(l.rate, 'g', -1, 64))
}
