package host

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/base/code"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
)

// BodyLimit is the largest body that a stand-in reads.
const BodyLimit = 1 << 20

// OnBody is the body of most switches. An empty body turns the switch on; MS
// limits its time, 0 is until it is turned off.
type OnBody struct {
	On bool  `json:"on"`
	MS int64 `json:"ms"`
}

// Switch reads the body of a switch over its defaults, applies it and answers
// with what apply returns.
func Switch[Body any](w http.ResponseWriter, r *http.Request, defaults Body, apply func(Body) (any, error)) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, BodyLimit))
	if err != nil {
		codec.WriteError(w, code.New(code.BadRequest, "body of switch %s: %s", r.URL.Path, err))
		return
	}
	if len(raw) > 0 {
		if err := codec.Decode(raw, &defaults); err != nil {
			codec.WriteError(w, err)
			return
		}
	}
	answer, err := apply(defaults)
	if err != nil {
		codec.WriteError(w, err)
		return
	}
	codec.Write(w, http.StatusOK, answer)
}

// Unknown answers a request to a path that the stand-in does not have.
func Unknown(w http.ResponseWriter, r *http.Request) {
	codec.WriteError(w, code.New(code.UnknownRoute, "no route %s %s", r.Method, r.URL.Path))
}

// Toggle is a switch that is on until turned off or until its time has passed.
type Toggle struct {
	mu    sync.Mutex
	on    bool
	until time.Time
}

// Set applies a switch's body.
func (t *Toggle) Set(b OnBody) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.on, t.until = b.On, time.Time{}
	if b.On && b.MS > 0 {
		t.until = time.Now().Add(milliseconds(b.MS))
	}
}

// On reports whether the switch is on.
func (t *Toggle) On() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.on && (t.until.IsZero() || time.Now().Before(t.until))
}

// Count is a switch that acts on the next n requests.
type Count struct {
	mu sync.Mutex
	n  int
}

// CountBody is the body of a switch that acts on a number of requests.
type CountBody struct {
	Count int `json:"count"`
}

// Set sets the number of requests to act on.
func (c *Count) Set(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n = n
}

// Take reports whether the switch acts on this request.
func (c *Count) Take() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n <= 0 {
		return false
	}
	c.n--
	return true
}

// Retry answers 429 with the number of seconds to wait.
func Retry(w http.ResponseWriter, message string) {
	w.Header().Set("Retry-After", "1")
	codec.Write(w, http.StatusTooManyRequests, map[string]string{"message": message})
}

// Lines writes JSON lines and flushes each.
type Lines struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	encoder *json.Encoder
}

// NewLines starts an answer of JSON lines.
func NewLines(w http.ResponseWriter) *Lines {
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	return &Lines{writer: w, control: http.NewResponseController(w), encoder: json.NewEncoder(w)}
}

// Write sends one line.
func (l *Lines) Write(line any) error {
	if err := l.encoder.Encode(line); err != nil {
		return err
	}
	return l.control.Flush()
}
