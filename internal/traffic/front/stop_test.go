package front

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/standin/ledger"
	"github.com/wigeonpin/wigeonpin/internal/traffic/stop"
)

// busyCount is the number of requests that occupy both endpoints of a fixture.
const busyCount = 8

// holdingEndpoint answers the requests that it runs once release is closed.
type holdingEndpoint struct {
	release chan struct{}
	runs    atomic.Int64
}

func newHoldingEndpoint(t *testing.T) *holdingEndpoint {
	e := &holdingEndpoint{release: make(chan struct{})}
	t.Cleanup(func() { close(e.release) })
	return e
}

func (e *holdingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only after this
	e.runs.Add(1)
	select {
	case <-e.release:
	case <-r.Context().Done():
	}
	echo(w, r)
}

// await waits until the endpoint has begun to run a number of requests.
func (e *holdingEndpoint) await(t *testing.T, count int64) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); e.runs.Load() < count; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests run, want %d", e.runs.Load(), count)
		}
	}
}

// outcome is the answer to a request; status 0 means that there was no whole one.
type outcome struct {
	status int
	body   string
	retry  string
}

// goCall sends a request in the background.
func (fx *fixture) goCall(t *testing.T, method, path, key, body string) <-chan outcome {
	answered := make(chan outcome, 1)
	go func() {
		status, header, text, err := fx.call(t, method, path, key, body)
		if err != nil {
			status = 0
		}
		answered <- outcome{status, text, header.Get("Retry-After")}
	}()
	return answered
}

func (o outcome) refused() bool {
	return o.status == http.StatusServiceUnavailable && strings.Contains(o.body, `"run":"not_run"`) && o.retry != ""
}

// Guards against requests that were passed on and get no answer, or one that says not
// run, when a planned stop ends before them.
func TestPassedOnRequestsAreAnsweredAtTheEnd(t *testing.T) {
	e := newHoldingEndpoint(t)
	fx := newFixture(t, e.ServeHTTP)
	once, again := fx.goCall(t, http.MethodPost, "/once/a", "", "x"), fx.goCall(t, http.MethodPost, "/open/a", "", "y")
	e.await(t, 2)
	fx.stop.Begin(100 * time.Millisecond)
	for _, answered := range []<-chan outcome{once, again} {
		if o := <-answered; o.status != http.StatusBadGateway || !strings.Contains(o.body, `"name":"stopped"`) || !strings.Contains(o.body, `"run":"may_have_run"`) {
			t.Errorf("%+v, want stopped, may have run", o)
		}
	}
	if counts := fx.stop.Counts(); counts[string(stop.Cut)] != 2 {
		t.Errorf("counts %v, want 2 requests cut", counts)
	}
}

// Guards against requests that still wait for an endpoint when they could not end
// within a planned stop any more.
func TestStopEndsTheWaitForAnEndpoint(t *testing.T) {
	e := newHoldingEndpoint(t)
	fx := newFixture(t, e.ServeHTTP)
	for n := range busyCount {
		fx.goCall(t, http.MethodPost, "/open/a", "", fmt.Sprint("busy", n))
	}
	e.await(t, busyCount)
	began := time.Now()
	// A request that may wait on is before it: its time limit ends before the stop.
	_, _ = fx.sendRaw(t, post("/once/a", 3000, "Content-Length: 1\r\n", "1"))
	time.Sleep(50 * time.Millisecond)
	waits := fx.goCall(t, http.MethodPost, "/once/a", "", "waits")
	time.Sleep(50 * time.Millisecond)
	select {
	case o := <-waits:
		t.Fatalf("%+v before the stop", o)
	default:
	}
	fx.stop.Begin(5 * time.Second)
	if o := <-waits; !o.refused() || !strings.Contains(o.body, "draining") {
		t.Errorf("%+v, want a refusal that says not run", o)
	}
	// Without the stop it is refused after a second.
	if took := time.Since(began); took > 800*time.Millisecond {
		t.Errorf("refused after %v", took)
	}
	if e.runs.Load() != busyCount {
		t.Errorf("%d requests ran, want %d", e.runs.Load(), busyCount)
	}
}

