package front

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/traffic/forward"
	"github.com/wigeonpin/wigeonpin/internal/traffic/sse"
)

type errorBody struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Message string `json:"message"`
	Run     string `json:"run,omitempty"`
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status, body = http.StatusInternalServerError, nil
	}
	writeBytes(w, status, body)
}

func writeBytes(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails only if the caller is gone
}

// stream passes events on as they arrive. A resumable stream that breaks off is
// resumed at another endpoint after the last complete event.
func (f *Front) stream(w http.ResponseWriter, r *http.Request, q *callerRequest, call forward.Call, answer *forward.Answer) {
	w.WriteHeader(answer.Status)
	last := int64(0)
	for attempts := answer.Attempts; ; {
		var err error
		last, err = f.copyEvents(w, answer, last, f.stallAction(call, answer, attempts < q.route.Attempts))
		if err == nil {
			f.recordServed(q, answer.Status)
			return
		}
		answer.Close()
		if errors.Is(err, errCallerWrite) || !q.route.Resumable || r.Context().Err() != nil || attempts >= q.route.Attempts {
			f.breakOff(q, "stream broke off", err)
			panic(http.ErrAbortHandler) // the caller sees that the stream is not complete
		}
		f.logFailure(q, "stream resumed", err)
		if last > 0 {
			call.Request.Header.Set("Last-Event-Id", strconv.FormatInt(last, 10))
		}
		rest := call
		rest.Route.Attempts, rest.Open = q.route.Attempts-attempts, true
		next, err := f.seams.Forwarder.Send(r.Context(), rest)
		if err != nil {
			f.breakOff(q, "stream broke off", errors.Join(err, errResumeFailed))
			panic(http.ErrAbortHandler)
		}
		defer next.Close()
		if !continues(next, answer) {
			f.breakOff(q, "stream broke off", fmt.Errorf("%w: status %d, %s", errResumeFailed, next.Status, mediaType(next)))
			panic(http.ErrAbortHandler)
		}
		attempts += next.Attempts
		answer = next
	}
}

// continues reports whether an answer can continue the stream of another one. The text
// of an error, or a page, must not get into the stream that the caller reads.
func continues(next, earlier *forward.Answer) bool {
	return next.Rest != nil && next.Status == earlier.Status && mediaType(next) == mediaType(earlier)
}

// mediaType returns the media type of an answer without its parameters.
func mediaType(answer *forward.Answer) string {
	name, _, _ := strings.Cut(answer.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// stallTimeout is how long a stream that can be resumed may bring no event before it
// is resumed at another endpoint. It exceeds the pause of an endpoint that
// switches its weights.
const stallTimeout = 2200 * time.Millisecond

var (
	errCallerWrite  = errors.New("writing to the caller failed")
	errResumeFailed = errors.New("the stream could not be resumed")
	errEventOrder   = errors.New("the id of an event does not follow the one before it")
)

// stallAction returns what is done when no event arrives for stallTimeout. A
// stream is broken off if it can be resumed at another endpoint; ending any other one
// would only lose it. In a planned stop it also must be able to end in time.
func (f *Front) stallAction(call forward.Call, answer *forward.Answer, attemptLeft bool) func() {
	if !call.Route.Resumable || !attemptLeft {
		return func() {}
	}
	return func() {
		if f.seams.Stop.CanEnd(call.Work()) {
			answer.Abort()
		}
	}
}

// copyEvents copies complete events to the caller until the end of the answer and
// returns the ID of the last one. onStall is called when no event arrives for
// stallTimeout. Comments are passed on but do not count as events, since a stalled
// endpoint may keep sending them. The ids of events increase; the first
// of a run that continues a stream, after the event last, follows at once.
func (f *Front) copyEvents(w http.ResponseWriter, answer *forward.Answer, last int64, onStall func()) (int64, error) {
	control := http.NewResponseController(w)
	reader := sse.NewReader(answer.Rest, f.seams.Names.VersionKey)
	stall := time.AfterFunc(stallTimeout, onStall)
	defer stall.Stop()
	for first := true; ; {
		e, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return last, nil
		}
		if err != nil {
			return last, err
		}
		if e.ID > 0 && (e.ID <= last || first && last > 0 && e.ID != last+1) {
			return last, errEventOrder
		}
		if _, err := w.Write(e.Raw); err != nil {
			return last, errCallerWrite
		}
		if err := control.Flush(); err != nil {
			return last, errCallerWrite
		}
		if e.ID > 0 {
			last, first = e.ID, false
		}
		if e.HasOutput() && stall.Stop() {
			stall.Reset(stallTimeout)
		}
	}
}
