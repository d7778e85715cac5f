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

// BodyLimit is the maximum size in bytes of a request body.
const BodyLimit = 1 << 20

// ToggleBody is the request body of most switches. An empty body turns the switch
// on. MS limits how long it stays on; 0 means until it is turned off.
type ToggleBody struct {
	On bool  `json:"on"`
	MS int64 `json:"ms"`
}

// Switch handles a request to a switch: it decodes the body over the defaults,
// applies it and responds with the value that apply returns.
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
	response, err := apply(defaults)
	if err != nil {
		codec.WriteError(w, err)
		return
	}
	codec.Write(w, http.StatusOK, response)
}

// NotFound responds with the error for an unknown route.
func NotFound(w http.ResponseWriter, r *http.Request) {
	codec.WriteError(w, code.New(code.UnknownRoute, "no route %s %s", r.Method, r.URL.Path))
}

// Toggle is the state of a switch that stays on until it is turned off or its
// time has passed.
type Toggle struct {
	mu    sync.Mutex
	on    bool
	until time.Time
}

// Set turns the switch on or off as the request body says.
func (t *Toggle) Set(b ToggleBody) {
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

// Countdown is the state of a switch that affects the next n requests.
type Countdown struct {
	mu sync.Mutex
	n  int
}

// CountdownBody is the request body of a switch that affects a number of requests.
type CountdownBody struct {
	Count int `json:"count"`
}

// Set sets the number of requests to affect.
func (c *Countdown) Set(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n = n
}

// Take reports whether the switch affects this request, and counts it.
func (c *Countdown) Take() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n <= 0 {
		return false
	}
	c.n--
	return true
}

// TooManyRequests responds with status 429 and asks the client to retry after one
// second.
func TooManyRequests(w http.ResponseWriter, message string) {
	w.Header().Set("Retry-After", "1")
	codec.Write(w, http.StatusTooManyRequests, map[string]string{"message": message})
}

// LineWriter writes a response of JSON lines and flushes each line.
type LineWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	encoder    *json.Encoder
}

// NewLineWriter writes the header of a response of JSON lines.
func NewLineWriter(w http.ResponseWriter) *LineWriter {
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	return &LineWriter{writer: w, controller: http.NewResponseController(w), encoder: json.NewEncoder(w)}
}

// Write sends one line.
func (l *LineWriter) Write(line any) error {
	if err := l.encoder.Encode(line); err != nil {
		return err
	}
	return l.controller.Flush()
}