// Guards against requests that are refused only once their body has arrived, or whose
// callers get a reset in place of the refusal since they go on sending.
func TestStopRefusesWhileTheBodyArrives(t *testing.T) {
	for name, c := range map[string]struct{ head, first, rest string }{
		"announced":     {"Content-Length: 900\r\n", "1", strings.Repeat("1", 899)},
		"not announced": {"Transfer-Encoding: chunked\r\n", "1\r\n1\r\n", "1\r\n1\r\n0\r\n\r\n"},
	} {
		for when, before := range map[string]bool{"before the stop": true, "during it": false} {
			t.Run(name+", "+when, func(t *testing.T) {
				t.Parallel()
				var runs atomic.Int64
				fx := newFixture(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
				if !before {
					fx.stop.Begin(5 * time.Second)
				}
				began := time.Now()
				conn, reader := fx.sendRaw(t, post("/once/a", 12000, c.head, c.first))
				if before {
					time.Sleep(100 * time.Millisecond)
					fx.stop.Begin(5 * time.Second)
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				took := time.Since(began)
				time.Sleep(700 * time.Millisecond) // net/http itself waits for 500 ms before it closes the connection
				for part := range strings.SplitAfterSeq(c.rest, "1") {
					if _, err := io.WriteString(conn, part); err != nil {
						t.Fatalf("sending the rest of the body: %v", err)
					}
				}
				text, err := io.ReadAll(response.Body)
				if err != nil || response.StatusCode != http.StatusServiceUnavailable || !response.Close || !strings.Contains(string(text), "not_run") {
					t.Errorf("status %d, connection closed %v, body %q, %v", response.StatusCode, response.Close, text, err)
				}
				if took > time.Second {
					t.Errorf("refused after %v", took)
				}
				if _, err := reader.ReadByte(); err != io.EOF {
					t.Errorf("the connection ended with %v", err)
				}
				if runs.Load() != 0 {
					t.Error("a refused request ran")
				}
			})
		}
	}
}

// Guards against refusals of requests that end within a planned stop: by their time
// limit, or as those before them did.
func TestStopServesWhatCanEnd(t *testing.T) {
	fx := newFixture(t, echo)
	for n := range 20 {
		fx.call(t, http.MethodPost, "/once/a", "", fmt.Sprint(n))
	}
	fx.stop.Begin(5 * time.Second)
	for _, path := range []string{"/once/a", "/open/a"} {
		if status, _, _, err := fx.call(t, http.MethodPost, path, "", "x"); err != nil || status != http.StatusOK {
			t.Errorf("%s: status %d, %v", path, status, err)
		}
	}
	_, reader := fx.sendRaw(t, post("/once/b", 4000, "Content-Length: 1\r\n", "1"))
	if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("a request with a short time limit: %v, %v", response, err)
	}
}

// Guards against calls about batches that are open at the end of a planned stop: a
// submission to a store that does not answer or is out of reach, and a long poll. Each
// gets a whole answer, and only what was not stored is said to be not run.
func TestStopAnswersBatchCalls(t *testing.T) {
	fx := newFixture(t, echo)
	if status, _, _, _ := fx.call(t, http.MethodPost, "/batch/x", "k1", "b1"); status != http.StatusAccepted {
		t.Fatalf("status %d, want 202", status)
	}
	fx.silent.Store(true)
	silent := fx.goCall(t, http.MethodPost, "/batch/x", "k1", "b2")
	time.Sleep(50 * time.Millisecond)
	fx.silent.Store(false)
	fx.ledger.SetFault(ledger.Refuse)
	fx.restored = make(chan struct{})
	refused := fx.goCall(t, http.MethodPost, "/batch/x", "k1", "b3")
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	fx.stop.Begin(300 * time.Millisecond)
	if o := <-silent; o.status != http.StatusGatewayTimeout || !strings.Contains(o.body, "may_have_run") {
		t.Errorf("a store that does not answer: %+v", o)
	}
	if o := <-refused; !o.refused() {
		t.Errorf("a store out of reach: %+v", o)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("answered after %v", took)
	}
	for _, path := range []string{"/batch/x", "/results/id-b1", "/items/id-b1?id=b1"} {
		method := http.MethodGet
		if path == "/batch/x" {
			method = http.MethodPost
		}
		if o := <-fx.goCall(t, method, path, "k1", "b4"); !o.refused() {
			t.Errorf("%s after the end: %+v", path, o)
		}
	}
}

// Guards against a long poll that is open at the end of a planned stop and gets no
// answer.
func TestStopEndsLongPolls(t *testing.T) {
	fx := newFixture(t, echo)
	if status, _, _, _ := fx.call(t, http.MethodPost, "/batch/x", "k1", "b1"); status != http.StatusAccepted {
		t.Fatalf("status %d, want 202", status)
	}
	_, reader := fx.sendRaw(t, fmt.Sprintf("GET /results/id-b1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\n%s: 60000\r\n\r\n", names.Wait))
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	fx.stop.Begin(100 * time.Millisecond)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(response.Body)
	if o := (outcome{response.StatusCode, string(text), response.Header.Get("Retry-After")}); err != nil || !o.refused() {
		t.Errorf("%+v, %v, want a refusal that says not run", o, err)
	}
	// Without the stop it is answered after a second.
	if took := time.Since(began); took > 700*time.Millisecond {
		t.Errorf("answered after %v", took)
	}
}

// Guards against streams that are ended since their endpoint is silent for a while,
// although they cannot be resumed: no attempt is left, or a resumed one could not end
// within a planned stop (review/5).
func TestSilentStreamsThatCannotBeResumed(t *testing.T) {
	for name, c := range map[string]struct {
		path  string
		limit time.Duration // of the planned stop
	}{
		"no attempt left":                   {"/last/a", 0},
		"no attempt left in a planned stop": {"/last/a", 8 * time.Second},
		"late in a planned stop":            {"/stream/a", 3500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began := make(chan struct{})
			var runs atomic.Int64
			fx := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only after this
				w.Header().Set(names.Request, r.Header.Get(names.Request))
				w.Header().Set(names.Stamp, "proof")
				_, _ = fmt.Fprint(w, "id: 1\ndata: x1\n\n")
				_ = http.NewResponseController(w).Flush()
				if runs.Add(1) == 1 {
					close(began)
				}
				select {
				case <-time.After(stallTimeout + 600*time.Millisecond):
				case <-r.Context().Done():
				}
				_, _ = fmt.Fprint(w, "id: 2\ndata: x2\n\n")
			})
			answered := fx.goCall(t, http.MethodPost, c.path, "", "x")
			<-began
			if c.limit > 0 {
				fx.stop.Begin(c.limit)
			}
			want := "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\n"
			if o := <-answered; o.status != http.StatusOK || o.body != want || runs.Load() != 1 {
				t.Errorf("%+v in %d runs, want %q in one", o, runs.Load(), want)
			}
		})
	}
}
