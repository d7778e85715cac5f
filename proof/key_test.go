package proof

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Guards against a withdrawn key that still works for new requests at any
// instance, or on a stream that is already open.
func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	f := startFleet(t, fleetOptions{zones: 3, instancesPerZone: 1, engines: 1, engineArgs: []string{"--rate", "20"}})
	key, other := f.createAccount("acme"), f.createAccount("birch")
	for _, p := range f.instances {
		f.awaitGeneration(p, key)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.instances[1].address+"/v1/generate",
		strings.NewReader(`{"model":"tagger","prompt":"a long answer","max_tokens":1000,"stream":true}`))
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Wigeonpin-Deadline-Ms", "55000")
	resp, err := f.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	if !lines.Scan() {
		t.Fatal("the stream did not start")
	}
	row := f.row("key", keyID(key), f.instances[0])
	row.Value["withdrawn"] = true
	sequence := f.updateRow(f.instances[0], "key", row.Name, row.Revision, row.Value)
	f.awaitSequence(sequence, f.instances...)
	for lines.Scan() {
		var last struct {
			Done bool `json:"done"`
		}
		if json.Unmarshal(lines.Bytes(), &last) == nil && last.Done {
			t.Error("the stream of a withdrawn key ran to completion")
		}
	}
	for _, p := range f.instances {
		if a := f.generate(p, key, "again", 2, 10*time.Second); a.status != http.StatusUnauthorized || a.run != "not_run" {
			t.Errorf("%s answers a withdrawn key with status %d, run %q", p.name, a.status, a.run)
		}
		f.awaitGeneration(p, other)
	}
	f.checkNoSecrets(key)
}

// checkNoSecrets fails the test when a log contains the key, or a log or metric
// its secret part.
func (f *fleet) checkNoSecrets(key string) {
	f.t.Helper()
	names, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
	for _, name := range names {
		raw, err := os.ReadFile(name)
		if err != nil {
			f.t.Fatal(err)
		}
		if strings.Contains(string(raw), key) || strings.Contains(string(raw), strings.Repeat("5a", 32)) {
			f.t.Errorf("%s contains the key", filepath.Base(name))
		}
	}
	for _, p := range f.instances {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		if a := f.send(ctx, p.address, http.MethodGet, "/debug/vars", nil, nil); strings.Contains(string(a.body), strings.Repeat("5a", 32)) {
			f.t.Errorf("the metrics of %s contain the key", p.name)
		}
		cancel()
	}
}

// row reads a row from an instance.
func (f *fleet) row(table, name string, p *process) editRow {
	f.t.Helper()
	var all struct {
		Rows []editRow `json:"rows"`
	}
	f.mustSend(p.operator, http.MethodGet, "/v1/table", bearer(operatorKey), nil, &all)
	for _, r := range all.Rows {
		if r.Table == table && r.Name == name {
			return r
		}
	}
	f.t.Fatalf("there is no row %s/%s", table, name)
	return editRow{}
}
