// Package contract tests the stand-ins against the published protocols. Each file
// in testdata is a script of calls with the expected responses.
package contract

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/goleak"

	"github.com/wigeonpin/wigeonpin/internal/standin/cut"
	"github.com/wigeonpin/wigeonpin/internal/standin/engine"
	"github.com/wigeonpin/wigeonpin/internal/standin/host"
	"github.com/wigeonpin/wigeonpin/internal/standin/platform"
	"github.com/wigeonpin/wigeonpin/internal/standin/scorer"
	"github.com/wigeonpin/wigeonpin/internal/standin/service"
	"github.com/wigeonpin/wigeonpin/internal/standin/weightstore"
)

// cutOff stands for a stream that ended without its last line.
const cutOff = "cut off"

// waitTimeout is the timeout of each call and of each wait for an event.
const waitTimeout = 30 * time.Second

// Guards against stand-ins that deviate from the published protocols and against
// fault switches without effect. Tests of instances against such stand-ins would
// pass without checking anything.
func TestContracts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		defer goleak.VerifyNone(t, goleak.IgnoreTopFunction("internal/poll.runtime_pollWait"))
		w := newFixture(t)
		defer w.close()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			w.t = t
			if d.Cmd == "start" {
				for _, line := range strings.Split(d.Input, "\n") {
					w.start(strings.Fields(line))
				}
				return ""
			}
			var out strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				out.WriteString(w.runLine(line) + "\n")
			}
			return out.String()
		})
	})
}

// fixture holds the stand-ins of one script by name.
type fixture struct {
	t          *testing.T
	ctx        context.Context
	stop       context.CancelFunc
	hosts      []*host.Host
	addresses  map[string]string
	endpoints  []platform.EndpointSpec
	client     *http.Client
	background chan string
	relays     []*cut.Relay
}

func newFixture(t *testing.T) *fixture {
	w := &fixture{t: t, addresses: map[string]string{}, client: &http.Client{Transport: &http.Transport{}}, background: make(chan string, 16)}
	w.ctx, w.stop = context.WithCancel(context.Background())
	return w
}

func (w *fixture) close() {
	w.stop()
	w.client.CloseIdleConnections()
	for _, r := range w.relays {
		r.Close()
	}
	for _, h := range w.hosts {
		h.Close()
	}
}

// start starts a stand-in: NAME KIND OPTION=VALUE...
func (w *fixture) start(words []string) {
	name, kind, options := words[0], words[1], map[string]string{}
	for _, word := range words[2:] {
		key, value, _ := strings.Cut(word, "=")
		options[key] = value
	}
	number := func(key string, defaultValue int) int {
		if n, err := strconv.Atoi(options[key]); err == nil {
			return n
		}
		return defaultValue
	}
	ms := func(key string, defaultValue int) time.Duration {
		return time.Duration(number(key, defaultValue)) * time.Millisecond
	}
	o := host.Options{Name: kind, Listen: "127.0.0.1:0", Control: "127.0.0.1:0"}
	switch kind {
	case "platform":
		p := platform.New(platform.Options{
			Lag: ms("lag", 0), ReadRate: float64(number("reads", 0)), WriteRate: float64(number("writes", 0)),
			StartDelay: ms("start", 0), StopDelay: ms("leave", 0), Pool: w.endpoints,
		})
		go p.Run(w.ctx)
		o.Handler = p.Handler()
		if replaced, ok := options["view"]; ok {
			o.Handler = p.View(platform.View{Addresses: map[string]string{w.addresses[replaced]: "192.0.2.1:1", "192.0.2.2:2": "192.0.2.3:3"}})
		}
	case "engine":
		e := w.newEngine(options, number, ms, &o)
		defer func() {
			h := w.hosts[len(w.hosts)-1]
			e.OnCrash = func() { h.Down(20 * time.Millisecond) }
			w.endpoints = append(w.endpoints, platform.EndpointSpec{
				ID: name, Zone: options["zone"], Address: w.addresses[name], Control: w.addresses[name+"-control"], Kind: "engine", Model: "tagger",
				Class: options["class"], Price: 1, On: options["on"] == "yes", ColdMS: 1000,
			})
		}()
	case "service":
		s := service.New(service.Options{Slots: 4, CallTime: time.Millisecond})
		o.Handler, o.HandlerCrash = s.Handler(), true
	case "weightstore":
		o.Handler = weightstore.New(weightstore.Options{Rate: 0.001, Burst: number("burst", 100), Bytes: 8}).Handler()
	case "scorer":
		o.Handler = scorer.New(0).Handler()
	case "cut":
		r := cut.New([]cut.Pair{{Listen: "127.0.0.1:0", Target: w.addresses[options["to"]]}})
		if err := r.Start(); err != nil {
			w.t.Fatal(err)
		}
		w.relays = append(w.relays, r)
		w.addresses[name+"-relayed"] = r.Addresses()[0]
		o.Handler = r.Handler()
	default:
		w.t.Fatalf("unknown kind %q", kind)
	}
	h := host.New(o)
	if err := h.Start(); err != nil {
		w.t.Fatal(err)
	}
	w.hosts = append(w.hosts, h)
	w.addresses[name], w.addresses[name+"-control"] = h.Address(), h.Control()
}

