package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// sendRaw sends text on a new connection and returns the connection and a reader
// of the response.
func (fx *fixture) sendRaw(t *testing.T, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(fx.server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	return c, bufio.NewReader(c)
}

func post(path string, deadlineMs int, head, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: r1\r\n%s: %d\r\n%s\r\n%s",
		path, names.Request, names.Deadline, deadlineMs, head, body)
}

// Guards against callers that hold a request open by sending its body very slowly
// or not at all. They must be refused when their own deadline passes, and nothing
// may run.
func TestSlowBodyIsRefused(t *testing.T) {
	var runs atomic.Int64
	fx := newFixture(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	for name, head := range map[string]string{
		"announced":     "Content-Length: 900\r\n",
		"not announced": "Transfer-Encoding: chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c, reader := fx.sendRaw(t, post("/open/a", 300, head, "1"))
			stop := make(chan struct{})
			defer close(stop)
			go func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(50 * time.Millisecond):
						_, _ = io.WriteString(c, "0")
					}
				}
			}()
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if response.StatusCode != http.StatusRequestTimeout || !response.Close {
				t.Errorf("status %d, connection closed %v, want 408 and true", response.StatusCode, response.Close)
			}
		})
	}
	if runs.Load() != 0 {
		t.Error("a request without its whole body ran")
	}
}

// Guards against bodies that together exhaust the memory of the process. A body
// over the budget must be refused; requests without one are still served.
func TestManyLargeBodies(t *testing.T) {
	fx := newFixture(t, echo)
	// Each of these holds 1001 bytes of the budget until it is complete. One that
	// arrives while a probe below holds its bytes is refused and sent again.
	refused := make(chan struct{}, bodyBudget/1001)
	hold := func() {
		_, reader := fx.sendRaw(t, post("/open/a", 20_000, "Content-Length: 1000\r\n", strings.Repeat("x", 999)))
		go func() {
			if answer, err := http.ReadResponse(reader, nil); err == nil && answer.StatusCode == http.StatusServiceUnavailable {
				refused <- struct{}{}
			}
		}()
	}
	for range bodyBudget / 1001 {
		hold()
	}
	full := func() bool {
		status, header, body, err := fx.call(t, http.MethodPost, "/open/a", "", strings.Repeat("x", 900))
		return err == nil && status == http.StatusServiceUnavailable && header.Get("Retry-After") != "" && strings.Contains(body, "memory_full")
	}
	for end := time.Now().Add(10 * time.Second); !full(); time.Sleep(10 * time.Millisecond) {
		select {
		case <-refused:
			hold()
		default:
		}
		if time.Now().After(end) {
			t.Fatal("a body over the budget was not refused")
		}
	}
	if status, _, _, err := fx.call(t, http.MethodGet, "/open/a", "", ""); err != nil || status != http.StatusOK {
		t.Errorf("a request without a body got %d, %v", status, err)
	}
}

// deadlineRecorder is a ResponseRecorder that counts deadlines and the bytes that
// are written under one of them.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	writeDeadlines int
	largest        int // most bytes written under one deadline
	sinceDeadline  int
	readDeadlines  int
}

func (d *deadlineRecorder) SetReadDeadline(time.Time) error {
	d.readDeadlines++
	return nil
}

func (d *deadlineRecorder) SetWriteDeadline(time.Time) error {
	d.writeDeadlines++
	d.sinceDeadline = 0
	return nil
}

func (d *deadlineRecorder) Write(b []byte) (int, error) {
	d.sinceDeadline += len(b)
	d.largest = max(d.largest, d.sinceDeadline)
	return d.ResponseRecorder.Write(b)
}

// Guards against answers that the caller never reads, which would hold their
// memory forever, and against a single deadline for a long answer, which would cut
// off a slow caller that keeps reading.
func TestEachWriteChunkHasADeadline(t *testing.T) {
	d := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	p := newDeadlineWriter(d)
	text := strings.Repeat("x", 10*maxWriteChunk+1)
	p.WriteHeader(http.StatusOK)
	if n, err := io.WriteString(p, text); n != len(text) || err != nil {
		t.Errorf("%d bytes written, %v, want %d", n, err, len(text))
	}
	if d.Body.String() != text || d.largest > maxWriteChunk || d.writeDeadlines < 12 {
		t.Errorf("%d bytes written, %d under one of %d deadlines", d.Body.Len(), d.largest, d.writeDeadlines)
	}
}

// Guards against a caller that keeps sending its body slowly after the request was
// refused unread: net/http goes on reading for a while after the handler returns.
func TestRefusedBodyHasADeadline(t *testing.T) {
	fx := newFixture(t, echo)
	d := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	r := httptest.NewRequest(http.MethodPost, "/none/a", strings.NewReader("x"))
	r.Host = "h"
	fx.front.ServeHTTP(d, r)
	if d.Code != http.StatusNotFound || d.readDeadlines != 1 {
		t.Errorf("status %d with %d read deadlines, want 404 with one", d.Code, d.readDeadlines)
	}
}

// Guards against a stalled endpoint that keeps its stream open with comments: the
// stream must be resumed at another endpoint. A slow stream whose events keep
// coming must stay where it is.
func TestStalledAndSlowStreams(t *testing.T) {
	for name, c := range map[string]struct {
		stalls bool
		runs   int64
	}{"stalled": {true, 2}, "slow": {false, 1}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int64
			fx := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only after this
				w.Header().Set(names.Request, r.Header.Get(names.Request))
				w.Header().Set(names.Stamp, "proof")
				first := runs.Add(1) == 1
				for n := 1; n <= 4; n++ {
					if r.Header.Get("Last-Event-Id") == "2" && n <= 2 {
						continue
					}
					for wait := 0; first && (wait < 16 || c.stalls && n == 3) && r.Context().Err() == nil; wait++ {
						time.Sleep(50 * time.Millisecond)
						_, _ = fmt.Fprint(w, ": wait\n\n")
						_ = http.NewResponseController(w).Flush()
					}
					_, _ = fmt.Fprintf(w, "id: %d\ndata: x%d\n\n", n, n)
					_ = http.NewResponseController(w).Flush()
				}
			})
			status, _, body, err := fx.call(t, http.MethodPost, "/stream/a", "", "x")
			got := strings.ReplaceAll(body, ": wait\n\n", "")
			want := "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\nid: 3\ndata: x3\n\nid: 4\ndata: x4\n\n"
			if err != nil || status != http.StatusOK || got != want {
				t.Errorf("status %d, body %q, %v, want 200 and %q", status, got, err, want)
			}
			if runs.Load() != c.runs {
				t.Errorf("%d runs, want %d", runs.Load(), c.runs)
			}
		})
	}
}
