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
	// unluckyCrashes is the number of engines that end under an "unlucky" item.
	unluckyCrashes = 5
	// lostTime is how long the scorer breaks off the scoring call of a "lost" item.
	lostTime = 2 * time.Second
	// apartDelay is how long an "apart" item waits for its first event.
	apartDelay = 600 * time.Millisecond
)

// engine generates "ITEM-RUN-EVENT" texts and scores. The first word of an
// item's id says what goes wrong with its first run.
type engine struct {
	mu           sync.Mutex
	version      int64
	runs         map[string]int
	lastEventIDs map[string][]string // Last-Event-Id of each run
	crashes      map[string]int      // runs by endpoint that brought nothing
	firstRun     map[string]time.Time
	halfway      chan struct{} // a "held" item has sent half of its events
	release      chan struct{} // and goes on
	// Of "apart" items: the engines that ended under each, those that run one
	// now, and the most that ran at a time and whether two met on one engine.
	endedBy        map[string]map[string]bool
	suspectRuns    map[string]int
	maxSuspectRuns int
	sharedEngine   bool
}

// beginSuspectRun notes that an "apart" item begins at an endpoint. It reports whether the
// engine ends under it.
func (e *engine) beginSuspectRun(id, endpoint string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.endedBy[id] == nil {
		e.endedBy[id] = map[string]bool{}
	}
	if len(e.endedBy[id]) < suspectThreshold {
		e.endedBy[id][endpoint] = true
		return true
	}
	e.suspectRuns[endpoint]++
	total := 0
	for _, n := range e.suspectRuns {
		total += n
		e.sharedEngine = e.sharedEngine || n > 1
	}
	e.maxSuspectRuns = max(e.maxSuspectRuns, total)
	return false
}

func (e *engine) endSuspectRun(endpoint string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.suspectRuns[endpoint]--
}

func newEngine() *engine {
	return &engine{
		version: 5, runs: map[string]int{}, lastEventIDs: map[string][]string{}, crashes: map[string]int{},
		firstRun: map[string]time.Time{}, endedBy: map[string]map[string]bool{}, suspectRuns: map[string]int{},
	}
}

func (e *engine) recordCrash(endpoint string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes[endpoint]++
}

// sinceFirstRun returns the time from the first run of an id.
func (e *engine) sinceFirstRun(id string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.firstRun[id].IsZero() {
		e.firstRun[id] = time.Now()
	}
	return time.Since(e.firstRun[id])
}

// crashedEngines returns the number of engines at which a run brought nothing.
func (e *engine) crashedEngines() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.crashes)
}

func (e *engine) beginRun(id, last string) (run int, version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id]++
	e.lastEventIDs[id] = append(e.lastEventIDs[id], last)
	return e.runs[id], e.version
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.Request)
	w.Header().Set(names.Request, id)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run, version := e.beginRun(id, r.Header.Get("Last-Event-Id"))
	fault := strings.SplitN(id, "-", 2)[0]
	if fault == "lost" && strings.HasSuffix(id, "-reward") && e.sinceFirstRun(id) < lostTime {
		panic(http.ErrAbortHandler)
	}
	if fault == "rejected" && run == 1 {
		w.Header().Set(names.Rejected, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if fault == "resets" && run <= 5 || fault == "crashing" || fault == "unlucky" && e.crashedEngines() < unluckyCrashes {
		e.recordCrash(r.Header.Get(names.Endpoint))
		panic(http.ErrAbortHandler)
	}
	if fault == "apart" && !strings.HasSuffix(id, "-reward") {
		endpoint := r.Header.Get(names.Endpoint)
		if e.beginSuspectRun(id, endpoint) {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(apartDelay)
		e.endSuspectRun(endpoint)
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
		sendEndless(w, id)
		return
	}
	for n := last + 1; n <= events; n++ {
		if fault == "stalled" && run == 1 && n == 3 {
			sendComments(w, r, time.Minute)
			return
		}
		if fault == "held" && n == 3 {
			close(e.halfway)
			<-e.release
		}
		if fault == "commented" {
			sendComments(w, r, 10*time.Millisecond)
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

// sendEndless sends events until its caller closes.
func sendEndless(w http.ResponseWriter, id string) {
	var err error
	for n := 1; err == nil; n++ {
		_, err = fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", n, id, n)
	}
}

// sendComments keeps the stream open for some time without any event.
func sendComments(w http.ResponseWriter, r *http.Request, limit time.Duration) {
	_, _ = io.Copy(io.Discard, r.Body) // only then does the server notice that its caller has left
	for start := time.Now(); time.Since(start) < limit && r.Context().Err() == nil; time.Sleep(5 * time.Millisecond) {
		_, _ = fmt.Fprint(w, ": wait\n\n")
		_ = http.NewResponseController(w).Flush()
	}
}