func (w *fixture) newEngine(options map[string]string, number func(string, int) int, ms func(string, int) time.Duration, o *host.Options) *engine.Engine {
	d := engine.Defaults()
	d.Slots, d.Queue = number("slots", 4), number("queue", 2)
	d.StreamRate, d.TotalRate, d.ChunkInterval = float64(number("rate", 2000)), 1e6, 5*time.Millisecond
	d.LoadLag, d.EventLag, d.EventGap = ms("load-lag", 0), ms("event-lag", 0), number("event-gap", 0)
	d.ColdTime, d.LoadTime, d.CheckFence = ms("cold", 0), 0, options["fence"] == "yes"
	if store, ok := options["weights"]; ok {
		d.WeightStore = w.addresses[store]
	}
	e := engine.New(d)
	o.Handler, o.OnDown, o.OnUp = e.Handler(), e.Reset, e.Restart
	return e
}

// callPattern matches a call: NAME METHOD PATH [HEADER: VALUE; ...] BODY, with the
// headers in square brackets. Headers and body are optional.
var callPattern = regexp.MustCompile(`^(\S+) (GET|PUT|POST|DELETE) (\S+)(?: \[(.*?)\])?(?: (.*))?$`)

// runLine runs one line of a script. "until TEXT | LINE" repeats a line until its
// result contains the text, "& CALL" runs a call in the background, "join" and
// "join 2" wait for the results of such calls, and "N x CALL" runs a call N times
// and counts the statuses.
func (w *fixture) runLine(line string) string {
	switch {
	case strings.HasPrefix(line, "until "):
		text, rest, _ := strings.Cut(strings.TrimPrefix(line, "until "), " | ")
		return w.repeatUntil(text, rest)
	case strings.HasPrefix(line, "& "):
		go func() { w.background <- w.runCall(line[2:]) }()
		return "started"
	case line == "join":
		return w.join(1)
	case line == "join 2":
		return w.join(2)
	case regexp.MustCompile(`^\d+ x `).MatchString(line):
		count, rest, _ := strings.Cut(line, " x ")
		n, _ := strconv.Atoi(count)
		return w.repeat(n, rest)
	default:
		return w.runCall(line)
	}
}

// join waits for the results of n background calls and returns them sorted, since
// they end in any order.
func (w *fixture) join(n int) string {
	var answers []string
	for range n {
		select {
		case answer := <-w.background:
			answers = append(answers, answer)
		case <-time.After(waitTimeout):
			return "no answer"
		}
	}
	slices.Sort(answers)
	return strings.Join(answers, "\n")
}

func (w *fixture) repeatUntil(text, line string) string {
	last := ""
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if last = w.runLine(line); strings.Contains(last, text) {
			return "seen " + text
		}
	}
	return fmt.Sprintf("not seen %s, last %s", text, last)
}

