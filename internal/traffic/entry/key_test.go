package entry

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// Guards against a key that reaches an endpoint, log or metric because a caller
// put it into the wrong part of the request, and against losing other parts of
// the request when the key is removed.
func TestKeyReachesNoEndpoint(t *testing.T) {
	var mu sync.Mutex
	var seen strings.Builder
	i := newInstance(t, startService(t, func(_ http.ResponseWriter, r *http.Request) {
		raw, _ := httputil.DumpRequest(r, true)
		mu.Lock()
		defer mu.Unlock()
		seen.Write(raw)
	}))
	encoded := strings.ReplaceAll(testKey, "_", "%5F")
	for _, c := range []struct{ path, name, value, kept string }{
		{"/s/send/a?x=1", "", "", "x=1"},
		{"/s/send/b?key=" + testKey + "&y=2", "", "", "y=2"},
		{"/s/look/c?key=" + encoded + "&z=3", "", "", "z=3"},
		{"/s/look/c?" + url.QueryEscape(encoded) + "=1&u=4", "", "", "u=4"},
		{"/s/open/d", "Cookie", "a=b; key=" + testKey + "; session=" + encoded, "a=b"},
		{"/s/send/e", "X-Api-Key", testKey, "/e"},
		{"/s/send/f", "Referer", "http://x/?k=" + encoded, "/f"},
		{"/s/open/g", "Proxy-Authorization", "Bearer " + testKey, "/g"},
		{"/s/send/h", "X-Note", "plain", "X-Note: plain"},
		{"/s/look/i", "Idempotency-Key", testKey, "/i"},
	} {
		name, value := c.name, c.value
		if name == "" {
			name, value = "X-Other", "1"
		}
		resp, body := i.do(t, "POST", c.path, "body", name, value)
		if resp.StatusCode != http.StatusOK || !strings.Contains(seen.String(), c.kept) {
			t.Errorf("%s: status %d: %s, want %q to reach the service", c.path, resp.StatusCode, body, c.kept)
		}
	}
	for _, c := range []struct{ path, body string }{{"/s/send/" + testKey, ""}, {"/s/send/" + encoded, ""}, {"/s/open/x", "key is " + testKey}} {
		if resp, body := i.do(t, "POST", c.path, c.body); resp.StatusCode != http.StatusBadRequest {
			t.Errorf("key in path %s or body %q: status %d: %s", c.path, c.body, resp.StatusCode, body)
		}
	}
	if resp, body := i.do(t, "POST", "/s/send/x", "", "Idempotency-Key", testKey); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("key as idempotency key: status %d: %s", resp.StatusCode, body)
	}
	metrics, err := json.Marshal(i.meters)
	if err != nil {
		t.Fatal(err)
	}
	for location, text := range map[string]string{"endpoint": seen.String(), "log": i.logged(), "metrics": string(metrics)} {
		plain, _ := url.QueryUnescape(text)
		if strings.Contains(text+plain, "0123456789abcdefsecret") || strings.Contains(text, hexDigest(testKey)) {
			t.Errorf("the key or its digest reached the %s: %s", location, text)
		}
	}
}

// Guards against a queued request that runs although its key was withdrawn. The
// change of the table cancels the request; if a slot becomes free before that
// takes effect, the check at dispatch must refuse it.
func TestKeyWithdrawnWhileQueued(t *testing.T) {
	for _, cancelled := range []bool{true, false} {
		runs := 0
		i := newInstance(t, startService(t, func(http.ResponseWriter, *http.Request) { runs++ }))
		i.slots.Store(0)
		answer := make(chan string)
		go func() {
			_, body := i.do(t, "POST", "/s/send/x", "")
			answer <- body
		}()
		for i.queue.Waiting()["acme"] == 0 {
			time.Sleep(time.Millisecond)
		}
		if cancelled {
			i.withdraw(t)
		} else {
			// Without the cancellation only the check at dispatch is left.
			i.entry.active.clear()
			i.withdraw(t)
			i.slots.Store(1)
		}
		if body := <-answer; !strings.Contains(body, "key_withdrawn") || !strings.Contains(body, "not_run") || runs > 0 {
			t.Errorf("cancelled %v: %d runs, response %s", cancelled, runs, body)
		}
	}
}

func (a *activeRequests) clear() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests = map[*caller]struct{}{}
}

