package proof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/wigeonpin/wigeonpin/internal/load/balance"
	"github.com/wigeonpin/wigeonpin/internal/standin/engine"
	"github.com/wigeonpin/wigeonpin/internal/standin/trainer"
)

// Guards against an answer that stays incomplete because an open connection to an
// endpoint carries nothing any more, while new connections work.
func TestSilentConnectionsLoseNothing(t *testing.T) {
	f := startFleet(t, fleetOptions{zones: 1, instancesPerZone: 2, engines: 2, relayEndpoints: true, engineArgs: []string{"--rate", "50"}, settings: map[string]any{"silence_ms": 1500}})
	key := f.createAccount("acme")
	f.awaitGeneration(f.instances[0], key)
	const streams = 6
	answers := make([]answer, streams)
	var wg sync.WaitGroup
	for i := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = f.generate(f.instances[0], key, fmt.Sprintf("silent %d", i), 100, waitTimeout)
		}()
	}
	time.Sleep(700 * time.Millisecond)
	f.setFault(f.endpointRelay, "hold", map[string]any{"on": true, "existing": true})
	wg.Wait()
	for i, a := range answers {
		want := engine.Text(fmt.Sprintf("silent %d", i), 0, 100)
		var got struct {
			Text string `json:"text"`
		}
		if err := json.Unmarshal(a.body, &got); a.status != http.StatusOK || err != nil || got.Text != want {
			t.Errorf("request %d: status %d, error %v, %d of %d bytes", i, a.status, a.err, len(got.Text), len(want))
		}
	}
}

// Guards against a request that crashes one endpoint after another while its
// caller resends it through every instance, and against failures of the requests
// that run at the same time.
func TestCrashingRequestIsStopped(t *testing.T) {
	f := startFleet(t, fleetOptions{zones: 3, instancesPerZone: 1, engines: 2, engineArgs: []string{"--down-ms", "500", "--rate", "100"}})
	key, other := f.createAccount("acme"), f.createAccount("birch")
	for _, p := range f.instances {
		f.awaitGeneration(p, key)
	}
	const poison = "crashes each engine that runs it"
	for _, p := range f.engines {
		f.setFault(p, "poison", map[string]any{"digest": engine.Tag(poison), "on": true})
	}
	var wg sync.WaitGroup
	bystanders := make([]answer, 30)
	for i := range bystanders {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			bystanders[i] = f.generate(f.instances[i%3], other, fmt.Sprintf("innocent %d", i), 40, waitTimeout)
		}()
	}
	for n := range 12 {
		a := f.generate(f.instances[n%3], key, poison, 5, 10*time.Second)
		if a.status == http.StatusOK {
			t.Errorf("the crashing request was answered: %s", a.body)
		}
	}
	wg.Wait()
	falls := f.engineFalls()
	if falls == 0 || falls > 2 {
		t.Errorf("the request took down %d endpoints, want 1 or 2", falls)
	}
	for i, a := range bystanders {
		if a.status != http.StatusOK {
			t.Errorf("bystander request %d: status %d, error %v, %s", i, a.status, a.err, a.body)
		}
	}
}

// engineFalls returns how often engines ended.
func (f *fleet) engineFalls() int {
	f.t.Helper()
	falls := 0
	for _, p := range f.engines {
		var s struct {
			Falls int `json:"falls"`
		}
		f.mustSend(p.control, http.MethodGet, "/fake/state", nil, nil, &s)
		falls += s.Falls
	}
	return falls
}

// Guards against a request that takes down engines again after all instances were killed,
// since none of those that start knows it.
func TestBlockedRequestOutlivesAllInstances(t *testing.T) {
	f := startFleet(t, fleetOptions{zones: 3, instancesPerZone: 1, engines: 2, engineArgs: []string{"--down-ms", "500", "--rate", "100"}})
	key := f.createAccount("acme")
	awaitAll := func() {
		for _, p := range f.instances {
			f.awaitGeneration(p, key)
		}
	}
	awaitAll()
	const poison = "crashes each engine that runs it"
	for _, p := range f.engines {
		f.setFault(p, "poison", map[string]any{"digest": engine.Tag(poison), "on": true})
	}
	repeat := func() {
		for n := range 2 * len(f.instances) {
			if a := f.generate(f.instances[n%len(f.instances)], key, poison, 5, 10*time.Second); a.status == http.StatusOK {
				t.Errorf("the crashing request was answered: %s", a.body)
			}
		}
	}
	repeat()
	before := f.engineFalls()
	if before == 0 {
		t.Fatal("the request took down no engine")
	}
	f.eventually("the blocked request is stored", func() bool {
		answer, err := f.client.Get("http://" + f.platform.address + "/v1/objects/contents/blocked")
		if err != nil {
			return false
		}
		answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	})
	for _, p := range f.instances {
		p.kill()
	}
	for _, p := range f.instances {
		f.restart(p)
	}
	awaitAll()
	repeat()
	if after := f.engineFalls(); after != before {
		t.Errorf("the request took down %d engines after the kill, want none; %d before", after-before, before)
	}
}