func (w *fixture) repeat(n int, line string) string {
	counts := map[string]int{}
	for range n {
		status, _, _ := strings.Cut(w.runCall(line), " ")
		counts[status]++
	}
	return fmt.Sprint(counts)
}

// replacements hide times and addresses, which differ from run to run.
var replacements = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`"(at_ms|age_ms)":\d+`), `"$1":0`},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), `ADDRESS`},
}

func (w *fixture) runCall(line string) string {
	parts := callPattern.FindStringSubmatch(line)
	if parts == nil {
		return "not a call: " + line
	}
	path := parts[3]
	ctx, stop := context.WithTimeout(w.ctx, waitTimeout)
	defer stop()
	if barePath, timeoutMS, ok := strings.Cut(path, "!"); ok {
		// PATH!MS sets the timeout of the call.
		path = barePath
		n, _ := strconv.Atoi(timeoutMS)
		ctx, stop = context.WithTimeout(w.ctx, time.Duration(n)*time.Millisecond)
		defer stop()
	}
	body := parts[5]
	for name, address := range w.addresses {
		body = strings.ReplaceAll(body, "ADDRESS("+name+")", address)
	}
	req, err := http.NewRequestWithContext(ctx, parts[2], "http://"+w.addresses[parts[1]]+path, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	for _, header := range strings.Split(parts[4], "; ") {
		if key, value, ok := strings.Cut(header, ": "); ok {
			req.Header.Set(key, value)
		}
	}
	resp, err := w.client.Do(req)
	if err != nil {
		answer := failureKind(ctx, err)
		if answer == "reset" && path == "/v1/generate" {
			// It is a race whether the status line arrives before the reset.
			answer = cutOff
		}
		return answer
	}
	defer resp.Body.Close()
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/x-ndjson") {
		return readStream(ctx, resp)
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Sprintf("%d cut off", resp.StatusCode)
	}
	answer := strconv.Itoa(resp.StatusCode) + " " + string(raw)
	for _, name := range []string{"Retry-After", "Wigeonpin-Request"} {
		if value := resp.Header.Get(name); value != "" {
			answer += " " + name + ": " + value
		}
	}
	for _, s := range replacements {
		answer = s.pattern.ReplaceAllString(answer, s.replacement)
	}
	return answer
}

// failureKind classifies the error of a call without a response.
func failureKind(ctx context.Context, err error) string {
	switch {
	case ctx.Err() != nil:
		return "no answer"
	case strings.Contains(err.Error(), "refused"):
		return "refused"
	default:
		return "reset"
	}
}

// readStream returns the joined text of a stream and its last line. The division of
// the text into lines depends on timing.
func readStream(ctx context.Context, resp *http.Response) string {
	var text strings.Builder
	var versions []int
	request, end := "", cutOff
	reader := bufio.NewReader(resp.Body)
	for {
		raw, err := reader.ReadBytes('\n')
		if err != nil {
			if ctx.Err() != nil {
				end = "silent"
			}
			if strings.Contains(end, `"reason":"cancelled"`) {
				end = "cancelled"
			}
			if request == "" && end == cutOff {
				return end
			}
			if !strings.HasPrefix(end, "{") {
				// The amount of text received by then depends on timing.
				return fmt.Sprintf("%s versions=%v %s", request, versions, end)
			}
			return fmt.Sprintf("%s text=%q versions=%v %s", request, text.String(), versions, end)
		}
		var line struct {
			Request string
			Text    string
			Version int
			Done    bool
		}
		if json.Unmarshal(raw, &line) != nil {
			return "not JSON: " + string(raw)
		}
		if line.Done {
			end = strings.TrimSpace(string(raw))
		} else if line.Text != "" {
			request = line.Request
			text.WriteString(line.Text)
			if len(versions) == 0 || versions[len(versions)-1] != line.Version {
				versions = append(versions, line.Version)
			}
		}
	}
}
