package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wigeonpin/wigeonpin/internal/base/codec"
	"github.com/wigeonpin/wigeonpin/internal/control/table"
)

// Guards against a planned stop that interrupts requests. The instance must
// first become unready while it still serves, then refuse new requests as not
// run, and wait for the running ones.
func TestDrain(t *testing.T) {
	arrived, proceed := make(chan struct{}), make(chan struct{})
	i := newInstance(t, startService(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			close(arrived)
			<-proceed
		}
	}))
	held := make(chan int)
	go func() {
		resp, _ := i.do(t, "POST", "/s/send/held", "")
		held <- resp.StatusCode
	}()
	<-arrived
	i.entry.SetUnready()
	if resp, _ := i.do(t, "GET", "/readyz", ""); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("/readyz after SetUnready: status %d, want 503", resp.StatusCode)
	}
	if resp, body := i.do(t, "POST", "/s/send/new", ""); resp.StatusCode != http.StatusOK {
		t.Errorf("request to an unready instance before the drain: status %d: %s", resp.StatusCode, body)
	}
	drained := make(chan error)
	go func() { drained <- i.entry.Drain(context.Background()) }()
	for {
		resp, body := i.do(t, "POST", "/s/send/new", "")
		if resp.StatusCode == http.StatusOK {
			continue // The drain has not begun yet.
		}
		if !strings.Contains(body, `"draining"`) || !strings.Contains(body, "not_run") {
			t.Errorf("request during the drain: %s, want draining and not_run", body)
		}
		break
	}
	select {
	case err := <-drained:
		t.Errorf("drain returned %v while a request was running", err)
	default:
	}
	close(proceed)
	if status := <-held; status != http.StatusOK {
		t.Errorf("request that ran during the drain: status %d", status)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// Guards against requests that run or wait at the end of the drain limit and get no
// answer, or one that says not run although they ran, and against requests that are
// taken although they cannot end within the limit.
func TestDrainLimitAnswersEveryRequest(t *testing.T) {
	const slots = 8
	var runs atomic.Int64
	release := make(chan struct{})
	i := newInstance(t, startService(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only after this
		runs.Add(1)
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}))
	defer close(release)
	i.entry.settings.DrainDelayMS, i.entry.settings.DrainLimitMS = 500, 500
	answers := make(chan string, slots+1)
	send := func(path string, header ...string) {
		go func() {
			resp, body := i.do(t, "POST", path, "", header...)
			answers <- fmt.Sprint(resp.StatusCode, " ", body)
		}()
	}
	send("/s/send/held", headerIdempotency, "one")
	for range slots - 1 {
		send("/s/send/held")
	}
	for end := time.Now().Add(20 * time.Second); runs.Load() < slots && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	send("/s/send/waits")
	for end := time.Now().Add(20 * time.Second); i.queue.Waiting()["acme"] == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan error, 1)
	go func() { drained <- i.entry.Drain(context.Background()) }()
	for ready := true; ready; {
		resp, _ := i.do(t, "GET", "/readyz", "")
		ready = resp.StatusCode == http.StatusOK
	}
	if resp, body := i.do(t, "POST", "/s/send/late", ""); resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, "not_run") {
		t.Errorf("a request that cannot end: status %d: %s, want 503 and not_run", resp.StatusCode, body)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	counts := map[string]int{}
	for range slots + 1 {
		select {
		case answer := <-answers:
			switch {
			case strings.HasPrefix(answer, "502") && strings.Contains(answer, "may_have_run"):
				counts["stopped"]++
			case strings.HasPrefix(answer, "503") && strings.Contains(answer, "not_run"):
				counts["refused"]++
			default:
				t.Error(answer)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("answers %v, and no further one", counts)
		}
	}
	if counts["stopped"] != slots || counts["refused"] != 1 || runs.Load() != slots {
		t.Errorf("answers %v in %d runs, want %d stopped and one refused", counts, runs.Load(), slots)
	}
}

// Guards against pulls whose wait is longer than the drain limit and that get no answer:
// one that waits when the stop begins, and one that comes after that.
func TestDrainEndsWaitingPulls(t *testing.T) {
	i := newInstance(t)
	i.entry.settings.DrainDelayMS, i.entry.settings.DrainLimitMS = 2000, 500
	waits := make(chan time.Duration, 2)
	i.entry.seams.Pull = func(ctx context.Context, _ table.Trainer, pull Pull) (any, error) {
		waits <- pull.Wait
		select {
		case <-time.After(pull.Wait):
			return map[string]bool{"complete": false}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	statuses := make(chan int, 2)
	pull := func() {
		resp, _ := i.do(t, "POST", "/v1/trainers/t1/steps/1/pull",
			`{"version":1,"groups":1,"group_size":1,"prompts":["p"],"max_tokens":1,"wait_ms":60000,"deadline_ms":60000}`)
		statuses <- resp.StatusCode
	}
	go pull()
	<-waits
	drained := make(chan error, 1)
	go func() { drained <- i.entry.Drain(context.Background()) }()
	for !i.entry.plan.Begun() {
		time.Sleep(time.Millisecond)
	}
	go pull()
	if wait := <-waits; wait > 2500*time.Millisecond-lastAnswersTime {
		t.Errorf("a pull waits for %v", wait)
	}
	if status := <-statuses; status != http.StatusOK {
		t.Errorf("a pull during the stop: status %d, want 200", status)
	}
	if status := <-statuses; status != http.StatusBadGateway {
		t.Errorf("a pull from before the stop: status %d, want 502", status)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// Guards against connections that are kept during the drain delay: their callers would
// come back to the stopping instance.
func TestUnreadyInstanceClosesConnections(t *testing.T) {
	i := newInstance(t, startService(t, func(http.ResponseWriter, *http.Request) {}))
	if resp, _ := i.do(t, "POST", "/s/send/x", ""); resp.Close {
		t.Error("the connection is closed before the stop")
	}
	i.entry.SetUnready()
	if resp, _ := i.do(t, "POST", "/s/send/x", ""); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("answer of an unready instance: status %d, connection closed %v, want 200 and true", resp.StatusCode, resp.Close)
	}
}

// dialPartialRequest opens a connection and sends a request whose body ends
// early.
func (i *instance) dialPartialRequest(t *testing.T, text, key string) net.Conn {
	c, err := net.Dial("tcp", strings.TrimPrefix(i.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", text, key)
	return c
}

// Guards against callers that send their body too slowly or disconnect early.
// Their requests must be counted, reach no endpoint and not disturb others.
func TestSlowAndCutCallers(t *testing.T) {
	i := newInstance(t, startService(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/good" {
			t.Errorf("%s reached the service", r.URL.Path)
		}
	}))
	_ = i.dialPartialRequest(t, "/s/send/cut", testKey).Close()
	// The body of a refused request is not read; the response must be sent
	// nevertheless.
	for key, want := range map[string]string{testKey: "slow_caller", "nonsense": "key_malformed"} {
		resp, err := http.ReadResponse(bufio.NewReader(i.dialPartialRequest(t, "/s/send/slow", key)), nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(resp.Body); !strings.Contains(string(body), want) {
			t.Errorf("slow caller with key %s: status %d: %s, want %s", key, resp.StatusCode, body, want)
		}
	}
	for i.meters.Counter("requests_refused").Value("acme/bad_request") != 1 {
		time.Sleep(time.Millisecond)
	}
	if resp, body := i.do(t, "POST", "/s/send/good", ""); resp.StatusCode != http.StatusOK {
		t.Errorf("request after slow callers: status %d: %s", resp.StatusCode, body)
	}
}

// Guards against a slot that stays occupied after the caller disconnected in the
// middle of its stream.
func TestCallerLeavesStream(t *testing.T) {
	i := newInstance(t, startEngine(t, &testEngine{beforeChunk: func(int) { time.Sleep(100 * time.Microsecond) }}))
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", i.url+"/v1/generate",
		strings.NewReader(`{"model":"tagger","prompt":"p","max_tokens":100000,"stream":true}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if n := i.slots.Load(); n != 7 {
		t.Errorf("%d free slots while the stream runs, want 7", n)
	}
	cancel()
	for i.slots.Load() != 8 {
		time.Sleep(time.Millisecond)
	}
}

// processorTime returns the CPU time that the process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkEntry compares small requests through the entry with the same
// requests sent directly to the endpoint, one at a time. The CPU time includes
// the client and the endpoint, which run in the same process; the difference
// between the two is the instance's share.
func BenchmarkEntry(b *testing.B) {
	endpoint := startService(b, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	engineEndpoint := startEngine(b, &testEngine{})
	i := newInstance(b, endpoint, engineEndpoint)
	for _, c := range []struct{ name, url, body string }{
		{"direct", "http://" + endpoint.Address + "/x", "pay"},
		{"repeatable", i.url + "/s/look/x", "pay"},
		{"once", i.url + "/s/send/x", "pay"},
		{"direct-generate", "http://" + engineEndpoint.Address + "/v1/generate", `{"request":"r","max_tokens":16}`},
		{"generate", i.url + "/v1/generate", `{"model":"tagger","prompt":"p","max_tokens":16}`},
	} {
		b.Run(c.name, func(b *testing.B) {
			latency := hdrhistogram.New(1, int64(time.Minute), 3)
			before := processorTime(b)
			for b.Loop() {
				req, err := http.NewRequest("POST", c.url, strings.NewReader(c.body))
				if err != nil {
					b.Fatal(err)
				}
				req.Header.Set("Authorization", "Bearer "+testKey)
				req.Header.Set(codec.HeaderRequest, "r")
				start := time.Now()
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					b.Fatal(err)
				}
				if _, err = io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
					b.Fatal(resp.StatusCode, err)
				}
				_ = resp.Body.Close()
				_ = latency.RecordValue(int64(time.Since(start)))
			}
			b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "p50-us")
			b.ReportMetric(float64(latency.ValueAtQuantile(99))/1000, "p99-us")
			b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}