// Guards against usage that is lost or counted twice when instances are killed,
// and against a window that is reported with different figures.
func TestUsageIsExactWhenInstancesDie(t *testing.T) {
	f := startFleet(t, fleetOptions{zones: 3, instancesPerZone: 2, services: 1})
	key, other := f.createAccount("acme"), f.createAccount("birch")
	for _, p := range f.instances {
		f.eventually(p.name+" serves", func() bool { return f.call(p, other, "/s/look/x", "", 5*time.Second).status == http.StatusOK })
	}
	var mu sync.Mutex
	served, unconfirmed := int64(0), int64(0)
	var wg sync.WaitGroup
	for c := range 400 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(c) * 10 * time.Millisecond)
			a := f.call(f.instances[c%len(f.instances)], key, "/s/look/x", "", 5*time.Second)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.status == http.StatusOK && a.err == nil:
				served++
			case a.run != "not_run":
				unconfirmed++
			}
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	f.instances[2].kill()
	f.setFault(f.platform, "lose", map[string]any{"count": 5})
	time.Sleep(time.Second)
	f.instances[5].kill()
	wg.Wait()
	f.eventually("the usage reports include all served requests", func() bool { return f.reportedRequests("acme") >= served })
	// Wait for late entries of two more windows.
	time.Sleep(5 * time.Second)
	if got := f.reportedRequests("acme"); got < served || got > served+unconfirmed {
		t.Errorf("%d requests were reported; %d were served, and %d more may have run", got, served, unconfirmed)
	}
	if served < 250 {
		t.Errorf("only %d of 400 calls were served", served)
	}
}

// reportedRequests returns the number of reported requests of an account, and
// fails the test when a window was reported with different figures.
func (f *fleet) reportedRequests(account string) int64 {
	f.t.Helper()
	var raw json.RawMessage
	f.mustSend(f.platform.address, http.MethodGet, "/fake/usage", nil, nil, &raw)
	reported, err := balance.ParseUsage(bytes.TrimSpace(raw))
	if err != nil {
		f.t.Fatal(err)
	}
	if len(reported.Conflicts) > 0 {
		f.t.Errorf("windows were reported with different figures: %v", reported.Conflicts)
	}
	return reported.Accounts[account].Requests
}

// Guards against samples that are duplicated, missing, wrongly labelled or too old
// while weights change, engines crash and an instance is killed.
func TestSamplesUnderFaults(t *testing.T) {
	f := startFleet(t, fleetOptions{zones: 3, instancesPerZone: 1, engines: 2, engineArgs: []string{"--check-fence", "--down-ms", "300"}})
	key := f.createAccount("acme")
	f.createRow("trainer", "tags", map[string]any{"account": "acme", "model": "tagger", "max_age": 1})
	for _, p := range f.instances {
		f.awaitGeneration(p, key)
	}
	out := filepath.Join(f.dir, "summary.json")
	p := &process{name: "trainer"}
	args := []string{"trainer"}
	for _, instance := range f.instances {
		args = append(args, instance.address)
	}
	f.launch(p, "standin", append(args, "--trainer", "tags", "--key", key, "--weights", f.weights.address,
		"--steps", "12", "--limit-ms", "50000", "--change", "2", "--max-age", "1", "--groups", "12", "--group-size", "4",
		"--train-ms", "200", "--out", out)...)
	time.Sleep(3 * time.Second)
	f.setFault(f.engines[0], "crash", map[string]any{"ms": 500})
	f.setFault(f.engines[3], "failswap", map[string]any{"count": 1})
	time.Sleep(2 * time.Second)
	f.instances[1].kill()
	time.Sleep(2 * time.Second)
	f.setFault(f.engines[4], "crash", map[string]any{"ms": 500})
	<-p.done
	raw, err := os.ReadFile(out)
	if err != nil {
		t.Fatal(err)
	}
	var s trainer.Summary
	if err := json.Unmarshal(raw, &s); err != nil {
		t.Fatal(err)
	}
	if s.Violations() != 0 || s.Steps < 12 || len(s.Announced) < 3 {
		t.Errorf("want no faults, at least 12 steps and at least 3 published versions, got %s", raw)
	}
}
