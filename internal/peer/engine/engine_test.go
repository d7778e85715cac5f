package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
)

// scriptedEngine is an engine that runs a script for each request. A line of a
// script is a command, see ServeHTTP, or a line to send. ID stands for the
// request's id.
type scriptedEngine struct {
	mu          sync.Mutex
	scripts     [][]string
	remoteAddrs []string
	silent      chan struct{}
}

func (s *scriptedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in Request
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	script := s.scripts[0]
	s.scripts = s.scripts[1:]
	s.remoteAddrs = append(s.remoteAddrs, r.RemoteAddr)
	s.mu.Unlock()
	for _, step := range script {
		word, rest, _ := strings.Cut(step, " ")
		switch word {
		case "status":
			var status int
			fmt.Sscan(rest, &status)
			w.WriteHeader(status)
		case "abort":
			panic(http.ErrAbortHandler)
		case "silent":
			// The test advances the clock once the client has received the chunks sent
			// so far.
			s.silent <- struct{}{}
			<-r.Context().Done()
			return
		case "raw":
			fmt.Fprint(w, strings.ReplaceAll(rest, "ID", in.Request))
			_ = http.NewResponseController(w).Flush()
		case "chunk":
			var n int
			fmt.Sscan(rest, &n)
			fmt.Fprintf(w, `{"request":%q,"index":%d,"text":"w%d ","tokens":1,"version":7}`+"\n", in.Request, n, n)
			_ = http.NewResponseController(w).Flush()
		case "heartbeat":
			fmt.Fprintln(w, `{"heartbeat":true}`)
		case "done":
			fmt.Fprintf(w, `{"request":%q,"done":true,"reason":"length","tokens":%s}`+"\n", in.Request, rest)
		default:
			fmt.Fprintln(w, strings.ReplaceAll(step, "ID", in.Request))
		}
	}
}

func outcomeOf(err error) string {
	for name, known := range map[string]error{
		"silent": ErrSilent, "incomplete": ErrIncomplete, "crossed": ErrCrossed, "unsent": ErrUnsent,
	} {
		if errors.Is(err, known) {
			return name
		}
	}
	if status := codec.StatusOf(err); status != 0 {
		return fmt.Sprintf("status %d", status)
	}
	if err != nil {
		return err.Error()
	}
	return "complete"
}

// Guards against an incomplete, crossed or silent stream that passes for a
// complete one, and against reuse of its connection, on which late lines could
// pass for lines of the next request. Each script breaks one stream at one point;
// a complete stream follows.
func TestStreams(t *testing.T) {
	datadriven.RunTest(t, "testdata/streams", func(_ *testing.T, d *datadriven.TestData) string {
		timers, driver := clock.NewDriven(time.Unix(1000, 0))
		s := &scriptedEngine{silent: make(chan struct{}, 1), scripts: [][]string{strings.Split(d.Input, "\n"), {"chunk 0", "done 1"}}}
		server := httptest.NewServer(s)
		defer server.Close()
		client := New(setting.Defaults(), timers)
		defer client.Close()
		stop, received := make(chan struct{}), make(chan struct{}, 8)
		defer close(stop)
		go func() {
			select {
			case <-s.silent:
				for range strings.Count(d.Input, "chunk") {
					<-received
				}
				driver.Advance(setting.Milliseconds(setting.Defaults().SilenceMS))
			case <-stop:
			}
		}()
		var out []string
		for _, id := range []string{"r-1", "r-2"} {
			text := ""
			_, err := client.Generate(context.Background(), strings.TrimPrefix(server.URL, "http://"),
				Request{Request: id, MaxTokens: 2}, func(c Chunk) error {
					text += c.Text
					received <- struct{}{}
					return nil
				})
			out = append(out, fmt.Sprintf("%s: %s %q", id, outcomeOf(err), text))
		}
		if s.remoteAddrs[0] == s.remoteAddrs[1] {
			out = append(out, "connection reused")
		}
		return strings.Join(out, "\n")
	})
}

// Guards against sound streams that are broken off as silent since the time of day was
// set ahead, and against a silent stream that goes on since it was set back.
func TestWrongTimeOfDaySilencesNoStream(t *testing.T) {
	timers, driver := clock.NewDriven(time.Unix(100000, 0))
	client := New(setting.Defaults(), timers)
	defer client.Close()
	check := client.silenceTimeout() / 6
	for _, offset := range []time.Duration{10 * time.Minute, -10 * time.Minute} {
		ctx, cancel := context.WithCancelCause(context.Background())
		w := client.startWatchdog(cancel)
		driver.SetBy(offset)
		driver.Advance(check)
		select {
		case <-ctx.Done():
			t.Errorf("set by %v: the stream ended after %v: %v", offset, check, context.Cause(ctx))
		case <-time.After(50 * time.Millisecond):
		}
		for range 6 {
			driver.Advance(check)
			time.Sleep(time.Millisecond) // the watchdog takes one tick at a time
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
			t.Errorf("set by %v: the silent stream goes on", offset)
		}
		w.stop()
		cancel(nil)
	}
}
