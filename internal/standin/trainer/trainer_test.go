package trainer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/wigeonpin/wigeonpin/internal/standin/engine"
)

// scriptedInstance answers each pull of a run with the next line of a script. A
// line lists the samples of the response as GROUP:ID:FAULT, with "complete" for
// the end of the step, or is "error". After the last line all pulls are refused.
type scriptedInstance struct {
	t      *testing.T
	script []string
	pulls  int
}

func (i *scriptedInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/version") {
		return
	}
	var body pullBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		i.t.Error(err)
	}
	line := "error"
	if i.pulls < len(i.script) {
		line = i.script[i.pulls]
	}
	i.pulls++
	if line == "error" {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprint(w, `{"code":206,"name":"keys_stale"}`)
		return
	}
	_, _ = fmt.Fprint(w, response(body, line))
}

func response(body pullBody, line string) string {
	groups := map[int][]sample{}
	complete := false
	for _, word := range strings.Fields(line) {
		if word == "complete" {
			complete = true
			continue
		}
		parts := strings.Split(word+"::", ":")
		var group int
		_, _ = fmt.Sscan(parts[0], &group)
		prompt := body.Prompts[min(group, len(body.Prompts)-1)]
		n, _ := engine.Length(prompt, body.MaxTokens)
		s := sample{ID: parts[1], Text: engine.Text(prompt, 0, n), Tokens: n, Versions: []span{{body.Version, 0, n}}}
		switch parts[2] {
		case "cut":
			s.Text = engine.Text(prompt, 0, n-1)
		case "unlabelled":
			s.Versions = nil
		case "gap":
			s.Versions = []span{{body.Version, 1, n}}
		case "old":
			s.Versions = []span{{body.Version - 2, 0, 1}, {body.Version, 1, n}}
		}
		groups[group] = append(groups[group], s)
	}
	var parts []string
	for g, samples := range groups {
		raw, _ := json.Marshal(samples)
		parts = append(parts, fmt.Sprintf(`{"group":%d,"samples":%s}`, g, raw))
	}
	return fmt.Sprintf(`{"groups":[%s],"complete":%v}`, strings.Join(parts, ","), complete)
}

// Guards against a trainer that does not report a sample which is duplicate,
// missing, truncated, unlabelled or too old: load and fault tests that count
// violations would then pass with faulty instances.
func TestChecks(t *testing.T) {
	datadriven.RunTest(t, "testdata/checks", func(t *testing.T, d *datadriven.TestData) string {
		server := httptest.NewServer(&scriptedInstance{t: t, script: strings.Split(d.Input, "\n")})
		defer server.Close()
		trainer := New(Options{
			Addresses: []string{server.Listener.Addr().String()}, Trainer: "t", Steps: 1, Groups: 2, GroupSize: 2,
			MeanTokens: 8, Version: 5, MaxAge: 1, PullWait: time.Second, StepTimeout: time.Minute, Seed: 1,
		})
		ctx, stop := context.WithTimeout(context.Background(), time.Minute)
		defer stop()
		s, err := trainer.Run(ctx)
		if err != nil {
			t.Fatal(err)
		}
		return fmt.Sprintf("samples %d, twice %d, missing %d, wrong %d, unlabelled %d, too old %d, ages %v, errors %v, faults %v\n",
			s.Samples, s.Duplicates, s.Missing, s.Wrong, s.Unlabelled, s.TooOld, s.Ages, s.Errors, s.Violations() > 0)
	})
}
