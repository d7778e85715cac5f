package runner

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/traffic/forward"
)

const (
	// unluckyHits is the number of engines that end under an "unlucky" item.
	unluckyHits = 5
	// lostTime is how long the scorer breaks off the scoring call of a "lost" item.
	lostTime = 2 * time.Second
	// apartTime is how long an "apart" item waits for its first event.
	apartTime = 600 * time.Millisecond
)

// engine generates "ITEM-RUN-EVENT" texts and scores. The first word of an
// item's id says what goes wrong with its first run.
type engine struct {
	mu      sync.Mutex
	version int64
	runs    map[string]int
	asked   map[string][]string // Last-Event-Id of each run
	crashed map[string]int      // runs by endpoint that brought nothing
	first   map[string]time.Time
	halfway chan struct{} // a "held" item has sent half of its events
	release chan struct{} // and goes on
	// Of "apart" items: the engines that ended under each, those that run one
	// now, and the most that ran at a time and whether two met on one engine.
	endedBy     map[string]map[string]bool
	apart       map[string]int
	mostApart   int
	sharedApart bool
}

// meet notes that an "apart" item begins at an endpoint. It reports whether the
// engine ends under it.
func (e *engine) meet(id, endpoint string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.endedBy[id] == nil {
		e.endedBy[id] = map[string]bool{}
	}
	if len(e.endedBy[id]) < barrenLives {
		e.endedBy[id][endpoint] = true
		return true
	}
	e.apart[endpoint]++
	total := 0
	for _, n := range e.apart {
		total += n
		e.sharedApart = e.sharedApart || n > 1
	}
	e.mostApart = max(e.mostApart, total)
	return false
}

func (e *engine) part(endpoint string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apart[endpoint]--
}

func newEngine() *engine {
	return &engine{
		version: 5, runs: map[string]int{}, asked: map[string][]string{}, crashed: map[string]int{},
		first: map[string]time.Time{}, endedBy: map[string]map[string]bool{}, apart: map[string]int{},
	}
}

func (e *engine) hit(endpoint string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed[endpoint]++
}

// since returns the time from the first run of an id.
func (e *engine) since(id string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.first[id].IsZero() {
		e.first[id] = time.Now()
	}
	return time.Since(e.first[id])
}

// hits returns the number of engines at which a run brought nothing.
func (e *engine) hits() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.crashed)
}

func (e *engine) begin(id, last string) (run int, version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id]++
	e.asked[id] = append(e.asked[id], last)
	return e.runs[id], e.version
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.Request)
	w.Header().Set(names.Request, id)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run, version := e.begin(id, r.Header.Get("Last-Event-Id"))
	fault := strings.SplitN(id, "-", 2)[0]
	if fault == "lost" && strings.HasSuffix(id, "-reward") && e.since(id) < lostTime {
		panic(http.ErrAbortHandler)
	}
	if fault == "rejected" && run == 1 {
		w.Header().Set(names.Rejected, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if fault == "resets" && run <= 5 || fault == "crashing" || fault == "unlucky" && e.hits() < unluckyHits {
		e.hit(r.Header.Get(names.Endpoint))
		panic(http.ErrAbortHandler)
	}
	if fault == "apart" && !strings.HasSuffix(id, "-reward") {
		endpoint := r.Header.Get(names.Endpoint)
		if e.meet(id, endpoint) {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(apartTime)
		e.part(endpoint)
	}
	w.Header().Set(names.Stamp, "stamp-"+id)
	switch {
	case fault == "failing" || (fault == "unscored" && strings.HasSuffix(id, "-reward")):
		w.WriteHeader(http.StatusInternalServerError)
		return
	case fault == "never":
		w.WriteHeader(http.StatusUnprocessableEntity)
		return
	case fault == "halfscored" && strings.HasSuffix(id, "-reward") && run == 1:
		_, _ = w.Write(make([]byte, forward.MaxBufferedAnswer+1))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case strings.HasSuffix(id, "-reward"):
		return
	}
	if fault == "old" && run == 1 {
		version = 1
	}
	w.Header().Set(names.Versions, fmt.Sprint(version))
	if fault == "endless" && run == 1 {
		endless(w, id)
		return
	}
	for n := last + 1; n <= events; n++ {
		if fault == "stalled" && run == 1 && n == 3 {
			comments(w, r, time.Minute)
			return
		}
		if fault == "held" && n == 3 {
			close(e.halfway)
			<-e.release
		}
		if fault == "commented" {
			comments(w, r, 10*time.Millisecond)
		}
		if fault == "cut" && run == 1 && n == 3 {
			panic(http.ErrAbortHandler)
		}
		if fault == "older" && run == 1 && n == 3 {
			_, _ = fmt.Fprint(w, "versions: 1\n") // the engine went back to weights that are too old
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", n, id, n)
		_ = http.NewResponseController(w).Flush()
	}
}

// endless sends events until its caller closes.
func endless(w http.ResponseWriter, id string) {
	var err error
	for n := 1; err == nil; n++ {
		_, err = fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", n, id, n)
	}
}

// comments keeps the stream open for some time without any event.
func comments(w http.ResponseWriter, r *http.Request, limit time.Duration) {
	_, _ = io.Copy(io.Discard, r.Body) // only then does the server notice that its caller has left
	for start := time.Now(); time.Since(start) < limit && r.Context().Err() == nil; time.Sleep(5 * time.Millisecond) {
		_, _ = fmt.Fprint(w, ": wait\n\n")
		_ = http.NewResponseController(w).Flush()
	}
}
