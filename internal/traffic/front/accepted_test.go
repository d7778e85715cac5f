package front

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/wigeonpin/wigeonpin/internal/control/manifest"
)

// TestAcceptedBatchesOutliveTheirRoute guards against accepted batches that callers
// no longer find, cannot end, or cannot submit again, since the manifest in force has
// no route for batches on their host: all calls about a batch got 404 then
// (review/2). It also guards against plain requests that are taken for such calls.
func TestAcceptedBatchesOutliveTheirRoute(t *testing.T) {
	datadriven.Walk(t, "testdata/accepted", func(t *testing.T, path string) {
		fx := newFixture(t, echo)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "manifest":
				fx.manifest.Store(parseManifest(t, fx.manifest.Load().Version+1, d))
				return ""
			case "restart":
				fx = newFixtureOn(t, fx.ledger, echo)
				return ""
			case "call":
				return fx.scriptedCall(t, d)
			}
			t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
			return ""
		})
	})
}

// parseManifest reads a manifest with one route in each line: host, prefix, kind and
// "public" if it needs no key. The argument accounts lists the client accounts; the
// key of each is its name. The argument keys=none stands for no list of accounts.
func parseManifest(t *testing.T, version int64, d *datadriven.TestData) *manifest.Manifest {
	t.Helper()
	kinds := map[string]manifest.Kind{"plain": manifest.Idempotent, "batches": manifest.Rollout}
	var routes []manifest.Route
	for line := range strings.Lines(d.Input) {
		fields := strings.Fields(line)
		kind, known := kinds[fields[2]]
		if !known {
			t.Fatalf("%s: unknown kind %s", d.Pos, fields[2])
		}
		routes = append(routes, manifest.Route{
			Host: fields[0], Prefix: fields[1], Kind: kind, Attempts: 2, Public: len(fields) > 3 && fields[3] == "public",
			Targets: []manifest.Target{{Service: "svc", Weight: 1}},
		})
	}
	accounts := []manifest.Account{}
	for _, arg := range d.CmdArgs {
		switch arg.Key {
		case "keys":
			accounts = nil
		case "accounts":
			for _, name := range arg.Vals {
				accounts = append(accounts, manifest.Account{Name: name, Keys: []string{name}})
			}
		}
	}
	return manifest.New(version, routes, nil, accounts, manifest.Limits{})
}

// scriptedCall makes the call of a script: method, path, host, key, id and body. It
// returns the status and the body, unless this process refused the call.
func (fx *fixture) scriptedCall(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	values := map[string]string{"host": "h"}
	for _, arg := range d.CmdArgs {
		values[arg.Key] = strings.Join(arg.Vals, ",")
	}
	r, err := http.NewRequest(values["method"], fx.server.URL+values["path"], strings.NewReader(values["body"]))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = values["host"]
	r.Header.Set(names.Request, values["id"])
	if values["key"] != "" {
		r.Header.Set("Authorization", "Bearer "+values["key"])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Sprintf("%d\n", response.StatusCode)
	}
	return fmt.Sprintf("%d %s\n", response.StatusCode, body)
}