// Guards against a queued request that runs although the view of the keys is no
// longer fresh, and against a response that does not say that it has not run.
func TestStaleWhileQueued(t *testing.T) {
	i := newInstance(t, startService(t, func(http.ResponseWriter, *http.Request) { t.Error("the request reached the service") }))
	i.slots.Store(0)
	answer := make(chan string)
	go func() {
		_, body := i.do(t, "POST", "/s/send/x", "")
		answer <- body
	}()
	for i.queue.Waiting()["acme"] == 0 {
		time.Sleep(time.Millisecond)
	}
	i.stale.Store(true)
	i.slots.Store(1)
	if body := <-answer; !strings.Contains(body, "keys_stale") || !strings.Contains(body, "not_run") {
		t.Errorf("response %s, want keys_stale and not_run", body)
	}
}

// readFunc is an io.Reader.
type readFunc func(p []byte) (int, error)

func (f readFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against 404 for a model that was added while the view of the table was not
// fresh: the body came long after the key was checked.
func TestUnknownModelNeedsAFreshTable(t *testing.T) {
	i := newInstance(t, startEngine(t, &testEngine{}))
	text := strings.NewReader(`{"model":"nothing","prompt":"p","max_tokens":1}`)
	body := readFunc(func(p []byte) (int, error) {
		i.stale.Store(true) // the server asks for the body once the key is checked
		return text.Read(p)
	})
	request, err := http.NewRequest(http.MethodPost, i.url+"/v1/generate", body)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Expect", "100-continue")
	response, err := (&http.Client{Transport: &http.Transport{ExpectContinueTimeout: time.Minute}}).Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body) // what was read is checked
	if response.StatusCode != http.StatusServiceUnavailable || !strings.Contains(string(answer), "keys_stale") {
		t.Errorf("status %d, body %s; want 503 keys_stale", response.StatusCode, answer)
	}
}

// Guards against a key that still works after its withdrawal: a running stream
// must end without its final line, and later requests on the same connection
// must be refused.
func TestKeyWithdrawnWhileStreaming(t *testing.T) {
	i := newInstance(t, startEngine(t, &testEngine{beforeChunk: func(int) { time.Sleep(100 * time.Microsecond) }}))
	req, err := http.NewRequest("POST", i.url+"/v1/generate", strings.NewReader(`{"model":"tagger","prompt":"p","max_tokens":20000,"stream":true}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	reader := bufio.NewReader(resp.Body)
	if _, err := reader.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	i.withdraw(t)
	rest, _ := io.ReadAll(reader)
	if !strings.Contains(string(rest), "key_withdrawn") || strings.Contains(string(rest), `"done"`) {
		t.Errorf("the stream ended with %s, want key_withdrawn and no final line", rest)
	}
	if resp, body := i.do(t, "POST", "/v1/generate", `{}`); resp.StatusCode != http.StatusUnauthorized {
		t.Errorf("request with a withdrawn key: status %d: %s", resp.StatusCode, body)
	}
}

// Guards against bad input that is accepted, refused with the wrong code, not
// counted, or that disturbs later requests. Each command of the script is one
// request.
func TestBadInput(t *testing.T) {
	served := 0
	i := newInstance(t, startService(t, func(http.ResponseWriter, *http.Request) { served++ }), startEngine(t, &testEngine{}))
	datadriven.RunTest(t, "testdata/input", func(t *testing.T, d *datadriven.TestData) string {
		var path, body string
		header := []string{}
		for _, arg := range d.CmdArgs {
			switch arg.Key {
			case "path":
				path = arg.Vals[0]
			case "huge":
				body = `{"prompt":"` + strings.Repeat("x", 1<<20) + `"}`
			case "stale":
				i.stale.Store(true)
				defer i.stale.Store(false)
			case "nokey":
				header = append(header, "Authorization", "")
			case "key":
				header = append(header, "Authorization", "Bearer "+arg.Vals[0])
			default:
				header = append(header, arg.Key, strings.Join(arg.Vals, ","))
			}
		}
		if body == "" {
			body = d.Input
		}
		before := i.refusals()
		resp, text := i.do(t, d.Cmd, path, body, header...)
		var failure struct{ Name, Run string }
		if resp.StatusCode < 300 {
			return fmt.Sprintf("%d", resp.StatusCode)
		}
		if err := json.Unmarshal([]byte(text), &failure); err != nil {
			return fmt.Sprintf("%d %s", resp.StatusCode, text)
		}
		return fmt.Sprintf("%d %s run=%s counted=%d retry=%v", resp.StatusCode, failure.Name, failure.Run, i.refusals()-before, resp.Header.Get("Retry-After"))
	})
	if served != 2 {
		t.Errorf("%d bad requests reached the service", served-2)
	}
}

func (i *instance) refusals() (sum int64) {
	for _, n := range i.meters.Counter("requests_refused").Values() {
		sum += n
	}
	return sum
}
