package generator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/wigeonpin/wigeonpin/internal/standin/engine"
	"github.com/wigeonpin/wigeonpin/internal/standin/service"
)

// scriptedHandler responds to every request with script, in which WHOLE stands
// for the expected text, HALF for its first half, OTHER for the text of another
// request, SWAPPED for the expected text with a changed first token, "N" for the
// number of tokens and DIGEST for the digest of the body. A CUT at the end aborts
// the connection.
func scriptedHandler(status int, script string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		if r.URL.Path == "/readyz" {
			return
		}
		var body generateBody
		if strings.HasPrefix(r.URL.Path, "/v1/") && json.Unmarshal(raw, &body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n, _ := engine.Length(body.Prompt, body.MaxTokens)
		whole := engine.Text(body.Prompt, 0, n)
		text := strings.NewReplacer("WHOLE", whole, "HALF", whole[:len(whole)/2], "OTHER", engine.Text("other", 0, n),
			"SWAPPED", strings.Replace(whole, ".0 ", ".9 ", 1), "\"N\"", fmt.Sprint(n), "DIGEST", service.Digest(raw)).Replace(script)
		w.WriteHeader(status)
		text, cut := strings.CutSuffix(text, "CUT")
		_, _ = io.WriteString(w, text+"\n")
		if cut {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	})
}

// Guards against responses that are incomplete, damaged or belong to another
// request but are counted as whole, and against refusals that are counted under
// the wrong name.
func TestAnswers(t *testing.T) {
	datadriven.RunTest(t, "testdata/answers", func(t *testing.T, d *datadriven.TestData) string {
		status, kind := http.StatusOK, "generate"
		d.MaybeScanArgs(t, "status", &status)
		d.MaybeScanArgs(t, "kind", &kind)
		server := httptest.NewServer(scriptedHandler(status, d.Input))
		defer server.Close()
		plan, err := ParsePlan([]byte(fmt.Sprintf(
			`{"addresses":[%q],"seconds":0.2,"accounts":[{"name":"a","rate":200,"kind":%q,"stream":%v,"tokens":4}]}`,
			server.Listener.Addr(), strings.TrimSuffix(kind, "-object"), kind == "generate")))
		if err != nil {
			t.Fatal(err)
		}
		result, err := Run(context.Background(), plan)
		if err != nil {
			t.Fatal(err)
		}
		c := result.Accounts["a"]
		if c.Sent == 0 || c.Sent != c.Whole+total(c.Refused)+total(c.Wrong)+total(c.Broken)+c.Unsent {
			t.Fatalf("the outcomes do not add up to %d sent requests: %+v", c.Sent, c)
		}
		var seen []string
		if c.Whole == c.Sent {
			seen = append(seen, fmt.Sprintf("whole, tokens %v", c.Tokens > 0))
		}
		if n := len(result.NotRun); n > 0 {
			seen = append(seen, fmt.Sprintf("noted as not run, all %v", n == c.Sent))
		}
		for name, counts := range map[string]map[string]int{"refused": c.Refused, "wrong": c.Wrong, "broken": c.Broken} {
			for code, n := range counts {
				seen = append(seen, fmt.Sprintf("%s %s, all %v", name, code, n == c.Sent))
			}
		}
		slices.Sort(seen)
		return strings.Join(seen, "\n") + "\n"
	})
}

// Guards against runs with the same seed that send different requests, since two
// builds could not be compared then.
func TestSameSeedSendsTheSame(t *testing.T) {
	send := func(seed uint64) []string {
		bodies := make(chan string, 1000)
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			raw, _ := io.ReadAll(r.Body)
			if r.URL.Path != "/readyz" {
				bodies <- string(raw)
			}
		}))
		defer server.Close()
		plan, err := ParsePlan([]byte(fmt.Sprintf(`{"addresses":[%q],"seconds":0.2,"accounts":[{"name":"a","rate":100},{"name":"b","rate":50}]}`,
			server.Listener.Addr())))
		if err != nil {
			t.Fatal(err)
		}
		plan.Seed = seed
		if _, err := Run(context.Background(), plan); err != nil {
			t.Fatal(err)
		}
		close(bodies)
		var all []string
		for b := range bodies {
			all = append(all, b)
		}
		slices.Sort(all)
		return all
	}
	first, second, other := send(3), send(3), send(4)
	if len(first) == 0 || !slices.Equal(first, second) {
		t.Fatalf("two runs with the same seed sent different requests (%d and %d)", len(first), len(second))
	}
	if slices.Equal(first, other) {
		t.Fatal("runs with different seeds sent the same requests")
	}
}

// Guards against plans with an unknown or invalid field that are accepted.
func TestPlan(t *testing.T) {
	datadriven.RunTest(t, "testdata/plans", func(_ *testing.T, d *datadriven.TestData) string {
		if _, err := ParsePlan([]byte(d.Input)); err != nil {
			return err.Error() + "\n"
		}
		return "accepted\n"
	})
}
